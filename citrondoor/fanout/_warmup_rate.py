"""Bounds what cold searchers get from all daemons together.

Answers the load on a searcher that has just started or turned cold: full load
makes it crash. The declared rate is divided by the daemons that may send. In a
fleet with more daemons than the slack has requests, a hash chooses the few
that may: otherwise one request of each would be too many.
"""

from citrondoor import rendezvous
from citrondoor.limits import _token_bucket
from citrondoor.schema import serving

# Part of the bound that is used; the rest covers daemons that do not agree yet
# on how many they are.
RATE_SHARE = 0.7


class WarmupRateLimiter:
    """A token bucket for each cold searcher.

    Args:
      settings: Factor and slack of the bound.
      vm: Name of this VM.
    """

    __slots__ = ("_buckets", "_members", "_settings", "_vm")

    def __init__(self, settings: serving.BoundSettings, vm: str):
        self._settings = settings
        self._vm = vm
        self._members: tuple[str, ...] = (vm,)
        self._buckets: dict[str, _token_bucket.TokenBucket] = {}

    def set_bounds(self, settings: serving.BoundSettings) -> None:
        """Takes another factor and slack."""
        self._settings = settings
        self._buckets.clear()

    def set_members(self, members: list[str]) -> None:
        """Takes the names of the daemons that share the rate."""
        if tuple(members) != self._members:
            self._members = tuple(members)
            self._buckets.clear()

    def try_acquire(
        self, upstream_id: str, rate_per_s: float, now: int
    ) -> bool:
        """Takes one request for a cold searcher.

        Args:
          upstream_id: The searcher.
          rate_per_s: Requests a second that it bears; 0 sets no bound.
          now: Clock reading.
        """
        if rate_per_s <= 0:
            return True
        if upstream_id not in self._buckets:
            self._buckets[upstream_id] = self._make_bucket(
                upstream_id, rate_per_s, now
            )
        bucket = self._buckets[upstream_id]
        return bucket is not None and bucket.try_acquire(now)

    def _make_bucket(
        self, upstream_id: str, rate_per_s: float, now: int
    ) -> _token_bucket.TokenBucket | None:
        """Returns this daemon's share, or None if others warm the searcher."""
        slack = self._settings.warmup_slack
        senders = max(1, min(len(self._members), int(slack)))
        ranking = rendezvous.rank(f"cold/{upstream_id}", self._members)
        if self._vm not in ranking[:senders]:
            return None
        # In one second, a bucket lets through its burst and its rate.
        bucket = _token_bucket.TokenBucket(now)
        burst = max(1.0, slack / senders)
        bucket.resize(rate_per_s * RATE_SHARE / senders, burst, now)
        return bucket
