"""The server for callers whose requests are passed on."""

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
"""More than the buffers of a connection hold."""

_LONG = bytes(1_000_000)
"""More than a caller takes in that does not read; the system holds it."""


def _request(path: str) -> bytes:
    return f'GET {path} HTTP/1.1\r\nHost: h\r\n\r\n'.encode()


class EntryHttpTest(unittest.IsolatedAsyncioTestCase):
    """One server; the test is behind its door."""

    async def asyncSetUp(self) -> None:
        """Listen."""
        self.counters = metrics.Metrics('test')
        self.addCleanup(self.counters.close)
        self.seen: list[tuple[str, str, protocol.Headers, bytes]] = []
        self.limits = state.CallerLimits(header_bytes=16_384, body_bytes=100)
        self.closing = False
        self.cancelled = asyncio.Event()
        door = transport.EntryCallbacks(
            self._handle, lambda: self.closing, lambda: self.limits
        )
        clock = timers.LoopTimers()
        self.addCleanup(clock.close)
        self.server = transport.EntryServer(door, self.counters, clock)
        await self.server.start('127.0.0.1:0', 16)
        self.addAsyncCleanup(self.server.close)
        self.url = f'http://{self.server.address()}'
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def _handle(
        self, method: str, path: str, headers: protocol.Headers, body: bytes
    ) -> protocol.HttpReply | protocol.StreamedReply:
        self.seen.append((method, path, headers, body))
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

    async def test_an_answer_in_pieces(self) -> None:
        """Each is a chunk; the connection carries the next request."""
        self.assertEqual((200, b'onetwo'), await self._get('/pieces'))
        self.assertEqual((207, b'body'), await self._get('/x'))

    async def test_an_answer_that_breaks_off_does_not_look_whole(
        self,
    ) -> None:
        """The last chunk is missing: the reader knows that there is more."""
        with self.assertRaises(aiohttp.ClientError):
            await self._get('/pieces/broken')

    async def test_a_caller_that_leaves_ends_what_makes_the_pieces(
        self,
    ) -> None:
        """Else its targets would go on working for nobody."""
        async with self.session.get(self.url + '/pieces/slow') as got:
            self.assertEqual(b'one', await got.content.readany())
            got.close()
        await asyncio.wait_for(self.cancelled.wait(), 10.0)

    async def test_pieces_come_one_by_one_over_a_channel(self) -> None:
        """Each is taken when it comes, not with the last one."""
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

    async def _get(self, path: str, **words: object) -> tuple[int, bytes]:
        async with self.session.get(self.url + path, **words) as got:
            return got.status, await got.read()

    async def test_a_caller_that_asks_first_is_told_to_go_on(self) -> None:
        """It holds its body back until then, and both would wait."""
        host, _, port = self.server.address().partition(':')
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(
            b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
            b'Expect: 100-continue\r\n\r\n'
        )
        async with asyncio.timeout(10.0):
            told = await reader.readuntil(b'\r\n\r\n')
            writer.write(b'xyz')
            head = await reader.readuntil(b'\r\n\r\n')
        writer.close()
        self.assertEqual(b'HTTP/1.1 100 Continue\r\n\r\n', told)
        self.assertIn(b' 207 ', head)
        self.assertEqual(b'xyz', self.seen[0][3])

    async def test_a_body_that_is_too_large_is_not_asked_for(self) -> None:
        """The caller learns it before it has sent the body."""
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

    async def test_path_and_body_come_raw(self) -> None:
        """The target must see what the caller sent, byte by byte."""
        raw = b'POST /a%2Fb/../c?q=%20&r HTTP/1.1\r\nHost: h\r\n'
        raw += b'Content-Encoding: gzip\r\nContent-Length: 3\r\n\r\nxyz'
        host, _, port = self.server.address().partition(':')
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(raw)
        head = await reader.readuntil(b'\r\n\r\n')
        writer.close()
        self.assertIn(b' 207 ', head)
        method, path, _, body = self.seen[0]
        self.assertEqual(('POST', '/a%2Fb/../c?q=%20&r'), (method, path))
        self.assertEqual(b'xyz', body)

    async def test_a_head_within_the_limit_in_force_is_served(self) -> None:
        """Also one header that is longer than the library's own bound."""
        status, _ = await self._get('/x', headers={'X-Long': 'a' * 12_000})
        self.assertEqual(207, status)
        status, _ = await self._get('/x', headers={'X-Long': 'a' * 17_000})
        self.assertEqual(431, status)
        self.assertEqual(1, len(self.seen))

    async def test_a_body_over_the_limit_is_refused(self) -> None:
        """Nothing of it reaches what is behind the door."""
        async with self.session.post(self.url, data=b'x' * 101) as got:
            self.assertEqual(413, got.status)
        self.assertEqual([], self.seen)

    async def test_a_broken_handler_promises_nothing(self) -> None:
        """What it had started is not known."""
        status, _ = await self._get('/broken')
        self.assertEqual(500, status)

    async def test_a_caller_that_leaves_cancels_its_request(self) -> None:
        """Targets need not work on."""
        task = asyncio.create_task(self._get('/slow'))
        while not self.seen:
            await asyncio.sleep(0.005)
        task.cancel()
        await self.cancelled.wait()

    async def test_connections_end_while_it_closes(self) -> None:
        """No further request comes on them."""
        self.closing = True
        async with self.session.get(self.url + '/x') as got:
            self.assertEqual('close', got.headers.get('Connection'))

    async def test_bytes_that_are_no_request(self) -> None:
        """A clear error, and the connection is closed."""
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
        self.assertEqual([], self.seen)

    async def _send(self, raw: bytes) -> bytes:
        """Send bytes, and return all that comes until the end."""
        host, _, port = self.server.address().partition(':')
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(raw)
        answer = await asyncio.wait_for(reader.read(), 10.0)
        writer.close()
        return answer

    async def test_requests_sent_together_are_answered_in_order(self) -> None:
        """Also more than wait at once, and an error behind them."""
        one = b'GET /%d HTTP/1.1\r\nHost: h\r\n\r\n'
        raw = b''.join(one % number for number in range(30))
        answer = await self._send(raw + b'nothing\r\n\r\n')
        self.assertEqual(30, answer.count(b' 207 '))
        self.assertIn(b' 400 ', answer.rpartition(b' 207 ')[2])
        paths = [path for _, path, _, _ in self.seen]
        self.assertEqual([f'/{number}' for number in range(30)], paths)

    async def test_a_request_that_comes_byte_by_byte(self) -> None:
        """Path, headers and a body in chunks are put together."""
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
        _, path, headers, body = self.seen[0]
        self.assertEqual(('/abc?d', b'xyz12'), (path, body))
        self.assertIn(('X-Long', 'abcdef'), headers)

    async def test_a_head_without_end_is_refused(self) -> None:
        """It would fill the memory."""
        raw = b'GET / HTTP/1.1\r\nX-Long: ' + b'a' * 200_000
        self.assertIn(b' 431 ', await self._send(raw))

    async def test_another_protocol_is_not_spoken(self) -> None:
        """What was asked is answered, and the connection ends."""
        raw = b'GET /a HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\n'
        raw += b'Upgrade: h2c\r\n\r\nGET /b HTTP/1.1\r\n\r\n'
        answer = await self._send(raw)
        self.assertEqual(1, answer.count(b' 207 '))
        self.assertEqual(1, len(self.seen))

    async def test_no_body_for_a_question_about_the_head(self) -> None:
        """The caller would read it as the next answer."""
        raw = b'HEAD /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
        answer = await self._send(raw)
        self.assertIn(b' 207 ', answer)
        self.assertTrue(answer.endswith(b'\r\n\r\n'))

    async def test_a_caller_of_the_older_version(self) -> None:
        """Its connection ends, unless it asks to keep it."""
        answer = await self._send(b'GET /a HTTP/1.0\r\n\r\n')
        self.assertIn(b'Connection: close', answer)


