"""Ends the waits of a daemon that is being stopped."""

import asyncio
import math

from samphiredock.coordination.once import _claim_bucket
from samphiredock import timers


class Cutoff:
    """A time limit on the waits of all requests, set when the daemon stops.

    A request waits for the store, other holders and dispatchers, each until
    its deadline.  A daemon that is being stopped may not live that long, so
    the cutoff ends these waits early.  Its requests then end as at their
    deadline: "not run" is answered only if nothing was sent, and nothing is
    sent afterwards.
    """

    def __init__(self, clock: timers.Timers) -> None:
        self._clock = clock
        self._at_ms = math.inf
        self._waiting: set[asyncio.Future] = set()

    def trigger(self) -> None:
        """End every wait, including those that start later."""
        self._at_ms = min(self._at_ms, self._clock.now_ms())
        for waker in list(self._waiting):
            if not waker.done():
                waker.set_result(None)

    def has_passed(self) -> bool:
        """Return whether the cutoff was triggered."""
        return self._at_ms < math.inf

    def bound(self, until_ms: float) -> float:
        """Return the earlier of a time and the cutoff."""
        return min(until_ms, self._at_ms)

    async def wait_until(self, future: asyncio.Future, at_ms: float) -> bool:
        """Wait for a future until ``at_ms`` or the cutoff.

        Returns whether the future is done.
        """
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
