"""What the store client reports when a connection is lost."""

import unittest

import aiohttp
from aiohttp import web

from samphiredock import transport


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
        self.session = aiohttp.ClientSession()
        self.platform = transport.HttpPlatform(
            self.session, f'http://127.0.0.1:{self.runner.addresses[0][1]}'
        )

    async def asyncTearDown(self) -> None:
        await self.session.close()
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

        The HTTP library sends an idempotent method a second time when a
        kept-alive connection closes under it.  The second copy of a
        conditional write meets its own first one, and the conflict would
        say that this write did not take effect.
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
        """A read may be repeated, which hides a connection closed idle."""
        await self.platform.get('k')
        self.lose_get = True
        self.assertEqual(7, (await self.platform.get('k')).unwrap().version)
