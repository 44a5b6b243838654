"""Divides the connections that a searcher accepts among daemons.

Answers fleets with hardly more connections at a searcher than daemons: with one
connection each, a request waits behind any other that the searcher is slow to
answer. Daemons of the searcher's zone send for those of other zones as well, so
they have more of them.
"""

# Part of a searcher's connections that daemons use; the rest covers daemons
# that have just started and those that do not know of them yet.
CONNECTION_SHARE = 0.85
# Part of that for the daemons of the searcher's zone, which send what others
# ask of them; the others use their own connections for hedges and retries.
NEAR_SHARE = 0.6


def connection_limit(
    declared: int,
    daemons: dict[str, int],
    own_zone: str,
    zone: str,
    is_shard: bool,
) -> int:
    """Returns the connections that a daemon may keep to a searcher.

    Args:
      declared: Connections that the searcher accepts from all daemons.
      daemons: Number of daemons in each zone, this one included.
      own_zone: Availability zone of this daemon.
      zone: Availability zone of the searcher.
      is_shard: Whether daemons of its zone send to it for others.
    """
    sharers = max(1, sum(daemons.values()))
    share = 1.0
    near = daemons.get(zone, 0)
    if is_shard and 0 < near < sharers:
        is_near = zone == own_zone
        share = NEAR_SHARE if is_near else 1.0 - NEAR_SHARE
        sharers = near if is_near else sharers - near
    return max(1, int(declared * CONNECTION_SHARE * share / sharers))
