from citrondoor import configuration
from citrondoor import rendezvous

VMS = [f"vm-{number}" for number in range(6300)]


def readers(vms, wall_ms=0, silence_ms=0) -> list[str]:
    return [
        vm
        for vm in vms
        if configuration.ReaderSelector(vm, 2, 60_000).is_reader(
            vms, wall_ms, silence_ms
        )
    ]


def test_few_read_and_they_rotate():
    vms = VMS[:40]
    first = readers(vms)
    later = [readers(vms, wall_ms=60_000 * epoch) for epoch in range(1, 6)]
    assert len(first) == 2
    assert any(chosen != first for chosen in later)


def test_silence_makes_more_of_them_try():
    vms = VMS[:40]
    sizes = [len(readers(vms, silence_ms=ms)) for ms in (0, 3000, 6000, 60_000)]
    assert sizes == [2, 4, 8, 40]


def test_silence_never_makes_all_of_a_large_fleet_read():
    ranking = rendezvous.rank("reader/0", VMS)
    choice = {
        vm: configuration.ReaderSelector(vm, 2, 60_000)
        for vm in (ranking[0], ranking[999], ranking[1000], ranking[-1])
    }
    reading = [vm for vm, c in choice.items() if c.is_reader(VMS, 0, 3_600_000)]
    assert reading == [ranking[0], ranking[999]]
