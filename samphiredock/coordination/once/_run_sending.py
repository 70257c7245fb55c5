"""Sends a claimed request to a target through the target's dispatcher."""

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
"""How many targets are tried.

The next one only after proof that the one before did not begin the request.
"""

CANCEL_SHARE = 0.2
CANCEL_MARGIN_LIMIT_MS = _run_orders.CANCEL_WAIT_MS
"""Time kept for a cancel: a share of the time left, and at most this."""

_STATUS_REASON = {
    protocol.SubStatus.SHED: protocol.NotRunReason.OVERLOADED,
    protocol.SubStatus.NO_IDLE_SLOT: protocol.NotRunReason.OVERLOADED,
    protocol.SubStatus.EXPIRED: protocol.NotRunReason.OVERLOADED,
    protocol.SubStatus.CANCELLED: protocol.NotRunReason.OVERLOADED,
    protocol.SubStatus.QUARANTINED: protocol.NotRunReason.QUARANTINED,
}

_Status = protocol.ClaimStatus


class RoutingView(typing.Protocol):
    """The configuration, dispatchers and usable targets, as known here."""

    @property
    def configuration(self) -> state.Configuration | None:
        """The configuration in force, None before the first one."""

    def owner(self, target: str) -> str | None:
        """Return the daemon that dispatches for a target, None if unknown."""

    def is_usable(self, target: str) -> bool:
        """Return whether a target may get new work."""


class RunSender:
    """Sends a request to one target after another until one may have begun.

    The next target is tried only after proof that the one before did not
    begin the request.
    """

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
        """Send the claimed request and return its outcome."""
        tried: set[str] = set()
        reason = protocol.NotRunReason.NO_TARGET
        detail = 'no target of the operation is usable'
        retry_after_ms = _run_request.RETRY_AFTER_MS
        for _ in range(TARGET_LIMIT):
            refusal = self._check_before_send(run)
            if refusal is not None:
                return self._recorder.refuse(run, refusal)
            target = self._choose_target(run, tried)
            if target is None:
                break
            tried.add(target)
            result = await self._try_target(run, target)
            if not isinstance(result, protocol.RunReport):
                return result
            reason = _STATUS_REASON.get(
                result.status, protocol.NotRunReason.NO_TARGET
            )
            detail = f'{target}: {result.status.value} {result.detail}'
            retry_after_ms = (
                result.retry_after_ms or _run_request.RETRY_AFTER_MS
            )
        return self._recorder.answer_not_run(
            run, reason, detail, retry_after_ms
        )

    def _check_before_send(
        self, run: _run_request.Run
    ) -> protocol.NotRun | None:
        """Return a refusal if the request may not be sent any more.

        The process may have been frozen since the claim was granted.  It
        still holds the claim, as no other daemon takes a silent holder's
        claim, but the deadline may have passed.
        """
        assert self._statuses.status(run.token) is _Status.RUNNING
        admitted = run.admitted
        if self._cutoff.has_passed():
            return _run_request.shutting_down()
        if self._clock.now_ms() >= admitted.deadline_at_ms:
            self._metrics.add('run_too_late_to_send')
            return protocol.NotRun(
                protocol.NotRunReason.OVERLOADED,
                'deadline passed before the request was sent',
                _run_request.RETRY_AFTER_MS,
            )
        # The monotonic clock stops while the host is suspended, so the
        # age of the key is checked by the wall clock.
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
        """Send the request to one target.

        Returns a report if it proves that the target did not begin the
        request, else the outcome.
        """
        run.attempts += 1
        order = self._build_order(run, target)
        owner = self._view.owner(target)
        run.step('send')
        if owner is None or not self._orders.send(run.token, owner, order):
            run.step('not_begun')
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
        reason_unknown = 'no report in time'
        if report is not None:
            reason_unknown = (
                f'{report.status.value} {report.detail}, outcome unknown'
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
            run.step('not_begun')
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
