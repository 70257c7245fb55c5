"""One exchange with a target: send the jobs, report how each ended."""

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
"""One answered batch in this many is recorded in ``target_service_ms``."""

AnswerCallback = typing.Callable[
    [_scheduler_types.Job, protocol.SubAnswer | protocol.RunReport], None
]


@dataclasses.dataclass(slots=True)
class ManagedTarget:
    """One target's scheduler, its link and the timer that pumps it.

    ``wake_at_ms`` is when ``timer`` is due.
    """

    scheduler: _scheduler.TargetScheduler
    link: transport.TargetLink
    target: state.Target
    wake_at_ms: float = 0.0
    timer: timers.TimerHandle | None = None


class Exchanges:
    """Runs the exchanges that schedulers start, and probes targets.

    Parameters
    ----------
    clock, counters
        The timer service and the metrics.
    signs
        Gets a target's report that it is draining; None to drop reports.
    answer
        Sends the answer on a job to the daemon that the job came from.
    silent_after_ms
        Returns how long to wait for the answer to a batch.
    """

    def __init__(
        self,
        clock: timers.Timers,
        counters: metrics.Metrics,
        signs: _target_signs.TargetSigns | None,
        answer: AnswerCallback,
        silent_after_ms: typing.Callable[[], float],
    ) -> None:
        self._clock = clock
        self._metrics = counters
        self._signs = signs
        self._answer = answer
        self._silent_after_ms = silent_after_ms
        self._answered_batches = 0

    async def run(
        self, managed: ManagedTarget, start: _scheduler_types.StartExchange
    ) -> _scheduler_types.ExchangeEnd:
        """Run one exchange, answer its jobs and return how it ended."""
        if start.jobs[0].item is None:
            exchange_end = await self._send_run(managed, start)
        else:
            exchange_end = await self._send_batch(managed, start)
        if exchange_end is _scheduler_types.ExchangeEnd.LOST:
            self._metrics.add('slots_held_after_loss')
        return exchange_end

    async def probe(self, managed: ManagedTarget) -> None:
        """Ask a target how many exchanges it runs and whether it drains.

        Sends an empty batch, which takes no slot and, unlike a request to
        the health endpoint, takes the same path as queries.
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

    async def _send_batch(
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
            return await self._answer_failed_batch(
                managed, jobs, reply.failure()
            )
        answers = reply.unwrap().answers
        for job, answer in zip(jobs, answers):
            self._answer(
                job,
                _target_answers.sub_answer(
                    managed.target.name, answer, started_ms - job.arrived_ms
                ),
            )
        self._sample(jobs[0], started_ms)
        return self._update_target(managed, reply.unwrap(), answers)

    def _update_target(
        self,
        managed: ManagedTarget,
        reply: protocol.TargetBatchAnswer,
        answers: list[protocol.TargetAnswer],
    ) -> _scheduler_types.ExchangeEnd:
        """Update the target's state from the answer to a batch."""
        statuses = {answer.status for answer in answers}
        if managed.scheduler.foreign_slots(self._clock.now_ms()):
            managed.scheduler.observe_running(reply.running)
        if reply.draining or protocol.TargetStatus.DRAINING in statuses:
            self._report_leaving(managed.target.name)
            return _scheduler_types.ExchangeEnd.FREE
        if protocol.TargetStatus.OK in statuses:
            return _scheduler_types.ExchangeEnd.ANSWERED
        if statuses == {protocol.TargetStatus.NOT_LOADED}:
            managed.scheduler.health.on_unloaded(self._clock.now_ms())
        elif statuses == {protocol.TargetStatus.SHED}:
            managed.scheduler.health.on_shed(self._clock.now_ms())
        return _scheduler_types.ExchangeEnd.FREE

    async def _answer_failed_batch(
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

    async def _send_run(
        self, managed: ManagedTarget, start: _scheduler_types.StartExchange
    ) -> _scheduler_types.ExchangeEnd:
        job = start.jobs[0]
        order = typing.cast(protocol.RunOrder, job.request)
        # Wait for the whole budget, not silent_after_ms: giving up earlier
        # would only make an outcome unknown that is still to come.
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
        """Record a failure; return whether the target was lost during it.

        After a broken connection, a health request on a new connection
        decides.  A target that could not be reached started nothing and
        does not count as lost during the exchange: otherwise the loss of a
        site would quarantine every search tried at two of its targets.
        """
        self._metrics.add('target_errors', kind=error.kind.value)
        lost_during = False
        if error.kind is transport.LinkErrorKind.BROKEN and not error.ended:
            health = await managed.link.health(_PROBE_TIMEOUT_MS)
            lost_during = isinstance(health, result.Failure)
        unreachable = error.kind is transport.LinkErrorKind.UNREACHABLE
        managed.scheduler.health.on_failure(
            unreachable or lost_during, self._clock.now_ms()
        )
        return lost_during

    def _sample(self, job: _scheduler_types.Job, started_ms: float) -> None:
        self._answered_batches += 1
        if self._answered_batches % _SAMPLE_EVERY:
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
