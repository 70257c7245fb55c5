"""The HTTP interface for callers: statuses, bodies and limits."""

import asyncio
import random
import typing
import unittest
import uuid

from aiohttp import test_utils
import msgspec

from samphiredock import metrics
from samphiredock import protocol
from samphiredock import transport
from standins import memory_services

BODY_LIMIT_BYTES = 1_000
SEARCH = {'service': 's', 'search': 'q', 'terms': {'a': 'b'}}
RUN = {'service': 's', 'operation': 'o', 'body': {}}
KEY = protocol.new_idempotency_key(1_700_000_000_000, random.Random(1))


class CallerHttpTest(unittest.IsolatedAsyncioTestCase):
    """The real application, called over loopback."""

    async def asyncSetUp(self) -> None:
        """Start the application."""
        self.service = memory_services.MemoryService()
        self.counters = metrics.Metrics('test')
        app = transport.caller_application(
            self.service, BODY_LIMIT_BYTES, self.counters
        )
        self.client = test_utils.TestClient(test_utils.TestServer(app))
        await self.client.start_server()
        self.addAsyncCleanup(self.client.close)

    async def _post(
        self, path: str, body: object, **headers: str
    ) -> tuple[int, dict, typing.Mapping[str, str]]:
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        names = {key.replace('_', '-'): text for key, text in headers.items()}
        async with self.client.post(path, data=data, headers=names) as got:
            return got.status, await got.json(), got.headers

    async def test_a_stopping_daemon_answers_pipelined_requests(self) -> None:
        """Closing after the first response would drop the second request."""
        self.service.closing = True
        body = msgspec.json.encode(SEARCH)
        request = (
            b'POST /v1/search HTTP/1.1\r\nHost: daemon\r\n'
            b'Content-Type: application/json\r\n'
            b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
        )
        reader, writer = await asyncio.open_connection(
            self.client.host, self.client.port
        )
        self.addCleanup(writer.close)
        writer.write(request * 2)
        async with asyncio.timeout(10.0):
            answers = (await reader.read()).split(b'HTTP/1.1 ')[1:]
        self.assertEqual([b'200', b'200'], [row[:3] for row in answers])
        self.assertEqual(
            [False, True], [b'Connection: close' in row for row in answers]
        )

    async def test_bad_input_has_its_own_status_and_starts_nothing(
        self,
    ) -> None:
        """The request does not reach the daemon, so "not run" is correct."""
        key = {'Idempotency_Key': KEY}
        cases = (
            ('/v1/search', b'{', {}, 400),
            ('/v1/search', b'\xff\xfe', {}, 400),
            ('/v1/search', b'', {}, 400),
            ('/v1/search', [], {}, 422),
            ('/v1/search', {**SEARCH, 'terms': {'a': 1}}, {}, 422),
            ('/v1/search', {**SEARCH, 'deadline_ms': '1s'}, {}, 422),
            ('/v1/search', {**SEARCH, 'deadline_s': 1}, {}, 422),
            ('/v1/search', {**SEARCH, 'deadline_ms': 0}, {}, 400),
            ('/v1/search', b' ' * (BODY_LIMIT_BYTES + 1), {}, 413),
            ('/v1/search', SEARCH, {'Content_Type': 'text/plain'}, 415),
            ('/v1/run', RUN, {}, 428),
            ('/v1/run', RUN, {'Idempotency_Key': ''}, 400),
            ('/v1/run', RUN, {'Idempotency_Key': 'a b'}, 400),
            ('/v1/run', RUN, {'Idempotency_Key': 'k' * 129}, 400),
            ('/v1/run', RUN, {'Idempotency_Key': str(uuid.uuid4())}, 400),
            ('/v1/run', RUN, {'Idempotency_Key': 'n\u00f8gle'}, 400),
            ('/v1/run', {**RUN, 'deadline_ms': -1}, key, 400),
            ('/v1/run', {**RUN, 'issued_at_ms': 1}, key, 422),
            ('/v1/nothing', SEARCH, {}, 404),
            ('/ready', SEARCH, {}, 405),
        )
        for path, body, headers, expected in cases:
            with self.subTest(path=path, body=body, headers=headers):
                status, answer, _ = await self._post(path, body, **headers)
                self.assertEqual(expected, status, answer)
                self.assertEqual('not-run', answer['type'])
                self.assertEqual('bad-request', answer['reason'])
                self.assertTrue(answer['detail'])
        self.assertEqual([], self.service.asked)

    async def test_a_failed_handler_is_unknown_and_counted(self) -> None:
        """It may have started work, so "not run" would be wrong."""
        self.service.error = RuntimeError('broken')
        status, answer, _ = await self._post(
            '/v1/run', RUN, Idempotency_Key=KEY
        )
        self.assertEqual((500, 'unknown'), (status, answer['type']))
        self.assertEqual(1, self.counters.total('http_handler_failures'))
        self.service.error = None
        status, answer, _ = await self._post('/v1/search', SEARCH)
        self.assertEqual((200, 'answered'), (status, answer['type']))

    async def test_a_key_has_one_spelling_and_its_own_time(self) -> None:
        """A retry that spells its key differently must not run again.

        The issue time is taken from the key, since a retry could send a
        newer one after the claim has expired.
        """
        self.service.outcome = protocol.Completed({}, True, False)
        for text in (KEY, KEY.upper(), KEY.replace('-', ''), f'{{{KEY}}}'):
            await self._post('/v1/run', RUN, Idempotency_Key=text)
        self.assertEqual([KEY] * 4, self.service.asked)
        self.assertEqual({1_700_000_000_000}, self.service.issued_at_ms)

    async def test_the_body_limit_follows_the_configuration(self) -> None:
        """A change applies without a restart."""
        limit = [10]
        app = transport.caller_application(
            self.service, BODY_LIMIT_BYTES, self.counters, lambda: limit[0]
        )
        async with test_utils.TestClient(test_utils.TestServer(app)) as client:
            for expected, limit[0] in ((413, 10), (200, 500)):
                async with client.post('/v1/search', json=SEARCH) as got:
                    self.assertEqual(expected, got.status)

    async def test_each_reason_has_a_status_and_a_retry_time(self) -> None:
        """``Retry-After`` is in whole seconds, rounded up."""
        for reason in protocol.NotRunReason:
            self.service.outcome = protocol.NotRun(reason, 'why', 1_200)
            status, answer, headers = await self._post('/v1/search', SEARCH)
            self.assertGreaterEqual(status, 400)
            self.assertEqual(reason.value, answer['reason'])
            self.assertEqual('2', headers['Retry-After'])

    async def test_a_disconnect_within_a_body_is_no_failure(self) -> None:
        """The body is incomplete, so nothing was started."""
        port = self.client.server.port
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(
            b'POST /v1/search HTTP/1.1\r\nHost: x\r\n'
            b'Content-Length: 900\r\n\r\n{"service"'
        )
        await writer.drain()
        writer.close()
        await writer.wait_closed()
        status, _, _ = await self._post('/v1/search', SEARCH)
        self.assertEqual(200, status)
        self.assertEqual(1, len(self.service.asked))
        self.assertEqual(0, self.counters.total('http_handler_failures'))
