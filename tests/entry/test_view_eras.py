"""Tests of views whose store comes back from a copy."""

import hypothesis
import pytest
from hypothesis import strategies

from citrondoor import discovery
from citrondoor import entry
from citrondoor import errors
from citrondoor.codecs import peers as codec
from citrondoor.discovery import _registry
from citrondoor.entry import _view
from citrondoor.schema import serving
from tests import serving_samples as samples

HOLD_MS = discovery.RETURNED_HOLD_MS
IDS = [f"i-{n}" for n in range(3)]


def make_contents(position, version=1, upstreams=(), evacuated=()):
    return entry.StoreContents(
        position, samples.route_set(version), list(upstreams), list(evacuated)
    )


def make_view(*contents):
    events = []
    view = entry.LocalView(lambda *event: events.append(event), {})
    for each in contents:
        view.apply_store_contents(each, 0)
    return view, events


def pull(target, source, now=0, is_whole=False):
    """Exchanges what is newer, encoded, as daemons do."""
    if not _view.is_newer(source.stamp, target.stamp):
        return
    request = (
        target.whole_request()
        if is_whole
        else serving.ViewRequest(target.stamp)
    )
    reply = source.updates_after(request.known, now)
    reply = codec.decode(serving.ViewNews, codec.encode(reply))
    target.apply_updates(reply, "peer", now, is_whole)


def usable_ids(view):
    return sorted(u.id for u in view.registry.all_usable_upstreams())


OLD = discovery.Position(1, 90)
RETURNED = discovery.Position(2, 60)


def test_a_view_of_a_later_era_is_newer_whatever_its_revisions():
    returned, _ = make_view(make_contents(RETURNED))
    behind, _ = make_view(make_contents(OLD))
    assert _view.is_newer(returned.stamp, behind.stamp)
    assert not _view.is_newer(behind.stamp, returned.stamp)


def test_a_new_era_reaches_daemons_that_do_not_read_the_store():
    # Guards against daemons that wait for revisions above those of the era
    # before.
    reader, _ = make_view(
        make_contents(OLD, 4, [samples.upstream("i-1")]),
        make_contents(RETURNED, 3, [samples.upstream("i-2")], ["b"]),
    )
    other, events = make_view(make_contents(OLD, 4, [samples.upstream("i-1")]))
    pull(other, reader)
    assert other.stamp == reader.stamp
    assert usable_ids(other) == ["i-1", "i-2"]
    assert other.evacuated_zones.zones == {"b"}
    assert other.routes.version == 4
    assert "store_era_began" in [kind for kind, _ in events]
    draining = samples.upstream("i-2", state=samples.DRAINING)
    reader.apply_store_contents(
        make_contents(discovery.Position(2, 61), 3, [draining]), 10
    )
    pull(other, reader, 10)
    assert usable_ids(other) == ["i-1"]


def test_an_answer_of_the_era_before_changes_nothing():
    # Guards against a late read that undoes what is known of the new era.
    view, _ = make_view(make_contents(RETURNED, 1, [samples.upstream("i-1")]))
    late = make_contents(OLD, 7, [samples.upstream("i-2")], ["a"])
    view.apply_store_contents(late, 10)
    assert usable_ids(view) == ["i-1"]
    assert view.evacuated_zones.zones == set()
    assert (view.routes.version, view.position) == (1, RETURNED)


def test_the_store_is_not_read_if_it_is_in_the_era_before():
    view, _ = make_view(make_contents(RETURNED))
    with pytest.raises(errors.OldEraError, match="of era 1, while era 2"):
        view.check_store_contents(make_contents(OLD))


def test_a_peer_of_the_era_before_changes_only_the_routes():
    # Its version may be in force there already, and may never fall.
    behind, _ = make_view(make_contents(OLD, 7, [samples.upstream("i-2")]))
    view, _ = make_view(make_contents(RETURNED, 1, [samples.upstream("i-1")]))
    pull(view, behind)
    assert usable_ids(view) == ["i-1"]
    assert (view.routes.version, view.position) == (7, RETURNED)


def test_an_evacuation_that_the_copy_lacks_holds_until_it_is_written_again():
    upstreams = [samples.upstream("i-1", zone="a")]
    view, _ = make_view(
        make_contents(OLD, 1, upstreams, ["a"]),
        make_contents(RETURNED, 1, upstreams),
    )
    view.end_carry_over(HOLD_MS - 1, HOLD_MS - 1)
    assert usable_ids(view) == []
    view.end_carry_over(HOLD_MS, HOLD_MS)
    assert usable_ids(view) == ["i-1"]