class EntryCloseTest(unittest.IsolatedAsyncioTestCase):
    """A server that closes while callers connect."""

    async def test_a_connection_that_is_just_made_is_no_error(self) -> None:
        """The daemon would end with an error, and cut its requests.

        A caller connects as the server closes: the connection is accepted
        but not open yet.  Each turn of the loop is tried as the moment.
        """
        counters = metrics.Metrics('test')
        self.addCleanup(counters.close)
        clock = timers.LoopTimers()
        self.addCleanup(clock.close)
        limits = state.CallerLimits()
        door = transport.EntryCallbacks(
            self._handle, lambda: True, lambda: limits
        )
        for turns in range(20):
            server = transport.EntryServer(door, counters, clock)
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

    async def test_what_is_handled_is_answered_when_it_has_closed(
        self,
    ) -> None:
        """The process ends then, and with it whatever still runs.

        A connection is accepted as the server closes, but open only a turn
        later, when the server seemed to have none.
        """
        counters = metrics.Metrics('test')
        self.addCleanup(counters.close)
        clock = timers.LoopTimers()
        self.addCleanup(clock.close)
        door = transport.EntryCallbacks(
            self._handle, lambda: True, state.CallerLimits
        )
        for turns in range(8):
            self.begun.clear()
            server = transport.EntryServer(door, counters, clock)
            await server.start('127.0.0.1:0', 16)
            host, _, port = server.address().partition(':')
            with socket.create_connection((host, int(port))) as caller:
                caller.sendall(b'GET /slow HTTP/1.1\r\nHost: h\r\n\r\n')
                for _ in range(turns):
                    await asyncio.sleep(0)
                await server.close(30_000.0)
                # What comes only now would be lost with the process.
                caller.setblocking(False)
                for _ in range(5):
                    await asyncio.sleep(0)
                with self.subTest(turns=turns):
                    if self.begun.is_set():
                        self.assertIn(b' 200 ', caller.recv(100))

    async def test_what_had_come_before_it_closes_is_answered(self) -> None:
        """A caller's second request is in the socket as the server closes.

        Its connection counts as idle until the loop has read it.
        """
        counters = metrics.Metrics('test')
        self.addCleanup(counters.close)
        clock = timers.LoopTimers()
        self.addCleanup(clock.close)
        door = transport.EntryCallbacks(
            self._handle, lambda: False, state.CallerLimits
        )
        server = transport.EntryServer(door, counters, clock)
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

    async def test_a_request_that_is_read_as_it_closes_is_answered(
        self,
    ) -> None:
        """A caller would see its connection closed, its request half run.

        The daemon found nothing open, and began to close; the request came
        in the same turn and takes longer than idle connections get.
        """
        counters = metrics.Metrics('test')
        self.addCleanup(counters.close)
        clock = timers.LoopTimers()
        self.addCleanup(clock.close)
        limits = state.CallerLimits()
        door = transport.EntryCallbacks(
            self._handle, lambda: True, lambda: limits
        )
        server = transport.EntryServer(door, counters, clock)
        await server.start('127.0.0.1:0', 16)
        host, _, port = server.address().partition(':')
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b'GET /slow HTTP/1.1\r\nHost: h\r\n\r\n')
        await self.begun.wait()
        await server.close(30_000.0)
        self.assertIn(b' 200 ', await reader.readline())
        writer.close()

    async def asyncSetUp(self) -> None:
        """Have nothing begun."""
        self.begun = asyncio.Event()

    async def _handle(
        self, method: str, path: str, headers: protocol.Headers, body: bytes
    ) -> protocol.HttpReply:
        self.begun.set()
        if path == '/slow':
            await asyncio.sleep(0.3)
        return protocol.HttpReply(200)


