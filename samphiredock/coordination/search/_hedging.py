"""Latency quantiles for hedge delays, and detection of overload.

A merge order, or order for short, asks another daemon to query several
targets and to report their results merged; its attempts are called ordered.
"""

import collections

from samphiredock import protocol

_MAX_SAMPLES = 512
_MIN_SAMPLES = 64
_RECOMPUTE_EVERY = 64  # samples between two sorts
_MIN_DELAY_MS = 1.0

# The share of overload signs is a moving average over about the last 100
# attempts.
_DECAY = 0.99
_OVERLOADED_SHARE = 0.10
_QUEUED_FACTOR = 2.0
_MIN_QUEUED_MS = 10.0

GATHER_FACTOR = 1.3
"""For how many hedge delays a daemon gathers the results of an order before
it reports them merged.  Hedged at the 85th percentile, some 95 % of the parts
have arrived by then; each later one is reported by itself."""

ORDER_SLACK_MS = 20.0
"""How long after the end of gathering an ordered attempt counts as late, if
its daemon has not reported it as late before."""

_OVERLOAD_WEIGHT = {
    protocol.SubStatus.SHED: 1.0,
    protocol.SubStatus.EXPIRED: 1.0,
    # Hedges are a small part of the attempts, so each one weighs more.
    protocol.SubStatus.NO_IDLE_SLOT: 4.0,
}


def gather_ms(hedge_delay_ms: float) -> float:
    """Return for how many ms a daemon gathers the results of an order."""
    return hedge_delay_ms * GATHER_FACTOR


def ordered_delay_ms(hedge_delay_ms: float) -> float:
    """Return after how many ms an ordered attempt is late."""
    return gather_ms(hedge_delay_ms) + ORDER_SLACK_MS


class _IndexStats:
    """Latencies of one index, and its share of overload signs."""

    __slots__ = ('_samples', '_new_samples', '_sorted', '_overload_share')

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=_MAX_SAMPLES
        )
        self._new_samples = 0
        self._sorted: list[float] = []
        self._overload_share = 0.0

    def observe(self, took_ms: float) -> None:
        self._samples.append(took_ms)
        self._new_samples += 1

    def record_overload_sign(self, weight: float) -> None:
        self._overload_share = self._overload_share * _DECAY + weight * (
            1.0 - _DECAY
        )

    def is_overloaded(self) -> bool:
        return self._overload_share > _OVERLOADED_SHARE

    def quantile(self, share: float) -> float | None:
        if len(self._samples) < _MIN_SAMPLES:
            return None
        if self._new_samples >= _RECOMPUTE_EVERY or not self._sorted:
            self._sorted = sorted(self._samples)
            self._new_samples = 0
        last = len(self._sorted) - 1
        return self._sorted[min(last, int(share * len(self._sorted)))]


class Latencies:
    """Latencies of attempts by index, as this daemon observes them.

    They include the time in the dispatcher's queue, because a hedge helps
    against that delay as well.  Samples are kept by index, since a single
    shard has too few for a tail quantile.
    """

    def __init__(self) -> None:
        self._stats: dict[str, _IndexStats] = collections.defaultdict(
            _IndexStats
        )

    def observe(self, index: str, took_ms: float) -> None:
        """Record the latency of an attempt that ended or was cancelled.

        An attempt that lost to its hedge counts with the time until it was
        cancelled: without it the quantile would fall and ever more hedges
        would be sent.
        """
        self._stats[index].observe(took_ms)

    def record_overload_sign(
        self,
        index: str,
        status: protocol.SubStatus,
        waited_ms: float,
        service_ms: float,
    ) -> None:
        """Record whether the end of one attempt indicates overload."""
        weight = _OVERLOAD_WEIGHT.get(status, 0.0)
        if (
            waited_ms > _MIN_QUEUED_MS
            and waited_ms > _QUEUED_FACTOR * service_ms
        ):
            weight = max(weight, 1.0)
        self._stats[index].record_overload_sign(weight)

    def is_overloaded(self, index: str) -> bool:
        """Return whether the index is overloaded; hedges would add to that."""
        return self._stats[index].is_overloaded()

    def hedge_delay_ms(
        self, index: str, quantile: float, default_ms: float
    ) -> float | None:
        """Return the hedge delay; None while hedges are suspended by overload.

        ``default_ms`` is the delay while too few latencies are known.
        """
        record = self._stats[index]
        if record.is_overloaded():
            return None
        delay_ms = record.quantile(quantile)
        if delay_ms is None:
            return default_ms
        return max(_MIN_DELAY_MS, delay_ms)

    def quantile_ms(self, index: str, quantile: float) -> float:
        """Return a quantile of the latency, 0 while too few are known."""
        return self._stats[index].quantile(quantile) or 0.0
