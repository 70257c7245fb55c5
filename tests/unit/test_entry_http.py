"""The HTTP server for callers whose requests are forwarded."""

import asyncio
import dataclasses
import socket
import typing
import unittest

import aiohttp

from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport


_LARGE = bytes(8_000_000)
"""More than the socket buffers of a connection hold."""

_LONG = bytes(1_000_000)
"""Fits into socket buffers, but not into the buffer of a stream reader."""


def _request(path: str) -> bytes:
    return f'GET {path} HTTP/1.1\r\nHost: h\r\n\r\n'.encode()


class EntryHttpTest(unittest.IsolatedAsyncioTestCase):
    """One server whose handler is the test."""

    async def asyncSetUp(self) -> None:
        """Start the server and a client session."""
        self.counters = metrics.Metrics('test')
        self.addCleanup(self.counters.close)
        self.requests: list[tuple[str, str, protocol.Headers, bytes]] = []
        self.limits = state.CallerLimits(header_bytes=16_384, body_bytes=100)
        self.closing = False
        self.cancelled = asyncio.Event()
        callbacks = transport.EntryCallbacks(
            self._handle, lambda: self.closing, lambda: self.limits
        )
        clock = timers.LoopTimers()
        self.addCleanup(clock.close)
        self.server = transport.EntryServer(callbacks, self.counters, clock)
        await self.server.start('127.0.0.1:0', 16)
        self.addAsyncCleanup(self.server.close)
        self.url = f'http://{self.server.address()}'
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def _handle(
        self, method: str, path: str, headers: protocol.Headers, body: bytes
    ) -> protocol.HttpReply | protocol.StreamedReply:
        self.requests.append((method, path, headers, body))
        if path == '/broken':
            raise RuntimeError('by the test')
        if path == '/slow':
            try:
                await asyncio.sleep(60.0)
            except asyncio.CancelledError:
                self.cancelled.set()
                raise
        if path.startswith('/pieces'):
            return protocol.StreamedReply(200, (), self._pieces(path))
        return protocol.HttpReply(207, (('X-A', 'b'),), b'body')

    async def _pieces(self, path: str) -> typing.AsyncGenerator[bytes, None]:
        try:
            yield b'one'
            if path == '/pieces/broken':
                raise RuntimeError('by the test')
            if path == '/pieces/slow':
                await asyncio.sleep(60.0)
            yield b'two'
        finally:
            self.cancelled.set()

    async def test_a_streamed_reply(self) -> None:
        """Each piece is a chunk; the connection is reusable afterwards."""
        self.assertEqual((200, b'onetwo'), await self._get('/pieces'))
        self.assertEqual((207, b'body'), await self._get('/x'))

    async def test_a_failed_stream_is_seen_as_incomplete(
        self,
    ) -> None:
        """The caller would take a part of the reply for all of it."""
        with self.assertRaises(aiohttp.ClientError):
            await self._get('/pieces/broken')

    async def test_a_disconnect_closes_the_stream(
        self,
    ) -> None:
        """Otherwise targets would go on working for a caller that is gone."""
        async with self.session.get(self.url + '/pieces/slow') as got:
            self.assertEqual(b'one', await got.content.readany())
            got.close()
        await asyncio.wait_for(self.cancelled.wait(), 10.0)

    async def test_the_pool_passes_on_chunks_as_they_arrive(self) -> None:
        """A chunk must not wait for the last one."""
        clock = timers.LoopTimers()
        pool = transport.ConnectionPool(clock, lambda target: 4)
        entry = state.LiveTarget('t', 's', self.server.address(), 'here', 2)
        taken: list[bytes] = []
        first = asyncio.Event()

        def take(chunk: bytes) -> None:
            taken.append(chunk)
            first.set()

        for path in ('/pieces', '/pieces/slow'):
            first.clear()
            asking = asyncio.create_task(
                pool.exchange(
                    entry,
                    protocol.HttpRequest('GET', path, (('Host', 'h'),)),
                    5_000.0,
                    lambda reply: True,
                    on_chunk=take,
                )
            )
            await asyncio.wait_for(first.wait(), 10.0)
            if path == '/pieces':
                self.assertEqual(b'', (await asking).unwrap().body)
                self.assertEqual([b'one', b'two'], taken)
            asking.cancel()
        self.assertEqual([b'one', b'two', b'one'], taken)
        pool.close()
        clock.close()

    async def _get(self, path: str, **options: object) -> tuple[int, bytes]:
        async with self.session.get(self.url + path, **options) as got:
            return got.status, await got.read()

    async def test_expect_100_continue(self) -> None:
        """Without ``100 Continue`` the caller would not send its body."""
        host, _, port = self.server.address().partition(':')
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(
            b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
            b'Expect: 100-continue\r\n\r\n'
        )
        async with asyncio.timeout(10.0):
            interim = await reader.readuntil(b'\r\n\r\n')
            writer.write(b'xyz')
            head = await reader.readuntil(b'\r\n\r\n')
        writer.close()
        self.assertEqual(b'HTTP/1.1 100 Continue\r\n\r\n', interim)
        self.assertIn(b' 207 ', head)
        self.assertEqual(b'xyz', self.requests[0][3])

    async def test_a_large_announced_body_is_refused_at_once(self) -> None:
        """The caller gets the refusal before it sends the body."""
        host, _, port = self.server.address().partition(':')
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(
            b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n'
            b'Expect: 100-continue\r\n\r\n'
        )
        async with asyncio.timeout(10.0):
            head = await reader.readuntil(b'\r\n\r\n')
        writer.close()
        self.assertIn(b' 413 ', head)

    async def test_path_and_body_are_not_changed(self) -> None:
        """The target must get what the caller sent, byte for byte."""
        raw = b'POST /a%2Fb/../c?q=%20&r HTTP/1.1\r\nHost: h\r\n'
        raw += b'Content-Encoding: gzip\r\nContent-Length: 3\r\n\r\nxyz'
        host, _, port = self.server.address().partition(':')
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(raw)
        head = await reader.readuntil(b'\r\n\r\n')
        writer.close()
        self.assertIn(b' 207 ', head)
        method, path, _, body = self.requests[0]
        self.assertEqual(('POST', '/a%2Fb/../c?q=%20&r'), (method, path))
        self.assertEqual(b'xyz', body)

    async def test_the_limit_of_request_heads(self) -> None:
        """The configured limit applies, also to one long header.

        aiohttp's own limit is lower.
        """
        status, _ = await self._get('/x', headers={'X-Long': 'a' * 12_000})
        self.assertEqual(207, status)
        status, _ = await self._get('/x', headers={'X-Long': 'a' * 17_000})
        self.assertEqual(431, status)
        self.assertEqual(1, len(self.requests))

    async def test_a_body_over_the_limit_is_refused(self) -> None:
        """The handler is not called."""
        async with self.session.post(self.url, data=b'x' * 101) as got:
            self.assertEqual(413, got.status)
        self.assertEqual([], self.requests)

    async def test_a_failed_handler_is_an_internal_error(self) -> None:
        """It may have started work, so the reply does not say "not run"."""
        status, _ = await self._get('/broken')
        self.assertEqual(500, status)

    async def test_a_disconnect_cancels_the_request(self) -> None:
        """Its targets can stop working."""
        task = asyncio.create_task(self._get('/slow'))
        while not self.requests:
            await asyncio.sleep(0.005)
        task.cancel()
        await self.cancelled.wait()

    async def test_connections_end_while_the_daemon_stops(self) -> None:
        """The reply tells callers to send no further request on them."""
        self.closing = True
        async with self.session.get(self.url + '/x') as got:
            self.assertEqual('close', got.headers.get('Connection'))

    async def test_bytes_that_are_not_a_request(self) -> None:
        """The caller gets an error, and the connection is closed."""
        host, _, port = self.server.address().partition(':')
        for raw in (
            b'\x00\x01\r\n\r\n',
            b'GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n',
            b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n'
            b'Content-Length: 3\r\n\r\nzz\r\n',
        ):
            with self.subTest(raw):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(raw)
                answer = await asyncio.wait_for(reader.read(), 5.0)
                writer.close()
                self.assertIn(b' 400 ', answer.split(b'\r\n')[0])
        self.assertEqual([], self.requests)

    async def _send(self, raw: bytes) -> bytes:
        """Send bytes and return everything received until EOF."""
        host, _, port = self.server.address().partition(':')
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(raw)
        answer = await asyncio.wait_for(reader.read(), 10.0)
        writer.close()
        return answer

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        """Also more than the queue holds, and an error after them."""
        one = b'GET /%d HTTP/1.1\r\nHost: h\r\n\r\n'
        raw = b''.join(one % number for number in range(30))
        answer = await self._send(raw + b'nothing\r\n\r\n')
        self.assertEqual(30, answer.count(b' 207 '))
        self.assertIn(b' 400 ', answer.rpartition(b' 207 ')[2])
        paths = [path for _, path, _, _ in self.requests]
        self.assertEqual([f'/{number}' for number in range(30)], paths)

    async def test_a_request_that_arrives_byte_by_byte(self) -> None:
        """Path, headers and a chunked body are assembled."""
        host, _, port = self.server.address().partition(':')
        reader, writer = await asyncio.open_connection(host, port)
        raw = b'POST /abc?d HTTP/1.1\r\nHost: h\r\nX-Long: abcdef\r\n'
        raw += b'Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n'
        raw += b'3\r\nxyz\r\n2\r\n12\r\n0\r\n\r\n'
        for at in range(len(raw)):
            writer.write(raw[at : at + 1])
            await writer.drain()
            await asyncio.sleep(0)
        answer = await asyncio.wait_for(reader.read(), 10.0)
        writer.close()
        self.assertIn(b' 207 ', answer)
        _, path, headers, body = self.requests[0]
        self.assertEqual(('/abc?d', b'xyz12'), (path, body))
        self.assertIn(('X-Long', 'abcdef'), headers)

    async def test_an_endless_head_is_refused(self) -> None:
        """It would take ever more memory."""
        raw = b'GET / HTTP/1.1\r\nX-Long: ' + b'a' * 200_000
        self.assertIn(b' 431 ', await self._send(raw))

    async def test_an_upgrade_is_not_supported(self) -> None:
        """The request is answered as HTTP/1.1, and the connection ends."""
        raw = b'GET /a HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\n'
        raw += b'Upgrade: h2c\r\n\r\nGET /b HTTP/1.1\r\n\r\n'
        answer = await self._send(raw)
        self.assertEqual(1, answer.count(b' 207 '))
        self.assertEqual(1, len(self.requests))

    async def test_a_reply_to_head_has_no_body(self) -> None:
        """The caller would read a body as the next reply."""
        raw = b'HEAD /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
        answer = await self._send(raw)
        self.assertIn(b' 207 ', answer)
        self.assertTrue(answer.endswith(b'\r\n\r\n'))

    async def test_an_http_1_0_caller(self) -> None:
        """Without a keep-alive header the connection ends."""
        answer = await self._send(b'GET /a HTTP/1.0\r\n\r\n')
        self.assertIn(b'Connection: close', answer)


