"""The entry daemon: its HTTP servers, start, reload and shutdown."""

import asyncio
import dataclasses
import socket
import typing

from samphiredock.coordination import background
from samphiredock.daemon import _entry_adapter
from samphiredock.daemon import _entry_forwarding
from samphiredock.daemon import _entry_state
from samphiredock.daemon import _server_closing
from samphiredock.daemon import _shutdown
from samphiredock.daemon import early_listener
from samphiredock import logs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

_SHUTDOWN_TICK_MS = 20.0
_METRICS_FLUSH_MS = 1_000.0

_METRICS_LOAD_DELAY_MS = 5_000.0
"""Delay before the metrics libraries are imported, unless the metrics page is
requested earlier.  An import at the start would delay callers that return all
at once after an outage; later, in another thread, it delays them little."""

_LOG_FLUSH_MS = 200.0

_EXIT_RESERVE_MS = 500.0
"""Part of the stop limit reserved for the last replies and the exit."""

_EARLY_CLOSE_MS = 1_000.0
"""How long before the shutdown limit the servers close even if requests keep
arriving, so that those already read can still be answered."""

_RELOADABLE = ('retry_ratio', 'retry_slack', 'retry_window_s', 'collect_ms')
"""Settings that a reload applies; all others need a restart."""

_READY_WAIT_MS = 300.0
"""How long callers of a new daemon wait in the listen queue until it has read
the store.  Callers refused at once would use up their last attempt on a daemon
that is ready a moment later."""

_READY_POLL_MS = 5.0

_LOGGED_REQUESTS = 8
"""How many of the oldest pending requests a log line lists."""

_log = logs.logger('entry')


