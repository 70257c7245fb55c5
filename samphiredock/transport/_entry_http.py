"""The HTTP server for callers whose requests are forwarded to targets."""

import asyncio
import socket

from samphiredock import metrics
from samphiredock import timers
from samphiredock.transport import _entry_connection

_CHECK_INTERVAL_MS = 500.0
"""How often connections are checked against their time limits."""

CLOSE_TIMEOUT_MS = 100.0
"""Default time for which a closing server waits for pending requests."""

_CLOSE_POLL_MS = 5.0


class EntryServer:
    """Listens at one address and passes each request to a handler.

    Parameters
    ----------
    callbacks
        Answer requests and return the state and limits to observe.
    counters
        The metrics of this daemon.
    clock
        The timers of this daemon.
    """

    def __init__(
        self,
        callbacks: _entry_connection.EntryCallbacks,
        counters: metrics.Metrics,
        clock: timers.Timers,
    ) -> None:
        self._callbacks = callbacks
        self._metrics = counters
        self._clock = clock
        self._connections: set[_entry_connection.EntryConnection] = set()
        self._server: asyncio.Server | None = None
        self._check_timer: timers.TimerHandle | None = None

    async def start(
        self,
        address: str,
        backlog: int,
        listener: socket.socket | None = None,
    ) -> None:
        """Serve at ``IP:port``; raises ``OSError`` if it cannot listen there.

        ``listener`` is a socket that already listens at the address;
        without it a new one is opened.
        """
        loop = asyncio.get_running_loop()
        if listener is not None:
            self._server = await loop.create_server(
                self._connect, sock=listener, backlog=backlog
            )
        else:
            host, _, port = address.rpartition(':')
            self._server = await loop.create_server(
                self._connect, host, int(port), backlog=backlog
            )
        self._check_timer = self._clock.every(_CHECK_INTERVAL_MS, self._check)

    def address(self) -> str:
        """Return ``IP:port`` of the running server."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    async def close(self, limit_ms: float = CLOSE_TIMEOUT_MS) -> None:
        """Stop listening, wait for pending requests, close all connections.

        Connections are closed as they become idle and aborted after
        ``limit_ms``; :meth:`abort` ends the wait early.
        """
        if self._server is not None:
            self._server.close()
        # In the first turn of the event loop, connections that were just
        # accepted are opened and so found below.  In the second one,
        # requests that had arrived on idle connections are read, so that
        # they are answered before the connections are closed.
        for _ in range(2):
            await asyncio.sleep(0)
        ends_ms = self._clock.now_ms() + limit_ms
        while self._connections and self._clock.now_ms() < ends_ms:
            for connection in list(self._connections):
                connection.close_if_idle()
            await asyncio.sleep(_CLOSE_POLL_MS / 1000.0)
        self.abort()
        # Cancelled last: until here the checks refuse overdue heads, which
        # would delay the close.
        if self._check_timer is not None:
            self._check_timer.cancel()

    def abort(self) -> int:
        """Abort the remaining connections.

        Returns how many had a request without a reply, or a reply that was
        not sent completely.
        """
        return sum(connection.abort() for connection in self._connections)

    def _connect(self) -> _entry_connection.EntryConnection:
        return _entry_connection.EntryConnection(
            self._callbacks, self._metrics, self._clock, self._connections
        )

    def _check(self) -> None:
        now_ms = self._clock.now_ms()
        for connection in list(self._connections):
            connection.check(now_ms)
