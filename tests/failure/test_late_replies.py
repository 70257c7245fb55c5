"""A late second reply to one attempt is not taken for the reply to another."""

import asyncio
import math
import pathlib
import sys
import unittest

from returns import result

from samphiredock.coordination import forwarding
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport
from samphiredock.transport import _http_connection
from standins import memory_links
from standins import scripted_target

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / 'platform'))

import prepared_hosts  # noqa: E402

_STATUS = protocol.SubStatus
_TIMEOUT_MS = 2_000.0


class LateReplyTest(unittest.IsolatedAsyncioTestCase):
    """A pool of connections to one target that repeats its rejections late.

    The target rejects the first attempt of each request and accepts the next.
    """

    async def asyncSetUp(self) -> None:
        """Start the target and create the pool."""
        self.clock = timers.LoopTimers()
        self.adapter = prepared_hosts.PreparedHosts()
        self.limit = 4
        self.pool = transport.ConnectionPool(
            self.clock, lambda target: self.limit
        )
        self.rejected: set[str] = set()
        self.late: dict[asyncio.StreamWriter, bytes] = {}
        self.ran: list[str] = []
        self.target = scripted_target.ScriptedTarget(self._reject_once)
        address = await self.target.start()
        self.entry = state.LiveTarget('t', 's', address, 'here', 2)

    async def asyncTearDown(self) -> None:
        """Close the pool and stop the target."""
        self.pool.close()
        await self.target.stop()
        self.clock.close()

    async def _answer_order(
        self, seen: scripted_target.HttpMessage, writer: asyncio.StreamWriter
    ) -> None:
        order = protocol.decode_order(seen.body).unwrap()
        merged = protocol.MergedItem(order.items[0].number, 'receipt', 1)
        report = protocol.encode_merge_message(
            protocol.MergeReport((merged,), (), b'')
        )
        order_id = seen.headers.get('samphiredock-order')
        echoed = f'Samphiredock-Order: {order_id}\r\n' if order_id else ''
        reply = (
            f'HTTP/1.1 200 OK\r\n{echoed}Transfer-Encoding: chunked\r\n\r\n'
        ).encode()
        reply += b'%x\r\n%b\r\n0\r\n\r\n' % (len(report), report)
        writer.write(self.late.pop(writer, b'') + reply)
        self.late[writer] = reply

    async def test_a_late_report_is_not_that_of_the_next_order(self) -> None:
        """A search would count a part of a shard that another one asked."""
        self.target.script = self._answer_order
        peers = forwarding.LiveTargets(self.clock)
        peers.put(self.entry)
        client = forwarding.OrderClient(
            'here',
            forwarding.LiveTargets(self.clock),
            peers,
            self.pool,
            memory_links.ForwarderHarness().make_replicas(),
            self.clock,
            metrics.Metrics('test'),
        )
        for number in (1, 2):
            item = protocol.OrderedItem(number, 's', 't')
            order = protocol.MergeOrder(
                'id', 'GET', 'h', '/', (), b'', _TIMEOUT_MS, 1.0, 5, b'',
                (item,),
            )  # fmt: skip
            reports: list[protocol.MergeReport] = []
            await client.send('t', order, reports.append)
            merged = [row.number for got in reports for row in got.merged]
            self.assertEqual([number], merged)
        self.assertEqual(1, self.target.connections)

    async def _reject_once(
        self, seen: scripted_target.HttpMessage, writer: asyncio.StreamWriter
    ) -> None:
        request_id = seen.headers['request-id']
        writer.write(self.late.pop(writer, b''))
        if request_id in self.rejected:
            self.ran.append(request_id)
            stamp = {'Answer-Stamp': 'x'}
            writer.write(scripted_target.answer(request_id, headers=stamp))
            return
        self.rejected.add(request_id)
        rejection = scripted_target.answer(
            request_id, status=503, headers={'Not-Run': '1'}
        )
        self.late[writer] = rejection
        writer.write(rejection)

    async def _accept(
        self, seen: scripted_target.HttpMessage, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(scripted_target.answer(seen.headers['request-id']))

    async def _attempt(self, request_id: str) -> protocol.SubStatus:
        request = protocol.ForwardRequest(
            request_id,
            'POST',
            'h',
            '/',
            (('Request-Id', request_id),),
            b'',
            _TIMEOUT_MS,
        )
        reply = await self.pool.exchange(
            self.entry,
            self.adapter.target_request(request, self.entry, _TIMEOUT_MS),
            _TIMEOUT_MS,
            lambda got: self.adapter.is_reply_to(request, got),
            math.inf,
        )
        self.assertIsInstance(reply, result.Success)
        return self.adapter.read_reply(request, reply.unwrap()).status

    async def test_a_late_rejection_is_not_that_of_the_next_attempt(
        self,
    ) -> None:
        """A request that must run once ran twice, or was refused and ran."""
        for limit in (4, 1):
            with self.subTest(connections=limit):
                self.limit = limit
                request_id = f'r{limit}'
                self.assertIs(_STATUS.SHED, await self._attempt(request_id))
                self.assertIs(
                    _STATUS.ANSWERED, await self._attempt(request_id)
                )
                self.assertEqual(1, self.ran.count(request_id))

    async def test_second_attempts_share_their_connections(self) -> None:
        """Each rejection would cost its target a new connection."""
        for number in range(10):
            self.assertIs(_STATUS.SHED, await self._attempt(f'r{number}'))
            self.assertIs(_STATUS.ANSWERED, await self._attempt(f'r{number}'))
        self.assertEqual(2, self.target.connections)

    async def test_ids_are_forgotten_after_the_deadline(self) -> None:
        """A connection in long use would hold the ids of all its requests."""
        self.target.script = self._accept
        host, _, port = self.entry.address.rpartition(':')
        connection = await _http_connection.open_connection(host, int(port))
        for request_id, timeout_ms in (('a', 100.0), ('b', _TIMEOUT_MS)):
            await connection.exchange(
                protocol.HttpRequest(
                    'GET',
                    '/',
                    (('Request-Id', request_id),),
                    request_id=request_id,
                ),
                lambda got: True,
                timeout_ms,
            )
            await asyncio.sleep(0.12)
        self.assertFalse(connection.has_carried('a'))
        self.assertTrue(connection.has_carried('b'))
        connection.close()


class UnidentifiedReplyTest(unittest.TestCase):
    """Replies that do not echo the id of a request."""

    def test_a_refusal_without_an_id_proves_nothing_on_a_used_connection(
        self,
    ) -> None:
        """A late refusal let a request that must run once run twice."""
        adapter = prepared_hosts.PreparedHosts()
        request = protocol.ForwardRequest('r', 'POST', 'h', '/', (), b'', 1.0)
        for status in (503, 429, 421, 500):
            with self.subTest(status=status):
                reply = protocol.HttpReply(
                    status, (('Not-Run', '1'),), may_be_late=True
                )
                read = adapter.read_reply(request, reply)
                self.assertIs(_STATUS.BROKEN, read.status)
                self.assertFalse(read.is_forwardable)
