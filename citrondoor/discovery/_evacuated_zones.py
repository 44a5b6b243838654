"""Availability zones whose searchers get no new work."""


class EvacuatedZones:
    """The evacuated zones as of the highest known revision of the store.

    Reads may arrive in any order, because peers pass theirs on. A read at an
    older revision changes nothing.
    """

    __slots__ = ("_carried_over", "_listed", "_revision")

    def __init__(self):
        self._listed: frozenset[str] = frozenset()
        # Zones of the era before that were not listed in this one so far.
        self._carried_over: frozenset[str] = frozenset()
        self._revision = -1

    @property
    def zones(self) -> frozenset[str]:
        """Zones that get no new work now."""
        return self._listed | self._carried_over

    @property
    def listed(self) -> frozenset[str]:
        """Zones that the store listed at `revision`."""
        return self._listed

    @property
    def revision(self) -> int:
        """Store revision at which the set was read; -1 before the first."""
        return self._revision

    def begin_era(self) -> None:
        """Begins an era of the store, whose revisions start anew.

        The zones stay evacuated until they were listed in this era, or until
        `end_carry_over`: the store may have lost their evacuation, and the
        operator writes it again.
        """
        self._carried_over = self.zones
        self._listed = frozenset()
        self._revision = -1

    def end_carry_over(self) -> bool:
        """Ends the evacuation of zones that this era has not listed.

        Returns:
          Whether the set of zones changed.
        """
        is_changed = bool(self._carried_over)
        self._carried_over = frozenset()
        return is_changed

    def apply_zones(self, zones, revision: int) -> bool:
        """Applies the zones, unless they were read at an older store revision.

        Returns:
          Whether the set of zones changed.
        """
        if revision < self._revision:
            return False
        old_zones = self.zones
        self._revision = revision
        self._listed = frozenset(zones)
        self._carried_over -= self._listed
        return self.zones != old_zones
