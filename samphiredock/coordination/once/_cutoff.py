"""The moment after which a daemon that stops awaits nothing more."""

import asyncio
import math

from samphiredock.coordination.once import _claim_bucket
from samphiredock import timers


class Cutoff:
    """Waits that end early when the daemon's time is up.

    A request waits for the store, other holders and dispatchers, each until
    its deadline.  A daemon that was stopped may not live so long: its
    requests then take the ways that they take at the deadline, which tell
    "not run" only where nothing was sent and send nothing afterwards.
    """

    def __init__(self, clock: timers.Timers) -> None:
        self._clock = clock
        self._at_ms = math.inf
        self._waiting: set[asyncio.Future] = set()

    def trigger(self) -> None:
        """End every wait, those to come too."""
        self._at_ms = min(self._at_ms, self._clock.now_ms())
        for waker in list(self._waiting):
            if not waker.done():
                waker.set_result(None)

    def has_passed(self) -> bool:
        """Whether the daemon's time is up."""
        return self._at_ms < math.inf

    def bound(self, until_ms: float) -> float:
        """Return until when to wait for something."""
        return min(until_ms, self._at_ms)

    async def wait_until(self, future: asyncio.Future, at_ms: float) -> bool:
        """Wait for a future until a time; return whether it is done."""
        if future.done() or self.has_passed():
            return future.done()
        waker = asyncio.get_running_loop().create_future()
        self._waiting.add(waker)

        def wake(_: asyncio.Future) -> None:
            if not waker.done():
                waker.set_result(None)

        future.add_done_callback(wake)
        try:
            await _claim_bucket.wait_until(self._clock, waker, at_ms)
        finally:
            self._waiting.discard(waker)
            future.remove_done_callback(wake)
        return future.done()
