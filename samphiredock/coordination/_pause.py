"""Waiting in a task by the timer service."""

import asyncio

from samphiredock import timers


async def pause(clock: timers.Timers, delay_ms: float) -> None:
    """Wait ``delay_ms`` by ``clock``, so that tests move the time."""
    waiting = asyncio.get_running_loop().create_future()

    def wake() -> None:
        if not waiting.done():
            waiting.set_result(None)

    timer = clock.after(delay_ms, wake)
    try:
        await waiting
    finally:
        timer.cancel()
