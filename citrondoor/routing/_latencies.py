"""What this daemon has seen of searchers itself."""

import bisect

# Weight of a new latency in the moving average.
EWMA_WEIGHT = 0.2
# An average that was not renewed loses half of its distance to the typical
# latency in this time, so that a searcher that was slow is tried again.
FORGET_MS = 5000
DEFAULT_LATENCY_MS = 5.0

# Buckets of the latency histogram grow by this factor from 0.25 ms.
_BUCKET_BASE_MS = 0.25
_BUCKET_GROWTH = 1.15
_BUCKET_COUNT = 80
# Lower bounds of all buckets but the first.
_BUCKET_BOUNDS_MS = [
    _BUCKET_BASE_MS * _BUCKET_GROWTH**index for index in range(1, _BUCKET_COUNT)
]
# Old samples lose half of their weight after this many new ones.
_HALVE_AFTER = 4000
MIN_SAMPLES = 50


class LatencyHistogram:
    """Learns the quantiles of sub-request latency of one back end."""

    __slots__ = (
        "_buckets",
        "_count",
        "_median",
        "_quantiles",
        "_since_halved",
    )

    def __init__(self):
        self._buckets = [0.0] * _BUCKET_COUNT
        self._count = 0.0
        self._since_halved = 0
        self._median = DEFAULT_LATENCY_MS
        # Quantiles asked for since the last latency was added.
        self._quantiles: dict[float, float] = {}

    @property
    def median_ms(self) -> float:
        """Typical latency; refreshed now and then, cheap to read."""
        return self._median

    def observe(self, latency_ms: float) -> None:
        """Adds one latency."""
        self._quantiles.clear()
        bucket = bisect.bisect_right(_BUCKET_BOUNDS_MS, latency_ms)
        self._buckets[bucket] += 1
        self._count += 1
        self._since_halved += 1
        if self._since_halved % MIN_SAMPLES == 0:
            self._median = self.quantile(0.5) or DEFAULT_LATENCY_MS
        if self._since_halved >= _HALVE_AFTER:
            self._halve()

    def quantile(self, share: float) -> float | None:
        """Returns the latency in ms that a share stays within.

        Returns None while fewer than `MIN_SAMPLES` were seen.
        """
        if self._count < MIN_SAMPLES:
            return None
        known = self._quantiles.get(share)
        if known is None:
            known = self._quantiles[share] = self._scan(share)
        return known

    def _scan(self, share: float) -> float:
        wanted = self._count * share
        seen = 0.0
        for index, weight in enumerate(self._buckets):
            seen += weight
            if seen >= wanted:
                return _BUCKET_BASE_MS * _BUCKET_GROWTH ** (index + 1)
        return _BUCKET_BASE_MS * _BUCKET_GROWTH**_BUCKET_COUNT

    def _halve(self) -> None:
        self._buckets = [weight / 2 for weight in self._buckets]
        self._count /= 2
        self._since_halved = 0


class _Seen:
    __slots__ = ("average_ms", "renewed_at")

    def __init__(self, average_ms: float, renewed_at: int):
        self.average_ms = average_ms
        self.renewed_at = renewed_at


class SearcherLatencies:
    """Latency of each searcher of one back end."""

    __slots__ = ("_histogram", "_searchers")

    def __init__(self):
        self._histogram = LatencyHistogram()
        self._searchers: dict[str, _Seen] = {}

    @property
    def histogram(self) -> LatencyHistogram:
        """Latency over all searchers of the back end."""
        return self._histogram

    def observe(self, searcher: str, latency_ms: float, now: int) -> None:
        """Adds the latency of one answer."""
        self._histogram.observe(latency_ms)
        seen = self._searchers.get(searcher)
        if seen is None:
            self._searchers[searcher] = _Seen(latency_ms, now)
            return
        average = self._aged(seen, now)
        seen.average_ms = average + EWMA_WEIGHT * (latency_ms - average)
        seen.renewed_at = now

    def penalize(self, searcher: str, latency_ms: float, now: int) -> None:
        """Notes that a searcher has not answered within `latency_ms`."""
        seen = self._searchers.get(searcher)
        if seen is None:
            self._searchers[searcher] = _Seen(latency_ms, now)
            return
        seen.average_ms = max(self._aged(seen, now), latency_ms)
        seen.renewed_at = now

    def expected_ms(self, searcher: str, now: int) -> float:
        """Returns the expected latency of a searcher."""
        seen = self._searchers.get(searcher)
        if seen is None:
            return self._histogram.median_ms
        return self._aged(seen, now)

    def _aged(self, seen: _Seen, now: int) -> float:
        age = now - seen.renewed_at
        if age <= 0:
            return seen.average_ms
        typical = self._histogram.median_ms
        weight = 0.5 ** (age / FORGET_MS)
        return typical + (seen.average_ms - typical) * weight
