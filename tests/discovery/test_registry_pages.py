"""Tests of registries that read the store page by page while it changes."""

import hypothesis
from hypothesis import strategies

from citrondoor import discovery
from citrondoor.discovery import _registry
from citrondoor.schema import serving
from tests import serving_samples as samples

IDS = [f"i-{n}" for n in range(4)]
PAGE_ITEMS = 2


class PagedStore:
    """A store that is read page by page.

    Attributes:
      history: Revision and state of each change of an id, oldest first. The
        state is None while there is no entry.
    """

    def __init__(self):
        self.revision = 0
        self.history = {i: [(0, None)] for i in IDS}
        self.created = {}

    def change(self, upstream_id, state):
        self.revision += 1
        if self.state(upstream_id) != state:
            if self.state(upstream_id) is None:
                self.created[upstream_id] = self.revision
            self.history[upstream_id].append((self.revision, state))

    def state(self, upstream_id):
        return self.history[upstream_id][-1][1]

    def states_since(self, upstream_id, revision):
        """Returns the states of an id at a revision and after it."""
        states = []
        for changed_at, state in self.history[upstream_id]:
            if changed_at <= revision:
                states.clear()
            states.append(state)
        return states

    def read_page(self, after):
        ids = [i for i in IDS if i > after and self.state(i) is not None]
        entries = [samples.upstream(i, state=self.state(i)) for i in ids]
        return entries[:PAGE_ITEMS], len(entries) > PAGE_ITEMS


class Daemon:
    """A registry that reads the store, and exchanges changes with others."""

    def __init__(self, store):
        self.store = store
        self.restart()

    def restart(self):
        self.registry = discovery.Registry(lambda kind, detail: None)
        self.revisions = None

    def read_page(self, now):
        """Reads the next page, or the first one of a listing."""
        store = self.store
        if self.revisions is None:
            self.began_at = store.revision
            self.revisions = discovery.ListingRevisions(store.revision)
            self.entries = []
        after = self.entries[-1].id if self.entries else ""
        entries, is_truncated = store.read_page(after)
        self.entries += entries
        for upstream in entries:
            created = store.created[upstream.id]
            self.revisions.add_created(upstream.id, created)
        last_id = entries[-1].id if is_truncated else None
        self.revisions.add_page(store.revision, last_id)
        if not is_truncated:
            self.registry.apply_listing(
                self.entries, self.began_at, now, self.revisions
            )
            self.revisions = None

    def pull(self, source, now, is_whole=False):
        known = -1 if is_whole else self.registry.revision
        listed_after = source.listed_after(known)
        changed_after = known if listed_after is None else listed_after
        # A peer's changes arrive as copies.
        updates = [
            serving.UpstreamNews(
                update.id,
                update.revision,
                update.upstream
                and samples.upstream(update.id, state=update.upstream.state),
                update.created_revision,
            )
            for update in source.changes_after(changed_after, now)
        ]
        self.registry.apply_updates(
            updates,
            source.revision,
            now,
            source.removals_known_after,
            is_whole,
            listed_after,
            source.known_since if known < 0 else None,
        )

    def state(self, upstream_id):
        upstream = self.registry.find_registered(upstream_id)
        return None if upstream is None else upstream.state

    def assert_up_to_date(self):
        """Asserts that all changes up to the known revision are in the view."""
        revision = self.registry.revision
        if revision < 0:
            return
        for upstream_id in IDS:
            possible = self.store.states_since(upstream_id, revision)
            assert self.state(upstream_id) in possible, (upstream_id, revision)


DAEMON_COUNT = 3
DAEMONS = strategies.integers(0, DAEMON_COUNT - 1)
READERS = strategies.integers(0, 1)
STEPS = strategies.one_of(
    strategies.tuples(
        strategies.sampled_from(("register", "drain", "remove")),
        strategies.sampled_from(IDS),
    ),
    strategies.tuples(strategies.sampled_from(("page", "list")), READERS),
    strategies.tuples(strategies.just("pull"), DAEMONS, DAEMONS),
    strategies.tuples(
        strategies.sampled_from(("pull", "pull", "whole")), DAEMONS, DAEMONS
    ),
    strategies.tuples(
        strategies.sampled_from(("page", "list", "restart", "wait")), READERS
    ),
)


