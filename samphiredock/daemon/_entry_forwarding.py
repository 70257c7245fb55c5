"""Forwards requests of an entry daemon to targets or to coordinators."""

import contextlib
import dataclasses
import math
import random
import typing

from returns import result

from samphiredock import coordination
from samphiredock.coordination import background
from samphiredock.coordination import forwarding
from samphiredock.daemon import _entry_adapter
from samphiredock.daemon import _entry_peers
from samphiredock.daemon import _entry_state
from samphiredock import logs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

_PEER_CONNECTIONS = 16
"""Connections to one coordinator, few enough that those of all daemons stay
well below its limit of file descriptors: 60 daemons hold under 1,000 there, of
4,100."""

_HANDOVER_COST_MS = 4.0
"""Latency that a handover adds, subtracted from a route's latency target: 1.4
ms between sites each way and the work of one more process."""

_RUN_ONCE_IDLE_MS = 100.0
"""Connections idle for longer than this are not used for requests that must
run at most once: targets drop connections that were idle for 270 ms and more
without closing them."""

_WARM_UP_SPREAD_MS = 1_500.0
"""Coordinators connect to a new target at random times within this period, so
that they do not occupy all its slots at once."""

_RETRY_REPORT_INTERVAL_MS = 5_000.0
"""Interval of the log lines about extra requests, half of a usual window."""

_log = logs.logger('entry')


