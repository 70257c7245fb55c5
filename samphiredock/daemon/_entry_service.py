"""Requests at an entry daemon: served here, or handed over."""

import contextlib
import dataclasses
import random
import typing

from returns import result

from samphiredock import coordination
from samphiredock.coordination import background
from samphiredock.coordination import forwarding
from samphiredock.daemon import _entry_adapter
from samphiredock.daemon import _entry_knowledge
from samphiredock.daemon import _entry_peers
from samphiredock import logs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

_PEER_CONNECTIONS = 16
"""Connections to one coordinator; 60 daemons then hold under 1,000 there,
of 4,100 descriptors."""

_HOP_MS = 4.0
"""What the way over another daemon takes of a route's aim: 1.4 ms between
sites each way, and the work of one more program."""

_ONCE_KEPT_MS = 100.0
"""Targets were seen to forget connections that were idle for 270 ms and
more.  A new connection to a target of requests that run once takes 1 ms."""

_WARM_WITHIN_MS = 1_500.0
"""In this time after they were seen new targets get a connection of every
coordinator, spread so that their slots are not all held at once."""


_log = logs.logger('entry')


class EntryService:
    """Callers' requests, and those that other daemons hand over.

    Parameters
    ----------
    settings
        The daemon's own.
    adapter
        The platform's names and wire.
    knowledge
        Routes, targets and the other daemons.
    clock, counters
        The timers and metrics of this daemon.
    """

    def __init__(
        self,
        settings: state.EntrySettings,
        adapter: _entry_adapter.Adapter,
        knowledge: _entry_knowledge.EntryKnowledge,
        clock: timers.Timers,
        counters: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._adapter = adapter
        self._knowledge = knowledge
        self._clock = clock
        self._metrics = counters
        self._rng = random.Random(settings.name)
        self._links = transport.ConnectionPool(clock, knowledge.connections_to)
        self._peer_links = transport.ConnectionPool(
            clock, lambda target: _PEER_CONNECTIONS
        )
        self._crashes = forwarding.CrashGuard(
            clock, counters, lambda loss: self._notices.tell_loss(loss)
        )
        self._notices = _entry_peers.PeerNotices(
            settings.name, knowledge, self._peer_links, self._crashes, clock
        )
        self._budget = forwarding.WindowBudget(
            clock,
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_s * 1000.0,
            knowledge.budget_parts,
        )
        self._forwarder = self._make_forwarder()
        self._merger = forwarding.Merger(
            self._forwarder.target_client, clock, counters
        )
        dialect = forwarding.HandoverDialect(knowledge.routing)
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
        self._has_given_up = False
        knowledge.targets.on_removed(self._links.forget)
        knowledge.targets.on_added(self._warm_later)
        knowledge.peers.on_removed(self._peer_links.forget)

    def start(self) -> None:
        """Begin to tell the neighbour who coordinates."""
        self._notices.start()

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

    def give_up(self) -> None:
        """Answer every request now, with what is true of it now.

        Those of other daemons as well: what was not begun they can still
        have run elsewhere.
        """
        self._has_given_up = True
        self._knowledge.give_up()
        self._merger.finish_all()
        for forwarder in self._forwarders:
            forwarder.finish_all()

    def close(self) -> None:
        """Close the idle connections, and write the lines that wait."""
        for forwarder in self._forwarders:
            forwarder.close()
        self._merger.close()
        self._links.close()
        self._peer_links.close()

    def reload(self, settings: state.EntrySettings) -> None:
        """Take over settings that have changed."""
        self._budget.set_bounds(
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_s * 1000.0,
        )

    def _make_forwarder(self) -> forwarding.Forwarder:
        settings = self._settings
        knowledge = self._knowledge
        replicas = coordination.ReplicaSelector(
            random.Random(settings.name),
            knowledge.is_near,
            settings.other_site_factor,
            self._clock.now_ms,
        )
        knowledge.targets.on_removed(
            lambda target: replicas.forget(target.target_id)
        )
        context = coordination.ScatterContext(
            knowledge.targets,
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
                _ONCE_KEPT_MS,
            ),
            knowledge.routing,
            knowledge.targets,
            context,
            self._adapter,
            self._links,
            self._clock,
            self._metrics,
            self._crashes,
            self._make_orders(),
        )

    def _make_orders(self) -> forwarding.OrderClient:
        settings = self._settings
        return forwarding.OrderClient(
            settings.site,
            self._knowledge.targets,
            self._knowledge.peers,
            self._peer_links,
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
        knowledge = self._knowledge
        context = coordination.ScatterContext(
            knowledge.peers,
            coordination.ReplicaSelector(
                random.Random(settings.name),
                knowledge.is_near_peer,
                now_ms=self._clock.now_ms,
                near_only=True,
            ),
            coordination.Latencies(),
            coordination.RetryBudget(),
            forwarding.NullCrashTracker(),
        )
        return forwarding.Forwarder(
            forwarding.ForwardSettings(settings.site, 0.0, state.Limits()),
            forwarding.HandoverRouting(knowledge.routing),
            knowledge.peers,
            context,
            dialect,
            self._peer_links,
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
            outcome = await self._serve(read.unwrap())
            return self._adapter.caller_reply(outcome)
        finally:
            self._open_requests -= 1

    async def _serve(
        self, request: protocol.ForwardRequest
    ) -> protocol.ForwardOutcome:
        if self._knowledge.coordinates():
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
            self._knowledge.stand_in()
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
            return self._take_order(body)
        notice = self._notices.read(path, body)
        if notice is not None:
            return notice
        handed = forwarding.read_handed_over(headers)
        if handed is None:
            return forwarding.refusal_reply(
                handed, 'headers of the hop missing'
            )
        read = self._adapter.read_request(method, path, handed.headers, body)
        if isinstance(read, result.Failure):
            return forwarding.refusal_reply(handed, read.failure())
        if not await self._knowledge.knows(
            handed.least_version, handed.stale_ok
        ):
            return forwarding.refusal_reply(
                handed, 'behind, or no coordinator'
            )
        self._open_requests += 1
        try:
            request = dataclasses.replace(
                read.unwrap(), deadline_ms=handed.left_ms
            )
            outcome = await self._forwarder.forward(request, _HOP_MS)
        finally:
            self._open_requests -= 1
        if forwarding.can_retry_elsewhere(outcome):
            return forwarding.refusal_reply(handed, outcome.detail)
        return forwarding.coordinator_reply(
            self._adapter.caller_reply(outcome),
            handed,
            self._knowledge.version(),
        )

    def _take_order(
        self, body: bytes
    ) -> protocol.HttpReply | protocol.StreamedReply:
        """Begin to carry out an order, or refuse what cannot be read."""
        if self._has_given_up:
            return protocol.HttpReply(503, body=b'this daemon is stopping')
        read = protocol.decode_order(body)
        if isinstance(read, result.Failure):
            self._metrics.add('orders_unreadable')
            _log.error('order refused', why=read.failure())
            return protocol.HttpReply(400, body=read.failure().encode())
        if not self._knowledge.follows_targets():
            # Lists of daemons differ for some seconds after a change: one
            # that is taken for a coordinator becomes one.
            self._knowledge.stand_in()
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

    def _warm_later(self, target: state.LiveTarget) -> None:
        """Connect to a new target before the first request needs it.

        The shards of a new index start some seconds before a configuration
        names them; a search would else open a connection to each at once,
        and each of these holds a slot for some ms.
        """

        def warm() -> None:
            if self._knowledge.asks_directly(target):
                background.start(self._links.warm(target), 'warm')

        self._clock.after(self._rng.uniform(0.0, _WARM_WITHIN_MS), warm)
