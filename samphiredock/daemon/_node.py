"""One daemon: its parts, wired together."""

import pathlib
import random
import ssl
import typing

import aiohttp
from aiohttp import web

from samphiredock import coordination
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
    protocol.ClaimAsk,
    protocol.ClaimAnswer,
    coordination.Heartbeat,
)
"""The closed table of messages between daemons."""

_METRICS_FLUSH_MS = 1_000.0
_BODY_LIMIT_BYTES = 65_536

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
        self._dispatcher = coordination.Dispatcher(
            self._hub, self._clock, self._metrics
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
            random.Random(),
        )
        self._sweeper = coordination.ClaimSweeper(
            settings.name,
            lambda: [member.name for member in self._membership.live()],
            self._platform,
            self._clock,
            self._metrics,
        )
        self._closing = False
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
        configuration = self._knowledge.configuration
        if configuration is None or target not in configuration.targets:
            return None
        return coordination.owner_of(
            configuration.targets[target],
            self._membership.live(),
            configuration.sites,
        )

    def is_usable(self, target: str) -> bool:
        """Whether a target may get new work."""
        configuration = self._knowledge.configuration
        return configuration is not None and target in configuration.targets

    # What the HTTP interfaces ask for.

    async def search(
        self, request: protocol.SearchRequest
    ) -> protocol.SearchOutcome:
        """Run one search."""
        return await self._coordinator.search(request)

    async def run(
        self, request: protocol.RunRequest, idempotency_key: str
    ) -> protocol.RunOutcome:
        """Run one unrepeatable request."""
        return await self._runner.run(request, idempotency_key)

    def is_ready(self) -> bool:
        """Whether the balancer should send requests here."""
        return (
            not self._closing
            and self.configuration is not None
            and self.snapshot is not None
        )

    def is_closing(self) -> bool:
        """Whether connections should end after the current answer."""
        return self._closing

    def status(self) -> dict[str, typing.Any]:
        """Return the daemon's view of members, sites and targets."""
        configuration = self.configuration
        targets = configuration.targets if configuration else {}
        return {
            'name': self._settings.name,
            'site': self._settings.site,
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
        self._sweeper.start()
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

    async def stop(self) -> None:
        """Stop every part and close every connection."""
        self._closing = True
        self._membership.leave()
        for runner in self._runners:
            await runner.cleanup()
        await self._runner.drain()
        self._runner.close()
        self._sweeper.close()
        self._watcher.close()
        self._membership.close()
        await self._dispatcher.close()
        self._hub.close()
        await self._session.close()
        self._clock.close()
        self._metrics.close()
        _log.notice('stopped', name=self._settings.name)


def _tls_context(tls: state.TlsSettings | None) -> ssl.SSLContext | None:
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(
        pathlib.Path(tls.certificate_file), pathlib.Path(tls.key_file)
    )
    return context
