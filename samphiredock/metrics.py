"""Counters and histograms, by OpenTelemetry.

Recording through OpenTelemetry costs 11-16 us a call, too much for each of
thousands of sub-queries a second, so hot parts count in plain integers
(:meth:`Metrics.add_bulk`) that are flushed in bulk.
"""

import collections
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


class Metrics:
    """The metrics of one process, kept apart from any other's."""

    def __init__(self, instance: str) -> None:
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
        self._instance = instance
        self._histograms = {
            name: self._meter.create_histogram(name) for name in _HISTOGRAMS
        }
        self._counters: dict[str, typing.Any] = {}
        self._pending: collections.Counter = collections.Counter()
        self._totals: collections.Counter = collections.Counter()

    def add(self, name: str, amount: float = 1, **labels: object) -> None:
        """Add to a counter; cheap, exported at the next flush."""
        self.add_bulk(name, amount, **labels)

    def add_bulk(self, name: str, amount: float, **labels: object) -> None:
        """Add to a counter in a plain integer until :meth:`flush`."""
        key = (name, tuple(sorted(labels.items())))
        self._pending[key] += amount
        self._totals[name] += amount

    def observe(self, name: str, value: float, **labels: object) -> None:
        """Record one value in a histogram."""
        self._histograms[name].record(value, _text(labels.items()))

    def total(self, name: str) -> float:
        """Return a counter's sum over all labels."""
        return self._totals[name]

    def totals(self) -> dict[str, float]:
        """Return every counter's sum over its labels."""
        return dict(self._totals)

    def flush(self) -> None:
        """Hand the pending counts to OpenTelemetry."""
        pending, self._pending = self._pending, collections.Counter()
        for (name, labels), amount in pending.items():
            counter = self._counters.get(name)
            if counter is None:
                counter = self._meter.create_counter(name)
                self._counters[name] = counter
            counter.add(amount, _text(labels))

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self.flush()
        return self.text()

    def text(self) -> bytes:
        """Return what was flushed; may be called from another thread."""
        return prometheus_client.generate_latest(self._registry)

    def close(self) -> None:
        """Stop the exporter."""
        self._provider.shutdown()


def _text(labels: typing.Iterable[tuple[str, object]]) -> dict[str, str]:
    return {
        key: value.decode() if isinstance(value, bytes) else str(value)
        for key, value in labels
    }
