"""Log lines about requests: few for those that went well.

Every request has a line at its end.  One that did not go well has a line
for each decision as well: to whom it was sent and why, what came back, what
was refused and with which budget left.  The decisions are kept until the
end is known, so that a good request's never take the place of a bad one's.
"""

import collections
import dataclasses
import typing

from samphiredock import logs
from samphiredock import metrics
from samphiredock import timers

GOOD_LINES_PER_S = 50.0
"""A daemon serves about 15 requests a second; at a burst of thousands the
lines of good ones are a sample."""

BAD_LINES_PER_S = 400.0
"""Decisions of 10 to 20 failed requests a second.  A line takes some 60 us,
so that both bounds together stay under 3 % of a core."""

_WRITE_EVERY_MS = 20.0
_LINES_A_TURN = 12
"""Lines are written a few at a time, 600 a second as the bounds allow.  A
search of 90 shards that was late leaves some 200 of them, 12 ms of work: at
once, it would make the next ones late as well."""

_log = logs.logger('requests')


class _Bucket:
    """Lines that may be written now, filled by time."""

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
class Decision:
    """One decision about a request, ``at_ms`` after it came."""

    at_ms: float
    event: str
    facts: typing.Mapping[str, object]


@dataclasses.dataclass(frozen=True, slots=True)
class _Line:
    """One line that waits; ``at_ms`` is the time of day."""

    at_ms: float
    event: str
    facts: typing.Mapping[str, object]


class Trail:
    """The decisions about one request, until its end is known."""

    __slots__ = ('started_ms', 'decisions')

    def __init__(self, started_ms: float) -> None:
        self.started_ms = started_ms
        self.decisions: list[Decision] = []

    def add(self, now_ms: float, event: str, **facts: object) -> None:
        """Keep one decision."""
        at_ms = round(now_ms - self.started_ms, 1)
        self.decisions.append(Decision(at_ms, event, facts))


class RequestLog:
    """Writes the lines, and counts those that are left out.

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
        self._good = _Bucket(GOOD_LINES_PER_S)
        self._bad = _Bucket(BAD_LINES_PER_S)
        self._waiting: collections.deque[_Line] = collections.deque()
        self._writes = False

    def end(
        self,
        request_id: str,
        trail: Trail,
        good: bool,
        event: str = 'request ended',
        **facts: object,
    ) -> None:
        """Write a request's end, and its decisions if it went badly.

        ``event`` is what has ended: the request, or an order for it.
        """
        lines = [] if good else trail.decisions
        bucket = self._good if good else self._bad
        if not bucket.take(1 + len(lines), self._clock.now_ms()):
            self._metrics.add('request_lines_left_out', 1 + len(lines))
            return
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        began_wall_ms = wall_ms - (now_ms - trail.started_ms)
        self._waiting += [
            _Line(
                began_wall_ms + row.at_ms,
                row.event,
                {'request': request_id, 'at_ms': row.at_ms, **row.facts},
            )
            for row in lines
        ]
        took_ms = round(now_ms - trail.started_ms, 1)
        said = {'request': request_id, 'took_ms': took_ms, **facts}
        self._waiting.append(_Line(wall_ms, event, said))
        self._write_later()

    def _write_later(self) -> None:
        """Keep one timer, and only while lines wait."""
        if self._waiting and not self._writes:
            self._writes = True
            self._clock.after(_WRITE_EVERY_MS, self._write_some)

    def _write_some(self) -> None:
        self._writes = False
        self.write(_LINES_A_TURN)
        self._write_later()

    def write(self, count: int | None = None) -> None:
        """Write lines that wait, ``count`` at most; None for all."""
        left = len(self._waiting) if count is None else count
        while self._waiting and left:
            line = self._waiting.popleft()
            # When it happened, not when there was time to write it.
            _log.info(
                line.event, time=logs.time_text(line.at_ms), **line.facts
            )
            left -= 1
