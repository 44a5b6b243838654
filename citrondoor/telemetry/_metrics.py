"""OpenTelemetry metrics in the Prometheus text format.

Counters and gauges are observable instruments: their owners keep plain numbers,
and callbacks read them when the metrics are scraped.
"""

from collections.abc import Callable
from collections.abc import Iterable

import prometheus_client
from opentelemetry import metrics as otel_metrics
from opentelemetry.exporter import prometheus as otel_prometheus
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources
from opentelemetry.sdk.metrics import view as sdk_view

# Upper bounds of the latency buckets, in seconds. They are the `le` labels of
# the histogram, so queries that name a bucket depend on them.
LATENCY_BOUNDS_S = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.035,
    0.054,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
)


class Metrics:
    """Instruments of one daemon, with a Prometheus registry of their own.

    Args:
      vm: Name of this VM; becomes the resource's instance ID.
      zone: Zone of this VM.
    """

    __slots__ = ("_latency", "_meter", "_provider", "_registry")

    def __init__(self, vm: str, zone: str):
        self._registry = prometheus_client.CollectorRegistry()
        reader = otel_prometheus.PrometheusMetricReader(registry=self._registry)
        latency_view = sdk_view.View(
            instrument_name="citrondoor.request.duration",
            aggregation=sdk_view.ExplicitBucketHistogramAggregation(
                LATENCY_BOUNDS_S
            ),
        )
        resource = resources.Resource.create(
            {
                "service.name": "citrondoor",
                "service.instance.id": vm,
                "cloud.availability_zone": zone,
            }
        )
        self._provider = sdk_metrics.MeterProvider(
            [reader], resource=resource, views=[latency_view]
        )
        self._meter = self._provider.get_meter("citrondoor")
        self._latency = self._meter.create_histogram(
            "citrondoor.request.duration",
            unit="s",
            description="Time from a request's arrival to its answer.",
        )

    def add_counter(
        self, name: str, description: str, read: Callable[[], int]
    ) -> None:
        """Adds a counter; `read` returns its current value at each scrape."""
        self._meter.create_observable_counter(
            name, [_make_callback(read)], description=description
        )

    def add_gauge(
        self, name: str, description: str, read: Callable[[], float]
    ) -> None:
        """Adds a gauge; `read` returns its current value at each scrape."""
        self._meter.create_observable_gauge(
            name, [_make_callback(read)], description=description
        )

    def record_latency(
        self, seconds: float, backend: str, outcome: str
    ) -> None:
        """Adds one request's latency to the histogram."""
        self._latency.record(seconds, {"backend": backend, "outcome": outcome})

    def exposition(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def close(self) -> None:
        """Shuts down the meter provider and its exporter."""
        self._provider.shutdown()


def _make_callback(read: Callable[[], float]):
    def callback(
        options: otel_metrics.CallbackOptions,
    ) -> Iterable[otel_metrics.Observation]:
        return [otel_metrics.Observation(read())]

    return callback
