"""Chooses the peers that a daemon keeps links to."""

import functools

from citrondoor import rendezvous

# Each call uses the rings in the same order. With fewer cached rings than
# neighbours (8 by default, a setting), every ring is therefore built anew in
# every call. A ring takes about 1 MB at 6,300 members.
MAX_CACHED_RINGS = 8


class _Ring:
    """All members of the cluster, ordered by a salted hash of their names.

    Args:
      members: Names of all VMs, sorted.
      salt: Number of the ring; each ring has a different order.
    """

    __slots__ = ("_index_of", "_order")

    def __init__(self, members: tuple[str, ...], salt: int):
        key = f"ring/{salt}"
        self._order = sorted(
            members, key=lambda name: rendezvous.score(key, name)
        )
        self._index_of = {name: n for n, name in enumerate(self._order)}

    def successor_of(self, vm: str) -> str:
        """Returns the successor of a member; the last one wraps around."""
        return self._order[(self._index_of[vm] + 1) % len(self._order)]


@functools.lru_cache(maxsize=MAX_CACHED_RINGS)
def _ring(members: tuple[str, ...], salt: int) -> _Ring:
    return _Ring(members, salt)


def choose_neighbours(vm: str, members, limit: int) -> list[str]:
    """Returns at most `limit` neighbours of a daemon, sorted by name.

    There are `limit` rings, each of which orders the members by a different
    hash; the daemon's neighbours are its successors on them. Each ring connects
    all daemons. Together the rings form a random graph, in which an update
    reaches every daemon in about log(n) / log(limit) hops. A member that joins
    or leaves changes one successor on each ring.

    Args:
      vm: Name of the daemon's VM.
      members: Names of all VMs.
      limit: Maximum number of neighbours.
    """
    others = sorted(name for name in members if name != vm)
    if len(others) <= limit:
        return others
    all_names = tuple(sorted([*others, vm]))
    successors = {
        _ring(all_names, salt).successor_of(vm) for salt in range(limit)
    }
    return sorted(successors)


def choose_cross_zone_peers(
    vm: str,
    own_zone: str,
    zone_of: dict[str, str],
    zones,
    linked,
    per_zone: int,
) -> list[str]:
    """Returns extra peers, for at least `per_zone` links to some other zones.

    A zone with fewer VMs gets links to all of them. A query that is sent
    through a peer needs a linked peer in each zone that has searchers. Links to
    all peers would serve too, but in a cluster of a few dozen daemons their
    heartbeats would take most of the bytes between zones. A rendezvous hash
    spreads the links of all daemons over the peers of a zone.

    Args:
      vm: Name of the daemon's VM.
      own_zone: Its availability zone.
      zone_of: Zone of each VM that a link can be opened to.
      zones: Zones that need links; the daemon's own is left out.
      linked: VMs that the daemon links to in any case.
      per_zone: Minimum number of links to keep to each other zone.
    """
    chosen: list[str] = []
    for zone in sorted(set(zones) - {own_zone}):
        in_zone = [name for name, other in zone_of.items() if other == zone]
        missing_count = per_zone - sum(name in linked for name in in_zone)
        candidates = [name for name in in_zone if name not in linked]
        ranking = rendezvous.rank(f"bridge/{vm}", candidates)
        chosen += ranking[: max(0, missing_count)]
    return chosen
