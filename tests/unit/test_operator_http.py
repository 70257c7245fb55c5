"""The HTTP interface for operators: token, statuses, error bodies."""

import typing
import unittest

from aiohttp import test_utils
import msgspec

from samphiredock import metrics
from samphiredock import protocol
from samphiredock import transport
from standins import memory_services
from tests.unit import base_files

TOKEN = 'a-token-of-some-length'

_GOOD = {'Authorization': f'Bearer {TOKEN}'}
_CHANGE = {
    'base_revision': 1,
    'change_id': 'c',
    'author': 'a',
    'base': {},
    'overlays': {},
}


class OperatorHttpTest(unittest.IsolatedAsyncioTestCase):
    """The real application, called over loopback."""

    async def asyncSetUp(self) -> None:
        """Start the application with a token."""
        self.operations = memory_services.MemoryOperations(
            base_files.make_source(base_files.example_base())
        )
        self.counters = metrics.Metrics('test')
        app = transport.operator_application(
            self.operations, self.counters, TOKEN
        )
        self.client = test_utils.TestClient(test_utils.TestServer(app))
        await self.client.start_server()
        self.addAsyncCleanup(self.client.close)

    async def _call(
        self,
        method: str,
        path: str,
        body: object = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, typing.Any]:
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        async with self.client.request(
            method, path, data=data, headers=headers or _GOOD
        ) as got:
            return got.status, msgspec.json.decode(await got.read())

    async def test_a_wrong_token_is_refused_and_counted(self) -> None:
        """Every path needs the token, also paths that do not exist."""
        wrong = ('', 'Bearer', f'Bearer {TOKEN}x', TOKEN, 'Bearer \u00f8')
        for given in wrong:
            for method, path in (('GET', '/metrics'), ('PUT', '/v1/x')):
                status, answer = await self._call(
                    method, path, None, {'Authorization': given}
                )
                self.assertEqual(
                    (401, 'wrong-token'), (status, answer['kind'])
                )
        self.assertEqual(
            2 * len(wrong), self.counters.total('operator_calls_refused')
        )

    async def test_an_invalid_change_is_refused(self) -> None:
        """An invalid body is not applied; each outcome has its status."""
        path = '/v1/configuration'
        for body in (b'{', {}, {**_CHANGE, 'base_revision': '1'}):
            status, answer = await self._call('PUT', path, body)
            self.assertEqual((400, 'bad-request'), (status, answer['kind']))
        status, answer = await self._call('PUT', path, b' ' * 2_100_000)
        self.assertEqual((413, 'too-large'), (status, answer['kind']))
        status, answer = await self._call(
            'PUT', path, _CHANGE, {**_GOOD, 'Content-Type': 'text/plain'}
        )
        self.assertEqual(415, status)
        self.assertEqual([], self.operations.changes)
        outcomes = {
            200: protocol.ChangeAccepted(2),
            409: protocol.ChangeConflict(3, 'other'),
            422: protocol.ChangeInvalid(['base: a: got 1, expected 2']),
            503: protocol.ChangeUnavailable('store', 1_000),
            504: protocol.ChangeUnknown('lost', 1_000),
        }
        for expected, outcome in outcomes.items():
            self.operations.outcome = outcome
            status, answer = await self._call('PUT', path, _CHANGE)
            self.assertEqual(expected, status)
            self.assertEqual(msgspec.to_builtins(outcome), answer)

    async def test_targets_and_quarantine(self) -> None:
        """Results have status 200, errors their own."""
        cases = (
            ('POST', '/v1/targets/desk-1/drain', 200),
            ('POST', '/v1/targets/desk-9/drain', 404),
            ('GET', '/v1/quarantine', 200),
            ('DELETE', '/v1/quarantine/f', 503),
            ('GET', '/v1/configuration', 200),
            ('GET', '/v1/configuration/history', 200),
            ('GET', '/v1/configuration/confirmations', 200),
        )
        for method, path, expected in cases:
            status, _ = await self._call(method, path)
            self.assertEqual(expected, status, path)
        self.assertEqual({'desk-1': True}, self.operations.leaving)

    async def test_a_failed_handler_is_reported(self) -> None:
        """Later calls are served."""
        self.operations.error = RuntimeError('broken')
        status, answer = await self._call('GET', '/v1/status')
        self.assertEqual((500, 'internal'), (status, answer['kind']))
        self.operations.error = None
        self.assertEqual(200, (await self._call('GET', '/v1/status'))[0])
