"""The decisions for one target: its queue, its slots, its batches.

A pure object: work and ends of exchanges go in, effects come out.
"""

import collections
import dataclasses
import itertools

from samphiredock import protocol
from samphiredock import state


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """One sub-query or unrepeatable request that waits for a slot."""

    origin: str
    query_id: str
    attempt_id: str
    expires_at_ms: float
    request: protocol.SubQueryBatch | protocol.RunOrder
    item: protocol.SubQuery | None


@dataclasses.dataclass(frozen=True, slots=True)
class StartExchange:
    """Send these to the target; they take one slot until they end."""

    ticket: int
    works: tuple[Work, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Tell the origin that this was never sent."""

    work: Work
    status: protocol.SubStatus
    detail: str
    retry_after_ms: int = 0


Effect = StartExchange | Refuse


class Lane:
    """The queue and slots of one target that this daemon dispatches for."""

    def __init__(self, target: state.Target, limits: state.Limits) -> None:
        self._target = target
        self._limits = limits
        self._queue: collections.deque[Work] = collections.deque()
        self._tickets = itertools.count(1)
        self._busy: dict[int, tuple[Work, ...]] = {}

    def submit(self, work: Work, now_ms: float) -> list[Effect]:
        """Queue work and start what there are slots for."""
        if len(self._queue) >= self._limits.queue_per_target:
            return [
                Refuse(
                    work,
                    protocol.SubStatus.SHED,
                    f'{self._target.name}: queue is full',
                    100,
                )
            ]
        self._queue.append(work)
        return self.pump(now_ms)

    def ended(self, ticket: int, now_ms: float) -> list[Effect]:
        """An exchange ended, its slot is free."""
        self._busy.pop(ticket, None)
        return self.pump(now_ms)

    def cancel(self, attempt_id: str) -> bool:
        """Drop queued work; False if it is not in the queue."""
        for work in self._queue:
            if work.attempt_id == attempt_id:
                self._queue.remove(work)
                return True
        return False

    def pump(self, now_ms: float) -> list[Effect]:
        """Start exchanges while slots are free."""
        effects: list[Effect] = []
        while self._queue and len(self._busy) < self._target.slots:
            works = self._next_works(now_ms, effects)
            if not works:
                break
            ticket = next(self._tickets)
            self._busy[ticket] = works
            effects.append(StartExchange(ticket, works))
        return effects

    def _next_works(
        self, now_ms: float, effects: list[Effect]
    ) -> tuple[Work, ...]:
        """Take the next batch: one run alone, or sub-queries together."""
        works: list[Work] = []
        while self._queue and len(works) < self._limits.batch_items:
            work = self._queue[0]
            if work.expires_at_ms <= now_ms:
                self._queue.popleft()
                effects.append(
                    Refuse(work, protocol.SubStatus.EXPIRED, 'too late')
                )
                continue
            alone = work.item is None
            if alone and works:
                break
            works.append(self._queue.popleft())
            if alone:
                break
        return tuple(works)
