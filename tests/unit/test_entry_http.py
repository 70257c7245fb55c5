"""The server for callers whose requests are passed on."""

import asyncio
import unittest

import aiohttp
from aiohttp import web

from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import transport


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
        door = transport.Door(
            self._handle, lambda: self.closing, lambda: self.limits
        )
        server = transport.entry_server(door, self.counters)
        self.runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, '127.0.0.1', 0).start()
        self.addAsyncCleanup(self.runner.cleanup)
        host, port = self.runner.addresses[0][:2]
        self.url = f'http://{host}:{port}'
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def _handle(
        self, method: str, path: str, headers: protocol.Headers, body: bytes
    ) -> protocol.HttpReply:
        self.seen.append((method, path, headers, body))
        if path == '/broken':
            raise RuntimeError('by the test')
        if path == '/slow':
            try:
                await asyncio.sleep(60.0)
            except asyncio.CancelledError:
                self.cancelled.set()
                raise
        return protocol.HttpReply(207, (('X-A', 'b'),), b'body')

    async def _get(self, path: str, **words: object) -> tuple[int, bytes]:
        async with self.session.get(self.url + path, **words) as got:
            return got.status, await got.read()

    async def test_a_caller_that_asks_first_is_told_to_go_on(self) -> None:
        """It holds its body back until then, and both would wait."""
        host, port = self.runner.addresses[0][:2]
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
        host, port = self.runner.addresses[0][:2]
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
        host, port = self.runner.addresses[0][:2]
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
        host, port = self.runner.addresses[0][:2]
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
