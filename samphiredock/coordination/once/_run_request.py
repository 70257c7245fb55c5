"""One unrepeatable request and the recording of its outcome.

The answer to the caller, the status for peers and the stored claim are set
in this module only, so that the three agree.
"""

import asyncio
import dataclasses
import typing

from samphiredock.coordination.once import _claim_registry
from samphiredock.coordination.once import _claim_statuses
from samphiredock.coordination.once import _run_admission
from samphiredock.coordination.once import _run_orders
from samphiredock.coordination.once import _run_states
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state

RETRY_AFTER_MS = 1_000

_Status = protocol.ClaimStatus


class RunQuarantine(typing.Protocol):
    """Refuses requests that crashed the targets that ran them."""

    def refusal(self, fingerprint: str) -> protocol.NotRun | None:
        """Return the refusal of a quarantined request, None for others."""

    def record_loss(self, fingerprint: str, target: str) -> None:
        """Count a target that was lost while it ran the request."""

    def record_success(self, fingerprint: str) -> None:
        """Record that a target answered the request."""


class NoQuarantine:
    """A quarantine that refuses no request."""

    def refusal(self, fingerprint: str) -> protocol.NotRun | None:
        """Return None."""
        return None

    def record_loss(self, fingerprint: str, target: str) -> None:
        """Do nothing."""

    def record_success(self, fingerprint: str) -> None:
        """Do nothing."""


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """One request that this daemon tries to claim and run.

    ``attempts`` counts its orders.  ``may_be_stored`` is set if its claim
    may be in the store, so that it has to be closed there.
    """

    admitted: _run_admission.AdmittedRequest
    token: str
    progress: _run_states.RunProgress
    task: asyncio.Task | None = None
    attempts: int = 0
    may_be_stored: bool = False

    @property
    def claim(self) -> state.Claim:
        """The open claim of this request, as it is stored."""
        return open_claim(self.token, self.admitted)

    def step(self, trigger: str) -> None:
        """Change the state by a trigger of ``_run_states``."""
        _run_states.step(self.progress, trigger)


class OutcomeRecorder:
    """Records how requests end: for the caller, the peers and the store."""

    def __init__(
        self,
        claims: _claim_registry.ClaimRegistry,
        statuses: _claim_statuses.ClaimStatuses,
        quarantine: RunQuarantine,
        counters: metrics.Metrics,
    ) -> None:
        self._claims = claims
        self._statuses = statuses
        self._quarantine = quarantine
        self._metrics = counters
        self._unsettled: dict[str, _run_admission.AdmittedRequest] = {}

    def replay(
        self, run: Run, outcome: protocol.Completed
    ) -> protocol.RunOutcome:
        """Answer with the recorded outcome of another claim."""
        run.step('complete')
        self._metrics.add('run_replayed')
        self._abandon_claim(run)
        return replayed(outcome)

    def record_target_loss(
        self,
        admitted: _run_admission.AdmittedRequest,
        report: protocol.RunReport | None,
    ) -> None:
        """Tell the quarantine if the report says that a target was lost."""
        if report is not None and report.target_lost:
            self._quarantine.record_loss(admitted.fingerprint, report.target)

    def complete(
        self,
        token: str,
        admitted: _run_admission.AdmittedRequest,
        report: protocol.RunReport,
    ) -> protocol.Completed:
        """Answer that a target ran the request.

        Waiting peers are told at once; the store is written in the
        background.
        """
        self._quarantine.record_success(admitted.fingerprint)
        outcome = protocol.Completed(report.result, report.accepted, False)
        self._statuses.update(token, _Status.DONE, outcome)
        self._metrics.add('runs_completed')
        self._close(
            admitted.location,
            state.done_claim(
                open_claim(token, admitted), report.accepted, report.result
            ),
        )
        return outcome

    def on_late_report(self, token: str, report: protocol.RunReport) -> None:
        """Record the real outcome of a request that was answered "unknown"."""
        admitted = self._unsettled.pop(token, None)
        if admitted is None or (
            self._statuses.status(token) is not _Status.UNSETTLED
        ):
            return
        if _run_orders.proves_not_begun(report):
            self._statuses.update(token, _Status.NEVER_SENT)
            self._close_not_run(token, admitted)
            return
        self.complete(token, admitted, report)

    def answer_unknown(self, run: Run, detail: str) -> protocol.Unknown:
        """Answer that the outcome is unknown.

        If an order was sent, the claim stays open until a late report
        settles it; otherwise the claim is abandoned.
        """
        before = run.progress.state
        run.step('mark_unknown')
        self._metrics.add('runs_unknown')
        if before in (
            _run_states.RunState.SENT,
            _run_states.RunState.CANCELLING,
        ):
            self._statuses.update(run.token, _Status.UNSETTLED)
            self._unsettled[run.token] = run.admitted
            while len(self._unsettled) > _run_orders.OUTSTANDING_LIMIT:
                del self._unsettled[next(iter(self._unsettled))]
        else:
            self._abandon_claim(run)
        return protocol.Unknown(detail, RETRY_AFTER_MS)

    def answer_not_run(
        self,
        run: Run,
        reason: protocol.NotRunReason,
        detail: str,
        retry_after_ms: int,
    ) -> protocol.NotRun:
        """Answer that the request was not run, with a reason."""
        return self.refuse(
            run, protocol.NotRun(reason, detail, retry_after_ms)
        )

    def refuse(self, run: Run, refusal: protocol.NotRun) -> protocol.NotRun:
        """Answer that the request was not run and abandon its claim.

        Raises ``AssertionError`` in a state in which a target may have
        begun the request.
        """
        assert run.progress.state in _run_states.MAY_ANSWER_NOT_RUN, (
            f'{run.token}: cannot answer "not run" in {run.progress.state}'
        )
        run.step('refuse')
        self._abandon_claim(run)
        return refusal

    def _abandon_claim(self, run: Run) -> None:
        """Tell peers that nothing is ever sent; then close a stored claim."""
        self._statuses.update(run.token, _Status.NEVER_SENT)
        if run.may_be_stored:
            self._metrics.add('claims_given_up')
            self._close_not_run(run.token, run.admitted)
        else:
            self._statuses.forget(run.token)

    def _close_not_run(
        self, token: str, admitted: _run_admission.AdmittedRequest
    ) -> None:
        self._close(
            admitted.location,
            state.not_run_claim(open_claim(token, admitted)),
        )

    def _close(
        self, location: state.ClaimLocation, final: state.Claim
    ) -> None:
        recorded = self._claims.close(location, final)
        recorded.add_done_callback(
            lambda _: self._statuses.forget(final.token)
        )


def open_claim(
    token: str, admitted: _run_admission.AdmittedRequest
) -> state.Claim:
    """Return the open claim of a token for a request."""
    return state.Claim(
        token,
        admitted.content_digest,
        state.ClaimState.OPEN,
        admitted.since_ms,
    )


def replayed(outcome: protocol.Completed) -> protocol.Completed:
    """Return the outcome, marked as replayed."""
    return protocol.Completed(outcome.result, outcome.accepted, True)


def shutting_down() -> protocol.NotRun:
    """Return the refusal of a daemon that accepts no new request."""
    return protocol.NotRun(
        protocol.NotRunReason.SHUTTING_DOWN,
        'this daemon is shutting down; this attempt was not run',
        RETRY_AFTER_MS,
    )


def key_reused() -> protocol.NotRun:
    """Return the refusal of a key that another request has used."""
    return protocol.NotRun(
        protocol.NotRunReason.KEY_REUSED,
        'this request was not run: its idempotency key was used by a request '
        'with another operation or body, which may have run',
        0,
    )
