"""This daemon's local view of the registered searchers.

Entries come from listings of the store and from peers, in any order. Each has a
store revision at which it was current; the entry with the highest one counts.
It is never lower than the revision of the change itself: a peer asks for what
changed after the revision up to which it knows all changes, and would otherwise
never receive this one.

All revisions are of one era of the store. When the next era begins, searchers
are carried over: they stay as they were, without a revision, until a listing of
the new era shows them or has lacked them for long enough.
"""

from collections.abc import Callable
from collections.abc import Iterable

from citrondoor.discovery import _departures
from citrondoor.discovery import _listing_revisions
from citrondoor.discovery import _returned_entries
from citrondoor.discovery import _revision_history
from citrondoor.schema import serving

# For this long after an outage of the store, searchers missing from a listing
# are kept. The platform guarantees that entries that expired in the outage are
# back within two seconds of its end; half a second more allows for reading
# them.
RECOVERY_GRACE_MS = 2500
# For this long after the store came back from a copy, an incarnation that was
# leaving or gone before gets no requests, whatever its entry says. The store
# drops the entry of an ended searcher 3.6 s after its last heartbeat.
RETURNED_HOLD_MS = 10_000
# A removed searcher is kept as a tombstone for this long, so that peers receive
# the removal.
TOMBSTONE_MS = 60_000
# A warm-up whose end moved later by more than this is a new one; smaller shifts
# come from delays of reads and messages.
WARMUP_RESTART_MS = 500


# Estimated memory of a searcher and of a tombstone besides their texts.
_UPSTREAM_BYTES = 768
_TOMBSTONE_BYTES = 384
# Revision of a record that was carried over from the era before.
_CARRIED_OVER = -1


class _Record:
    __slots__ = (
        "born_ms",
        "changed_at_revision",
        "cold_until",
        "created_revision",
        "removed_at",
        "upstream",
    )

    def __init__(self, upstream: serving.Upstream | None, revision: int):
        self.upstream = upstream
        self.changed_at_revision = revision
        # Revision at which the entry was created; -1 if unknown.
        self.created_revision = -1
        self.cold_until = 0
        self.removed_at = 0
        # Start of the process that has, or had, the entry; 0 if unknown.
        self.born_ms = 0 if upstream is None else upstream.born_ms

    @property
    def is_carried_over(self) -> bool:
        return self.changed_at_revision == _CARRIED_OVER


