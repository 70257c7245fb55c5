"""An event loop with virtual time for tests with real sockets.

On a busy machine, deadlines of a few ms would be missed at random.  Here a
turn of the loop takes a fixed virtual time, and otherwise time passes only
while the loop waits for a socket or a timer.
"""

import asyncio
import selectors
import typing
from unittest import mock

_TURN_S = 0.00005
"""Virtual time of a turn, so that a busy loop reaches its deadlines."""

_WAIT_S = 0.001
"""Longest single wait.  The loop waits in real time, so that data in flight
between sockets of this process can arrive."""


class _Selector(selectors.DefaultSelector):
    """A selector that counts the virtual time of its waits."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1_000.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait briefly; count the full wait only if nothing was ready."""
        wait_s = _WAIT_S if timeout is None else min(timeout, _WAIT_S)
        found = super().select(max(0.0, wait_s))
        self.now_s += _TURN_S if found else max(wait_s, _TURN_S)
        return found


def run(main: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
    """Run a coroutine to its end in virtual time."""
    selector = _Selector()
    # The event loop reads time.monotonic() too.
    with mock.patch('time.monotonic', lambda: selector.now_s):
        with asyncio.Runner(
            loop_factory=lambda: asyncio.SelectorEventLoop(selector)
        ) as runner:
            runner.run(main)
