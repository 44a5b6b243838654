import random
import sys
import tracemalloc

import pytest

from citrondoor import entry
from citrondoor import errors
from citrondoor.codecs import peers as codec
from citrondoor.schema import serving
from tests import serving_samples as samples

REGIONS = {"a": "r1", "b": "r2"}


def make_view(max_bytes=sys.maxsize):
    return entry.LocalView(lambda kind, detail: None, REGIONS, max_bytes)


def make_contents(revision, version=1, upstreams=(), evacuated=()):
    return entry.StoreContents(
        samples.position(revision),
        samples.route_set(version),
        list(upstreams),
        list(evacuated),
    )


def test_a_peer_with_an_empty_view_receives_all_of_it():
    reader, peer = make_view(), make_view()
    reader.apply_store_contents(
        make_contents(5, 2, [samples.upstream()], ["b"]), 0
    )
    assert not peer.is_complete
    peer.apply_updates(reader.updates_after(peer.stamp, 0), "peer", 0)
    assert peer.is_complete
    assert peer.stamp == reader.stamp
    assert peer.evacuated_zones.zones == {"b"}


def test_only_newer_parts_are_sent_to_a_peer():
    reader, peer = make_view(), make_view()
    reader.apply_store_contents(make_contents(5, 2, [samples.upstream()]), 0)
    peer.apply_updates(reader.updates_after(peer.stamp, 0), "peer", 0)
    updates = reader.updates_after(peer.stamp, 0)
    assert (updates.routes, updates.upstreams, updates.evacuated) == (
        None,
        [],
        None,
    )


def test_older_routes_do_not_replace_newer_ones():
    view = make_view()
    view.apply_store_contents(make_contents(5, 9), 0)
    view.apply_store_contents(make_contents(6, 4), 0)
    assert view.routes.version == 9


def test_routes_stay_if_the_store_has_no_readable_ones():
    view = make_view()
    view.apply_store_contents(make_contents(5, 9), 0)
    view.apply_store_contents(
        entry.StoreContents(samples.position(6), None, [], []), 0
    )
    assert view.routes.version == 9


def test_subscribers_are_called_only_for_changes():
    view = make_view()
    calls = []
    view.subscribe(lambda: calls.append(1))
    view.apply_store_contents(make_contents(5, 1, [samples.upstream()]), 0)
    view.apply_store_contents(make_contents(6, 1, [samples.upstream()]), 0)
    assert len(calls) == 1


def test_zones_of_a_region_are_found():
    assert make_view().zones_of(["r1"]) == {"a"}


def test_searchers_of_an_evacuated_zone_are_unusable_until_its_return():
    view = make_view()
    upstreams = [
        samples.upstream("i-1", zone="a"),
        samples.upstream("i-2", zone="b"),
    ]
    view.apply_store_contents(make_contents(5, 1, upstreams, ["a"]), 0)
    assert [
        upstream.id for upstream in view.registry.usable_upstreams("store")
    ] == ["i-2"]
    view.apply_store_contents(make_contents(6, 1, upstreams), 0)
    assert len(view.registry.usable_upstreams("store")) == 2


def test_an_evacuation_written_between_two_pages_reaches_all_daemons():
    # Guards against a set of zones that is newer than its revision says.
    reader, other_reader, peer = make_view(), make_view(), make_view()
    other_reader.apply_store_contents(make_contents(5), 0)
    peer.apply_updates(other_reader.updates_after(peer.stamp, 0), "b", 0)
    # Its first page is of revision 5, and the zone was written at 6.
    reader.apply_store_contents(make_contents(5, evacuated=["a"]), 0)
    reader.apply_store_contents(make_contents(6, evacuated=["a"]), 10)
    peer.apply_updates(reader.updates_after(peer.stamp, 10), "a", 10)
    assert peer.evacuated_zones.zones == {"a"}


