"""The HTTP server for callers whose requests are passed on."""

import asyncio
import socket

from samphiredock import metrics
from samphiredock import timers
from samphiredock.transport import _entry_connection

_CHECK_MS = 500.0
"""How often connections are looked at; the limits are seconds."""

CLOSE_TIMEOUT_MS = 100.0
"""How long requests that are under way may still take when it closes, unless
the closer knows better."""

_LOOK_MS = 5.0


class EntryServer:
    """Listens at one address and has each request answered by a door.

    Parameters
    ----------
    door
        What answers.
    counters
        The metrics of this daemon.
    clock
        The timers of this daemon.
    """

    def __init__(
        self,
        door: _entry_connection.EntryCallbacks,
        counters: metrics.Metrics,
        clock: timers.Timers,
    ) -> None:
        self._door = door
        self._metrics = counters
        self._clock = clock
        self._connections: set[_entry_connection.EntryConnection] = set()
        self._server: asyncio.Server | None = None
        self._checking: timers.TimerHandle | None = None

    async def start(
        self,
        address: str,
        backlog: int,
        listening: socket.socket | None = None,
    ) -> None:
        """Serve at ``IP:port``; raises ``OSError`` if that is not possible.

        ``listening`` is a socket that listens there already.
        """
        loop = asyncio.get_running_loop()
        if listening is not None:
            self._server = await loop.create_server(
                self._connect, sock=listening, backlog=backlog
            )
        else:
            host, _, port = address.rpartition(':')
            self._server = await loop.create_server(
                self._connect, host, int(port), backlog=backlog
            )
        self._checking = self._clock.every(_CHECK_MS, self._check)

    def address(self) -> str:
        """Return ``IP:port`` while it serves."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    async def close(self, limit_ms: float = CLOSE_TIMEOUT_MS) -> None:
        """Listen no more; end the connections, idle ones first.

        ``limit_ms`` is how long requests that are under way may still take;
        :meth:`abort` ends the wait before.
        """
        if self._server is not None:
            self._server.close()
        # A connection that was accepted a moment ago is open one turn later;
        # not seen, its request would be taken by a server that counts as
        # closed.  After another turn what had come on an idle connection has
        # been read, and is answered instead of crossing its close.
        for _ in range(2):
            await asyncio.sleep(0)
        ends_ms = self._clock.now_ms() + limit_ms
        while self._connections and self._clock.now_ms() < ends_ms:
            for connection in list(self._connections):
                connection.close_if_idle()
            await asyncio.sleep(_LOOK_MS / 1000.0)
        self.abort()
        # Only now: a head that does not come would hold the close.
        if self._checking is not None:
            self._checking.cancel()

    def abort(self) -> int:
        """Close the connections that are left.

        Returns how many had a request without an answer, or an answer that
        was not out yet.
        """
        return sum(connection.abort() for connection in self._connections)

    def _connect(self) -> _entry_connection.EntryConnection:
        return _entry_connection.EntryConnection(
            self._door, self._metrics, self._clock, self._connections
        )

    def _check(self) -> None:
        now_ms = self._clock.now_ms()
        for connection in list(self._connections):
            connection.check(now_ms)
