"""Runs an unrepeatable request at most once and returns its outcome.

A request is sent only after its claim is in the platform's store.  Only the
daemon that opened the claim, its holder, closes it.  Once the holder has told
a caller or a peer that the claim's request completed or was never sent, that
never changes.
"""

import asyncio
import itertools
import random

from samphiredock.coordination.once import _claim_acquirer
from samphiredock.coordination.once import _claim_bucket
from samphiredock.coordination.once import _claim_registry
from samphiredock.coordination.once import _claim_statuses
from samphiredock.coordination.once import _cutoff
from samphiredock.coordination.once import _run_admission
from samphiredock.coordination.once import _run_orders
from samphiredock.coordination.once import _run_request
from samphiredock.coordination.once import _run_sending
from samphiredock.coordination.once import _run_states
from samphiredock import logs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import timers
from samphiredock import transport

DRAIN_LIMIT_MS = 10_000.0
"""How long to wait for requests and their records before stopping."""

_Status = protocol.ClaimStatus
_log = logs.logger('run-once')


class Runner:
    """Claims a request's key in the store, runs it, records the outcome.

    Parameters
    ----------
    name, site, incarnation
        Of this daemon; name and incarnation are part of every claim token.
    view
        Gives the configuration, and which targets and dispatchers to use.
    randomness
        Spreads retries and chooses targets; seeded with the incarnation by
        default.
    quarantine
        Refuses requests that crashed their targets; none by default.
    """

    def __init__(
        self,
        name: str,
        site: str,
        incarnation: int,
        view: _run_sending.RoutingView,
        peers: transport.Peers,
        platform: transport.Platform,
        clock: timers.Timers,
        counters: metrics.Metrics,
        randomness: random.Random | None = None,
        quarantine: _run_request.RunQuarantine | None = None,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._view = view
        self._clock = clock
        self._metrics = counters
        randomness = randomness or random.Random(incarnation)
        self._quarantine = quarantine or _run_request.NoQuarantine()
        # Two processes may have the same name and incarnation: two daemons
        # with one name, or a restart after the clock was set back.  A random
        # first number keeps their tokens apart.
        self._claim_numbers = itertools.count(randomness.getrandbits(48))
        self._runs: dict[str, _run_request.Run] = {}
        self._draining = False
        self._cutoff = _cutoff.Cutoff(clock)
        self._claims = _claim_registry.ClaimRegistry(
            platform, clock, randomness, counters, self._cutoff
        )
        self._statuses = _claim_statuses.ClaimStatuses(
            peers, clock, counters, self._cutoff
        )
        self._recorder = _run_request.OutcomeRecorder(
            self._claims, self._statuses, self._quarantine, counters
        )
        orders = _run_orders.Orders(
            peers,
            clock,
            counters,
            self._recorder.on_late_report,
            self._cutoff,
        )
        self._acquirer = _claim_acquirer.ClaimAcquirer(
            self._claims,
            self._statuses,
            self._recorder,
            counters,
            self._cutoff,
        )
        self._sender = _run_sending.RunSender(
            site,
            view,
            orders,
            self._statuses,
            self._recorder,
            clock,
            randomness,
            counters,
            self._cutoff,
        )

    def in_flight(self) -> int:
        """Return how many requests have no outcome yet."""
        return len(self._runs)

    def unrecorded_count(self) -> int:
        """Return how many closed claims are not recorded in the store yet."""
        return self._claims.unrecorded_count()

    async def run(
        self, request: protocol.RunRequest, idempotency_key: str
    ) -> protocol.RunOutcome:
        """Run one unrepeatable request and return its outcome.

        A second call with the same key joins the pending request.
        """
        admitted = _run_admission.admit(
            request,
            idempotency_key,
            self._view.configuration,
            self._clock.now_ms(),
            self._clock.wall_ms(),
        )
        if isinstance(admitted, protocol.NotRun):
            return self._count_not_run(admitted)
        pending = self._runs.get(admitted.location.digest)
        if pending is not None:
            return self._count_not_run(await self._join(pending, admitted))
        if self._draining:
            return self._count_not_run(_run_request.shutting_down())
        run = self._start(admitted)
        # The request goes on when its caller disconnects: a caller whose
        # connection the balancer closed finds the outcome when it retries.
        return self._count_not_run(await asyncio.shield(run.task))

    def finish_all(self) -> None:
        """Accept no new request and finish the pending ones early.

        Each ends as at its deadline, within
        ``_run_orders.CANCEL_WAIT_MS``; no further order is sent.
        """
        self._draining = True
        self._cutoff.trigger()

    async def drain(self, limit_ms: float = DRAIN_LIMIT_MS) -> int:
        """Accept no new request; wait until the pending ones are recorded.

        Returns how many outcomes were not recorded within ``limit_ms``.
        """
        self._draining = True
        until_ms = self._clock.now_ms() + limit_ms
        for run in list(self._runs.values()):
            await _claim_bucket.wait_until(self._clock, run.task, until_ms)
        await self._claims.wait_recorded(until_ms)
        left = self._claims.unrecorded_count()
        if left:
            _log.warning('outcomes not recorded', count=left)
        return left

    def close(self) -> None:
        """Cancel all requests and stop writing."""
        for run in self._runs.values():
            run.task.cancel()
        self._claims.stop()

    def _start(
        self, admitted: _run_admission.AdmittedRequest
    ) -> _run_request.Run:
        token = protocol.ClaimToken(
            self._name, self._incarnation, next(self._claim_numbers)
        )
        run = _run_request.Run(
            admitted, str(token), _run_states.new_progress()
        )
        self._runs[admitted.location.digest] = run
        self._statuses.track(run.token)
        run.task = asyncio.create_task(self._run_to_outcome(run))
        return run

    async def _join(
        self, run: _run_request.Run, admitted: _run_admission.AdmittedRequest
    ) -> protocol.RunOutcome:
        """Return the outcome of a pending request to a second caller."""
        self._metrics.add('run_joined')
        if run.admitted.content_digest != admitted.content_digest:
            return _run_request.key_reused()
        assert run.task is not None
        if not await _claim_bucket.wait_until(
            self._clock, run.task, admitted.deadline_at_ms
        ):
            return protocol.Unknown(
                'a request with this key is still running',
                _run_request.RETRY_AFTER_MS,
            )
        if run.task.cancelled():
            return protocol.Unknown(
                'this daemon stopped', _run_request.RETRY_AFTER_MS
            )
        outcome = run.task.result()
        if isinstance(outcome, protocol.Completed):
            return _run_request.replayed(outcome)
        return outcome

    async def _run_to_outcome(
        self, run: _run_request.Run
    ) -> protocol.RunOutcome:
        started_ms = self._clock.now_ms()
        try:
            refusal = self._quarantine.refusal(run.admitted.fingerprint)
            if refusal is not None:
                return self._recorder.refuse(run, refusal)
            outcome = await self._acquirer.acquire(run)
            if outcome is None:
                outcome = await self._sender.execute(run)
            return outcome
        finally:
            if self._statuses.status(run.token) is _Status.RUNNING:
                # Cancelled by close(): the claim stays open, so that no
                # other daemon runs the request again.
                self._statuses.update(run.token, _Status.UNSETTLED)
            _run_states.release(run.progress)
            del self._runs[run.admitted.location.digest]
            self._metrics.observe(
                'request_latency_ms',
                self._clock.now_ms() - started_ms,
                service=run.admitted.request.service,
                request_class=run.admitted.operation.request_class,
            )

    def _count_not_run(
        self, outcome: protocol.RunOutcome
    ) -> protocol.RunOutcome:
        if isinstance(outcome, protocol.NotRun):
            self._metrics.add('runs_not_run', reason=outcome.reason.value)
        return outcome
