"""What is counted, in plain objects until it is exported.

Recording through OpenTelemetry costs 11-16 us a call, too much for each of
thousands of sub-queries a second, and loading it a fifth of a daemon's
start.  So what is counted is kept in plain objects, which are flushed in
bulk once the libraries are needed.
"""

import collections
import threading
import typing

if typing.TYPE_CHECKING:
    from samphiredock.metrics import _export

_OBSERVATION_LIMIT = 10_000
"""Values that wait for a flush at most, some 2 MB: the requests of several
seconds at the planned size."""

_Labels = typing.Iterable[tuple[str, object]]


class Metrics:
    """The metrics of one process, kept apart from any other's."""

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._exporter: _export.Exporter | None = None
        self._load_lock = threading.Lock()
        self._pending: collections.Counter = collections.Counter()
        self._observations: list[tuple[str, float, _Labels]] = []
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
        """Record one value in a histogram at the next flush."""
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
        """Import the libraries; may be called from another thread."""
        with self._load_lock:
            if self._exporter is None:
                from samphiredock.metrics import _export

                self._exporter = _export.Exporter()

    def flush(self) -> None:
        """Hand what was counted and observed to OpenTelemetry."""
        self.load()
        assert self._exporter is not None
        pending, self._pending = self._pending, collections.Counter()
        for (name, labels), amount in pending.items():
            self._exporter.add(name, amount, _label_texts(labels))
        observations, self._observations = self._observations, []
        for name, value, labels in observations:
            self._exporter.record(name, value, _label_texts(labels))

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self.flush()
        return self.text()

    def text(self) -> bytes:
        """Return what was flushed; may be called from another thread."""
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
