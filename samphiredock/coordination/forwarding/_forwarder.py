"""The task that passes requests on: one scatter a request.

The decisions are those of :class:`coordination.Scatter`; a
:class:`FlightSender` carries them out.
"""

import asyncio
import dataclasses
import itertools

from returns import result

from samphiredock.coordination.forwarding import _attempt_sender
from samphiredock.coordination.forwarding import _caller_time
from samphiredock.coordination.forwarding import _crash_guard
from samphiredock.coordination.forwarding import _forward_types
from samphiredock.coordination.forwarding import _live_targets
from samphiredock.coordination.forwarding import _order_client
from samphiredock.coordination.forwarding import _outcome_log
from samphiredock.coordination.forwarding import _pending_requests
from samphiredock.coordination.forwarding import _request_log
from samphiredock.coordination.forwarding import _route_plans
from samphiredock.coordination.forwarding import _splitter
from samphiredock.coordination.forwarding import _target_client
from samphiredock.coordination.search import _scatter
from samphiredock.coordination.search import _scatter_types
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import timers

FIRST_HEDGE_SHARE = 0.3
"""Part of a route's aim after which a daemon hedges that knows no latencies
yet.  Work takes some 15 % of the aim, and the hedge needs as much again."""

NO_TARGET_RETRY_MS = 300
"""When to come back if too few shards have a target that can be reached.
A target that was given up is tried again after 200 ms."""


class Forwarder:
    """Pass requests on to targets and merge what comes back.

    Parameters
    ----------
    settings
        Its bounds.
    routing, targets
        What is known of routes and targets.
    context
        Records, latencies and the budget that all requests share.
    dialect, links
        The targets' protocol, and the connections to them.
    clock, counters
        The timers and metrics of this daemon.
    crashes
        Which contents crash targets; None if nothing is to be refused.
    orders
        Has the targets of other sites asked by daemons there; None: each
        target is asked from here.
    """

    def __init__(
        self,
        settings: _forward_types.ForwardSettings,
        routing: _forward_types.Routing,
        targets: _live_targets.LiveTargets,
        context: _scatter_types.ScatterContext,
        dialect: _forward_types.Dialect,
        links: _forward_types.Links,
        clock: timers.Timers,
        counters: metrics.Metrics,
        crashes: _crash_guard.CrashGuard | None = None,
        orders: _order_client.OrderClient | None = None,
    ) -> None:
        self._crashes = crashes
        self._settings = settings
        self._routing = routing
        self._targets = targets
        self._context = context
        self._order_client = orders
        self.target_client = _target_client.TargetClient(
            targets, dialect, links, clock, settings.once_kept_ms, crashes
        )
        self._sender = _attempt_sender.AttemptSender(
            self.target_client, orders, context.replicas, clock
        )
        self._clock = clock
        self._metrics = counters
        self._splitter = _splitter.Splitter()
        self._notes = _outcome_log.OutcomeLog(clock, counters)
        self._times = _caller_time.CallerTimes()
        self._numbers = itertools.count(1)
        self._under_way: dict[str, _pending_requests.PendingRequest] = {}
        self._has_given_up = False

    def close(self) -> None:
        """Write the lines that wait."""
        self._notes.close()

    def pending_requests(self) -> list[_pending_requests.PendingSummary]:
        """Return the requests that have no outcome yet."""
        now_ms = self._clock.now_ms()
        return [
            _pending_requests.summarize(pending, now_ms)
            for pending in self._under_way.values()
        ]

    def finish_all(self) -> None:
        """End every request now, and refuse those that still come.

        A daemon that stops has no more time: a request that is open when
        the process ends loses its connection, and its caller learns neither
        that it may have run nor that it has not.  So each gets the outcome
        that is true now, in the same turn.
        """
        self._has_given_up = True
        now_ms = self._clock.now_ms()
        for pending in list(self._under_way.values()):
            if not pending.done.done():
                pending.trace.add(now_ms, 'given up', why='stopping')
                self._sender.finish_now(pending)

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
            return self._notes.log_refused(
                request, planned.failure(), started_ms
            )
        return await self._run(planned.unwrap(), started_ms)

    # Before anything is sent.

    def _plan(
        self,
        request: protocol.ForwardRequest,
        now_ms: float,
        hop_ms: float,
    ) -> result.Result[_route_plans.ForwardPlan, protocol.NotRun]:
        if self._has_given_up:
            return _refused(
                protocol.NotRunReason.SHUTTING_DOWN,
                'this daemon is stopping; ask another one',
                NO_TARGET_RETRY_MS,
            )
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
        spent_ms = 0.0
        if route.shards:
            spent_ms = self._times.spent_ms(
                route.name, request.deadline_ms, route.aim_ms
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
                self._settings.caller_way_ms + spent_ms + hop_ms,
                route.aim_ms * FIRST_HEDGE_SHARE,
            )
        )

    # One request.

    async def _run(
        self, plan: _route_plans.ForwardPlan, started_ms: float
    ) -> protocol.ForwardOutcome:
        context, assignments = self._context, None
        if self._order_client is not None and plan.is_gather:
            assignments = self._order_client.assign_mergers(
                plan.scatter.shards
            )
            context = dataclasses.replace(context, targets=assignments)
        scatter = _scatter.Scatter(
            plan.scatter, context, self._settings.limits
        )
        done = asyncio.get_running_loop().create_future()
        pending = _pending_requests.PendingRequest(
            plan,
            scatter,
            done,
            _request_log.Trail(started_ms),
            assignments=assignments,
        )
        query_id = plan.scatter.query_id
        self._under_way[query_id] = pending
        try:
            self._sender.apply(pending, scatter.start(started_ms))
            finish: _scatter_types.Finish = await done
        except asyncio.CancelledError:
            scatter.cancel()
            self._sender.cancel(pending)
            self._metrics.add('requests_left', route=plan.route.name)
            self._notes.log_ended(pending, None)
            raise
        finally:
            del self._under_way[query_id]
            if pending.timer is not None:
                pending.timer.cancel()
        outcome = _pending_requests.outcome_of(
            pending, finish, self._clock.now_ms()
        )
        self._notes.log_ended(pending, outcome)
        return outcome


def _refused(
    reason: protocol.NotRunReason, detail: str, retry_after_ms: int
) -> result.Failure[protocol.NotRun]:
    return result.Failure(protocol.NotRun(reason, detail, retry_after_ms))
