"""Tests checking, comparing and indexing of declarations."""

import pathlib

import pytest

from citrondoor import declarations as declared
from citrondoor import errors
from citrondoor.schema import declarations
from tests import samples

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


def check_changed(change) -> str:
    documents = samples.documents()
    change({document.key: document for document in documents})
    return "\n".join(map(str, declared.check(documents)))


def test_sample_documents_have_no_problem():
    assert check_changed(lambda by_key: None) == ""


def duplicate_contract(by_key):
    by_key["contracts/all"].contracts.contracts.append(samples.contract())


def shard_without_replica(by_key):
    by_key["snapshots/desk"].snapshots.snapshots[0].shards[0].replicas = []


def unknown_replica(by_key):
    shard = by_key["snapshots/desk"].snapshots.snapshots[0].shards[0]
    shard.replicas = ["nobody"]


def unknown_zone(by_key):
    by_key["vms"].vms.vms[0].zone = "nowhere"


def contract_without_policy(by_key):
    contract = by_key["contracts/all"].contracts.contracts[0]
    contract.policy = declarations.AnswerPolicy()


def key_instead_of_digest(by_key):
    contract = by_key["contracts/all"].contracts.contracts[0]
    contract.key_digests = ["a-key"]


def burst_above_monthly_quantity(by_key):
    by_key["contracts/all"].contracts.contracts[0].monthly_quantity = 5


def duplicate_zone(by_key):
    by_key["zones"].zones.zones[1].name = "za"


def name_differs_from_key(by_key):
    by_key["backends/desk"].backend.name = "other"


@pytest.mark.parametrize(
    ("change", "found"),
    [
        (duplicate_contract, "has a contract in"),
        (shard_without_replica, "has no replica"),
        (unknown_replica, "unknown searcher 'nobody'"),
        (unknown_zone, "unknown zone 'nowhere'"),
        (contract_without_policy, "does not set exactly one answer policy"),
        (key_instead_of_digest, "64 hexadecimal digits, lower case"),
        (burst_above_monthly_quantity, "raise monthly_quantity"),
        (duplicate_zone, "declared 2 times"),
        (name_differs_from_key, "publish it as backends/other"),
    ],
)
def test_invalid_documents_are_reported_with_a_remedy(change, found):
    assert found in check_changed(change)


@pytest.mark.parametrize("name", ["mn-central", "north-mill"])
def test_examples_are_valid_and_have_replicas_in_two_zones(name):
    documents = declared.read_directory(EXAMPLES / name)
    assert declared.check(documents) == []
    catalogue = declared.Catalogue(documents)
    assert len(catalogue.vms) == 5
    assert len(catalogue.zones) == 4
    for snapshots in catalogue.snapshots.values():
        for group in snapshots[-1].groups:
            zones = {
                catalogue.searchers[replica].zone for replica in group.replicas
            }
            assert len(zones) >= 2


def test_compare_lists_removed_documents_and_changed_items():
    before, after = samples.documents(), samples.documents()
    after[0].zones = samples.zones("zb")
    after.pop()
    differences = declared.compare(
        declared.summarize(before), declared.summarize(after)
    )
    lines = [
        (difference.key, difference.change, difference.details)
        for difference in differences
    ]
    assert lines == [
        ("contracts/all", "removed", []),
        ("zones", "changed", ["~ zb"]),
    ]


def test_document_of_an_unknown_topic_is_rejected():
    with pytest.raises(errors.DocumentError, match="unknown topic"):
        declared.parse("secrets/x", 1, "a: 1")


def test_cached_document_is_rechecked_when_the_declared_zones_change():
    checker = declared.DocumentChecker()
    documents = samples.documents()
    assert checker.check(documents) == []
    other_zones = declarations.Zones(
        [declarations.Zone(name, "north") for name in ("za", "zb")]
    )
    documents[0] = declarations.Document("zones", 2, zones=other_zones)
    problems = "\n".join(map(str, checker.check(documents)))
    assert problems == "\n".join(map(str, declared.check(documents)))
    assert "unknown zone 'zc'" in problems


def test_catalogue_reuses_indexes_of_unchanged_snapshots():
    documents = samples.documents()
    first = declared.Catalogue(documents)
    documents[0] = declarations.Document("zones", 2, zones=samples.zones("za"))
    second = declared.Catalogue(documents, first)
    assert second.snapshots["desk"] is first.snapshots["desk"]
    assert not second.is_zone_in_service("za")
    assert first.is_zone_in_service("za")
