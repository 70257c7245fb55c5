"""The decisions of one search: which attempt to send, and when it is done.

A pure object: answers and ticks go in, effects come out.
"""

import math
import typing

from samphiredock.coordination.search import _planner
from samphiredock.coordination.search import _scatter_attempts
from samphiredock.coordination.search import _scatter_caution
from samphiredock.coordination.search import _scatter_hedges
from samphiredock.coordination.search import _scatter_judge
from samphiredock.coordination.search import _scatter_restart
from samphiredock.coordination.search import _scatter_round
from samphiredock.coordination.search import _scatter_types
from samphiredock import protocol
from samphiredock import state


# Before a content that lost a target is tried again: in this time the news
# of a copy that another daemon ran at the same moment arrives.
_SUSPECT_PAUSE_MS = 20.0


_Status = protocol.SubStatus
_Verdict = _scatter_judge.Verdict


class Scatter:
    """One search in flight.

    Parameters
    ----------
    plan
        What the search is; every merged answer is read at one snapshot.
    tools
        Shared records and the budget.
    limits
        Limits in force when the search was planned.
    canary
        Send one shard alone first; the others follow when it succeeded.
    suspect
        One target was lost to this content: no two attempts at a time
        until one has succeeded.
    """

    def __init__(
        self,
        plan: _planner.Plan,
        tools: _scatter_types.Tools,
        limits: state.Limits,
        canary: bool = False,
        suspect: bool = False,
    ) -> None:
        self._plan = plan
        self._tools = tools
        self._limits = limits
        self._index = plan.search.index
        self._round = _scatter_round.Round(plan, plan.snapshot)
        self._older: _scatter_round.Round | None = None
        self._attempts = _scatter_attempts.Attempts(
            plan.query_id, self._index, tools
        )
        self._seen: dict[_Status, int] = {}
        self._began = False
        self._finish_effect: _scatter_types.Finish | None = None
        self._wait = _scatter_restart.SnapshotWait(
            plan.deadline_at_ms, plan.may_restart
        )
        self._again_due_ms = math.inf
        self._caution = _scatter_caution.Caution(
            plan.fingerprint, canary, suspect
        )
        self._trial_at_ms = 0.0
        self._answer_due_ms = plan.answer_by_ms
        self.tally = _scatter_types.Tally(
            sub_queries_needed=len(self._round.shards)
        )
        self._hedges = _scatter_hedges.Hedges(
            tools,
            self._index,
            limits,
            self.tally,
            _scatter_hedges.first_delay_ms(plan),
        )

    # Inputs.

    def start(self, now_ms: float) -> list[_scatter_types.Effect]:
        """Send the first attempt of every shard, or the canary's."""
        self._begin_round(now_ms)
        return self._done(now_ms)

    def on_answers(
        self, answers: typing.Iterable[protocol.SubAnswer], now_ms: float
    ) -> list[_scatter_types.Effect]:
        """Take ended attempts in; retry those that may be."""
        for answer in answers:
            attempt = self._attempts.get(answer.attempt_id)
            if attempt is None:
                self.tally.late_answers += 1
            elif answer.target != attempt.item.target:
                # Not the answer to this attempt, which may still come.
                self.tally.mismatched_answers += 1
            else:
                self._take(attempt, answer, now_ms)
        return self._done(now_ms)

    def on_tick(self, now_ms: float) -> list[_scatter_types.Effect]:
        """Do what has fallen due: deadline, hedges, second tries."""
        if now_ms >= self._plan.deadline_at_ms:
            self._finish()
        if now_ms >= self._hedges.due_ms and not self._finish_effect:
            self._send_hedges(now_ms)
        if now_ms >= self._again_due_ms:
            self._try_again(now_ms)
        if now_ms >= self._answer_due_ms:
            self._answer_due_ms = math.inf
        return self._done(now_ms)

    def on_late(
        self, attempt_ids: typing.Iterable[str], now_ms: float
    ) -> list[_scatter_types.Effect]:
        """Hedge what another daemon has asked and says is late."""
        for attempt_id in attempt_ids:
            attempt = self._attempts.get(attempt_id)
            if attempt is not None:
                attempt.is_ordered = False
        if not self._finish_effect and self._hedges.due_ms < math.inf:
            self._send_hedges(now_ms)
        return self._done(now_ms)

    def on_silent(
        self, attempt_ids: typing.Iterable[str], now_ms: float
    ) -> list[_scatter_types.Effect]:
        """Hedge what a daemon was to ask that has reported nothing in time.

        Also while the targets seem overloaded, and all at once: that the
        daemon is silent says nothing of them.
        """
        attempts = [self._attempts.get(row) for row in attempt_ids]
        silent = [row for row in attempts if row is not None]
        if not self._finish_effect and self._plan.repeatable:
            for shard, candidates in self._hedges.take_silent(
                silent, self._open_to
            ):
                self._attempt(shard, now_ms, candidates, hedge=True)
        return self._done(now_ms)

    def on_member_lost(
        self, member: str, now_ms: float
    ) -> list[_scatter_types.Effect]:
        """Retry elsewhere what a lost dispatcher had."""
        for attempt in self._attempts.outstanding():
            if attempt.dispatcher == member and not self._finish_effect:
                self._attempts.end(attempt, None)
                self._began = True
                self._tools.budget.owe(attempt.shard.shard.shard_id)
                self._retry(attempt.shard, False, now_ms)
        return self._done(now_ms)

    def give_up(
        self, now_ms: float, unsent: typing.Iterable[str] = ()
    ) -> list[_scatter_types.Effect]:
        """Nothing that is under way can be awaited any longer.

        The caller is told what is known now: what came, that nothing was
        sent, or that it may have run.  ``unsent`` are attempts that have not
        gone out, and will not.
        """
        for attempt_id in unsent:
            attempt = self._attempts.get(attempt_id)
            if attempt is not None:
                self._attempts.end(attempt, None)
        self._finish()
        return self._done(now_ms)

    def abandon(self) -> None:
        """The caller has left: nothing that is under way is awaited.

        Each attempt counts as in flight at its target until it has ended;
        those that never did would keep the target from getting work.
        """
        self._attempts.discard_unsent()
        self._attempts.drop_all()

    def next_due_ms(self) -> float:
        """Return when :meth:`on_tick` has something to do."""
        due_ms = min(
            self._plan.deadline_at_ms,
            self._hedges.due_ms,
            self._again_due_ms,
            self._wait.due_ms(),
            self._answer_due_ms,
        )
        if self._caution.is_waiting() and not self._attempts.has_alone():
            due_ms = min(due_ms, self._trial_at_ms)
        return due_ms

    def gather_ms(self) -> float:
        """Return for how long the parts of an order are to be gathered."""
        return self._hedges.gather_ms()

    # Attempts.

    def _begin_round(self, now_ms: float) -> None:
        shards = self._round.shards
        self._tools.budget.note_needed(
            [shard.shard.shard_id for shard in shards],
            self._limits.hedge_budget,
        )
        for shard in self._caution.begin(shards):
            self._attempt(shard, now_ms)
        self._arm_hedges(now_ms)

    def _arm_hedges(self, now_ms: float) -> None:
        if self._plan.repeatable and self._caution.allows_hedges():
            self._hedges.arm(now_ms)

    def _open_to(self, shard: _scatter_round.ShardState) -> list[str]:
        limit = self._plan.attempts_per_shard
        if limit and len(shard.ran) >= limit:
            return []
        is_usable = self._tools.routes.is_usable
        tried = shard.tried
        return [
            name
            for name in shard.shard.replicas
            if name not in tried and is_usable(name)
        ]

    def _attempt(
        self,
        shard: _scatter_round.ShardState,
        now_ms: float,
        candidates: list[str] | None = None,
        hedge: bool = False,
    ) -> None:
        candidates = candidates or self._open_to(shard)
        if not candidates:
            self._give_up(shard, now_ms)
            return
        target = self._tools.replicas.choose(candidates)
        dispatcher = self._tools.routes.owner(target)
        self._attempts.send(
            shard,
            self._round,
            target,
            dispatcher,
            now_ms,
            self._caution.is_alone(shard),
            hedge,
            self._plan.orders and dispatcher != target,
        )

    def _take(
        self,
        attempt: _scatter_round.Attempt,
        answer: protocol.SubAnswer,
        now_ms: float,
    ) -> None:
        shard = attempt.shard
        status = answer.status
        if not shard.hedge_refusals:
            # The second refusal of one hedge is no second sign of overload.
            self._tools.latencies.note(
                self._index, status, answer.waited_ms, answer.service_ms
            )
        took_ms = answer.took_ms or now_ms - attempt.sent_ms
        if status is _Status.ANSWERED:
            self._tools.latencies.observe(self._index, took_ms)
        else:
            self._seen[status] = max(
                self._seen.get(status, 0), answer.retry_after_ms
            )
        verdict = _scatter_judge.judge(
            answer, shard, self._round.snapshot.snapshot_id
        )
        # A quick empty answer is no sign of a quick replica.
        useful = verdict is _Verdict.WHOLE
        self._attempts.end(attempt, took_ms if useful else None)
        if verdict in _scatter_judge.TARGET_FAULTS:
            self._tools.replicas.record_failure(attempt.item.target)
        began = status not in protocol.NEVER_STARTED
        charged = status in self._tools.budget.also_charged
        if began:
            self._began = True
        else:
            shard.ran.discard(attempt.item.target)
        if attempt.item.hedge and not began and not charged:
            self._tools.budget.refund(shard.shard.shard_id)
        if attempt.item.hedge and status is _Status.NO_IDLE_SLOT:
            self._hedges.refused(shard, now_ms)
        if attempt.alone and status is _Status.ANSWERED:
            if self._caution.note_succeeded(shard):
                self._tools.suspicions.note_succeeded(self._plan.fingerprint)
            self._release(now_ms)
        if verdict is _Verdict.WHOLE:
            self.tally.hedges_won += attempt.item.hedge
            self._settle(shard, now_ms)
        elif verdict is _Verdict.QUARANTINED:
            self._finish()
        elif began and not self._plan.repeatable:
            # Another target would run it a second time.
            self._settle(shard, now_ms)
        elif verdict is _Verdict.LOST:
            self._take_loss(shard, answer, now_ms)
        else:
            rule = _scatter_judge.RETRY_RULES[verdict]
            _scatter_judge.apply(rule, answer, shard, self.tally)
            self._retry(shard, rule.costly or charged, now_ms)

    def _take_loss(
        self,
        shard: _scatter_round.ShardState,
        answer: protocol.SubAnswer,
        now_ms: float,
    ) -> None:
        """A target died under this content, or under a neighbour's.

        Only a loss while the content ran alone counts against it; else it
        is run again alone, one shard at a time, which tells the two apart.
        """
        self._caution.note_lost(shard)
        self._hedges.stop()
        self._trial_at_ms = now_ms + _SUSPECT_PAUSE_MS
        self._tools.budget.owe(shard.shard.shard_id)
        if answer.ran_alone:
            self._tools.suspicions.note_lost(
                self._plan.fingerprint, answer.target, self._plan.service
            )
        if self._tools.suspicions.is_quarantined(self._plan.fingerprint):
            self._finish()

    def _release(self, now_ms: float) -> None:
        for shard in self._caution.release():
            self._retry(shard, False, now_ms)

    def _next_trial(self, now_ms: float) -> None:
        """Ask one shard alone, unless the content has been judged."""
        if self._tools.suspicions.is_suspect(self._plan.fingerprint):
            self._caution.suspect()
        if self._tools.suspicions.is_quarantined(self._plan.fingerprint):
            self._finish()
        elif self._caution.needs_no_more():
            self._release(now_ms)
        else:
            self._retry(self._caution.next_shard(), False, now_ms, True)

    def _retry(
        self,
        shard: _scatter_round.ShardState,
        costly: bool,
        now_ms: float,
        its_turn: bool = False,
    ) -> None:
        """Try another replica, unless one is still at it."""
        if self._finish_effect or shard.settled or shard.outstanding:
            return
        if self._caution.is_alone(shard) and not its_turn:
            self._caution.wait(shard)
            return
        candidates = self._open_to(shard)
        if not candidates:
            self._give_up(shard, now_ms)
            return
        shard_id = shard.shard.shard_id
        if costly and not self._tools.budget.spend_retry(shard_id):
            self.tally.retries_denied += 1
            self._settle(shard, now_ms)
            return
        self._arm_hedges(now_ms)
        self.tally.retries += bool(shard.tried)
        if its_turn:
            candidates = [self._caution.choose(candidates)]
        self._attempt(shard, now_ms, candidates)

    def _give_up(
        self, shard: _scatter_round.ShardState, now_ms: float
    ) -> None:
        """No replica is left: pause, wait for a snapshot, or settle."""
        if shard.may_pause():
            shard.pause(now_ms)
            self._again_due_ms = min(self._again_due_ms, shard.again_at_ms)
        elif shard.gone and self._wait.may_restart():
            self._wait.begin(now_ms)
        else:
            self._settle(shard, now_ms)

    def _settle(self, shard: _scatter_round.ShardState, now_ms: float) -> None:
        self._round.settle(shard)
        if shard.outstanding:
            self._attempts.drop_losers(self._attempts.on(shard), now_ms)

    # Time.

    def _send_hedges(self, now_ms: float) -> None:
        if self._caution.may_add_canary():
            # Another shard, not another replica: it is needed anyhow, and
            # two replicas of one shard are not risked for one content.
            self._hedges.stop()
            self._next_trial(now_ms)
            return
        due = self._hedges.take_due(self._attempts, self._open_to, now_ms)
        for shard, candidates in due:
            if not self._caution.is_alone(shard):
                self._attempt(shard, now_ms, candidates, hedge=True)

    def _try_again(self, now_ms: float) -> None:
        self._again_due_ms = math.inf
        for shard in self._round.shards:
            at_ms = shard.again_at_ms
            if at_ms > now_ms:
                self._again_due_ms = min(self._again_due_ms, at_ms)
            elif at_ms:
                shard.again_at_ms = 0.0
                self._retry(shard, False, now_ms)

    # The end.

    def _done(self, now_ms: float) -> list[_scatter_types.Effect]:
        if not self._finish_effect and self._wait.is_on():
            self._resolve_stuck(now_ms)
        while self._may_try(now_ms):
            self._next_trial(now_ms)
        if not self._round.unsettled or self._is_enough(now_ms):
            self._finish()
        effects = self._attempts.collect()
        if self._finish_effect:
            effects.append(self._finish_effect)
        return effects

    def _is_enough(self, now_ms: float) -> bool:
        """Whether waiting on would cost the caller more than it gains.

        An answer is due at ``answer_by_ms``: the caller is better served
        by the least coverage in time than by all of it too late.  When the
        least is out of reach, the caller learns it at once.
        """
        if self._finish_effect or self._wait.is_on():
            return False
        if now_ms >= self._plan.answer_by_ms and self._round.has_least():
            return True
        return not self._wait.may_restart() and self._round.is_hopeless()

    def _may_try(self, now_ms: float) -> bool:
        return (
            not self._finish_effect
            and now_ms >= self._trial_at_ms
            and self._caution.is_waiting()
            and not self._attempts.has_alone()
        )

    def _resolve_stuck(self, now_ms: float) -> None:
        """Restart whole on a newer snapshot, or stop waiting for one."""
        newer = self._wait.look(
            self._tools.routes.snapshot,
            self._round.snapshot,
            self._index,
            self._tools.latencies.quantile_ms(self._index, 0.5),
            now_ms,
        )
        if newer is not None:
            self._restart(newer, now_ms)
        elif self._wait.is_over(now_ms):
            self._wait.give_up()
            for shard in self._round.shards:
                waits = shard.outstanding or shard.again_at_ms
                if shard.gone and not waits:
                    self._settle(shard, now_ms)

    def _restart(self, snapshot: state.Snapshot, now_ms: float) -> None:
        self.tally.search_restarts += 1
        self._wait.restarted()
        self._again_due_ms = math.inf
        self._began = self._began or len(self._attempts) > 0
        self._attempts.drop_losers(self._attempts.outstanding(), now_ms)
        self._attempts.discard_unsent()
        if self._older is None or self._older.keys() < self._round.keys():
            self._older = self._round
        self._round = _scatter_round.Round(self._plan, snapshot)
        self._begin_round(now_ms)

    def _finish(self) -> None:
        if self._finish_effect:
            return
        self._began = self._began or len(self._attempts) > 0
        self._attempts.discard_unsent()
        self._attempts.drop_all()
        self._hedges.stop()
        self._again_due_ms = math.inf
        self.tally.sub_queries_sent = self._attempts.sent
        self._finish_effect = _scatter_types.Finish(
            _scatter_round.outcome_of(
                self._round, self._older, self._seen, self._began
            ),
            self._round.accepted(),
        )
