"""Usual latencies of sub-requests, by route.

Routes differ in work, so a searcher's answer is compared with the usual one of
its route. The delay of a hedge follows from that and from the latency target.
"""

import statistics

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
# Answers of which a median is taken, between whole requests: of one request,
# the fast answers come first. The error of such a median is some 2%.
BLOCK_ANSWERS = 400
# The calm median, the lowest one so far, rises by this share with each block: a
# route whose work has grown for good counts as calm again after some minutes.
CALM_RISE = 0.002
# A median this much above the calm one tells that most searchers are busy: with
# 63% of slots busy it is 1.27 times as long, with a slow quarter 1.09 times.
BUSY_FACTOR = 1.25


class _Load:
    """Compares the present median of a route with that of calm times."""

    __slots__ = ("_answers_ms", "_calm_ms", "is_saturated")

    def __init__(self):
        self._answers_ms: list[float] = []
        self._calm_ms = float("inf")
        self.is_saturated = True

    def observe(self, latency_ms: float) -> None:
        self._answers_ms.append(latency_ms)

    def close_block(self) -> None:
        answers_ms = self._answers_ms
        if len(answers_ms) < BLOCK_ANSWERS:
            return
        median_ms = statistics.median_low(answers_ms)
        answers_ms.clear()
        self._calm_ms = min(self._calm_ms * (1 + CALM_RISE), median_ms)
        self.is_saturated = median_ms > BUSY_FACTOR * self._calm_ms


class RouteLatencies:
    """Latencies of sub-requests of each route."""

    __slots__ = ("_loads", "_routes")

    def __init__(self):
        self._routes: dict[str, routing.LatencyHistogram] = {}
        self._loads: dict[str, _Load] = {}

    def observe(self, key: str, latency_ms: float) -> None:
        """Adds one latency."""
        known = self._routes.get(key)
        if known is None:
            known = self._routes[key] = routing.LatencyHistogram()
            self._loads[key] = _Load()
        known.observe(latency_ms)
        self._loads[key].observe(latency_ms)

    def on_request_start(self, key: str) -> None:
        """Notes a request: the answers to those before it are whole."""
        load = self._loads.get(key)
        if load is not None:
            load.close_block()

    def is_saturated(self, key: str) -> bool:
        """Returns whether most searchers of a route have no slot free.

        So it is until enough answers were seen.
        """
        load = self._loads.get(key)
        return load is None or load.is_saturated

    def median_ms(self, key: str) -> float:
        """Returns the typical latency of a route's sub-requests."""
        known = self._routes.get(key)
        return routing.DEFAULT_LATENCY_MS if known is None else known.median_ms

    def hedge_delay_ms(
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
