"""Chooses the snapshot that a query searches."""

from citrondoor import declarations as declared
from citrondoor.routing import _chooser

# Time after which a searcher that reported a snapshot missing is tried again.
MISSING_TTL_MS = 1000


class SnapshotChooser:
    """Chooses among the snapshots of one back end.

    Records which searchers reported a declared snapshot as missing.

    Args:
      chooser: Chooser of the back end's replicas.
    """

    __slots__ = ("_chooser", "_missing_until", "_snapshots")

    def __init__(self, chooser: _chooser.ReplicaChooser):
        self._chooser = chooser
        self._snapshots: list[declared.SnapshotIndex] = []
        self._missing_until: dict[tuple[str, str], int] = {}

    def set_snapshots(self, snapshots: list[declared.SnapshotIndex]) -> None:
        """Replaces the declared snapshots, oldest first.

        Forgets what was reported on snapshots that are no longer declared.
        """
        self._snapshots = snapshots
        names = {snapshot.name for snapshot in snapshots}
        self._missing_until = {
            key: until
            for key, until in self._missing_until.items()
            if key[1] in names
        }

    def record_missing(self, searcher: str, snapshot: str, now: int) -> None:
        """Records that a searcher answered that it has no such snapshot."""
        self._missing_until[(searcher, snapshot)] = now + MISSING_TTL_MS

    def lacks(self, searcher: str, snapshot: str, now: int) -> bool:
        """Returns whether a searcher recently reported a snapshot missing.

        A report counts for `MISSING_TTL_MS`.
        """
        if not self._missing_until:
            return False
        return self._missing_until.get((searcher, snapshot), now) > now

    @property
    def newest(self) -> declared.SnapshotIndex | None:
        """The newest declared snapshot, or None if there is none."""
        return self._snapshots[-1] if self._snapshots else None

    def has_missing_reports(self) -> bool:
        """Returns whether there is any report, expired ones included."""
        return bool(self._missing_until)

    def choose(self, excluded, now: int) -> declared.SnapshotIndex | None:
        """Returns the newest snapshot with a usable replica of every group.

        When there is none, returns the newest that is not excluded, so that
        the answer covers its usable groups. None when all are excluded.

        Args:
          excluded: Names of snapshots that may not be chosen.
          now: Clock reading in ms.
        """
        candidates = [s for s in self._snapshots if s.name not in excluded]
        for snapshot in reversed(candidates):
            if self._is_fully_usable(snapshot, now):
                return snapshot
        return candidates[-1] if candidates else None

    def _is_fully_usable(
        self, snapshot: declared.SnapshotIndex, now: int
    ) -> bool:
        return all(
            self._has_usable_replica(group, snapshot.name, now)
            for group in snapshot.groups
        )

    def _has_usable_replica(
        self, group: declared.ReplicaGroup, snapshot: str, now: int
    ) -> bool:
        replicas = tuple(
            name
            for name in group.replicas
            if not self.lacks(name, snapshot, now)
        )
        return self._chooser.is_any_usable(replicas, now)
