"""Latencies of searchers, as this daemon measured them."""

import bisect

# Weight of a new sample in a searcher's moving average.
EWMA_SAMPLE_WEIGHT = 0.2
# Without new samples, an average moves half of the way to the median of the
# back end in this time. A searcher that was slow gets few sub-requests, and
# would otherwise keep its high average and not be chosen again.
STALE_HALF_LIFE_MS = 5000
# Median assumed until there are enough samples.
DEFAULT_LATENCY_MS = 5.0

# Bucket `i` of the histogram, from 0, ends at the base times the growth to the
# power of `i + 1`. The last one starts at 15.6 s and contains all longer
# latencies.
_BUCKET_BASE_MS = 0.25
_BUCKET_GROWTH = 1.15
_BUCKET_COUNT = 80
# Lower bounds of all buckets but the first.
_BUCKET_LOWER_BOUNDS_MS = [
    _BUCKET_BASE_MS * _BUCKET_GROWTH**index for index in range(1, _BUCKET_COUNT)
]
# All weights are halved after this many samples, so that recent samples count
# more than old ones.
_HALVE_AFTER_SAMPLES = 4000
# Weight of the samples below which there is no quantile; also the number of
# samples after which the median is updated.
MIN_SAMPLES = 50


class LatencyHistogram:
    """Estimates the quantiles of latencies; old samples lose weight."""

    __slots__ = (
        "_bucket_weights",
        "_cached_quantiles",
        "_median_ms",
        "_samples_since_halving",
        "_total_weight",
    )

    def __init__(self):
        self._bucket_weights = [0.0] * _BUCKET_COUNT
        self._total_weight = 0.0
        self._samples_since_halving = 0
        self._median_ms = DEFAULT_LATENCY_MS
        # Quantiles computed since the last sample; cleared by each sample.
        self._cached_quantiles: dict[float, float] = {}

    @property
    def median_ms(self) -> float:
        """Median latency, updated once every `MIN_SAMPLES` samples.

        `DEFAULT_LATENCY_MS` until then.
        """
        return self._median_ms

    def observe(self, latency_ms: float) -> None:
        """Adds a sample."""
        self._cached_quantiles.clear()
        bucket = bisect.bisect_right(_BUCKET_LOWER_BOUNDS_MS, latency_ms)
        self._bucket_weights[bucket] += 1
        self._total_weight += 1
        self._samples_since_halving += 1
        if self._samples_since_halving % MIN_SAMPLES == 0:
            self._median_ms = self.quantile(0.5) or DEFAULT_LATENCY_MS
        if self._samples_since_halving >= _HALVE_AFTER_SAMPLES:
            self._halve_weights()

    def quantile(self, share: float) -> float | None:
        """Returns the latency in ms that a share of the samples is within.

        It is the upper bound of the histogram bucket that holds the quantile;
        None while the samples weigh less than `MIN_SAMPLES`.

        Args:
          share: Share of the samples, 0 to 1.
        """
        if self._total_weight < MIN_SAMPLES:
            return None
        cached = self._cached_quantiles.get(share)
        if cached is None:
            cached = self._cached_quantiles[share] = self._compute_quantile(
                share
            )
        return cached

    def _compute_quantile(self, share: float) -> float:
        target_weight = self._total_weight * share
        cumulative_weight = 0.0
        for index, weight in enumerate(self._bucket_weights):
            cumulative_weight += weight
            if cumulative_weight >= target_weight:
                return _BUCKET_BASE_MS * _BUCKET_GROWTH ** (index + 1)
        return _BUCKET_BASE_MS * _BUCKET_GROWTH**_BUCKET_COUNT

    def _halve_weights(self) -> None:
        self._bucket_weights = [weight / 2 for weight in self._bucket_weights]
        self._total_weight /= 2
        self._samples_since_halving = 0


class _MovingAverage:
    __slots__ = ("average_ms", "updated_at")

    def __init__(self, average_ms: float, updated_at: int):
        self.average_ms = average_ms
        self.updated_at = updated_at


class SearcherLatencies:
    """Latencies of one back end: a histogram, and an average per searcher."""

    __slots__ = ("_averages", "_histogram")

    def __init__(self):
        self._histogram = LatencyHistogram()
        self._averages: dict[str, _MovingAverage] = {}

    @property
    def histogram(self) -> LatencyHistogram:
        """Latencies over all searchers of the back end."""
        return self._histogram

    def observe(self, searcher: str, latency_ms: float, now: int) -> None:
        """Adds the latency of one answer."""
        self._histogram.observe(latency_ms)
        average = self._averages.get(searcher)
        if average is None:
            self._averages[searcher] = _MovingAverage(latency_ms, now)
            return
        decayed_ms = self._decay_to_typical(average, now)
        average.average_ms = decayed_ms + EWMA_SAMPLE_WEIGHT * (
            latency_ms - decayed_ms
        )
        average.updated_at = now

    def penalize(self, searcher: str, latency_ms: float, now: int) -> None:
        """Raises a searcher's average to at least `latency_ms`.

        For a sub-request that has been open for this time without an answer.
        """
        average = self._averages.get(searcher)
        if average is None:
            self._averages[searcher] = _MovingAverage(latency_ms, now)
            return
        average.average_ms = max(
            self._decay_to_typical(average, now), latency_ms
        )
        average.updated_at = now

    def expected_ms(self, searcher: str, now: int) -> float:
        """Returns a searcher's moving average.

        The median of the back end when the searcher has no sample yet.
        """
        average = self._averages.get(searcher)
        if average is None:
            return self._histogram.median_ms
        return self._decay_to_typical(average, now)

    def _decay_to_typical(self, average: _MovingAverage, now: int) -> float:
        age_ms = now - average.updated_at
        if age_ms <= 0:
            return average.average_ms
        typical_ms = self._histogram.median_ms
        weight = 0.5 ** (age_ms / STALE_HALF_LIFE_MS)
        return typical_ms + (average.average_ms - typical_ms) * weight
