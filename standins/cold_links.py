"""Targets with slots, and links that begin without open connections.

A model of the first second after a daemon's start: no connection is open,
each new one occupies a slot of its target for some ms, and the number of
connections is limited.  The test advances the time.
"""

import asyncio
import collections
import dataclasses
import math
import random
import typing

from returns import result

from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport
from standins import memory_links

_RECORD = b'0123456789abcdef'
_UNWANTED = transport.LinkError(
    transport.LinkErrorKind.NO_CONNECTION, 'not wanted any more'
)


class SlotTargets:
    """Targets that each have ``slots`` slots, taken in order of arrival.

    Parameters
    ----------
    clock
        The clock, advanced by the test.
    rng
        Seeded source of service times.
    slots
        Number of connects and requests that a target handles at once.
    handshake_ms
        How long a new connection occupies a slot.
    work_ms
        Mean service time of a request.
    """

    def __init__(
        self,
        clock: timers.ManualTimers,
        rng: random.Random,
        slots: int = 2,
        handshake_ms: float = 6.0,
        work_ms: float = 11.0,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._slots = slots
        self._handshake_ms = handshake_ms
        self._work_ms = work_ms
        self._busy: collections.Counter[str] = collections.Counter()
        self._queues: dict[str, collections.deque[asyncio.Future]] = (
            collections.defaultdict(collections.deque)
        )
        self.handshakes = 0
        self.requests = 0

    async def accept_connection(self, target: str) -> None:
        """Accept a new connection."""
        self.handshakes += 1
        await self._hold(target, self._handshake_ms)

    async def work(self, target: str) -> None:
        """Run a request, to its end even if the exchange is cancelled."""
        self.requests += 1
        work_ms = self._work_ms * self._rng.uniform(0.6, 1.4)
        await asyncio.shield(self._hold(target, work_ms))

    async def _hold(self, target: str, span_ms: float) -> None:
        """Wait for a slot of a target and occupy it for a time."""
        if self._busy[target] >= self._slots:
            waiter = asyncio.get_running_loop().create_future()
            self._queues[target].append(waiter)
            await waiter
        self._busy[target] += 1
        finished = asyncio.get_running_loop().create_future()
        self._clock.after(span_ms, lambda: finished.set_result(None))
        await finished
        self._busy[target] -= 1
        while self._queues[target]:
            waiter = self._queues[target].popleft()
            if not waiter.done():
                waiter.set_result(None)
                return


@dataclasses.dataclass
class _Pool:
    idle: int = 0
    open: int = 0
    waiting: collections.deque[asyncio.Future] = dataclasses.field(
        default_factory=collections.deque
    )

    def wake(self) -> None:
        """Wake the next exchange that waits for a connection."""
        while self.waiting:
            waiter = self.waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return


class ColdLinks(memory_links.ManualLinks):
    """One daemon's links, with at most ``limit`` connections per target."""

    def __init__(self, targets: SlotTargets, limit: int = 2) -> None:
        super().__init__()
        self._targets = targets
        self._limit = limit
        self._pools: dict[str, _Pool] = collections.defaultdict(_Pool)

    def has_room(self, target: state.LiveTarget) -> bool:
        """Return whether an exchange would get a connection at once."""
        pool = self._pools[target.target_id]
        return bool(pool.idle) or pool.open < self._limit

    async def exchange(
        self,
        target: state.LiveTarget,
        request: protocol.HttpRequest,
        timeout_ms: float,
        is_reply: typing.Callable[[protocol.HttpReply], bool],
        max_idle_ms: float = math.inf,
        is_wanted: typing.Callable[[], bool] = lambda: True,
        on_chunk: typing.Callable[[bytes], None] | None = None,
        on_send: typing.Callable[[], None] = lambda: None,
    ) -> memory_links.Reply:
        """Get a connection and run a request; cancelling closes it."""
        name = target.target_id
        pool = self._pools[name]
        await self._connect(pool, name)
        if not is_wanted():
            self._release(pool, True)
            return result.Failure(_UNWANTED)
        reusable = False
        try:
            await self._targets.work(name)
            reusable = True
        finally:
            self._release(pool, reusable)
        headers = (('Receipt', f'receipt-{name}'),)
        return result.Success(protocol.HttpReply(200, headers, _RECORD))

    async def _connect(self, pool: _Pool, name: str) -> None:
        while not pool.idle and pool.open >= self._limit:
            waiter = asyncio.get_running_loop().create_future()
            pool.waiting.append(waiter)
            await waiter
        if pool.idle:
            pool.idle -= 1
            return
        pool.open += 1
        try:
            await self._targets.accept_connection(name)
        except asyncio.CancelledError:
            pool.open -= 1
            pool.wake()
            raise

    def _release(self, pool: _Pool, reusable: bool) -> None:
        if reusable:
            pool.idle += 1
        else:
            pool.open -= 1
        pool.wake()
