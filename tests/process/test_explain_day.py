"""``explain`` names the causes of six failures from a real daemon's log."""

import asyncio
import json
import unittest

from samphiredock.cli import _explain
from standins import prepared_system


class ExplainDayTest(unittest.IsolatedAsyncioTestCase):
    """One daemon on the stand-in of the users' platform."""

    async def asyncSetUp(self) -> None:
        """Start the platform's stand-in, its targets and one daemon."""
        self.system = await prepared_system.PreparedSystem().__aenter__()
        self.addAsyncCleanup(self.system.__aexit__, None, None, None)
        await self.system.start_targets()
        self.system.configure(1)
        await self.system.start_daemon('one')

    async def _cause(self, request_id: str) -> str:
        text = await self.system.log_with_end_of('one', request_id)
        all_lines = _explain.read_lines(text.splitlines())
        lines = _explain.select_request_lines(all_lines, request_id)
        self.assertTrue(lines, request_id)
        self.assertTrue(all(json.dumps(line.row) for line in lines))
        return _explain.find_cause(lines)

    async def _ask(self, path: str, request_id: str, **options: object) -> int:
        status, _, _ = await self.system.ask(
            'one', path, request_id, **options
        )
        return status

    def _change_targets(self, service: str, **changes: object) -> None:
        for name, target in self.system.targets.items():
            if target.service == service:
                for field, value in changes.items():
                    setattr(target, field, value)

    async def test_each_of_six_failures_is_explained(self) -> None:
        """Each failure has the right cause in its log lines.

        The failures: no route, a lost response, a slow target, a slow shard,
        a caller that disconnects, and a service without usable targets.
        """
        self.assertEqual(404, await self._ask('/none/x', 'no-route'))
        self.assertIn('no route', await self._cause('no-route'))

        self._change_targets('desk', lose_answers=True)
        status = await self._ask('/pay/x', 'lost', method='POST')
        self.assertEqual(502, status)
        self.assertIn('may have run', await self._cause('lost'))
        self.assertIn('broke off', await self._cause('lost'))
        self._change_targets('desk', lose_answers=False, delay_s=9.0)

        status = await self._ask(
            '/pay/x', 'slow', method='POST', deadline_ms=300
        )
        self.assertEqual(504, status)
        self.assertIn('no answer from desk', await self._cause('slow'))

        self._change_targets('shard-2', delay_s=9.0)
        self.assertEqual(200, await self._ask('/search/x', 'part'))
        self.assertIn('without 1 of 4', await self._cause('part'))
        self.assertIn('shard-2', await self._cause('part'))

        task = asyncio.create_task(self._ask('/fetch/x', 'left'))
        await asyncio.sleep(0.3)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertIn('the caller left', await self._cause('left'))

        for name, target in self.system.targets.items():
            if target.service == 'desk':
                self.system.register(name, 'draining')
        # The daemon uses the targets until it has read the new entries.
        for number in range(200):
            request_id = f'none-{number}'
            status = await self._ask('/fetch/x', request_id, deadline_ms=50)
            if status == 503:
                break
            await asyncio.sleep(0.02)
        self.assertIn('could be reached', await self._cause(request_id))
