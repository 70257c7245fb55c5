"""Manual clocks, and simulated hosts that freeze and die."""

import asyncio
import math
import random
import typing

from samphiredock import timers

_SETTLE_TURNS = 25


class SteppedTimers(timers.ManualTimers):
    """Manual timers that let tasks settle after each timer."""

    async def settle(self) -> None:
        """Let every task run until it waits."""
        for _ in range(_SETTLE_TURNS):
            await asyncio.sleep(0)

    async def pass_ms(
        self,
        delta_ms: float,
        is_enough: typing.Callable[[], bool] = lambda: False,
    ) -> None:
        """Advance the clock from one due timer to the next.

        Stops early once ``is_enough`` returns True.
        """
        end_ms = self.now_ms() + delta_ms
        await self.settle()
        while self._heap and self._heap[0][0] <= end_ms:
            if is_enough():
                return
            is_live = self._heap[0][2].callback is not None
            self.advance(max(0.0, self._heap[0][0] - self.now_ms()))
            if is_live:
                await self.settle()
        if not is_enough():
            self.advance(end_ms - self.now_ms())


class _HostTimer:
    def __init__(self, callback: typing.Callable[[], None]) -> None:
        self._callback: typing.Callable[[], None] | None = callback

    def fire(self) -> None:
        if self._callback is not None:
            self._callback()

    def cancel(self) -> None:
        self._callback = None


class MemoryHost:
    """A simulated machine; ``frozen`` and ``dead`` are switches.

    Callbacks due while it is frozen are held until it wakes, like the timers
    and sockets of a suspended process.  A dead host drops them.
    """

    def __init__(self, base: timers.Timers) -> None:
        self._base = base
        self.frozen = False
        self.dead = False
        self._held: list[typing.Callable[[], None]] = []
        self._gap_callbacks: list[typing.Callable[[float], None]] = []
        self._last_tick_ms = base.now_ms()
        self._resumed_ms = -math.inf
        self.now_ms = base.now_ms
        self.wall_ms = base.wall_ms

    def after(
        self, delay_ms: float, callback: typing.Callable[[], None]
    ) -> timers.TimerHandle:
        """Call back once after a delay, if the host runs."""
        timer = _HostTimer(callback)
        self._base.after(delay_ms, lambda: self.run(timer.fire))
        return timer

    def every(
        self, period_ms: float, callback: typing.Callable[[], None]
    ) -> timers.TimerHandle:
        """Call back at each period, if the host runs."""
        return timers._Repeating(self, period_ms, callback)

    def on_gap(self, callback: typing.Callable[[float], None]) -> None:
        """Register a callback for the length in ms of each freeze."""
        if not self._gap_callbacks:
            self._last_tick_ms = self.now_ms()
            self.every(timers.TICK_MS, self._check_gap)
        self._gap_callbacks.append(callback)

    def frozen_for_ms(self) -> float:
        """Return by how many ms the next tick is overdue."""
        if not self._gap_callbacks:
            return 0.0
        since_ms = self.now_ms() - self._last_tick_ms
        return max(0.0, since_ms - timers.TICK_MS)

    def has_just_resumed(self) -> bool:
        """Return whether a freeze ended a moment ago."""
        return self.now_ms() - self._resumed_ms < timers.PAUSE_MS

    def run(self, callback: typing.Callable[[], None]) -> None:
        """Call back now, or when a frozen host wakes; never if dead."""
        if self.frozen:
            self._held.append(callback)
        elif not self.dead:
            callback()

    async def wait_until_running(self) -> None:
        """Wait until the host runs; forever if it is dead."""
        if self.frozen or self.dead:
            future = asyncio.get_running_loop().create_future()
            self.run(lambda: future.done() or future.set_result(None))
            await future

    def wake(self, randomness: random.Random | None = None) -> None:
        """Resume, and run the held callbacks in order or shuffled."""
        self.frozen = False
        self._resumed_ms = self.now_ms()
        held, self._held = self._held, []
        if randomness is not None:
            randomness.shuffle(held)
        for callback in held:
            self.run(callback)

    def _check_gap(self) -> None:
        gap_ms = self.frozen_for_ms()
        self._last_tick_ms = self.now_ms()
        if gap_ms > timers.GAP_MS:
            for callback in self._gap_callbacks:
                callback(gap_ms)
