"""Requests at an entry daemon: served here, or handed_over over."""

import contextlib
import dataclasses
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
"""Connections to one coordinator; 60 daemons then hold under 1,000 there,
of 4,100 descriptors."""

_HANDOVER_COST_MS = 4.0
"""What the way over another daemon takes of a route's aim: 1.4 ms between
sites each way, and the work of one more program."""

_RUN_ONCE_IDLE_MS = 100.0
"""Targets were seen to forget connections that were idle for 270 ms and
more.  A new connection to a target of requests that run once takes 1 ms."""

_WARM_UP_SPREAD_MS = 1_500.0
"""In this time after they were seen new targets get a connection of every
coordinator, spread so that their slots are not all held at once."""


_log = logs.logger('entry')


class EntryForwarding:
    """Callers' requests, and those that other daemons hand over.

    Parameters
    ----------
    settings
        The daemon's own.
    adapter
        The platform's names and wire.
    entry_state
        Routes, targets and the other daemons.
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
        )
        self._peer_notices = _entry_peers.PeerNotices(
            settings.name,
            entry_state,
            self._peer_connections,
            self._crash_guard,
            clock,
        )
        self._budget = forwarding.WindowBudget(
            clock,
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_s * 1000.0,
            entry_state.coordinator_count,
        )
        self._forwarder = self._make_forwarder()
        self._merger = forwarding.Merger(
            self._forwarder.target_client, clock, counters
        )
        dialect = forwarding.HandoverDialect(entry_state.routing)
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
        """Begin to tell the neighbour who coordinates."""
        self._peer_notices.start()

    def open_requests(self) -> int:
        """Return how many requests have no answer yet."""
        return self._open_requests

    def pending_requests(self) -> list[forwarding.PendingSummary]:
        """Return the requests that wait for targets or other daemons."""
        return [
            row
            for forwarder in self._forwarders
            for row in forwarder.pending_requests()
        ]

    def finish_all(self) -> None:
        """Answer every request now, with what is true of it now.

        Those of other daemons as well: what was not begun they can still
        have run elsewhere.
        """
        self._is_finished = True
        self._entry_state.stop_waiting()
        self._merger.finish_all()
        for forwarder in self._forwarders:
            forwarder.finish_all()

    def close(self) -> None:
        """Close the idle connections, and write the lines that wait."""
        for forwarder in self._forwarders:
            forwarder.close()
        self._merger.close()
        self._connections.close()
        self._peer_connections.close()

    def reload(self, settings: state.EntrySettings) -> None:
        """Take over settings that have changed."""
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
        """Answer one request; cancelled when its caller leaves."""
        self._open_requests += 1
        try:
            read = self._adapter.read_request(method, path, headers, body)
            if isinstance(read, result.Failure):
                self._metrics.add('http_errors', interface='entry', status=400)
                return protocol.HttpReply(400, body=read.failure().encode())
            outcome = await self._forward(read.unwrap())
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
            # All have refused: each is behind, or has lost the store.
            outcome = await self._stale_handover.forward(request)
        if (
            isinstance(outcome, protocol.NotRun)
            and outcome.reason is protocol.NotRunReason.NO_TARGET
        ):
            # No coordinator can be reached: this daemon becomes one until
            # they are back.
            self._entry_state.coordinate_temporarily()
        return outcome

    async def handle_peer(
        self,
        method: str,
        path: str,
        headers: protocol.Headers,
        body: bytes,
    ) -> protocol.HttpReply | protocol.StreamedReply:
        """Answer what another daemon hands over, orders or tells."""
        if path == forwarding.ORDER_PATH:
            return self._accept_order(body)
        notice = self._peer_notices.handle(path, body)
        if notice is not None:
            return notice
        handed_over = forwarding.read_handed_over(headers)
        if handed_over is None:
            return forwarding.refusal_reply(
                handed_over, 'headers of the hop missing'
            )
        read = self._adapter.read_request(
            method, path, handed_over.headers, body
        )
        if isinstance(read, result.Failure):
            return forwarding.refusal_reply(handed_over, read.failure())
        if not await self._entry_state.can_serve_handed_over(
            handed_over.least_version, handed_over.stale_ok
        ):
            return forwarding.refusal_reply(
                handed_over, 'behind, or no coordinator'
            )
        self._open_requests += 1
        try:
            request = dataclasses.replace(
                read.unwrap(), deadline_ms=handed_over.left_ms
            )
            outcome = await self._forwarder.forward(request, _HANDOVER_COST_MS)
        finally:
            self._open_requests -= 1
        if forwarding.can_retry_elsewhere(outcome):
            return forwarding.refusal_reply(handed_over, outcome.detail)
        return forwarding.coordinator_reply(
            self._adapter.caller_reply(outcome),
            handed_over,
            self._entry_state.routing_version(),
        )

    def _accept_order(
        self, body: bytes
    ) -> protocol.HttpReply | protocol.StreamedReply:
        """Begin to carry out an order, or refuse what cannot be read."""
        if self._is_finished:
            return protocol.HttpReply(503, body=b'this daemon is stopping')
        read = protocol.decode_order(body)
        if isinstance(read, result.Failure):
            self._metrics.add('orders_unreadable')
            _log.error('order refused', why=read.failure())
            return protocol.HttpReply(400, body=read.failure().encode())
        if not self._entry_state.follows_targets():
            # Lists of daemons differ for some seconds after a change: one
            # that is taken for a coordinator becomes one.
            self._entry_state.coordinate_temporarily()
        return protocol.StreamedReply(200, (), self._reports(read.unwrap()))

    async def _reports(
        self, order: protocol.MergeOrder
    ) -> typing.AsyncGenerator[bytes, None]:
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

        The shards of a new index start some seconds before a configuration
        names them; a search would else open a connection to each at once,
        and each of these holds a slot for some ms.
        """

        def warm_up() -> None:
            if self._entry_state.asks_directly(target):
                background.start(self._connections.warm(target), 'warm')

        self._clock.after(self._rng.uniform(0.0, _WARM_UP_SPREAD_MS), warm_up)
