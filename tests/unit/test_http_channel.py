"""Connections to targets: whole answers, each to its own request."""

import asyncio
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
        self.pool = transport.ChannelPool(self.clock, lambda target: 4)
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

    async def _ask(
        self, request_id: str, timeout_ms: float = 2_000.0
    ) -> result.Result[protocol.HttpReply, transport.LinkError]:
        return await self.pool.exchange(
            self.entry,
            protocol.HttpRequest('GET', '/', (('Request-Id', request_id),)),
            timeout_ms,
            lambda reply: reply.header('request-id') == request_id,
        )

    async def test_a_connection_is_used_again(self) -> None:
        """A new one would hold a slot of the target for some ms."""
        for number in range(5):
            reply = (await self._ask(f'r{number}')).unwrap()
            self.assertEqual(f'r{number}'.encode(), reply.body)
        self.assertEqual(1, self.target.connections)

    async def test_a_target_is_warmed_once(self) -> None:
        """The first request finds a connection that is open."""
        await self.pool.warm(self.entry)
        await self.pool.warm(self.entry)
        await self._ask('a')
        self.assertEqual(1, self.target.connections)

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

        async def slow(
            seen: scripted_target.Seen, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(0.02)
            await self._plain(seen, writer)

        self.target.script = slow
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
