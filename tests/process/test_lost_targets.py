"""Targets that die while they run a common request."""

import asyncio
import unittest

from standins import prepared_system

_TRIES = 400
_PAUSE_S = 0.02


class LostTargetsTest(unittest.IsolatedAsyncioTestCase):
    """A daemon as a process; store and targets in this one."""

    async def asyncSetUp(self) -> None:
        """Start the targets and a daemon that has served some searches."""
        self.system = await prepared_system.PreparedSystem().__aenter__()
        self.addAsyncCleanup(self.system.__aexit__, None, None, None)
        await self.system.start_targets()
        self.system.configure(3)
        await self.system.start_daemon('one')
        for number in range(40):
            status, _, _ = await self.system.ask(
                'one', '/search/x', f'before-{number}'
            )
            self.assertEqual(200, status)

    async def _lose(self, name: str) -> None:
        """Stop a target while it runs searches, until the daemon notices."""
        target = self.system.targets[name]
        target.delay_s = 0.5
        found = f'"target":"{name}","reporter":"one"'
        searches = [
            asyncio.create_task(
                self.system.ask('one', '/search/x', f'{name}-{number}')
            )
            for number in range(20)
        ]
        for _ in range(_TRIES):
            if self._has_begun(name):
                break
            await asyncio.sleep(_PAUSE_S)
        await target.stop()
        await asyncio.gather(*searches)
        for _ in range(_TRIES):
            if found in self.system.log('one'):
                return
            await asyncio.sleep(_PAUSE_S)
        self.fail(f'{name} was not found lost')

    def _has_begun(self, name: str) -> bool:
        """Whether the target runs a search that was sent to lose it."""
        return any(
            row.startswith(f'{name}-') and row.endswith(f' {name}')
            for row in self.system.runs
        )

    async def test_common_search_is_served_after_unrelated_losses(
        self,
    ) -> None:
        """All callers of a search were refused for a minute.

        Two targets had died while they ran it.
        """
        await self._lose('shard-1-0')
        await self._lose('shard-2-0')
        for number in range(20):
            status, _, _ = await self.system.ask(
                'one', '/search/x', f'after-{number}'
            )
            self.assertEqual(200, status)
