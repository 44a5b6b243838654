"""Chooses the one snapshot that a query reads."""

from citrondoor import declarations as declared
from citrondoor.routing import _chooser

# How long a searcher's word that it lacks a snapshot is believed.
MISSING_TTL_MS = 1000


class SnapshotChooser:
    """Knows the snapshots of one back end and who lacks which.

    Args:
      chooser: Chooser of the back end.
    """

    __slots__ = ("_chooser", "_missing", "_snapshots")

    def __init__(self, chooser: _chooser.ReplicaChooser):
        self._chooser = chooser
        self._snapshots: list[declared.SnapshotIndex] = []
        self._missing: dict[tuple[str, str], int] = {}

    def set_snapshots(self, snapshots: list[declared.SnapshotIndex]) -> None:
        """Takes the declared snapshots, oldest first."""
        self._snapshots = snapshots
        names = {snapshot.name for snapshot in snapshots}
        self._missing = {
            key: until
            for key, until in self._missing.items()
            if key[1] in names
        }

    def note_missing(self, searcher: str, snapshot: str, now: int) -> None:
        """Notes that a searcher answered that it lacks a snapshot."""
        self._missing[(searcher, snapshot)] = now + MISSING_TTL_MS

    def lacks(self, searcher: str, snapshot: str, now: int) -> bool:
        """Returns whether a searcher was lately seen without a snapshot."""
        if not self._missing:
            return False
        return self._missing.get((searcher, snapshot), now) > now

    @property
    def newest(self) -> declared.SnapshotIndex | None:
        """The newest declared snapshot."""
        return self._snapshots[-1] if self._snapshots else None

    def may_lack(self) -> bool:
        """Returns whether any searcher was lately seen without a snapshot."""
        return bool(self._missing)

    def choose(self, excluded, now: int) -> declared.SnapshotIndex | None:
        """Returns the newest snapshot that can be read whole.

        When none can, returns the newest that is not excluded, so that the
        answer covers what is left of it.
        """
        candidates = [s for s in self._snapshots if s.name not in excluded]
        for snapshot in reversed(candidates):
            if self._is_whole(snapshot, now):
                return snapshot
        return candidates[-1] if candidates else None

    def _is_whole(self, snapshot: declared.SnapshotIndex, now: int) -> bool:
        return all(
            self._has_holder(group, snapshot.name, now)
            for group in snapshot.groups
        )

    def _has_holder(
        self, group: declared.ReplicaGroup, snapshot: str, now: int
    ) -> bool:
        holders = tuple(
            name
            for name in group.replicas
            if not self.lacks(name, snapshot, now)
        )
        return self._chooser.is_any_usable(holders, now)
