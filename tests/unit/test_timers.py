"""Tests of the timers of the running event loop."""

import asyncio
import unittest

from samphiredock import timers


class LoopTimersTest(unittest.IsolatedAsyncioTestCase):
    """The timers of a daemon when it stops."""

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
