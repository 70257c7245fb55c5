"""Runs the searches of callers, each to one outcome."""

import asyncio
import dataclasses
import itertools
import math
import random
import typing

from returns import result

from samphiredock.coordination.quarantine import _crash_tracker
from samphiredock.coordination.quarantine import _quarantine
from samphiredock.coordination.search import _admission
from samphiredock.coordination.search import _hedging
from samphiredock.coordination.search import _planner
from samphiredock.coordination.search import _scatter
from samphiredock.coordination.search import _scatter_types
from samphiredock.coordination.targets import _budget
from samphiredock.coordination.targets import _replica_selector
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

_FASTEST_QUANTILE = 0.05

_OUTCOME_NAMES = {
    protocol.Answered: 'answered',
    protocol.Partial: 'partial',
    protocol.NotRun: 'not-run',
    protocol.Unknown: 'unknown',
}


class StateView(_scatter_types.TargetView, typing.Protocol):
    """The daemon's current state, as the coordinator reads it."""

    @property
    def configuration(self) -> state.Configuration | None:
        """The configuration in force, None before the first."""


@dataclasses.dataclass(slots=True)
class _Search:
    """A search in flight, its timer, and the time that the timer is set to."""

    scatter: _scatter.Scatter
    plan: _planner.Plan
    outcome: asyncio.Future
    timer: timers.TimerHandle | None = None
    timer_due_ms: float = math.inf