def change_store(store, kind, upstream_id):
    state = store.state(upstream_id)
    if kind == "register" and state is None:
        store.change(upstream_id, samples.READY)
    elif kind == "drain" and state is samples.READY:
        store.change(upstream_id, samples.DRAINING)
    elif kind == "remove" and state is not None:
        store.change(upstream_id, None)


def play(store, daemons, steps):
    now = 0
    for kind, *arguments in steps:
        now += 1
        if kind == "page":
            daemons[arguments[0]].read_page(now)
        elif kind == "list":
            read_whole(daemons[arguments[0]], now)
        elif kind == "restart":
            daemons[arguments[0]].restart()
        elif kind == "wait":
            now += _registry.TOMBSTONE_MS
            for daemon in daemons:
                daemon.registry._drop_old_tombstones(now)
        elif kind in ("pull", "whole"):
            target, source = (daemons[number] for number in arguments)
            if source.registry.revision > target.registry.revision:
                target.pull(source.registry, now, kind == "whole")
        else:
            change_store(store, kind, arguments[0])
        for daemon in daemons:
            daemon.assert_up_to_date()
    return now


def read_whole(daemon, now):
    """Reads the remaining pages, or all if no listing has begun."""
    daemon.read_page(now)
    while daemon.revisions is not None:
        daemon.read_page(now)


def make_full_store():
    store = PagedStore()
    for upstream_id in IDS:
        store.change(upstream_id, samples.READY)
    return store


@hypothesis.settings(max_examples=400)
@hypothesis.given(strategies.lists(STEPS, min_size=20, max_size=40))
@hypothesis.example(
    [
        ("page", 0),
        ("drain", "i-0"),
        ("list", 1),
        ("pull", 2, 1),
        ("drain", "i-3"),
        ("list", 0),
        ("list", 0),
        ("pull", 2, 0),
    ]
)
def test_no_change_is_lost_however_pages_and_messages_overlap(steps):
    # Guards against a daemon that claims a revision and lacks a change that a
    # reader saw between two pages, or between two readers.
    store = make_full_store()
    play(store, [Daemon(store) for _ in range(DAEMON_COUNT)], steps)


def test_a_drain_between_two_pages_reaches_a_peer_that_knows_more():
    # Guards against requests to a draining searcher from all daemons that do
    # not read the store.
    store = make_full_store()
    reader, other_reader, peer = (Daemon(store) for _ in range(3))
    reader.read_page(1)
    store.change("i-0", samples.DRAINING)
    read_whole(other_reader, 2)
    peer.pull(other_reader.registry, 2)
    store.change("i-3", samples.DRAINING)
    # The reader sees this change on its last page, and the peer knows a higher
    # revision than that of its first page.
    read_whole(reader, 3)
    read_whole(reader, 4)
    peer.pull(reader.registry, 5)
    assert peer.state("i-3") == samples.DRAINING


def test_a_removal_between_two_pages_is_stamped_with_its_page():
    # Guards against a removal that is older than what peers know.
    store = make_full_store()
    reader = Daemon(store)
    read_whole(reader, 0)
    reader.read_page(1)
    store.change("i-3", None)
    read_whole(reader, 2)
    (removal,) = reader.registry.changes_after(store.revision - 1, 3)
    assert (removal.id, removal.revision) == ("i-3", store.revision)
    assert removal.upstream is None