class EntryForwarding:
    """Handles requests of callers, and requests and orders of other daemons.

    A coordinator forwards requests to targets; any other daemon hands them
    over to a coordinator.

    Parameters
    ----------
    settings
        The settings of this daemon.
    adapter
        The platform's key names and encodings.
    entry_state
        The routing table, targets, peers and role of this daemon.
    clock, counters
        The timers and metrics of this daemon.
    """

    def __init__(
        self,
        settings: state.EntrySettings,
        adapter: _entry_adapter.Adapter,
        entry_state: _entry_state.EntryState,
        clock: timers.Timers,
        counters: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._adapter = adapter
        self._entry_state = entry_state
        self._clock = clock
        self._metrics = counters
        self._rng = random.Random(settings.name)
        self._connections = transport.ConnectionPool(
            clock, entry_state.connections_to
        )
        self._peer_connections = transport.ConnectionPool(
            clock, lambda target: _PEER_CONNECTIONS
        )
        self._crash_guard = forwarding.CrashGuard(
            clock,
            counters,
            lambda loss: self._peer_notices.announce_loss(loss),
            settings.name,
        )
        self._peer_notices = _entry_peers.PeerNotices(
            settings.name,
            entry_state,
            self._peer_connections,
            self._crash_guard,
            clock,
        )
        self._retry_report = forwarding.RetryReport(clock, counters)
        self._budget = forwarding.WindowBudget(
            clock,
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_s * 1000.0,
            entry_state.retry_shares.share,
            self._retry_report,
        )
        self._forwarder = self._make_forwarder()
        self._merger = forwarding.Merger(
            self._forwarder.target_client, clock, counters
        )
        dialect = forwarding.HandoverDialect(
            entry_state.routing,
            entry_state.freshness_check.note_version,
            settings.name,
        )
        self._handover = self._make_handover(dialect)
        self._stale_handover = self._make_handover(
            forwarding.StaleHandoverDialect(dialect)
        )
        self._forwarders = (
            self._forwarder,
            self._handover,
            self._stale_handover,
        )
        self._open_requests = 0
        self._is_finished = False
        entry_state.targets.on_removed(self._connections.forget)
        entry_state.targets.on_added(self._schedule_warm_up)
        entry_state.peers.on_removed(self._peer_connections.forget)

    def start(self) -> None:
        """Start the periodic notices to peers and reports in the log."""
        self._peer_notices.start()
        self._clock.every(_RETRY_REPORT_INTERVAL_MS, self._write_retry_report)

    def _write_retry_report(self) -> None:
        self._retry_report.write(self._entry_state.retry_shares.allowance())

    def open_requests(self) -> int:
        """Return how many requests have no answer yet."""
        return self._open_requests

    def pending_requests(self) -> list[forwarding.PendingSummary]:
        """Return the requests that wait for targets or peers."""
        return [
            row
            for forwarder in self._forwarders
            for row in forwarder.pending_requests()
        ]

    def finish_all(self) -> None:
        """Answer every pending request with the outcome known now.

        This includes requests handed over by other daemons, which can send
        those not started here to another coordinator.
        """
        self._is_finished = True
        self._entry_state.stop_waiting()
        self._merger.finish_all()
        for forwarder in self._forwarders:
            forwarder.finish_all()

    def close(self) -> None:
        """Write the log lines still queued, and close all connections."""
        self._write_retry_report()
        for forwarder in self._forwarders:
            forwarder.close()
        self._merger.close()
        self._connections.close()
        self._peer_connections.close()

    def reload(self, settings: state.EntrySettings) -> None:
        """Apply changed settings."""
        self._budget.set_bounds(
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_s * 1000.0,
        )

    def _make_forwarder(self) -> forwarding.Forwarder:
        settings = self._settings
        entry_state = self._entry_state
        replicas = coordination.ReplicaSelector(
            random.Random(settings.name),
            entry_state.is_near,
            settings.other_site_factor,
            self._clock.now_ms,
        )
        entry_state.targets.on_removed(
            lambda target: replicas.forget(target.target_id)
        )
        context = coordination.ScatterContext(
            entry_state.targets,
            replicas,
            coordination.Latencies(),
            self._budget,
            forwarding.NullCrashTracker(),
        )
        return forwarding.Forwarder(
            forwarding.ForwardSettings(
                settings.site,
                settings.caller_way_ms,
                state.Limits(hedge_quantile=settings.hedge_quantile),
                _RUN_ONCE_IDLE_MS,
            ),
            entry_state.routing,
            entry_state.targets,
            context,
            self._adapter,
            self._connections,
            self._clock,
            self._metrics,
            self._crash_guard,
            self._make_order_client(),
            entry_state.may_deny_route,
        )

    def _make_order_client(self) -> forwarding.OrderClient:
        settings = self._settings
        return forwarding.OrderClient(
            settings.site,
            self._entry_state.targets,
            self._entry_state.peers,
            self._peer_connections,
            coordination.ReplicaSelector(
                random.Random(settings.name),
                lambda peer: True,
                now_ms=self._clock.now_ms,
            ),
            self._clock,
            self._metrics,
        )

    def _make_handover(
        self, dialect: forwarding.Dialect
    ) -> forwarding.Forwarder:
        settings = self._settings
        entry_state = self._entry_state
        context = coordination.ScatterContext(
            entry_state.peers,
            coordination.ReplicaSelector(
                random.Random(settings.name),
                entry_state.is_near_peer,
                now_ms=self._clock.now_ms,
                near_only=True,
            ),
            coordination.Latencies(),
            coordination.RetryBudget(),
            forwarding.NullCrashTracker(),
        )
        return forwarding.Forwarder(
            forwarding.ForwardSettings(settings.site, 0.0, state.Limits()),
            forwarding.HandoverRouting(entry_state.routing),
            entry_state.peers,
            context,
            dialect,
            self._peer_connections,
            self._clock,
            self._metrics,
        )

    async def handle(
        self,
        method: str,
        path: str,
        headers: protocol.Headers,
        body: bytes,
    ) -> protocol.HttpReply:
        """Answer one caller's request; cancelled if the caller disconnects."""
        self._open_requests += 1
        try:
            read = self._adapter.read_request(method, path, headers, body)
            if isinstance(read, result.Failure):
                self._metrics.add('http_errors', interface='entry', status=400)
                return protocol.HttpReply(400, body=read.failure().encode())
            request = read.unwrap()
            if transport.is_pipelined.get():
                request = dataclasses.replace(request, age_ms=math.inf)
            outcome = await self._forward(request)
            return self._adapter.caller_reply(outcome)
        finally:
            self._open_requests -= 1

    async def _forward(
        self, request: protocol.ForwardRequest
    ) -> protocol.ForwardOutcome:
        if self._entry_state.coordinates():
            return await self._forwarder.forward(request)
        outcome = await self._handover.forward(request)
        if (
            isinstance(outcome, protocol.NotRun)
            and outcome.reason is protocol.NotRunReason.OVERLOADED
        ):
            # Every coordinator that was tried refused the request: its routing
            # table is older, or it has no contact with the store.
            outcome = await self._stale_handover.forward(request)
        if (
            isinstance(outcome, protocol.NotRun)
            and outcome.reason is protocol.NotRunReason.NO_TARGET
        ):
            # No coordinator can be reached, so this daemon acts as one.
            self._entry_state.coordinate_temporarily()
        return outcome

    async def handle_peer(
        self,
        method: str,
        path: str,
        headers: protocol.Headers,
        body: bytes,
    ) -> protocol.HttpReply | protocol.StreamedReply:
        """Answer another daemon's handed-over request, order or notice."""
        if path == forwarding.ORDER_PATH:
            return self._accept_order(headers, body)
        notice = self._peer_notices.handle(path, body)
        if notice is not None:
            return notice
        handed_over = forwarding.read_handed_over(headers)
        if handed_over is None:
            return forwarding.refusal_reply(
                handed_over, 'handover headers are missing or malformed'
            )
        read = self._adapter.read_request(
            method, path, handed_over.headers, body
        )
        if isinstance(read, result.Failure):
            return forwarding.refusal_reply(handed_over, read.failure())
        if handed_over.least_version > self._entry_state.routing_version():
            self._peer_notices.note_newer_table(handed_over.sender)
        if not await self._entry_state.can_serve_handed_over(
            handed_over.least_version, handed_over.stale_ok
        ):
            return forwarding.refusal_reply(
                handed_over, 'routing table too old, or not a coordinator'
            )
        self._open_requests += 1
        try:
            request = forwarding.as_received(
                read.unwrap(), handed_over, self._entry_state.routing.table
            )
            outcome = await self._forwarder.forward(request, _HANDOVER_COST_MS)
        finally:
            self._open_requests -= 1
        if forwarding.can_retry_elsewhere(
            outcome, self._entry_state.is_table_outdated()
        ):
            return forwarding.refusal_reply(handed_over, outcome.detail)
        return forwarding.coordinator_reply(
            self._adapter.caller_reply(outcome),
            handed_over,
            self._entry_state.routing_version(),
        )

    def _accept_order(
        self, headers: protocol.Headers, body: bytes
    ) -> protocol.HttpReply | protocol.StreamedReply:
        """Reply with the reports on a merge order, or refuse it."""
        if self._is_finished:
            return protocol.HttpReply(503, body=b'this daemon is stopping')
        if not self._merger.may_take_orders():
            return protocol.HttpReply(503, body=b'read after a pause')
        read = protocol.decode_order(body)
        if isinstance(read, result.Failure):
            self._metrics.add('orders_unreadable')
            _log.error('order refused', why=read.failure())
            return protocol.HttpReply(400, body=read.failure().encode())
        if not self._entry_state.has_coordinator_role():
            # The sender's list of daemons has this one as a coordinator;
            # lists differ for some seconds after a change.
            self._entry_state.coordinate_temporarily()
        return protocol.StreamedReply(
            200,
            forwarding.order_reply_headers(headers),
            self._reports(read.unwrap()),
        )

    async def _reports(
        self, order: protocol.MergeOrder
    ) -> typing.AsyncGenerator[bytes, None]:
        """Execute a merge order and yield its reports, encoded."""
        self._open_requests += 1
        try:
            async with contextlib.aclosing(
                self._merger.reports(order)
            ) as reports:
                async for report in reports:
                    yield protocol.encode_merge_message(report)
        finally:
            self._open_requests -= 1

    def _schedule_warm_up(self, target: state.LiveTarget) -> None:
        """Connect to a new target before the first request needs it.

        Otherwise the first search of a new index would open connections to
        all its shards at once, and each new connection holds a slot for some
        ms.
        """

        def warm_up() -> None:
            if self._entry_state.sends_directly(target):
                background.start(self._connections.warm(target), 'warm')

        self._clock.after(self._rng.uniform(0.0, _WARM_UP_SPREAD_MS), warm_up)
