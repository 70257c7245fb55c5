"""Tests of servers that close while requests are pending."""

import asyncio
import unittest

from samphiredock.daemon import _server_closing
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

_REQUEST = b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n'
_HANG_GUARD_S = 20.0


class ServerClosingTest(unittest.IsolatedAsyncioTestCase):
    """Two servers whose requests are answered by the test."""

    async def asyncSetUp(self) -> None:
        """Start both, with one pending request at the first."""
        self.counters = metrics.Metrics('test')
        self.addCleanup(self.counters.close)
        self.clock = timers.LoopTimers()
        self.addCleanup(self.clock.close)
        self.replies: asyncio.Queue[protocol.HttpReply] = asyncio.Queue()
        self.request_count = 0
        self.left_ms = 1_000.0
        self.finish_all_calls = 0
        self.servers = [await self._listen(), await self._listen()]
        self.addresses = [row.address() for row in self.servers]
        self.reader, self.writer = await self._connect(0)
        self.writer.write(_REQUEST)
        while not self.request_count:
            await asyncio.sleep(0.001)

    async def _listen(self) -> transport.EntryServer:
        callbacks = transport.EntryCallbacks(
            self._handle, lambda: True, state.CallerLimits
        )
        server = transport.EntryServer(callbacks, self.counters, self.clock)
        await server.start('127.0.0.1:0', 16)
        return server

    async def _connect(
        self, server: int
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.addresses[server].partition(':')
        reader, writer = await asyncio.open_connection(host, port)
        self.addCleanup(writer.close)
        return reader, writer

    async def _handle(
        self, method: str, path: str, headers: protocol.Headers, body: bytes
    ) -> protocol.HttpReply:
        self.request_count += 1
        return await self.replies.get()

    def _finish_all(self) -> None:
        self.finish_all_calls += 1
        self.replies.put_nowait(protocol.HttpReply(502))

    def _close(self) -> asyncio.Task[int]:
        return asyncio.create_task(
            _server_closing.close_servers(
                self.servers, lambda: self.left_ms, self._finish_all
            )
        )

    async def _read_reply(self) -> bytes:
        return await asyncio.wait_for(self.reader.read(), _HANG_GUARD_S)

    async def test_pending_requests_have_the_time_left(self) -> None:
        """The caller gets its reply, not a closed connection.

        The request takes longer than the default timeout of a close, but less
        than the time left for the shutdown.
        """
        close_task = self._close()
        await asyncio.sleep(2.0 * transport.CLOSE_TIMEOUT_MS / 1000.0)
        self.replies.put_nowait(protocol.HttpReply(207))
        self.assertIn(b' 207 ', await self._read_reply())
        await close_task
        self.assertEqual(0, self.finish_all_calls)

    async def test_pending_requests_are_answered_at_the_limit(
        self,
    ) -> None:
        """The caller gets the outcome known when the time is up.

        The time is shortened, as by a second signal, while its request waits.
        """
        close_task = self._close()
        await asyncio.sleep(0.0)
        self.left_ms = 0.0
        self.assertIn(b' 502 ', await self._read_reply())
        self.assertEqual(0, await close_task)
        self.assertEqual(1, self.finish_all_calls)

    async def test_no_time_left_still_answers_before_aborting(self) -> None:
        """The time may be used up before the servers begin to close."""
        self.left_ms = 0.0
        await self._close()
        self.assertIn(b' 502 ', await self._read_reply())

    async def test_unanswerable_requests_do_not_delay_the_end(
        self,
    ) -> None:
        """Otherwise the process would be killed before it closed the rest."""
        self.left_ms = 0.0
        aborted = await _server_closing.close_servers(
            self.servers, lambda: self.left_ms, lambda: None
        )
        self.assertEqual(1, aborted)
        self.assertEqual(b'', await self._read_reply())

    async def test_no_server_accepts_while_another_waits(self) -> None:
        """New callers would have less time here than at another daemon."""
        close_task = self._close()
        await asyncio.sleep(0.0)
        await asyncio.sleep(0.0)
        for server in (0, 1):
            with self.assertRaises(OSError):
                await self._connect(server)
        self.replies.put_nowait(protocol.HttpReply(207))
        await close_task
