"""The client of the platform's object store."""

import ssl
import unittest
from unittest import mock

import aiohttp
from aiohttp import test_utils
from aiohttp import web
import trustme

from samphiredock import timers
from samphiredock import transport
from standins import store


def _make_platform(
    case: unittest.TestCase, base_url: str
) -> transport.HttpPlatform:
    clock = timers.LoopTimers()
    case.addCleanup(clock.close)
    calls = transport.PooledStoreCalls(clock, base_url)
    case.addCleanup(calls.close)
    return transport.HttpPlatform(calls)


class HostListTest(unittest.IsolatedAsyncioTestCase):
    """The host list is transferred only when it has changed."""

    async def asyncSetUp(self) -> None:
        self.sent: list[tuple[int, int]] = []
        application = store.Store().application()
        application.on_response_prepare.append(self._record)
        self.server = test_utils.TestServer(application)
        await self.server.start_server()
        self.session = aiohttp.ClientSession()
        self.platform = _make_platform(self, str(self.server.make_url('/')))

    async def asyncTearDown(self) -> None:
        await self.session.close()
        await self.server.close()

    async def _record(
        self, request: web.Request, response: web.Response
    ) -> None:
        if request.path == '/hosts':
            self.sent.append((response.status, len(response.body or b'')))

    async def _set(self, leaving: bool) -> None:
        rows = [{'name': 't1', 'leaving': leaving}]
        url = self.server.make_url('/control/hosts')
        async with self.session.put(url, json=rows) as answer:
            self.assertEqual(200, answer.status)

    async def _assert_listed(self, leaving: bool) -> None:
        found = await self.platform.hosts()
        self.assertEqual((transport.Host('t1', leaving),), found.unwrap())

    async def test_unchanged_list_is_not_sent_again(self) -> None:
        for leaving in (False, True):
            await self._set(leaving)
            for _ in range(3):
                await self._assert_listed(leaving)
        statuses = [status for status, _ in self.sent]
        self.assertEqual([200, 304, 304] * 2, statuses)
        self.assertEqual(
            {0}, {size for code, size in self.sent if code == 304}
        )


class LostAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A store that applies a write and closes the kept-alive connection."""

    async def asyncSetUp(self) -> None:
        self.versions: dict[str, int] = {'k': 7}
        self.writes: list[str] = []
        self.lose_get = False
        app = web.Application()
        app.router.add_get('/objects/{key}', self._get)
        app.router.add_put('/objects/{key}', self._put)
        app.router.add_delete('/objects/{key}', self._delete)
        self.runner = web.AppRunner(app, access_log=None)
        await self.runner.setup()
        await web.TCPSite(self.runner, '127.0.0.1', 0).start()
        port = self.runner.addresses[0][1]
        self.platform = _make_platform(self, f'http://127.0.0.1:{port}')

    async def asyncTearDown(self) -> None:
        await self.runner.cleanup()

    async def _get(self, request: web.Request) -> web.Response:
        if self.lose_get:
            self.lose_get = False
            request.transport.abort()
        version = self.versions[request.match_info['key']]
        return web.Response(headers={'X-Object-Version': str(version)})

    async def _put(self, request: web.Request) -> web.Response:
        return self._write(request)

    async def _delete(self, request: web.Request) -> web.Response:
        return self._write(request)

    def _write(self, request: web.Request) -> web.Response:
        self.writes.append(request.method)
        key = request.match_info['key']
        if self.versions[key] != int(request.headers['If-Match']):
            return web.Response(status=409, text='another version')
        self.versions[key] += 1
        request.transport.abort()
        return web.Response()

    async def test_lost_write_is_not_sent_again(self) -> None:
        """An applied write is reported as lost, not as a conflict.

        aiohttp would repeat it on a new connection, and the second copy
        would conflict with the first.
        """
        calls = {
            'PUT': lambda: self.platform.put('k', b'{}', 7),
            'DELETE': lambda: self.platform.delete('k', 8),
        }
        for method, call in calls.items():
            await self.platform.get('k')
            error = (await call()).failure()
            self.assertIs(transport.StoreErrorKind.LOST, error.kind, error)
        self.assertEqual(list(calls), self.writes)

    async def test_lost_read_is_sent_again(self) -> None:
        """Repeating a read hides the close of an idle connection."""
        await self.platform.get('k')
        self.lose_get = True
        self.assertEqual(7, (await self.platform.get('k')).unwrap().version)


class UnreadableAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A store that answers every call with 200 and garbage."""

    async def test_garbage_is_an_error_value(self) -> None:
        """An exception would end the polling tasks.

        A write may have been applied, so the error is ``LOST``.
        """

        async def reply_garbage(request: web.Request) -> web.Response:
            return web.Response(body=b'\xff{')

        app = web.Application()
        app.router.add_route('*', '/{tail:.*}', reply_garbage)
        async with test_utils.TestServer(app) as server:
            platform = _make_platform(self, str(server.make_url('/')))
            calls = (
                platform.get('k'),
                platform.put('k', b'{}', 1),
                platform.delete('k', 1),
                platform.scan('k'),
                platform.watch('k', 1, 10),
                platform.hosts(),
            )
            for call in calls:
                error = (await call).failure()
                self.assertIs(transport.StoreErrorKind.LOST, error.kind)


class TlsTest(unittest.IsolatedAsyncioTestCase):
    """A store at an ``https://`` URL with a path."""

    async def test_store_is_read_over_tls(self) -> None:
        """The certificate is checked against the authorities of the system."""
        authority = trustme.CA()
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        authority.issue_cert('127.0.0.1').configure_cert(context)

        async def reply(request: web.Request) -> web.Response:
            return web.Response(headers={'X-Object-Version': '7'})

        app = web.Application()
        app.router.add_get('/below/objects/k', reply)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, '127.0.0.1', 0, ssl_context=context).start()
        url = f'https://127.0.0.1:{runner.addresses[0][1]}/below/'
        error = (await _make_platform(self, url).get('k')).failure()
        self.assertIs(transport.StoreErrorKind.UNAVAILABLE, error.kind)
        with authority.cert_pem.tempfile() as path:
            with mock.patch.dict('os.environ', SSL_CERT_FILE=path):
                platform = _make_platform(self, url)
        for _ in range(2):
            self.assertEqual(7, (await platform.get('k')).unwrap().version)
