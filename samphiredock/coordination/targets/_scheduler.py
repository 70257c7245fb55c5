"""Scheduling for one target: its queue, its slots, its batches.

Does no I/O: jobs and ends of exchanges go in, effects for the dispatcher
come out.
"""

import collections
import dataclasses
import itertools
import math
import typing

from samphiredock.coordination.targets import _observed_health
from samphiredock.coordination.targets import _scheduler_types
from samphiredock.coordination.targets import _shares
from samphiredock import protocol
from samphiredock import state

_DEADLINE_SLACK_MS = 25.0
"""Added to the hold of a slot, since the target counts its deadline from when
the request arrives there."""

_MIN_RETRY_AFTER_MS = 10
_MAX_RETRY_AFTER_MS = 5_000


@dataclasses.dataclass(slots=True)
class _Exchange:
    """An exchange that was started and has not ended.

    ``unconfirmed`` holds the ids of attempts that may still run or start.
    """

    jobs: tuple[_scheduler_types.Job, ...]
    started_ms: float
    deadline_at_ms: float
    unconfirmed: set[str]


@dataclasses.dataclass(slots=True)
class _ForeignSlots:
    """Slots that exchanges of the previous owner may still take.

    Until ``until_ms``, ``own_limit`` bounds this daemon's exchanges; None
    is no bound.
    """

    slots: int = 0
    until_ms: float = 0.0
    own_limit: int | None = None

    def count(self, now_ms: float) -> int:
        return self.slots if now_ms < self.until_ms else 0


def _never_quarantined(fingerprint: str) -> bool:
    return False