class EntryCloseTest(unittest.IsolatedAsyncioTestCase):
    """A server that closes while callers connect or send."""

    async def test_closing_while_callers_connect(self) -> None:
        """An accepted connection that is not open yet must not raise an error.

        The server is closed after each number of turns of the event loop.
        """
        counters = metrics.Metrics('test')
        self.addCleanup(counters.close)
        clock = timers.LoopTimers()
        self.addCleanup(clock.close)
        limits = state.CallerLimits()
        callbacks = transport.EntryCallbacks(
            self._handle, lambda: True, lambda: limits
        )
        for turns in range(20):
            server = transport.EntryServer(callbacks, counters, clock)
            await server.start('127.0.0.1:0', 16)
            host, _, port = server.address().partition(':')
            connecting = [
                asyncio.ensure_future(asyncio.open_connection(host, port))
                for _ in range(3)
            ]
            for _ in range(turns):
                await asyncio.sleep(0)
            await server.close()
            for made in await asyncio.gather(
                *connecting, return_exceptions=True
            ):
                if not isinstance(made, BaseException):
                    made[1].close()

    async def test_a_handled_request_is_answered_before_close_returns(
        self,
    ) -> None:
        """The process ends after the close, and what still runs would be lost.

        A connection accepted just before the close opens one turn of the
        event loop later.
        """
        counters = metrics.Metrics('test')
        self.addCleanup(counters.close)
        clock = timers.LoopTimers()
        self.addCleanup(clock.close)
        callbacks = transport.EntryCallbacks(
            self._handle, lambda: True, state.CallerLimits
        )
        for turns in range(8):
            self.begun.clear()
            server = transport.EntryServer(callbacks, counters, clock)
            await server.start('127.0.0.1:0', 16)
            host, _, port = server.address().partition(':')
            with socket.create_connection((host, int(port))) as caller:
                caller.sendall(b'GET /slow HTTP/1.1\r\nHost: h\r\n\r\n')
                for _ in range(turns):
                    await asyncio.sleep(0)
                await server.close(30_000.0)
                # A reply sent later would be lost with the process.
                caller.setblocking(False)
                for _ in range(5):
                    await asyncio.sleep(0)
                with self.subTest(turns=turns):
                    if self.begun.is_set():
                        self.assertIn(b' 200 ', caller.recv(100))

    async def test_a_request_in_the_socket_is_answered_before_the_close(
        self,
    ) -> None:
        """The connection looks idle until the event loop reads the request."""
        counters = metrics.Metrics('test')
        self.addCleanup(counters.close)
        clock = timers.LoopTimers()
        self.addCleanup(clock.close)
        callbacks = transport.EntryCallbacks(
            self._handle, lambda: False, state.CallerLimits
        )
        server = transport.EntryServer(callbacks, counters, clock)
        await server.start('127.0.0.1:0', 16)
        host, _, port = server.address().partition(':')
        request = b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n'
        with socket.create_connection((host, int(port))) as caller:
            caller.sendall(request)
            await self.begun.wait()
            await asyncio.sleep(0)
            caller.sendall(request)
            await server.close(30_000.0)
            caller.settimeout(10.0)
            answers = b''
            while part := caller.recv(1_000):
                answers += part
        self.assertEqual(2, answers.count(b' 200 '))

    async def test_a_request_read_during_the_close_is_answered(
        self,
    ) -> None:
        """The caller would get no reply to a request that has begun to run.

        The request arrives just before the close begins and takes a while.
        """
        counters = metrics.Metrics('test')
        self.addCleanup(counters.close)
        clock = timers.LoopTimers()
        self.addCleanup(clock.close)
        limits = state.CallerLimits()
        callbacks = transport.EntryCallbacks(
            self._handle, lambda: True, lambda: limits
        )
        server = transport.EntryServer(callbacks, counters, clock)
        await server.start('127.0.0.1:0', 16)
        host, _, port = server.address().partition(':')
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b'GET /slow HTTP/1.1\r\nHost: h\r\n\r\n')
        await self.begun.wait()
        await server.close(30_000.0)
        self.assertIn(b' 200 ', await reader.readline())
        writer.close()

    async def asyncSetUp(self) -> None:
        """Create the event that the handler sets."""
        self.begun = asyncio.Event()

    async def _handle(
        self, method: str, path: str, headers: protocol.Headers, body: bytes
    ) -> protocol.HttpReply:
        self.begun.set()
        if path == '/slow':
            await asyncio.sleep(0.3)
        return protocol.HttpReply(200)


