"""Reports extra requests by service and window, in logs and metrics."""

import collections
import dataclasses
import typing

from samphiredock.coordination.search import _scatter_types
from samphiredock import logs
from samphiredock import metrics
from samphiredock import timers

_MAX_REQUESTS_LOGGED = 8
"""Requests with extra ones that are listed by id for each service."""

_MAX_SERVICES_LOGGED = 40
"""Services in a line, those with the most extra and refused requests."""

_log = logs.logger('retries')


@dataclasses.dataclass(slots=True)
class _Interval:
    """What happened to one service since the last report."""

    requests: int = 0
    denied: int = 0
    causes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    request_ids: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """What a daemon may use of the budget at the time of a report.

    ``share`` is its share of the slack, ``sharers`` how many daemons have
    one, None if it has not read that lately.
    """

    share: float
    sharers: int | None


class RetryReport:
    """Collects requests, extra requests and refused ones by service.

    Parameters
    ----------
    clock, counters
        The timers and metrics of this daemon.
    """

    def __init__(
        self, clock: timers.Timers, counters: metrics.Metrics
    ) -> None:
        self._clock = clock
        self._metrics = counters
        self._intervals: dict[str, _Interval] = collections.defaultdict(
            _Interval
        )
        self._since_ms = clock.now_ms()

    def on_requests(self, services: typing.Sequence[str]) -> None:
        """Count one request for each service."""
        for service in services:
            self._intervals[service].requests += 1

    def on_extra(self, extra: _scatter_types.ExtraAttempt) -> None:
        """Count an extra request that is sent."""
        interval = self._intervals[extra.shard]
        interval.causes[extra.cause] += 1
        if len(interval.request_ids) < _MAX_REQUESTS_LOGGED:
            interval.request_ids.append(extra.request_id)
        self._metrics.add(
            'extra_requests', service=extra.shard, cause=extra.cause
        )

    def on_denied(self, extra: _scatter_types.ExtraAttempt) -> None:
        """Count an extra request that the budget refuses."""
        self._intervals[extra.shard].denied += 1
        self._metrics.add(
            'extra_requests_denied', service=extra.shard, cause=extra.cause
        )

    def write(self, allowance: Allowance) -> None:
        """Log the extra and refused requests since the last call."""
        intervals, self._intervals = (
            self._intervals,
            collections.defaultdict(_Interval),
        )
        now_ms = self._clock.now_ms()
        for_ms = round(now_ms - self._since_ms)
        self._since_ms = now_ms
        rows = [
            (service, interval)
            for service, interval in intervals.items()
            if interval.causes or interval.denied
        ]
        rows.sort(key=lambda row: -row[1].causes.total() - row[1].denied)
        if not rows:
            return
        _log.info(
            'extra requests',
            for_ms=for_ms,
            share=round(allowance.share, 4),
            sharers=allowance.sharers,
            services={
                service: _row(interval)
                for service, interval in rows[:_MAX_SERVICES_LOGGED]
            },
            services_more=max(0, len(rows) - _MAX_SERVICES_LOGGED),
        )


def _row(interval: _Interval) -> dict[str, object]:
    return {
        'requests': interval.requests,
        **interval.causes,
        'denied': interval.denied,
        'ids': interval.request_ids,
    }
