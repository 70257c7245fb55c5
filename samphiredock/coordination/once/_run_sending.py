"""Send a claimed request to a target, through its dispatcher."""

import random
import typing

from samphiredock.coordination.once import _claim_statuses
from samphiredock.coordination.once import _cutoff
from samphiredock.coordination.once import _run_admission
from samphiredock.coordination.once import _run_orders
from samphiredock.coordination.once import _run_request
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers

TARGET_LIMIT = 3
"""How many targets are tried, one after another, each proved not begun."""

CANCEL_SHARE = 0.2
CANCEL_MARGIN_LIMIT_MS = _run_orders.CANCEL_WAIT_MS
"""The end of the budget is kept for asking the dispatcher to stop."""

_STATUS_REASON = {
    protocol.SubStatus.SHED: protocol.NotRunReason.OVERLOADED,
    protocol.SubStatus.NO_IDLE_SLOT: protocol.NotRunReason.OVERLOADED,
    protocol.SubStatus.EXPIRED: protocol.NotRunReason.OVERLOADED,
    protocol.SubStatus.CANCELLED: protocol.NotRunReason.OVERLOADED,
    protocol.SubStatus.QUARANTINED: protocol.NotRunReason.QUARANTINED,
}

_Status = protocol.ClaimStatus


class RoutingView(typing.Protocol):
    """What the runner reads of the daemon's knowledge."""

    @property
    def configuration(self) -> state.Configuration | None:
        """The revision in force here."""

    def owner(self, target: str) -> str | None:
        """The daemon that dispatches for a target."""

    def is_usable(self, target: str) -> bool:
        """Whether a target may get new work."""


class RunSender:
    """Tries targets one after another, each proved not to have begun."""

    def __init__(
        self,
        site: str,
        view: RoutingView,
        orders: _run_orders.Orders,
        statuses: _claim_statuses.ClaimStatuses,
        recorder: _run_request.OutcomeRecorder,
        clock: timers.Timers,
        randomness: random.Random,
        counters: metrics.Metrics,
        cutoff: _cutoff.Cutoff | None = None,
    ) -> None:
        self._cutoff = cutoff or _cutoff.Cutoff(clock)
        self._site = site
        self._view = view
        self._orders = orders
        self._statuses = statuses
        self._recorder = recorder
        self._clock = clock
        self._random = randomness
        self._metrics = counters

    async def execute(self, run: _run_request.Run) -> protocol.RunOutcome:
        """Send the claimed request, to another target if proved unbegun."""
        tried: set[str] = set()
        reason = protocol.NotRunReason.NO_TARGET
        detail = 'no target of the operation may get work'
        retry_after_ms = _run_request.RETRY_AFTER_MS
        for _ in range(TARGET_LIMIT):
            refusal = self._check_before_send(run)
            if refusal is not None:
                return self._recorder.refuse(run, refusal)
            target = self._choose_target(run, tried)
            if target is None:
                break
            tried.add(target)
            ended = await self._try_target(run, target)
            if not isinstance(ended, protocol.RunReport):
                return ended
            reason = _STATUS_REASON.get(
                ended.status, protocol.NotRunReason.NO_TARGET
            )
            detail = f'{target}: {ended.status.value} {ended.detail}'
            retry_after_ms = (
                ended.retry_after_ms or _run_request.RETRY_AFTER_MS
            )
        return self._recorder.answer_not_run(
            run, reason, detail, retry_after_ms
        )

    def _check_before_send(
        self, run: _run_request.Run
    ) -> protocol.NotRun | None:
        """Check at the last moment whether the request may be sent.

        A process that was frozen since the claim wakes here.  Its claim is
        still its own, for nobody takes one from a silent holder; but its
        deadline may have passed, and its caller be gone.
        """
        assert self._statuses.status(run.token) is _Status.RUNNING
        admitted = run.admitted
        if self._cutoff.has_passed():
            return _run_request.shutting_down()
        if self._clock.now_ms() >= admitted.deadline_at_ms:
            self._metrics.add('run_too_late_to_send')
            return protocol.NotRun(
                protocol.NotRunReason.OVERLOADED,
                'the deadline passed before the request was sent',
                _run_request.RETRY_AFTER_MS,
            )
        # The monotonic clock stops when a machine is suspended.
        return _run_admission.refuse_stale_key(
            admitted.request, admitted.retention_ms, self._clock.wall_ms()
        )

    def _choose_target(
        self, run: _run_request.Run, tried: set[str]
    ) -> str | None:
        targets = [
            name
            for name in run.admitted.operation.targets
            if name not in tried and self._view.is_usable(name)
        ]
        return self._random.choice(targets) if targets else None

    async def _try_target(
        self, run: _run_request.Run, target: str
    ) -> protocol.RunOutcome | protocol.RunReport:
        """Send to one target; a report if it proves that none began."""
        run.attempts += 1
        order = self._build_order(run, target)
        owner = self._view.owner(target)
        run.step('send')
        if owner is None or not self._orders.send(run.token, owner, order):
            run.step('disprove')
            return protocol.RunReport(
                order.attempt_id,
                target,
                protocol.SubStatus.NOT_OWNER,
                detail='no dispatcher can be reached',
            )
        report = await self._orders.wait_report(
            order.attempt_id, self._cancel_at_ms(run)
        )
        self._recorder.record_target_loss(run.admitted, report)
        reason_unknown = 'no answer in time'
        if report is not None:
            reason_unknown = (
                f'{report.status.value} {report.detail}, end not known'
            )
        if report is None or not _run_orders.is_final(report):
            run.step('cancel')
            report = await self._orders.cancel(
                order.attempt_id, run.admitted.deadline_at_ms
            )
        if report is None:
            outcome = self._recorder.answer_unknown(
                run, f'{target}: {reason_unknown}'
            )
            self._orders.abandon(order.attempt_id)
            return outcome
        self._orders.forget(order.attempt_id)
        if _run_orders.proves_not_begun(report):
            run.step('disprove')
            self._metrics.add('run_proved_not_begun')
            return report
        run.step('complete')
        return self._recorder.complete(run.token, run.admitted, report)

    def _cancel_at_ms(self, run: _run_request.Run) -> float:
        left_ms = run.admitted.deadline_at_ms - self._clock.now_ms()
        margin_ms = min(CANCEL_MARGIN_LIMIT_MS, left_ms * CANCEL_SHARE)
        return run.admitted.deadline_at_ms - margin_ms

    def _build_order(
        self, run: _run_request.Run, target: str
    ) -> protocol.RunOrder:
        admitted = run.admitted
        return protocol.RunOrder(
            f'{run.token}/{run.attempts}',
            admitted.request.service,
            self._site,
            admitted.operation.request_class,
            admitted.request.operation,
            target,
            admitted.key,
            admitted.request.body,
            admitted.fingerprint,
            admitted.deadline_at_ms - self._clock.now_ms(),
        )
