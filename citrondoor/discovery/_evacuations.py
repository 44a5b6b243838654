"""Availability zones whose searchers get no work."""


class EvacuatedZones:
    """Takes the newest set of zones.

    Readings are ordered by the revision of the store: an older one, as a peer
    may pass on, changes nothing.
    """

    __slots__ = ("_revision", "_zones")

    def __init__(self):
        self._zones: frozenset[str] = frozenset()
        self._revision = -1

    @property
    def zones(self) -> frozenset[str]:
        """Zones that get no work now."""
        return self._zones

    @property
    def revision(self) -> int:
        """Revision of the store at which the set was read; -1 before."""
        return self._revision

    def offer(self, zones, revision: int) -> bool:
        """Takes a reading; returns whether the set changed."""
        if revision < self._revision:
            return False
        self._revision = revision
        changed = frozenset(zones) != self._zones
        self._zones = frozenset(zones)
        return changed
