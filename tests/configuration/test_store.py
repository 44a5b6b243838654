import random

import hypothesis
from hypothesis import strategies

from citrondoor import configuration
from citrondoor.schema import declarations
from tests import samples


def zones_at(revision: int, *out: str) -> declarations.Document:
    return declarations.Document("zones", revision, zones=samples.zones(*out))


def inconsistent_backend_at(revision: int) -> declarations.Document:
    broken = samples.backend()
    broken.searchers[0].zone = "nowhere"
    return declarations.Document("backends/desk", revision, backend=broken)


def test_consistent_set_becomes_active():
    store = configuration.Store()
    result = store.offer(samples.documents())
    assert len(result.accepted_keys) == 5
    assert store.catalogue.is_zone_in_service("za")


def test_older_or_equal_revision_changes_nothing():
    store = configuration.Store()
    store.offer(samples.documents())
    store.offer([zones_at(5, "za")])
    for revision in (1, 4, 5):
        assert store.offer([zones_at(revision)]).accepted_keys == []
    assert not store.catalogue.is_zone_in_service("za")


def test_inconsistent_document_is_pending_and_blocks_no_other():
    store = configuration.Store()
    store.offer(samples.documents())
    result = store.offer([inconsistent_backend_at(7), zones_at(8, "zb")])
    assert result.accepted_keys == ["zones"]
    assert "nowhere" in str(result.problems[0])
    assert store.pending_count == 1
    assert not store.catalogue.is_zone_in_service("zb")
    assert store.catalogue.searchers["desk-0"].zone == "za"


def test_later_document_can_activate_a_pending_one():
    store = configuration.Store()
    store.offer(samples.documents())
    store.offer([inconsistent_backend_at(7)])
    extended = samples.zones()
    extended.zones.append(declarations.Zone("nowhere", "north"))
    result = store.offer([declarations.Document("zones", 8, zones=extended)])
    assert sorted(result.accepted_keys) == ["backends/desk", "zones"]
    assert store.pending_count == 0


def test_removed_contract_is_not_active():
    store = configuration.Store()
    store.offer(samples.documents())
    store.offer([declarations.Document("contracts/all", 9)])
    assert store.catalogue.contracts == {}


@hypothesis.given(seed=strategies.integers(0, 1 << 30))
def test_syncing_stores_converge_and_their_revisions_never_decrease(seed):
    rng = random.Random(seed)
    platform = {d.key: d for d in samples.documents()}
    stores = [configuration.Store() for _ in range(4)]
    last_revisions = [0] * 4
    for revision in range(2, 40):
        platform["zones"] = zones_at(
            revision, *rng.sample(("za", "zb", "zc"), rng.randrange(3))
        )
        reader = rng.choice(stores)
        # A stale platform replica returns old documents.
        shown = list(platform.values())
        if rng.random() < 0.3:
            shown = samples.documents()
        reader.offer(shown)
        for _ in range(rng.randrange(4)):
            one, other = rng.sample(stores, 2)
            one.offer(other.changed_after(one.revision))
        for index, store in enumerate(stores):
            assert store.revision >= last_revisions[index]
            last_revisions[index] = store.revision
    stores[0].offer(list(platform.values()))
    for store in stores[1:]:
        store.offer(stores[0].changed_after(store.revision))
    assert {store.revision for store in stores} == {39}
    distinct_zone_states = {
        tuple(store.catalogue.is_zone_in_service(z) for z in ("za", "zb", "zc"))
        for store in stores
    }
    assert len(distinct_zone_states) == 1
