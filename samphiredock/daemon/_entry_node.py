"""A daemon that passes requests on: its HTTP interfaces, start and stop."""

import asyncio
import collections
import dataclasses
import random
import typing

import aiohttp
from aiohttp import web
from returns import result

from samphiredock import coordination
from samphiredock.coordination import background
from samphiredock.coordination import forwarding
from samphiredock.daemon import _shutdown
from samphiredock import logs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

_SHUTDOWN_TICK_MS = 20.0
_METRICS_FLUSH_MS = 1_000.0
_LOG_FLUSH_MS = 200.0
_EXIT_MS = 1_200.0
"""What is kept of the time before the kill for closing down: the four doors
wait up to 0.1 s each, and a slow host needs the rest."""

_RELOADED = ('retry_ratio', 'retry_slack', 'retry_window_s', 'collect_ms')
"""Settings that take effect without a restart."""

_PEER_CONNECTIONS = 16
"""Connections to one coordinator; 60 daemons then hold under 1,000 there,
of 4,100 descriptors."""

_HOP_MS = 4.0
"""What the way over another daemon takes of a route's aim: 1.4 ms between
sites each way, and the work of one more program."""

_NOTICE_LIMIT_MS = 1_000.0
"""A peer that takes longer is down; its callers go elsewhere as well."""

_STAND_IN_MS = 20_000.0
"""How long a daemon coordinates that found no coordinator: some of its
lists of the daemons, so that it does not change its part at each failure."""

_SETTLE_MS = 2_500.0
"""Targets that start together register within a second of each other."""

_WARM_WITHIN_MS = 1_500.0
"""In this time after they were seen new targets get a connection of every
coordinator, spread so that their slots are not all held at once."""

_ROUGH_MS = 60_000.0
"""Between reads by a daemon that hands over.  A configuration of 350 routes
has 100 KB; 60 daemons that read it each 20 s move 300 KB/s."""

_FIRST_READ_MS = 1_000.0
"""Between reads while there is no routing table yet."""

_STARTING_MS = 1_000.0
"""How long changes gather while the targets register: each would end a
watch of every daemon, 60 calls for one target."""

_DOWN_MS = 3_000.0
"""A coordinator that could not be reached for so long is passed over when
the coordinators are chosen.  A restart takes about 1 s."""

_BACKLOG = 1_024
"""Connections that may wait to be accepted; callers come in bursts."""

_log = logs.logger('entry')