def test_subscribers_hear_of_the_end_of_the_carry_over():
    view, _ = make_view(
        make_contents(OLD, 1, [samples.upstream("i-1")]),
        make_contents(RETURNED),
    )
    calls = []
    view.subscribe(lambda: calls.append(usable_ids(view)))
    view.end_carry_over(HOLD_MS, HOLD_MS)
    assert calls == [[]]


class Store:
    """A store whose searchers and operator write again what a drill lost.

    Attributes:
      position: Its position.
      entries: State and start of the process of each registered searcher.
      truth: What each searcher would write now; None if it has left.
    """

    def __init__(self):
        self.position = discovery.Position(1, 0)
        self.entries = {}
        self.zones = set()
        self.truth = {}
        self.version = 1
        self.copies = []
        self.copy()

    def copy(self):
        self.copies.append(
            (
                self.position.revision,
                dict(self.entries),
                set(self.zones),
                self.version,
            )
        )

    def change(self, upstream_id, state, born_ms):
        self.truth[upstream_id] = state and (state, born_ms)
        self.write(upstream_id)

    def write(self, upstream_id):
        entry_ = self.truth.get(upstream_id)
        if self.entries.get(upstream_id) == entry_:
            return
        self._advance()
        if entry_ is None:
            del self.entries[upstream_id]
        else:
            self.entries[upstream_id] = entry_

    def write_version(self, version):
        self._advance()
        self.version = version

    def _advance(self):
        era, revision = self.position.era, self.position.revision
        self.position = discovery.Position(era, revision + 1)

    def drill(self, index):
        """Comes back from one of the copies made in this era."""
        copy = self.copies[index % len(self.copies)]
        revision, entries, zones, self.version = copy
        self.entries, self.zones = dict(entries), set(zones)
        self.position = discovery.Position(self.position.era + 1, revision)
        self.copies = [copy]

    def contents(self):
        upstreams = [
            samples.upstream(i, state=state, born_ms=born_ms)
            for i, (state, born_ms) in sorted(self.entries.items())
        ]
        return make_contents(self.position, self.version, upstreams, self.zones)


VIEWS = strategies.integers(0, 3)
STEPS = strategies.one_of(
    strategies.tuples(
        strategies.sampled_from(("start", "drain", "leave")),
        strategies.integers(0, len(IDS) - 1),
    ),
    strategies.tuples(strategies.just("write"), strategies.integers(0, 2)),
    strategies.tuples(strategies.just("copy")),
    strategies.tuples(strategies.just("drill"), strategies.integers(0, 3)),
    strategies.tuples(strategies.just("version")),
    strategies.tuples(
        strategies.sampled_from(("read", "begin", "late", "restart")),
        strategies.integers(0, 1),
    ),
    strategies.tuples(
        strategies.sampled_from(("pull", "pull", "whole")), VIEWS, VIEWS
    ),
    strategies.tuples(strategies.just("wait"), strategies.integers(1, 4000)),
)


