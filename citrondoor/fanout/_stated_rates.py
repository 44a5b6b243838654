"""Limits the requests of all daemons together to what searchers state.

Handles a searcher that is in need and names the requests per second that it
accepts. Each daemon uses an equal part of the rate, so that all of them run out
at about the same time for all searchers of a query: with unequal parts, few
queries would find a searcher of every shard. Requests beyond the rate go to
other searchers of the back end; without one, the query does not wait.
"""

from collections.abc import Collection

from citrondoor import clock as clocks
from citrondoor import rendezvous
from citrondoor.limits import _token_bucket
from citrondoor.schema import serving

# Requests that all daemons together may save up: those of this time at the
# stated rate, and a few more, as the rate may be below one per daemon.
BURST_MS = 1000
BURST_REQUESTS = 3
# All daemons together send at least at this rate, since only an answer shows
# that a limit has changed or ended.
MIN_RATE_PER_S = 0.5
# Time for which a limit is kept once its searcher is not registered any more.
# Its entry may lapse while it serves, and return with the limit still named.
RETENTION_MS = 600_000


class _Limit:
    """The stated rate of one incarnation of a searcher.

    The bucket outlives the limit, so that a limit that ends and returns at once
    does not grant a new burst.
    """

    __slots__ = ("born_ms", "bucket", "gone_since", "rate_per_s")

    def __init__(self, born_ms: int, now: int):
        # Time since which the searcher is not registered; None if it is.
        self.gone_since: int | None = None
        self.born_ms = born_ms
        self.bucket = _token_bucket.TokenBucket(now)
        self.rate_per_s: float | None = None


class StatedRateLimiter:
    """Keeps a token bucket for each searcher that named a limit.

    All `now` arguments are clock readings in milliseconds.

    Args:
      vm: Name of this VM.
    """

    __slots__ = ("_limits", "_live_vms", "_member_count", "_vm", "denied_count")

    def __init__(self, vm: str):
        self._vm = vm
        self._live_vms: list[str] = [vm]
        self._member_count = 1
        self._limits: dict[str, _Limit] = {}
        self.denied_count = 0

    def set_members(
        self, live_vms: list[str], member_count: int, now: int
    ) -> None:
        """Sets the daemons that share the stated rates.

        Args:
          live_vms: VMs of the daemons that are alive.
          member_count: Number of daemons that may send, at least one.
          now: Clock reading.
        """
        self._live_vms = live_vms
        if member_count == self._member_count:
            return
        self._member_count = member_count
        for limit in self._limits.values():
            self._resize(limit, now)

    def record_stated(
        self, upstream: serving.Upstream, rate_per_s: float | None, now: int
    ) -> bool:
        """Records the rate that a searcher stated in an answer.

        Args:
          upstream: The searcher.
          rate_per_s: Requests per second that it accepts from all daemons
            together; None if it named no limit.
          now: Clock reading.

        Returns:
          Whether this differs from what it stated last.
        """
        limit = self._find(upstream)
        if limit is None:
            if rate_per_s is None:
                return False
            limit = self._limits[upstream.id] = _Limit(upstream.born_ms, now)
            limit.rate_per_s = rate_per_s
            self._resize(limit, now)
            limit.bucket.add(self._first_tokens(upstream.id, rate_per_s), now)
            return True
        if limit.rate_per_s == rate_per_s:
            return False
        limit.rate_per_s = rate_per_s
        self._resize(limit, now)
        return True

    def drop_old(self, registered_ids: Collection[str], now: int) -> None:
        """Drops the limits of searchers that are not registered any more.

        A searcher that cannot be used for a while, as its zone is evacuated or
        its entry has lapsed, is still limited when it can be used again.

        Args:
          registered_ids: Ids of the registered searchers, usable or not.
          now: Clock reading.
        """
        for upstream_id, limit in list(self._limits.items()):
            if upstream_id in registered_ids:
                limit.gone_since = None
            elif limit.gone_since is None:
                limit.gone_since = now
            elif now - limit.gone_since > RETENTION_MS:
                del self._limits[upstream_id]

    def is_limited(self, upstream: serving.Upstream) -> bool:
        """Returns whether a searcher has named a limit that still holds."""
        limit = self._find(upstream)
        return limit is not None and limit.rate_per_s is not None

    def has_capacity(self, upstream: serving.Upstream, now: int) -> bool:
        """Returns whether a searcher may get one more request now."""
        limit = self._find(upstream)
        return (
            limit is None
            or limit.rate_per_s is None
            or limit.bucket.wait_ms(now) == 0
        )

    def try_acquire(self, upstream: serving.Upstream, now: int) -> bool:
        """Returns whether one request may be sent, and counts it if so."""
        limit = self._find(upstream)
        if limit is None or limit.rate_per_s is None:
            return True
        if limit.bucket.try_acquire(now):
            return True
        self.denied_count += 1
        return False

    def _find(self, upstream: serving.Upstream) -> _Limit | None:
        limit = self._limits.get(upstream.id)
        if limit is not None and limit.born_ms == upstream.born_ms:
            return limit
        return None

    def _resize(self, limit: _Limit, now: int) -> None:
        if limit.rate_per_s is None:
            return
        rate_per_s = max(limit.rate_per_s, MIN_RATE_PER_S)
        burst = max(1.0, _total_burst(rate_per_s) / self._member_count)
        limit.bucket.resize(rate_per_s / self._member_count, burst, now)

    def _first_tokens(self, upstream_id: str, rate_per_s: float) -> float:
        """Returns this daemon's tokens when a searcher first names a limit.

        By a hash of their names, as many daemons as the burst allows have one
        at once, and the others one after another at the stated rate: if all
        started empty, their first requests would come together.
        """
        ranking = rendezvous.rank(f"stated/{upstream_id}", self._live_vms)
        burst = _total_burst(max(rate_per_s, MIN_RATE_PER_S))
        if self._vm not in ranking:
            return 0.0
        rank_after_burst = max(0.0, ranking.index(self._vm) + 1 - burst)
        return 1 - min(1.0, rank_after_burst / self._member_count)


def _total_burst(rate_per_s: float) -> float:
    return rate_per_s * BURST_MS / clocks.MS_PER_S + BURST_REQUESTS
