"""A daemon that passes requests on: its HTTP interfaces, start and stop."""

import asyncio
import dataclasses
import socket

from samphiredock.coordination import background
from samphiredock.daemon import _doors
from samphiredock.daemon import _entry_adapter
from samphiredock.daemon import _entry_knowledge
from samphiredock.daemon import _entry_service
from samphiredock.daemon import _shutdown
from samphiredock.daemon import early
from samphiredock import logs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

_SHUTDOWN_TICK_MS = 20.0
_METRICS_FLUSH_MS = 1_000.0

_METRICS_AFTER_MS = 5_000.0
"""When the libraries of the metrics are loaded, if nobody asks for the page
before.  After an outage callers come back at once; by then they are served,
and the load of some 100 ms, in another thread, costs them little."""

_LOG_FLUSH_MS = 200.0

_EXIT_MS = 500.0
"""What is kept of the time before the kill for the answers to what is still
open, and for the exit.  Answers to callers are written in one turn of the
loop; more would be taken from targets that still answer in time."""

_LAST_CALL_MS = 1_000.0
"""How long before the limit of a stop the doors close, whoever still comes:
what was read by then takes some tens of ms, a slow one some hundred."""

_RELOADED = ('retry_ratio', 'retry_slack', 'retry_window_s', 'collect_ms')
"""Settings that take effect without a restart."""

_FIRST_KNOWLEDGE_MS = 300.0
"""How long a fresh daemon keeps callers waiting for what the store shows:
some 30 ms if it answers.  Refused at once, they would use their last attempt
up on a daemon that is able to serve in the next moment."""

_LOOK_MS = 5.0

_NAMED = 8
"""Requests under way that the line of a stop's phase names at most."""

