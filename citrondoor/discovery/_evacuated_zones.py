"""Availability zones whose searchers get no new work."""


class EvacuatedZones:
    """The evacuated zones as of the highest known revision of the store.

    Reads may arrive in any order, because peers pass theirs on. A read at an
    older revision changes nothing.
    """

    __slots__ = ("_revision", "_zones")

    def __init__(self):
        self._zones: frozenset[str] = frozenset()
        self._revision = -1

    @property
    def zones(self) -> frozenset[str]:
        """Zones that get no new work now."""
        return self._zones

    @property
    def revision(self) -> int:
        """Store revision at which the set was read; -1 before the first."""
        return self._revision

    def apply_zones(self, zones, revision: int) -> bool:
        """Applies the zones, unless they were read at an older store revision.

        Returns:
          Whether the set of zones changed.
        """
        if revision < self._revision:
            return False
        self._revision = revision
        is_changed = frozenset(zones) != self._zones
        self._zones = frozenset(zones)
        return is_changed
