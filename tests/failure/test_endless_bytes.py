"""Peers that write bytes without end: targets, and callers."""

import asyncio
import enum
import pathlib
import sys
import typing
import unittest
from unittest import mock

from returns import result

from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport
from samphiredock.transport import _caller_request
from samphiredock.transport import _entry_connection
from samphiredock.transport import _http_connection
from samphiredock.transport import _reply_limits
from standins import endless_bytes
from standins import scripted_target

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / 'platform'))

import prepared_hosts  # noqa: E402

_BLOCK_BYTES = 65_536
_MOST_BYTES = 64 * 1024 * 1024
_BODIES = frozenset({'a body without a length', 'a body with a length'})
_Kind = transport.LinkErrorKind
_Result = result.Result[typing.Any, typing.Any]
_TIMEOUT_MS = 60_000.0


def _blocks(way: endless_bytes.Way) -> typing.Iterator[bytes]:
    first, repeated = way
    block = repeated * max(1, _BLOCK_BYTES // len(repeated))
    if first:
        yield first
    for _ in range(_MOST_BYTES // len(block)):
        yield block


def _endless(
    ways: typing.Mapping[str, endless_bytes.Way],
) -> dict[str, endless_bytes.Way]:
    return {name: way for name, way in ways.items() if way[1]}


class EndlessReplyTest(unittest.IsolatedAsyncioTestCase):
    """A target that writes without end."""

    def _read(self, way: endless_bytes.Way) -> int:
        """Return how many bytes are read before the exchange fails."""
        reader = _http_connection._ReplyReader(
            'GET', lambda got: got.header('Request-Id') == 'a', None, False
        )
        read_bytes = 0
        try:
            for block in _blocks(way):
                read_bytes += len(block)
                reader.feed(block)
        except (
            _http_connection.httptools.HttpParserError,
            _reply_limits.LimitExceeded,
        ):
            pass
        self.assertIsNone(reader.found)
        reader.close()
        return read_bytes

    def test_little_is_read_of_what_is_no_body(self) -> None:
        """One target held a daemon's event loop and filled its memory."""
        for name, way in _endless(endless_bytes.REPLIES).items():
            with self.subTest(name):
                limit_bytes = 4 * _BLOCK_BYTES
                if name in _BODIES:
                    limit_bytes = _reply_limits.REPLY_LIMIT_BYTES
                self.assertLessEqual(
                    self._read(way), limit_bytes + _BLOCK_BYTES
                )

    def test_replies_together_are_limited(self) -> None:
        """Fifty targets took more memory than a host has."""
        readers = [
            _http_connection._ReplyReader('GET', lambda got: True, None, False)
            for _ in range(50)
        ]
        first, repeated = endless_bytes.REPLIES['a body without a length']
        open_readers = list(readers)
        for reader in readers:
            reader.feed(first)
        for _ in range(_reply_limits.REPLY_LIMIT_BYTES // _BLOCK_BYTES):
            for reader in list(open_readers):
                try:
                    reader.feed(repeated * _BLOCK_BYTES)
                except _reply_limits.LimitExceeded:
                    reader.close()
                    open_readers.remove(reader)
            self.assertLessEqual(
                _http_connection._buffered.held_bytes,
                _reply_limits.BUFFERED_LIMIT_BYTES
                + len(readers) * (_BLOCK_BYTES + 1),
            )
        for reader in open_readers:
            reader.close()
        self.assertEqual(0, _http_connection._buffered.held_bytes)

    def test_ordinary_replies_are_within_the_limits(self) -> None:
        """Limits that ordinary targets reach would lose their replies."""
        chunks = b'40\r\n' + b'x' * 64 + b'\r\n'
        head = b'HTTP/1.1 200 OK\r\nRequest-Id: a\r\n'
        late = b'HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 0\r\n\r\n'
        body = bytes(2 * 1024 * 1024)
        for name, reply in {
            'a large body': head
            + b'Content-Length: %d\r\n\r\n' % len(body)
            + body,
            'many chunks': head
            + b'Transfer-Encoding: chunked\r\n\r\n'
            + chunks * 30_000
            + b'0\r\nA: b\r\n\r\n',
            'many headers': head
            + b'A: b\r\n' * 200
            + b'Content-Length: 0\r\n\r\n',
            'late replies': late * 8 + head + b'Content-Length: 0\r\n\r\n',
            'an interim reply': b'HTTP/1.1 103 Hints\r\nA: b\r\n\r\n' * 2
            + head
            + b'Content-Length: 0\r\n\r\n',
        }.items():
            with self.subTest(name):
                reader = _http_connection._ReplyReader(
                    'GET', lambda got: got.header('Request-Id') == 'a',
                    None, False,
                )  # fmt: skip
                for begin in range(0, len(reply), _BLOCK_BYTES):
                    reader.feed(reply[begin : begin + _BLOCK_BYTES])
                self.assertIsNotNone(reader.found)
                reader.close()

    def test_trailers_are_no_headers(self) -> None:
        """A trailer could say that a request that ran has not run."""
        reader = _http_connection._ReplyReader(
            'GET', lambda got: True, None, False
        )
        reader.feed(
            b'HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'0\r\nNot-Run: 1\r\n\r\n'
        )
        self.assertIsNone(reader.found.header('Not-Run'))
        reader.close()


class EndlessExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Clients of a server that writes without end, with a long timeout."""

    async def asyncSetUp(self) -> None:
        """Start the server."""
        self.clock = timers.LoopTimers()
        self.addCleanup(self.clock.close)
        self.closed = asyncio.Event()
        self.ways = _endless(endless_bytes.REPLIES)
        self.way = endless_bytes.ORDINARY
        server = scripted_target.ScriptedTarget(self._write)
        self.address = await server.start()
        self.addAsyncCleanup(server.stop)

    async def _write(
        self, seen: scripted_target.HttpMessage, writer: asyncio.StreamWriter
    ) -> None:
        try:
            for block in _blocks(self.way):
                writer.write(block)
                await writer.drain()
        except ConnectionError:
            self.closed.set()

    async def _check(
        self,
        call: typing.Callable[[], typing.Awaitable[_Result]],
        kind: enum.Enum,
    ) -> None:
        """Check that a call fails for each way, and closes its connection."""
        for name, self.way in self.ways.items():
            with self.subTest(name):
                self.closed.clear()
                self.assertIs(kind, (await call()).failure().kind)
                await self.closed.wait()

    async def test_entry_daemon(self) -> None:
        """An exchange lasted until its timeout, and so did its costs."""
        pool = transport.ConnectionPool(self.clock, lambda target: 4)
        entry = state.LiveTarget('t', 's', self.address, 'here', 2)
        await self._check(
            lambda: pool.exchange(
                entry,
                protocol.HttpRequest('GET', '/', (('Request-Id', 'a'),)),
                _TIMEOUT_MS,
                lambda got: got.header('Request-Id') == 'a',
            ),
            _Kind.BAD_ANSWER,
        )
        self.assertEqual(0, pool._pools['t'].open_count)

    async def test_dispatcher(self) -> None:
        """A health probe took gigabytes."""
        link = transport.HttpTargetLink(
            state.Target('t', 'here', f'http://{self.address}', 2, 4, 5)
        )
        self.addAsyncCleanup(link.close)
        await self._check(lambda: link.health(_TIMEOUT_MS), _Kind.BAD_ANSWER)
        self.assertEqual(0, link.open_connections)

    async def test_store(self) -> None:
        """A call of the store took gigabytes."""
        calls = transport.PooledStoreCalls(
            self.clock, f'http://{self.address}'
        )
        self.addCleanup(calls.close)
        # Replies of the store have no ids: the first one is taken.
        del self.ways['replies to others']
        await self._check(
            lambda: calls.call('GET', '/', timeout_ms=int(_TIMEOUT_MS)),
            transport.StoreErrorKind.UNREADABLE,
        )


class EndlessRequestTest(unittest.IsolatedAsyncioTestCase):
    """A caller that writes without end."""

    async def asyncSetUp(self) -> None:
        """Open a connection without a socket."""
        self.clock = timers.ManualTimers()
        self.limits = state.CallerLimits()
        self.handled: list[tuple[protocol.Headers, bytes]] = []
        self.stated_ms: float | None = None
        counters = metrics.Metrics('test')
        self.addCleanup(counters.close)
        self.transport = mock.Mock()
        self.transport.is_closing.return_value = False
        self.transport.get_write_buffer_size.return_value = 0
        self.connection = self._connect(counters)

    def _connect(
        self, counters: metrics.Metrics
    ) -> _entry_connection.EntryConnection:
        callbacks = transport.EntryCallbacks(
            self._handle,
            lambda: False,
            lambda: self.limits,
            lambda headers: self.stated_ms,
        )
        connection = _entry_connection.EntryConnection(
            callbacks, counters, self.clock, set()
        )
        connection.connection_made(self.transport)
        return connection

    async def _handle(
        self, method: str, path: str, headers: protocol.Headers, body: bytes
    ) -> protocol.HttpReply:
        self.handled.append((headers, body))
        return protocol.HttpReply(200)

    def _written(self) -> bytes:
        calls = self.transport.write.call_args_list
        return b''.join(call.args[0] for call in calls)

    async def _answer(self) -> bytes:
        for _ in range(5):
            await asyncio.sleep(0)
        return self._written()

    async def test_little_is_read(self) -> None:
        """Any caller could end a daemon by filling its memory."""
        body_ways = {'a body', 'chunks of 64 kB'}
        for name, way in _endless(endless_bytes.REQUESTS).items():
            with self.subTest(name):
                await self.asyncSetUp()
                read_bytes = 0
                for block in _blocks(way):
                    if self.connection._reading_ended:
                        break
                    read_bytes += len(block)
                    self.connection.data_received(block)
                limit_bytes = 3 * _BLOCK_BYTES
                if name in body_ways:
                    limit_bytes = self.limits.body_bytes
                self.assertLessEqual(
                    read_bytes, limit_bytes + 2 * _BLOCK_BYTES
                )
                self.assertIn((await self._answer())[9:12], _REFUSALS)
                self.assertEqual([], self.handled)

    async def test_blank_lines_behind_a_request_are_limited(self) -> None:
        """They were read on for as long as the request took."""
        self.connection.data_received(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        read_bytes = 0
        for block in _blocks(endless_bytes.REQUESTS['blank lines']):
            if self.connection._reading_ended:
                break
            read_bytes += len(block)
            self.connection.data_received(block)
        self.assertLessEqual(read_bytes, 3 * _BLOCK_BYTES)
        answer = await self._answer()
        self.assertLess(answer.index(b' 200 '), answer.index(b' 431 '))

    async def test_reading_pauses_after_a_refusal(self) -> None:
        """Reading on for half a second kept the event loop busy."""
        for block in _blocks(endless_bytes.REQUESTS['trailers']):
            self.connection.data_received(block)
            await asyncio.sleep(0)
            if self.transport.pause_reading.called:
                break
        self.assertIn(b' 431 ', await self._answer())
        self.transport.pause_reading.assert_called_once()
        self.clock.advance(_entry_connection.LINGER_MS)
        self.transport.close.assert_called()

    async def test_slow_request_ends(self) -> None:
        """A body that never ended held its connection for ever."""
        for stated_ms, limit_ms in (
            (None, self.limits.idle_ms),
            (100.0, self.limits.header_ms),
            (9_000.0, 9_000.0),
            (1e12, self.limits.idle_ms),
        ):
            with self.subTest(stated_ms=stated_ms):
                await self.asyncSetUp()
                self.stated_ms = stated_ms
                self.connection.data_received(
                    b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n'
                )
                began_ms = self.clock.now_ms()
                while self.clock.now_ms() < began_ms + limit_ms:
                    self.connection.data_received(b'')
                    self.connection.check(self.clock.now_ms())
                    self.clock.advance(1_000.0)
                self.assertEqual(b'', await self._answer())
                self.connection.check(self.clock.now_ms() + 1_000.0)
                self.assertIn(b' 408 ', await self._answer())
                self.assertEqual([], self.handled)

    async def test_request_behind_a_slow_one_is_not_overdue(self) -> None:
        """Its caller waits for the first reply before it sends the body."""
        done = asyncio.Event()

        async def handle(*request: object) -> protocol.HttpReply:
            await done.wait()
            return protocol.HttpReply(200)

        self._handle = handle
        self.connection = self._connect(metrics.Metrics('test'))
        self.connection.data_received(
            b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
            b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n'
        )
        await asyncio.sleep(0)
        self.clock.advance(self.limits.idle_ms * 2)
        self.connection.check(self.clock.now_ms())
        done.set()
        await self._answer()
        self.connection.data_received(b'ab')
        self.assertEqual(2, (await self._answer()).count(b' 200 '))

    async def test_trailers_are_no_headers(self) -> None:
        """A trailer could replace a header that was checked before."""
        self.connection.data_received(
            b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'2\r\nab\r\n0\r\nHost: other\r\n\r\n'
        )
        await self._answer()
        ((headers, body),) = self.handled
        self.assertEqual(b'ab', body)
        self.assertNotIn(('Host', 'other'), headers)

    async def test_ordinary_requests_are_within_the_limits(self) -> None:
        """Limits that ordinary callers reach would refuse them."""
        chunked = (
            b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        most = self.limits.body_bytes
        for name, request in {
            'the largest body': b'POST / HTTP/1.1\r\nHost: h\r\n'
            b'Content-Length: %d\r\n\r\n' % most + bytes(most),
            'chunks of 64 bytes': chunked
            + (b'40;a=b\r\n' + bytes(64) + b'\r\n') * (most // 64)
            + b'0\r\n\r\n',
            'small chunks': chunked
            + b'1\r\nx\r\n' * _caller_request.CHUNK_ALLOWANCE
            + b'0\r\nA: b\r\n\r\n',
        }.items():
            with self.subTest(name):
                await self.asyncSetUp()
                for begin in range(0, len(request), _BLOCK_BYTES):
                    self.connection.data_received(
                        request[begin : begin + _BLOCK_BYTES]
                    )
                self.assertIn(b' 200 ', await self._answer())


class StatedDeadlineTest(unittest.TestCase):
    """How long a caller waits, as the platform's adapter reads it."""

    def test_stated_deadline(self) -> None:
        """A malformed value must not lift the limit on the request."""
        adapter = prepared_hosts.PreparedHosts()
        for headers, expected in (
            ((), None),
            ((('deadline-ms', ' 250 '),), 250.0),
            ((('Deadline-Ms', '1'), ('Deadline-Ms', '2')), 2.0),
            ((('Deadline-Ms', '-1'),), None),
            ((('Deadline-Ms', 'inf'),), None),
        ):
            with self.subTest(headers):
                self.assertEqual(expected, adapter.stated_deadline_ms(headers))


_REFUSALS = frozenset({b'400', b'413', b'431'})
