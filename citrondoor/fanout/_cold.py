"""Bounds what cold searchers get from all daemons together.

Answers the load on a searcher that has just started or turned cold: full load
makes it crash. The declared rate is divided by the number of daemons.
"""

from citrondoor.limits import _bucket
from citrondoor.schema import serving

# Part of the bound that is used; the rest covers daemons that do not agree yet
# on how many they are.
RATE_SHARE = 0.7


class ColdShares:
    """A token bucket for each cold searcher.

    Args:
      settings: Factor and slack of the bound.
      members: Daemons that share the rate, at the start.
    """

    __slots__ = ("_buckets", "_members", "_settings")

    def __init__(self, settings: serving.BoundSettings, members: int):
        self._settings = settings
        self._members = members
        self._buckets: dict[str, _bucket.Bucket] = {}

    def set_members(self, members: int) -> None:
        """Takes the number of daemons that share the rate."""
        self._members = max(1, members)

    def take(self, upstream_id: str, rate_per_s: float, now: int) -> bool:
        """Takes one request for a cold searcher.

        Args:
          upstream_id: The searcher.
          rate_per_s: Requests a second that it bears; 0 sets no bound.
          now: Clock reading.
        """
        if rate_per_s <= 0:
            return True
        bucket = self._buckets.get(upstream_id)
        if bucket is None:
            bucket = self._buckets[upstream_id] = _bucket.Bucket(now)
        rate = rate_per_s * RATE_SHARE / self._members
        # In one second, a bucket lets through its burst and its rate.
        slack = self._settings.warmup_slack / self._members
        bucket.resize(rate, max(1.0, slack), now)
        return bucket.take(now)

    def forget(self, upstream_id: str) -> None:
        """Drops the bucket of a searcher that is warm or gone."""
        self._buckets.pop(upstream_id, None)
