"""A daemon that passes requests on: its HTTP interfaces, start and stop."""

import asyncio
import random
import typing

import aiohttp
from aiohttp import web
from returns import result

from samphiredock import coordination
from samphiredock.coordination import forwarding
from samphiredock.daemon import _shutdown
from samphiredock import logs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

_SHUTDOWN_TICK_MS = 50.0
_METRICS_FLUSH_MS = 1_000.0
_LOG_FLUSH_MS = 200.0
_EXIT_MS = 500.0
"""What is kept of the time before the kill for closing down."""

_BACKLOG = 1_024
"""Connections that may wait to be accepted; callers come in bursts."""

_log = logs.logger('entry')


class Adapter(forwarding.Dialect, typing.Protocol):
    """What the node needs of the platform that it runs on."""

    routing_prefix: str
    targets_prefix: str

    def store(
        self, session: aiohttp.ClientSession, address: str
    ) -> transport.Objects:
        """Return the client of the platform's store."""

    def read_routing(
        self, value: bytes
    ) -> result.Result[state.RoutingTable, str]:
        """Return the routing table that an object holds."""

    def read_target(
        self, key: str, value: bytes
    ) -> result.Result[state.LiveTarget, str]:
        """Return the target that an object registers."""

    def target_id(self, key: str) -> str:
        """Return the id of the target whose object this is."""

    def read_request(
        self,
        method: str,
        path: str,
        headers: protocol.Headers,
        body: bytes,
    ) -> result.Result[protocol.ForwardRequest, str]:
        """Return a caller's request, or what is wrong with it."""

    def caller_reply(
        self, outcome: protocol.ForwardOutcome
    ) -> protocol.HttpReply:
        """Return what the caller is told."""


