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


def mark_leaving(registry, upstream, now=0):
    return registry.mark_leaving(upstream.id, upstream.born_ms, now)


def test_a_searcher_that_says_it_leaves_is_not_used_whatever_others_say():
    registry, events = make_registry()
    ready = samples.upstream("i-1")
    registry.apply_listing([ready], 5, 0)
    assert mark_leaving(registry, ready)
    assert not mark_leaving(registry, ready)
    assert events.count("upstream_leaving") == 1
    assert usable_ids(registry) == []
    registry.apply_listing([ready], 6, 10)
    peer_update = serving.UpstreamNews("i-1", 7, samples.upstream("i-1"))
    registry.apply_updates([peer_update], 7, 20)
    registry.apply_listing([], 8, 30)
    registry.apply_listing([ready], 9, 40)
    assert usable_ids(registry) == []
    assert registry.find("i-1") is None
    restarted = samples.upstream("i-1", born_ms=2)
    registry.apply_listing([restarted], 10, 50)
    assert usable_ids(registry) == ["i-1"]


def test_a_leaving_searcher_is_not_used_after_two_peers_tell_of_its_removal():
    # Guards against a late write of the store that brings back the entry of a
    # searcher after a second removal has replaced its record.
    registry, events = make_registry()
    ready = samples.upstream("i-1")
    registry.apply_listing([ready], 5, 0)
    mark_leaving(registry, ready)
    for revision in (6, 7):
        removal = serving.UpstreamNews("i-1", revision)
        registry.apply_updates([removal], revision, 10)
    returned = serving.UpstreamNews("i-1", 8, samples.upstream("i-1"))
    registry.apply_updates([returned], 8, 20)
    assert usable_ids(registry) == []
    assert events[-1] == "upstream_still_leaving"


def test_a_searcher_that_leaves_after_its_removal_is_not_used_again():
    # Guards against an answer that arrives once the entry is gone.
    registry, _ = make_registry()
    ready = samples.upstream("i-1")
    registry.apply_listing([ready], 5, 0)
    registry.apply_listing([], 6, 10)
    now = 20 + _registry.TOMBSTONE_MS
    registry.apply_listing([], 7, now)
    assert mark_leaving(registry, ready, now)
    registry.apply_listing([ready], 8, now + 10)
    assert usable_ids(registry) == []


def test_a_leaving_searcher_is_not_used_after_its_tombstone_is_dropped():
    # Guards against a mark that ends with the record it hangs on.
    registry, _ = make_registry()
    ready = samples.upstream("i-1")
    registry.apply_listing([ready], 5, 0)
    mark_leaving(registry, ready)
    registry.apply_listing([], 6, 10)
    registry.drop_tombstones(0)
    registry.apply_listing([ready], 7, 20)
    assert usable_ids(registry) == []


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(("list", "update", "drop", "wait")),
            strategies.booleans(),
        ),
        max_size=12,
    )
)
def test_no_order_of_events_makes_a_leaving_searcher_usable(steps):
    registry, _ = make_registry()
    ready = samples.upstream("i-1")
    registry.apply_listing([ready], 5, 0)
    mark_leaving(registry, ready)
    now = 0
    for revision, (kind, is_registered) in enumerate(steps, 6):
        entries = [samples.upstream("i-1")] if is_registered else []
        if kind == "list":
            registry.apply_listing(entries, revision, now)
        elif kind == "update":
            update = serving.UpstreamNews("i-1", revision, *entries)
            registry.apply_updates([update], revision, now)
        elif kind == "drop":
            registry.drop_tombstones(0)
        else:
            now += _registry.TOMBSTONE_MS + 1
        assert usable_ids(registry) == []


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


def pull(peer, source, now, is_whole=False):
    """Gives a registry the changes of another one, as daemons exchange them."""
    known = -1 if is_whole else peer.revision
    peer.apply_updates(
        source.changes_after(known, now),
        source.revision,
        now,
        source.removals_known_after,
        is_whole,
    )


