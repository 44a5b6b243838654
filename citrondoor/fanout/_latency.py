"""Latencies of sub-requests by route, and the delay of hedges.

Routes differ in the work they cause, so a searcher's latency is compared with
the median of its route. The hedge delay follows from the latencies of the route
and from its latency target.
"""

import statistics

from citrondoor import routing

# The hedge delay is based on this quantile of the latencies. If a fifth of the
# searchers is slow or paused, it is still a latency of the others, their 94th
# percentile.
HEDGE_QUANTILE = 0.75
# Nearly all answers of a route arrive within this quantile of its latencies.
SLOW_QUANTILE = 0.99
# Hedge delay as a multiple of `HEDGE_QUANTILE`. If the logarithm of the
# latencies has a standard deviation of 0.35, it is about their 97th percentile.
HEDGE_FACTOR = 1.5
# A hedge sent after more than this share of the target would often be answered
# after the target.
MAX_HEDGE_DELAY_SHARE = 0.4
# Hedge delay as a share of the remaining target, while there are too few
# latencies for a quantile.
INITIAL_HEDGE_DELAY_SHARE = 0.3
MIN_HEDGE_DELAY_MS = 5
# Minimum number of answers in a block, whose median is compared with the
# baseline. With the standard deviation above, the standard error of such a
# median is about 2%.
BLOCK_ANSWERS = 400
# The baseline, the lowest block median so far, rises by this share with each
# block, by a quarter in 112 blocks (45,000 answers). A route whose work has
# grown permanently thus counts as unsaturated again after some time.
BASELINE_RISE = 0.002
# A route counts as saturated if the median of its last block exceeds the
# baseline by this factor. The median rises if requests queue at most searchers,
# and less if only a few searchers are slow: it is 1.27 times the baseline with
# 63% of the slots in use, and 1.09 times with a quarter of the searchers slow.
SATURATED_FACTOR = 1.25


class _SaturationDetector:
    """Compares the current median of a route with its unsaturated baseline."""

    __slots__ = ("_answers_ms", "_baseline_ms", "is_saturated")

    def __init__(self):
        self._answers_ms: list[float] = []
        self._baseline_ms = float("inf")
        self.is_saturated = True

    def observe(self, latency_ms: float) -> None:
        self._answers_ms.append(latency_ms)

    def end_block(self) -> None:
        answers_ms = self._answers_ms
        if len(answers_ms) < BLOCK_ANSWERS:
            return
        median_ms = statistics.median_low(answers_ms)
        answers_ms.clear()
        self._baseline_ms = min(
            self._baseline_ms * (1 + BASELINE_RISE), median_ms
        )
        self.is_saturated = median_ms > SATURATED_FACTOR * self._baseline_ms


class RouteLatencies:
    """Latencies and saturation of each route."""

    __slots__ = ("_detectors", "_histograms")

    def __init__(self):
        self._histograms: dict[str, routing.LatencyHistogram] = {}
        self._detectors: dict[str, _SaturationDetector] = {}

    def retain_only(self, route_names: set[str]) -> None:
        """Discards the latencies of all other routes."""
        for name in self._histograms.keys() - route_names:
            del self._histograms[name]
            del self._detectors[name]

    def observe(self, route_name: str, latency_ms: float) -> None:
        """Adds the latency of one sub-request."""
        histogram = self._histograms.get(route_name)
        if histogram is None:
            histogram = self._histograms[route_name] = (
                routing.LatencyHistogram()
            )
            self._detectors[route_name] = _SaturationDetector()
        histogram.observe(latency_ms)
        self._detectors[route_name].observe(latency_ms)

    def on_request_start(self, route_name: str) -> None:
        """Ends the block of latencies if it is large enough.

        Blocks end only when a request starts. If they ended at a fixed number
        of answers, a median would often contain the fast answers of a request
        without its slow ones. Concurrent requests may still be pending.
        """
        detector = self._detectors.get(route_name)
        if detector is not None:
            detector.end_block()

    def is_saturated(self, route_name: str) -> bool:
        """Returns whether the median shows that most searchers queue requests.

        Returns True until the first block of latencies has ended.
        """
        detector = self._detectors.get(route_name)
        return detector is None or detector.is_saturated

    def median_ms(self, route_name: str) -> float:
        """Returns the median latency of a route's sub-requests."""
        histogram = self._histograms.get(route_name)
        return (
            routing.DEFAULT_LATENCY_MS
            if histogram is None
            else histogram.median_ms
        )

    def slow_ms(self, route_name: str) -> float | None:
        """Returns the time within which nearly all sub-requests are answered.

        None if there are too few latencies of the route.
        """
        histogram = self._histograms.get(route_name)
        return None if histogram is None else histogram.quantile(SLOW_QUANTILE)

    def hedge_delay_ms(
        self, route_name: str, target_ms: int, remaining_ms: int | None = None
    ) -> float:
        """Returns the age at which a sub-request counts as late, in ms.

        Args:
          route_name: Name of the route.
          target_ms: Latency target of the route.
          remaining_ms: Remaining part of the target; None for all of it.
        """
        if remaining_ms is None:
            remaining_ms = target_ms
        histogram = self._histograms.get(route_name)
        quantile_ms = (
            None if histogram is None else histogram.quantile(HEDGE_QUANTILE)
        )
        if quantile_ms is None:
            return INITIAL_HEDGE_DELAY_SHARE * remaining_ms
        # If little of the target remains, the delay still lets three quarters
        # of the searchers answer: hedges for more of them would use up the
        # hedge budget of the queries that follow.
        min_limit_ms = min(quantile_ms, MAX_HEDGE_DELAY_SHARE * target_ms)
        limit_ms = max(min_limit_ms, MAX_HEDGE_DELAY_SHARE * remaining_ms)
        return max(
            MIN_HEDGE_DELAY_MS, min(HEDGE_FACTOR * quantile_ms, limit_ms)
        )
