"""What this daemon believes of every searcher.

Entries come from listings of the store and from peers, in any order. Each
carries the store's revision at which it was true, and the highest one wins.
"""

from collections.abc import Callable

from citrondoor.schema import serving

# Entries that lapsed during an outage of the store are back within two seconds
# of its return, by the platform's contract; half a second is for the reading.
RETURN_GRACE_MS = 2500
# A removal is passed on to peers for this long.
TOMBSTONE_MS = 60_000
# A remaining warm-up that grew by more than this is a new one.
COLD_AGAIN_MS = 500


class _Record:
    __slots__ = ("changed_at_revision", "cold_until", "removed_at", "upstream")

    def __init__(self, upstream: serving.Upstream | None, revision: int):
        self.upstream = upstream
        self.changed_at_revision = revision
        self.cold_until = 0
        self.removed_at = 0


class Registry:
    """The searchers that may exist.

    Args:
      listener: Called with the kind and detail of each change.
    """

    __slots__ = (
        "_by_backend",
        "_evacuated",
        "_listener",
        "_records",
        "_revision",
        "_store_back_at",
        "_version",
    )

    def __init__(self, listener: Callable[[str, str], None]):
        self._listener = listener
        self._records: dict[str, _Record] = {}
        self._by_backend: dict[str, list[serving.Upstream]] | None = None
        self._evacuated: frozenset[str] = frozenset()
        self._store_back_at: int | None = None
        self._revision = -1
        self._version = 0

    @property
    def revision(self) -> int:
        """Every change up to this revision of the store is known."""
        return self._revision

    @property
    def version(self) -> int:
        """Grows with each change of who may receive work."""
        return self._version

    def usable_upstreams(self, backend: str) -> list[serving.Upstream]:
        """Returns searchers of a back end that may receive new work."""
        if self._by_backend is None:
            self._by_backend = self._index()
        return self._by_backend.get(backend, [])

    def find(self, upstream_id: str) -> serving.Upstream | None:
        """Returns a searcher if it may receive new work."""
        record = self._records.get(upstream_id)
        if record is None or not self._is_usable(record.upstream):
            return None
        return record.upstream

    def all_usable_upstreams(self) -> list[serving.Upstream]:
        """Returns all searchers that may receive new work."""
        if self._by_backend is None:
            self._by_backend = self._index()
        return [u for found in self._by_backend.values() for u in found]

    def cold_until(self, upstream_id: str) -> int:
        """Returns the clock reading until which a searcher is cold."""
        record = self._records.get(upstream_id)
        return 0 if record is None else record.cold_until

    def mark_cold(self, upstream_id: str, remaining_ms: int, now: int) -> None:
        """Notes how long a searcher says that it stays cold."""
        record = self._records.get(upstream_id)
        if record is not None:
            record.cold_until = max(record.cold_until, now + remaining_ms)

    def set_evacuated(self, zones: frozenset[str]) -> None:
        """Takes the zones whose searchers get no work."""
        if zones != self._evacuated:
            self._evacuated = zones
            self._changed()

    def on_store_recovered(self, now: int) -> None:
        """Notes that the store answers after nobody could reach it."""
        self._store_back_at = now

    def apply_listing(
        self, upstreams: list[serving.Upstream], revision: int, now: int
    ) -> None:
        """Takes all entries of the store as of one revision.

        Args:
          upstreams: Readable entries; others name no searcher to use.
          revision: Revision of the store when the listing began.
          now: Clock reading.
        """
        if revision < self._revision:
            return
        listed = {upstream.id for upstream in upstreams}
        for upstream in upstreams:
            self._put(upstream, revision, now)
        if not self._is_returning(now):
            for upstream_id, record in self._records.items():
                if record.upstream is not None and upstream_id not in listed:
                    self._remove(upstream_id, record, revision, now)
            self._revision = revision
        self._forget(now)

    def apply_updates(
        self, news: list[serving.UpstreamNews], revision: int, now: int
    ) -> None:
        """Takes a peer's changes, complete up to a revision."""
        for item in news:
            record = self._records.get(item.id)
            known = -1 if record is None else record.changed_at_revision
            if item.revision <= known:
                continue
            if item.upstream is not None:
                self._put(item.upstream, item.revision, now)
            elif record is not None and record.upstream is not None:
                self._remove(item.id, record, item.revision, now)
        self._revision = max(self._revision, revision)

    def changes_after(
        self, revision: int, now: int
    ) -> list[serving.UpstreamNews]:
        """Returns what changed after a revision, removals included."""
        return [
            serving.UpstreamNews(
                upstream_id,
                record.changed_at_revision,
                self._as_told(record, now),
            )
            for upstream_id, record in self._records.items()
            if record.changed_at_revision > revision
        ]

    def _is_returning(self, now: int) -> bool:
        back_at = self._store_back_at
        return back_at is not None and now - back_at < RETURN_GRACE_MS

    def _as_told(self, record: _Record, now: int) -> serving.Upstream | None:
        upstream = record.upstream
        if upstream is not None:
            upstream.warm_in_ms = max(0, record.cold_until - now)
        return upstream

    def _put(self, upstream: serving.Upstream, revision: int, now: int) -> None:
        record = self._records.get(upstream.id)
        cold_until = now + upstream.warm_in_ms
        if record is not None and record.upstream is not None:
            is_colder = cold_until > record.cold_until + COLD_AGAIN_MS
            if upstream.warm_in_ms and is_colder:
                record.cold_until = cold_until
                record.changed_at_revision = revision
            if _same(record.upstream, upstream):
                return
        if record is None:
            record = self._records[upstream.id] = _Record(None, revision)
        was = record.upstream
        record.upstream = upstream
        record.changed_at_revision = revision
        record.cold_until = cold_until if upstream.warm_in_ms else 0
        self._changed()
        self._report(was, upstream, revision)

    def _report(
        self,
        was: serving.Upstream | None,
        upstream: serving.Upstream,
        revision: int,
    ) -> None:
        kind = "upstream_seen"
        if upstream.state == serving.UpstreamState.DRAINING:
            kind = "upstream_draining"
        elif was is not None and was.born_ms != upstream.born_ms:
            kind = "upstream_restarted"
        self._listener(
            kind, f"{upstream.id} {upstream.backend} revision {revision}"
        )

    def _remove(
        self, upstream_id: str, record: _Record, revision: int, now: int
    ) -> None:
        record.upstream = None
        record.changed_at_revision = revision
        record.removed_at = now
        self._changed()
        self._listener("upstream_gone", f"{upstream_id} revision {revision}")

    def _forget(self, now: int) -> None:
        old = [
            upstream_id
            for upstream_id, record in self._records.items()
            if record.upstream is None
            and now - record.removed_at > TOMBSTONE_MS
        ]
        for upstream_id in old:
            del self._records[upstream_id]

    def _changed(self) -> None:
        self._by_backend = None
        self._version += 1

    def _index(self) -> dict[str, list[serving.Upstream]]:
        index: dict[str, list[serving.Upstream]] = {}
        for record in self._records.values():
            if self._is_usable(record.upstream):
                upstream = record.upstream
                index.setdefault(upstream.backend, []).append(upstream)
        return index

    def _is_usable(self, upstream: serving.Upstream | None) -> bool:
        return (
            upstream is not None
            and upstream.zone not in self._evacuated
            and upstream.state == serving.UpstreamState.READY
        )


def _same(one: serving.Upstream, other: serving.Upstream) -> bool:
    return (
        one.born_ms == other.born_ms
        and one.state == other.state
        and one.backend == other.backend
        and one.host == other.host
        and one.port == other.port
        and one.zone == other.zone
        and one.capacity == other.capacity
    )