class TargetScheduler:
    """The queue and slots of one target.

    An exchange takes one slot of the target and carries one or more jobs.

    Parameters
    ----------
    target, limits, shares
        From the configuration in force.
    is_quarantined
        Returns whether the request content with a fingerprint is refused
        because it crashed targets.
    """

    def __init__(
        self,
        target: state.Target,
        limits: state.Limits,
        shares: _shares.Shares = _shares.NO_SHARES,
        is_quarantined: typing.Callable[[str], bool] = _never_quarantined,
    ) -> None:
        self._target = target
        self._limits = limits
        self._is_quarantined = is_quarantined
        self._queue = _shares.FairQueue(
            limits.queue_per_target, target.slots, shares
        )
        self._tickets = itertools.count(1)
        self._busy: dict[int, _Exchange] = {}
        self._held_slots: dict[int, float] = {}
        self._foreign = _ForeignSlots()
        self._earliest_expiry_ms = math.inf
        self._window_ends_ms = 0.0
        self._leaving = False
        self._released = False
        self.health = _observed_health.ObservedHealth()

    def reconfigure(
        self,
        target: state.Target,
        limits: state.Limits,
        shares: _shares.Shares,
    ) -> None:
        """Apply a new revision; queued jobs and taken slots stay."""
        queued = self._queue.items()
        self._target = target
        self._limits = limits
        self._queue = _shares.FairQueue(
            limits.queue_per_target, target.slots, shares
        )
        for job in sorted(queued, key=lambda row: row.arrived_ms):
            self._queue.push(job)

    def submit(
        self, job: _scheduler_types.Job, now_ms: float
    ) -> list[_scheduler_types.Effect]:
        """Queue a job or refuse it; :meth:`pump` starts exchanges.

        A hedge is never queued: it starts at once or is refused.
        """
        refusal = self._refusal(job, now_ms)
        if refusal is not None:
            return [refusal]
        if job.item is not None and job.item.hedge:
            return self._submit_hedge(job, now_ms)
        effects = self._make_room(job, now_ms) if self._queue.is_full else []
        if effects and effects[-1].job is job:
            return effects
        if not self._queue:
            self._window_ends_ms = now_ms + self._limits.batch_window_ms
        self._queue.push(job)
        self._earliest_expiry_ms = min(
            self._earliest_expiry_ms, job.expires_at_ms
        )
        return effects

    def pump(self, now_ms: float) -> list[_scheduler_types.Effect]:
        """Refuse expired jobs and start exchanges while slots are free."""
        effects: list[_scheduler_types.Effect] = []
        if self._earliest_expiry_ms <= now_ms:
            effects += self._drop_expired(now_ms)
        while self._queue and now_ms >= self._window_ends_ms:
            idle = self.idle_slots(now_ms)
            if idle <= 0:
                break
            jobs = self._next_jobs(idle, now_ms, effects)
            if not jobs:
                break
            effects.append(self._start(jobs, now_ms))
        return effects

    def end_exchange(
        self,
        ticket: int,
        exchange_end: _scheduler_types.ExchangeEnd,
        now_ms: float,
    ) -> list[_scheduler_types.Effect]:
        """End an exchange and return the effects of pumping again.

        Its slot becomes free, unless the exchange was lost and the target
        may still work on it: then the slot is held until the deadline.
        """
        exchange = self._busy.pop(ticket, None)
        if exchange is None:
            return []
        slack_ms = _DEADLINE_SLACK_MS + self._target.connect_ms
        until_ms = exchange.deadline_at_ms + slack_ms
        if (
            exchange_end is _scheduler_types.ExchangeEnd.LOST
            and exchange.unconfirmed
        ):
            self._held_slots[ticket] = until_ms
        busy_ms = now_ms - exchange.started_ms
        busy_per_job_ms = busy_ms / max(1, len(exchange.jobs))
        flows = collections.Counter([job.flow for job in exchange.jobs])
        for flow, count in flows.items():
            self._queue.charge(flow, busy_per_job_ms * count, now_ms)
        if exchange_end is _scheduler_types.ExchangeEnd.ANSWERED:
            self.health.on_answer(len(exchange.jobs), busy_ms, now_ms)
        return self.pump(now_ms)

    def cancel(self, attempt_id: str) -> _scheduler_types.Job | None:
        """Remove a queued job and return it, None if it is not queued."""
        for job in self._queue.items():
            if job.attempt_id == attempt_id:
                self._queue.remove(job)
                return job
        return None

    def confirm_ended(
        self, ticket: int, attempt_ids: typing.Iterable[str]
    ) -> None:
        """Record that the target confirmed the end of these attempts.

        They do not run and will not start, so no slot is held for them.
        """
        exchange = self._busy.get(ticket)
        if exchange is not None:
            exchange.unconfirmed.difference_update(attempt_ids)

    def set_leaving(self, leaving: bool) -> list[_scheduler_types.Effect]:
        """Stop sending to a leaving target, or ramp a returned one up."""
        self._leaving = leaving
        self.health.set_leaving(leaving)
        if not leaving:
            return []
        return self._refuse_queued(protocol.SubStatus.DRAINING)

    def set_released(self, released: bool) -> list[_scheduler_types.Effect]:
        """Stop sending because another daemon owns the target, or resume."""
        self._released = released
        if not released:
            return []
        return self._refuse_queued(protocol.SubStatus.NOT_OWNER)

    def expire_queued(self) -> list[_scheduler_types.Effect]:
        """Refuse all queued jobs as expired, whatever their budget."""
        return self._refuse_queued(protocol.SubStatus.EXPIRED)

    def refuse_if_lost(self, now_ms: float) -> list[_scheduler_types.Effect]:
        """Refuse the queued jobs if the target cannot be reached."""
        if not self.health.is_lost(now_ms):
            return []
        return self._refuse_queued(protocol.SubStatus.UNREACHABLE)

    def reserve_foreign_slots(
        self, slots: int, until_ms: float, own_limit: int | None = None
    ) -> None:
        """Count slots that exchanges of another owner may still take.

        Parameters
        ----------
        slots
            How many slots.
        until_ms
            When the last of those exchanges ends at the latest.
        own_limit
            The most exchanges of this daemon until then; None for no limit.
        """
        self._foreign = _ForeignSlots(slots, until_ms, own_limit)

    def observe_running(self, running: int) -> None:
        """Lower the foreign slots to the number of exchanges at the target.

        This daemon's own exchanges are not subtracted from ``running``: one
        still on its way to the target is not counted there, and subtracting
        it would hide a foreign one.
        """
        self._foreign.slots = min(self._foreign.slots, running)

    def idle_slots(self, now_ms: float) -> int:
        """Return how many exchanges may start now; may be negative."""
        if self._held_slots:
            self._held_slots = {
                ticket: until_ms
                for ticket, until_ms in self._held_slots.items()
                if until_ms > now_ms
            }
        slots = self._target.slots
        own = len(self._busy) + len(self._held_slots)
        foreign = self._foreign.count(now_ms)
        if self._foreign.own_limit is not None:
            if now_ms < self._foreign.until_ms:
                slots = min(slots, self._foreign.own_limit)
        allowed = self.health.allowed_slots(slots, now_ms)
        return min(allowed - own, self._target.slots - foreign - own)

    def foreign_slots(self, now_ms: float) -> int:
        """Return how many slots the previous owner's exchanges may take."""
        return self._foreign.count(now_ms)

    def busy_slots(self, now_ms: float) -> tuple[int, float]:
        """Return this daemon's taken slots, and the ms until all are free."""
        ends = [row.deadline_at_ms for row in self._busy.values()]
        ends += [end for end in self._held_slots.values() if end > now_ms]
        return len(ends), max(ends, default=now_ms) - now_ms

    def in_flight(self) -> int:
        """Return how many jobs are queued or sent but not answered."""
        sent = sum(len(row.jobs) for row in self._busy.values())
        return len(self._queue) + sent

    def wake_at_ms(self, now_ms: float) -> float | None:
        """Return when a timer must call :meth:`pump`, None if none must."""
        if not self._queue:
            return None
        times = [
            self._earliest_expiry_ms,
            self._window_ends_ms,
            self.health.resume_at_ms(),
            self._queue.capped_until_ms or 0.0,
            self._foreign.until_ms,
            *self._held_slots.values(),
        ]
        return min((time for time in times if time > now_ms), default=None)

    def _refusal(
        self, job: _scheduler_types.Job, now_ms: float
    ) -> _scheduler_types.Refuse | None:
        if self._released:
            return self._refuse(job, protocol.SubStatus.NOT_OWNER)
        if self._leaving:
            return self._refuse(job, protocol.SubStatus.DRAINING)
        if job.expires_at_ms <= now_ms:
            return self._refuse(job, protocol.SubStatus.EXPIRED)
        if self.health.is_lost(now_ms):
            return self._refuse(job, protocol.SubStatus.UNREACHABLE)
        if self._is_quarantined(job.request.fingerprint):
            return self._refuse(job, protocol.SubStatus.QUARANTINED)
        return None

    def _refuse(
        self,
        job: _scheduler_types.Job,
        status: protocol.SubStatus,
        retry_after_ms: int = 0,
    ) -> _scheduler_types.Refuse:
        detail = f'{self._target.name}: {status.value}, not sent'
        return _scheduler_types.Refuse(job, status, detail, retry_after_ms)

    def _refuse_queued(
        self, status: protocol.SubStatus
    ) -> list[_scheduler_types.Effect]:
        jobs = self._queue.items()
        for job in jobs:
            self._queue.remove(job)
        self._earliest_expiry_ms = math.inf
        return [self._refuse(job, status) for job in jobs]

    def _submit_hedge(
        self, job: _scheduler_types.Job, now_ms: float
    ) -> list[_scheduler_types.Effect]:
        # A queued hedge would only delay first attempts.
        if self._queue or self.idle_slots(now_ms) <= 0:
            return [self._refuse(job, protocol.SubStatus.NO_IDLE_SLOT)]
        return [self._start((job,), now_ms)]

    def _make_room(
        self, job: _scheduler_types.Job, now_ms: float
    ) -> list[_scheduler_types.Effect]:
        """Refuse a queued job to make room for ``job``, or else ``job``."""
        wait_ms = self.health.queue_wait_ms(len(self._queue))
        victim = self._queue.victim(job, now_ms + wait_ms)
        if victim is not None:
            self._queue.remove(victim)
        shed = victim or job
        retry_ms = int(
            min(max(wait_ms, _MIN_RETRY_AFTER_MS), _MAX_RETRY_AFTER_MS)
        )
        return [self._refuse(shed, protocol.SubStatus.SHED, retry_ms)]

    def _drop_expired(self, now_ms: float) -> list[_scheduler_types.Effect]:
        effects: list[_scheduler_types.Effect] = []
        self._earliest_expiry_ms = math.inf
        for job in self._queue.items():
            if job.expires_at_ms <= now_ms:
                self._queue.remove(job)
                effects.append(self._refuse(job, protocol.SubStatus.EXPIRED))
            else:
                self._earliest_expiry_ms = min(
                    self._earliest_expiry_ms, job.expires_at_ms
                )
        return effects

    def _start(
        self, jobs: tuple[_scheduler_types.Job, ...], now_ms: float
    ) -> _scheduler_types.StartExchange:
        ticket = next(self._tickets)
        deadline_at_ms = max(job.expires_at_ms for job in jobs)
        unconfirmed = {job.attempt_id for job in jobs}
        self._busy[ticket] = _Exchange(
            jobs, now_ms, deadline_at_ms, unconfirmed
        )
        return _scheduler_types.StartExchange(ticket, jobs, deadline_at_ms)

    def _next_jobs(
        self, idle: int, now_ms: float, effects: list[_scheduler_types.Effect]
    ) -> tuple[_scheduler_types.Job, ...]:
        """Take the next batch: one run, or sub-queries together.

        The queued jobs are spread over the idle slots.  A target works
        through a batch in order and answers it as a whole, so a job that
        would make any job of the batch late is left for the next batch.
        """
        max_jobs = min(self._limits.batch_items, -(-len(self._queue) // idle))
        job_ms = self.health.expected_job_ms(now_ms)
        jobs: list[_scheduler_types.Job] = []
        min_left_ms = math.inf
        while len(jobs) < max_jobs:
            job = self._queue.head(now_ms)
            if job is None:
                break
            status = self._unfit_status(job, job_ms, now_ms)
            if status is not None:
                self._queue.take(job)
                effects.append(self._refuse(job, status))
                continue
            left_ms = min(min_left_ms, job.expires_at_ms - now_ms)
            if jobs and (job.is_alone or (len(jobs) + 1) * job_ms > left_ms):
                break
            self._queue.take(job)
            jobs.append(job)
            min_left_ms = left_ms
            if job.is_alone:
                break
        return tuple(jobs)

    def _unfit_status(
        self, job: _scheduler_types.Job, job_ms: float, now_ms: float
    ) -> protocol.SubStatus | None:
        """Return why a job must not be sent any more, None if it may."""
        if job.expires_at_ms <= now_ms + job_ms:
            return protocol.SubStatus.EXPIRED
        if self._is_quarantined(job.request.fingerprint):
            return protocol.SubStatus.QUARANTINED
        return None
