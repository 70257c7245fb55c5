"""Tests of the timers of the running event loop."""

import asyncio
import time
import unittest

from samphiredock import timers


class LoopTimersTest(unittest.IsolatedAsyncioTestCase):
    """The timers of a daemon when it stops."""

    async def test_pause_of_the_process_is_noticed(self) -> None:
        """What was not read meanwhile is older than it seems."""
        clock = timers.LoopTimers()
        self.addCleanup(clock.close)
        self.assertFalse(clock.has_just_resumed())
        clock._last_tick_ms -= timers.PAUSE_MS + timers.TICK_MS + 1.0
        self.assertTrue(clock.has_just_resumed())
        clock._check_gap()
        self.assertTrue(clock.has_just_resumed())
        clock._resumed_ms -= timers.PAUSE_MS
        self.assertFalse(clock.has_just_resumed())

    async def test_clock_counts_the_time_of_a_suspension(self) -> None:
        """A lease must not last longer because the machine slept."""
        now_ms = timers.LoopTimers().now_ms()
        boot_ms = time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0
        self.assertLess(abs(boot_ms - now_ms), 60_000.0)

    async def test_no_callback_after_close(self) -> None:
        """A task that a callback starts would be destroyed with the loop."""
        clock = timers.LoopTimers()
        called: list[str] = []
        clock.after(0.0, lambda: called.append('before'))
        await asyncio.sleep(0.0)
        await asyncio.sleep(0.0)
        clock.after(0.0, lambda: called.append('after'))
        clock.close()
        for _ in range(3):
            await asyncio.sleep(0.0)
        self.assertEqual(['before'], called)
