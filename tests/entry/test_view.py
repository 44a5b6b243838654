from citrondoor import entry
from citrondoor.schema import serving
from tests import serving_samples as samples

REGIONS = {"a": "r1", "b": "r2"}


def make():
    return entry.LocalView(lambda kind, detail: None, REGIONS)


def reading(revision, version=1, upstreams=(), evacuated=()):
    return entry.StoreContents(
        revision,
        samples.route_set(version),
        list(upstreams),
        list(evacuated),
    )


def test_a_peer_that_knows_nothing_learns_everything():
    leader, follower = make(), make()
    leader.take_reading(reading(5, 2, [samples.upstream()], ["b"]), 0)
    assert not follower.is_complete
    follower.apply_updates(leader.news_after(follower.stamp, 0), "peer", 0)
    assert follower.is_complete
    assert follower.stamp == leader.stamp
    assert follower.evacuated_zones.zones == {"b"}


def test_only_what_is_newer_is_sent():
    leader, follower = make(), make()
    leader.take_reading(reading(5, 2, [samples.upstream()]), 0)
    follower.apply_updates(leader.news_after(follower.stamp, 0), "peer", 0)
    news = leader.news_after(follower.stamp, 0)
    assert (news.routes, news.upstreams, news.evacuated) == (None, [], None)


def test_routes_never_go_back():
    view = make()
    view.take_reading(reading(5, 9), 0)
    view.take_reading(reading(6, 4), 0)
    assert view.routes.version == 9


def test_a_reading_without_a_readable_configuration_keeps_the_last():
    view = make()
    view.take_reading(reading(5, 9), 0)
    view.take_reading(entry.StoreContents(6, None, [], []), 0)
    assert view.routes.version == 9


def test_changes_are_told_once():
    view = make()
    calls = []
    view.subscribe(lambda: calls.append(1))
    view.take_reading(reading(5, 1, [samples.upstream()]), 0)
    view.take_reading(reading(6, 1, [samples.upstream()]), 0)
    assert len(calls) == 1


def test_zones_follow_from_regions():
    assert make().zones_of(["r1"]) == {"a"}


def test_an_evacuated_zone_gets_no_work_and_comes_back():
    view = make()
    found = [
        samples.upstream("i-1", zone="a"),
        samples.upstream("i-2", zone="b"),
    ]
    view.take_reading(reading(5, 1, found, ["a"]), 0)
    assert [u.id for u in view.registry.usable_upstreams("store")] == ["i-2"]
    view.take_reading(reading(6, 1, found), 0)
    assert len(view.registry.usable_upstreams("store")) == 2


def test_an_old_reading_of_evacuations_does_not_undo_a_newer_one():
    view = make()
    view.take_reading(reading(8, 1, [], ["a"]), 0)
    stale = serving.ViewNews(serving.ViewStamp(1, 3, 3), None, [], [])
    view.apply_updates(stale, "peer", 0)
    assert view.evacuated_zones.zones == {"a"}
