"""Connections to a target: their limit and their reuse."""

import asyncio
import unittest

from aiohttp import web
import msgspec
from returns import result

from samphiredock import protocol
from samphiredock import state
from samphiredock import transport

_QUERY = protocol.TargetQuery('', 'v', 's', {}, 1, 'i', 1, 1, 'x', 1_000)


class HttpTargetLinkTest(unittest.IsolatedAsyncioTestCase):
    """A link to a small server on loopback."""

    async def asyncSetUp(self) -> None:
        self.ports: list[int] = []
        self.peak = 0
        self.may_reply = asyncio.Event()
        self.may_reply.set()
        self.silent_requests = 0
        self.stopped = asyncio.Event()
        self.echo_attempt = self.echo_fingerprint = lambda name: name
        app = web.Application()
        app.router.add_post('/batch', self._batch)
        app.router.add_get('/health', self._health)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        await self.runner.setup()
        site = web.TCPSite(self.runner, '127.0.0.1', 0)
        await site.start()
        url = f'http://127.0.0.1:{self.runner.addresses[0][1]}'
        self.link = transport.HttpTargetLink(
            state.Target('t', 'a', url, 2, 4, 0)
        )

    async def asyncTearDown(self) -> None:
        self.stopped.set()
        self.may_reply.set()
        await self.link.close()
        await self.runner.cleanup()

    def _count(self, request: web.Request) -> None:
        self.ports.append(request.transport.get_extra_info('peername')[1])
        open_now = [
            row
            for row in self.runner.server.connections
            if row.transport is not None and not row.transport.is_closing()
        ]
        self.peak = max(self.peak, len(open_now))

    async def _batch(self, request: web.Request) -> web.Response:
        self._count(request)
        body = msgspec.json.decode(
            await request.read(), type=protocol.TargetBatch
        )
        if self.silent_requests:
            self.silent_requests -= 1
            await self.stopped.wait()
        await self.may_reply.wait()
        answers = [
            protocol.TargetAnswer(
                self.echo_attempt(item.attempt_id),
                protocol.TargetStatus.OK,
                fingerprint=self.echo_fingerprint(item.fingerprint),
            )
            for item in body.items
        ]
        reply = protocol.TargetBatchAnswer(answers)
        return web.Response(body=msgspec.json.encode(reply))

    async def _health(self, request: web.Request) -> web.Response:
        self._count(request)
        reply = protocol.TargetHealth(True, False, 0, 0.0)
        return web.Response(body=msgspec.json.encode(reply))

    async def _wait_for_requests(self, requests: int) -> None:
        while len(self.ports) < requests:
            await asyncio.sleep(0.005)

    async def _ask(
        self, *names: str, timeout_ms: float = 2_000.0
    ) -> result.Result:
        items = [
            msgspec.structs.replace(_QUERY, attempt_id=name) for name in names
        ]
        return await self.link.batch(protocol.TargetBatch(items), timeout_ms)

    async def _assert_fails(
        self, kind: str, *names: str, **options: float
    ) -> None:
        reply = await self._ask(*names, **options)
        self.assertIsInstance(reply, result.Failure)
        self.assertEqual(kind, reply.failure().kind.value)

    async def test_connections_are_reused(self) -> None:
        for name in '123':
            (await self._ask(name)).unwrap()
        self.assertEqual(1, len(set(self.ports)))

    async def test_the_connection_limit_is_not_exceeded(self) -> None:
        """Many exchanges and a health probe at once, with a limit of 4."""
        self.may_reply.clear()
        asked = [asyncio.create_task(self._ask(str(n))) for n in range(12)]
        await self._wait_for_requests(3)
        (await self.link.health(1_000.0)).unwrap()
        self.may_reply.set()
        replies = await asyncio.gather(*asked)
        self.assertTrue(all(isinstance(r, result.Success) for r in replies))
        self.assertEqual(4, self.peak)

    async def test_lower_limit_closes_idle_connections(self) -> None:
        self.may_reply.clear()
        asked = [asyncio.create_task(self._ask(str(n))) for n in range(3)]
        await self._wait_for_requests(3)
        self.may_reply.set()
        await asyncio.gather(*asked)
        await self.link.resize(2)
        self.assertEqual(2, self.link.open_connections)

    async def test_a_timeout_closes_all_idle_connections(
        self,
    ) -> None:
        self.may_reply.clear()
        pair = [asyncio.create_task(self._ask(name)) for name in '12']
        await self._wait_for_requests(2)
        self.may_reply.set()
        await asyncio.gather(*pair)
        self.assertEqual(2, self.link.open_connections)
        self.silent_requests = 1
        await self._assert_fails('silent', '3', timeout_ms=50.0)
        self.assertEqual(0, self.link.open_connections)
        old = set(self.ports)
        (await self._ask('4')).unwrap()
        self.assertNotIn(self.ports[-1], old)

    async def test_a_timeout_does_not_abort_other_exchanges(
        self,
    ) -> None:
        """An exchange that runs completes; its connection is not reused."""
        self.may_reply.clear()
        running = asyncio.create_task(self._ask('1'))
        await self._wait_for_requests(1)
        self.silent_requests = 1
        await self._assert_fails('silent', '2', timeout_ms=50.0)
        self.assertEqual(1, self.link.open_connections)
        self.may_reply.set()
        (await running).unwrap()
        self.assertEqual(0, self.link.open_connections)

    async def test_swapped_answers_are_rejected(
        self,
    ) -> None:
        """A caller would get the answer to another query."""
        self.echo_attempt = {'1': '2', '2': '1', '3': 'x'}.__getitem__
        for names in (('1', '2'), ('3',)):
            await self._assert_fails('bad-answer', *names)
            self.assertEqual(0, self.link.open_connections)

    async def test_an_answer_to_another_content_is_rejected(self) -> None:
        """The attempt matches, but not the fingerprint."""
        self.echo_fingerprint = lambda content: 'other'
        await self._assert_fails('bad-answer', '1')
        self.assertEqual(0, self.link.open_connections)

    async def test_an_error_status_ends_the_exchange(self) -> None:
        def fail(name: str) -> str:
            raise ValueError(name)

        self.echo_attempt = fail
        reply = await self._ask('1')
        self.assertEqual('broken', reply.failure().kind.value)
        self.assertTrue(reply.failure().ended)

    async def test_only_a_refused_connection_is_unreachable(self) -> None:
        await self.runner.cleanup()
        await self._assert_fails('unreachable', '1')
