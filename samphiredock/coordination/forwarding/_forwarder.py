"""The task that passes requests on: one scatter a request, targets asked
directly.

The decisions are those of :class:`coordination.Scatter`; this module turns
its effects into HTTP exchanges and their ends into answers.
"""

import asyncio
import itertools
import math

from returns import result

from samphiredock.coordination.forwarding import _crash_guard
from samphiredock.coordination.forwarding import _end_notes
from samphiredock.coordination.forwarding import _flights
from samphiredock.coordination.forwarding import _forward_types
from samphiredock.coordination.forwarding import _live_targets
from samphiredock.coordination.forwarding import _request_log
from samphiredock.coordination.forwarding import _route_plans
from samphiredock.coordination.forwarding import _splitter
from samphiredock.coordination.search import _scatter
from samphiredock.coordination.search import _scatter_types
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

FIRST_HEDGE_SHARE = 0.3
"""Part of a route's aim after which a daemon hedges that knows no latencies
yet.  Work takes some 15 % of the aim, and the hedge needs as much again."""

LOSER_GRACE_MS = 150.0
"""How long an exchange that is not needed any more may still end by itself.
A target that pauses for 120 ms answers within it, and its connection stays
open; a new one would hold a slot of the target for 6 ms."""

NO_TARGET_RETRY_MS = 300
"""When to come back if too few shards have a target that can be reached.
A target that was given up is tried again after 200 ms."""

_Status = protocol.SubStatus

_LINK_STATUS = {
    transport.LinkErrorKind.UNREACHABLE: _Status.UNREACHABLE,
    transport.LinkErrorKind.NO_CONNECTION: _Status.CANCELLED,
    transport.LinkErrorKind.BROKEN: _Status.BROKEN,
    transport.LinkErrorKind.SILENT: _Status.SILENT,
    transport.LinkErrorKind.BAD_ANSWER: _Status.BAD_ANSWER,
}


