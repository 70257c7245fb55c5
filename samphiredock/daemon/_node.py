"""One daemon: its parts, wired together."""

import asyncio
import pathlib
import random
import ssl
import typing

import aiohttp
from aiohttp import web

from samphiredock import coordination
from samphiredock.daemon import _shutdown
from samphiredock import logs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

PEER_MESSAGES = (
    protocol.SubQueryBatch,
    protocol.SubAnswerBatch,
    protocol.CancelAttempts,
    protocol.RunOrder,
    protocol.RunReport,
    coordination.Heartbeat,
    protocol.TargetSign,
    protocol.TargetSignsWanted,
    protocol.Release,
    protocol.Released,
)
"""The closed table of messages between daemons."""

_METRICS_FLUSH_MS = 1_000.0
_BODY_LIMIT_BYTES = 65_536
_OWNERSHIP_REFRESH_MS = 200.0
_SHUTDOWN_TICK_MS = 50.0

_log = logs.logger('daemon')


class Node:
    """The parts of one daemon; it owns their start and their stop."""

    def __init__(self, settings: state.Settings) -> None:
        self._settings = settings
        self._clock = timers.LoopTimers()
        self._metrics = metrics.Metrics(settings.name)
        self._session = aiohttp.ClientSession()
        self._platform = transport.HttpPlatform(
            self._session, settings.platform_url
        )
        incarnation = self._clock.wall_ms()
        self._me = state.Member(
            settings.name,
            settings.site,
            settings.region,
            settings.peer_address,
            settings.caller_address,
            settings.operator_address,
            incarnation,
        )
        self._hub = transport.PeerHub(
            settings.name,
            settings.peer_address,
            protocol.Codec(PEER_MESSAGES),
            self._metrics,
        )
        self._knowledge = coordination.Knowledge(self._metrics)
        self._watcher = coordination.Watcher(self._platform)
        coordination.follow_knowledge(self._watcher, self._knowledge)
        self._membership = coordination.Membership(
            self._me,
            self._hub,
            self._hub.set_address,
            self._platform,
            self._clock,
            self._metrics,
            lambda: self._knowledge.revision,
        )
        self._ownership = coordination.OwnershipTable(
            lambda: self.configuration,
            lambda: self.snapshot,
            self._membership.live,
            self._clock,
        )
        self._signs = coordination.TargetSigns(
            self._platform,
            self._hub,
            self._membership,
            self._clock,
            self._metrics,
            random.Random(settings.name),
            self._other_members,
        )
        self._watcher.follow(
            coordination.TARGETS_PREFIX, self._signs.on_object
        )
        self._dispatcher = coordination.Dispatcher(
            self._hub, self._clock, self._metrics, signs=self._signs
        )
        self._dispatcher.follow_ownership(
            settings.name,
            self._ownership,
            lambda name: name in self._other_members(),
        )
        self._knowledge.subscribe(self._dispatcher.configure)
        self._coordinator = coordination.Coordinator(
            settings.name,
            settings.site,
            incarnation,
            self,
            self._hub,
            self._clock,
            self._metrics,
        )
        self._runner = coordination.Runner(
            settings.name,
            settings.site,
            incarnation,
            self,
            self._hub,
            self._platform,
            self._clock,
            self._metrics,
        )
        self._shutdown = _shutdown.Shutdown(
            settings.balancer_lag_ms,
            settings.shutdown_limit_ms,
            self._on_phase,
        )
        self._stopped = asyncio.Event()
        self._open_requests = 0
        self._runners: list[web.AppRunner] = []

    # What the coordination layer reads (its View protocols).

    @property
    def configuration(self) -> state.Configuration | None:
        """The revision in force here."""
        return self._knowledge.configuration

    @property
    def snapshot(self) -> state.Snapshot | None:
        """The newest snapshot known here."""
        return self._knowledge.snapshot

    def owner(self, target: str) -> str | None:
        """The daemon that dispatches for a target."""
        return self._ownership.owner(target)

    def _other_members(self) -> list[str]:
        names = [member.name for member in self._membership.live()]
        return [name for name in names if name != self._settings.name]

    def is_usable(self, target: str) -> bool:
        """Whether a target may get new work."""
        configuration = self._knowledge.configuration
        return (
            configuration is not None
            and target in configuration.targets
            and self._signs.is_usable(target)
        )

    # What the HTTP interfaces ask for.

    async def search(
        self, request: protocol.SearchRequest
    ) -> protocol.SearchOutcome:
        """Run one search."""
        return await self._serve(self._coordinator.search(request))

    async def run(
        self, request: protocol.RunRequest, idempotency_key: str
    ) -> protocol.RunOutcome:
        """Run one unrepeatable request."""
        return await self._serve(self._runner.run(request, idempotency_key))

    async def _serve(
        self, work: typing.Coroutine[typing.Any, typing.Any, protocol.Outcome]
    ) -> protocol.Outcome:
        if self._shutdown.phase in _REFUSING:
            work.close()
            self._metrics.add('requests_refused', reason='shutting-down')
            return _SHUTTING_DOWN
        self._open_requests += 1
        try:
            return await work
        finally:
            self._open_requests -= 1

    def is_ready(self) -> bool:
        """Whether the balancer should send requests here."""
        return (
            self._shutdown.phase is _shutdown.Phase.SERVING
            and self.configuration is not None
            and self.snapshot is not None
        )

    def is_closing(self) -> bool:
        """Whether connections should end after the current answer."""
        return self._shutdown.phase is not _shutdown.Phase.SERVING

    def status(self) -> dict[str, typing.Any]:
        """Return the daemon's view of members, sites and targets."""
        configuration = self.configuration
        targets = configuration.targets if configuration else {}
        return {
            'name': self._settings.name,
            'site': self._settings.site,
            'incarnation': self._me.incarnation,
            'ready': self.is_ready(),
            'revision': self._knowledge.revision,
            'snapshot_id': self.snapshot.snapshot_id if self.snapshot else 0,
            'members': self._membership.live(),
            'revisions': self._membership.revisions(),
            'targets': {name: self.owner(name) for name in targets},
            'counters': self._metrics.totals(),
        }

    async def start(self) -> None:
        """Open the addresses and begin to learn."""
        self._clock.every(_METRICS_FLUSH_MS, self._metrics.flush)
        self._watcher.start()
        self._membership.start()
        self._signs.start()
        self._clock.every(_OWNERSHIP_REFRESH_MS, self._ownership.refresh)
        callers = transport.caller_application(self, _BODY_LIMIT_BYTES)
        operators = transport.operator_application(self, self._metrics, None)
        await self._listen(
            callers,
            self._settings.caller_address,
            _tls_context(self._settings.tls),
        )
        await self._listen(operators, self._settings.operator_address, None)
        _log.notice('started', name=self._settings.name)

    async def _listen(
        self,
        application: web.Application,
        address: str,
        tls: ssl.SSLContext | None,
    ) -> None:
        host, _, port = address.rpartition(':')
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, host, int(port), ssl_context=tls).start()
        self._runners.append(runner)

    def on_signal(self) -> None:
        """Begin a graceful shutdown, or hurry one."""
        self._shutdown.on_signal(self._clock.now_ms())

    async def wait_stopped(self) -> None:
        """Wait until a shutdown has gone through all its phases."""
        await self._stopped.wait()
        await self._close()

    def in_flight(self) -> int:
        """Return the work that a graceful stop has to wait for."""
        return (
            self._open_requests
            + self._runner.in_flight()
            + self._dispatcher.in_flight()
        )

    def _on_phase(self, phase: _shutdown.Phase) -> None:
        _log.notice('shutdown phase', phase=phase.value)
        _PHASE_ACTIONS[phase](self)

    def _begin_leaving(self) -> None:
        # The others take over the dispatching while this daemon still
        # serves what the balancer sends, through them.
        self._membership.leave()
        self._clock.every(
            _SHUTDOWN_TICK_MS,
            lambda: self._shutdown.on_tick(
                self._clock.now_ms(), self.in_flight()
            ),
        )

    def _begin_draining(self) -> None:
        pass

    def _end(self) -> None:
        left = self.in_flight()
        if left:
            _log.warning('stopped with requests in flight', left=left)
            self._metrics.add('requests_cut', left)
        self._stopped.set()

    async def _close(self) -> None:
        """Close every connection and stop every part."""
        for runner in self._runners:
            await runner.cleanup()
        self._watcher.close()
        self._signs.close()
        self._membership.close()
        await self._dispatcher.close()
        self._hub.close()
        await self._session.close()
        self._clock.close()
        self._metrics.close()
        _log.notice('stopped', name=self._settings.name)


_REFUSING = frozenset({_shutdown.Phase.DRAINING, _shutdown.Phase.CLOSED})

_SHUTTING_DOWN = protocol.NotRun(
    protocol.NotRunReason.SHUTTING_DOWN,
    'this daemon is stopping; ask another one',
    100,
)

_PHASE_ACTIONS = {
    _shutdown.Phase.LEAVING: Node._begin_leaving,
    _shutdown.Phase.DRAINING: Node._begin_draining,
    _shutdown.Phase.CLOSED: Node._end,
}


def _tls_context(tls: state.TlsSettings | None) -> ssl.SSLContext | None:
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(
        pathlib.Path(tls.certificate_file), pathlib.Path(tls.key_file)
    )
    return context