_log = logs.logger('entry')


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
    callers
        Listens for callers already; None: it is opened by :meth:`start`.
    """

    def __init__(
        self,
        settings: state.EntrySettings,
        adapter: _entry_adapter.Adapter,
        log_stream: logs.BoundedStream,
        callers: socket.socket | None = None,
    ) -> None:
        self._settings = settings
        self._callers = callers
        self._log_stream = log_stream
        self._clock = timers.LoopTimers()
        self._metrics = metrics.Metrics(settings.name)
        self._store_calls = transport.PooledStoreCalls(
            self._clock, settings.platform_address
        )
        self._knowledge = _entry_knowledge.EntryKnowledge(
            settings,
            adapter,
            adapter.store(self._store_calls),
            self._clock,
            self._metrics,
        )
        self._service = _entry_service.EntryService(
            settings, adapter, self._knowledge, self._clock, self._metrics
        )
        self._shutdown = _shutdown.Shutdown(
            settings.balancer_lag_ms,
            settings.stop_limit_s * 1000.0 - _EXIT_MS,
            self._on_phase,
            _LAST_CALL_MS,
        )
        self._stopped = asyncio.Event()
        self._doors: list[transport.EntryServer] = []
        self._pages: list[transport.EntryServer] = []
        self._said_ready = False

    def is_closing(self) -> bool:
        """Whether connections should end after the current answer."""
        return self._shutdown.phase is not _shutdown.Phase.SERVING

    def is_ready(self) -> bool:
        """Whether the balancer should send requests here."""
        return (
            not self.is_closing()
            and self._knowledge.version() > 0
            and self._knowledge.can_serve()
        )

    # Life.

    async def start(self) -> None:
        """Open the addresses and begin to learn.

        Raises ``OSError`` if an address cannot be listened on.
        """
        self._clock.after(
            _METRICS_AFTER_MS,
            lambda: background.start(self._begin_flushing(), 'metrics'),
        )
        self._clock.every(_LOG_FLUSH_MS, self._log_stream.flush)
        self._knowledge.start()
        self._service.start()
        settings = self._settings
        self._doors.append(
            await self._listen(
                self._service.handle_peer, settings.peer_address
            )
        )
        self._pages.append(
            await self._listen(self._say_ready, settings.ready_address)
        )
        if settings.metrics_address is not None:
            self._pages.append(
                await self._listen(
                    self._show_metrics, settings.metrics_address
                )
            )
        await self._wait_for_knowledge()
        self._doors.append(
            await self._listen(
                self._service.handle, settings.caller_address, self._callers
            )
        )
        _log.notice('started', name=settings.name, site=settings.site)

    async def _wait_for_knowledge(self) -> None:
        ends_ms = self._clock.now_ms() + _FIRST_KNOWLEDGE_MS
        while not self.is_ready() and self._clock.now_ms() < ends_ms:
            await asyncio.sleep(_LOOK_MS / 1000.0)

    async def _begin_flushing(self) -> None:
        await asyncio.to_thread(self._metrics.load)
        self._clock.every(_METRICS_FLUSH_MS, self._metrics.flush)

    async def _listen(
        self,
        handle: transport.EntryHandler,
        address: str,
        listening: socket.socket | None = None,
    ) -> transport.EntryServer:
        door = transport.EntryCallbacks(
            handle, self.is_closing, self._knowledge.limits
        )
        server = transport.EntryServer(door, self._metrics, self._clock)
        await server.start(address, early.BACKLOG, listening)
        return server

    async def _say_ready(
        self, method: str, path: str, headers: protocol.Headers, body: bytes
    ) -> protocol.HttpReply:
        ready = self.is_ready()
        if ready != self._said_ready:
            self._said_ready = ready
            _log.notice(
                'readiness',
                ready=ready,
                phase=self._shutdown.phase.value,
                table=self._knowledge.version() or None,
                targets=len(self._knowledge.targets.all()),
            )
        return protocol.HttpReply(200 if ready else 503)

    async def _show_metrics(
        self, method: str, path: str, headers: protocol.Headers, body: bytes
    ) -> protocol.HttpReply:
        return protocol.HttpReply(
            200, (('Content-Type', 'text/plain'),), self._metrics.render()
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
        taken = {name: getattr(settings, name) for name in _RELOADED}
        self._settings = dataclasses.replace(self._settings, **taken)
        self._knowledge.reload(self._settings)
        self._service.reload(self._settings)
        _log.notice(
            'settings read again',
            changed=changed,
            need_restart=sorted(set(changed) - set(_RELOADED)),
        )

    def on_signal(self) -> None:
        """Begin a graceful shutdown, or hurry one."""
        self._shutdown.on_signal(self._clock.now_ms())

    async def wait_stopped(self) -> None:
        """Wait for the end of a stop, and close what is open."""
        await self._stopped.wait()
        cut = await _doors.close_all(self._doors, self._left_ms, self._give_up)
        if cut:
            _log.error('requests cut', connections=cut)
            self._metrics.add('requests_cut', cut)
        # Who watches the stop sees its counters until the end.
        await asyncio.gather(*(page.close() for page in self._pages))
        self._knowledge.close()
        self._service.close()
        self._store_calls.close()
        self._clock.close()
        _log.notice('stopped', name=self._settings.name)
        self._metrics.close()

    def _left_ms(self) -> float:
        return self._shutdown.left_ms(self._clock.now_ms())

    def _give_up(self) -> None:
        left = self._service.open_requests()
        oldest = self._oldest()
        self._service.give_up()
        if left:
            _log.warning('requests given up', left=left, oldest=oldest)
            self._metrics.add('requests_given_up', left)

    def _on_phase(self, phase: _shutdown.Phase) -> None:
        _log.notice(
            'shutdown phase',
            phase=phase.value,
            open=self._service.open_requests(),
            oldest=self._oldest(),
        )
        _PHASE_ACTIONS[phase](self)

    def _oldest(self) -> list[dict[str, object]]:
        """Return the requests that a stop has waited for longest."""
        rows = sorted(
            self._service.pending_requests(),
            key=lambda row: row.for_ms,
            reverse=True,
        )
        return [dataclasses.asdict(row) for row in rows[:_NAMED]]

    def _begin_leaving(self) -> None:
        self._leave_task = asyncio.create_task(self._knowledge.leave())
        self._clock.every(
            _SHUTDOWN_TICK_MS,
            lambda: self._shutdown.on_tick(
                self._clock.now_ms(), self._service.open_requests()
            ),
        )

    def _begin_draining(self) -> None:
        # Requests are still served: a balancer with too few daemons left sends
        # callers here all the same, and one slow request may keep this daemon
        # for seconds.  Connections end with their next answer.
        self._metrics.add('shutdowns_draining')

    def _end(self) -> None:
        self._stopped.set()


_PHASE_ACTIONS = {
    _shutdown.Phase.LEAVING: EntryNode._begin_leaving,
    _shutdown.Phase.DRAINING: EntryNode._begin_draining,
    _shutdown.Phase.CLOSED: EntryNode._end,
}