def test_older_evacuations_do_not_replace_newer_ones():
    view = make_view()
    view.apply_store_contents(make_contents(8, 1, [], ["a"]), 0)
    stale = serving.ViewNews(serving.ViewStamp(1, 3, 3), None, [], [])
    view.apply_updates(stale, "peer", 0)
    assert view.evacuated_zones.zones == {"a"}


def make_upstreams(count, prefix="i"):
    return [samples.upstream(f"{prefix}-{n}") for n in range(count)]


def test_a_peer_cannot_make_the_view_take_more_than_its_limit():
    reader, peer = make_view(), make_view(100_000)
    reader.apply_store_contents(make_contents(5, 2, make_upstreams(20)), 0)
    peer.apply_updates(reader.updates_after(peer.stamp, 0), "peer", 0)
    old_stamp = peer.stamp
    reader.apply_store_contents(make_contents(6, 3, make_upstreams(200)), 0)
    with pytest.raises(errors.ViewTooLargeError, match="raise `memory_mb`"):
        peer.apply_updates(reader.updates_after(peer.stamp, 0), "peer", 0)
    assert peer.stamp == old_stamp
    assert len(peer.registry.all_usable_upstreams()) == 20


def test_routes_count_in_the_size_of_the_view():
    view = make_view(1_000_000)
    contents = make_contents(5, 2, make_upstreams(20))
    view.check_store_contents(contents)
    backends = [
        serving.RouteBackend(f"shard-{n}", "", 16, 0, 0.0) for n in range(5000)
    ]
    contents.routes.backends = backends
    with pytest.raises(errors.ViewTooLargeError):
        view.check_store_contents(contents)


def test_removed_searchers_give_way_to_those_that_are_listed():
    # 15,000 new ids each second kept 60 s of tombstones.
    view = make_view(100_000)
    for revision in range(100):
        contents = make_contents(
            revision, 2, make_upstreams(60, f"r{revision}")
        )
        view.check_store_contents(contents)
        view.apply_store_contents(contents, revision)
        assert view.registry.kept_bytes <= 100_000
        assert len(view.registry.all_usable_upstreams()) == 60
    # A peer whose view is older learns that it may miss removals.
    assert view.registry.removals_known_after > 50


def test_the_size_of_the_view_follows_all_changes():
    rng = random.Random(5)
    view, other = make_view(), make_view()
    for revision in range(200):
        upstreams = rng.sample(make_upstreams(40), rng.randrange(40))
        target = rng.choice([view, other])
        contents = make_contents(revision, 2, upstreams)
        target.apply_store_contents(contents, revision * 1000)
        now = revision * 1000
        other.apply_updates(view.updates_after(other.stamp, now), "p", now)
    for registry in (view.registry, other.registry):
        fresh = make_view()
        fresh.apply_updates(
            entry_updates(registry, now), "p", now, is_whole=True
        )
        assert registry.kept_bytes == fresh.registry.kept_bytes


def entry_updates(registry, now):
    return serving.ViewNews(
        serving.ViewStamp(0, registry.revision, 0),
        None,
        registry.changes_after(-1, now),
        None,
        -1,
    )


def test_the_estimate_of_the_view_is_near_what_it_takes():
    source = make_view()
    upstreams = [
        serving.Upstream(
            f"search-{n:06}",
            f"shard-{n // 3:05}",
            f"10.0.{n // 256}.{n % 256}",
            8000 + n % 100,
            f"zone-{n % 5}",
            16,
            serving.UpstreamState.READY,
            0,
            1_765_000_000_000 + n,
        )
        for n in range(5000)
    ]
    source.apply_store_contents(make_contents(10**6, 1, upstreams), 0)
    view = make_view()
    data = codec.encode(source.updates_after(view.stamp, 0))
    tracemalloc.start()
    view.apply_updates(codec.decode(serving.ViewNews, data), "p", 0)
    kept_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert 0.9 < view.registry.kept_bytes / kept_bytes < 1.7
