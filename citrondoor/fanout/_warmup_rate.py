"""Limits the request rate of all daemons together to cold searchers.

Handles a searcher that has just started or turned cold and would crash under
full load. The rate that its back end declares is divided among the daemons
that may send to it. If there are more daemons than requests in the slack, a
hash selects a few of them: one request from each daemon would be too many.
"""

from citrondoor import rendezvous
from citrondoor.limits import _token_bucket
from citrondoor.schema import serving

# Part of the declared rate that is used; the rest covers the time in which
# daemons do not agree yet on how many there are.
RATE_SHARE = 0.7


class WarmupRateLimiter:
    """Keeps a token bucket for each cold searcher.

    Args:
      settings: Holds the slack of the limit.
      vm: Name of this VM.
    """

    __slots__ = ("_buckets", "_live_vms", "_settings", "_vm")

    def __init__(self, settings: serving.BoundSettings, vm: str):
        self._settings = settings
        self._vm = vm
        self._live_vms: tuple[str, ...] = (vm,)
        self._buckets: dict[str, _token_bucket.TokenBucket] = {}

    def set_bounds(self, settings: serving.BoundSettings) -> None:
        """Sets the slack and discards all buckets."""
        self._settings = settings
        self._buckets.clear()

    def set_members(self, live_vms: list[str]) -> None:
        """Sets the VMs whose daemons share the rate.

        A change discards all buckets.
        """
        if tuple(live_vms) != self._live_vms:
            self._live_vms = tuple(live_vms)
            self._buckets.clear()

    def retain_only(self, upstream_ids: set[str]) -> None:
        """Discards the buckets of all other searchers."""
        for upstream_id in self._buckets.keys() - upstream_ids:
            del self._buckets[upstream_id]

    def try_acquire(
        self, upstream_id: str, rate_per_s: float, now: int
    ) -> bool:
        """Returns whether one request may be sent, and counts it if so.

        Args:
          upstream_id: The cold searcher.
          rate_per_s: Requests per second that it can serve; 0 for no limit.
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
        """Returns a bucket with this daemon's share of the rate.

        Returns None if this daemon is not among those that may send.
        """
        slack = self._settings.warmup_slack
        sender_count = max(1, min(len(self._live_vms), int(slack)))
        ranking = rendezvous.rank(f"cold/{upstream_id}", self._live_vms)
        if self._vm not in ranking[:sender_count]:
            return None
        # In one second, a bucket admits at most its burst plus its rate.
        bucket = _token_bucket.TokenBucket(now)
        burst = max(1.0, slack / sender_count)
        bucket.resize(rate_per_s * RATE_SHARE / sender_count, burst, now)
        return bucket
