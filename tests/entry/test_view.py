from citrondoor import entry
from citrondoor.schema import serving
from tests import serving_samples as samples

REGIONS = {"a": "r1", "b": "r2"}


def make_view():
    return entry.LocalView(lambda kind, detail: None, REGIONS)


def make_contents(revision, version=1, upstreams=(), evacuated=()):
    return entry.StoreContents(
        revision,
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
    view.apply_store_contents(entry.StoreContents(6, None, [], []), 0)
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


def test_older_evacuations_do_not_replace_newer_ones():
    view = make_view()
    view.apply_store_contents(make_contents(8, 1, [], ["a"]), 0)
    stale = serving.ViewNews(serving.ViewStamp(1, 3, 3), None, [], [])
    view.apply_updates(stale, "peer", 0)
    assert view.evacuated_zones.zones == {"a"}
