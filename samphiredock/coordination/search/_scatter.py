"""The state machine of one search: attempts, retries, hedges, outcome.

It does no I/O: events and the time go in, effects come out.
"""

import math
import typing

from samphiredock.coordination.search import _planner
from samphiredock.coordination.search import _scatter_attempts
from samphiredock.coordination.search import _scatter_canary
from samphiredock.coordination.search import _scatter_charges
from samphiredock.coordination.search import _scatter_hedges
from samphiredock.coordination.search import _scatter_restart
from samphiredock.coordination.search import _scatter_results
from samphiredock.coordination.search import _scatter_round
from samphiredock.coordination.search import _scatter_types
from samphiredock import protocol
from samphiredock import state


# The pause before a request content runs again after the loss of a target.
# Other daemons may run the same content, and report their losses meanwhile.
_LOSS_PAUSE_MS = 20.0


_Status = protocol.SubStatus
_Result = _scatter_results.AttemptResult


class Scatter:
    """One search over the shards of an index, until its outcome.

    Parameters
    ----------
    plan
        Describes the search.
    context
        State shared with other searches.
    limits
        The limits in force when the search was planned.
    canary
        Query one shard alone first, and the others when it has succeeded.
    suspect
        A target was lost to this request content: send one attempt at a
        time until one has succeeded.
    """

    def __init__(
        self,
        plan: _planner.Plan,
        context: _scatter_types.ScatterContext,
        limits: state.Limits,
        canary: bool = False,
        suspect: bool = False,
    ) -> None:
        self._plan = plan
        self._context = context
        self._limits = limits
        self._index = plan.search.index
        self._round = _scatter_round.Round(plan, plan.snapshot)
        self._best_older_round: _scatter_round.Round | None = None
        self._attempts = _scatter_attempts.Attempts(
            plan.query_id, self._index, context
        )
        # Status of attempts without an answer: the longest retry_after_ms.
        self._seen_statuses: dict[_Status, int] = {}
        self._may_have_begun = False
        self._finish_effect: _scatter_types.Finish | None = None
        self._snapshot_wait = _scatter_restart.SnapshotWait(
            plan.deadline_at_ms, plan.may_restart
        )
        self._retry_due_ms = math.inf
        self._canary_gate = _scatter_canary.CanaryGate(
            plan.fingerprint, canary, suspect
        )
        self._next_alone_ms = 0.0
        self._answer_due_ms = plan.answer_by_ms
        self._charges = _scatter_charges.Charges(plan, context.budget)
        self.tally = _scatter_types.Tally(
            sub_queries_needed=len(self._round.shards)
        )
        self._hedges = _scatter_hedges.Hedges(
            context,
            self._charges,
            self._index,
            limits,
            self.tally,
            _scatter_hedges.initial_delay_ms(plan),
        )

    # Events.

    def start(self, now_ms: float) -> list[_scatter_types.Effect]:
        """Send the first attempt of every shard, or of the canary only."""
        self._begin_round(now_ms)
        return self._take_effects(now_ms)

    def on_answers(
        self, answers: typing.Iterable[protocol.SubAnswer], now_ms: float
    ) -> list[_scatter_types.Effect]:
        """Process the results of attempts, and retry where that is allowed."""
        for answer in answers:
            attempt = self._attempts.get(answer.attempt_id)
            if attempt is None:
                self.tally.late_answers += 1
            elif answer.target != attempt.item.target:
                # It answers another attempt, so this one stays pending.
                self.tally.mismatched_answers += 1
            else:
                self._on_answer(attempt, answer, now_ms)
        return self._take_effects(now_ms)

    def on_tick(self, now_ms: float) -> list[_scatter_types.Effect]:
        """Process what is due: the deadline, hedges, retries after a pause."""
        if now_ms >= self._plan.deadline_at_ms:
            self._finish()
        if now_ms >= self._hedges.due_ms and not self._finish_effect:
            self._send_hedges(now_ms)
        if now_ms >= self._retry_due_ms:
            self._retry_paused(now_ms)
        if now_ms >= self._answer_due_ms:
            self._answer_due_ms = math.inf
        return self._take_effects(now_ms)

    def on_late(
        self, attempt_ids: typing.Iterable[str], now_ms: float
    ) -> list[_scatter_types.Effect]:
        """Hedge ordered attempts that their daemon reports as late."""
        for attempt_id in attempt_ids:
            attempt = self._attempts.get(attempt_id)
            if attempt is not None:
                attempt.is_ordered = False
        if not self._finish_effect and self._hedges.due_ms < math.inf:
            self._send_hedges(now_ms)
        return self._take_effects(now_ms)

    def on_silent(
        self, attempt_ids: typing.Iterable[str], now_ms: float
    ) -> list[_scatter_types.Effect]:
        """Hedge the attempts of a daemon that is silent about its order.

        All are hedged at once, even if the targets seem overloaded, because
        the daemon's silence says nothing about the targets.
        """
        attempts = [
            self._attempts.get(attempt_id) for attempt_id in attempt_ids
        ]
        silent = [attempt for attempt in attempts if attempt is not None]
        if not self._finish_effect and self._plan.repeatable:
            for shard, candidates in self._hedges.take_silent(
                silent, self._candidates_of, now_ms
            ):
                self._send_attempt(shard, now_ms, candidates, hedge=True)
        return self._take_effects(now_ms)

    def on_member_lost(
        self, member: str, now_ms: float
    ) -> list[_scatter_types.Effect]:
        """Send the attempts of a lost dispatcher to other replicas."""
        for attempt in self._attempts.outstanding():
            if attempt.dispatcher == member and not self._finish_effect:
                self._attempts.remove(attempt, None)
                self._may_have_begun = True
                self._charges.on_lost()
                self._retry(attempt.shard, False, now_ms)
        return self._take_effects(now_ms)

    def finish_now(
        self, now_ms: float, unsent: typing.Iterable[str] = ()
    ) -> list[_scatter_types.Effect]:
        """End the search now, with the outcome that is true at this moment.

        ``unsent`` are the ids of attempts that were not sent and never will
        be, so that they do not count as begun.
        """
        for attempt_id in unsent:
            attempt = self._attempts.get(attempt_id)
            if attempt is not None:
                self._attempts.remove(attempt, None)
                self._charges.on_ended(attempt, _Status.CANCELLED, now_ms)
        self._finish()
        return self._take_effects(now_ms)

    def cancel(self) -> None:
        """Drop all pending attempts, because the caller has disconnected.

        Otherwise they would count as in flight at their targets for ever,
        and the targets would get less work.
        """
        self._attempts.discard_unsent()
        self._attempts.drop_all()

    def next_due_ms(self) -> float:
        """Return when to call :meth:`on_tick` next."""
        due_ms = min(
            self._plan.deadline_at_ms,
            self._hedges.due_ms,
            self._retry_due_ms,
            self._snapshot_wait.next_check_ms(),
            self._answer_due_ms,
        )
        if (
            self._canary_gate.has_waiting()
            and not self._attempts.is_running_alone()
        ):
            due_ms = min(due_ms, self._next_alone_ms)
        return due_ms

    def gather_ms(self) -> float:
        """Return for how many ms a daemon gathers the results of an order."""
        return self._hedges.gather_ms()

    # Attempts.

    def _begin_round(self, now_ms: float) -> None:
        shards = self._round.shards
        self._charges.record_first_attempts(
            [shard.shard.shard_id for shard in shards],
            self._limits.hedge_budget,
        )
        for shard in self._canary_gate.begin(shards):
            self._send_attempt(shard, now_ms)
        self._arm_hedges(now_ms)

    def _arm_hedges(self, now_ms: float) -> None:
        if self._plan.repeatable and self._canary_gate.allows_hedges():
            self._hedges.arm(now_ms)

    def _candidates_of(self, shard: _scatter_round.ShardState) -> list[str]:
        limit = self._plan.max_attempts_per_shard
        if limit and len(shard.started_on) >= limit:
            return []
        is_usable = self._context.targets.is_usable
        tried = shard.tried
        return [
            name
            for name in shard.shard.replicas
            if name not in tried and is_usable(name)
        ]

    def _send_attempt(
        self,
        shard: _scatter_round.ShardState,
        now_ms: float,
        candidates: list[str] | None = None,
        hedge: bool = False,
    ) -> None:
        candidates = candidates or self._candidates_of(shard)
        if not candidates:
            self._on_no_candidate(shard, now_ms)
            return
        target = self._context.replicas.choose(candidates)
        dispatcher = self._context.targets.owner(target)
        self._attempts.send(
            shard,
            self._round,
            target,
            dispatcher,
            now_ms,
            self._canary_gate.must_run_alone(shard),
            hedge,
            self._plan.uses_orders and dispatcher != target,
        )

    def _on_answer(
        self,
        attempt: _scatter_round.Attempt,
        answer: protocol.SubAnswer,
        now_ms: float,
    ) -> None:
        shard = attempt.shard
        status = answer.status
        if not shard.hedge_refusals:
            # Repeated refusals of one hedge count as one sign of overload.
            self._context.latencies.record_overload_sign(
                self._index, status, answer.waited_ms, answer.service_ms
            )
        took_ms = answer.took_ms or now_ms - attempt.sent_ms
        if status is _Status.ANSWERED:
            self._context.latencies.observe(self._index, took_ms)
        else:
            self._seen_statuses[status] = max(
                self._seen_statuses.get(status, 0), answer.retry_after_ms
            )
        result = _scatter_results.classify(
            answer, shard, self._round.snapshot.snapshot_id
        )
        # Only whole answers count as latency: an empty one is always quick.
        is_whole = result is _Result.WHOLE
        self._attempts.remove(attempt, took_ms if is_whole else None)
        if result in _scatter_results.TARGET_FAULTS:
            self._context.replicas.record_failure(attempt.item.target)
        began = status not in protocol.NEVER_STARTED
        if status is not _Status.ANSWERED:
            shard.last_failure = status.value
        self._charges.on_ended(attempt, status, now_ms)
        if began:
            self._may_have_begun = True
        else:
            shard.started_on.discard(attempt.item.target)
        if attempt.item.hedge and status is _Status.NO_IDLE_SLOT:
            self._hedges.on_refused(shard, now_ms)
        if attempt.alone and status is _Status.ANSWERED:
            if self._canary_gate.record_success(shard):
                self._context.crash_tracker.record_success(
                    self._plan.fingerprint
                )
            self._release_held(now_ms)
        if result is _Result.WHOLE:
            self.tally.hedges_won += attempt.item.hedge
            self._settle(shard, now_ms)
        elif result is _Result.QUARANTINED:
            self._finish()
        elif began and not self._plan.repeatable:
            # A retry might run it a second time.
            self._settle(shard, now_ms)
        elif result is _Result.LOST:
            self._on_target_lost(shard, answer, now_ms)
        else:
            rule = _scatter_results.RETRY_RULES[result]
            _scatter_results.apply_rule(rule, answer, shard, self.tally)
            self._retry(shard, rule.uses_budget, now_ms)

    def _on_target_lost(
        self,
        shard: _scatter_round.ShardState,
        answer: protocol.SubAnswer,
        now_ms: float,
    ) -> None:
        """Process the loss of a target while it ran this content.

        The loss counts against the content only if it ran alone.  Otherwise
        another content may have caused it, so this one runs again alone,
        one shard at a time.
        """
        self._canary_gate.record_loss(shard)
        self._hedges.stop()
        self._next_alone_ms = now_ms + _LOSS_PAUSE_MS
        self._charges.on_lost()
        if answer.ran_alone:
            self._context.crash_tracker.record_loss(
                self._plan.fingerprint, answer.target, self._plan.service
            )
        if self._context.crash_tracker.is_quarantined(self._plan.fingerprint):
            self._finish()

    def _release_held(self, now_ms: float) -> None:
        for shard in self._canary_gate.release():
            self._retry(shard, False, now_ms)

    def _run_next_alone(self, now_ms: float) -> None:
        """Query the next shard alone, unless that is no longer needed.

        If the content is quarantined by now, the search ends.  If enough
        canaries were sent, the held shards are queried.
        """
        if self._context.crash_tracker.is_suspect(self._plan.fingerprint):
            self._canary_gate.mark_suspect()
        if self._context.crash_tracker.is_quarantined(self._plan.fingerprint):
            self._finish()
        elif self._canary_gate.has_enough_canaries():
            self._release_held(now_ms)
        else:
            self._retry(
                self._canary_gate.pop_next_shard(), False, now_ms, True
            )

    def _retry(
        self,
        shard: _scatter_round.ShardState,
        uses_budget: bool,
        now_ms: float,
        is_next_alone: bool = False,
    ) -> None:
        """Query another replica, unless an attempt on the shard is pending.

        A shard that must run alone is queued instead, unless
        ``is_next_alone`` says that it was taken from the queue.
        """
        if self._finish_effect or shard.settled or shard.outstanding:
            return
        if self._canary_gate.must_run_alone(shard) and not is_next_alone:
            self._canary_gate.enqueue(shard)
            return
        candidates = self._candidates_of(shard)
        if not candidates:
            self._on_no_candidate(shard, now_ms)
            return
        needs_charge = self._charges.needs_charge(shard, uses_budget)
        if needs_charge and not self._charges.spend_retry(shard, now_ms):
            self.tally.retries_denied += 1
            self._settle(shard, now_ms)
            return
        self._arm_hedges(now_ms)
        self.tally.retries += bool(shard.tried)
        if is_next_alone:
            candidates = [self._canary_gate.choose_replica(candidates)]
        self._send_attempt(shard, now_ms, candidates)

    def _on_no_candidate(
        self, shard: _scatter_round.ShardState, now_ms: float
    ) -> None:
        """Pause, wait for a newer snapshot, or settle the shard."""
        if shard.may_retry_refused():
            if not self._charges.can_retry(shard, now_ms):
                # Waiting would only delay the same outcome.
                self.tally.retries_denied += 1
                self._settle(shard, now_ms)
                return
            shard.schedule_retry(now_ms)
            self._retry_due_ms = min(self._retry_due_ms, shard.retry_at_ms)
        elif shard.snapshot_gone and self._snapshot_wait.may_restart():
            self._snapshot_wait.begin(now_ms)
        else:
            self._settle(shard, now_ms)

    def _settle(self, shard: _scatter_round.ShardState, now_ms: float) -> None:
        self._round.settle(shard)
        if shard.outstanding:
            self._attempts.drop_losers(self._attempts.of_shard(shard), now_ms)

    # Timers.

    def _send_hedges(self, now_ms: float) -> None:
        if self._canary_gate.may_add_canary():
            # Another shard instead of another replica: it is needed anyway,
            # and the content cannot crash two replicas of one shard.
            self._hedges.stop()
            self._run_next_alone(now_ms)
            return
        due = self._hedges.take_due(
            self._attempts, self._candidates_of, now_ms
        )
        for shard, candidates in due:
            if not self._canary_gate.must_run_alone(shard):
                self._send_attempt(shard, now_ms, candidates, hedge=True)

    def _retry_paused(self, now_ms: float) -> None:
        self._retry_due_ms = math.inf
        for shard in self._round.shards:
            at_ms = shard.retry_at_ms
            if at_ms > now_ms:
                self._retry_due_ms = min(self._retry_due_ms, at_ms)
            elif at_ms:
                shard.retry_at_ms = 0.0
                self._retry(shard, False, now_ms)

    # The end of the search.

    def _take_effects(self, now_ms: float) -> list[_scatter_types.Effect]:
        if not self._finish_effect and self._snapshot_wait.is_active():
            self._check_snapshot_wait(now_ms)
        while self._may_run_alone(now_ms):
            self._run_next_alone(now_ms)
        if not self._round.unsettled or self._should_finish(now_ms):
            self._finish()
        effects = self._attempts.collect()
        if self._finish_effect:
            effects.append(self._finish_effect)
        return effects

    def _should_finish(self, now_ms: float) -> bool:
        """Return whether to end the search before all shards are settled.

        From ``answer_by_ms`` on, the least coverage is enough.  If it cannot
        be reached any more, waiting would only delay the outcome.
        """
        if self._finish_effect or self._snapshot_wait.is_active():
            return False
        if (
            now_ms >= self._plan.answer_by_ms
            and self._round.has_least_coverage()
        ):
            return True
        return (
            not self._snapshot_wait.may_restart()
            and self._round.is_least_coverage_unreachable()
        )

    def _may_run_alone(self, now_ms: float) -> bool:
        return (
            not self._finish_effect
            and now_ms >= self._next_alone_ms
            and self._canary_gate.has_waiting()
            and not self._attempts.is_running_alone()
        )

    def _check_snapshot_wait(self, now_ms: float) -> None:
        """Restart all shards on a newer snapshot, or stop waiting for one."""
        newer = self._snapshot_wait.check(
            self._context.targets.snapshot,
            self._round.snapshot,
            self._index,
            self._context.latencies.quantile_ms(self._index, 0.5),
            now_ms,
        )
        if newer is not None:
            self._restart(newer, now_ms)
        elif self._snapshot_wait.has_timed_out(now_ms):
            self._snapshot_wait.give_up()
            for shard in self._round.shards:
                waits = shard.outstanding or shard.retry_at_ms
                if shard.snapshot_gone and not waits:
                    self._settle(shard, now_ms)

    def _restart(self, snapshot: state.Snapshot, now_ms: float) -> None:
        self.tally.search_restarts += 1
        self._snapshot_wait.record_restart()
        self._retry_due_ms = math.inf
        self._may_have_begun = self._may_have_begun or len(self._attempts) > 0
        self._attempts.drop_losers(self._attempts.outstanding(), now_ms)
        self._attempts.discard_unsent()
        if (
            self._best_older_round is None
            or self._best_older_round.covered_keys()
            < self._round.covered_keys()
        ):
            self._best_older_round = self._round
        self._round = _scatter_round.Round(self._plan, snapshot)
        self._begin_round(now_ms)

    def _finish(self) -> None:
        if self._finish_effect:
            return
        self._may_have_begun = self._may_have_begun or len(self._attempts) > 0
        self._attempts.discard_unsent()
        self._attempts.drop_all()
        self._hedges.stop()
        self._retry_due_ms = math.inf
        self.tally.sub_queries_sent = self._attempts.sent
        self._finish_effect = _scatter_types.Finish(
            _scatter_round.outcome_of(
                self._round,
                self._best_older_round,
                self._seen_statuses,
                self._may_have_begun,
            ),
            self._round.accepted(),
        )
