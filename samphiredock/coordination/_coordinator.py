"""The task that turns a caller's search into one outcome."""

import asyncio
import collections
import dataclasses
import itertools
import typing

from returns import result

from samphiredock.coordination import _planner
from samphiredock.coordination import _scatter
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport


class View(typing.Protocol):
    """What the coordinator reads of the daemon's knowledge."""

    @property
    def configuration(self) -> state.Configuration | None:
        """The revision in force here."""

    @property
    def snapshot(self) -> state.Snapshot | None:
        """The newest snapshot known here."""

    def owner(self, target: str) -> str | None:
        """The daemon that dispatches for a target."""

    def is_usable(self, target: str) -> bool:
        """Whether a target may get new work."""


@dataclasses.dataclass(slots=True)
class _Search:
    scatter: _scatter.Scatter
    plan: _planner.Plan
    done: asyncio.Future
    timer: timers.Subscription | None = None


class Coordinator:
    """Admit, plan, scatter, merge and answer searches."""

    def __init__(
        self,
        name: str,
        site: str,
        incarnation: int,
        view: View,
        peers: transport.Peers,
        clock: timers.Timers,
        counters: metrics.Metrics,
    ) -> None:
        self._prefix = f'{name}-{incarnation}'
        self._site = site
        self._view = view
        self._peers = peers
        self._clock = clock
        self._metrics = counters
        self._numbers = itertools.count(1)
        self._searches: dict[str, _Search] = {}
        peers.subscribe(protocol.SubAnswerBatch, self._on_answers)

    def in_flight(self) -> int:
        """Return how many searches are not answered yet."""
        return len(self._searches)

    async def search(
        self, request: protocol.SearchRequest
    ) -> protocol.SearchOutcome:
        """Run one search to its outcome."""
        started_ms = self._clock.now_ms()
        configuration = self._view.configuration
        if configuration is None:
            return protocol.NotRun(
                protocol.NotRunReason.NOT_READY, 'no configuration yet', 500
            )
        query_id = f'{self._prefix}-{next(self._numbers)}'
        planned = _planner.make_plan(
            request,
            configuration,
            self._view.snapshot,
            query_id,
            self._site,
            started_ms,
        )
        if isinstance(planned, result.Failure):
            return planned.failure()
        return await self._run(planned.unwrap(), started_ms)

    async def _run(
        self, plan: _planner.Plan, started_ms: float
    ) -> protocol.SearchOutcome:
        scatter = _scatter.Scatter(plan, self._view.is_usable)
        future = asyncio.get_running_loop().create_future()
        search = _Search(scatter, plan, future)
        self._searches[plan.query_id] = search
        search.timer = self._clock.after(
            plan.deadline_at_ms - started_ms,
            lambda: self._carry_out(search, scatter.on_deadline()),
        )
        try:
            self._carry_out(search, scatter.start())
            finish: _scatter.Finish = await future
        finally:
            search.timer.cancel()
            del self._searches[plan.query_id]
        self._record(plan, finish, started_ms)
        return finish.outcome

    def _record(
        self,
        plan: _planner.Plan,
        finish: _scatter.Finish,
        started_ms: float,
    ) -> None:
        labels = {
            'service': plan.service,
            'request_class': plan.search.request_class,
        }
        took_ms = self._clock.now_ms() - started_ms
        self._metrics.observe('request_latency_ms', took_ms, **labels)
        coverage = getattr(finish.outcome, 'coverage', 0.0)
        self._metrics.observe('request_coverage', coverage, **labels)
        extra = finish.sent / max(1, finish.needed)
        self._metrics.observe('request_extra_load', extra, **labels)

    def _on_answers(self, sender: str, batch: protocol.SubAnswerBatch) -> None:
        search = self._searches.get(batch.query_id)
        if search is None:
            self._metrics.add('late_answers', len(batch.answers))
            return
        self._carry_out(search, search.scatter.on_answers(batch.answers))

    def _carry_out(
        self, search: _Search, effects: list[_scatter.Effect]
    ) -> None:
        for effect in effects:
            if isinstance(effect, _scatter.SendAttempts):
                self._send(search, effect.items)
            elif isinstance(effect, _scatter.DropAttempts):
                self._drop(search.plan, effect.attempts)
            elif not search.done.done():
                search.done.set_result(effect)

    def _send(
        self, search: _Search, items: tuple[protocol.SubQuery, ...]
    ) -> None:
        plan = search.plan
        by_owner = collections.defaultdict(list)
        unsent = []
        for item in items:
            owner = self._view.owner(item.target)
            by_owner[owner].append(item)
        budget_ms = plan.deadline_at_ms - self._clock.now_ms()
        for owner, owned in by_owner.items():
            message = protocol.SubQueryBatch(
                plan.query_id,
                plan.service,
                plan.site,
                plan.search.request_class,
                plan.search.name,
                plan.terms,
                plan.limit,
                plan.fingerprint,
                budget_ms,
                owned,
            )
            if owner is None or not self._peers.send(owner, message):
                unsent.extend(owned)
        if unsent:
            answers = [
                protocol.SubAnswer(
                    item.attempt_id,
                    item.target,
                    protocol.SubStatus.NOT_OWNER,
                    detail='no dispatcher can be reached',
                )
                for item in unsent
            ]
            self._carry_out(search, search.scatter.on_answers(answers))

    def _drop(
        self, plan: _planner.Plan, attempts: tuple[protocol.SubQuery, ...]
    ) -> None:
        by_owner = collections.defaultdict(list)
        for item in attempts:
            owner = self._view.owner(item.target)
            if owner is not None:
                by_owner[owner].append(item.attempt_id)
        for owner, attempt_ids in by_owner.items():
            self._peers.send(
                owner, protocol.CancelAttempts(plan.query_id, attempt_ids)
            )
