from citrondoor import configuration
from citrondoor import rendezvous

VMS = [f"vm-{number}" for number in range(6300)]


def choose_readers(vms, unix_ms=0, read_age_ms=0) -> list[str]:
    return [
        vm
        for vm in vms
        if configuration.ReaderSelector(vm, 2, 60_000).is_reader(
            vms, unix_ms, read_age_ms
        )
    ]


def test_readers_are_few_and_rotate_by_epoch():
    vms = VMS[:40]
    first_readers = choose_readers(vms)
    later_readers = [
        choose_readers(vms, unix_ms=60_000 * epoch) for epoch in range(1, 6)
    ]
    assert len(first_readers) == 2
    assert any(chosen != first_readers for chosen in later_readers)


def test_reader_count_doubles_while_no_read_succeeds():
    vms = VMS[:40]
    reader_counts = [
        len(choose_readers(vms, read_age_ms=ms))
        for ms in (0, 3000, 6000, 60_000)
    ]
    assert reader_counts == [2, 4, 8, 40]


def test_reader_count_is_bounded_in_a_large_cluster():
    ranking = rendezvous.rank("reader/0", VMS)
    selectors = {
        vm: configuration.ReaderSelector(vm, 2, 60_000)
        for vm in (ranking[0], ranking[999], ranking[1000], ranking[-1])
    }
    chosen = [
        vm
        for vm, selector in selectors.items()
        if selector.is_reader(VMS, 0, 3_600_000)
    ]
    assert chosen == [ranking[0], ranking[999]]