class Play:
    """Views of several daemons, of which the first two read the store."""

    def __init__(self):
        self.store = Store()
        self.views = [make_view()[0] for _ in range(4)]
        self.late = {}
        self.read_at = [0] * 4
        self.now = 0
        self.newest_version = 1
        self.born_ms = 0

    def step(self, kind, *arguments):
        getattr(self, f"do_{kind}")(*arguments)
        versions = [view.routes.version for view in self.views]
        self.newest_version = max(self.newest_version, *versions)

    def do_start(self, number):
        self.born_ms += 1
        self.store.change(IDS[number], samples.READY, self.born_ms)

    def do_drain(self, number):
        truth = self.store.truth.get(IDS[number])
        if truth is not None:
            self.store.change(IDS[number], samples.DRAINING, truth[1])

    def do_leave(self, number):
        self.store.change(IDS[number], None, 0)

    def do_write(self, number):
        self.store.write(IDS[number])

    def do_copy(self):
        self.store.copy()

    def do_drill(self, index):
        self.store.drill(index)

    def do_version(self):
        # The operator's versions rise, also when older ones were lost.
        self.newest_version += 1
        self.store.write_version(self.newest_version)

    def do_begin(self, number):
        self.late[number] = (self.store.contents(), self.now)

    def do_late(self, number):
        if number in self.late:
            self.apply(number, *self.late.pop(number))

    def do_read(self, number):
        self.apply(number, self.store.contents(), self.now)

    def apply(self, number, contents, read_at):
        view = self.views[number]
        old_version = view.routes.version
        try:
            view.check_store_contents(contents)
        except errors.OldEraError:
            return
        view.apply_store_contents(contents, self.now)
        self.read_at[number] = max(self.read_at[number], read_at)
        assert view.routes.version >= old_version

    def do_restart(self, number):
        self.views[number] = make_view()[0]
        self.late.pop(number, None)

    def do_pull(self, target, source, is_whole=False):
        one, other = self.views[target], self.views[source]
        pull(one, other, self.now, is_whole)
        if (
            other.is_complete
            and one.position.era == other.position.era
            and not _view.is_newer(other.stamp, one.stamp)
        ):
            read_at = max(self.read_at[target], self.read_at[source])
            self.read_at[target] = read_at

    def do_whole(self, target, source):
        self.do_pull(target, source, True)

    def do_wait(self, duration_ms):
        self.now += duration_ms
        for view, read_at in zip(self.views, self.read_at, strict=True):
            view.end_carry_over(read_at, self.now)

    def settle(self):
        """Lets what was lost be written again, read and exchanged."""
        for upstream_id in IDS:
            self.store.write(upstream_id)
        if self.store.version < self.newest_version:
            self.store.write_version(self.newest_version)
        for _ in range(12):
            for number in (0, 1):
                self.do_read(number)
            for target in range(4):
                for source in range(4):
                    is_whole = self.views[target].needs_whole(self.now)
                    self.do_pull(target, source, is_whole)
            self.do_wait(1000)


@hypothesis.settings(max_examples=300)
@hypothesis.given(strategies.lists(STEPS, min_size=10, max_size=40))
def test_all_views_are_what_the_store_holds_once_it_is_quiet(steps):
    # Guards against views that stay different after returns from copies,
    # whatever is read, exchanged, lost and written again in between.
    play = Play()
    for step in steps:
        play.step(*step)
    play.settle()
    expected = sorted(
        upstream_id
        for upstream_id, (state, _) in play.store.entries.items()
        if state == samples.READY
    )
    for view in play.views:
        assert view.position == play.store.position
        assert usable_ids(view) == expected
        assert view.routes.version == play.newest_version
        assert view.registry.carried_over_count == 0
        assert view.registry.held_count == 0


@hypothesis.settings(max_examples=200)
@hypothesis.given(strategies.lists(STEPS, max_size=30))
def test_no_order_of_events_brings_a_drained_searcher_back_with_a_copy(steps):
    # Guards against requests to a searcher that all daemons knew to have
    # drained before the return from the copy.
    play = Play()
    play.do_start(0)
    play.do_copy()
    play.do_drain(0)
    for number in range(4):
        play.do_read(number % 2)
        play.do_pull(number, number % 2)
    play.do_drill(1)
    # The searcher does not write again, and no other one has its id.
    for step in steps:
        if step in (("start", 0), ("write", 0), ("drain", 0), ("leave", 0)):
            continue
        if step[0] in ("restart", "drill", "copy"):
            continue
        if play.now + (step[1] if step[0] == "wait" else 0) >= HOLD_MS:
            break
        play.step(*step)
        for view in play.views:
            assert IDS[0] not in usable_ids(view)


def test_a_tombstone_of_the_era_before_ends_in_time():
    view, _ = make_view(
        make_contents(discovery.Position(1, 80), 1, [samples.upstream("i-1")]),
        make_contents(OLD),
        make_contents(RETURNED, 1, [samples.upstream("i-2")]),
    )
    later = discovery.Position(2, 61)
    now = _registry.TOMBSTONE_MS + 1
    view.apply_store_contents(
        make_contents(later, 1, [samples.upstream("i-2")]), now
    )
    assert view.registry.registered_ids() == {"i-2"}
    assert view.updates_after(serving.ViewStamp(0, -1, -1), now).stamp.era == 2


def test_a_peer_without_a_view_leaves_this_one_in_place():
    # Guards against a daemon that stops serving because of a peer's message.
    view, _ = make_view(make_contents(OLD, 1, [samples.upstream("i-1")]))
    stamp = serving.ViewStamp(1, -1, -1, 3)
    view.apply_updates(serving.ViewNews(stamp, None, []), "peer", 0)
    assert view.is_complete
    assert view.position == OLD
