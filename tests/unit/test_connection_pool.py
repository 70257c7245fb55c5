"""Pooled connections: reuse, limits, and complete replies to each request."""

import asyncio
import math
import socket
import struct
import time
import unittest
from unittest import mock

from returns import result

from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport
from samphiredock.transport import _connection_pool
from standins import scripted_target

Kind = transport.LinkErrorKind


class ConnectionPoolTest(unittest.IsolatedAsyncioTestCase):
    """One pool and one target with scripted replies."""

    async def asyncSetUp(self) -> None:
        """Start the target and create the pool."""
        self.clock = timers.LoopTimers()
        self.pool = transport.ConnectionPool(self.clock, lambda target: 4)
        self.target = scripted_target.ScriptedTarget(self._plain)
        address = await self.target.start()
        self.entry = state.LiveTarget('t', 's', address, 'here', 2)

    async def asyncTearDown(self) -> None:
        """Close the pool and stop the target."""
        self.pool.close()
        await self.target.stop()
        self.clock.close()

    async def _plain(
        self, seen: scripted_target.HttpMessage, writer: asyncio.StreamWriter
    ) -> None:
        request_id = seen.headers['request-id']
        writer.write(scripted_target.answer(request_id, request_id.encode()))

    async def _slow(
        self, seen: scripted_target.HttpMessage, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.02)
        await self._plain(seen, writer)

    def _use_manual_clock(self, limit: int = 4) -> timers.ManualTimers:
        """Replace the pool by one whose clock the test advances."""
        clock = timers.ManualTimers()
        self.pool = transport.ConnectionPool(clock, lambda target: limit)
        return clock

    async def _ask(
        self,
        request_id: str,
        timeout_ms: float = 2_000.0,
        max_idle_ms: float = math.inf,
    ) -> result.Result[protocol.HttpReply, transport.LinkError]:
        return await self.pool.exchange(
            self.entry,
            protocol.HttpRequest('GET', '/', (('Request-Id', request_id),)),
            timeout_ms,
            lambda reply: reply.header('request-id') == request_id,
            max_idle_ms,
        )

    async def test_a_connection_is_reused(self) -> None:
        """Opening a new connection would occupy a slot of the target."""
        for number in range(5):
            reply = (await self._ask(f'r{number}')).unwrap()
            self.assertEqual(f'r{number}'.encode(), reply.body)
        self.assertEqual(1, self.target.connections)

    async def test_stall_is_not_taken_for_an_unreachable_target(self) -> None:
        """A daemon that was suspended counted sound targets as lost.

        This process does nothing for longer than the connect timeout, at
        each of the first turns of the event loop after connecting began.
        """
        loop = asyncio.get_running_loop()

        def stall(turns: int) -> None:
            if turns:
                loop.call_soon(stall, turns - 1)
            else:
                time.sleep(0.04)

        for turns in range(6):
            with (
                self.subTest(turns=turns),
                mock.patch.object(_connection_pool, 'CONNECT_TIMEOUT_MS', 20),
            ):
                self.pool = transport.ConnectionPool(
                    self.clock, lambda target: 4
                )
                asking = asyncio.create_task(self._ask('a'))
                loop.call_soon(stall, turns)
                self.assertEqual(b'a', (await asking).unwrap().body)
                self.pool.close()

    async def test_an_unwanted_request_is_not_sent(self) -> None:
        """A search ends while its request waits for a connection.

        The request would take a slot of the target for nothing; the
        connection goes to the next waiting request instead.
        """
        self.pool = transport.ConnectionPool(self.clock, lambda target: 1)
        may_reply = asyncio.Event()

        async def reply_when_allowed(
            seen: scripted_target.HttpMessage, writer: asyncio.StreamWriter
        ) -> None:
            await may_reply.wait()
            await self._plain(seen, writer)

        self.target.script = reply_when_allowed
        first = asyncio.create_task(self._ask('a'))
        await asyncio.sleep(0.02)
        self.assertFalse(self.pool.has_room(self.entry))
        wanted = True
        second = asyncio.create_task(
            self.pool.exchange(
                self.entry,
                protocol.HttpRequest('GET', '/', (('Request-Id', 'b'),)),
                2_000.0,
                lambda reply: True,
                is_wanted=lambda: wanted,
            )
        )
        third = asyncio.create_task(self._ask('c'))
        await asyncio.sleep(0.02)
        wanted = False
        may_reply.set()
        self.assertEqual(b'a', (await first).unwrap().body)
        self.assertIs(Kind.NO_CONNECTION, (await second).failure().kind)
        self.assertEqual(b'c', (await third).unwrap().body)
        seen = [row.headers['request-id'] for row in self.target.seen]
        self.assertEqual(['a', 'c'], seen)
        self.assertEqual(1, self.target.connections)
        self.assertTrue(self.pool.has_room(self.entry))

    async def test_a_cancelled_waiter_wakes_the_next(self) -> None:
        """Otherwise a connection would stay idle while requests wait."""
        self.pool = transport.ConnectionPool(self.clock, lambda target: 1)
        first = asyncio.create_task(self._ask('a'))
        await asyncio.sleep(0)
        second = asyncio.create_task(self._ask('b'))
        third = asyncio.create_task(self._ask('c'))
        await asyncio.sleep(0)
        first.add_done_callback(lambda task: second.cancel())
        self.assertEqual(b'c', (await third).unwrap().body)

    async def test_warm_opens_one_connection(self) -> None:
        """The first request uses the connection that was opened in advance."""
        await self.pool.warm(self.entry)
        await self.pool.warm(self.entry)
        await self._ask('a')
        self.assertEqual(1, self.target.connections)

    async def test_the_idle_limit_of_a_target_is_learned(
        self,
    ) -> None:
        """Otherwise each request after such an idle time would be lost.

        The target silently drops connections that are idle for 300 ms and
        resets them on the next request.  After the first loss, a request
        after the same idle time gets a new connection.
        """
        used = set()

        async def reset_if_reused(
            seen: scripted_target.HttpMessage, writer: asyncio.StreamWriter
        ) -> None:
            if writer in used:
                scripted_target.reset(writer)
                return
            used.add(writer)
            await self._plain(seen, writer)

        clock = self._use_manual_clock()
        self.target.script = reset_if_reused
        (await self._ask('a')).unwrap()
        clock.advance(300.0)
        self.assertIs(Kind.BROKEN, (await self._ask('b')).failure().kind)
        (await self._ask('c')).unwrap()
        clock.advance(300.0)
        self.assertEqual(b'd', (await self._ask('d')).unwrap().body)

    async def test_a_lost_reply_does_not_lower_the_idle_limit(
        self,
    ) -> None:
        """Good connections would be replaced by new ones after each loss.

        The reset comes after the target has worked on the request, or on a
        connection that was idle for a short time only.
        """
        clock = self._use_manual_clock()
        for idle_ms, work_ms in ((300.0, 16.0), (20.0, 0.0)):
            with self.subTest(idle_ms=idle_ms):
                self.target.script = self._plain
                await self._ask('a')
                clock.advance(idle_ms)

                async def reset_after_work(
                    seen: scripted_target.HttpMessage,
                    writer: asyncio.StreamWriter,
                ) -> None:
                    clock.advance(work_ms)
                    scripted_target.reset(writer)

                self.target.script = reset_after_work
                lost = (await self._ask('b')).failure()
                self.assertIs(Kind.BROKEN, lost.kind)
                self.target.script = self._plain
                await self._ask('c')
                opened = self.target.connections
                clock.advance(300.0)
                await self._ask('d')
                self.assertEqual(opened, self.target.connections)

    async def test_max_idle_ms_excludes_idle_connections(
        self,
    ) -> None:
        """A request that must run once could not be repeated if it was lost.

        Other requests still reuse connections that were idle for longer.
        """
        clock = self._use_manual_clock()
        await self._ask('a')
        clock.advance(300.0)
        await self._ask('b', max_idle_ms=100.0)
        self.assertEqual(2, self.target.connections)
        await self._ask('c', max_idle_ms=100.0)
        clock.advance(300.0)
        await self._ask('d')
        self.assertEqual(2, self.target.connections)

    async def test_a_new_connection_replaces_an_idle_one_at_the_limit(
        self,
    ) -> None:
        """The limit is kept, and the request does not wait."""
        clock = self._use_manual_clock(limit=1)
        await self._ask('a')
        clock.advance(300.0)
        self.assertEqual(
            b'b', (await self._ask('b', max_idle_ms=100.0)).unwrap().body
        )
        self.assertEqual(1, self.pool._pools['t'].open_count)

    async def _open(self, count: int) -> None:
        """Open a number of connections and leave them idle."""
        self.target.script = self._slow
        await asyncio.gather(*(self._ask(f'{n}') for n in range(count)))
        self.assertEqual(count, self.target.connections)
        self.target.script = self._plain

    async def test_a_lowered_limit_still_allows_a_new_connection(
        self,
    ) -> None:
        """A request could wait for a connection until its timeout.

        All connections have been idle for too long for this request, and
        one more is open than the new limit allows.  Closing only one would
        leave no room, and no exchange is running that would wake it.
        """
        clock = timers.ManualTimers()
        limit = 5
        self.pool = transport.ConnectionPool(clock, lambda target: limit)
        await self._open(5)
        limit = 4
        clock.advance(300.0)
        reply = await self._ask('x', max_idle_ms=100.0)
        self.assertEqual(b'x', reply.unwrap().body)
        self.assertEqual(4, self.pool._pools['t'].open_count)

    async def test_a_raised_limit_lets_a_waiting_request_connect(
        self,
    ) -> None:
        """The request would otherwise wait until the silent exchange ends."""

        async def silent_to_first(
            seen: scripted_target.HttpMessage, writer: asyncio.StreamWriter
        ) -> None:
            if seen.headers['request-id'] == 'a':
                await asyncio.sleep(30.0)
            await self._plain(seen, writer)

        self.target.script = silent_to_first
        limit = 1
        self.pool = transport.ConnectionPool(self.clock, lambda target: limit)
        first = asyncio.create_task(self._ask('a', 20_000.0))
        second = asyncio.create_task(self._ask('b', 10_000.0))
        await asyncio.sleep(0.05)
        limit = 2
        reply = await second
        self.assertEqual(b'b', reply.unwrap().body)
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)

    async def test_a_timeout_while_waiting_is_not_blamed_on_the_target(
        self,
    ) -> None:
        """Otherwise the target would be considered lost and get no work."""

        async def silent(
            seen: scripted_target.HttpMessage, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(30.0)

        self.target.script = silent
        self.pool = transport.ConnectionPool(self.clock, lambda target: 1)
        first = asyncio.create_task(self._ask('a'))
        await asyncio.sleep(0.05)
        second = await self._ask('b', 50.0)
        self.assertIs(Kind.NO_CONNECTION, second.failure().kind)
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)

    async def test_a_late_reply_to_another_request_is_skipped(
        self,
    ) -> None:
        """A caller would get another caller's records.

        The target sends a second copy of its first reply ahead of the reply
        to the second request.
        """

        async def stale_reply_first(
            seen: scripted_target.HttpMessage, writer: asyncio.StreamWriter
        ) -> None:
            request_id = seen.headers['request-id']
            if request_id == 'second':
                writer.write(scripted_target.answer('first', b'wrong'))
            await self._plain(seen, writer)

        self.target.script = stale_reply_first
        await self._ask('first')
        reply = (await self._ask('second')).unwrap()
        self.assertEqual(b'second', reply.body)
        self.assertEqual(1, self.target.connections)

    async def test_a_connection_with_a_second_reply_is_not_reused(
        self,
    ) -> None:
        """The first reply is valid; the second could reach a later request."""

        async def two_replies(
            seen: scripted_target.HttpMessage, writer: asyncio.StreamWriter
        ) -> None:
            request_id = seen.headers['request-id']
            writer.write(
                scripted_target.answer(request_id, b'one')
                + scripted_target.answer(request_id, b'two')
            )

        self.target.script = two_replies
        self.assertEqual(b'one', (await self._ask('a')).unwrap().body)
        self.assertEqual(b'one', (await self._ask('b')).unwrap().body)
        self.assertEqual(2, self.target.connections)

    async def test_a_change_of_protocol_is_no_reply(self) -> None:
        """It broke the connection, which looks like a lost target."""

        async def switch_protocols(
            seen: scripted_target.HttpMessage, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(
                b'HTTP/1.1 101 Switching Protocols\r\n'
                b'Connection: Upgrade\r\nUpgrade: h2c\r\n\r\nother bytes'
            )

        self.target.script = switch_protocols
        error = (await self._ask('a')).failure()
        self.assertIs(transport.LinkErrorKind.BAD_ANSWER, error.kind)

    async def test_unsolicited_bytes_close_the_connection(
        self,
    ) -> None:
        """They would be read as the reply to the next request."""

        async def reply_and_extra(
            seen: scripted_target.HttpMessage, writer: asyncio.StreamWriter
        ) -> None:
            await self._plain(seen, writer)
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.write(b'rest of something')

        self.target.script = reply_and_extra
        await self._ask('a')
        await asyncio.sleep(0.1)
        await self._ask('b')
        self.assertEqual(2, self.target.connections)

    async def test_a_reply_without_a_length_ends_with_its_connection(
        self,
    ) -> None:
        """It is complete if the connection was closed without a reset."""

        async def unframed(
            seen: scripted_target.HttpMessage, writer: asyncio.StreamWriter
        ) -> None:
            request_id = seen.headers['request-id']
            writer.write(
                scripted_target.answer(request_id, b'all', framed=False)
            )
            await writer.drain()
            writer.close()

        self.target.script = unframed
        self.assertEqual(b'all', (await self._ask('a')).unwrap().body)

    async def test_a_reset_body_without_a_length_is_incomplete(self) -> None:
        """The caller would take a part of the records for all of them.

        Only the reset shows that the body is incomplete.
        """

        async def cut(
            seen: scripted_target.HttpMessage, writer: asyncio.StreamWriter
        ) -> None:
            request_id = seen.headers['request-id']
            writer.write(
                scripted_target.answer(request_id, b'half', framed=False)
            )
            await writer.drain()
            await asyncio.sleep(0.05)
            linger = struct.pack('ii', 1, 0)
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
            scripted_target.reset(writer)

        self.target.script = cut
        error = (await self._ask('a')).failure()
        self.assertIs(Kind.BROKEN, error.kind)

    async def test_a_truncated_body_is_incomplete(self) -> None:
        """The stated length was not reached."""

        async def cut(
            seen: scripted_target.HttpMessage, writer: asyncio.StreamWriter
        ) -> None:
            whole = scripted_target.answer('a', b'x' * 100)
            writer.write(whole[:-40])
            await writer.drain()
            writer.close()

        self.target.script = cut
        error = (await self._ask('a')).failure()
        self.assertIs(Kind.BROKEN, error.kind)

    async def test_a_reply_that_is_not_http(self) -> None:
        """It is an error value, and the connection is not reused."""

        async def garbage(
            seen: scripted_target.HttpMessage, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(b'\x00\xff no answer at all\r\n\r\n')

        self.target.script = garbage
        error = (await self._ask('a')).failure()
        self.assertIs(Kind.BAD_ANSWER, error.kind)
        self.target.script = self._plain
        await self._ask('b')
        self.assertEqual(2, self.target.connections)

    async def test_a_timeout_closes_the_connection(self) -> None:
        """Its late reply could be read as the reply to the next request."""

        async def silent(
            seen: scripted_target.HttpMessage, writer: asyncio.StreamWriter
        ) -> None:
            return

        self.target.script = silent
        error = (await self._ask('a', 50.0)).failure()
        self.assertIs(Kind.SILENT, error.kind)
        self.target.script = self._plain
        await self._ask('b')
        self.assertEqual(2, self.target.connections)

    async def test_cancelling_closes_the_connection(self) -> None:
        """The close tells the target to stop working on the request."""

        async def silent(
            seen: scripted_target.HttpMessage, writer: asyncio.StreamWriter
        ) -> None:
            return

        self.target.script = silent
        task = asyncio.create_task(self._ask('a'))
        while not self.target.seen:
            await asyncio.sleep(0.005)
        task.cancel()
        while not self.target.closed:
            await asyncio.sleep(0.005)

    async def test_a_refused_connection_proves_that_nothing_ran(self) -> None:
        """Even a request that must not run twice may then go elsewhere."""
        await self.target.stop()
        error = (await self._ask('a')).failure()
        self.assertIs(Kind.UNREACHABLE, error.kind)

    async def test_the_connection_limit_is_not_exceeded(self) -> None:
        """The target resets connections above its limit."""
        self.target.script = self._slow
        replies = await asyncio.gather(*(self._ask(f'{n}') for n in range(20)))
        self.assertTrue(all(isinstance(r, result.Success) for r in replies))
        self.assertEqual(4, self.target.connections)

    async def test_a_connection_near_its_idle_timeout_is_not_reused(
        self,
    ) -> None:
        """The target may be closing it, and the request would be lost."""

        async def no_keepalive(
            seen: scripted_target.HttpMessage, writer: asyncio.StreamWriter
        ) -> None:
            request_id = seen.headers['request-id']
            writer.write(
                scripted_target.answer(
                    request_id, headers={'Keep-Alive': 'timeout=0, max=9'}
                )
            )

        self.target.script = no_keepalive
        await self._ask('a')
        await self._ask('b')
        self.assertEqual(2, self.target.connections)
