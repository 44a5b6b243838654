"""Usual latencies of sub-requests, by route.

Routes differ in work, so a searcher's answer is compared with the usual one of
its route. The delay of a hedge follows from that and from the latency target.
"""

from citrondoor import routing

# Share of answers after which one counts as late, before the factor below.
HEDGE_QUANTILE = 0.85
# With a log-normal spread of 0.35 this is about the 95th percentile, which a
# few paused searchers among many move less than they move the quantile itself.
HEDGE_FACTOR = 1.3
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

    def hedge_after_ms(self, key: str, target_ms: int) -> float:
        """Returns the age at which a sub-request counts as late."""
        known = self._routes.get(key)
        late = None if known is None else known.quantile(HEDGE_QUANTILE)
        if late is None:
            return FIRST_HEDGE_SHARE * target_ms
        latest = LATEST_HEDGE_SHARE * target_ms
        return max(LEAST_HEDGE_MS, min(HEDGE_FACTOR * late, latest))