class EntryTimesTest(unittest.IsolatedAsyncioTestCase):
    """How long a caller may take; the test moves the time."""

    async def asyncSetUp(self) -> None:
        """Listen, and connect one caller."""
        self.counters = metrics.Metrics('test')
        self.addCleanup(self.counters.close)
        self.limits = state.CallerLimits(header_ms=2_000.0, idle_ms=10_000.0)
        self.clock = timers.ManualTimers()
        door = transport.EntryCallbacks(
            self._handle, lambda: False, lambda: self.limits
        )
        server = transport.EntryServer(door, self.counters, self.clock)
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

    async def _pass(self, span_ms: float) -> None:
        """Let what was sent arrive, and then time pass."""
        for _ in range(20):
            await asyncio.sleep(0.001)
        for _ in range(int(span_ms / 500.0)):
            self.clock.advance(500.0)
        await asyncio.sleep(0)

    async def test_a_head_that_does_not_come_is_refused(self) -> None:
        """It holds a connection, and has not run."""
        self.writer.write(b'GET / HTTP/1.1\r\nX: ')
        await self._pass(3_000.0)
        self.assertIn(b' 408 ', await self._answer())

    async def test_an_idle_connection_ends_at_the_limit(self) -> None:
        """Not before: a request would cross the close."""
        self.writer.write(b'GET / HTTP/1.1\r\n\r\n')
        self.assertIn(b' 200 ', await self._answer())
        await self._pass(9_500.0)
        self.writer.write(b'GET / HTTP/1.1\r\n\r\n')
        self.assertIn(b' 200 ', await self._answer())
        await self._pass(11_000.0)
        self.assertEqual(b'', await asyncio.wait_for(self.reader.read(), 10.0))

    async def test_a_shorter_limit_holds_from_the_next_answer(self) -> None:
        """A caller that knew the longer one would lose its next request."""
        self.writer.write(b'GET / HTTP/1.1\r\n\r\n')
        await self._answer()
        self.limits = dataclasses.replace(self.limits, idle_ms=3_000.0)
        await self._pass(8_000.0)
        self.writer.write(b'GET / HTTP/1.1\r\n\r\n')
        self.assertIn(b' 200 ', await self._answer())
        await self._pass(4_000.0)
        self.assertEqual(b'', await asyncio.wait_for(self.reader.read(), 10.0))