class EntryTimesTest(unittest.IsolatedAsyncioTestCase):
    """Time limits for callers; the test advances the clock."""

    async def asyncSetUp(self) -> None:
        """Start the server and connect one caller."""
        self.counters = metrics.Metrics('test')
        self.addCleanup(self.counters.close)
        self.limits = state.CallerLimits(header_ms=2_000.0, idle_ms=10_000.0)
        self.clock = timers.ManualTimers()
        callbacks = transport.EntryCallbacks(
            self._handle, lambda: False, lambda: self.limits
        )
        server = transport.EntryServer(callbacks, self.counters, self.clock)
        await server.start('127.0.0.1:0', 16)
        self.addAsyncCleanup(self._close, server)
        host, _, port = server.address().partition(':')
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.addCleanup(self.writer.close)

    async def _close(self, server: transport.EntryServer) -> None:
        self.writer.close()
        await server.close()

    async def _handle(
        self, method: str, path: str, headers: protocol.Headers, body: bytes
    ) -> protocol.HttpReply:
        return protocol.HttpReply(200)

    async def _answer(self) -> bytes:
        return await asyncio.wait_for(self.reader.readuntil(b'\r\n\r\n'), 10.0)

    async def _advance_clock(self, span_ms: float) -> None:
        """Let sent bytes arrive, then advance the clock."""
        for _ in range(20):
            await asyncio.sleep(0.001)
        for _ in range(int(span_ms / 500.0)):
            self.clock.advance(500.0)
        await asyncio.sleep(0)

    async def test_an_overdue_head_is_refused(self) -> None:
        """It would occupy a connection for as long as the caller likes."""
        self.writer.write(b'GET / HTTP/1.1\r\nX: ')
        await self._advance_clock(3_000.0)
        self.assertIn(b' 408 ', await self._answer())

    async def test_an_idle_connection_is_closed_at_the_limit(self) -> None:
        """Closed earlier, it could lose a request that is on its way."""
        self.writer.write(b'GET / HTTP/1.1\r\n\r\n')
        self.assertIn(b' 200 ', await self._answer())
        await self._advance_clock(9_500.0)
        self.writer.write(b'GET / HTTP/1.1\r\n\r\n')
        self.assertIn(b' 200 ', await self._answer())
        await self._advance_clock(11_000.0)
        self.assertEqual(b'', await asyncio.wait_for(self.reader.read(), 10.0))

    async def test_a_lowered_limit_applies_from_the_next_reply(self) -> None:
        """A caller that relies on the earlier limit would lose a request."""
        self.writer.write(b'GET / HTTP/1.1\r\n\r\n')
        await self._answer()
        self.limits = dataclasses.replace(self.limits, idle_ms=3_000.0)
        await self._advance_clock(8_000.0)
        self.writer.write(b'GET / HTTP/1.1\r\n\r\n')
        self.assertIn(b' 200 ', await self._answer())
        await self._advance_clock(4_000.0)
        self.assertEqual(b'', await asyncio.wait_for(self.reader.read(), 10.0))


