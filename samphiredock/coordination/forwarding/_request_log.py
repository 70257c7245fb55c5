"""Writes log lines about requests, with little detail for successful ones.

Every request has a line at its end.  A failed or late one also has a line for
each decision: where it was sent and why, what came back, what was refused.
The decisions are kept until the outcome is known, and failed requests have a
rate limit of their own, so that successful ones cannot crowd them out.
"""

import collections
import dataclasses
import typing

from samphiredock import logs
from samphiredock import metrics
from samphiredock import timers

SUCCESS_LINES_PER_S = 50.0
"""Rate limit for successful requests; beyond, their lines are a sample."""

FAILURE_LINES_PER_S = 400.0
"""Rate limit for failed or late requests.  A line takes some 60 us, so both
limits together stay under 3 % of a core."""

_WRITE_INTERVAL_MS = 20.0
_LINES_PER_WRITE = 12
"""Lines written at once.  A late search of 90 shards leaves some 200 lines,
12 ms of work, which would delay other requests if written in one go."""

_log = logs.logger('requests')


class _Bucket:
    """Token bucket for log lines."""

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._tokens = per_s
        self._at_ms = 0.0

    def take(self, count: int, now_ms: float) -> bool:
        passed_s = max(0.0, now_ms - self._at_ms) / 1000.0
        self._at_ms = now_ms
        filled = self._tokens + passed_s * self._per_s
        self._tokens = min(self._per_s, filled)
        if self._tokens < count:
            return False
        self._tokens -= count
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class TraceEntry:
    """One decision about a request, ``at_ms`` after the request came."""

    at_ms: float
    event: str
    fields: typing.Mapping[str, object]


@dataclasses.dataclass(frozen=True, slots=True)
class _Line:
    """A line waiting to be written; ``at_ms`` is its wall-clock time."""

    at_ms: float
    event: str
    fields: typing.Mapping[str, object]


class RequestTrace:
    """The decisions about one request, kept until its outcome is known."""

    __slots__ = ('started_ms', 'entries')

    def __init__(self, started_ms: float) -> None:
        self.started_ms = started_ms
        self.entries: list[TraceEntry] = []

    def add(self, now_ms: float, event: str, **fields: object) -> None:
        """Add one decision."""
        at_ms = round(now_ms - self.started_ms, 1)
        self.entries.append(TraceEntry(at_ms, event, fields))


class RequestLog:
    """Writes the lines of requests, and counts those left out.

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
        self._success_bucket = _Bucket(SUCCESS_LINES_PER_S)
        self._failure_bucket = _Bucket(FAILURE_LINES_PER_S)
        self._waiting: collections.deque[_Line] = collections.deque()
        self._has_timer = False

    def end(
        self,
        request_id: str,
        trace: RequestTrace,
        is_ok: bool,
        event: str = 'request ended',
        **fields: object,
    ) -> None:
        """Log the end of a request, and its decisions unless it went well.

        ``event`` names what has ended: the request, or a merge order for it.
        """
        lines = [] if is_ok else trace.entries
        bucket = self._success_bucket if is_ok else self._failure_bucket
        if not bucket.take(1 + len(lines), self._clock.now_ms()):
            self._metrics.add('request_lines_left_out', 1 + len(lines))
            return
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        began_wall_ms = wall_ms - (now_ms - trace.started_ms)
        self._waiting += [
            _Line(
                began_wall_ms + row.at_ms,
                row.event,
                {'request': request_id, 'at_ms': row.at_ms, **row.fields},
            )
            for row in lines
        ]
        took_ms = round(now_ms - trace.started_ms, 1)
        end_fields = {'request': request_id, 'took_ms': took_ms, **fields}
        self._waiting.append(_Line(wall_ms, event, end_fields))
        self._schedule_write()

    def _schedule_write(self) -> None:
        """Set a timer for the next lines, unless it is set or none wait."""
        if self._waiting and not self._has_timer:
            self._has_timer = True
            self._clock.after(_WRITE_INTERVAL_MS, self._write_some)

    def _write_some(self) -> None:
        self._has_timer = False
        self.write(_LINES_PER_WRITE)
        self._schedule_write()

    def write(self, count: int | None = None) -> None:
        """Write at most ``count`` waiting lines; all of them if None."""
        left = len(self._waiting) if count is None else count
        while self._waiting and left:
            line = self._waiting.popleft()
            # The time of the event, not of the write.
            _log.info(
                line.event, time=logs.time_text(line.at_ms), **line.fields
            )
            left -= 1
