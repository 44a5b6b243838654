from citrondoor import counting
from citrondoor import declarations as declared
from citrondoor.schema import messages
from tests import samples

CATALOGUE = declared.Catalogue(samples.documents(6))
POLICY = counting.ReplicationPolicy("vm-0", "za")


def zone_of(name: str) -> str:
    return CATALOGUE.vms[name].zone


def test_chosen_peers_are_in_distinct_other_zones():
    chosen = POLICY.choose(CATALOGUE, [f"vm-{n}" for n in range(1, 6)])
    assert sorted(zone_of(name) for name in chosen) == ["zb", "zc"]


def test_excluded_peers_are_replaced_by_others_of_their_zones():
    reachable = [f"vm-{n}" for n in range(1, 6)]
    first = POLICY.choose(CATALOGUE, reachable)
    second = POLICY.choose(CATALOGUE, reachable, frozenset(first))
    assert not set(first) & set(second)
    assert sorted(zone_of(name) for name in second) == ["zb", "zc"]


def test_quorum_needs_two_other_zones_while_two_are_reachable():
    assert not POLICY.has_quorum(CATALOGUE, {"vm-1"}, set())
    assert POLICY.has_quorum(CATALOGUE, {"vm-1", "vm-2"}, set())


def test_quorum_skips_an_unreachable_zone_but_needs_one_other_zone():
    assert POLICY.has_quorum(CATALOGUE, {"vm-1"}, {"zc"})
    assert not POLICY.has_quorum(CATALOGUE, set(), {"zb", "zc"})
    assert not POLICY.has_quorum(CATALOGUE, {"vm-3"}, {"zb", "zc"})


def test_quorum_in_a_single_zone_needs_no_other_zone():
    single_zone_catalogue = declared.Catalogue(samples.documents(1))
    assert POLICY.target_zone_count(single_zone_catalogue) == 0
    assert POLICY.has_quorum(single_zone_catalogue, set(), set())


def test_batch_groups_the_numbers_of_one_session():
    batch = counting.BatchBuilder()
    for number in (1, 2, 5):
        batch.add("acme", "2026-12", messages.RequestId("s", number))
    counts = batch.build().counts
    assert len(counts) == 1
    assert [r.first for r in counts[0].ranges] == [1, 2, 5]
