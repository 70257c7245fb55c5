"""Claims a request's key, or finds the outcome of an existing claim."""

from samphiredock.coordination.once import _claim_bucket
from samphiredock.coordination.once import _claim_registry
from samphiredock.coordination.once import _claim_statuses
from samphiredock.coordination.once import _cutoff
from samphiredock.coordination.once import _run_request
from samphiredock.coordination.once import _run_states
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state

_Status = protocol.ClaimStatus


class ClaimAcquirer:
    """Acquires claims; asks the holder of one that already exists."""

    def __init__(
        self,
        claims: _claim_registry.ClaimRegistry,
        statuses: _claim_statuses.ClaimStatuses,
        recorder: _run_request.OutcomeRecorder,
        counters: metrics.Metrics,
        cutoff: _cutoff.Cutoff,
    ) -> None:
        self._cutoff = cutoff
        self._claims = claims
        self._statuses = statuses
        self._recorder = recorder
        self._metrics = counters

    async def acquire(
        self, run: _run_request.Run
    ) -> protocol.RunOutcome | None:
        """Claim the request's key.

        Returns None once the claim is granted, else the outcome of the
        request: a recorded one, a refusal, or "unknown".
        """
        run.step('claim')
        # The other daemon's open claim whose holder was asked last, and the
        # token of a claim that its holder reported as never sent.
        found: state.Claim | None = None
        replaces: str | None = None
        while True:
            opening = await self._claims.open(
                run.admitted.location,
                run.claim,
                run.admitted.deadline_at_ms,
                replaces,
                force_read=found is not None,
            )
            run.may_be_stored |= opening.may_be_stored
            opened = opening.opened
            if not isinstance(opened, state.OpenDecision):
                return self._not_acquired(run, opened)
            if opened.status is state.OpenStatus.GRANTED:
                run.step('grant')
                return None
            outcome = self._outcome_in_bucket(run, opened)
            if outcome is not None:
                return outcome
            assert opened.claim is not None
            if found is not None and found.token == opened.claim.token:
                # The holder was asked and the bucket read again, and neither
                # gave an outcome.
                return self._recorder.answer_unknown(
                    run, 'another daemon holds the claim and gave no outcome'
                )
            found = opened.claim
            run.step('ask')
            answer = await self._statuses.ask(
                found.token, run.admitted.deadline_at_ms
            )
            if answer is not None and answer.status is _Status.DONE:
                assert answer.outcome is not None
                return self._recorder.replay(run, answer.outcome)
            if answer is not None and answer.status is _Status.NEVER_SENT:
                self._metrics.add('claims_passed_on')
                replaces, found = found.token, None
                run.step('reclaim')

    def _outcome_in_bucket(
        self, run: _run_request.Run, opened: state.OpenDecision
    ) -> protocol.RunOutcome | None:
        """Answer the request if its bucket decides the outcome.

        Returns None for another daemon's open claim: its holder has to be
        asked.
        """
        if opened.status is state.OpenStatus.FULL:
            return self._recorder.answer_not_run(
                run,
                protocol.NotRunReason.OVERLOADED,
                'the bucket object of this key has no room for another '
                'claim; this attempt was not run',
                _run_request.RETRY_AFTER_MS,
            )
        if opened.status is state.OpenStatus.KEY_REUSED:
            return self._refuse_reused_key(run)
        assert opened.claim is not None
        if opened.claim.state is state.ClaimState.DONE:
            return self._replay_recorded(run, opened.claim)
        return None

    def _not_acquired(
        self, run: _run_request.Run, failure: _claim_bucket.Unavailable | None
    ) -> protocol.RunOutcome:
        if run.progress.state is _run_states.RunState.ASKING:
            return self._recorder.answer_unknown(
                run, 'another daemon holds the claim; its outcome is unknown'
            )
        if failure is None and self._cutoff.has_passed():
            return self._recorder.refuse(run, _run_request.shutting_down())
        if failure is None:
            return self._recorder.answer_not_run(
                run,
                protocol.NotRunReason.OVERLOADED,
                'deadline passed before the claim was written',
                _run_request.RETRY_AFTER_MS,
            )
        return self._recorder.answer_not_run(
            run,
            protocol.NotRunReason.PLATFORM_UNAVAILABLE,
            f'this attempt was not run; the outcome of earlier ones with '
            f'its key cannot be read: {failure.detail}',
            _run_request.RETRY_AFTER_MS,
        )

    def _refuse_reused_key(self, run: _run_request.Run) -> protocol.RunOutcome:
        if run.progress.state is _run_states.RunState.ASKING:
            return self._recorder.answer_unknown(
                run,
                'a request with other content replaced the claim whose '
                'outcome was awaited',
            )
        return self._recorder.refuse(run, _run_request.key_reused())

    def _replay_recorded(
        self, run: _run_request.Run, claim: state.Claim
    ) -> protocol.RunOutcome:
        if claim.result_dropped:
            return self._recorder.answer_unknown(
                run, 'the request ran; its result was too large to store'
            )
        return self._recorder.replay(
            run, protocol.Completed(claim.result, claim.accepted, True)
        )
