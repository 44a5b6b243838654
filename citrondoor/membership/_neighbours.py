"""Chooses the peers that a daemon exchanges heartbeats with."""

from citrondoor import rendezvous


def choose_neighbours(vm: str, members, limit: int) -> list[str]:
    """Returns the neighbours of a daemon, at most `limit`.

    All members stand on one ring by hash. The neighbours stand 1, 2, 4, ...
    places further on, so news cross the fleet in about log2(n) steps.

    Args:
      vm: Name of the daemon's VM.
      members: Names of all VMs.
      limit: Most neighbours.
    """
    others = [name for name in members if name != vm]
    if len(others) <= limit:
        return sorted(others)
    ring = sorted(
        [*others, vm], key=lambda name: rendezvous.score("ring", name)
    )
    start = ring.index(vm)
    chosen: list[str] = []
    distance = 1
    while len(chosen) < limit and distance < len(ring):
        chosen.append(ring[(start + distance) % len(ring)])
        distance *= 2
    return sorted(chosen)
