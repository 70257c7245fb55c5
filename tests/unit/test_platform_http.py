"""The client of the platform's object service."""

import unittest

import aiohttp
from aiohttp import test_utils
from aiohttp import web

from samphiredock import transport
from standins import store


class HostListTest(unittest.IsolatedAsyncioTestCase):
    """The host list crosses the network only when it has changed."""

    async def asyncSetUp(self) -> None:
        self.sent: list[tuple[int, int]] = []
        application = store.Store().application()
        application.on_response_prepare.append(self._note)
        self.server = test_utils.TestServer(application)
        await self.server.start_server()
        self.session = aiohttp.ClientSession()
        url = str(self.server.make_url('/'))
        self.platform = transport.HttpPlatform(self.session, url)

    async def asyncTearDown(self) -> None:
        await self.session.close()
        await self.server.close()

    async def _note(
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