class Adapter(forwarding.Dialect, typing.Protocol):
    """What the node needs of the platform that it runs on."""

    routing_prefix: str
    routing_key: str
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
        self._said_ready = False
        self._rng = random.Random(settings.name)
        self._settled = False
        self._settling_targets = 0
        self._settling_since_ms = 0.0
        self._settings = settings
        self._adapter = adapter
        self._clock = timers.LoopTimers()
        self._metrics = metrics.Metrics(settings.name)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self._store = adapter.store(self._session, settings.platform_address)
        self._routing = forwarding.RoutingKnowledge()
        self._targets = forwarding.LiveTargets(self._clock)
        self._role = forwarding.Role(
            settings.name, settings.coordinators_per_site
        )
        self._presence = forwarding.Presence(
            forwarding.Daemon(
                settings.name,
                settings.site,
                settings.peer_address,
                settings.cores * settings.core_share,
            ),
            self._store,
            self._clock,
            self._on_daemons,
        )
        self._watcher = coordination.Watcher(
            self._store,
            self._clock,
            self._metrics,
            settings.watch_ms,
            {adapter.targets_prefix: self._collect_ms},
        )
        self._watcher.share_among(
            self._watches, lambda: 1, lambda stored: None
        )
        self._watcher.poll_stale(self._stale_period_ms)
        self._links = transport.ChannelPool(self._clock, self._connections_to)
        self._crashes = forwarding.CrashGuard(
            self._clock, self._metrics, self._tell_loss
        )
        self._forwarder = self._make_forwarder()
        self._peers = forwarding.LiveTargets(self._clock)
        self._peer_links = transport.ChannelPool(
            self._clock, lambda target: _PEER_CONNECTIONS
        )
        self._peer_dialect = forwarding.HandoverDialect(self._routing)
        self._handover = self._make_handover()
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
        self._budget = forwarding.WindowBudget(
            self._clock,
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_s * 1000.0,
            self._budget_parts,
        )
        tools = coordination.Tools(
            self._targets,
            coordination.Replicas(
                rng,
                self._is_near,
                settings.other_site_factor,
                self._clock.now_ms,
            ),
            coordination.Latencies(),
            self._budget,
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
            self._crashes,
        )

    def _make_handover(self) -> forwarding.Forwarder:
        settings = self._settings
        tools = coordination.Tools(
            self._peers,
            coordination.Replicas(
                random.Random(settings.name),
                self._is_near_peer,
                settings.other_site_factor,
                self._clock.now_ms,
            ),
            coordination.Latencies(),
            coordination.ExtraBudget(),
            forwarding.NoSuspicions(),
        )
        return forwarding.Forwarder(
            forwarding.ForwardSettings(settings.site, 0.0, state.Limits()),
            forwarding.HandoverRouting(self._routing),
            self._peers,
            tools,
            self._peer_dialect,
            self._peer_links,
            self._clock,
            self._metrics,
        )

    def _is_near(self, target_id: str) -> bool:
        target = self._targets.get(target_id)
        return target is not None and target.site == self._settings.site

    def _is_near_peer(self, name: str) -> bool:
        peer = self._peers.get(name)
        return peer is not None and peer.site == self._settings.site

    def _budget_parts(self) -> int | None:
        """Return how many daemons share budget and connections."""
        return len(self._role.coordinators) or None

    def _connections_to(self, target: state.LiveTarget) -> int:
        """Return this daemon's part of the connections a target takes."""
        table = self._routing.table
        parts = self._budget_parts()
        if table is None or parts is None:
            return 1
        most = table.connections.get(target.service, 1)
        return forwarding.connections_of_one(most, parts)

    # Which daemons coordinate.

    def _on_daemons(self, daemons: tuple[forwarding.Daemon, ...]) -> None:
        now_ms = self._clock.now_ms()
        targets = collections.Counter(row.site for row in self._targets.all())
        if self._role.is_candidate and self._is_settled(now_ms):
            self._presence.set_near(
                forwarding.is_near(self._settings.site, targets)
            )
        up = [row for row in daemons if not self._seems_down(row, now_ms)]
        if self._role.update(up, now_ms):
            _log.notice('role', coordinates=self._role.coordinates)
        others = {
            row.name: row
            for row in daemons
            if row.name in self._role.coordinators
            and row.name != self._settings.name
        }
        for row in others.values():
            self._peers.put(forwarding.as_target(row))
        self._peers.keep_only(others)

    def _is_settled(self, now_ms: float) -> bool:
        """Whether the targets are listed well enough to choose by them.

        When the whole system starts, they register one after the other; a
        choice by the first few would change with each of them.
        """
        targets = len(self._targets.all())
        if targets != self._settling_targets:
            self._settling_targets = targets
            self._settling_since_ms = now_ms
        quiet_ms = now_ms - self._settling_since_ms
        if targets and quiet_ms > _SETTLE_MS:
            self._settled = True
        return self._settled

    def _watches(self) -> bool:
        """Whether this daemon follows the store itself."""
        role = self._role
        return role.coordinates or (role.is_candidate and not self._settled)

    def _stale_period_ms(self, prefix: str) -> float | None:
        """Return how often to read what is handed over anyhow.

        Of the routes only timeouts and what may be repeated are of use; of
        the targets, candidates need to know where most of them are.
        """
        if prefix == self._adapter.targets_prefix:
            return _ROUGH_MS if self._role.is_candidate else None
        return _ROUGH_MS if self._routing.table else _FIRST_READ_MS

    def _collect_ms(self) -> float:
        """Return how long changes of targets gather before the next watch."""
        return self._settings.collect_ms if self._settled else _STARTING_MS

    def _seems_down(self, daemon: forwarding.Daemon, now_ms: float) -> bool:
        """Whether a coordinator could not be reached for some time."""
        peer = self._peers.get(daemon.name)
        if peer is None:
            return False
        record = self._peers.record(daemon.name)
        return record.lost_for_ms(now_ms) > _DOWN_MS

    def _coordinates(self) -> bool:
        """Whether this daemon asks the targets itself.

        After a time of handing over, what it knows may be old; it has to
        have followed the store since it took the part on.
        """
        return self._role.coordinates and self._watcher.has_followed_since(
            self._role.since_ms
        )

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
        self._targets.on_new(self._warm_later)
        self._peers.on_gone(self._peer_links.forget)

    def _on_routing(self, page: transport.WatchPage) -> None:
        for stored in page.changed:
            self._take_routing(stored)

    def _take_routing(self, stored: transport.StoredObject) -> None:
        read = self._adapter.read_routing(stored.value)
        if isinstance(read, result.Failure):
            self._note_unreadable(stored.key, read.failure())
            return
        self._routing.offer(read.unwrap())

    def _warm_later(self, target: state.LiveTarget) -> None:
        """Connect to a new target before the first request needs it.

        The shards of a new index start some seconds before a configuration
        names them; a search would else open a connection to each at once,
        and each of these holds a slot for some ms.
        """

        def warm() -> None:
            if self._role.coordinates:
                background.start(self._links.warm(target), 'warm')

        self._clock.after(self._rng.uniform(0.0, _WARM_WITHIN_MS), warm)

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
            outcome = await self._serve(read.unwrap())
            return self._adapter.caller_reply(outcome)
        finally:
            self._open_requests -= 1

    async def _serve(
        self, request: protocol.ForwardRequest
    ) -> protocol.ForwardOutcome:
        if self._coordinates():
            return await self._forwarder.forward(request)
        outcome = await self._handover.forward(request)
        if (
            isinstance(outcome, protocol.NotRun)
            and outcome.reason is protocol.NotRunReason.NO_TARGET
        ):
            # No coordinator can be reached: this daemon becomes one until
            # they are back.
            self._role.stand_in(self._clock.now_ms(), _STAND_IN_MS)
        return outcome

    async def handle_peer(
        self,
        method: str,
        path: str,
        headers: protocol.Headers,
        body: bytes,
    ) -> protocol.HttpReply:
        """Answer a request that another daemon handed over."""
        if path == forwarding.LOSS_PATH:
            loss = forwarding.read_loss(body)
            if loss is None:
                return protocol.HttpReply(400, body=b'no loss in the body')
            self._crashes.note(loss)
            return protocol.HttpReply(204)
        handed = forwarding.read_handed_over(headers)
        if handed is None:
            return forwarding.refusal(handed, 'headers of the hop missing')
        read = self._adapter.read_request(method, path, handed.headers, body)
        if isinstance(read, result.Failure):
            return forwarding.refusal(handed, read.failure())
        if not await self._knows(handed.least_version):
            return forwarding.refusal(handed, 'behind, or no coordinator')
        self._open_requests += 1
        try:
            request = dataclasses.replace(
                read.unwrap(), deadline_ms=handed.left_ms
            )
            outcome = await self._forwarder.forward(request, _HOP_MS)
        finally:
            self._open_requests -= 1
        return forwarding.coordinator_reply(
            self._adapter.caller_reply(outcome), handed, self._version()
        )

    async def _knows(self, least_version: int) -> bool:
        """Whether this daemon can serve with a table that new."""
        if not self._role.coordinates:
            # Another daemon takes this one for a coordinator; lists differ
            # for some seconds after a change.
            self._role.stand_in(self._clock.now_ms(), _STAND_IN_MS)
        if not self._coordinates():
            return False
        if self._version() >= least_version:
            return True
        key = self._adapter.routing_key
        reply = await self._store.get(key)
        if isinstance(reply, result.Success):
            self._take_routing(reply.unwrap())
        return self._version() >= least_version

    def _tell_loss(self, loss: forwarding.Loss) -> None:
        """Tell the other coordinators; the content may come to any next."""
        request = forwarding.loss_notice(loss)
        for peer in self._peers.all():
            background.start(self._tell(peer, request), 'tell of a loss')

    async def _tell(
        self, peer: state.LiveTarget, request: protocol.HttpRequest
    ) -> None:
        reply = await self._peer_links.exchange(
            peer, request, _NOTICE_LIMIT_MS, lambda reply: True
        )
        if isinstance(reply, result.Failure):
            _log.info(
                'peer not told',
                peer=peer.target_id,
                why=reply.failure().detail,
            )

    def _version(self) -> int:
        return self._routing.table.version if self._routing.table else 0

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
            and self._can_serve()
        )

    def _can_serve(self) -> bool:
        """Whether it knows targets, or somebody who does."""
        if self._role.coordinates:
            return not self._targets.is_empty()
        return not self._peers.is_empty()

    # Life.

    async def start(self) -> None:
        """Open the addresses and begin to learn.

        Raises ``OSError`` if an address cannot be listened on.
        """
        self._clock.every(_METRICS_FLUSH_MS, self._metrics.flush)
        self._clock.every(_LOG_FLUSH_MS, self._log_stream.flush)
        self._presence.start()
        self._starting = background.start(self._start_watching(), 'start')
        settings = self._settings
        await self._listen(
            transport.entry_server(self, self._metrics),
            settings.caller_address,
        )
        await self._listen(
            transport.entry_server(_PeerDoor(self), self._metrics),
            settings.peer_address,
        )
        await self._listen(web.Server(self._say_ready), settings.ready_address)
        if settings.metrics_address is not None:
            await self._listen(
                web.Server(self._show_metrics), settings.metrics_address
            )
        _log.notice('started', name=settings.name, site=settings.site)

    async def _start_watching(self) -> None:
        # Most daemons of a large system never follow the targets; whether
        # this one does is known by the first list of the others.
        await self._presence.listed_once()
        self._watcher.start()

    async def _listen(self, server: web.Server, address: str) -> None:
        host, _, port = address.rpartition(':')
        runner = web.ServerRunner(server, shutdown_timeout=0.1)
        self._runners.append(runner)
        await runner.setup()
        site = web.TCPSite(runner, host, int(port), backlog=_BACKLOG)
        await site.start()

    async def _say_ready(self, request: web.BaseRequest) -> web.Response:
        ready = self.is_ready()
        if ready != self._said_ready:
            self._said_ready = ready
            _log.notice(
                'readiness',
                ready=ready,
                phase=self._shutdown.phase.value,
                table=self._version() or None,
                targets=len(self._targets.all()),
            )
        return web.Response(status=200 if ready else 503)

    async def _show_metrics(self, request: web.BaseRequest) -> web.Response:
        return web.Response(
            body=self._metrics.render(), content_type='text/plain'
        )

    def reload(self, settings: state.EntrySettings) -> None:
        """Take over settings that have changed while it runs.

        What cannot change without a restart keeps its value; the log says
        which fields those are.
        """
        before = dataclasses.asdict(self._settings)
        changed = [
            name
            for name, value in dataclasses.asdict(settings).items()
            if value != before[name]
        ]
        self._budget.set_bounds(
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_s * 1000.0,
        )
        taken = {name: getattr(settings, name) for name in _RELOADED}
        self._settings = dataclasses.replace(self._settings, **taken)
        _log.notice(
            'settings read again',
            changed=changed,
            need_restart=sorted(set(changed) - set(_RELOADED)),
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
        self._peer_links.close()
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


class _PeerDoor:
    """The server for other daemons, behind which the same node is."""

    def __init__(self, node: EntryNode) -> None:
        self.handle = node.handle_peer
        self.is_closing = node.is_closing
        self.limits = node.limits


_PHASE_ACTIONS = {
    _shutdown.Phase.LEAVING: EntryNode._begin_leaving,
    _shutdown.Phase.DRAINING: EntryNode._begin_draining,
    _shutdown.Phase.CLOSED: EntryNode._end,
}
