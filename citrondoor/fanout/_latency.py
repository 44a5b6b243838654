"""Usual latencies of sub-requests, by route.

Routes differ in work, so a searcher's answer is compared with the usual one of
its route. The delay of a hedge follows from that and from the latency target.
"""

from citrondoor import routing

# Share of answers after which one may count as late: a fifth of the searchers
# may be slow or paused without moving it.
HEDGE_QUANTILE = 0.75
# With a log-normal spread of 0.35, the quantile times this is about the 97th
# percentile.
HEDGE_FACTOR = 1.5
# A hedge that starts later than this share of the target would often be late.
LATEST_HEDGE_SHARE = 0.4
# Until answers were seen, a hedge waits for this share of the target.
FIRST_HEDGE_SHARE = 0.3
LEAST_HEDGE_MS = 5


class RouteLatencies:
    """Latencies of sub-requests of each route."""

    __slots__ = ("_routes",)

    def __init__(self):
        self._routes: dict[str, routing.BackendLatency] = {}

    def observe(self, key: str, latency_ms: float) -> None:
        """Adds one latency."""
        known = self._routes.get(key)
        if known is None:
            known = self._routes[key] = routing.BackendLatency()
        known.observe(latency_ms)

    def usual_ms(self, key: str) -> float:
        """Returns the typical latency of a route's sub-requests."""
        known = self._routes.get(key)
        return routing.DEFAULT_LATENCY_MS if known is None else known.median_ms

    def hedge_after_ms(
        self, key: str, target_ms: int, left_ms: int | None = None
    ) -> float:
        """Returns the age at which a sub-request counts as late.

        Args:
          key: The route.
          target_ms: Latency target of the route.
          left_ms: What is left of it; None when all is.
        """
        if left_ms is None:
            left_ms = target_ms
        known = self._routes.get(key)
        late = None if known is None else known.quantile(HEDGE_QUANTILE)
        if late is None:
            return FIRST_HEDGE_SHARE * left_ms
        # With little left, three quarters are still waited for: hedges for more
        # would use up those of the queries that follow.
        usual = min(late, LATEST_HEDGE_SHARE * target_ms)
        latest = max(usual, LATEST_HEDGE_SHARE * left_ms)
        return max(LEAST_HEDGE_MS, min(HEDGE_FACTOR * late, latest))