class EntryNode:
    """An entry daemon.

    Parameters
    ----------
    settings
        The daemon's addresses and limits.
    adapter
        The platform's key names and encodings.
    log_stream
        The stream of log lines, flushed regularly by this daemon.
    caller_listener
        A socket that already listens for callers; if it is None,
        :meth:`start` opens one.
    """

    def __init__(
        self,
        settings: state.EntrySettings,
        adapter: _entry_adapter.Adapter,
        log_stream: logs.BoundedStream,
        caller_listener: socket.socket | None = None,
    ) -> None:
        self._settings = settings
        self._caller_listener = caller_listener
        self._log_stream = log_stream
        self._clock = timers.LoopTimers()
        self._adapter = adapter
        self._metrics = metrics.Metrics(settings.name)
        self._store_calls = transport.PooledStoreCalls(
            self._clock, f'http://{settings.platform_address}'
        )
        self._entry_state = _entry_state.EntryState(
            settings,
            adapter,
            adapter.store(self._store_calls),
            self._clock,
            self._metrics,
        )
        self._forwarding = _entry_forwarding.EntryForwarding(
            settings, adapter, self._entry_state, self._clock, self._metrics
        )
        self._shutdown = _shutdown.Shutdown(
            settings.balancer_lag_ms,
            settings.stop_limit_s * 1000.0 - _EXIT_RESERVE_MS,
            self._on_phase,
            _EARLY_CLOSE_MS,
        )
        self._stopped = asyncio.Event()
        self._request_servers: list[transport.EntryServer] = []
        self._status_servers: list[transport.EntryServer] = []
        self._logged_ready = False

    def is_closing(self) -> bool:
        """Whether connections should close after the current reply."""
        return self._shutdown.phase is not _shutdown.Phase.SERVING

    def is_ready(self) -> bool:
        """Whether the balancer should send requests here."""
        return (
            not self.is_closing()
            and self._entry_state.routing_version() > 0
            and self._entry_state.can_serve()
        )

    # Start.

    async def start(self) -> None:
        """Follow the store and listen on all addresses.

        Raises ``OSError`` if an address cannot be listened on.
        """
        background.report_callback_failures(
            asyncio.get_running_loop(), self._metrics
        )
        self._clock.after(
            _METRICS_LOAD_DELAY_MS,
            lambda: background.start(self._start_metrics(), 'metrics'),
        )
        self._clock.every(_LOG_FLUSH_MS, self._log_stream.flush)
        self._entry_state.start()
        self._forwarding.start()
        settings = self._settings
        self._request_servers.append(
            await self._listen(
                self._forwarding.handle_peer, settings.peer_address
            )
        )
        self._status_servers.append(
            await self._listen(self._serve_readiness, settings.ready_address)
        )
        if settings.metrics_address is not None:
            self._status_servers.append(
                await self._listen(
                    self._serve_metrics, settings.metrics_address
                )
            )
        await self._wait_until_ready()
        self._request_servers.append(
            await self._listen(
                self._forwarding.handle,
                settings.caller_address,
                self._caller_listener,
            )
        )
        _log.notice('started', name=settings.name, site=settings.site)

    def start_loop(
        self, make_work: typing.Callable[[], background.Work], name: str
    ) -> asyncio.Task[None]:
        """Run endless work that goes on after an exception."""
        return background.start_loop(
            make_work, name, self._clock, self._metrics
        )

    async def _wait_until_ready(self) -> None:
        ends_ms = self._clock.now_ms() + _READY_WAIT_MS
        while not self.is_ready() and self._clock.now_ms() < ends_ms:
            await asyncio.sleep(_READY_POLL_MS / 1000.0)

    async def _start_metrics(self) -> None:
        await asyncio.to_thread(self._metrics.load)
        self._clock.every(_METRICS_FLUSH_MS, self._metrics.flush)

    async def _listen(
        self,
        handle: transport.EntryHandler,
        address: str,
        listener: socket.socket | None = None,
    ) -> transport.EntryServer:
        callbacks = transport.EntryCallbacks(
            handle,
            self.is_closing,
            self._entry_state.limits,
            self._adapter.stated_deadline_ms,
        )
        server = transport.EntryServer(callbacks, self._metrics, self._clock)
        await server.start(address, early_listener.BACKLOG, listener)
        return server

    async def _serve_readiness(
        self, method: str, path: str, headers: protocol.Headers, body: bytes
    ) -> protocol.HttpReply:
        ready = self.is_ready()
        if ready != self._logged_ready:
            self._logged_ready = ready
            _log.notice(
                'readiness',
                ready=ready,
                phase=self._shutdown.phase.value,
                table=self._entry_state.routing_version() or None,
                targets=len(self._entry_state.targets.all()),
            )
        return protocol.HttpReply(200 if ready else 503)

    async def _serve_metrics(
        self, method: str, path: str, headers: protocol.Headers, body: bytes
    ) -> protocol.HttpReply:
        return protocol.HttpReply(
            200, (('Content-Type', 'text/plain'),), self._metrics.render()
        )

    def reload(self, settings: state.EntrySettings) -> None:
        """Apply changed settings; log those that need a restart."""
        before = dataclasses.asdict(self._settings)
        changed = [
            name
            for name, value in dataclasses.asdict(settings).items()
            if value != before[name]
        ]
        reloaded = {name: getattr(settings, name) for name in _RELOADABLE}
        self._settings = dataclasses.replace(self._settings, **reloaded)
        self._entry_state.reload(self._settings)
        self._forwarding.reload(self._settings)
        _log.notice(
            'settings reloaded',
            changed=changed,
            need_restart=sorted(set(changed) - set(_RELOADABLE)),
        )

    def on_signal(self) -> None:
        """Begin a graceful shutdown, or shorten the current one."""
        self._shutdown.on_signal(self._clock.now_ms())

    async def wait_stopped(self) -> None:
        """Wait for the shutdown to reach its last phase, then close all."""
        await self._stopped.wait()
        aborted = await _server_closing.close_servers(
            self._request_servers, self._left_ms, self._finish_all
        )
        if aborted:
            _log.error('requests cut', connections=aborted)
            self._metrics.add('requests_cut', aborted)
        # The readiness and metrics pages stay available until here.
        await asyncio.gather(
            *(server.close() for server in self._status_servers)
        )
        self._entry_state.close()
        self._forwarding.close()
        self._store_calls.close()
        self._clock.close()
        _log.notice('stopped', name=self._settings.name)
        self._metrics.close()

    def _left_ms(self) -> float:
        return self._shutdown.left_ms(self._clock.now_ms())

    def _finish_all(self) -> None:
        pending = self._forwarding.open_requests()
        oldest = self._oldest_requests()
        self._forwarding.finish_all()
        if pending:
            _log.warning('requests given up', left=pending, oldest=oldest)
            self._metrics.add('requests_given_up', pending)

    def _on_phase(self, phase: _shutdown.Phase) -> None:
        _log.notice(
            'shutdown phase',
            phase=phase.value,
            open=self._forwarding.open_requests(),
            oldest=self._oldest_requests(),
        )
        _PHASE_ACTIONS[phase](self)

    def _oldest_requests(self) -> list[dict[str, object]]:
        """Return the oldest pending requests, as fields of a log line."""
        rows = sorted(
            self._forwarding.pending_requests(),
            key=lambda row: row.for_ms,
            reverse=True,
        )
        return [dataclasses.asdict(row) for row in rows[:_LOGGED_REQUESTS]]

    def _begin_leaving(self) -> None:
        self._leave_task = asyncio.create_task(self._entry_state.leave())
        self._clock.every(
            _SHUTDOWN_TICK_MS,
            lambda: self._shutdown.on_tick(
                self._clock.now_ms(), self._forwarding.open_requests()
            ),
        )

    def _begin_draining(self) -> None:
        # Requests are still served: a balancer with too few ready daemons
        # sends callers here nevertheless, and a single slow request may keep
        # this daemon in the phase for seconds.  Each connection closes after
        # its next reply.
        self._metrics.add('shutdowns_draining')

    def _finish(self) -> None:
        self._stopped.set()


_PHASE_ACTIONS = {
    _shutdown.Phase.LEAVING: EntryNode._begin_leaving,
    _shutdown.Phase.DRAINING: EntryNode._begin_draining,
    _shutdown.Phase.CLOSED: EntryNode._finish,
}