def test_an_entry_that_a_peer_knows_from_a_later_page_is_kept():
    # Guards against a listing that removes what was registered after it was
    # read.
    store = PagedStore()
    store.change("i-0", samples.READY)
    store.change("i-1", samples.READY)
    reader = Daemon(store)
    read_whole(reader, 0)
    revisions = discovery.ListingRevisions(store.revision)
    revisions.add_page(store.revision, None)
    entries = [samples.upstream("i-0"), samples.upstream("i-1")]
    began_at = store.revision
    # The other reader saw the new entry on a page after its first one.
    late = serving.UpstreamNews("i-3", began_at + 1, samples.upstream("i-3"))
    reader.registry.apply_updates([late], began_at, 1)
    reader.registry.apply_listing(entries, began_at, 2, revisions)
    assert reader.state("i-3") == samples.READY


def test_a_registration_that_was_renewed_unseen_reaches_other_daemons():
    # Guards against a searcher that stays unused where its removal was seen.
    store = make_full_store()
    first, second, peer = (Daemon(store) for _ in range(3))
    read_whole(first, 0)
    store.change("i-3", None)
    read_whole(second, 1)
    peer.pull(second.registry, 2)
    assert peer.state("i-3") is None
    store.change("i-3", samples.READY)
    read_whole(first, 3)
    peer.pull(first.registry, 4)
    assert peer.state("i-3") == samples.READY


def test_a_reader_that_has_just_started_knows_no_removals_of_its_first_read():
    # Guards against a removal that happened while the first pages were read.
    store = make_full_store()
    peer, restarted = Daemon(store), Daemon(store)
    read_whole(peer, 0)
    restarted.read_page(1)
    store.change("i-3", None)
    read_whole(restarted, 2)
    read_whole(restarted, 3)
    peer.pull(restarted.registry, 4)
    peer.assert_up_to_date()
    assert peer.registry.behind_since == 4


def test_an_entry_that_its_peer_never_saw_is_gone():
    # Guards against a searcher that one reader sees for a moment, while the
    # other reader, which peers ask later, never does.
    store = make_full_store()
    store.change("i-0", None)
    reader, other_reader, peer = (Daemon(store) for _ in range(3))
    for daemon in (reader, other_reader):
        read_whole(daemon, 0)
    store.change("i-0", samples.READY)
    read_whole(other_reader, 1)
    peer.pull(other_reader.registry, 2)
    assert peer.state("i-0") == samples.READY
    store.change("i-0", None)
    read_whole(reader, 3)
    peer.pull(reader.registry, 4)
    assert peer.state("i-0") is None
    # The removal reaches daemons behind this one as well.
    other_reader.pull(peer.registry, 5)
    assert other_reader.state("i-0") is None


def test_a_new_daemon_tells_of_entries_that_its_source_never_saw():
    # Guards against the same by way of a daemon that has just started.
    store = make_full_store()
    store.change("i-0", None)
    reader, other_reader, restarted = (Daemon(store) for _ in range(3))
    read_whole(reader, 0)
    store.change("i-0", samples.READY)
    read_whole(other_reader, 1)
    store.change("i-0", None)
    read_whole(reader, 2)
    restarted.pull(reader.registry, 3)
    other_reader.pull(restarted.registry, 4)
    other_reader.assert_up_to_date()
    assert other_reader.registry.revision == store.revision


def test_an_older_removal_does_not_hide_a_later_one():
    # Guards against a searcher that is kept as its first removal is listed.
    store = make_full_store()
    reader, other_reader, restarted = (Daemon(store) for _ in range(3))
    read_whole(reader, 0)
    store.change("i-0", None)
    read_whole(reader, 1)
    store.change("i-0", samples.READY)
    read_whole(other_reader, 2)
    store.change("i-0", None)
    read_whole(reader, 3)
    restarted.pull(reader.registry, 4)
    other_reader.pull(restarted.registry, 5)
    assert other_reader.state("i-0") is None
    for is_whole in (False, True):
        store.change("i-0", samples.READY)
        read_whole(other_reader, 6)
        store.change("i-0", None)
        read_whole(reader, 7)
        other_reader.pull(reader.registry, 8, is_whole)
        assert other_reader.state("i-0") is None
