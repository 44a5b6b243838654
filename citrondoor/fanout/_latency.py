"""Latencies of sub-requests by route, and the delay of hedges.

Routes differ in the work they cause, so a searcher's latency is compared with
the median of its route. The hedge delay follows from the latencies of the route
and from its latency target.
"""

import statistics

from citrondoor import routing

# The hedge delay is based on this quantile of the latencies: a fifth of the
# searchers may be slow or paused without changing it.
HEDGE_QUANTILE = 0.75
# With a log-normal spread of 0.35, the quantile times this is about the 97th
# percentile.
HEDGE_FACTOR = 1.5
# A hedge sent after more than this share of the target would often be answered
# after the target.
MAX_HEDGE_DELAY_SHARE = 0.4
# Hedge delay as a share of the target, until enough latencies were seen.
INITIAL_HEDGE_DELAY_SHARE = 0.3
MIN_HEDGE_DELAY_MS = 5
# Answers in a block whose median is computed. Blocks end between whole
# requests, as the fast answers of a request come first. The error of such a
# median is about 2%.
BLOCK_ANSWERS = 400
# The baseline, the lowest block median so far, rises by this share with each
# block: a route whose work has grown permanently counts as unsaturated again
# after some minutes.
BASELINE_RISE = 0.002
# If the median exceeds the baseline by this factor, most searchers are
# saturated: it is 1.27 times the baseline with 63% of the slots in use, and
# 1.09 times with a quarter of the searchers slow.
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

    def observe(self, key: str, latency_ms: float) -> None:
        """Adds the latency of one sub-request."""
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = routing.LatencyHistogram()
            self._detectors[key] = _SaturationDetector()
        histogram.observe(latency_ms)
        self._detectors[key].observe(latency_ms)

    def on_request_start(self, key: str) -> None:
        """Ends the block of latencies if it is large enough.

        Blocks end only when a request starts, so that the median does not
        contain the fast answers of a request without its slow ones.
        """
        detector = self._detectors.get(key)
        if detector is not None:
            detector.end_block()

    def is_saturated(self, key: str) -> bool:
        """Returns whether most searchers of a route have no free slot.

        Returns True until enough latencies were seen.
        """
        detector = self._detectors.get(key)
        return detector is None or detector.is_saturated

    def median_ms(self, key: str) -> float:
        """Returns the median latency of a route's sub-requests."""
        histogram = self._histograms.get(key)
        return (
            routing.DEFAULT_LATENCY_MS
            if histogram is None
            else histogram.median_ms
        )

    def hedge_delay_ms(
        self, key: str, target_ms: int, remaining_ms: int | None = None
    ) -> float:
        """Returns the age at which a sub-request counts as late, in ms.

        Args:
          key: The route.
          target_ms: Latency target of the route.
          remaining_ms: Remaining part of the target; None for all of it.
        """
        if remaining_ms is None:
            remaining_ms = target_ms
        histogram = self._histograms.get(key)
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
