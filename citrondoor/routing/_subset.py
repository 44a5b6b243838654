"""Shares the few connections of a searcher among the daemons."""

from citrondoor import rendezvous


def connection_share(connections: int, daemons: int) -> int:
    """Returns how many connections one daemon may hold to one searcher.

    Args:
      connections: Connections that the searcher takes from all daemons.
      daemons: Declared entry VMs, live or not, so that views cannot disagree.
    """
    return max(1, connections // max(1, daemons))


def is_in_connection_subset(
    vm: str, searcher: str, connections: int, daemons: list[str]
) -> bool:
    """Returns whether a daemon is among those that may use a searcher.

    With more daemons than connections, the searcher ranks the daemons and
    takes the first ones; a daemon that comes or goes moves one place.
    """
    if len(daemons) <= connections:
        return True
    ranking = rendezvous.rank(f"connect/{searcher}", daemons)
    return vm in ranking[:connections]