class EntryEndTest(unittest.IsolatedAsyncioTestCase):
    """No request is left without a reply when its connection ends.

    Replies are not cut off either.  The handler of the first request waits
    until the test sets ``gate``.
    """

    async def asyncSetUp(self) -> None:
        """Start the server and connect one caller."""
        counters = metrics.Metrics('test')
        self.addCleanup(counters.close)
        self.clock = timers.ManualTimers()
        self.closing = False
        self.paths: list[str] = []
        self.begun = asyncio.Event()
        self.gate = asyncio.Event()
        limits = state.CallerLimits(header_ms=2_000.0, body_bytes=100)
        callbacks = transport.EntryCallbacks(
            self._handle, lambda: self.closing, lambda: limits
        )
        self.server = transport.EntryServer(callbacks, counters, self.clock)
        await self.server.start('127.0.0.1:0', 16)
        self.addAsyncCleanup(self._close)
        host, _, port = self.server.address().partition(':')
        self.reader, self.writer = await asyncio.open_connection(host, port)

    async def _close(self) -> None:
        self.writer.close()
        closing = asyncio.create_task(self.server.close())
        while not closing.done():
            self.clock.advance(500.0)
            await asyncio.sleep(0.001)

    async def _handle(
        self, method: str, path: str, headers: protocol.Headers, body: bytes
    ) -> protocol.HttpReply | protocol.StreamedReply:
        self.paths.append(path)
        self.begun.set()
        if path == '/first':
            await self.gate.wait()
        if path == '/crossed':
            # These bytes are unread when the reply is written.
            self.writer.write(_request('/late'))
        if path in ('/large', '/crossed'):
            return protocol.HttpReply(200, body=_LARGE)
        if path == '/long':
            return protocol.HttpReply(200, body=_LONG)
        if path == '/broken':
            return protocol.StreamedReply(200, (), self._broken())
        return protocol.HttpReply(200, body=path.encode())

    async def _broken(self) -> typing.AsyncGenerator[bytes, None]:
        yield b'piece'
        self.writer.write(_request('/late'))
        raise RuntimeError('by the test')

    async def _let_bytes_arrive(self) -> None:
        """Let sent bytes arrive."""
        for _ in range(20):
            await asyncio.sleep(0.001)

    async def _begin(self, raw: bytes) -> None:
        """Send the first request and more bytes; wait for its handler."""
        self.writer.write(_request('/first') + raw)
        await self.begun.wait()

    async def _rest(self) -> bytes:
        """Return everything received until EOF."""
        return await asyncio.wait_for(self.reader.read(), 10.0)

    def _check_answers(self, answers: bytes, paths: list[str]) -> None:
        """Check that each is answered and only the last reply closes."""
        self.assertEqual(paths, self.paths)
        self.assertEqual(len(paths), answers.count(b' 200 '))
        heads, _, last = answers.rpartition(b' 200 ')
        self.assertNotIn(b'Connection: close', heads)
        self.assertIn(b'Connection: close', last)
        self.assertTrue(last.endswith(paths[-1].encode()))

    async def test_queued_requests_are_answered_during_a_stop(self) -> None:
        """They were read before the caller could know of the end."""
        await self._begin(_request('/b') + _request('/c'))
        self.closing = True
        self.gate.set()
        self._check_answers(await self._rest(), ['/first', '/b', '/c'])

    async def test_a_queued_refusal_is_sent_during_a_stop(
        self,
    ) -> None:
        """The caller would get no reply to what it has sent."""
        await self._begin(b'nothing\r\n\r\n')
        self.closing = True
        self.gate.set()
        answers = await self._rest()
        self.assertIn(b' 400 ', answers.rpartition(b' 200 ')[2])

    async def test_requests_left_in_the_socket_are_answered_during_a_stop(
        self,
    ) -> None:
        """More requests were sent than the queue holds.

        Reading must resume before the last queued one is answered, since
        that reply would end the connection.
        """
        paths = [f'/{number}' for number in range(20)]
        await self._begin(b''.join(map(_request, paths[:10])))
        self.writer.write(b''.join(map(_request, paths[10:])))
        await self._let_bytes_arrive()
        self.closing = True
        self.gate.set()
        self._check_answers(await self._rest(), ['/first', *paths])

    async def test_an_overdue_head_behind_a_request_is_refused(
        self,
    ) -> None:
        """It begins while an earlier request is running.

        Without a limit it would occupy its connection and delay a stop.
        """
        await self._begin(b'GET /b HTTP/1.1\r\nX: ')
        await self._let_bytes_arrive()
        self.gate.set()
        await self._let_bytes_arrive()
        for _ in range(10):
            self.clock.advance(500.0)
        await self._let_bytes_arrive()
        self.clock.advance(1_000.0)
        answers = await self._rest()
        self.assertIn(b' 408 ', answers.rpartition(b' 200 ')[2])

    async def test_expect_100_continue_behind_another_request(
        self,
    ) -> None:
        """``100 Continue`` follows the reply to the earlier request."""
        await self._begin(
            b'POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
            b'Expect: 100-continue\r\n\r\n'
        )
        await self._let_bytes_arrive()
        self.gate.set()
        async with asyncio.timeout(10.0):
            before = await self.reader.readuntil(b' 100 Continue\r\n\r\n')
        self.assertIn(b' 200 ', before)
        self.assertEqual(['/first'], self.paths)
        self.closing = True
        self.writer.write(b'xyz')
        self.assertIn(b' 200 ', await self._rest())

    async def test_a_partly_read_head_is_answered_during_a_stop(
        self,
    ) -> None:
        """The reply to the request before it is sent in between."""
        await self._check_partly_read(
            b'GET /b HTTP/1.1\r\nHo', b'st: h\r\n\r\n'
        )

    async def test_a_partly_read_body_is_answered_during_a_stop(
        self,
    ) -> None:
        """The reply to the request before it is sent in between."""
        head = b'POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\n'
        await self._check_partly_read(head + b'abc', b'def')

    async def _check_partly_read(self, half: bytes, other: bytes) -> None:
        await self._begin(half)
        await self._let_bytes_arrive()
        self.closing = True
        self.gate.set()
        await self._let_bytes_arrive()
        self.writer.write(other)
        self._check_answers(await self._rest(), ['/first', '/b'])

    async def _check_large_reply(self) -> None:
        """Check that the large reply arrives completely, without a reset."""
        answer = await self._rest()
        self.assertIn(b' 200 ', answer[:100])
        self.assertEqual(_LARGE, answer.partition(b'\r\n\r\n')[2])

    async def test_unread_bytes_do_not_cut_the_last_reply(self) -> None:
        """Closing a socket with unread bytes would reset the connection.

        The caller would lose what it has not read yet.
        """
        self.closing = True
        self.writer.write(_request('/crossed'))
        await self.begun.wait()
        await self._let_bytes_arrive()
        await self._check_large_reply()

    async def test_unread_bytes_do_not_cut_the_last_reply_to_a_slow_reader(
        self,
    ) -> None:
        """The reader takes longer than the linger time."""
        self.closing = True
        self.writer.write(_request('/large'))
        await self.begun.wait()
        await self._let_bytes_arrive()
        for _ in range(4):
            self.clock.advance(500.0)
        await self._let_bytes_arrive()
        self.writer.write(_request('/late'))
        await self._let_bytes_arrive()
        await self._check_large_reply()

    async def test_a_refusal_arrives_while_the_server_closes(self) -> None:
        """The caller reads the reply only after it has sent its body."""
        self.writer.write(
            b'POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n'
        )
        await self._let_bytes_arrive()
        closing = asyncio.create_task(self.server.close(60_000.0))
        for _ in range(20):
            self.writer.write(bytes(1_000))
            await self._let_bytes_arrive()
        self.assertIn(b' 413 ', await self._rest())
        self.writer.close()
        await asyncio.wait_for(closing, 10.0)

    async def test_a_slow_reader_is_served_while_the_server_closes(
        self,
    ) -> None:
        """The reply did not announce the end, so another request may follow.

        That request must be answered too.
        """
        self.writer.write(_request('/large'))
        await self.begun.wait()
        await self._let_bytes_arrive()
        closing = asyncio.create_task(self.server.close(60_000.0))
        await self._let_bytes_arrive()
        self.writer.write(_request('/late'))
        await self._let_bytes_arrive()
        answers = await self._rest()
        large, _, late = answers.rpartition(b'HTTP/1.1 200 ')
        self.assertEqual(_LARGE, large.partition(b'\r\n\r\n')[2])
        self.assertTrue(late.endswith(b'/late'))
        self.writer.close()
        await asyncio.wait_for(closing, 10.0)

    async def test_an_overdue_head_is_refused_while_the_server_closes(
        self,
    ) -> None:
        """It would delay the close, and with it the stop of the daemon."""
        self.writer.write(b'GET /b HTTP/1.1\r\nX: ')
        await self._let_bytes_arrive()
        closing = asyncio.create_task(self.server.close(60_000.0))
        await self._let_bytes_arrive()
        for _ in range(10):
            self.clock.advance(500.0)
        await self._let_bytes_arrive()
        self.clock.advance(1_000.0)
        self.assertIn(b' 408 ', await self._rest())
        self.writer.close()
        await asyncio.wait_for(closing, 10.0)

    async def test_a_failed_stream_does_not_cut_the_reply_before_it(
        self,
    ) -> None:
        """The caller has not read it yet and sends another request."""
        self.writer.write(_request('/long') + _request('/broken'))
        while '/broken' not in self.paths:
            await asyncio.sleep(0.001)
        await self._let_bytes_arrive()
        answers = await self._rest()
        self.assertIn(_LONG, answers)
        self.assertTrue(answers.endswith(b'\r\n5\r\npiece\r\n'))
