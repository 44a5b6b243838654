import hypothesis
from hypothesis import strategies

from citrondoor import discovery
from citrondoor.discovery import _registry
from citrondoor.schema import serving
from tests import serving_samples as samples


def make_registry():
    events = []
    registry = discovery.Registry(lambda kind, detail: events.append(kind))
    return registry, events


def usable_ids(registry, backend="store"):
    return [u.id for u in registry.usable_upstreams(backend)]


def test_a_listing_adds_and_removes_searchers():
    registry, _ = make_registry()
    registry.apply_listing([samples.upstream("i-1")], 5, 0)
    assert usable_ids(registry) == ["i-1"]
    registry.apply_listing([samples.upstream("i-2")], 6, 10)
    assert usable_ids(registry) == ["i-2"]


def test_an_older_listing_changes_nothing():
    registry, _ = make_registry()
    registry.apply_listing([samples.upstream("i-1")], 5, 0)
    registry.apply_listing([], 4, 10)
    assert usable_ids(registry) == ["i-1"]


def test_draining_and_evacuated_searchers_are_not_usable():
    registry, events = make_registry()
    registry.apply_listing([samples.upstream("i-1")], 5, 0)
    draining = samples.upstream("i-1", state=samples.DRAINING)
    registry.apply_listing([draining], 6, 10)
    assert usable_ids(registry) == []
    assert "upstream_draining" in events
    registry.apply_listing([samples.upstream("i-2", zone="b")], 7, 20)
    registry.set_evacuated(frozenset({"b"}))
    assert usable_ids(registry) == []
    registry.set_evacuated(frozenset())
    assert usable_ids(registry) == ["i-2"]


def test_searchers_missing_after_an_outage_are_kept_for_the_grace_period():
    registry, _ = make_registry()
    registry.apply_listing([samples.upstream("i-1")], 5, 0)
    registry.on_store_recovered(10_000)
    registry.apply_listing([], 9, 10_000)
    assert usable_ids(registry) == ["i-1"]
    registry.apply_listing([], 10, 10_000 + _registry.RECOVERY_GRACE_MS - 1)
    assert usable_ids(registry) == ["i-1"]
    registry.apply_listing([], 11, 10_000 + _registry.RECOVERY_GRACE_MS)
    assert usable_ids(registry) == []


def test_a_warm_up_that_starts_again_makes_the_searcher_cold():
    registry, _ = make_registry()
    registry.apply_listing([samples.upstream("i-1")], 5, 0)
    assert registry.cold_until("i-1") == 0
    cold = samples.upstream("i-1", warm_in_ms=3000)
    registry.apply_listing([cold], 6, 1000)
    assert registry.cold_until("i-1") == 4000
    assert registry.changes_after(5, 2000)[0].upstream.warm_in_ms == 2000


def test_a_restart_under_the_same_id_is_reported():
    registry, events = make_registry()
    registry.apply_listing([samples.upstream("i-1")], 5, 0)
    registry.apply_listing([samples.upstream("i-1", born_ms=2)], 6, 0)
    assert events == ["upstream_seen", "upstream_restarted"]


def test_older_updates_of_a_peer_do_not_undo_a_removal():
    registry, _ = make_registry()
    registry.apply_listing([samples.upstream("i-1")], 5, 0)
    registry.apply_listing([], 8, 10)
    stale = serving.UpstreamNews("i-1", 5, samples.upstream("i-1"))
    registry.apply_updates([stale], 6, 20)
    assert usable_ids(registry) == []
    assert registry.revision == 8


@hypothesis.given(
    strategies.lists(
        strategies.sets(strategies.integers(0, 4)), min_size=1, max_size=8
    ),
    strategies.lists(strategies.integers(0, 7), max_size=8),
)
def test_a_peer_that_receives_updates_irregularly_ends_up_equal(
    listings, update_revisions
):
    # Each listing is one revision; the peer receives updates after some.
    lister, _ = make_registry()
    peer, _ = make_registry()
    for revision, names in enumerate(listings):
        upstreams = [samples.upstream(f"i-{n}") for n in sorted(names)]
        lister.apply_listing(upstreams, revision, revision)
        if revision in update_revisions or revision == len(listings) - 1:
            updates = lister.changes_after(peer.revision, revision)
            peer.apply_updates(updates, lister.revision, revision)
    assert sorted(usable_ids(peer)) == sorted(usable_ids(lister))
    assert peer.revision == lister.revision
