"""Closes servers at the end of a shutdown, answering all requests first."""

import asyncio
from collections import abc
import math
import typing

from samphiredock.coordination import background
from samphiredock import transport

_POLL_MS = 20.0
"""Interval of checks whether the shutdown limit has passed; a second signal
may bring it forward."""

_LAST_REPLIES_MS = 300.0
"""Time to write the last replies to callers that read slowly; part of the
``_EXIT_RESERVE_MS`` of the entry daemon."""


async def close_servers(
    servers: abc.Sequence[transport.EntryServer],
    left_ms: typing.Callable[[], float],
    finish_all: typing.Callable[[], None],
) -> int:
    """Close servers, aborting only connections whose reply cannot be written.

    All servers close at the same time, since one that closed later would go
    on accepting requests with less and less time left.  When the time is up,
    every pending request is answered with the outcome known then, because a
    closed connection would tell its caller nothing.

    Parameters
    ----------
    servers
        The servers to close; none is usable afterwards.
    left_ms
        Returns the time left for pending requests.
    finish_all
        Gives every pending request its outcome, to be written in the next
        iteration of the event loop.

    Returns
    -------
    int
        How many connections were aborted after the last replies.
    """
    close_tasks = [
        background.start(server.close(math.inf), 'close a server')
        for server in servers
    ]
    while left_ms() > 0.0:
        if await _wait_closed(close_tasks, _POLL_MS):
            return 0
    finish_all()
    await _wait_closed(close_tasks, _LAST_REPLIES_MS)
    aborted = sum(server.abort() for server in servers)
    await asyncio.wait(close_tasks)
    return aborted


async def _wait_closed(
    close_tasks: list[asyncio.Task[None]], timeout_ms: float
) -> bool:
    """Wait for all servers to close; return whether all did without error."""
    done, pending = await asyncio.wait(
        close_tasks, timeout=timeout_ms / 1000.0
    )
    return not pending and not any(task.exception() for task in done)
