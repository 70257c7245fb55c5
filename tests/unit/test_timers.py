"""The timers of the running event loop."""

import asyncio
import unittest

from samphiredock import timers


class LoopTimersTest(unittest.IsolatedAsyncioTestCase):
    """Timers of a daemon, until its end."""

    async def test_nobody_is_called_back_after_the_end(self) -> None:
        """A task begun then is destroyed with the loop, and told as lost.

        Parts arm timers for seconds; the daemon has stopped meanwhile.
        """
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
