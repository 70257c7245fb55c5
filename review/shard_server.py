"""A server of a back-end service, by the users' pages.

It runs as many requests at a time as it has slots, queues a few more and
sheds the rest with ``Not-Run``.  It drops a request whose connection closes.
"""

import asyncio
import collections
import hashlib
import typing

from standins import scripted_target

RECORD_BYTES = 16
RECORD_COUNT = 6
"""An answer has some 100 bytes, as on the users' sheets."""

_HEAD_END = b'\r\n\r\n'

Event = tuple[float, str, str, str]
"""Seconds on the clock of the event loop, what, request id, server id."""


def records_of(receipt: str) -> list[bytes]:
    """Return the records that go with a receipt, evenly spread at random."""
    return [
        hashlib.blake2b(
            f'{receipt}/{number}'.encode(), digest_size=RECORD_BYTES
        ).digest()
        for number in range(RECORD_COUNT)
    ]


class ShardServer:
    """One server.

    Parameters
    ----------
    server_id, service, zone
        As in its registry entry.
    work_s
        Returns how long the next request takes.
    events
        Gets what happens to each request: ``arrived``, ``other`` (it was for
        another server), ``shed``, ``ran``, ``done`` or ``dropped``.
    slots, queue
        How many requests run at a time, and how many more may wait.

    ``bodies`` holds the body of each request that arrived, by its id, and
    ``on_run`` is called with the server and the id of each that it begins.
    """

    def __init__(
        self,
        server_id: str,
        service: str,
        zone: str,
        work_s: typing.Callable[[], float],
        events: list[Event],
        slots: int = 2,
        queue: int = 12,
    ) -> None:
        self.target_id = server_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.born = 0
        self.address = ''
        self.work_s = work_s
        self._events = events
        self._limit = slots + queue
        self._waiting: collections.deque[_Exchange] = collections.deque()
        self._running = 0
        self._server: asyncio.Server | None = None
        self.connections: set[_Connection] = set()
        self.bodies: dict[str, bytes] = {}
        self.on_run: typing.Callable[[ShardServer, str], None] = (
            lambda server, request_id: None
        )

    async def start(self) -> None:
        """Listen on a free port and set ``address``."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), '127.0.0.1', 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def stop(self) -> None:
        """End at once, as a process that exits."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.transport.abort()

    def on_request(
        self,
        connection: '_Connection',
        headers: typing.Mapping[str, str],
        body: bytes,
    ) -> None:
        """Take a request, or reject it."""
        request_id = headers.get('request-id', '')
        self.bodies[request_id] = body
        self.note('arrived', request_id)
        if headers.get('expect-instance') != self.target_id:
            self.note('other', request_id)
            connection.send(scripted_target.answer(request_id, status=421))
            return
        if self._running + len(self._waiting) >= self._limit:
            self.note('shed', request_id)
            rows = {'Not-Run': '1'}
            connection.send(
                scripted_target.answer(request_id, status=503, headers=rows)
            )
            return
        connection.exchange = _Exchange(connection, request_id)
        self._waiting.append(connection.exchange)
        self._start_next()

    def drop(self, exchange: '_Exchange') -> None:
        """Stop work on a request whose connection has closed."""
        self.note('dropped', exchange.request_id)
        if exchange.timer is None:
            self._waiting.remove(exchange)
            return
        exchange.timer.cancel()
        self._running -= 1
        self._start_next()

    def note(self, what: str, request_id: str) -> None:
        """Record an event."""
        now_s = asyncio.get_running_loop().time()
        self._events.append((now_s, what, request_id, self.target_id))

    def _start_next(self) -> None:
        loop = asyncio.get_running_loop()
        while self._waiting and self._running < self.slots:
            exchange = self._waiting.popleft()
            self._running += 1
            self.note('ran', exchange.request_id)
            self.on_run(self, exchange.request_id)
            exchange.timer = loop.call_later(
                self.work_s(), self._end, exchange
            )

    def _end(self, exchange: '_Exchange') -> None:
        self._running -= 1
        self.note('done', exchange.request_id)
        receipt = f'{exchange.request_id}.{self.target_id}'
        exchange.connection.exchange = None
        exchange.connection.send(
            scripted_target.answer(
                exchange.request_id,
                b''.join(records_of(receipt)),
                headers={'Answer-Stamp': receipt},
            )
        )
        self._start_next()


class _Exchange:
    """A request that waits or runs; ``timer`` is set while it runs."""

    def __init__(self, connection: '_Connection', request_id: str) -> None:
        self.connection = connection
        self.request_id = request_id
        self.timer: asyncio.TimerHandle | None = None


class _Connection(asyncio.Protocol):
    """One connection to a server, for one request at a time."""

    transport: asyncio.Transport

    def __init__(self, server: ShardServer) -> None:
        self.exchange: _Exchange | None = None
        self._server = server
        self._received = b''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = typing.cast(asyncio.Transport, transport)
        self._server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Drop the request that waits or runs."""
        self._server.connections.discard(self)
        if self.exchange is not None:
            self._server.drop(self.exchange)
            self.exchange = None

    def data_received(self, data: bytes) -> None:
        """Pass a whole request to the server."""
        self._received += data
        head, end, rest = self._received.partition(_HEAD_END)
        if not end:
            return
        rows = head.decode('latin-1').split('\r\n')[1:]
        headers = {
            name.lower(): value.strip()
            for name, _, value in (row.partition(':') for row in rows)
        }
        length = int(headers.get('content-length', 0))
        if len(rest) >= length:
            self._received = rest[length:]
            self._server.on_request(self, headers, rest[:length])

    def send(self, answer: bytes) -> None:
        """Write an answer."""
        self.transport.write(answer)
