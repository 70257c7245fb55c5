"""Connections to targets: whole answers, each to its own request."""

import asyncio
import math
import socket
import struct
import unittest

from returns import result

from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport
from standins import scripted_target

Kind = transport.LinkErrorKind


class ChannelTest(unittest.IsolatedAsyncioTestCase):
    """One pool and one target that answers by a script."""

    async def asyncSetUp(self) -> None:
        """Listen and make a pool."""
        self.clock = timers.LoopTimers()
        self.pool = transport.ConnectionPool(self.clock, lambda target: 4)
        self.target = scripted_target.ScriptedTarget(self._plain)
        address = await self.target.start()
        self.entry = state.LiveTarget('t', 's', address, 'here', 2)

    async def asyncTearDown(self) -> None:
        """Close what was opened."""
        self.pool.close()
        await self.target.stop()
        self.clock.close()

    async def _plain(
        self, seen: scripted_target.Seen, writer: asyncio.StreamWriter
    ) -> None:
        request_id = seen.headers['request-id']
        writer.write(scripted_target.answer(request_id, request_id.encode()))

    async def _slow(
        self, seen: scripted_target.Seen, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.02)
        await self._plain(seen, writer)

    def _take_time_in_hand(self, limit: int = 4) -> timers.ManualTimers:
        """Use a pool whose idle times the test moves."""
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

    async def test_a_connection_is_used_again(self) -> None:
        """A new one would hold a slot of the target for some ms."""
        for number in range(5):
            reply = (await self._ask(f'r{number}')).unwrap()
            self.assertEqual(f'r{number}'.encode(), reply.body)
        self.assertEqual(1, self.target.connections)

    async def test_what_nobody_wants_any_more_is_not_sent(self) -> None:
        """It would take a slot of the target, for an answer to nobody.

        Its search ends while it waits for a connection; the connection goes
        to the next one that waits.
        """
        self.pool = transport.ConnectionPool(self.clock, lambda target: 1)
        go_on = asyncio.Event()

        async def slowly(
            seen: scripted_target.Seen, writer: asyncio.StreamWriter
        ) -> None:
            await go_on.wait()
            await self._plain(seen, writer)

        self.target.script = slowly
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
        go_on.set()
        self.assertEqual(b'a', (await first).unwrap().body)
        self.assertIs(Kind.NO_CONNECTION, (await second).failure().kind)
        self.assertEqual(b'c', (await third).unwrap().body)
        seen = [row.headers['request-id'] for row in self.target.seen]
        self.assertEqual(['a', 'c'], seen)
        self.assertEqual(1, self.target.connections)
        self.assertTrue(self.pool.has_room(self.entry))

    async def test_a_turn_that_is_cancelled_goes_to_the_next(self) -> None:
        """Else a free connection would lie idle while requests wait."""
        self.pool = transport.ConnectionPool(self.clock, lambda target: 1)
        first = asyncio.create_task(self._ask('a'))
        await asyncio.sleep(0)
        second = asyncio.create_task(self._ask('b'))
        third = asyncio.create_task(self._ask('c'))
        await asyncio.sleep(0)
        first.add_done_callback(lambda task: second.cancel())
        self.assertEqual(b'c', (await third).unwrap().body)

    async def test_a_target_is_warmed_once(self) -> None:
        """The first request finds a connection that is open."""
        await self.pool.warm(self.entry)
        await self.pool.warm(self.entry)
        await self._ask('a')
        self.assertEqual(1, self.target.connections)

    async def test_a_target_that_forgets_connections_is_understood(
        self,
    ) -> None:
        """Every request on a kept connection would be lost, and retried.

        The target forgets connections that are idle for 300 ms, without a
        word, and resets what is sent on them next.  The first loss shows
        it: the next request after such a time goes on a new connection.
        """
        used = set()

        async def forgets(
            seen: scripted_target.Seen, writer: asyncio.StreamWriter
        ) -> None:
            if writer in used:
                scripted_target.reset(writer)
                return
            used.add(writer)
            await self._plain(seen, writer)

        clock = self._take_time_in_hand()
        self.target.script = forgets
        (await self._ask('a')).unwrap()
        clock.advance(300.0)
        self.assertIs(Kind.BROKEN, (await self._ask('b')).failure().kind)
        (await self._ask('c')).unwrap()
        clock.advance(300.0)
        self.assertEqual(b'd', (await self._ask('d')).unwrap().body)

    async def test_a_lost_answer_teaches_nothing_of_idle_connections(
        self,
    ) -> None:
        """Each later request would open a connection of its own.

        The target runs the request and its connection breaks: the reset
        comes after the work, or on a connection that was in use just now.
        """
        clock = self._take_time_in_hand()
        for idle_ms, work_ms in ((300.0, 16.0), (20.0, 0.0)):
            with self.subTest(idle_ms=idle_ms):
                self.target.script = self._plain
                await self._ask('a')
                clock.advance(idle_ms)

                async def loses(
                    seen: scripted_target.Seen, writer: asyncio.StreamWriter
                ) -> None:
                    clock.advance(work_ms)
                    scripted_target.reset(writer)

                self.target.script = loses
                lost = (await self._ask('b')).failure()
                self.assertIs(Kind.BROKEN, lost.kind)
                self.target.script = self._plain
                await self._ask('c')
                opened = self.target.connections
                clock.advance(300.0)
                await self._ask('d')
                self.assertEqual(opened, self.target.connections)

    async def test_what_runs_once_does_not_trust_an_idle_connection(
        self,
    ) -> None:
        """Lost on a forgotten connection it could not be sent again.

        Other requests still use the connection that was idle for long.
        """
        clock = self._take_time_in_hand()
        await self._ask('a')
        clock.advance(300.0)
        await self._ask('b', max_idle_ms=100.0)
        self.assertEqual(2, self.target.connections)
        await self._ask('c', max_idle_ms=100.0)
        clock.advance(300.0)
        await self._ask('d')
        self.assertEqual(2, self.target.connections)

    async def test_a_new_connection_takes_the_place_of_an_idle_one(
        self,
    ) -> None:
        """The target's limit holds, and the request need not wait."""
        clock = self._take_time_in_hand(limit=1)
        await self._ask('a')
        clock.advance(300.0)
        self.assertEqual(
            b'b', (await self._ask('b', max_idle_ms=100.0)).unwrap().body
        )
        self.assertEqual(1, self.pool._pools['t'].open_count)

    async def _open(self, count: int) -> None:
        """Have so many connections open, all idle."""
        self.target.script = self._slow
        await asyncio.gather(*(self._ask(f'{n}') for n in range(count)))
        self.assertEqual(count, self.target.connections)
        self.target.script = self._plain

    async def test_a_request_that_runs_once_finds_room_as_the_limit_falls(
        self,
    ) -> None:
        """Its caller waits its whole time, and no target ever sees it.

        A daemon that was restarted is back, and takes its part of a
        target's connections: this one's limit falls by one.  All of its
        connections are idle, for too long to be trusted with a request that
        must run once.  One was closed for it, which left no room below the
        new limit, and with nothing under way no turn ever came.
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

    async def test_a_request_that_waits_finds_room_as_the_limit_rises(
        self,
    ) -> None:
        """Another daemon has left, and its part falls to this one.

        The one connection that there was room for is at a target that is
        silent; its end would be the first turn to come.
        """

        async def first_is_silent(
            seen: scripted_target.Seen, writer: asyncio.StreamWriter
        ) -> None:
            if seen.headers['request-id'] == 'a':
                await asyncio.sleep(30.0)
            await self._plain(seen, writer)

        self.target.script = first_is_silent
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

    async def test_waiting_for_a_connection_says_nothing_of_the_target(
        self,
    ) -> None:
        """It would be taken for lost, and get no work for a while."""

        async def silent(
            seen: scripted_target.Seen, writer: asyncio.StreamWriter
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

    async def test_a_late_answer_to_another_request_is_passed_over(
        self,
    ) -> None:
        """The caller would get another caller's records.

        The target answers the first request twice; the copy comes when the
        second request is out, in front of its own answer.
        """

        async def twice(
            seen: scripted_target.Seen, writer: asyncio.StreamWriter
        ) -> None:
            request_id = seen.headers['request-id']
            if request_id == 'second':
                writer.write(scripted_target.answer('first', b'wrong'))
            await self._plain(seen, writer)

        self.target.script = twice
        await self._ask('first')
        reply = (await self._ask('second')).unwrap()
        self.assertEqual(b'second', reply.body)
        self.assertEqual(1, self.target.connections)

    async def test_bytes_after_an_answer_belong_to_no_request(self) -> None:
        """The answer stands; its connection is not used again."""

        async def more(
            seen: scripted_target.Seen, writer: asyncio.StreamWriter
        ) -> None:
            request_id = seen.headers['request-id']
            writer.write(
                scripted_target.answer(request_id, b'one')
                + scripted_target.answer(request_id, b'two')
            )

        self.target.script = more
        self.assertEqual(b'one', (await self._ask('a')).unwrap().body)
        self.assertEqual(b'one', (await self._ask('b')).unwrap().body)
        self.assertEqual(2, self.target.connections)

    async def test_bytes_that_nobody_asked_for_close_the_connection(
        self,
    ) -> None:
        """They would be read as the answer to the next request."""

        async def later(
            seen: scripted_target.Seen, writer: asyncio.StreamWriter
        ) -> None:
            await self._plain(seen, writer)
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.write(b'rest of something')

        self.target.script = later
        await self._ask('a')
        await asyncio.sleep(0.1)
        await self._ask('b')
        self.assertEqual(2, self.target.connections)

    async def test_an_answer_without_a_length_ends_with_its_connection(
        self,
    ) -> None:
        """It is whole if the connection was closed in order."""

        async def unframed(
            seen: scripted_target.Seen, writer: asyncio.StreamWriter
        ) -> None:
            request_id = seen.headers['request-id']
            writer.write(
                scripted_target.answer(request_id, b'all', framed=False)
            )
            await writer.drain()
            writer.close()

        self.target.script = unframed
        self.assertEqual(b'all', (await self._ask('a')).unwrap().body)

    async def test_a_reset_body_without_a_length_is_not_whole(self) -> None:
        """The caller would take half of the records for all of them.

        The target sends a part of the body and its connection is reset;
        nothing in the bytes shows that more was to come.
        """

        async def cut(
            seen: scripted_target.Seen, writer: asyncio.StreamWriter
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

    async def test_a_cut_body_is_not_whole(self) -> None:
        """The length says that more was to come."""

        async def cut(
            seen: scripted_target.Seen, writer: asyncio.StreamWriter
        ) -> None:
            whole = scripted_target.answer('a', b'x' * 100)
            writer.write(whole[:-40])
            await writer.drain()
            writer.close()

        self.target.script = cut
        error = (await self._ask('a')).failure()
        self.assertIs(Kind.BROKEN, error.kind)

    async def test_bytes_that_are_no_answer(self) -> None:
        """A typed error, and the connection is not used again."""

        async def garbage(
            seen: scripted_target.Seen, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(b'\x00\xff no answer at all\r\n\r\n')

        self.target.script = garbage
        error = (await self._ask('a')).failure()
        self.assertIs(Kind.BAD_ANSWER, error.kind)
        self.target.script = self._plain
        await self._ask('b')
        self.assertEqual(2, self.target.connections)

    async def test_a_silent_target_costs_its_connection(self) -> None:
        """Its answer may still come, and would meet the next request."""

        async def silent(
            seen: scripted_target.Seen, writer: asyncio.StreamWriter
        ) -> None:
            return

        self.target.script = silent
        error = (await self._ask('a', 50.0)).failure()
        self.assertIs(Kind.SILENT, error.kind)
        self.target.script = self._plain
        await self._ask('b')
        self.assertEqual(2, self.target.connections)

    async def test_cancelling_closes_the_connection(self) -> None:
        """The target learns that nobody waits any more."""

        async def silent(
            seen: scripted_target.Seen, writer: asyncio.StreamWriter
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
        """So that even an unrepeatable request may go elsewhere."""
        await self.target.stop()
        error = (await self._ask('a')).failure()
        self.assertIs(Kind.UNREACHABLE, error.kind)

    async def test_the_limit_of_connections_holds(self) -> None:
        """The target resets those beyond its own limit."""
        self.target.script = self._slow
        replies = await asyncio.gather(*(self._ask(f'{n}') for n in range(20)))
        self.assertTrue(all(isinstance(r, result.Success) for r in replies))
        self.assertEqual(4, self.target.connections)

    async def test_a_connection_about_to_be_closed_is_not_used(self) -> None:
        """The request would cross the close and be lost."""

        async def short(
            seen: scripted_target.Seen, writer: asyncio.StreamWriter
        ) -> None:
            request_id = seen.headers['request-id']
            writer.write(
                scripted_target.answer(
                    request_id, headers={'Keep-Alive': 'timeout=0, max=9'}
                )
            )

        self.target.script = short
        await self._ask('a')
        await self._ask('b')
        self.assertEqual(2, self.target.connections)
