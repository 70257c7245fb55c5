"""Exports metrics through OpenTelemetry and the Prometheus client.

This is a module of its own, imported late, since the libraries would slow down
the start of a daemon.
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
_EXTRA_LOAD_BUCKETS = (1.0, 1.01, 1.02, 1.05, 1.1, 1.2, 1.5, 2.0, 3.0)

_HISTOGRAMS = {
    'request_latency_ms': _LATENCY_BUCKETS_MS,
    'request_coverage': _RATIO_BUCKETS,
    'request_extra_load': _EXTRA_LOAD_BUCKETS,
    'target_service_ms': _LATENCY_BUCKETS_MS,
}


class Exporter:
    """The OpenTelemetry instruments of one daemon."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        # Scope labels are equal for all metrics and only lengthen the page.
        reader = prometheus.PrometheusMetricReader(scope_info_enabled=False)
        # The reader registers only with the global registry; tests run several
        # daemons in one process, so each has a registry of its own as well.
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
        """Add to a counter, creating it if it is new."""
        counter = self._counters.get(name)
        if counter is None:
            counter = self._counters[name] = self._meter.create_counter(name)
        counter.add(amount, labels)

    def record(
        self, name: str, value: float, labels: typing.Mapping[str, str]
    ) -> None:
        """Record one value in a histogram of ``_HISTOGRAMS``."""
        self._histograms[name].record(value, labels)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def close(self) -> None:
        """Shut down the meter provider."""
        self._provider.shutdown()
