from citrondoor import counting
from citrondoor import declarations as declared
from citrondoor.schema import messages
from tests import samples

CATALOGUE = declared.Catalogue(samples.documents(6))
REPLICATION = counting.Replication("vm-0", "za")


def zone(name: str) -> str:
    return CATALOGUE.vms[name].zone


def test_copies_go_to_distinct_other_zones():
    chosen = REPLICATION.choose(CATALOGUE, [f"vm-{n}" for n in range(1, 6)])
    assert sorted(zone(name) for name in chosen) == ["zb", "zc"]


def test_a_peer_that_failed_is_replaced():
    reachable = [f"vm-{n}" for n in range(1, 6)]
    first = REPLICATION.choose(CATALOGUE, reachable)
    second = REPLICATION.choose(CATALOGUE, reachable, frozenset(first))
    assert not set(first) & set(second)
    assert sorted(zone(name) for name in second) == ["zb", "zc"]


def test_one_zone_is_not_enough_while_two_can_be_reached():
    assert not REPLICATION.is_stored(CATALOGUE, {"vm-1"}, set())
    assert REPLICATION.is_stored(CATALOGUE, {"vm-1", "vm-2"}, set())


def test_a_lost_zone_is_not_waited_for_but_one_other_is():
    assert REPLICATION.is_stored(CATALOGUE, {"vm-1"}, {"zc"})
    assert not REPLICATION.is_stored(CATALOGUE, set(), {"zb", "zc"})
    assert not REPLICATION.is_stored(CATALOGUE, {"vm-3"}, {"zb", "zc"})


def test_a_single_zone_stores_nowhere_else():
    lonely = declared.Catalogue(samples.documents(1))
    assert REPLICATION.copies_wanted(lonely) == 0
    assert REPLICATION.is_stored(lonely, set(), set())


def test_a_batch_groups_the_numbers_of_a_session():
    batch = counting.Batch()
    for number in (1, 2, 5):
        batch.add("acme", "2026-12", messages.RequestId("s", number))
    counts = batch.message().counts
    assert len(counts) == 1
    assert [r.first for r in counts[0].ranges] == [1, 2, 5]
