"""Daemons that lose the store while routes are added."""

import asyncio
import signal
import unittest

from standins import prepared_system
from standins import relay

_TRIES = 600
_PAUSE_S = 0.02


class OutdatedRoutesTest(unittest.IsolatedAsyncioTestCase):
    """Daemons as processes, each with a link of its own to the store."""

    async def asyncSetUp(self) -> None:
        """Start the targets; the configuration is version 3."""
        self.system = await prepared_system.PreparedSystem().__aenter__()
        self.addAsyncCleanup(self.system.__aexit__, None, None, None)
        await self.system.start_targets()
        self.system.configure(3)
        self.links: dict[str, relay.Route] = {}

    async def _start(self, *names: str, **settings: object) -> None:
        for name in names:
            port = int(self.system.store_address.rpartition(':')[2])
            link = self.links[name] = relay.Route(name, 0, port)
            self.addCleanup(link.stop)
            await self.system.start_daemon(
                name, platform_address=await link.start(), **settings
            )

    async def _until(self, status: int, daemon: str, path: str) -> None:
        """Send requests until one gets the status; fail after ``_TRIES``."""
        for number in range(_TRIES):
            got, _, _ = await self.system.ask(daemon, path, f'try-{number}')
            if got == status:
                return
            await asyncio.sleep(_PAUSE_S)
        self.fail(f'never {status}: {self.system.log(daemon)[-2000:]}')

    async def _until_logged(self, daemon: str, text: str) -> None:
        for _ in range(_TRIES):
            if text in self.system.log(daemon):
                return
            await asyncio.sleep(_PAUSE_S)
        self.fail(f'{text} is not in: {self.system.log(daemon)[-2000:]}')

    async def _sole_coordinator(self) -> str:
        """Return the daemon that the others hand requests over to."""
        for _ in range(_TRIES):
            roles = {
                name: self.system.log(name).rfind('"coordinates":false') >= 0
                for name in self.links
            }
            if list(roles.values()).count(False) == 1:
                return next(name for name in roles if not roles[name])
            await asyncio.sleep(_PAUSE_S)
        raise AssertionError('the roles have not settled')

    async def test_newer_table_is_read_from_a_peer(self) -> None:
        """Callers of a cut-off coordinator were denied an added route."""
        await self._start('one', 'two')
        await self._until_logged('one', '"now":2')
        self.links['one'].switch('cut')
        self.system.configure(4, added=(4,))
        await self._until(200, 'one', '/added-4/x')
        log = self.system.log('one')
        self.assertIn('routing table read from a peer', log)
        status, _, _ = await self.system.ask('one', '/never/x', 'r1')
        self.assertEqual(404, status)

    async def _start_with_sole_coordinator(self) -> tuple[str, str]:
        """Start three daemons; return the coordinator and another one."""
        await self._start('one', 'two', 'three', coordinators_per_site=1)
        sole = await self._sole_coordinator()
        other = next(name for name in self.links if name != sole)
        await self._until(200, other, '/fetch/x')
        return sole, other

    async def test_nothing_is_denied_while_all_have_lost_the_store(
        self,
    ) -> None:
        """Callers were denied a route that was added during an outage.

        Old routes are served on.
        """
        _, other = await self._start_with_sole_coordinator()
        for link in self.links.values():
            link.switch('cut')
        self.system.configure(4, added=(4,))
        await self._until(503, other, '/added-4/x')
        for number in range(20):
            status, headers, _ = await self.system.ask(
                other, '/added-4/x', f'added-{number}'
            )
            self.assertEqual(503, status)
            self.assertIn('Retry-After', headers)
            status, _, _ = await self.system.ask(
                other, '/fetch/x', f'fetch-{number}'
            )
            self.assertEqual(200, status)
        for link in self.links.values():
            link.switch('pass')
        await self._until(200, other, '/added-4/x')

    async def test_newer_table_is_read_from_a_daemon_that_hands_over(
        self,
    ) -> None:
        """The only coordinator, cut off, refused all that it handed over."""
        sole, other = await self._start_with_sole_coordinator()
        self.links[sole].switch('cut')
        self.system.configure(4, added=(4,))
        # Its next reads of the store would be a minute apart.
        await self.system.stop_daemon(other, signal.SIGKILL)
        await self.system.restart_daemon(other)
        await self._until(200, other, '/added-4/x')
        log = self.system.log(sole)
        self.assertIn('routing table read from a peer', log)
