"""When a sub-query is late enough for a hedge, and when none may be sent."""

import collections

from samphiredock import protocol

_MAX_SAMPLES = 512
_MIN_SAMPLES = 64
_RECOMPUTE_EVERY = 64
_MIN_DELAY_MS = 1.0

# Signs of overload are a decayed share of the last hundred or so answers.
_DECAY = 0.99
_OVERLOADED_SHARE = 0.10
_QUEUED_FACTOR = 2.0
_MIN_QUEUED_MS = 10.0

GATHER_FACTOR = 1.3
"""How much longer than an attempt is waited for before its hedge a daemon
gathers the parts of an order.  Hedged at the 85th percentile, some 95 % of
the parts of a search are in by then, and travel as one; the others, mostly
those of targets that pause, each travel alone."""

ORDER_SLACK_MS = 20.0
"""How much later than due an attempt by order is late at last, if nothing has
told before that it is or that its daemon is silent."""

_OVERLOAD_WEIGHT = {
    protocol.SubStatus.SHED: 1.0,
    protocol.SubStatus.EXPIRED: 1.0,
    # Hedges are a few per cent of the attempts, so each counts for more.
    protocol.SubStatus.NO_IDLE_SLOT: 4.0,
}


def gather_ms(hedge_delay_ms: float) -> float:
    """Return for how long the parts of an order are gathered."""
    return hedge_delay_ms * GATHER_FACTOR


def ordered_delay_ms(hedge_delay_ms: float) -> float:
    """Return after how long an attempt by order is late."""
    return gather_ms(hedge_delay_ms) + ORDER_SLACK_MS


class _IndexRecord:
    """Latencies and signs of overload of one index."""

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
    """Sub-query latency by index, as this coordinator sees it.

    Time in the dispatcher's queue is part of it: a hedge is for whatever
    makes an answer late.  Samples are per index, since one shard alone has
    too few for a tail quantile.
    """

    def __init__(self) -> None:
        self._records: dict[str, _IndexRecord] = collections.defaultdict(
            _IndexRecord
        )

    def observe(self, index: str, took_ms: float) -> None:
        """Record an attempt that ended, or was cancelled, after this long.

        A cancelled loser counts with the time it had taken: leaving it out
        would pull the quantile down and send ever more hedges.
        """
        self._records[index].observe(took_ms)

    def record_overload_sign(
        self,
        index: str,
        status: protocol.SubStatus,
        waited_ms: float,
        service_ms: float,
    ) -> None:
        """Take one ending in as a sign for or against overload."""
        weight = _OVERLOAD_WEIGHT.get(status, 0.0)
        if (
            waited_ms > _MIN_QUEUED_MS
            and waited_ms > _QUEUED_FACTOR * service_ms
        ):
            weight = max(weight, 1.0)
        self._records[index].record_overload_sign(weight)

    def is_overloaded(self, index: str) -> bool:
        """Whether hedges would only add to a queue."""
        return self._records[index].is_overloaded()

    def hedge_delay_ms(
        self, index: str, quantile: float, unknown_ms: float
    ) -> float | None:
        """Return after how long to hedge; None while no hedge may be sent.

        ``unknown_ms`` is the delay while too few latencies are known.
        """
        record = self._records[index]
        if record.is_overloaded():
            return None
        delay_ms = record.quantile(quantile)
        if delay_ms is None:
            return unknown_ms
        return max(_MIN_DELAY_MS, delay_ms)

    def quantile_ms(self, index: str, quantile: float) -> float:
        """Return a quantile of the latency, 0 while too little is known."""
        return self._records[index].quantile(quantile) or 0.0
