"""Chooses the peers that a daemon keeps links to."""

import functools

from citrondoor import rendezvous

# Rings of the present fleet that are kept; each takes about 1 MB at 6,300.
KEPT_RINGS = 8


class _Ring:
    """All members in the order of one hash.

    Args:
      members: Names of all VMs, sorted.
      salt: Number of the ring.
    """

    __slots__ = ("_order", "_places")

    def __init__(self, members: tuple[str, ...], salt: int):
        key = f"ring/{salt}"
        self._order = sorted(
            members, key=lambda name: rendezvous.score(key, name)
        )
        self._places = {name: n for n, name in enumerate(self._order)}

    def after(self, vm: str) -> str:
        """Returns the member that follows another one."""
        return self._order[(self._places[vm] + 1) % len(self._order)]


@functools.lru_cache(maxsize=KEPT_RINGS)
def _ring(members: tuple[str, ...], salt: int) -> _Ring:
    return _Ring(members, salt)


def choose_neighbours(vm: str, members, limit: int) -> list[str]:
    """Returns the neighbours of a daemon, at most `limit`.

    Each of several rings orders the members by a hash of its own, and the
    daemon's successor on each is a neighbour. Every ring connects the whole
    fleet; together they make a random graph, which news cross in about
    log(n) / log(limit) steps. A member that comes or goes changes one
    successor on each ring.

    Args:
      vm: Name of the daemon's VM.
      members: Names of all VMs.
      limit: Most neighbours.
    """
    others = sorted(name for name in members if name != vm)
    if len(others) <= limit:
        return others
    everyone = tuple(sorted([*others, vm]))
    successors = {_ring(everyone, salt).after(vm) for salt in range(limit)}
    return sorted(successors)


def choose_bridges(
    vm: str, own_zone: str, zone_of: dict[str, str], linked, per_zone: int
) -> list[str]:
    """Returns further peers, so that some of each other zone are linked.

    Answers the cost of control in a fleet of some dozen daemons: links to all
    of them would take most of the bytes between zones, but a query that is
    sent through a peer needs one in each zone. A hash spreads the daemons over
    the peers of a zone.

    Args:
      vm: Name of the daemon's VM.
      own_zone: Its availability zone.
      zone_of: Zone of each VM that may be linked.
      linked: VMs that are linked anyway.
      per_zone: Links to each other zone that are wanted.
    """
    bridges: list[str] = []
    for zone in sorted(set(zone_of.values()) - {own_zone}):
        names = [name for name, other in zone_of.items() if other == zone]
        lacking = per_zone - sum(name in linked for name in names)
        others = [name for name in names if name not in linked]
        ranking = rendezvous.rank(f"bridge/{vm}", others)
        bridges += ranking[: max(0, lacking)]
    return bridges
