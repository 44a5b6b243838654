import pathlib

import pytest

from citrondoor import declarations as declared
from citrondoor import errors
from citrondoor.schema import declarations
from tests import samples

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


def problems(change) -> str:
    documents = samples.documents()
    change({d.key: d for d in documents})
    return "\n".join(map(str, declared.check(documents)))


def test_the_sample_has_no_problem():
    assert problems(lambda by_key: None) == ""


def second_contract(by_key):
    by_key["contracts/all"].contracts.contracts.append(samples.contract())


def no_replica(by_key):
    by_key["snapshots/desk"].snapshots.snapshots[0].shards[0].replicas = []


def unknown_replica(by_key):
    shard = by_key["snapshots/desk"].snapshots.snapshots[0].shards[0]
    shard.replicas = ["nobody"]


def unknown_zone(by_key):
    by_key["vms"].vms.vms[0].zone = "nowhere"


def no_policy(by_key):
    contract = by_key["contracts/all"].contracts.contracts[0]
    contract.policy = declarations.AnswerPolicy()


def plain_key(by_key):
    contract = by_key["contracts/all"].contracts.contracts[0]
    contract.key_digests = ["a-key"]


def impossible_burst(by_key):
    by_key["contracts/all"].contracts.contracts[0].monthly_quantity = 5


def same_name(by_key):
    by_key["zones"].zones.zones[1].name = "za"


def wrong_key(by_key):
    by_key["backends/desk"].backend.name = "other"


@pytest.mark.parametrize(
    ("change", "found"),
    [
        (second_contract, "has a contract in"),
        (no_replica, "has no replica"),
        (unknown_replica, "unknown searcher 'nobody'"),
        (unknown_zone, "unknown zone 'nowhere'"),
        (no_policy, "not exactly one answer policy"),
        (plain_key, "64 hexadecimal digits"),
        (impossible_burst, "raise monthly_quantity"),
        (same_name, "declared 2 times"),
        (wrong_key, "publish it as backends/other"),
    ],
)
def test_a_contradiction_is_named_with_its_remedy(change, found):
    assert found in problems(change)


@pytest.mark.parametrize("name", ["mn-central", "north-mill"])
def test_the_examples_agree_and_have_the_sizes_of_today(name):
    documents = declared.read_directory(EXAMPLES / name)
    assert declared.check(documents) == []
    catalogue = declared.Catalogue(documents)
    assert len(catalogue.vms) == 5
    assert len(catalogue.zones) == 4
    for snapshots in catalogue.snapshots.values():
        for group in snapshots[-1].groups:
            zones = {catalogue.searchers[r].zone for r in group.replicas}
            assert len(zones) >= 2


def test_differences_are_found_by_item():
    before, after = samples.documents(), samples.documents()
    after[0].zones = samples.zones("zb")
    after.pop()
    found = declared.compare(
        declared.summarize(before), declared.summarize(after)
    )
    lines = [(d.key, d.change, d.details) for d in found]
    assert lines == [
        ("contracts/all", "removed", []),
        ("zones", "changed", ["~ zb"]),
    ]


def test_an_unknown_topic_is_refused():
    with pytest.raises(errors.DocumentError, match="unknown topic"):
        declared.parse("secrets/x", 1, "a: 1")


def test_what_did_not_change_is_checked_again_when_its_context_did():
    checker = declared.DocumentChecker()
    documents = samples.documents()
    assert checker.check(documents) == []
    other_zones = declarations.Zones(
        [declarations.Zone(name, "north") for name in ("za", "zb")]
    )
    documents[0] = declarations.Document("zones", 2, zones=other_zones)
    found = "\n".join(map(str, checker.check(documents)))
    assert found == "\n".join(map(str, declared.check(documents)))
    assert "unknown zone 'zc'" in found


def test_a_catalogue_uses_unchanged_indexes_again():
    documents = samples.documents()
    first = declared.Catalogue(documents)
    documents[0] = declarations.Document("zones", 2, zones=samples.zones("za"))
    second = declared.Catalogue(documents, first)
    assert second.snapshots["desk"] is first.snapshots["desk"]
    assert not second.is_zone_in_service("za")
    assert first.is_zone_in_service("za")
