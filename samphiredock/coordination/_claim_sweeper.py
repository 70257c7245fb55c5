"""Deletes the buckets of claims whose keys are no longer accepted."""

import asyncio
import typing

from returns import result
import xxhash

from samphiredock.coordination import _run_admission
from samphiredock import metrics
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

KEEP_MARGIN_MS = 3_600_000
"""Much more than clocks differ and than the longest deadline."""

KEEP_MS = _run_admission.RETENTION_LIMIT_MS + KEEP_MARGIN_MS
SWEEP_PERIOD_MS = 5_000.0
BACKLOG_MS = 24 * 3_600_000
"""How far back a daemon that has just started looks for old buckets."""


class ClaimSweeper:
    """Deletes one old time slice after another.

    The live daemons share the slices by rendezvous hashing; two that
    disagree on who lives do the same work twice, which is harmless.

    Parameters
    ----------
    members
        Names of the live daemons, this one included.
    """

    def __init__(
        self,
        name: str,
        members: typing.Callable[[], typing.Iterable[str]],
        platform: transport.Platform,
        clock: timers.Timers,
        counters: metrics.Metrics,
    ) -> None:
        self._name = name
        self._members = members
        self._platform = platform
        self._clock = clock
        self._metrics = counters
        newest = self._newest()
        self._next = newest
        self._older = newest - 1
        self._oldest = newest - BACKLOG_MS // state.SLICE_MS
        self._task: asyncio.Task | None = None
        self._timer: timers.Subscription | None = None

    def start(self) -> None:
        """Sweep from now on."""
        self._timer = self._clock.every(SWEEP_PERIOD_MS, self._on_tick)

    def close(self) -> None:
        """Stop."""
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    async def sweep(self) -> None:
        """Delete the slices that are due and one of the backlog."""
        while self._next <= self._newest():
            if self._is_mine(self._next) and not await self._delete(
                self._next
            ):
                return
            self._next += 1
        while self._older >= self._oldest:
            number = self._older
            if self._is_mine(number):
                if await self._delete(number):
                    self._older -= 1
                return
            self._older -= 1

    def _newest(self) -> int:
        """Return the newest slice whose every key is old enough."""
        return (self._clock.wall_ms() - KEEP_MS) // state.SLICE_MS - 1

    def _is_mine(self, number: int) -> bool:
        best = max(
            {self._name, *self._members()},
            key=lambda name: _weight(number, name),
        )
        return best == self._name

    async def _delete(self, number: int) -> bool:
        """Delete a slice's buckets; False if the store cannot be read."""
        found = await self._platform.scan(state.slice_prefix(number))
        if isinstance(found, result.Failure):
            return False
        for stored in found.unwrap():
            deleted = await self._platform.delete(stored.key, stored.version)
            if isinstance(deleted, result.Failure):
                return False
            self._metrics.add('claim_buckets_deleted')
        return True

    def _on_tick(self) -> None:
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self.sweep())


def _weight(number: int, name: str) -> int:
    return xxhash.xxh64_intdigest(f'{number}/{name}'.encode())