class EntryEndTest(unittest.IsolatedAsyncioTestCase):
    """Connections that end, and what has come on them until then.

    A caller sees its connection closed or reset: a request that the daemon
    had read whole has no answer, or an answer that was made is cut off.
    The test releases the first request once all is as it should be.
    """

    async def asyncSetUp(self) -> None:
        """Listen at a door that the test closes, and connect one caller."""
        counters = metrics.Metrics('test')
        self.addCleanup(counters.close)
        self.clock = timers.ManualTimers()
        self.closing = False
        self.paths: list[str] = []
        self.begun = asyncio.Event()
        self.gate = asyncio.Event()
        limits = state.CallerLimits(header_ms=2_000.0, body_bytes=100)
        door = transport.EntryCallbacks(
            self._handle, lambda: self.closing, lambda: limits
        )
        self.server = transport.EntryServer(door, counters, self.clock)
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
            # What the caller sends now lies unread as the answer leaves.
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

    async def _turns(self) -> None:
        """Let what was sent arrive."""
        for _ in range(20):
            await asyncio.sleep(0.001)

    async def _begin(self, raw: bytes) -> None:
        """Have the first request under way and some bytes behind it."""
        self.writer.write(_request('/first') + raw)
        await self.begun.wait()

    async def _rest(self) -> bytes:
        """Return all that comes until the end."""
        return await asyncio.wait_for(self.reader.read(), 10.0)

    def _check_answers(self, answers: bytes, paths: list[str]) -> None:
        """Each is answered, and only the last says that it is the last."""
        self.assertEqual(paths, self.paths)
        self.assertEqual(len(paths), answers.count(b' 200 '))
        heads, _, last = answers.rpartition(b' 200 ')
        self.assertNotIn(b'Connection: close', heads)
        self.assertIn(b'Connection: close', last)
        self.assertTrue(last.endswith(paths[-1].encode()))

    async def test_requests_that_wait_are_answered_as_it_closes(self) -> None:
        """They were read before the caller could learn of the end."""
        await self._begin(_request('/b') + _request('/c'))
        self.closing = True
        self.gate.set()
        self._check_answers(await self._rest(), ['/first', '/b', '/c'])

    async def test_an_error_behind_a_request_is_told_as_it_closes(
        self,
    ) -> None:
        """The caller would wait for an answer to what it has sent."""
        await self._begin(b'nothing\r\n\r\n')
        self.closing = True
        self.gate.set()
        answers = await self._rest()
        self.assertIn(b' 400 ', answers.rpartition(b' 200 ')[2])

    async def test_requests_left_in_the_socket_are_answered_as_it_closes(
        self,
    ) -> None:
        """More were sent than may wait; the others came before the end.

        Reading goes on only once all that waited are answered, and their
        last answer would end the connection in the same turn.
        """
        paths = [f'/{number}' for number in range(20)]
        await self._begin(b''.join(map(_request, paths[:10])))
        self.writer.write(b''.join(map(_request, paths[10:])))
        await self._turns()
        self.closing = True
        self.gate.set()
        self._check_answers(await self._rest(), ['/first', *paths])

    async def test_a_head_behind_an_answer_comes_in_time_or_is_refused(
        self,
    ) -> None:
        """It begins while the request before it is under way.

        It would hold its connection, and a stop, for as long as it likes.
        """
        await self._begin(b'GET /b HTTP/1.1\r\nX: ')
        await self._turns()
        self.gate.set()
        await self._turns()
        for _ in range(10):
            self.clock.advance(500.0)
        await self._turns()
        self.clock.advance(1_000.0)
        answers = await self._rest()
        self.assertIn(b' 408 ', answers.rpartition(b' 200 ')[2])

    async def test_a_caller_that_asks_first_behind_another_is_told_to_go_on(
        self,
    ) -> None:
        """It holds its body back, and both would wait for the other."""
        await self._begin(
            b'POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
            b'Expect: 100-continue\r\n\r\n'
        )
        await self._turns()
        self.gate.set()
        async with asyncio.timeout(10.0):
            before = await self.reader.readuntil(b' 100 Continue\r\n\r\n')
        self.assertIn(b' 200 ', before)
        self.assertEqual(['/first'], self.paths)
        self.closing = True
        self.writer.write(b'xyz')
        self.assertIn(b' 200 ', await self._rest())

    async def test_a_head_that_still_comes_as_it_closes_is_answered(
        self,
    ) -> None:
        """The answer before it leaves in between."""
        await self._check_half_read(b'GET /b HTTP/1.1\r\nHo', b'st: h\r\n\r\n')

    async def test_a_body_that_still_comes_as_it_closes_is_answered(
        self,
    ) -> None:
        """The answer before it leaves in between."""
        head = b'POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\n'
        await self._check_half_read(head + b'abc', b'def')

    async def _check_half_read(self, half: bytes, other: bytes) -> None:
        await self._begin(half)
        await self._turns()
        self.closing = True
        self.gate.set()
        await self._turns()
        self.writer.write(other)
        self._check_answers(await self._rest(), ['/first', '/b'])

    async def _check_whole(self) -> None:
        """The large answer comes whole, and the connection is not reset."""
        answer = await self._rest()
        self.assertIn(b' 200 ', answer[:100])
        self.assertEqual(_LARGE, answer.partition(b'\r\n\r\n')[2])

    async def test_an_answer_is_whole_though_bytes_cross_it(self) -> None:
        """What lies unread in the socket as the connection is closed.

        It would be reset, and what the caller has not read yet lost.
        """
        self.closing = True
        self.writer.write(_request('/crossed'))
        await self.begun.wait()
        await self._turns()
        await self._check_whole()

    async def test_a_slow_reader_has_its_answer_though_bytes_cross_it(
        self,
    ) -> None:
        """It takes longer than bytes are taken after an answer."""
        self.closing = True
        self.writer.write(_request('/large'))
        await self.begun.wait()
        await self._turns()
        for _ in range(4):
            self.clock.advance(500.0)
        await self._turns()
        self.writer.write(_request('/late'))
        await self._turns()
        await self._check_whole()

    async def test_a_refusal_is_not_lost_as_the_server_closes(self) -> None:
        """The caller still sends its body; it reads only then."""
        self.writer.write(
            b'POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n'
        )
        await self._turns()
        closing = asyncio.create_task(self.server.close(60_000.0))
        for _ in range(20):
            self.writer.write(bytes(1_000))
            await self._turns()
        self.assertIn(b' 413 ', await self._rest())
        self.writer.close()
        await asyncio.wait_for(closing, 10.0)

    async def test_a_slow_reader_has_its_answer_as_the_server_closes(
        self,
    ) -> None:
        """It was not told of the end, and sends its next request.

        That one is read, and must not be dropped without a word.
        """
        self.writer.write(_request('/large'))
        await self.begun.wait()
        await self._turns()
        closing = asyncio.create_task(self.server.close(60_000.0))
        await self._turns()
        self.writer.write(_request('/late'))
        await self._turns()
        answers = await self._rest()
        large, _, late = answers.rpartition(b'HTTP/1.1 200 ')
        self.assertEqual(_LARGE, large.partition(b'\r\n\r\n')[2])
        self.assertTrue(late.endswith(b'/late'))
        self.writer.close()
        await asyncio.wait_for(closing, 10.0)

    async def test_a_head_that_does_not_come_is_refused_as_it_closes(
        self,
    ) -> None:
        """It would hold the close, and with it a stop, to its very end."""
        self.writer.write(b'GET /b HTTP/1.1\r\nX: ')
        await self._turns()
        closing = asyncio.create_task(self.server.close(60_000.0))
        await self._turns()
        for _ in range(10):
            self.clock.advance(500.0)
        await self._turns()
        self.clock.advance(1_000.0)
        self.assertIn(b' 408 ', await self._rest())
        self.writer.close()
        await asyncio.wait_for(closing, 10.0)

    async def test_an_answer_is_whole_though_the_next_breaks_off(
        self,
    ) -> None:
        """The caller has not read it yet, and sends more meanwhile."""
        self.writer.write(_request('/long') + _request('/broken'))
        while '/broken' not in self.paths:
            await asyncio.sleep(0.001)
        await self._turns()
        answers = await self._rest()
        self.assertIn(_LONG, answers)
        self.assertTrue(answers.endswith(b'\r\n5\r\npiece\r\n'))