class Coordinator:
    """Admits, plans and scatters searches, and returns their outcomes.

    Parameters
    ----------
    name, site, incarnation
        This daemon; name and incarnation make query ids unique.
    view
        Configuration, snapshot and owners of targets as known here.
    peers
        Carries sub-queries to dispatchers and their answers back.
    clock
        The timer service.
    counters
        Metrics of this daemon.
    quarantine
        Request contents that may not run.
    admission
        Limits on requests in flight, shared with unrepeatable requests.
    rng
        Seeded source of randomness for the choice of replicas.
    """

    def __init__(
        self,
        name: str,
        site: str,
        incarnation: int,
        view: StateView,
        peers: transport.Peers,
        clock: timers.Timers,
        counters: metrics.Metrics,
        quarantine: _quarantine.Quarantine,
        admission: _admission.Admission,
        rng: random.Random,
    ) -> None:
        self._query_id_prefix = f'{name}-{incarnation}'
        self._site = site
        self._view = view
        self._peers = peers
        self._clock = clock
        self._metrics = counters
        self._quarantine = quarantine
        self._admission = admission
        self._crash_tracker = _crash_tracker.QuarantineCrashTracker(
            quarantine, clock
        )
        self._context = _scatter_types.ScatterContext(
            view,
            _replica_selector.ReplicaSelector(rng, self._is_near),
            _hedging.Latencies(),
            _budget.RetryBudget(),
            self._crash_tracker,
        )
        self._query_numbers = itertools.count(1)
        self._searches: dict[str, _Search] = {}
        peers.subscribe(protocol.SubAnswerBatch, self._on_answers)

    def in_flight(self) -> int:
        """Return how many searches have no outcome yet."""
        return len(self._searches)

    def on_member_lost(self, member: str) -> None:
        """Send the attempts of a lost daemon to other replicas."""
        now_ms = self._clock.now_ms()
        for search in list(self._searches.values()):
            effects = search.scatter.on_member_lost(member, now_ms)
            self._apply_effects(search, effects)

    def finish_all(self) -> None:
        """End every search now, with the outcome that is true at this moment.

        Called when the daemon stops: otherwise the caller would lose its
        connection without learning whether a target has begun.
        """
        now_ms = self._clock.now_ms()
        for search in list(self._searches.values()):
            if not search.outcome.done():
                self._apply_effects(search, search.scatter.finish_now(now_ms))

    async def search(
        self, request: protocol.SearchRequest
    ) -> protocol.SearchOutcome:
        """Run one search and return its outcome."""
        started_ms = self._clock.now_ms()
        outcome = await self._search(request, started_ms)
        self._metrics.add(
            'search_outcomes',
            service=request.service,
            outcome=_OUTCOME_NAMES[type(outcome)],
        )
        return outcome

    async def _search(
        self, request: protocol.SearchRequest, started_ms: float
    ) -> protocol.SearchOutcome:
        configuration = self._view.configuration
        if configuration is None:
            return protocol.NotRun(
                protocol.NotRunReason.NOT_READY, 'no configuration yet', 500
            )
        planned = _planner.make_plan(
            request,
            configuration,
            self._view.snapshot,
            f'{self._query_id_prefix}-{next(self._query_numbers)}',
            self._site,
            started_ms,
        )
        if isinstance(planned, result.Failure):
            return planned.failure()
        plan = planned.unwrap()
        index = plan.search.index
        refusal = self._quarantine.refusal(
            plan.fingerprint
        ) or self._admission.admit(
            configuration.services[plan.service],
            configuration.limits,
            plan.search.request_class,
            plan.deadline_at_ms - started_ms,
            self._context.latencies.quantile_ms(index, _FASTEST_QUANTILE),
        )
        if refusal is not None:
            return refusal
        try:
            outcome = await self._run_plan(plan, configuration.limits)
        finally:
            self._admission.release(plan.service)
        self._record_latency(plan, outcome, started_ms)
        return outcome

    async def _run_plan(
        self, plan: _planner.Plan, limits: state.Limits
    ) -> protocol.SearchOutcome:
        """Run a search with the precautions that its request content needs.

        They are a canary, unless the content succeeded recently, and one
        attempt at a time while the content is a suspect.
        """
        fingerprint = plan.fingerprint
        canary = plan.search.canary and not self._crash_tracker.is_known(
            fingerprint
        )
        left_ms = plan.deadline_at_ms - self._clock.now_ms()
        mode = self._quarantine.begin_run(fingerprint, left_ms)
        suspect = mode is _quarantine.RunMode.SUSPECT
        scatter = _scatter.Scatter(
            plan, self._context, limits, canary, suspect
        )
        return await self._run_scatter(plan, scatter)

    async def _run_scatter(
        self, plan: _planner.Plan, scatter: _scatter.Scatter
    ) -> protocol.SearchOutcome:
        future = asyncio.get_running_loop().create_future()
        search = _Search(scatter, plan, future)
        self._searches[plan.query_id] = search
        try:
            self._apply_effects(search, scatter.start(self._clock.now_ms()))
            outcome: protocol.SearchOutcome = await future
        finally:
            if search.timer is not None:
                search.timer.cancel()
            del self._searches[plan.query_id]
        self._record_tally(plan, scatter.tally)
        return outcome

    def _on_answers(self, sender: str, batch: protocol.SubAnswerBatch) -> None:
        search = self._searches.get(batch.query_id)
        if search is None or search.outcome.done():
            self._metrics.add('late_answers', len(batch.answers))
            return
        now_ms = self._clock.now_ms()
        effects = search.scatter.on_answers(batch.answers, now_ms)
        self._apply_effects(search, effects)

    def _on_timer(self, search: _Search) -> None:
        search.timer = None
        search.timer_due_ms = math.inf
        if not search.outcome.done():
            now_ms = self._clock.now_ms()
            self._apply_effects(search, search.scatter.on_tick(now_ms))

    def _apply_effects(
        self, search: _Search, effects: list[_scatter_types.Effect]
    ) -> None:
        unsent: list[protocol.SubQuery] = []
        for effect in effects:
            if isinstance(effect, _scatter_types.SendAttempts):
                if not self._send(search.plan, effect):
                    unsent.extend(effect.items)
            elif isinstance(effect, _scatter_types.DropAttempts):
                self._peers.send(
                    effect.dispatcher,
                    protocol.CancelAttempts(
                        search.plan.query_id, effect.attempt_ids
                    ),
                )
            elif not search.outcome.done():
                search.outcome.set_result(effect.outcome)
        if search.outcome.done():
            return
        if unsent:
            now_ms = self._clock.now_ms()
            answers = [_unreachable_answer(item) for item in unsent]
            self._apply_effects(
                search, search.scatter.on_answers(answers, now_ms)
            )
            return
        self._arm_timer(search)

    def _arm_timer(self, search: _Search) -> None:
        """Keep one timer per search, at the time of its next action."""
        due_ms = search.scatter.next_due_ms()
        if due_ms >= search.timer_due_ms:
            return
        if search.timer is not None:
            search.timer.cancel()
        search.timer_due_ms = due_ms
        search.timer = self._clock.after(
            due_ms - self._clock.now_ms(), lambda: self._on_timer(search)
        )

    def _send(
        self, plan: _planner.Plan, effect: _scatter_types.SendAttempts
    ) -> bool:
        if effect.dispatcher is None:
            return False
        return self._peers.send(
            effect.dispatcher,
            protocol.SubQueryBatch(
                plan.query_id,
                plan.service,
                plan.site,
                plan.search.request_class,
                plan.search.name,
                plan.terms,
                plan.limit,
                plan.fingerprint,
                plan.deadline_at_ms - self._clock.now_ms(),
                effect.items,
                effect.alone,
            ),
        )

    def _is_near(self, target: str) -> bool:
        configuration = self._view.configuration
        if configuration is None:
            return False
        found = configuration.targets.get(target)
        return found is not None and found.site == self._site

    def _record_tally(
        self, plan: _planner.Plan, tally: _scatter_types.Tally
    ) -> None:
        for name in _scatter_types.COUNTER_NAMES:
            amount = getattr(tally, name)
            if amount:
                self._metrics.add_bulk(name, amount, service=plan.service)
        self._metrics.observe(
            'request_extra_load',
            tally.sub_queries_sent / max(1, tally.sub_queries_needed),
            service=plan.service,
            request_class=plan.search.request_class,
        )

    def _record_latency(
        self,
        plan: _planner.Plan,
        outcome: protocol.SearchOutcome,
        started_ms: float,
    ) -> None:
        """Record latency and coverage of a search that was run."""
        if isinstance(outcome, protocol.NotRun):
            return
        labels = {
            'service': plan.service,
            'request_class': plan.search.request_class,
        }
        took_ms = self._clock.now_ms() - started_ms
        self._metrics.observe('request_latency_ms', took_ms, **labels)
        coverage = getattr(outcome, 'coverage', 0.0)
        self._metrics.observe('request_coverage', coverage, **labels)


def _unreachable_answer(item: protocol.SubQuery) -> protocol.SubAnswer:
    return protocol.SubAnswer(
        item.attempt_id,
        item.target,
        protocol.SubStatus.NOT_OWNER,
        detail='no dispatcher can be reached',
    )