def test_a_searcher_that_left_during_a_long_cut_is_not_used_again():
    # The tombstone is gone when the daemon is back: its peer has forgotten that
    # the searcher ever existed.
    reader, _ = make_registry()
    cut_off, _ = make_registry()
    reader.apply_listing([samples.upstream("i-1")], 5, 0)
    pull(cut_off, reader, 0)
    reader.apply_listing([samples.upstream("i-2")], 6, 10)
    back_at = 20 + _registry.TOMBSTONE_MS
    reader.apply_listing([samples.upstream("i-2")], 7, back_at)
    pull(cut_off, reader, back_at)
    # It does not pretend to know the changes, so it asks others or the store.
    assert cut_off.revision == 5
    assert cut_off.behind_since == back_at
    pull(cut_off, reader, back_at, is_whole=True)
    assert usable_ids(cut_off) == ["i-2"]
    assert (cut_off.revision, cut_off.behind_since) == (7, None)


def test_a_restarted_daemon_does_not_hide_that_a_searcher_left():
    # It has read the store after the searcher left, so it knows of no removal.
    reader, _ = make_registry()
    other, _ = make_registry()
    reader.apply_listing([samples.upstream("i-1")], 5, 0)
    pull(other, reader, 0)
    restarted, _ = make_registry()
    restarted.apply_listing([], 8, 10)
    pull(other, restarted, 10)
    assert other.revision == 5
    reader.apply_listing([], 8, 10)
    pull(other, reader, 20)
    assert usable_ids(other) == []
    assert (other.revision, other.behind_since) == (8, None)


def test_a_restarted_daemon_passes_removals_on_that_it_has_received():
    reader, _ = make_registry()
    other, _ = make_registry()
    restarted, _ = make_registry()
    reader.apply_listing([samples.upstream("i-1")], 5, 0)
    pull(other, reader, 0)
    reader.apply_listing([], 6, 10)
    pull(restarted, reader, 20)
    pull(other, restarted, 30)
    assert usable_ids(other) == []
    assert other.revision == 6


DAEMONS = strategies.integers(0, 3)


@hypothesis.given(
    strategies.lists(
        strategies.one_of(
            strategies.tuples(
                strategies.just("list"),
                DAEMONS,
                strategies.sets(strategies.integers(0, 3)),
            ),
            strategies.tuples(
                strategies.sampled_from(("pull", "whole")), DAEMONS, DAEMONS
            ),
            strategies.tuples(
                strategies.just("restart"), DAEMONS, strategies.just(0)
            ),
            strategies.tuples(
                strategies.just("wait"), DAEMONS, strategies.just(0)
            ),
        ),
        max_size=25,
    )
)
@hypothesis.example(
    [
        ("list", 0, {1}),
        ("pull", 1, 0),
        ("list", 0, {2}),
        ("wait", 0, 0),
        ("list", 0, {2}),
        ("pull", 1, 0),
    ]
)
def test_no_daemon_uses_a_searcher_that_left_before_its_revision(steps):
    registries = [make_registry()[0] for _ in range(4)]
    # Searchers in the store, by revision.
    contents = [set()]
    now = 0
    for kind, first, second in steps:
        now += 1
        registry = registries[first]
        if kind == "list":
            contents.append(second)
            upstreams = [samples.upstream(f"i-{n}") for n in sorted(second)]
            registry.apply_listing(upstreams, len(contents) - 1, now)
        elif kind == "restart":
            registries[first] = make_registry()[0]
        elif kind == "wait":
            now += _registry.TOMBSTONE_MS
            for other in registries:
                other._drop_old_tombstones(now)
        elif registries[second].revision > registry.revision:
            pull(registry, registries[second], now, kind == "whole")
        for other in registries:
            since = max(0, other.revision)
            listed = set().union(*contents[since:])
            assert set(usable_ids(other)) <= {f"i-{n}" for n in listed}
