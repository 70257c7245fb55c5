"""The daemon for searches and runs: its HTTP servers, start and shutdown."""

import asyncio
import pathlib
import ssl
import typing

from aiohttp import web

from samphiredock.coordination import background
from samphiredock.daemon import _components
from samphiredock.daemon import _operator_handler
from samphiredock.daemon import _shutdown
from samphiredock import logs
from samphiredock import protocol
from samphiredock import state
from samphiredock import transport

_MAX_BODY_LIMIT_BYTES = 1_000_000
"""Limit of request bodies, whatever limit the configuration sets."""

_SHUTDOWN_TICK_MS = 50.0
_DRAIN_TIMEOUT_MS = 1_000.0
_LAST_REPLIES_MS = 1_000.0
"""How long to wait for the replies written at the end of a shutdown; those of
runs take longest, as they wait for the cancellation of their orders."""
_REPLY_POLL_MS = 10.0
_SERVER_CLOSE_S = 0.5
"""Timeout of aiohttp at closing a server, for a body still being read and a
caller that reads its reply slowly; aiohttp waits up to twice as long."""

_SHUTTING_DOWN = protocol.NotRun(
    protocol.NotRunReason.SHUTTING_DOWN,
    'this daemon is stopping; ask another one',
    100,
)
_REFUSING = frozenset({_shutdown.Phase.DRAINING, _shutdown.Phase.CLOSED})

_log = logs.logger('daemon')


