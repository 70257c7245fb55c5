"""Collects counts and observations until they are exported in bulk.

OpenTelemetry takes 11 to 16 us a call, too slow for each sub-query, and its
import takes a fifth of a daemon's start.
Metrics are therefore collected in plain objects and flushed regularly, and the
libraries are imported at the first flush.
"""

import collections
import threading
import typing

if typing.TYPE_CHECKING:
    from samphiredock.metrics import _export

_OBSERVATION_LIMIT = 10_000
"""How many observations are held before they are flushed, to bound memory."""

_Labels = typing.Iterable[tuple[str, object]]


class Metrics:
    """Counters and histograms of one daemon."""

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._exporter: _export.Exporter | None = None
        self._load_lock = threading.Lock()
        self._pending: collections.Counter = collections.Counter()
        self._observations: list[tuple[str, float, _Labels]] = []
        self._totals: collections.Counter = collections.Counter()

    def add(self, name: str, amount: float = 1, **labels: object) -> None:
        """Add to a counter, to be exported at the next flush."""
        self.add_bulk(name, amount, **labels)

    def add_bulk(self, name: str, amount: float, **labels: object) -> None:
        """Add to a counter as :meth:`add` does, for any computed amount."""
        key = (name, tuple(sorted(labels.items())))
        self._pending[key] += amount
        self._totals[name] += amount

    def observe(self, name: str, value: float, **labels: object) -> None:
        """Record a value, to be added to its histogram at the next flush."""
        self._observations.append((name, value, tuple(labels.items())))
        if len(self._observations) >= _OBSERVATION_LIMIT:
            self.flush()

    def total(self, name: str) -> float:
        """Return a counter's sum over all labels."""
        return self._totals[name]

    def totals(self) -> dict[str, float]:
        """Return every counter's sum over its labels."""
        return dict(self._totals)

    def load(self) -> None:
        """Import the OpenTelemetry libraries; safe in any thread."""
        with self._load_lock:
            if self._exporter is None:
                from samphiredock.metrics import _export

                self._exporter = _export.Exporter()

    def flush(self) -> None:
        """Export the collected counts and observations to OpenTelemetry."""
        self.load()
        assert self._exporter is not None
        pending, self._pending = self._pending, collections.Counter()
        for (name, labels), amount in pending.items():
            self._exporter.add(name, amount, _label_texts(labels))
        observations, self._observations = self._observations, []
        for name, value, labels in observations:
            self._exporter.record(name, value, _label_texts(labels))

    def render(self) -> bytes:
        """Flush, and return all metrics in the Prometheus text format."""
        self.flush()
        return self.text()

    def text(self) -> bytes:
        """Return the metrics as of the last flush; safe in any thread."""
        self.load()
        assert self._exporter is not None
        return self._exporter.text()

    def close(self) -> None:
        """Stop the exporter."""
        if self._exporter is not None:
            self._exporter.close()


def _label_texts(labels: _Labels) -> dict[str, str]:
    return {
        key: value.decode() if isinstance(value, bytes) else str(value)
        for key, value in labels
    }
