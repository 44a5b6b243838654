import hypothesis
from hypothesis import strategies

from citrondoor import discovery
from citrondoor.discovery import _registry
from citrondoor.schema import serving
from tests import serving_samples as samples


def make():
    events = []
    registry = discovery.Registry(lambda kind, detail: events.append(kind))
    return registry, events


def ids(registry, backend="store"):
    return [u.id for u in registry.usable_upstreams(backend)]


def test_a_listing_brings_and_removes_searchers():
    registry, _ = make()
    registry.apply_listing([samples.upstream("i-1")], 5, 0)
    assert ids(registry) == ["i-1"]
    registry.apply_listing([samples.upstream("i-2")], 6, 10)
    assert ids(registry) == ["i-2"]


def test_an_older_listing_changes_nothing():
    registry, _ = make()
    registry.apply_listing([samples.upstream("i-1")], 5, 0)
    registry.apply_listing([], 4, 10)
    assert ids(registry) == ["i-1"]


def test_draining_and_evacuated_searchers_get_no_work():
    registry, events = make()
    registry.apply_listing([samples.upstream("i-1")], 5, 0)
    draining = samples.upstream("i-1", state=samples.DRAINING)
    registry.apply_listing([draining], 6, 10)
    assert ids(registry) == []
    assert "upstream_draining" in events
    registry.apply_listing([samples.upstream("i-2", zone="b")], 7, 20)
    registry.set_evacuated(frozenset({"b"}))
    assert ids(registry) == []
    registry.set_evacuated(frozenset())
    assert ids(registry) == ["i-2"]


def test_entries_that_lapsed_during_an_outage_have_time_to_come_back():
    registry, _ = make()
    registry.apply_listing([samples.upstream("i-1")], 5, 0)
    registry.on_store_recovered(10_000)
    registry.apply_listing([], 9, 10_000)
    assert ids(registry) == ["i-1"]
    registry.apply_listing([], 10, 10_000 + _registry.RETURN_GRACE_MS - 1)
    assert ids(registry) == ["i-1"]
    registry.apply_listing([], 11, 10_000 + _registry.RETURN_GRACE_MS)
    assert ids(registry) == []


def test_a_warm_up_that_starts_again_is_noticed():
    registry, _ = make()
    registry.apply_listing([samples.upstream("i-1")], 5, 0)
    assert registry.cold_until("i-1") == 0
    cold = samples.upstream("i-1", warm_in_ms=3000)
    registry.apply_listing([cold], 6, 1000)
    assert registry.cold_until("i-1") == 4000
    assert registry.changes_after(5, 2000)[0].upstream.warm_in_ms == 2000


def test_a_restart_under_the_same_id_is_told():
    registry, events = make()
    registry.apply_listing([samples.upstream("i-1")], 5, 0)
    registry.apply_listing([samples.upstream("i-1", born_ms=2)], 6, 0)
    assert events == ["upstream_seen", "upstream_restarted"]


def test_news_of_a_peer_do_not_undo_a_later_removal():
    registry, _ = make()
    registry.apply_listing([samples.upstream("i-1")], 5, 0)
    registry.apply_listing([], 8, 10)
    stale = serving.UpstreamNews("i-1", 5, samples.upstream("i-1"))
    registry.apply_updates([stale], 6, 20)
    assert ids(registry) == []
    assert registry.revision == 8


@hypothesis.given(
    strategies.lists(
        strategies.sets(strategies.integers(0, 4)), min_size=1, max_size=8
    ),
    strategies.lists(strategies.integers(0, 7), max_size=8),
)
def test_a_follower_that_pulls_now_and_then_ends_equal(listings, pulls):
    # Each listing is one revision; the follower pulls after some of them.
    leader, _ = make()
    follower, _ = make()
    for revision, names in enumerate(listings):
        found = [samples.upstream(f"i-{n}") for n in sorted(names)]
        leader.apply_listing(found, revision, revision)
        if revision in pulls or revision == len(listings) - 1:
            news = leader.changes_after(follower.revision, revision)
            follower.apply_updates(news, leader.revision, revision)
    assert sorted(ids(follower)) == sorted(ids(leader))
    assert follower.revision == leader.revision