class Forwarder:
    """Pass requests on to targets and merge what comes back.

    Parameters
    ----------
    settings
        Its bounds.
    routing, targets
        What is known of routes and targets.
    tools
        Records, latencies and the budget that all requests share.
    dialect, links
        The targets' protocol, and the connections to them.
    clock, counters
        The timers and metrics of this daemon.
    crashes
        Which contents crash targets; None if nothing is to be refused.
    """

    def __init__(
        self,
        settings: _forward_types.ForwardSettings,
        routing: _forward_types.Routing,
        targets: _live_targets.LiveTargets,
        tools: _scatter_types.Tools,
        dialect: _forward_types.Dialect,
        links: _forward_types.Links,
        clock: timers.Timers,
        counters: metrics.Metrics,
        crashes: _crash_guard.CrashGuard | None = None,
    ) -> None:
        self._crashes = crashes
        self._settings = settings
        self._routing = routing
        self._targets = targets
        self._tools = tools
        self._dialect = dialect
        self._links = links
        self._clock = clock
        self._metrics = counters
        self._splitter = _splitter.Splitter()
        self._notes = _end_notes.EndNotes(clock, counters)
        self._numbers = itertools.count(1)
        self._in_flight = 0

    def close(self) -> None:
        """Write the lines that wait."""
        self._notes.close()

    def in_flight(self) -> int:
        """Return how many requests have no outcome yet."""
        return self._in_flight

    async def forward(
        self,
        request: protocol.ForwardRequest,
        hop_ms: float = 0.0,
    ) -> protocol.ForwardOutcome:
        """Pass one request on; cancelling this cancels its sub-queries.

        Parameters
        ----------
        request
            The caller's.
        hop_ms
            What the way over another daemon takes of the route's aim.
        """
        started_ms = self._clock.now_ms()
        planned = self._plan(request, started_ms, hop_ms)
        if isinstance(planned, result.Failure):
            return self._notes.refused(request, planned.failure(), started_ms)
        self._in_flight += 1
        try:
            return await self._run(planned.unwrap(), started_ms)
        finally:
            self._in_flight -= 1

    # Before anything is sent.

    def _plan(
        self,
        request: protocol.ForwardRequest,
        now_ms: float,
        hop_ms: float,
    ) -> result.Result[_route_plans.ForwardPlan, protocol.NotRun]:
        table = self._routing.table
        if table is None:
            return _refused(
                protocol.NotRunReason.NOT_READY,
                'no routing table yet',
                NO_TARGET_RETRY_MS,
            )
        route = table.match(request.host, request.path)
        if route is None:
            return _refused(
                protocol.NotRunReason.UNKNOWN_ROUTE,
                f'got host {request.host[:80]!r} and path '
                f'{request.path[:80]!r}, expected a route of version '
                f'{table.version}',
                0,
            )
        refusal = self._crashes.refusal(request) if self._crashes else None
        if refusal is not None:
            return result.Failure(refusal)
        services = route.shards or (self._splitter.choose(route),)
        targets = {
            service: self._targets.of_service(service) for service in services
        }
        open_to = sum(
            any(map(self._targets.is_usable, names))
            for names in targets.values()
        )
        least = _route_plans.least_shards(route) if route.shards else 1
        if open_to < least:
            # Waiting would end in the same refusal, only later.
            return _refused(
                protocol.NotRunReason.NO_TARGET,
                f'got {open_to} services of {len(services)} with a target '
                f'that can be reached, expected at least {least}',
                NO_TARGET_RETRY_MS,
            )
        return result.Success(
            _route_plans.make_forward_plan(
                request,
                route,
                table.version,
                services,
                targets,
                str(next(self._numbers)),
                self._settings.site,
                now_ms,
                self._settings.caller_way_ms + hop_ms,
                route.aim_ms * FIRST_HEDGE_SHARE,
            )
        )

    # One request.

    async def _run(
        self, plan: _route_plans.ForwardPlan, started_ms: float
    ) -> protocol.ForwardOutcome:
        scatter = _scatter.Scatter(
            plan.scatter, self._tools, self._settings.limits
        )
        done = asyncio.get_running_loop().create_future()
        flight = _flights.Flight(
            plan, scatter, done, _request_log.Trail(started_ms)
        )
        try:
            self._carry_out(flight, scatter.start(started_ms))
            finish: _scatter_types.Finish = await done
        except asyncio.CancelledError:
            # The caller has left: nobody wants what targets still work on.
            scatter.abandon()
            for exchange in flight.exchanges.values():
                if exchange.task is not None:
                    exchange.task.cancel()
            self._metrics.add('requests_left', route=plan.route.name)
            self._notes.ended(flight, None)
            raise
        finally:
            if flight.timer is not None:
                flight.timer.cancel()
        outcome = _flights.outcome_of(flight, finish, self._clock.now_ms())
        self._notes.ended(flight, outcome)
        return outcome

    def _carry_out(
        self, flight: _flights.Flight, effects: list[_scatter_types.Effect]
    ) -> None:
        for effect in effects:
            if isinstance(effect, _scatter_types.SendAttempts):
                for item in effect.items:
                    self._send(flight, item)
            elif isinstance(effect, _scatter_types.DropAttempts):
                for attempt_id in effect.attempt_ids:
                    self._drop(flight, attempt_id)
            elif not flight.done.done():
                flight.done.set_result(effect)
        if not flight.done.done():
            self._arm(flight)

    def _arm(self, flight: _flights.Flight) -> None:
        """Keep one timer a request, at the next thing that falls due."""
        due_ms = flight.scatter.next_due_ms()
        if due_ms >= flight.armed_ms:
            return
        if flight.timer is not None:
            flight.timer.cancel()
        flight.armed_ms = due_ms
        flight.timer = self._clock.after(
            due_ms - self._clock.now_ms(), lambda: self._on_due(flight)
        )

    def _on_due(self, flight: _flights.Flight) -> None:
        flight.timer = None
        flight.armed_ms = math.inf
        if not flight.done.done():
            now_ms = self._clock.now_ms()
            self._carry_out(flight, flight.scatter.on_tick(now_ms))

    def _send(self, flight: _flights.Flight, item: protocol.SubQuery) -> None:
        why = 'first'
        if item.shard_id in flight.asked:
            why = 'hedge' if item.hedge else 'retry'
        flight.asked.add(item.shard_id)
        now_ms = self._clock.now_ms()
        flight.trail.note(
            now_ms,
            'sent',
            attempt=item.attempt_id,
            shard=item.shard_id,
            target=item.target,
            why=why,
        )
        exchange = _flights.Exchange(item.target, now_ms)
        exchange.task = asyncio.create_task(self._exchange(flight, item))
        flight.exchanges[item.attempt_id] = exchange
        exchange.task.add_done_callback(
            lambda task: self._exchange_over(flight, item.attempt_id)
        )

    def _exchange_over(self, flight: _flights.Flight, attempt_id: str) -> None:
        """Also after a cut: its time is all that a silent target shows."""
        exchange = flight.exchanges.pop(attempt_id)
        if exchange.lingers:
            took_ms = self._clock.now_ms() - exchange.sent_ms
            self._tools.replicas.ended(exchange.target, took_ms)

    def _drop(self, flight: _flights.Flight, attempt_id: str) -> None:
        if not flight.done.done():
            flight.trail.note(
                self._clock.now_ms(), 'not needed', attempt=attempt_id
            )
        exchange = flight.exchanges.get(attempt_id)
        if exchange is None or exchange.task is None:
            return
        exchange.lingers = True
        self._tools.replicas.lingers(exchange.target, exchange.sent_ms)
        self._clock.after(LOSER_GRACE_MS, exchange.task.cancel)

    async def _exchange(
        self, flight: _flights.Flight, item: protocol.SubQuery
    ) -> None:
        sent_ms = self._clock.now_ms()
        target = self._targets.get(item.target)
        if target is None:
            self._ended(flight, item, _Status.UNREACHABLE, 'gone')
            return
        if item.hedge and not self._links.has_room(target):
            # It would wait behind what makes the first attempt late as
            # well, and take the place of another request's first one.
            self._ended(flight, item, _Status.NO_IDLE_SLOT, 'no connection')
            return
        exchange = flight.exchanges[item.attempt_id]
        request = flight.plan.request
        left_ms = flight.plan.scatter.deadline_at_ms - sent_ms
        reply = await self._links.exchange(
            target,
            self._dialect.target_request(request, target, left_ms),
            left_ms,
            lambda got: self._dialect.is_reply_to(request, got),
            math.inf
            if flight.plan.route.repeatable
            else self._settings.once_kept_ms,
            lambda: not exchange.lingers,
        )
        if isinstance(reply, result.Failure):
            error = reply.failure()
            status = _LINK_STATUS[error.kind]
            self._observe(target, status, sent_ms)
            self._ended(flight, item, status, error.detail)
            if status is _Status.BROKEN and self._crashes is not None:
                await self._look_for_crash(request, target)
            return
        read = self._dialect.read_reply(request, reply.unwrap())
        self._observe(target, read.status, sent_ms)
        if read.status is _Status.ANSWERED:
            flight.answered.add(item.shard_id)
            flight.replies[item.attempt_id] = read
        elif read.may_be_passed:
            flight.failure = read
        self._ended(flight, item, read.status, read.detail)

    async def _look_for_crash(
        self, request: protocol.ForwardRequest, target: state.LiveTarget
    ) -> None:
        """Tell a target that died from one that only lost an answer.

        A live target takes a connection at once.
        """
        assert self._crashes is not None
        if not await self._links.is_listening(target):
            self._targets_lost(target)
            self._crashes.found(
                _crash_guard.Loss(
                    _crash_guard.fingerprint_of(request),
                    request.request_id,
                    target.target_id,
                )
            )

    def _targets_lost(self, target: state.LiveTarget) -> None:
        if self._targets.get(target.target_id) is not None:
            record = self._targets.record(target.target_id)
            record.on_failure(True, self._clock.now_ms())

    def _observe(
        self, target: state.LiveTarget, status: protocol.SubStatus, sent: float
    ) -> None:
        """Take an exchange's end into the record of its target."""
        if self._targets.get(target.target_id) is None:
            return
        now_ms = self._clock.now_ms()
        record = self._targets.record(target.target_id)
        if status is _Status.ANSWERED:
            record.on_answer(1, now_ms - sent, now_ms)
        elif status is _Status.UNREACHABLE:
            record.on_failure(True, now_ms)
        elif status in (_Status.BROKEN, _Status.BAD_ANSWER):
            record.on_failure(False, now_ms)
        elif status is _Status.NOT_OWNER:
            self._targets.misdirected(target.target_id)

    def _ended(
        self,
        flight: _flights.Flight,
        item: protocol.SubQuery,
        status: protocol.SubStatus,
        detail: str,
    ) -> None:
        if flight.done.done():
            return
        if status is not _Status.ANSWERED:
            flight.trail.note(
                self._clock.now_ms(),
                'failed',
                attempt=item.attempt_id,
                shard=item.shard_id,
                target=item.target,
                status=status.value,
                why=detail,
            )
        ranges = []
        if status is _Status.ANSWERED:
            ranges = [flight.plan.key_ranges[item.shard_id]]
        answer = protocol.SubAnswer(
            item.attempt_id, item.target, status, item.snapshot_id, ranges
        )
        now_ms = self._clock.now_ms()
        self._carry_out(flight, flight.scatter.on_answers([answer], now_ms))


def _refused(
    reason: protocol.NotRunReason, detail: str, retry_after_ms: int
) -> result.Failure[protocol.NotRun]:
    return result.Failure(protocol.NotRun(reason, detail, retry_after_ms))
