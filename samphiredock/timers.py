"""Clocks and timers, passed as one service to all code that depends on time.

Daemons use :class:`LoopTimers`; tests of such code use :class:`ManualTimers`
and advance the time themselves, so that they do not depend on a real clock.
"""

import asyncio
import heapq
import itertools
import math
import time
import typing

GAP_MS = 1_500.0
"""A tick later than this means that the process was frozen; the length of the
freeze is called the gap."""

TICK_MS = 100.0
"""Interval of the ticks that detect a freeze."""

PAUSE_MS = 500.0
"""A tick later than this means that input may have waited unread meanwhile."""

_CLOCK = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)
"""Counts the time for which the machine was suspended, which the clock of the
event loop may leave out: a lease that lapsed meanwhile would look valid."""


class TimerHandle(typing.Protocol):
    """A timer that can be cancelled."""

    def cancel(self) -> None:
        """Cancel the timer; cancelling it again has no effect."""


class Timers(typing.Protocol):
    """Clocks and timers."""

    def now_ms(self) -> float:
        """Return monotonic milliseconds."""

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch."""

    def after(
        self, delay_ms: float, callback: typing.Callable[[], None]
    ) -> TimerHandle:
        """Call back once, ``delay_ms`` from now."""

    def every(
        self, period_ms: float, callback: typing.Callable[[], None]
    ) -> TimerHandle:
        """Call back at each period until cancelled."""

    def on_gap(self, callback: typing.Callable[[float], None]) -> None:
        """Call back after a freeze of the process, with its length in ms."""

    def frozen_for_ms(self) -> float:
        """Return the length in ms of a freeze not reported yet, 0 if none."""

    def has_just_resumed(self) -> bool:
        """Return whether the process was paused until a moment ago.

        What it reads now may have waited unread for the length of the pause.
        """


class _Repeating:
    """A repeating timer, made of one-shot timers."""

    def __init__(
        self,
        timers: Timers,
        period_ms: float,
        callback: typing.Callable[[], None],
    ) -> None:
        self._timers = timers
        self._period_ms = period_ms
        self._callback = callback
        self._stopped = False
        self._handle = timers.after(period_ms, self._fire)

    def _fire(self) -> None:
        if self._stopped:
            return
        self._handle = self._timers.after(self._period_ms, self._fire)
        self._callback()

    def cancel(self) -> None:
        """Stop repeating."""
        self._stopped = True
        self._handle.cancel()


class LoopTimers:
    """Timers of the running event loop."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._gap_callbacks: list[typing.Callable[[float], None]] = []
        self._closed = False
        self._last_tick_ms = self.now_ms()
        self._resumed_ms = -math.inf
        self._tick = _Repeating(self, TICK_MS, self._check_gap)

    def now_ms(self) -> float:
        """Return monotonic milliseconds."""
        return time.clock_gettime(_CLOCK) * 1000.0

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch."""
        return int(time.time() * 1000)

    def after(
        self, delay_ms: float, callback: typing.Callable[[], None]
    ) -> TimerHandle:
        """Call back once, ``delay_ms`` from now."""
        delay_s = max(0.0, delay_ms) / 1000.0
        return self._loop.call_later(delay_s, self._fire, callback)

    def _fire(self, callback: typing.Callable[[], None]) -> None:
        if not self._closed:
            callback()

    def every(
        self, period_ms: float, callback: typing.Callable[[], None]
    ) -> TimerHandle:
        """Call back at each period until cancelled."""
        return _Repeating(self, period_ms, callback)

    def on_gap(self, callback: typing.Callable[[float], None]) -> None:
        """Call back after a freeze of the process, with its length in ms."""
        self._gap_callbacks.append(callback)

    def frozen_for_ms(self) -> float:
        """Return by how many ms the next tick is overdue, 0 if it is not.

        After a freeze other callbacks may run before the tick.  Code that
        must not act on values from before a freeze checks this first.
        """
        return max(0.0, self.now_ms() - self._last_tick_ms - TICK_MS)

    def has_just_resumed(self) -> bool:
        """Return whether the process was paused until a moment ago."""
        resumed_for_ms = self.now_ms() - self._resumed_ms
        return self.frozen_for_ms() > PAUSE_MS or resumed_for_ms < PAUSE_MS

    def _check_gap(self) -> None:
        now_ms = self.now_ms()
        gap_ms = now_ms - self._last_tick_ms - TICK_MS
        self._last_tick_ms = now_ms
        if gap_ms > PAUSE_MS:
            self._resumed_ms = now_ms
        if gap_ms > GAP_MS:
            for callback in self._gap_callbacks:
                callback(gap_ms)

    def close(self) -> None:
        """Call no callback any more.

        A callback could start a task that is destroyed with the loop.
        """
        self._closed = True
        self._tick.cancel()


class _ManualTimer:
    def __init__(self, callback: typing.Callable[[], None]) -> None:
        self.callback: typing.Callable[[], None] | None = callback

    def cancel(self) -> None:
        self.callback = None


class ManualTimers:
    """Timers whose clock is moved by a test with :meth:`advance`."""

    def __init__(self, start_ms: float = 1_000.0) -> None:
        self._now_ms = start_ms
        self._wall_offset_ms = 1_700_000_000_000
        self._order = itertools.count()
        self._heap: list[tuple[float, int, _ManualTimer]] = []
        self._gap_callbacks: list[typing.Callable[[float], None]] = []
        self.unseen_gap_ms = 0.0
        self._resumed_ms = -math.inf

    def has_just_resumed(self) -> bool:
        """Return whether :meth:`freeze` ended a moment ago."""
        resumed_for_ms = self._now_ms - self._resumed_ms
        return self.unseen_gap_ms > PAUSE_MS or resumed_for_ms < PAUSE_MS

    def frozen_for_ms(self) -> float:
        """Return the length of an unreported freeze, as set by the test."""
        return self.unseen_gap_ms

    def now_ms(self) -> float:
        """Return the time set by the test."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return a wall clock that moves with the manual one."""
        return int(self._wall_offset_ms + self._now_ms)

    def after(
        self, delay_ms: float, callback: typing.Callable[[], None]
    ) -> TimerHandle:
        """Call back once when :meth:`advance` passes the delay."""
        timer = _ManualTimer(callback)
        due_ms = self._now_ms + max(0.0, delay_ms)
        heapq.heappush(self._heap, (due_ms, next(self._order), timer))
        return timer

    def every(
        self, period_ms: float, callback: typing.Callable[[], None]
    ) -> TimerHandle:
        """Call back at each period until cancelled."""
        return _Repeating(self, period_ms, callback)

    def on_gap(self, callback: typing.Callable[[float], None]) -> None:
        """Call back from :meth:`freeze`."""
        self._gap_callbacks.append(callback)

    def advance(self, delta_ms: float) -> None:
        """Advance the clock, firing the timers that become due, in order."""
        end_ms = self._now_ms + delta_ms
        while self._heap and self._heap[0][0] <= end_ms:
            due_ms, _, timer = heapq.heappop(self._heap)
            self._now_ms = max(self._now_ms, due_ms)
            if timer.callback is not None:
                timer.callback()
        self._now_ms = end_ms

    def freeze(self, gap_ms: float) -> None:
        """Advance the clock without firing timers, then report a freeze."""
        self._now_ms += gap_ms
        if gap_ms > PAUSE_MS:
            self._resumed_ms = self._now_ms
        for callback in self._gap_callbacks:
            callback(gap_ms)
