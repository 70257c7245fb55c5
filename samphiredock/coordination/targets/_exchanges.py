"""The exchanges of one dispatcher with its targets."""

import dataclasses
import typing

from returns import result

from samphiredock.coordination.targets import _scheduler
from samphiredock.coordination.targets import _scheduler_types
from samphiredock.coordination.targets import _target_answers
from samphiredock.coordination.targets import _target_signs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

_PROBE_TIMEOUT_MS = 300.0
_SAMPLE_EVERY = 8
"""Of the exchanges one in so many is recorded in the histogram."""

Answer = typing.Callable[
    [_scheduler_types.Job, protocol.SubAnswer | protocol.RunReport], None
]


@dataclasses.dataclass(slots=True)
class ManagedTarget:
    """One target's lane, its link and the timer that wakes the lane."""

    scheduler: _scheduler.TargetScheduler
    link: transport.TargetLink
    target: state.Target
    wake_at_ms: float = 0.0
    timer: timers.Subscription | None = None


class Exchanges:
    """Send what lanes decided and take in what targets answer.

    Parameters
    ----------
    clock, counters
        The timer service and the metrics.
    signs
        Where a target's own word that it leaves goes, if anywhere.
    answer
        Tells the origin of some work how it ended.
    silent_after_ms
        Reads after how long without an answer a connection is silent.
    """

    def __init__(
        self,
        clock: timers.Timers,
        counters: metrics.Metrics,
        signs: _target_signs.TargetSigns | None,
        answer: Answer,
        silent_after_ms: typing.Callable[[], float],
    ) -> None:
        self._clock = clock
        self._metrics = counters
        self._signs = signs
        self._answer = answer
        self._silent_after_ms = silent_after_ms
        self._count = 0

    async def run(
        self, managed: ManagedTarget, start: _scheduler_types.StartExchange
    ) -> _scheduler_types.ExchangeEnd:
        """Do one exchange and answer its work; return what became of it."""
        if start.jobs[0].item is None:
            exchange_end = await self._run(managed, start)
        else:
            exchange_end = await self._batch(managed, start)
        if exchange_end is _scheduler_types.ExchangeEnd.LOST:
            self._metrics.add('slots_held_after_loss')
        return exchange_end

    async def probe(self, managed: ManagedTarget) -> None:
        """Ask a target, by an empty batch, what runs there and if it drains.

        An empty batch takes no slot, and unlike the health endpoint it goes
        the way that work goes.
        """
        asked_at_ms = self._clock.wall_ms()
        reply = await managed.link.batch(
            protocol.TargetBatch([]), _PROBE_TIMEOUT_MS
        )
        if isinstance(reply, result.Failure):
            return
        answer = reply.unwrap()
        managed.scheduler.observe_running(answer.running)
        if self._signs is not None:
            self._signs.on_target_report(
                managed.target.name, answer.draining, asked_at_ms
            )

    async def _batch(
        self, managed: ManagedTarget, start: _scheduler_types.StartExchange
    ) -> _scheduler_types.ExchangeEnd:
        started_ms = self._clock.now_ms()
        jobs = start.jobs
        items = [_target_answers.target_query(job, started_ms) for job in jobs]
        self._metrics.add('target_batches')
        self._metrics.add('target_items', len(items))
        reply = await managed.link.batch(
            protocol.TargetBatch(items),
            min(start.deadline_at_ms - started_ms, self._silent_after_ms()),
        )
        if isinstance(reply, result.Failure):
            return await self._batch_failed(managed, jobs, reply.failure())
        answers = reply.unwrap().answers
        for job, answer in zip(jobs, answers):
            self._answer(
                job,
                _target_answers.sub_answer(
                    managed.target.name, answer, started_ms - job.arrived_ms
                ),
            )
        self._sample(jobs[0], started_ms)
        return self._learn(managed, reply.unwrap(), answers)

    def _learn(
        self,
        managed: ManagedTarget,
        reply: protocol.TargetBatchAnswer,
        answers: list[protocol.TargetAnswer],
    ) -> _scheduler_types.ExchangeEnd:
        """Take in what a batch's answer says of the target itself."""
        statuses = {answer.status for answer in answers}
        if managed.scheduler.foreign_slots(self._clock.now_ms()):
            managed.scheduler.observe_running(reply.running)
        if reply.draining or protocol.TargetStatus.DRAINING in statuses:
            self._report_leaving(managed.target.name)
            return _scheduler_types.ExchangeEnd.FREE
        if protocol.TargetStatus.OK in statuses:
            return _scheduler_types.ExchangeEnd.ANSWERED
        if statuses == {protocol.TargetStatus.NOT_LOADED}:
            managed.scheduler.record.on_unloaded(self._clock.now_ms())
        elif statuses == {protocol.TargetStatus.SHED}:
            managed.scheduler.record.on_shed(self._clock.now_ms())
        return _scheduler_types.ExchangeEnd.FREE

    async def _batch_failed(
        self,
        managed: ManagedTarget,
        jobs: tuple[_scheduler_types.Job, ...],
        error: transport.LinkError,
    ) -> _scheduler_types.ExchangeEnd:
        lost = await self._record_failure(managed, error)
        for job in jobs:
            answer = _target_answers.failed_answer(
                managed.target.name,
                job.attempt_id,
                error,
                len(jobs) == 1,
                lost,
            )
            self._answer(job, answer)
        return _exchange_end_of(error)

    async def _run(
        self, managed: ManagedTarget, start: _scheduler_types.StartExchange
    ) -> _scheduler_types.ExchangeEnd:
        job = start.jobs[0]
        order = typing.cast(protocol.RunOrder, job.request)
        # A run waits for its whole budget: giving up earlier would only
        # turn an outcome that is still to come into an unknown one.
        left_ms = job.expires_at_ms - self._clock.now_ms()
        reply = await managed.link.run(
            _target_answers.target_run(order, left_ms), left_ms
        )
        lost = False
        if isinstance(reply, result.Failure):
            lost = await self._record_failure(managed, reply.failure())
            exchange_end = _exchange_end_of(reply.failure())
        else:
            status = reply.unwrap().status
            if reply.unwrap().draining:
                self._report_leaving(managed.target.name)
            exchange_end = _scheduler_types.ExchangeEnd.FREE
            if status is protocol.TargetStatus.OK:
                exchange_end = _scheduler_types.ExchangeEnd.ANSWERED
        report = _target_answers.run_report(
            order.attempt_id, managed.target.name, reply, lost
        )
        self._answer(job, report)
        return exchange_end

    async def _record_failure(
        self, managed: ManagedTarget, error: transport.LinkError
    ) -> bool:
        """Return whether the target was lost under the exchange.

        A new connection tells. A target that could not be reached in the
        first place began nothing: if it counted, the loss of a site would
        put every search that was tried at two of its targets in quarantine.
        """
        self._metrics.add('target_errors', kind=error.kind.value)
        lost_under = False
        if error.kind is transport.LinkErrorKind.BROKEN and not error.ended:
            health = await managed.link.health(_PROBE_TIMEOUT_MS)
            lost_under = isinstance(health, result.Failure)
        unreachable = error.kind is transport.LinkErrorKind.UNREACHABLE
        managed.scheduler.record.on_failure(
            unreachable or lost_under, self._clock.now_ms()
        )
        return lost_under

    def _sample(self, job: _scheduler_types.Job, started_ms: float) -> None:
        self._count += 1
        if self._count % _SAMPLE_EVERY:
            return
        self._metrics.observe(
            'target_service_ms',
            self._clock.now_ms() - started_ms,
            service=job.flow.service,
            request_class=job.request.request_class,
        )

    def _report_leaving(self, target: str) -> None:
        if self._signs is not None:
            self._signs.on_target_report(target, True)


def _exchange_end_of(
    error: transport.LinkError,
) -> _scheduler_types.ExchangeEnd:
    if error.ended or error.kind is transport.LinkErrorKind.UNREACHABLE:
        return _scheduler_types.ExchangeEnd.FREE
    return _scheduler_types.ExchangeEnd.LOST
