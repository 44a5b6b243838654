"""Divides the connections that a searcher accepts among the daemons.

Handles searchers that accept hardly more connections than there are daemons,
or fewer: each searcher gets a subset of the daemons, which follows from the
members alone and changes by one daemon when one comes or goes. The others send
to it through a peer that may connect. Daemons in the searcher's zone send for
those of other zones, so they get more connections: with a single one, a request
queues behind any other that the searcher is slow to answer.
"""

import bisect
import functools

from citrondoor import rendezvous

# Part of a searcher's connections that daemons use; the rest covers daemons
# that have just started and those that do not know of them yet.
CONNECTION_SHARE = 0.85
# Part of these for the daemons in the searcher's zone, which send what other
# daemons delegate to them; the others use their own connections for hedges and
# retries.
SAME_ZONE_SHARE = 0.6
# Connections to each searcher for a daemon that does not know yet how many
# others there are.
SETTLING_LIMIT = 1
_RING_KEY = "connections"


@functools.lru_cache(maxsize=16_384)
def _position(name: str) -> int:
    return rendezvous.score(_RING_KEY, name)


class _Ring:
    """Daemons that share connections evenly, ordered by a hash of their names.

    Args:
      vms: Names of the daemons' VMs.
    """

    __slots__ = ("_index_of", "_positions")

    def __init__(self, vms: list[str]):
        order = sorted(vms, key=_position)
        self._positions = [_position(vm) for vm in order]
        self._index_of = {vm: index for index, vm in enumerate(order)}

    def limit(self, vm: str, upstream_id: str, budget: int) -> int:
        """Returns the daemon's part of a budget of connections to a searcher.

        With fewer connections than daemons, the `budget` successors of the
        searcher on the ring get one each.
        """
        count = len(self._positions)
        if budget >= count:
            return budget // count
        start = bisect.bisect(self._positions, _position(upstream_id))
        return int((self._index_of[vm] - start) % count < budget)

    def total(self, budget: int) -> int:
        """Returns the sum of all daemons' limits, `budget` or less."""
        count = len(self._positions)
        return budget // count * count if budget >= count else budget


class ConnectionAllocator:
    """Limits of all daemons on connections, for one set of members.

    Args:
      zones_by_vm: Availability zone of each daemon's VM; empty if unknown.
      is_settling: Whether further daemons may exist that are not known yet.
    """

    __slots__ = ("_all_vms", "_is_settling", "_rings", "_zones_by_vm")

    def __init__(self, zones_by_vm: dict[str, str], is_settling: bool):
        self._zones_by_vm = zones_by_vm
        self._is_settling = is_settling
        self._all_vms = _Ring(list(zones_by_vm))
        # For each zone of a searcher: the daemons in it, and the others.
        self._rings: dict[str, tuple[_Ring, _Ring]] = {}

    def is_for(self, zones_by_vm: dict[str, str], is_settling: bool) -> bool:
        """Returns whether the limits hold for these members."""
        return (
            self._is_settling == is_settling
            and self._zones_by_vm == zones_by_vm
        )

    def limit(
        self,
        vm: str,
        upstream_id: str,
        zone: str,
        max_connections: int,
        is_shard: bool,
    ) -> int:
        """Returns the number of connections a daemon may keep to a searcher.

        The limits of all daemons add up to `CONNECTION_SHARE` of
        `max_connections` at most, except while they are settling.

        Args:
          vm: VM of the daemon; 0 is returned if it is not a member.
          upstream_id: Id of the searcher.
          zone: Availability zone of the searcher.
          max_connections: Connections that it accepts from all daemons.
          is_shard: Whether daemons in the searcher's zone also send to it on
            behalf of daemons of other zones.
        """
        if vm not in self._zones_by_vm:
            return 0
        if self._is_settling:
            return SETTLING_LIMIT
        budget = max(1, int(max_connections * CONNECTION_SHARE))
        if not is_shard:
            return self._all_vms.limit(vm, upstream_id, budget)
        same_zone, others = self._rings_of(zone)
        if same_zone is None or others is None:
            return self._all_vms.limit(vm, upstream_id, budget)
        same_zone_budget = max(1, round(budget * SAME_ZONE_SHARE))
        if self._zones_by_vm[vm] == zone:
            return same_zone.limit(vm, upstream_id, same_zone_budget)
        # What does not give each daemon of the zone one more.
        unused = same_zone_budget - same_zone.total(same_zone_budget)
        others_budget = budget - same_zone_budget + unused
        return others.limit(vm, upstream_id, others_budget)

    def _rings_of(self, zone: str) -> tuple[_Ring | None, _Ring | None]:
        if zone not in self._rings:
            same_zone, others = [], []
            for vm, vm_zone in self._zones_by_vm.items():
                (same_zone if vm_zone == zone else others).append(vm)
            self._rings[zone] = (
                _Ring(same_zone) if same_zone else None,
                _Ring(others) if others else None,
            )
        return self._rings[zone]
