"""The connections to one target, and how long they may be idle."""

import asyncio
import collections
import dataclasses
import math

from samphiredock.transport import _http_connection

_LEARNED_LIMIT_FRACTION = 0.8
"""Learned idle limit, as a fraction of the idle time after which a connection
was found dropped."""

_LEARNED_LIMIT_TTL_MS = 10_000.0
"""How long a learned idle limit holds; a target may be replaced by one with
another limit."""


@dataclasses.dataclass(slots=True)
class IdleConnection:
    """A connection without a running exchange: pooled, or about to be used.

    ``idle_since_ms`` is when it was opened or last used; it is not reused
    from ``expires_ms`` on, since the target may be closing it.
    ``was_pooled`` is False for a connection that was just opened for an
    exchange and has never been in the pool.
    """

    connection: _http_connection.HttpConnection
    idle_since_ms: float
    expires_ms: float
    was_pooled: bool = False


class TargetPool:
    """The connections to one target.

    Some targets drop idle connections without closing them.
    ``learned_limit_ms`` is an idle time shorter than the one after which a
    connection was found dropped; it applies until ``learned_until_ms``.
    """

    def __init__(self) -> None:
        self.idle: list[IdleConnection] = []
        self.open_count = 0
        self.learned_limit_ms = math.inf
        self.learned_until_ms = 0.0
        self.waiters: collections.deque[asyncio.Future] = collections.deque()

    def wake(self) -> None:
        """Wake the exchange at the head of the queue."""
        while self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def learn_idle_limit(self, idle_ms: float, now_ms: float) -> None:
        """Lower the idle limit: one idle for this long was found dropped."""
        known_ms = self.idle_limit_ms(now_ms)
        self.learned_limit_ms = min(
            known_ms, idle_ms * _LEARNED_LIMIT_FRACTION
        )
        self.learned_until_ms = now_ms + _LEARNED_LIMIT_TTL_MS

    def idle_limit_ms(self, now_ms: float) -> float:
        """Return how long a connection may be idle and still be reused."""
        return (
            self.learned_limit_ms
            if now_ms < self.learned_until_ms
            else math.inf
        )
