"""The end of a stop: all doors close, and what was read is answered."""

import asyncio
from collections import abc
import math
import typing

from samphiredock.coordination import background
from samphiredock import transport

_POLL_MS = 20.0
"""How often it is seen whether the stop's time is over."""

_LAST_REPLIES_MS = 300.0
"""How long the last answers may take to leave, for callers that read slowly;
less than is kept before the kill."""


async def close_servers(
    servers: abc.Sequence[transport.EntryServer],
    left_ms: typing.Callable[[], float],
    finish_all: typing.Callable[[], None],
) -> int:
    """Close servers without cutting a request that can be answered.

    All at a time: a door that waited for its turn would still take requests,
    with less time for each.  A connection that is closed before its request
    is answered tells the caller nothing, so that at the end of the time
    every request gets the outcome that is true then, and its answer is out
    before anything is cut.

    Parameters
    ----------
    servers
        The doors; none is usable afterwards.
    left_ms
        What is left for requests that are under way; a later signal may
        shorten it.
    finish_all
        Has every request that is under way answered in its next turn.

    Returns
    -------
    int
        How many connections were cut: not even a final answer ended them.
    """
    close_tasks = [
        background.start(server.close(math.inf), 'close a door')
        for server in servers
    ]
    while left_ms() > 0.0:
        if await _are_closed(close_tasks, _POLL_MS):
            return 0
    finish_all()
    await _are_closed(close_tasks, _LAST_REPLIES_MS)
    cut = sum(server.abort() for server in servers)
    await asyncio.wait(close_tasks)
    return cut


async def _are_closed(
    close_tasks: list[asyncio.Task[None]], timeout_ms: float
) -> bool:
    """Wait until all doors are closed; false if one is not, or has failed."""
    done, pending = await asyncio.wait(
        close_tasks, timeout=timeout_ms / 1000.0
    )
    return not pending and not any(task.exception() for task in done)
