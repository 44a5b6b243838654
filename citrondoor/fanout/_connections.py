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
# retries.
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
      The limit, 1 or more even if there are more daemons than connections.
    """
    daemon_count = max(1, sum(daemons_by_zone.values()))
    share = 1.0
    same_zone_count = daemons_by_zone.get(zone, 0)
    if is_shard and 0 < same_zone_count < daemon_count:
        is_same_zone = zone == own_zone
        share = SAME_ZONE_SHARE if is_same_zone else 1.0 - SAME_ZONE_SHARE
        daemon_count = (
            same_zone_count if is_same_zone else daemon_count - same_zone_count
        )
    return max(
        1, int(max_connections * CONNECTION_SHARE * share / daemon_count)
    )
