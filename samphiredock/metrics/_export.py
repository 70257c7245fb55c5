"""OpenTelemetry behind :class:`Metrics`.

A module of its own, since importing the libraries takes a fifth of the
processor time until a daemon serves its callers.
"""

import typing

from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk.metrics import view
import prometheus_client

_LATENCY_BUCKETS_MS = (
    1, 2, 5, 10, 20, 40, 80, 120, 160, 250, 500, 1_000, 2_500, 10_000,
)  # fmt: skip
_RATIO_BUCKETS = (0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1.0)
_EXTRA_BUCKETS = (1.0, 1.01, 1.02, 1.05, 1.1, 1.2, 1.5, 2.0, 3.0)

_HISTOGRAMS = {
    'request_latency_ms': _LATENCY_BUCKETS_MS,
    'request_coverage': _RATIO_BUCKETS,
    'request_extra_load': _EXTRA_BUCKETS,
    'target_service_ms': _LATENCY_BUCKETS_MS,
}


class Exporter:
    """The instruments of one process, kept apart from any other's."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        # Scope labels would be a third of the page's bytes, all equal.
        reader = prometheus.PrometheusMetricReader(scope_info_enabled=False)
        # The exporter registers with the global registry only; a test may
        # hold several daemons in one process, so each has its own as well.
        self._registry.register(reader._collector)
        views = [
            view.View(
                instrument_name=name,
                aggregation=view.ExplicitBucketHistogramAggregation(buckets),
            )
            for name, buckets in _HISTOGRAMS.items()
        ]
        self._provider = sdk_metrics.MeterProvider([reader], views=views)
        self._meter = self._provider.get_meter('samphiredock')
        self._histograms = {
            name: self._meter.create_histogram(name) for name in _HISTOGRAMS
        }
        self._counters: dict[str, typing.Any] = {}

    def add(
        self, name: str, amount: float, labels: typing.Mapping[str, str]
    ) -> None:
        """Add to a counter, which is made when it is first used."""
        counter = self._counters.get(name)
        if counter is None:
            counter = self._counters[name] = self._meter.create_counter(name)
        counter.add(amount, labels)

    def record(
        self, name: str, value: float, labels: typing.Mapping[str, str]
    ) -> None:
        """Record one value in a histogram."""
        self._histograms[name].record(value, labels)

    def text(self) -> bytes:
        """Return everything in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def close(self) -> None:
        """Stop the provider."""
        self._provider.shutdown()
