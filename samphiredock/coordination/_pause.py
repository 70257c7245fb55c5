"""Sleep by the injected clock instead of the event loop's."""

import asyncio

from samphiredock import timers


async def pause(clock: timers.Timers, delay_ms: float) -> None:
    """Sleep for ``delay_ms`` by ``clock``, which tests advance by hand."""
    waiting = asyncio.get_running_loop().create_future()

    def wake() -> None:
        if not waiting.done():
            waiting.set_result(None)

    timer = clock.after(delay_ms, wake)
    try:
        await waiting
    finally:
        timer.cancel()