class Node:
    """A daemon that serves searches, runs and operators' calls.

    Parameters
    ----------
    settings
        The daemon's addresses and limits.
    keys
        The operators' token and the CURVE keys.
    """

    def __init__(
        self, settings: state.Settings, keys: state.Keys | None = None
    ) -> None:
        self._settings = settings
        self._keys = keys or state.Keys()
        self._components = _components.Components(settings, self._keys)
        self._shutdown = _shutdown.Shutdown(
            settings.balancer_lag_ms,
            settings.shutdown_limit_ms,
            self._on_phase,
        )
        self._operator_handler = _operator_handler.OperatorHandler(
            self._components, settings, self.is_ready
        )
        self._stopped = asyncio.Event()
        self._open_requests = 0
        self._runners: list[web.AppRunner] = []

    # Requests of callers (transport.RequestExecutor).

    async def search(
        self, request: protocol.SearchRequest
    ) -> protocol.SearchOutcome:
        """Run one search."""
        return await self._serve(self._components.coordinator.search(request))

    async def run(
        self, request: protocol.RunRequest, idempotency_key: str
    ) -> protocol.RunOutcome:
        """Run one request that must not be executed more than once."""
        return await self._serve(self._admit_and_run(request, idempotency_key))

    async def _admit_and_run(
        self, request: protocol.RunRequest, idempotency_key: str
    ) -> protocol.RunOutcome:
        configuration = self._components.configuration
        if configuration is None:
            # Without a configuration the runner refuses every request.
            return await self._components.runner.run(request, idempotency_key)
        admission = self._components.admission
        refusal = admission.admit_run(request, configuration)
        if refusal is not None:
            return refusal
        try:
            return await self._components.runner.run(request, idempotency_key)
        finally:
            admission.release(request.service)

    async def _serve(
        self, work: typing.Coroutine[typing.Any, typing.Any, protocol.Outcome]
    ) -> protocol.Outcome:
        if self._shutdown.phase in _REFUSING:
            work.close()
            self._components.metrics.add(
                'requests_refused', reason='shutting-down'
            )
            return _SHUTTING_DOWN
        self._open_requests += 1
        try:
            return await work
        finally:
            self._open_requests -= 1

    def is_ready(self) -> bool:
        """Whether the balancer should send requests here."""
        components = self._components
        return (
            self._shutdown.phase is _shutdown.Phase.SERVING
            and components.configuration is not None
            and components.snapshot is not None
            and components.membership.is_settled()
            and components.membership.is_current()
        )

    def is_closing(self) -> bool:
        """Whether connections should close after the current reply."""
        return self._shutdown.phase is not _shutdown.Phase.SERVING

    # Start and shutdown.

    async def start(self) -> None:
        """Start all components and listen on all addresses.

        Raises ``OSError`` if an address cannot be listened on; then
        everything opened so far is closed again.
        """
        background.report_callback_failures(
            asyncio.get_running_loop(), self._components.metrics
        )
        try:
            await self._open()
        except BaseException:
            await self._close()
            raise
        _log.notice('started', name=self._settings.name)

    async def _open(self) -> None:
        self._components.start()
        callers = transport.caller_application(
            self,
            _MAX_BODY_LIMIT_BYTES,
            self._components.metrics,
            self._body_limit_bytes,
        )
        operators = transport.operator_application(
            self._operator_handler,
            self._components.metrics,
            self._keys.operator_token,
        )
        await self._listen(
            callers,
            self._settings.caller_address,
            _tls_context(self._settings.tls),
        )
        await self._listen(operators, self._settings.operator_address, None)

    def _body_limit_bytes(self) -> int:
        configuration = self._components.configuration
        limits = configuration.limits if configuration else state.Limits()
        return limits.body_limit_bytes

    async def _listen(
        self,
        application: web.Application,
        address: str,
        tls: ssl.SSLContext | None,
    ) -> None:
        host, _, port = address.rpartition(':')
        runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=_SERVER_CLOSE_S
        )
        self._runners.append(runner)
        await runner.setup()
        host = host.removeprefix('[').removesuffix(']')
        await web.TCPSite(runner, host, int(port), ssl_context=tls).start()

    def on_signal(self) -> None:
        """Begin a graceful shutdown, or shorten the current one."""
        self._shutdown.on_signal(self._components.clock.now_ms())

    async def wait_stopped(self) -> None:
        """Wait for the shutdown to reach its last phase, then close all."""
        await self._stopped.wait()
        await self._wait_for_replies()
        await self._stop_listening()
        # Waits until the outcomes of runs are recorded in the store.  One that
        # is lost with this process stays unknown: no retry can find it.
        await self._components.runner.drain(_DRAIN_TIMEOUT_MS)
        await self._components.close()
        _log.notice('stopped', name=self._settings.name)

    async def _wait_for_replies(self) -> None:
        """Wait until all requests read so far are answered.

        All pending requests have their outcome already, and new ones are
        refused.  Callers that keep sending are disconnected after the
        timeout.
        """
        ends_ms = self._components.clock.now_ms() + _LAST_REPLIES_MS
        while self._is_busy() and self._components.clock.now_ms() < ends_ms:
            await asyncio.sleep(_REPLY_POLL_MS / 1000.0)

    def _is_busy(self) -> bool:
        return any(
            transport.is_busy(connection)
            for runner in self._runners
            for connection in runner.server.connections
        )

    async def _stop_listening(self) -> None:
        for runner in self._runners:
            await runner.cleanup()

    async def _close(self) -> None:
        await self._stop_listening()
        await self._components.close()

    def in_flight(self) -> int:
        """Return how many requests and records a shutdown has to wait for."""
        return (
            self._open_requests
            + self._operator_handler.open_calls()
            + self._components.dispatcher.in_flight()
            + self._components.runner.in_flight()
            + self._components.runner.unrecorded_count()
        )

    def _on_phase(self, phase: _shutdown.Phase) -> None:
        _log.notice('shutdown phase', phase=phase.value)
        _PHASE_ACTIONS[phase](self)

    def _begin_leaving(self) -> None:
        # Other daemons take over dispatching to the targets, and this one
        # passes on to them what the balancer still sends.
        self._components.membership.leave()
        self._components.ownership.refresh()
        self._components.clock.every(
            _SHUTDOWN_TICK_MS,
            lambda: self._shutdown.on_tick(
                self._components.clock.now_ms(), self.in_flight()
            ),
        )

    def _begin_draining(self) -> None:
        # _serve refuses new requests in this phase.
        self._components.metrics.add('shutdowns_draining')

    def _finish(self) -> None:
        """Answer all pending requests.

        A closed connection would not tell its caller the outcome.
        """
        self._components.dispatcher.stop()
        pending = self.in_flight()
        self._components.coordinator.finish_all()
        self._components.runner.finish_all()
        self._operator_handler.finish_all()
        if pending:
            _log.warning('requests given up', left=pending)
            self._components.metrics.add('requests_given_up', pending)
        self._stopped.set()


_PHASE_ACTIONS = {
    _shutdown.Phase.LEAVING: Node._begin_leaving,
    _shutdown.Phase.DRAINING: Node._begin_draining,
    _shutdown.Phase.CLOSED: Node._finish,
}


def _tls_context(tls: state.TlsSettings | None) -> ssl.SSLContext | None:
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(
        pathlib.Path(tls.certificate_file), pathlib.Path(tls.key_file)
    )
    return context
