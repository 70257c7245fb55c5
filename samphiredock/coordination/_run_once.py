"""Run an unrepeatable request at most once, and say truly what became of it.

The order of steps is the safeguard: a claim is in the platform's store
before anything is sent, only its holder ends it, and what the holder says
to a caller or a peer about it is never taken back.
"""

import asyncio
import dataclasses
import itertools
import random
import typing

from samphiredock.coordination import _claim_book
from samphiredock.coordination import _claim_bucket
from samphiredock.coordination import _claim_holders
from samphiredock.coordination import _run_admission
from samphiredock.coordination import _run_orders
from samphiredock.coordination import _run_states
from samphiredock import logs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

TARGET_LIMIT = 3
"""How many targets are tried, one after another, each proved not begun."""

CANCEL_SHARE = 0.2
CANCEL_MARGIN_LIMIT_MS = _run_orders.CANCEL_WAIT_MS
"""The end of the budget is kept for asking the dispatcher to stop."""

RETRY_AFTER_MS = 1_000
DRAIN_LIMIT_MS = 10_000.0

_STATUS_REASON = {
    protocol.SubStatus.SHED: protocol.NotRunReason.OVERLOADED,
    protocol.SubStatus.NO_IDLE_SLOT: protocol.NotRunReason.OVERLOADED,
    protocol.SubStatus.EXPIRED: protocol.NotRunReason.OVERLOADED,
    protocol.SubStatus.CANCELLED: protocol.NotRunReason.OVERLOADED,
    protocol.SubStatus.QUARANTINED: protocol.NotRunReason.QUARANTINED,
}

_Status = protocol.ClaimStatus
_log = logs.logger('run-once')


class View(typing.Protocol):
    """What the runner reads of the daemon's knowledge."""

    @property
    def configuration(self) -> state.Configuration | None:
        """The revision in force here."""

    def owner(self, target: str) -> str | None:
        """The daemon that dispatches for a target."""

    def is_usable(self, target: str) -> bool:
        """Whether a target may get new work."""


class RunQuarantine(typing.Protocol):
    """Knows the requests that crashed the targets that ran them."""

    def refusal(self, fingerprint: str) -> protocol.NotRun | None:
        """Return the refusal of a quarantined request."""

    def note_lost(self, fingerprint: str, target: str) -> None:
        """A target was lost while it ran the request."""

    def note_succeeded(self, fingerprint: str) -> None:
        """A target answered the request."""


class NoQuarantine:
    """Refuses nothing."""

    def refusal(self, fingerprint: str) -> protocol.NotRun | None:
        """Return no refusal."""
        return None

    def note_lost(self, fingerprint: str, target: str) -> None:
        """Ignore it."""

    def note_succeeded(self, fingerprint: str) -> None:
        """Ignore it."""


@dataclasses.dataclass(slots=True, eq=False)
class _Run:
    """One request that this daemon tries to claim and run."""

    admitted: _run_admission.Admitted
    token: str
    progress: _run_states.RunProgress
    task: asyncio.Task | None = None
    attempts: int = 0
    may_be_stored: bool = False


