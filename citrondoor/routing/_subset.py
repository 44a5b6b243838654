"""Divides the limited connections of a searcher among the entry daemons."""

from citrondoor import rendezvous


def connection_share(connections: int, daemon_count: int) -> int:
    """Returns how many connections one daemon may open to one searcher.

    Args:
      connections: Connections that the searcher accepts from all daemons.
      daemon_count: Declared entry VMs, live or not. Which VMs are live differs
        between the views of daemons; the declared number does not.
    """
    return max(1, connections // max(1, daemon_count))


def is_in_connection_subset(
    vm: str, searcher: str, connections: int, daemons: list[str]
) -> bool:
    """Returns whether a daemon may connect to a searcher.

    With more daemons than connections, rendezvous hashing ranks the daemons
    for the searcher, and only the first `connections` of them may connect. A
    daemon that is added or removed changes at most one place in this subset.

    Args:
      vm: VM of the daemon.
      searcher: Name of the searcher.
      connections: Connections that the searcher accepts from all daemons.
      daemons: Names of all declared entry VMs.
    """
    if len(daemons) <= connections:
        return True
    ranking = rendezvous.rank(f"connect/{searcher}", daemons)
    return vm in ranking[:connections]
