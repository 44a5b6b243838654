from citrondoor import counting
from citrondoor import declarations as declared
from citrondoor.schema import messages
from tests import samples

CATALOGUE = declared.Catalogue(samples.documents(6))
POLICY = counting.ReplicationPolicy("vm-0", "za")


def zone(name: str) -> str:
    return CATALOGUE.vms[name].zone


def test_copies_go_to_distinct_other_zones():
    chosen = POLICY.choose(CATALOGUE, [f"vm-{n}" for n in range(1, 6)])
    assert sorted(zone(name) for name in chosen) == ["zb", "zc"]


def test_a_peer_that_failed_is_replaced():
    reachable = [f"vm-{n}" for n in range(1, 6)]
    first = POLICY.choose(CATALOGUE, reachable)
    second = POLICY.choose(CATALOGUE, reachable, frozenset(first))
    assert not set(first) & set(second)
    assert sorted(zone(name) for name in second) == ["zb", "zc"]


def test_one_zone_is_not_enough_while_two_can_be_reached():
    assert not POLICY.has_quorum(CATALOGUE, {"vm-1"}, set())
    assert POLICY.has_quorum(CATALOGUE, {"vm-1", "vm-2"}, set())


def test_a_lost_zone_is_not_waited_for_but_one_other_is():
    assert POLICY.has_quorum(CATALOGUE, {"vm-1"}, {"zc"})
    assert not POLICY.has_quorum(CATALOGUE, set(), {"zb", "zc"})
    assert not POLICY.has_quorum(CATALOGUE, {"vm-3"}, {"zb", "zc"})


def test_a_single_zone_stores_nowhere_else():
    lonely = declared.Catalogue(samples.documents(1))
    assert POLICY.copies_wanted(lonely) == 0
    assert POLICY.has_quorum(lonely, set(), set())


def test_a_batch_groups_the_numbers_of_a_session():
    batch = counting.BatchBuilder()
    for number in (1, 2, 5):
        batch.add("acme", "2026-12", messages.RequestId("s", number))
    counts = batch.build().counts
    assert len(counts) == 1
    assert [r.first for r in counts[0].ranges] == [1, 2, 5]
