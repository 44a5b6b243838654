"""Divides the connections that a searcher accepts among the daemons.

Handles searchers that accept hardly more connections than there are daemons:
with a single connection, a request queues behind any other that the searcher
is slow to answer. Daemons in the searcher's zone also send the sub-requests
that daemons of other zones delegate to them, so they get more connections.
"""

# Part of a searcher's connections that daemons use; the rest covers daemons
# that have just started and those that do not know of them yet.
CONNECTION_SHARE = 0.85
# Part of these for the daemons in the searcher's zone, which send what other
# daemons delegate to them; the others use their own connections for hedges and
# retries. Where the rest does not give each of the others one, they get one
# each and the daemons of the zone share what remains.
SAME_ZONE_SHARE = 0.6


def connection_limit(
    max_connections: int,
    daemons_by_zone: dict[str, int],
    own_zone: str,
    zone: str,
    is_shard: bool,
) -> int:
    """Returns the number of connections a daemon may keep to a searcher.

    Args:
      max_connections: Connections that the searcher accepts from all daemons.
      daemons_by_zone: Number of daemons in each zone, including this one.
      own_zone: Availability zone of this daemon.
      zone: Availability zone of the searcher.
      is_shard: Whether daemons in the searcher's zone also send to it on
        behalf of daemons of other zones.

    Returns:
      The limit, 1 or more even if there are more daemons than connections; the
      limits of all daemons add up to more than the searcher accepts only then.
    """
    daemon_count = max(1, sum(daemons_by_zone.values()))
    budget = int(max_connections * CONNECTION_SHARE)
    same_zone_count = daemons_by_zone.get(zone, 0)
    if not is_shard or not 0 < same_zone_count < daemon_count:
        return max(1, budget // daemon_count)
    other_count = daemon_count - same_zone_count
    # At least one for each of the others, even if too little is left.
    other_budget = max(other_count, int(budget * (1.0 - SAME_ZONE_SHARE)))
    if zone != own_zone:
        return other_budget // other_count
    return max(1, (budget - other_budget) // same_zone_count)
