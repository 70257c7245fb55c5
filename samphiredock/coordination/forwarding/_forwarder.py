"""Runs one scatter for each forwarded request.

The :class:`coordination.Scatter` decides which targets are asked, and when; an
:class:`AttemptSender` sends the requests and returns the results to it.
"""

import asyncio
import dataclasses
import itertools
import typing

from returns import result

from samphiredock.coordination.forwarding import _attempt_sender
from samphiredock.coordination.forwarding import _caller_time
from samphiredock.coordination.forwarding import _crash_guard
from samphiredock.coordination.forwarding import _forward_types
from samphiredock.coordination.forwarding import _freshness_check
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

INITIAL_HEDGE_SHARE = 0.3
"""Share of a route's aim (``Route.aim_ms``) after which to hedge while no
latencies are known.  Work takes some 15 % of the aim, and the hedge needs as
much again."""

NO_TARGET_RETRY_MS = 300
"""When a caller should retry after a refusal whose cause should pass soon.
Longer than the 200 ms after which a lost target is tried again."""

OUTDATED_RETRY_MS = int(_freshness_check.FRESHNESS_CHECK_INTERVAL_MS)
"""When a caller should retry whose route may be in a newer routing table: the
next freshness check may have brought it by then."""


class Forwarder:
    """Forwards requests to targets and merges the replies.

    Parameters
    ----------
    settings
        Site, limits and time allowances.
    routing, targets
        The routing table in force, and the registered targets.
    context
        Replica selector, latencies and retry budget, shared by all requests.
    dialect, links
        The targets' HTTP protocol, and the connections to them.
    clock, counters
        The timers and metrics of this daemon.
    crashes
        Refuses requests whose content crashes targets; None to refuse none.
    order_client
        Sends merge orders to daemons of other sites; None to ask every target
        directly.
    may_deny_route
        Returns whether a route that the table lacks does not exist.
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
        order_client: _order_client.OrderClient | None = None,
        may_deny_route: typing.Callable[[], bool] = lambda: True,
    ) -> None:
        self._crashes = crashes
        self._may_deny_route = may_deny_route
        self._settings = settings
        self._routing = routing
        self._targets = targets
        self._context = context
        self._order_client = order_client
        self.target_client = _target_client.TargetClient(
            targets, dialect, links, clock, settings.max_idle_once_ms, crashes
        )
        self._sender = _attempt_sender.AttemptSender(
            self.target_client, order_client, context.replicas, clock
        )
        self._clock = clock
        self._metrics = counters
        self._splitter = _splitter.Splitter()
        self._outcome_log = _outcome_log.OutcomeLog(clock, counters)
        self._caller_times = _caller_time.CallerTimeEstimator()
        self._query_numbers = itertools.count(1)
        self._pending: dict[str, _pending_requests.PendingRequest] = {}
        self._is_stopping = False

    def close(self) -> None:
        """Write the log lines that are still queued."""
        self._outcome_log.close()

    def pending_requests(self) -> list[_pending_requests.PendingSummary]:
        """Return a summary of each request that has no outcome yet."""
        now_ms = self._clock.now_ms()
        return [
            _pending_requests.summarize(pending, now_ms)
            for pending in self._pending.values()
        ]

    def finish_all(self) -> None:
        """End every pending request now, and refuse new ones.

        Called when the shutdown time is used up.  If the process ended with
        open requests, their callers would see a closed connection and not know
        whether the request has run, so each one gets its outcome right away.
        """
        self._is_stopping = True
        now_ms = self._clock.now_ms()
        for pending in list(self._pending.values()):
            if not pending.done.done():
                pending.trace.add(now_ms, 'given up', why='stopping')
                self._sender.finish_now(pending)

    async def forward(
        self,
        request: protocol.ForwardRequest,
        hop_ms: float = 0.0,
    ) -> protocol.ForwardOutcome:
        """Forward one request; cancelling this cancels its attempts.

        Parameters
        ----------
        request
            The caller's request.
        hop_ms
            Part of the route's aim that another daemon takes to hand the
            request over and to return the reply; 0 without a handover.
        """
        started_ms = self._clock.now_ms()
        planned = self._plan(request, started_ms, hop_ms)
        if isinstance(planned, result.Failure):
            return self._outcome_log.log_refused(
                request, planned.failure(), started_ms
            )
        return await self._run(planned.unwrap(), started_ms)

    # Planning and refusals.

    def _plan(
        self,
        request: protocol.ForwardRequest,
        now_ms: float,
        hop_ms: float,
    ) -> result.Result[_route_plans.ForwardPlan, protocol.NotRun]:
        if self._is_stopping:
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
        if route is None and not self._may_deny_route():
            return _refused(
                protocol.NotRunReason.ROUTES_OUTDATED,
                f'no route in version {table.version}, which may be outdated',
                OUTDATED_RETRY_MS,
            )
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
        usable = sum(
            any(map(self._targets.is_usable, names))
            for names in targets.values()
        )
        least = _route_plans.least_shards(route) if route.shards else 1
        if usable < least:
            # Sending would end in the same refusal, only later.
            return _refused(
                protocol.NotRunReason.NO_TARGET,
                f'got {usable} services of {len(services)} with a target '
                f'that can be reached, expected at least {least}',
                NO_TARGET_RETRY_MS,
            )
        spent_ms = 0.0
        if route.shards:
            spent_ms = self._caller_times.spent_ms(
                route.name, request.deadline_ms, route.aim_ms
            )
        return result.Success(
            _route_plans.make_forward_plan(
                request,
                route,
                table.version,
                services,
                targets,
                str(next(self._query_numbers)),
                self._settings.site,
                now_ms,
                self._settings.caller_way_ms + spent_ms + hop_ms,
                route.aim_ms * INITIAL_HEDGE_SHARE,
            )
        )

    # Running.

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
            _request_log.RequestTrace(started_ms),
            assignments=assignments,
        )
        query_id = plan.scatter.query_id
        self._pending[query_id] = pending
        try:
            self._sender.apply(pending, scatter.start(started_ms))
            finish: _scatter_types.Finish = await done
        except asyncio.CancelledError:
            scatter.cancel()
            self._sender.cancel(pending)
            self._metrics.add('requests_left', route=plan.route.name)
            self._outcome_log.log_ended(pending, None)
            raise
        finally:
            del self._pending[query_id]
            if pending.timer is not None:
                pending.timer.cancel()
        if self._crashes and pending.answered:
            if not pending.may_have_lost_target:
                self._crashes.record_success(plan.request, plan.route.name)
        outcome = _pending_requests.outcome_of(
            pending, finish, self._clock.now_ms()
        )
        self._outcome_log.log_ended(pending, outcome)
        return outcome


def _refused(
    reason: protocol.NotRunReason, detail: str, retry_after_ms: int
) -> result.Failure[protocol.NotRun]:
    return result.Failure(protocol.NotRun(reason, detail, retry_after_ms))