class Registry:
    """The registered searchers, with tombstones of removed ones.

    Args:
      listener: Called with the kind and detail of each change of a searcher.
    """

    __slots__ = (
        "_behind_since",
        "_departures",
        "_era_began_at",
        "_evacuated",
        "_history",
        "_listener",
        "_live_bytes",
        "_records",
        "_removals_known_after",
        "_returned_entries",
        "_revision",
        "_store_recovered_at",
        "_tombstone_bytes",
        "_usable_by_backend",
        "_version",
    )

    def __init__(self, listener: Callable[[str, str], None]):
        self._listener = listener
        self._records: dict[str, _Record] = {}
        self._departures = _departures.Departures()
        self._returned_entries = _returned_entries.ReturnedEntries()
        # Clock time in ms; None once no searcher is carried over any more.
        self._era_began_at: int | None = None
        self._history = _revision_history.RevisionHistory()
        # Estimated memory of searchers and of tombstones.
        self._live_bytes = 0
        self._tombstone_bytes = 0
        self._usable_by_backend: dict[str, list[serving.Upstream]] | None = None
        self._evacuated: frozenset[str] = frozenset()
        self._store_recovered_at: int | None = None
        self._revision = -1
        # Removals up to this revision may be missing from `changes_after`.
        self._removals_known_after = -1
        self._behind_since: int | None = None
        self._version = 0

    @property
    def revision(self) -> int:
        """Store revision up to which every change is known; -1 at first."""
        return self._revision

    @property
    def removals_known_after(self) -> int:
        """Store revision after which all removals of searchers are known.

        Changes after an older revision are incomplete: tombstones are kept for
        a while only, and a daemon that has just started has none.
        """
        return self._removals_known_after

    @property
    def known_since(self) -> int | None:
        """Lowest revision known to have been complete; None before one was."""
        return self._history.known_since

    @property
    def behind_since(self) -> int | None:
        """Clock time of the first incomplete update since a complete one."""
        return self._behind_since

    @property
    def kept_bytes(self) -> int:
        """Estimate of the memory of searchers, tombstones and departures."""
        return (
            self._live_bytes
            + self._tombstone_bytes
            + self._departures.kept_bytes
            + self._returned_entries.kept_bytes
        )

    @property
    def carried_over_count(self) -> int:
        """Number of searchers that the store's era has not shown so far."""
        return sum(
            record.upstream is not None and record.is_carried_over
            for record in self._records.values()
        )

    @property
    def held_count(self) -> int:
        """Number of incarnations that get no requests after a new era."""
        return self._returned_entries.count

    @property
    def version(self) -> int:
        """Grows with each change that may affect the usable searchers."""
        return self._version

    def estimate_listing(self, upstreams: list[serving.Upstream]) -> int:
        """Returns the memory of the searchers after a listing, in bytes.

        Those that it lacks may be kept for a while.
        """
        listed = {upstream.id for upstream in upstreams}
        return sum(map(_estimate, upstreams)) + sum(
            _estimate(record.upstream)
            for upstream_id, record in self._records.items()
            if record.upstream is not None and upstream_id not in listed
        )

    def estimate_updates(self, updates: list[serving.UpstreamNews]) -> int:
        """Returns the memory of the searchers after a peer's changes."""
        live_bytes = self._live_bytes
        for update in updates:
            record = self._records.get(update.id)
            if update.upstream is not None:
                live_bytes += _estimate(update.upstream)
                if record is not None:
                    live_bytes -= _estimate(record.upstream)
        return live_bytes

    def drop_tombstones(self, max_bytes: int) -> None:
        """Drops the oldest tombstones while more memory is kept.

        Args:
          max_bytes: Limit on `kept_bytes`.
        """
        if self.kept_bytes <= max_bytes:
            return
        tombstones = sorted(
            (record.removed_at, upstream_id)
            for upstream_id, record in self._records.items()
            if record.upstream is None
        )
        for _, upstream_id in tombstones:
            if self.kept_bytes <= max_bytes:
                return
            self._drop_tombstone(upstream_id)

    def usable_upstreams(self, backend: str) -> list[serving.Upstream]:
        """Returns the searchers of a back end that may receive new work."""
        if self._usable_by_backend is None:
            self._usable_by_backend = self._index_by_backend()
        return self._usable_by_backend.get(backend, [])

    def find(self, upstream_id: str) -> serving.Upstream | None:
        """Returns a searcher; None if it may not receive new work."""
        record = self._records.get(upstream_id)
        if record is None or not self._is_usable(record):
            return None
        return record.upstream

    def find_registered(self, upstream_id: str) -> serving.Upstream | None:
        """Returns a searcher even if it may not receive new work, or None."""
        record = self._records.get(upstream_id)
        return None if record is None else record.upstream

    def registered_ids(self) -> set[str]:
        """Returns the ids of all searchers, usable or not."""
        return {
            upstream_id
            for upstream_id, record in self._records.items()
            if record.upstream is not None
        }

    def all_usable_upstreams(self) -> list[serving.Upstream]:
        """Returns all searchers that may receive new work."""
        if self._usable_by_backend is None:
            self._usable_by_backend = self._index_by_backend()
        return [
            upstream
            for upstreams in self._usable_by_backend.values()
            for upstream in upstreams
        ]

    def cold_until(self, upstream_id: str) -> int:
        """Returns the clock time in ms until which a searcher is cold.

        It is 0 for an unknown searcher.
        """
        record = self._records.get(upstream_id)
        return 0 if record is None else record.cold_until

    def mark_cold(self, upstream_id: str, remaining_ms: int, now: int) -> None:
        """Records the remaining warm-up time that a searcher reports.

        A report never shortens the time that is already recorded.
        """
        record = self._records.get(upstream_id)
        if record is not None:
            record.cold_until = max(record.cold_until, now + remaining_ms)

    def mark_leaving(self, upstream_id: str, born_ms: int, now: int) -> bool:
        """Records that a searcher says in an answer that it is leaving.

        This incarnation gets no new work, whatever the store and peers say, and
        whether or not it is registered now.

        Args:
          upstream_id: Id of the searcher.
          born_ms: Start of its process in Unix ms.
          now: Clock time in ms.

        Returns:
          Whether this was not known.
        """
        if not self._departures.add(upstream_id, born_ms, now):
            return False
        self._on_usable_changed()
        self._listener("upstream_leaving", f"{upstream_id} born {born_ms}")
        return True

    def set_evacuated(self, zones: frozenset[str]) -> None:
        """Sets the zones whose searchers get no new work."""
        if zones != self._evacuated:
            self._evacuated = zones
            self._on_usable_changed()

    def begin_era(self, now: int) -> None:
        """Begins an era of the store, whose revisions start anew.

        The caller applies the first listing of the era, or all that a peer
        knows of it, immediately afterwards.
        """
        held_until = now + RETURNED_HOLD_MS
        for upstream_id, record in self._records.items():
            upstream = record.upstream
            is_leaving = (
                upstream is None
                or upstream.state == serving.UpstreamState.DRAINING
                or self._returned_entries.includes(upstream)
            )
            if is_leaving and record.born_ms:
                self._returned_entries.add(
                    upstream_id, record.born_ms, held_until
                )
            record.changed_at_revision = _CARRIED_OVER
            record.created_revision = -1
        self._history = _revision_history.RevisionHistory()
        self._revision = -1
        self._removals_known_after = -1
        self._behind_since = None
        # What an outage would keep is carried over.
        self._store_recovered_at = None
        self._era_began_at = now
        self._on_usable_changed()

    def end_carry_over(self, read_at: int, now: int) -> None:
        """Removes searchers that the store's era lacks once they had time.

        Args:
          read_at: Clock time in ms of the newest read of the store that the
            view includes.
          now: Clock time in ms.
        """
        if self._returned_entries.drop_old(now):
            self._on_usable_changed()
        began_at = self._era_began_at
        if began_at is None or self._is_in_recovery_grace(now):
            return
        if read_at - began_at < RECOVERY_GRACE_MS:
            return
        self._era_began_at = None
        for upstream_id, record in self._records.items():
            if record.upstream is not None and record.is_carried_over:
                self._remove(upstream_id, record, self._revision, now)

    def on_store_recovered(self, now: int) -> None:
        """Starts the grace period after an outage for all daemons."""
        self._store_recovered_at = now

    def apply_listing(
        self,
        upstreams: list[serving.Upstream],
        revision: int,
        now: int,
        revisions: _listing_revisions.ListingRevisions | None = None,
    ) -> None:
        """Applies a listing of all entries of the store.

        Searchers missing from the listing are removed. In the grace period
        after an outage they are kept, and the known revision stays unchanged. A
        listing older than the known revision is ignored, and in other ones what
        is older than the known state of a searcher.

        Args:
          upstreams: Entries that could be decoded. A searcher whose entry could
            not be decoded counts as missing.
          revision: Revision of the store when the listing began, up to which
            it holds all changes.
          now: Clock time in ms.
          revisions: Revisions of the pages; None if all are of `revision`.
        """
        if revision < self._revision:
            return
        if revisions is None:
            revisions = _listing_revisions.ListingRevisions(revision)
        listed = {upstream.id for upstream in upstreams}
        for upstream in upstreams:
            self._apply_listed(upstream, revisions, now)
        if not self._is_in_recovery_grace(now):
            for upstream_id, record in self._records.items():
                missing_at = revisions.revision_of(upstream_id)
                if (
                    record.upstream is not None
                    and not record.is_carried_over
                    and upstream_id not in listed
                    and record.changed_at_revision <= missing_at
                ):
                    self._remove(upstream_id, record, missing_at, now)
            if self._revision < 0:
                # Entries that were removed while the pages were read may never
                # have been seen.
                self._removals_known_after = revisions.newest
            self._advance(revision)
        self._drop_old_tombstones(now)
        self._departures.drop_old(self.find_registered, now)

    def _apply_listed(
        self,
        upstream: serving.Upstream,
        revisions: _listing_revisions.ListingRevisions,
        now: int,
    ) -> None:
        revision = revisions.revision_of(upstream.id)
        record = self._records.get(upstream.id)
        known = -1 if record is None else record.changed_at_revision
        if revision < known:
            return
        if _is_superseded(record, upstream):
            self._hold(upstream, RETURNED_HOLD_MS, now)
            return
        self._apply_entry(upstream, revision, now)
        created_revision = revisions.created_at(upstream.id)
        if created_revision > known or known == _CARRIED_OVER:
            # Its removal was not seen here, but may have been seen elsewhere.
            self._records[upstream.id].changed_at_revision = revision
        self._set_created(upstream.id, created_revision)

    def _set_created(self, upstream_id: str, revision: int) -> None:
        record = self._records[upstream_id]
        if record.created_revision != revision:
            record.created_revision = revision
            self._history.add_created(upstream_id, revision)

    def apply_updates(
        self,
        updates: list[serving.UpstreamNews],
        revision: int,
        now: int,
        removals_known_after: int = -1,
        is_whole: bool = False,
        listed_after: int | None = None,
        known_since: int | None = None,
    ) -> None:
        """Applies a peer's changes.

        If a removal may be missing from them, the known revision stays
        unchanged, so that the daemon asks other peers or the store: otherwise a
        searcher that left while this daemon was cut off would be used for ever.

        Args:
          updates: The changes; whole entries and removals.
          revision: Store revision up to which they are complete.
          now: Clock time in ms.
          removals_known_after: Store revision after which no removal is
            missing.
          is_whole: Whether these are all searchers that the peer knows.
          listed_after: Store revision after which these are all searchers that
            were registered; None if unknown.
          known_since: Lowest revision that the peer has known in full. A daemon
            without a view takes over what the peer knows, and so this as well.
        """
        for update in updates:
            record = self._records.get(update.id)
            known = -1 if record is None else record.changed_at_revision
            if update.revision <= known:
                continue
            if update.upstream is not None:
                if _is_superseded(record, update.upstream):
                    self._hold(update.upstream, RETURNED_HOLD_MS, now)
                    continue
                if update.held_ms is not None:
                    self._hold(update.upstream, update.held_ms, now)
                self._apply_entry(update.upstream, update.revision, now)
                # Also if nothing differs: the searcher may have changed and
                # changed back, which other daemons have to learn.
                self._records[update.id].changed_at_revision = update.revision
                if update.created_revision is not None:
                    self._set_created(update.id, update.created_revision)
            else:
                self._apply_removal(update, record, now)
        # An older removal does not tell that its searcher is registered again.
        listed = {
            update.id for update in updates if update.upstream is not None
        }
        if listed_after is not None:
            # Registered and removed again between two readings of the peer.
            self._remove_unlisted(
                self._history.created_after(listed_after), listed, revision, now
            )
        if is_whole:
            self._remove_unlisted(self._records, listed, revision, now)
        elif 0 <= self._revision < removals_known_after:
            if self._behind_since is None:
                self._behind_since = now
            return
        if self._revision < 0 and known_since is not None:
            self._history.advance(known_since)
        if self._revision < 0 or is_whole:
            self._removals_known_after = removals_known_after
        self._advance(max(self._revision, revision))

    def _hold(self, upstream: serving.Upstream, held_ms: int, now: int) -> None:
        until = now + min(held_ms, RETURNED_HOLD_MS)
        self._returned_entries.add(upstream.id, upstream.born_ms, until)
        self._on_usable_changed()

    def _apply_removal(
        self, update: serving.UpstreamNews, record: _Record | None, now: int
    ) -> None:
        if record is not None and record.upstream is not None:
            self._remove(update.id, record, update.revision, now)
            return
        # Another daemon may know a searcher that this one never knew, and may
        # learn from this one that it is gone.
        if record is None:
            record = self._records[update.id] = _Record(None, update.revision)
            self._tombstone_bytes += _tombstone_size(update.id)
        record.changed_at_revision = update.revision
        record.removed_at = now

    def _advance(self, revision: int) -> None:
        self._revision = revision
        self._history.advance(revision)
        self._behind_since = None

    def _remove_unlisted(
        self,
        upstream_ids: Iterable[str],
        listed: set[str],
        revision: int,
        now: int,
    ) -> None:
        """Removes searchers that were gone at a revision of the store."""
        for upstream_id in upstream_ids:
            record = self._records.get(upstream_id)
            if (
                record is not None
                and record.upstream is not None
                and not record.is_carried_over
                and upstream_id not in listed
                and record.changed_at_revision <= revision
            ):
                self._remove(upstream_id, record, revision, now)

    def listed_after(self, revision: int) -> int | None:
        """Returns from which revision on changes are to be sent to a peer.

        It is the last one that was known here in full and is not above the
        peer's: what was registered and removed since may be unknown here.

        Args:
          revision: Revision that the peer knows in full.

        Returns:
          The revision, or None if none was that low or it was too long ago.
        """
        return self._history.last_known(revision)

    def changes_after(
        self, revision: int, now: int
    ) -> list[serving.UpstreamNews]:
        """Returns the changes after a store revision, removals included."""
        return [
            serving.UpstreamNews(
                upstream_id,
                record.changed_at_revision,
                self._update_remaining_warmup(record, now),
                None
                if record.created_revision < 0
                else record.created_revision,
                None
                if record.upstream is None
                else self._returned_entries.remaining_ms(record.upstream, now),
            )
            for upstream_id, record in self._records.items()
            if record.changed_at_revision > revision
        ]

    def _is_in_recovery_grace(self, now: int) -> bool:
        recovered_at = self._store_recovered_at
        return (
            recovered_at is not None and now - recovered_at < RECOVERY_GRACE_MS
        )

    def _update_remaining_warmup(
        self, record: _Record, now: int
    ) -> serving.Upstream | None:
        """Sets the entry's remaining warm-up time and returns the entry."""
        upstream = record.upstream
        if upstream is not None:
            upstream.warm_in_ms = max(0, record.cold_until - now)
        return upstream

    def _apply_entry(
        self, upstream: serving.Upstream, revision: int, now: int
    ) -> None:
        record = self._records.get(upstream.id)
        cold_until = now + upstream.warm_in_ms
        if record is not None and record.upstream is not None:
            is_new_warmup = cold_until > record.cold_until + WARMUP_RESTART_MS
            if upstream.warm_in_ms and is_new_warmup:
                record.cold_until = cold_until
                record.changed_at_revision = revision
            if _is_same_registration(record.upstream, upstream):
                return
        if record is None:
            record = self._records[upstream.id] = _Record(None, revision)
        elif record.upstream is None:
            self._tombstone_bytes -= _tombstone_size(upstream.id)
        previous = record.upstream
        self._live_bytes += _estimate(upstream) - _estimate(previous)
        record.upstream = upstream
        record.born_ms = upstream.born_ms
        record.changed_at_revision = revision
        record.cold_until = cold_until if upstream.warm_in_ms else 0
        self._on_usable_changed()
        self._notify_listener(previous, upstream, revision)

    def _notify_listener(
        self,
        previous: serving.Upstream | None,
        upstream: serving.Upstream,
        revision: int,
    ) -> None:
        kind = "upstream_seen"
        if self._departures.includes(upstream):
            kind = "upstream_still_leaving"
        elif self._returned_entries.includes(upstream):
            kind = "upstream_held"
        elif upstream.state == serving.UpstreamState.DRAINING:
            kind = "upstream_draining"
        elif previous is not None and previous.born_ms != upstream.born_ms:
            kind = "upstream_restarted"
        self._listener(
            kind, f"{upstream.id} {upstream.backend} revision {revision}"
        )

    def _remove(
        self, upstream_id: str, record: _Record, revision: int, now: int
    ) -> None:
        self._live_bytes -= _estimate(record.upstream)
        self._tombstone_bytes += _tombstone_size(upstream_id)
        record.upstream = None
        record.created_revision = -1
        record.changed_at_revision = revision
        record.removed_at = now
        self._on_usable_changed()
        self._listener("upstream_gone", f"{upstream_id} revision {revision}")

    def _drop_old_tombstones(self, now: int) -> None:
        old = [
            upstream_id
            for upstream_id, record in self._records.items()
            if record.upstream is None
            and now - record.removed_at > TOMBSTONE_MS
        ]
        for upstream_id in old:
            self._drop_tombstone(upstream_id)

    def _drop_tombstone(self, upstream_id: str) -> None:
        record = self._records.pop(upstream_id)
        self._tombstone_bytes -= _tombstone_size(upstream_id)
        self._removals_known_after = max(
            self._removals_known_after, record.changed_at_revision
        )

    def _on_usable_changed(self) -> None:
        self._usable_by_backend = None
        self._version += 1

    def _index_by_backend(self) -> dict[str, list[serving.Upstream]]:
        upstreams_by_backend: dict[str, list[serving.Upstream]] = {}
        for record in self._records.values():
            if self._is_usable(record):
                upstream = record.upstream
                upstreams_by_backend.setdefault(upstream.backend, []).append(
                    upstream
                )
        return upstreams_by_backend

    def _is_usable(self, record: _Record) -> bool:
        upstream = record.upstream
        return (
            upstream is not None
            and upstream.zone not in self._evacuated
            and upstream.state == serving.UpstreamState.READY
            and not self._departures.includes(upstream)
            and not self._returned_entries.includes(upstream)
        )


def _is_superseded(record: _Record | None, upstream: serving.Upstream) -> bool:
    """Returns whether a copy brought back an earlier incarnation."""
    return (
        record is not None
        and record.is_carried_over
        and upstream.born_ms < record.born_ms
    )


def _estimate(upstream: serving.Upstream | None) -> int:
    """Returns the memory of a searcher and its record, in bytes."""
    if upstream is None:
        return 0
    return (
        _UPSTREAM_BYTES
        + 2 * len(upstream.id)
        + len(upstream.backend)
        + len(upstream.host)
        + len(upstream.zone)
    )


def _tombstone_size(upstream_id: str) -> int:
    return _TOMBSTONE_BYTES + len(upstream_id)


def _is_same_registration(
    one: serving.Upstream, other: serving.Upstream
) -> bool:
    return (
        one.born_ms == other.born_ms
        and one.state == other.state
        and one.backend == other.backend
        and one.host == other.host
        and one.port == other.port
        and one.zone == other.zone
        and one.capacity == other.capacity
    )