class Runner:
    """Claim a key in the platform's store, run it, record the outcome.

    Parameters
    ----------
    name, site, incarnation
        Of this daemon; name and incarnation are part of every claim.
    randomness
        Seeded; spreads retries and the choice of targets.
    quarantine
        Refuses requests that crashed their targets.
    """

    def __init__(
        self,
        name: str,
        site: str,
        incarnation: int,
        view: View,
        peers: transport.Peers,
        platform: transport.Platform,
        clock: timers.Timers,
        counters: metrics.Metrics,
        randomness: random.Random | None = None,
        quarantine: RunQuarantine | None = None,
    ) -> None:
        self._name = name
        self._site = site
        self._incarnation = incarnation
        self._view = view
        self._clock = clock
        self._metrics = counters
        self._random = randomness or random.Random(incarnation)
        self._quarantine = quarantine or NoQuarantine()
        self._numbers = itertools.count(1)
        self._live: dict[str, _Run] = {}
        self._unsettled: dict[str, _run_admission.Admitted] = {}
        self._draining = False
        self._book = _claim_book.ClaimBook(
            platform, clock, self._random, counters
        )
        self._holders = _claim_holders.Holders(peers, clock, counters)
        self._orders = _run_orders.Orders(
            peers, clock, counters, self._on_late_report
        )

    def in_flight(self) -> int:
        """Return how many requests are not answered yet."""
        return len(self._live)

    def unrecorded(self) -> int:
        """Return how many ends of claims are not in the store yet."""
        return self._book.unrecorded()

    async def run(
        self, request: protocol.RunRequest, idempotency_key: str
    ) -> protocol.RunOutcome:
        """Run one unrepeatable request to its outcome."""
        admitted = _run_admission.admit(
            request,
            idempotency_key,
            self._view.configuration,
            self._clock.now_ms(),
            self._clock.wall_ms(),
        )
        if isinstance(admitted, protocol.NotRun):
            return self._counted(admitted)
        live = self._live.get(admitted.place.digest)
        if live is not None:
            return self._counted(await self._join(live, admitted))
        if self._draining:
            return self._counted(
                protocol.NotRun(
                    protocol.NotRunReason.SHUTTING_DOWN,
                    'this daemon is leaving; this attempt was not run',
                    RETRY_AFTER_MS,
                )
            )
        run = self._start(admitted)
        # The request goes on when its caller is gone: a caller that the
        # balancer cut off must find the recorded outcome when it retries.
        return self._counted(await asyncio.shield(run.task))

    async def drain(self, limit_ms: float = DRAIN_LIMIT_MS) -> int:
        """Take no new request; finish and record those there are.

        Returns how many outcomes could not be recorded in time.
        """
        self._draining = True
        until_ms = self._clock.now_ms() + limit_ms
        for run in list(self._live.values()):
            await _claim_bucket.wait_until(self._clock, run.task, until_ms)
        await self._book.settled(until_ms)
        left = self._book.unrecorded()
        if left:
            _log.warning('outcomes not recorded', count=left)
        return left

    def close(self) -> None:
        """Stop everything at once."""
        for run in self._live.values():
            run.task.cancel()
        self._book.stop()

    def _start(self, admitted: _run_admission.Admitted) -> _Run:
        token = protocol.ClaimToken(
            self._name, self._incarnation, next(self._numbers)
        )
        run = _Run(admitted, str(token), _run_states.new_progress())
        self._live[admitted.place.digest] = run
        self._holders.begin(run.token)
        run.task = asyncio.create_task(self._drive(run))
        return run

    async def _join(
        self, run: _Run, admitted: _run_admission.Admitted
    ) -> protocol.RunOutcome:
        """Give a second request the outcome of the one that is running."""
        self._metrics.add('run_joined')
        if run.admitted.content != admitted.content:
            return _key_reused()
        assert run.task is not None
        if not await _claim_bucket.wait_until(
            self._clock, run.task, admitted.deadline_at_ms
        ):
            return protocol.Unknown(
                'the same request is running', RETRY_AFTER_MS
            )
        if run.task.cancelled():
            return protocol.Unknown('this daemon stopped', RETRY_AFTER_MS)
        outcome = run.task.result()
        if isinstance(outcome, protocol.Completed):
            return _replayed(outcome)
        return outcome

    async def _drive(self, run: _Run) -> protocol.RunOutcome:
        try:
            refusal = self._quarantine.refusal(run.admitted.fingerprint)
            if refusal is not None:
                return self._refuse(run, refusal)
            outcome = await self._obtain(run)
            if outcome is None:
                outcome = await self._execute(run)
            return outcome
        finally:
            if self._holders.status(run.token) is _Status.RUNNING:
                # Stopped from outside: the claim stays, nobody reruns it.
                self._holders.change(run.token, _Status.UNSETTLED)
            _run_states.release(run.progress)
            del self._live[run.admitted.place.digest]

    # The claim.

    async def _obtain(self, run: _Run) -> protocol.RunOutcome | None:
        """Claim the key; an outcome if it cannot be claimed."""
        self._step(run, 'claim')
        met: state.Claim | None = None
        replaces: str | None = None
        while True:
            ended = await self._book.open(
                run.admitted.place,
                run.token,
                run.admitted.content,
                run.admitted.deadline_at_ms,
                replaces,
                distrust=met is not None,
            )
            run.may_be_stored |= ended.may_be_stored
            opened = ended.opened
            if not isinstance(opened, state.Opened):
                return self._unclaimed(run, opened)
            if opened.verdict is state.Verdict.GRANTED:
                self._step(run, 'grant')
                return None
            if opened.verdict is state.Verdict.FULL:
                return self._not_run(
                    run,
                    protocol.NotRunReason.OVERLOADED,
                    'too many keys were issued in the same seconds; this '
                    'request was not run, send it with a new key',
                    RETRY_AFTER_MS,
                )
            if opened.verdict is state.Verdict.KEY_REUSED:
                return self._reused(run)
            assert opened.claim is not None
            if opened.claim.state is state.ClaimState.DONE:
                return self._replay(run, opened.claim)
            if met is not None and met.token == opened.claim.token:
                return self._lose(run, 'the holder of the claim is silent')
            met = opened.claim
            self._step(run, 'meet')
            answer = await self._holders.ask(
                met.token, run.admitted.deadline_at_ms
            )
            if answer is not None and answer.status is _Status.DONE:
                assert answer.outcome is not None
                return self._given(run, answer.outcome)
            if answer is not None and answer.status is _Status.NEVER_SENT:
                self._metrics.add('claims_passed_on')
                replaces, met = met.token, None
                self._step(run, 'retake')

    def _unclaimed(
        self, run: _Run, failure: _claim_bucket.Unavailable | None
    ) -> protocol.RunOutcome:
        if run.progress.state is _run_states.RunState.ASKING:
            return self._lose(run, 'claimed by another, its end not known')
        if failure is None:
            return self._not_run(
                run,
                protocol.NotRunReason.OVERLOADED,
                'the claim was not written within the deadline',
                RETRY_AFTER_MS,
            )
        return self._not_run(
            run,
            protocol.NotRunReason.PLATFORM_UNAVAILABLE,
            f'this attempt was not run; what became of earlier ones with '
            f'its key cannot be read: {failure.detail}',
            RETRY_AFTER_MS,
        )

    def _reused(self, run: _Run) -> protocol.RunOutcome:
        if run.progress.state is _run_states.RunState.ASKING:
            return self._lose(run, 'the claim changed while it was awaited')
        return self._refuse(run, _key_reused())

    def _replay(self, run: _Run, claim: state.Claim) -> protocol.RunOutcome:
        if claim.result_dropped:
            return self._lose(
                run, 'the request ran; its result was too large to be kept'
            )
        return self._given(
            run, protocol.Completed(claim.result, claim.accepted, True)
        )

    def _given(
        self, run: _Run, outcome: protocol.Completed
    ) -> protocol.RunOutcome:
        """Answer with the outcome of another claim."""
        self._step(run, 'complete')
        self._metrics.add('run_replayed')
        self._give_up(run)
        return _replayed(outcome)

    # The order to a target.

    async def _execute(self, run: _Run) -> protocol.RunOutcome:
        """Send the claimed request, to another target if proved unbegun."""
        tried: set[str] = set()
        reason = protocol.NotRunReason.NO_TARGET
        detail = 'no target of the operation may get work'
        retry_after_ms = RETRY_AFTER_MS
        for _ in range(TARGET_LIMIT):
            refusal = self._last_check(run)
            if refusal is not None:
                return self._refuse(run, refusal)
            target = self._choose(run, tried)
            if target is None:
                break
            tried.add(target)
            ended = await self._attempt(run, target)
            if not isinstance(ended, protocol.RunReport):
                return ended
            reason = _STATUS_REASON.get(
                ended.status, protocol.NotRunReason.NO_TARGET
            )
            detail = f'{target}: {ended.status.value} {ended.detail}'
            retry_after_ms = ended.retry_after_ms or RETRY_AFTER_MS
        return self._not_run(run, reason, detail, retry_after_ms)

    def _last_check(self, run: _Run) -> protocol.NotRun | None:
        """Check at the last moment whether the request may be sent.

        A process that was frozen since the claim wakes here.  Its claim is
        still its own, for nobody takes one from a silent holder; but its
        deadline may have passed, and its caller be gone.
        """
        assert self._holders.status(run.token) is _Status.RUNNING
        admitted = run.admitted
        if self._clock.now_ms() >= admitted.deadline_at_ms:
            self._metrics.add('run_too_late_to_send')
            return protocol.NotRun(
                protocol.NotRunReason.OVERLOADED,
                'the deadline passed before the request was sent',
                RETRY_AFTER_MS,
            )
        # The monotonic clock stops when a machine is suspended.
        return _run_admission.stale_key(
            admitted.request, admitted.retention_ms, self._clock.wall_ms()
        )

    def _choose(self, run: _Run, tried: set[str]) -> str | None:
        targets = [
            name
            for name in run.admitted.operation.targets
            if name not in tried and self._view.is_usable(name)
        ]
        return self._random.choice(targets) if targets else None

    async def _attempt(
        self, run: _Run, target: str
    ) -> protocol.RunOutcome | protocol.RunReport:
        """Send to one target; a report if it proves that none began."""
        run.attempts += 1
        order = self._order(run, target)
        owner = self._view.owner(target)
        self._step(run, 'send')
        if owner is None or not self._orders.send(run.token, owner, order):
            self._step(run, 'disprove')
            return protocol.RunReport(
                order.attempt_id,
                target,
                protocol.SubStatus.NOT_OWNER,
                detail='no dispatcher can be reached',
            )
        report = await self._orders.report(
            order.attempt_id, self._cancel_at_ms(run)
        )
        self._note_lost(run.admitted, report)
        if report is None or not _run_orders.is_final(report):
            self._step(run, 'cancel')
            report = await self._orders.cancel(
                order.attempt_id, run.admitted.deadline_at_ms
            )
        if report is None:
            outcome = self._lose(run, f'{target}: no answer in time')
            self._orders.leave(order.attempt_id)
            return outcome
        self._orders.settle(order.attempt_id)
        if _run_orders.proves_not_begun(report):
            self._step(run, 'disprove')
            self._metrics.add('run_proved_not_begun')
            return report
        self._step(run, 'complete')
        return self._ran(run.token, run.admitted, report)

    def _cancel_at_ms(self, run: _Run) -> float:
        left_ms = run.admitted.deadline_at_ms - self._clock.now_ms()
        margin_ms = min(CANCEL_MARGIN_LIMIT_MS, left_ms * CANCEL_SHARE)
        return run.admitted.deadline_at_ms - margin_ms

    def _order(self, run: _Run, target: str) -> protocol.RunOrder:
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

    def _note_lost(
        self,
        admitted: _run_admission.Admitted,
        report: protocol.RunReport | None,
    ) -> None:
        if report is not None and report.target_lost:
            self._quarantine.note_lost(admitted.fingerprint, report.target)

    # The ends.

    def _ran(
        self,
        token: str,
        admitted: _run_admission.Admitted,
        report: protocol.RunReport,
    ) -> protocol.Completed:
        """A target ran it: tell who asked, and record it in background."""
        self._quarantine.note_succeeded(admitted.fingerprint)
        outcome = protocol.Completed(report.result, report.accepted, False)
        self._holders.change(token, _Status.DONE, outcome)
        self._metrics.add('runs_completed')
        self._close(
            admitted.place,
            state.closed_claim(
                token, admitted.content, report.accepted, report.result
            ),
        )
        return outcome

    def _on_late_report(self, token: str, report: protocol.RunReport) -> None:
        """Record the true end of a request that was called unknown."""
        admitted = self._unsettled.pop(token, None)
        if admitted is None or (
            self._holders.status(token) is not _Status.UNSETTLED
        ):
            return
        if _run_orders.proves_not_begun(report):
            self._holders.change(token, _Status.NEVER_SENT)
            self._close_not_run(token, admitted)
            return
        self._ran(token, admitted, report)

    def _lose(self, run: _Run, detail: str) -> protocol.Unknown:
        """Answer that the end is not known."""
        before = run.progress.state
        self._step(run, 'lose')
        self._metrics.add('runs_unknown')
        if before in (
            _run_states.RunState.SENT,
            _run_states.RunState.CANCELLING,
        ):
            self._holders.change(run.token, _Status.UNSETTLED)
            self._unsettled[run.token] = run.admitted
            while len(self._unsettled) > _run_orders.OUTSTANDING_LIMIT:
                del self._unsettled[next(iter(self._unsettled))]
        else:
            self._give_up(run)
        return protocol.Unknown(detail, RETRY_AFTER_MS)

    def _not_run(
        self,
        run: _Run,
        reason: protocol.NotRunReason,
        detail: str,
        retry_after_ms: int,
    ) -> protocol.NotRun:
        return self._refuse(
            run, protocol.NotRun(reason, detail, retry_after_ms)
        )

    def _refuse(self, run: _Run, refusal: protocol.NotRun) -> protocol.NotRun:
        """Answer that the request was not run, and see that it never is."""
        assert run.progress.state in _run_states.MAY_ANSWER_NOT_RUN, (
            f'{run.token}: not run cannot be said in {run.progress.state}'
        )
        self._step(run, 'refuse')
        self._give_up(run)
        return refusal

    def _give_up(self, run: _Run) -> None:
        """Promise never to send, then free the key if it may be claimed."""
        self._holders.change(run.token, _Status.NEVER_SENT)
        if run.may_be_stored:
            self._metrics.add('claims_given_up')
            self._close_not_run(run.token, run.admitted)
        else:
            self._holders.forget(run.token)

    def _close_not_run(
        self, token: str, admitted: _run_admission.Admitted
    ) -> None:
        self._close(
            admitted.place,
            state.Claim(token, admitted.content, state.ClaimState.NOT_RUN),
        )

    def _close(self, place: state.Place, final: state.Claim) -> None:
        recorded = self._book.close(place, final)
        recorded.add_done_callback(lambda _: self._holders.forget(final.token))

    def _step(self, run: _Run, trigger: str) -> None:
        _run_states.step(run.progress, trigger)

    def _counted(self, outcome: protocol.RunOutcome) -> protocol.RunOutcome:
        if isinstance(outcome, protocol.NotRun):
            self._metrics.add('runs_not_run', reason=outcome.reason.value)
        return outcome


def _replayed(outcome: protocol.Completed) -> protocol.Completed:
    """Return the outcome marked as a recorded one."""
    return protocol.Completed(outcome.result, outcome.accepted, True)


def _key_reused() -> protocol.NotRun:
    return protocol.NotRun(
        protocol.NotRunReason.KEY_REUSED,
        'this request was not run: its idempotency key belongs to a request '
        'with another operation or body, which may have run',
        0,
    )
