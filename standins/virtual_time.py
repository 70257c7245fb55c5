"""Time that passes while nothing can be done, for parts with real sockets.

Deadlines of some ms are missed on a busy machine, and what a test judges
would depend on it.  Here work takes a fixed time however long the machine
needs for it, so that only waiting for a socket or a timer lets time pass.
"""

import asyncio
import selectors
import typing
from unittest import mock

_TURN_S = 0.00005
"""What a turn of the loop takes, so that work without end ends."""

_WAIT_S = 0.001
"""The longest wait at once.  It is a real one: what is on its way between two
sockets of this process then arrives in the time that it takes."""


class _Selector(selectors.DefaultSelector):
    """Waits for sockets, and counts the time."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1_000.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for a moment at most; only a wait in vain counts whole."""
        wait_s = _WAIT_S if timeout is None else min(timeout, _WAIT_S)
        found = super().select(max(0.0, wait_s))
        self.now_s += _TURN_S if found else max(wait_s, _TURN_S)
        return found


def run(main: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
    """Run to the end, with a monotonic clock that is counted."""
    selector = _Selector()
    # The clock of the loop is the monotonic one too.
    with mock.patch('time.monotonic', lambda: selector.now_s):
        with asyncio.Runner(
            loop_factory=lambda: asyncio.SelectorEventLoop(selector)
        ) as runner:
            runner.run(main)
