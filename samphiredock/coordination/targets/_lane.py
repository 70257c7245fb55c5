"""The decisions for one target: its queue, its slots, its batches.

A pure object: work and ends of exchanges go in, effects come out.
"""

import collections
import dataclasses
import itertools
import math
import typing

from samphiredock.coordination.targets import _lane_types
from samphiredock.coordination.targets import _shares
from samphiredock.coordination.targets import _target_record
from samphiredock import protocol
from samphiredock import state

_DEADLINE_SLACK_MS = 25.0
"""The target's deadline starts when the request arrives, after ours."""

_LEAST_RETRY_MS = 10
_MOST_RETRY_MS = 5_000


@dataclasses.dataclass(slots=True)
class _Exchange:
    works: tuple[_lane_types.Work, ...]
    started_ms: float
    deadline_at_ms: float
    unsettled: set[str]


@dataclasses.dataclass(slots=True)
class _Foreign:
    """Slots that an earlier dispatcher's work may still take."""

    slots: int = 0
    until_ms: float = 0.0
    most_own: int | None = None

    def count(self, now_ms: float) -> int:
        return self.slots if now_ms < self.until_ms else 0


def _never(fingerprint: str) -> bool:
    return False


class Lane:
    """The queue and slots of one target that this daemon dispatches for.

    Parameters
    ----------
    target, limits, shares
        From the configuration in force.
    is_quarantined
        Whether a request content is refused because it crashed targets.
    """

    def __init__(
        self,
        target: state.Target,
        limits: state.Limits,
        shares: _shares.Shares = _shares.NO_SHARES,
        is_quarantined: typing.Callable[[str], bool] = _never,
    ) -> None:
        self._target = target
        self._limits = limits
        self._is_quarantined = is_quarantined
        self._queue = _shares.FairQueue(
            limits.queue_per_target, target.slots, shares
        )
        self._tickets = itertools.count(1)
        self._busy: dict[int, _Exchange] = {}
        self._held: dict[int, float] = {}
        self._foreign = _Foreign()
        self._earliest_ms = math.inf
        self._window_at_ms = 0.0
        self._leaving = False
        self._released = False
        self.record = _target_record.TargetRecord()

    def reconfigure(
        self,
        target: state.Target,
        limits: state.Limits,
        shares: _shares.Shares,
    ) -> None:
        """Apply a new revision; queued work and taken slots stay."""
        queued = self._queue.items()
        self._target = target
        self._limits = limits
        self._queue = _shares.FairQueue(
            limits.queue_per_target, target.slots, shares
        )
        for work in sorted(queued, key=lambda row: row.arrived_ms):
            self._queue.push(work)

    def submit(
        self, work: _lane_types.Work, now_ms: float
    ) -> list[_lane_types.Effect]:
        """Queue work or refuse it; :meth:`pump` starts exchanges."""
        refusal = self._refusal(work, now_ms)
        if refusal is not None:
            return [refusal]
        if work.item is not None and work.item.hedge:
            return self._submit_hedge(work, now_ms)
        effects = self._make_room(work, now_ms) if self._queue.is_full else []
        if effects and effects[-1].work is work:
            return effects
        if not self._queue:
            self._window_at_ms = now_ms + self._limits.batch_window_ms
        self._queue.push(work)
        self._earliest_ms = min(self._earliest_ms, work.expires_at_ms)
        return effects

    def pump(self, now_ms: float) -> list[_lane_types.Effect]:
        """Answer what is too late; start exchanges while slots are free."""
        effects: list[_lane_types.Effect] = []
        if self._earliest_ms <= now_ms:
            effects += self._drop_expired(now_ms)
        while self._queue and now_ms >= self._window_at_ms:
            idle = self.idle_slots(now_ms)
            if idle <= 0:
                break
            works = self._next_works(idle, now_ms, effects)
            if not works:
                break
            effects.append(self._start(works, now_ms))
        return effects

    def ended(
        self, ticket: int, ending: _lane_types.Ending, now_ms: float
    ) -> list[_lane_types.Effect]:
        """An exchange ended; its slot is free unless it was lost."""
        exchange = self._busy.pop(ticket, None)
        if exchange is None:
            return []
        slack_ms = _DEADLINE_SLACK_MS + self._target.connect_ms
        until_ms = exchange.deadline_at_ms + slack_ms
        if ending is _lane_types.Ending.LOST and exchange.unsettled:
            # The caller stopped waiting, the target perhaps did not.
            self._held[ticket] = until_ms
        busy_ms = now_ms - exchange.started_ms
        part_ms = busy_ms / max(1, len(exchange.works))
        flows = collections.Counter([work.flow for work in exchange.works])
        for flow, count in flows.items():
            self._queue.charge(flow, part_ms * count, now_ms)
        if ending is _lane_types.Ending.ANSWERED:
            self.record.on_answer(len(exchange.works), busy_ms, now_ms)
        return self.pump(now_ms)

    def cancel(self, attempt_id: str) -> _lane_types.Work | None:
        """Drop queued work and return it; None if it is not queued."""
        for work in self._queue.items():
            if work.attempt_id == attempt_id:
                self._queue.remove(work)
                return work
        return None

    def settled(self, ticket: int, attempt_ids: typing.Iterable[str]) -> None:
        """The target confirmed that these run no more and never will."""
        exchange = self._busy.get(ticket)
        if exchange is not None:
            exchange.unsettled.difference_update(attempt_ids)

    def set_leaving(self, leaving: bool) -> list[_lane_types.Effect]:
        """Send nothing more to a leaving target; a returned one ramps up."""
        self._leaving = leaving
        self.record.set_leaving(leaving)
        if not leaving:
            return []
        return self._refuse_queued(protocol.SubStatus.DRAINING)

    def set_released(self, released: bool) -> list[_lane_types.Effect]:
        """Send nothing more: another daemon dispatches for the target."""
        self._released = released
        if not released:
            return []
        return self._refuse_queued(protocol.SubStatus.NOT_OWNER)

    def give_back(self) -> list[_lane_types.Effect]:
        """Answer all queued work as too late, whatever its budget."""
        return self._refuse_queued(protocol.SubStatus.EXPIRED)

    def lost_contact(self, now_ms: float) -> list[_lane_types.Effect]:
        """Give queued work back if the target cannot be reached."""
        if not self.record.is_lost(now_ms):
            return []
        return self._refuse_queued(protocol.SubStatus.UNREACHABLE)

    def take_over(
        self, foreign: int, until_ms: float, most_own: int | None = None
    ) -> None:
        """Count slots that another dispatcher's work may still take."""
        self._foreign = _Foreign(foreign, until_ms, most_own)

    def observe_running(self, running: int) -> None:
        """The target itself says how many exchanges run there.

        Own ones are not subtracted: one that is still on its way there is
        not among them, and would hide another's.
        """
        self._foreign.slots = min(self._foreign.slots, running)

    def idle_slots(self, now_ms: float) -> int:
        """Return how many exchanges may start now."""
        if self._held:
            self._held = {
                ticket: until_ms
                for ticket, until_ms in self._held.items()
                if until_ms > now_ms
            }
        slots = self._target.slots
        own = len(self._busy) + len(self._held)
        foreign = self._foreign.count(now_ms)
        if self._foreign.most_own is not None:
            if now_ms < self._foreign.until_ms:
                slots = min(slots, self._foreign.most_own)
        allowed = self.record.allowed_slots(slots, now_ms)
        return min(allowed - own, self._target.slots - foreign - own)

    def foreign_slots(self, now_ms: float) -> int:
        """Return how many slots an earlier owner's work may take."""
        return self._foreign.count(now_ms)

    def busy_slots(self, now_ms: float) -> tuple[int, float]:
        """Return the slots taken by own work, and for how long at most."""
        ends = [row.deadline_at_ms for row in self._busy.values()]
        ends += [end for end in self._held.values() if end > now_ms]
        return len(ends), max(ends, default=now_ms) - now_ms

    def in_flight(self) -> int:
        """Return how much work is queued or sent and not answered."""
        sent = sum(len(row.works) for row in self._busy.values())
        return len(self._queue) + sent

    def wake_at_ms(self, now_ms: float) -> float | None:
        """Return when to call :meth:`pump` though nothing happens."""
        if not self._queue:
            return None
        times = [
            self._earliest_ms,
            self._window_at_ms,
            self.record.resume_at_ms(),
            self._queue.capped_until_ms or 0.0,
            self._foreign.until_ms,
            *self._held.values(),
        ]
        return min((time for time in times if time > now_ms), default=None)

    def _refusal(
        self, work: _lane_types.Work, now_ms: float
    ) -> _lane_types.Refuse | None:
        if self._released:
            return self._refuse(work, protocol.SubStatus.NOT_OWNER)
        if self._leaving:
            return self._refuse(work, protocol.SubStatus.DRAINING)
        if work.expires_at_ms <= now_ms:
            return self._refuse(work, protocol.SubStatus.EXPIRED)
        if self.record.is_lost(now_ms):
            return self._refuse(work, protocol.SubStatus.UNREACHABLE)
        if self._is_quarantined(work.request.fingerprint):
            return self._refuse(work, protocol.SubStatus.QUARANTINED)
        return None

    def _refuse(
        self,
        work: _lane_types.Work,
        status: protocol.SubStatus,
        retry_after_ms: int = 0,
    ) -> _lane_types.Refuse:
        detail = f'{self._target.name}: {status.value}, not sent'
        return _lane_types.Refuse(work, status, detail, retry_after_ms)

    def _refuse_queued(
        self, status: protocol.SubStatus
    ) -> list[_lane_types.Effect]:
        works = self._queue.items()
        for work in works:
            self._queue.remove(work)
        self._earliest_ms = math.inf
        return [self._refuse(work, status) for work in works]

    def _submit_hedge(
        self, work: _lane_types.Work, now_ms: float
    ) -> list[_lane_types.Effect]:
        # With two slots a hedge that queues only delays first attempts.
        if self._queue or self.idle_slots(now_ms) <= 0:
            return [self._refuse(work, protocol.SubStatus.NO_IDLE_SLOT)]
        return [self._start((work,), now_ms)]

    def _make_room(
        self, work: _lane_types.Work, now_ms: float
    ) -> list[_lane_types.Effect]:
        wait_ms = self.record.drain_ms(len(self._queue))
        victim = self._queue.victim(work, now_ms + wait_ms)
        if victim is not None:
            self._queue.remove(victim)
        shed = victim or work
        retry_ms = int(min(max(wait_ms, _LEAST_RETRY_MS), _MOST_RETRY_MS))
        return [self._refuse(shed, protocol.SubStatus.SHED, retry_ms)]

    def _drop_expired(self, now_ms: float) -> list[_lane_types.Effect]:
        effects: list[_lane_types.Effect] = []
        self._earliest_ms = math.inf
        for work in self._queue.items():
            if work.expires_at_ms <= now_ms:
                self._queue.remove(work)
                effects.append(self._refuse(work, protocol.SubStatus.EXPIRED))
            else:
                self._earliest_ms = min(self._earliest_ms, work.expires_at_ms)
        return effects

    def _start(
        self, works: tuple[_lane_types.Work, ...], now_ms: float
    ) -> _lane_types.StartExchange:
        ticket = next(self._tickets)
        deadline_at_ms = max(work.expires_at_ms for work in works)
        unsettled = {work.attempt_id for work in works}
        self._busy[ticket] = _Exchange(
            works, now_ms, deadline_at_ms, unsettled
        )
        return _lane_types.StartExchange(ticket, works, deadline_at_ms)

    def _next_works(
        self, idle: int, now_ms: float, effects: list[_lane_types.Effect]
    ) -> tuple[_lane_types.Work, ...]:
        """Take the next batch: one run alone, or sub-queries together.

        What waits is spread over the idle slots.  A batch runs in order,
        so it ends where its next item would make one of them too late.
        """
        most = min(self._limits.batch_items, -(-len(self._queue) // idle))
        item_ms = self.record.expected_item_ms(now_ms)
        works: list[_lane_types.Work] = []
        tightest_ms = math.inf
        while len(works) < most:
            work = self._queue.head(now_ms)
            if work is None:
                break
            status = self._unfit(work, item_ms, now_ms)
            if status is not None:
                self._queue.take(work)
                effects.append(self._refuse(work, status))
                continue
            left_ms = min(tightest_ms, work.expires_at_ms - now_ms)
            if works and (
                work.is_alone or (len(works) + 1) * item_ms > left_ms
            ):
                break
            self._queue.take(work)
            works.append(work)
            tightest_ms = left_ms
            if work.is_alone:
                break
        return tuple(works)

    def _unfit(
        self, work: _lane_types.Work, item_ms: float, now_ms: float
    ) -> protocol.SubStatus | None:
        if work.expires_at_ms <= now_ms + item_ms:
            return protocol.SubStatus.EXPIRED
        if self._is_quarantined(work.request.fingerprint):
            return protocol.SubStatus.QUARANTINED
        return None