class EntryNode:
    """A running daemon.

    Parameters
    ----------
    settings
        Its addresses and bounds.
    adapter
        The platform's names and wire.
    log_stream
        Where the log lines go.
    """

    def __init__(
        self,
        settings: state.EntrySettings,
        adapter: Adapter,
        log_stream: logs.BoundedStream,
    ) -> None:
        self._log_stream = log_stream
        self._settings = settings
        self._adapter = adapter
        self._clock = timers.LoopTimers()
        self._metrics = metrics.Metrics(settings.name)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        store = adapter.store(self._session, settings.platform_address)
        self._routing = forwarding.RoutingKnowledge()
        self._targets = forwarding.LiveTargets(self._clock)
        self._presence = forwarding.Presence(
            settings.name, settings.site, store, self._clock
        )
        self._watcher = coordination.Watcher(
            store,
            self._clock,
            self._metrics,
            settings.watch_ms,
            settings.collect_ms,
        )
        self._links = transport.ChannelPool(self._clock, self._connections_to)
        self._forwarder = self._make_forwarder()
        self._shutdown = _shutdown.Shutdown(
            settings.balancer_lag_ms,
            settings.stop_limit_s * 1000.0 - _EXIT_MS,
            self._on_phase,
        )
        self._stopped = asyncio.Event()
        self._open_requests = 0
        self._runners: list[web.BaseRunner] = []
        self._follow()

    def _make_forwarder(self) -> forwarding.Forwarder:
        settings = self._settings
        rng = random.Random(settings.name)
        tools = coordination.Tools(
            self._targets,
            coordination.Replicas(
                rng,
                self._is_near,
                settings.other_site_factor,
                self._clock.now_ms,
            ),
            coordination.Latencies(),
            forwarding.WindowBudget(
                self._clock,
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window_s * 1000.0,
                self._presence.daemons,
            ),
            forwarding.NoSuspicions(),
        )
        return forwarding.Forwarder(
            forwarding.ForwardSettings(
                settings.site,
                settings.caller_way_ms,
                state.Limits(hedge_quantile=settings.hedge_quantile),
            ),
            self._routing,
            self._targets,
            tools,
            self._adapter,
            self._links,
            self._clock,
            self._metrics,
        )

    def _is_near(self, target_id: str) -> bool:
        target = self._targets.get(target_id)
        return target is not None and target.site == self._settings.site

    def _connections_to(self, target: state.LiveTarget) -> int:
        """Return this daemon's part of the connections a target takes."""
        table = self._routing.table
        daemons = self._presence.daemons()
        if table is None or daemons is None:
            return 1
        return table.connections.get(target.service, 1) // daemons

    # What is learned from the store.

    def _follow(self) -> None:
        self._watcher.follow_pages(
            self._adapter.routing_prefix, self._on_routing
        )
        self._watcher.follow_pages(
            self._adapter.targets_prefix, self._on_targets
        )
        self._watcher.on_outage(self._targets.store_is_away)
        self._targets.on_gone(self._links.forget)

    def _on_routing(self, page: transport.WatchPage) -> None:
        for stored in page.changed:
            read = self._adapter.read_routing(stored.value)
            if isinstance(read, result.Failure):
                self._note_unreadable(stored.key, read.failure())
                continue
            self._routing.offer(read.unwrap())

    def _on_targets(self, page: transport.WatchPage) -> None:
        listed = set()
        for stored in page.changed:
            listed.add(self._adapter.target_id(stored.key))
            read = self._adapter.read_target(stored.key, stored.value)
            if isinstance(read, result.Failure):
                self._note_unreadable(stored.key, read.failure())
                continue
            self._targets.put(read.unwrap())
        for key in page.gone:
            self._targets.remove(self._adapter.target_id(key))
        if page.whole:
            self._targets.keep_only(listed)

    def _note_unreadable(self, key: str, why: str) -> None:
        self._metrics.add('store_objects_unreadable')
        _log.error('object cannot be read', key=key, why=why)

    # What the server for callers asks for.

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
            outcome = await self._forwarder.forward(read.unwrap())
            return self._adapter.caller_reply(outcome)
        finally:
            self._open_requests -= 1

    def is_closing(self) -> bool:
        """Whether connections should end after the current answer."""
        return self._shutdown.phase is not _shutdown.Phase.SERVING

    def limits(self) -> state.CallerLimits:
        """What callers may send now."""
        table = self._routing.table
        return table.limits if table else state.CallerLimits()

    def is_ready(self) -> bool:
        """Whether the balancer should send requests here."""
        return (
            not self.is_closing()
            and self._routing.table is not None
            and not self._targets.is_empty()
        )

    # Life.

    async def start(self) -> None:
        """Open the addresses and begin to learn.

        Raises ``OSError`` if an address cannot be listened on.
        """
        self._clock.every(_METRICS_FLUSH_MS, self._metrics.flush)
        self._clock.every(_LOG_FLUSH_MS, self._log_stream.flush)
        self._watcher.start()
        self._presence.start()
        settings = self._settings
        await self._listen(
            transport.entry_server(self, self._metrics),
            settings.caller_address,
        )
        await self._listen(web.Server(self._say_ready), settings.ready_address)
        if settings.metrics_address is not None:
            await self._listen(
                web.Server(self._show_metrics), settings.metrics_address
            )
        _log.notice('started', name=settings.name, site=settings.site)

    async def _listen(self, server: web.Server, address: str) -> None:
        host, _, port = address.rpartition(':')
        runner = web.ServerRunner(server, shutdown_timeout=0.1)
        self._runners.append(runner)
        await runner.setup()
        site = web.TCPSite(runner, host, int(port), backlog=_BACKLOG)
        await site.start()

    async def _say_ready(self, request: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self.is_ready() else 503)

    async def _show_metrics(self, request: web.BaseRequest) -> web.Response:
        return web.Response(
            body=self._metrics.render(), content_type='text/plain'
        )

    def on_signal(self) -> None:
        """Begin a graceful shutdown, or hurry one."""
        self._shutdown.on_signal(self._clock.now_ms())

    async def wait_stopped(self) -> None:
        """Wait until a shutdown has gone through all its phases."""
        await self._stopped.wait()
        for runner in self._runners:
            await runner.cleanup()
        self._watcher.close()
        self._links.close()
        await self._session.close()
        self._clock.close()
        _log.notice('stopped', name=self._settings.name)
        self._metrics.close()

    def _on_phase(self, phase: _shutdown.Phase) -> None:
        _log.notice(
            'shutdown phase', phase=phase.value, open=self._open_requests
        )
        _PHASE_ACTIONS[phase](self)

    def _begin_leaving(self) -> None:
        self._leave_task = asyncio.create_task(self._presence.leave())
        self._clock.every(
            _SHUTDOWN_TICK_MS,
            lambda: self._shutdown.on_tick(
                self._clock.now_ms(), self._open_requests
            ),
        )

    def _begin_draining(self) -> None:
        # Requests are still served: their connections close after them, so
        # that none comes any more, and the daemon ends when all have left.
        self._metrics.add('shutdowns_draining')

    def _end(self) -> None:
        if self._open_requests:
            _log.warning(
                'stopped with requests in flight', left=self._open_requests
            )
            self._metrics.add('requests_cut', self._open_requests)
        self._stopped.set()


_PHASE_ACTIONS = {
    _shutdown.Phase.LEAVING: EntryNode._begin_leaving,
    _shutdown.Phase.DRAINING: EntryNode._begin_draining,
    _shutdown.Phase.CLOSED: EntryNode._end,
}
