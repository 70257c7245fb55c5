"""Merge orders between two sites, with the real program."""

import asyncio
import itertools
import signal
import unittest

from standins import prepared_system

NEAR = tuple(f'near-{number}' for number in range(4))
FAR = tuple(f'far-{number}' for number in range(6))
FAR_SITE = 'kirkos-b'
KNOWN_LIMIT_S = 30.0
"""Limit for the daemons to discover the targets and each other."""


class OrdersTest(unittest.IsolatedAsyncioTestCase):
    """A daemon at each of two sites; six of ten shards are at the other."""

    async def asyncSetUp(self) -> None:
        """Start everything and wait until merge orders are used."""
        self.system = prepared_system.PreparedSystem(
            (*NEAR, *FAR), dict.fromkeys(FAR, FAR_SITE)
        )
        await self.system.__aenter__()
        self.addAsyncCleanup(self.system.__aexit__)
        await self.system.start_targets()
        self.system.configure(1)
        await asyncio.gather(
            self.system.start_daemon('here', first_start=True),
            self.system.start_daemon('there', site=FAR_SITE, first_start=True),
        )
        await self._wait_for_orders()

    async def _wait_for_orders(self) -> None:
        """Search until the daemon of the other site gets an order."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + KNOWN_LIMIT_S
        for number in itertools.count():
            if loop.time() > ends_s:
                self.fail(f'got no order in {KNOWN_LIMIT_S} s, expected one')
            await self._search(f'before-{number}')
            if await self.system.counter('there', 'order_items') >= len(FAR):
                return
            await asyncio.sleep(0.2)

    async def _search(self, request_id: str) -> list[str]:
        """Search at the first site, check the result, return its receipts."""
        status, headers, body = await self.system.ask(
            'here', '/search/x', request_id
        )
        self.assertEqual(200, status, body)
        receipts = headers['Part-Stamps'].split(', ')
        self.assertEqual(
            10, len(receipts) + int(headers.get('Missing-Parts', '0'))
        )
        self.assertEqual(len(set(receipts)), len(receipts))
        self._check_records(receipts, body)
        return receipts

    def _check_records(self, receipts: list[str], body: bytes) -> None:
        """Check that the body has the greatest records of its parts."""
        records = []
        for receipt in receipts:
            held = self.system.targets[receipt.partition('.')[2]].records()
            records += [held[at : at + 16] for at in range(0, len(held), 16)]
        self.assertEqual(b''.join(sorted(records)[:-6:-1]), body)

    async def test_one_order_brings_all_parts_of_the_other_site(self) -> None:
        """The daemon at the other site queries the targets there."""
        sent = await self.system.counter('here', 'orders_sent')
        asked = await self.system.counter('there', 'order_items')
        self.assertEqual(10, len(await self._search('r1')))
        # A busy machine may make an order late and cause another.
        sent = await self.system.counter('here', 'orders_sent') - sent
        self.assertGreaterEqual(sent, 1)
        asked = await self.system.counter('there', 'order_items') - asked
        self.assertGreaterEqual(asked, len(FAR))
        log = await self.system.log_with_end_of('here', 'r1')
        self.assertIn('"request ended"', log)

    async def test_a_daemon_that_freezes_costs_a_hedge(self) -> None:
        """A search is complete and in time although its order hangs.

        The daemon of the other site is suspended.  When its report is late,
        this daemon queries the targets there directly.
        """
        await self.system.wait_share('here')
        self.system.send('there', signal.SIGSTOP)
        try:
            self.assertEqual(10, len(await self._search('r2')))
        finally:
            self.system.send('there', signal.SIGCONT)

    async def test_a_daemon_that_is_killed_costs_nothing(self) -> None:
        """The order fails at once, and the targets are queried directly."""
        await self.system.stop_daemon('there', signal.SIGKILL)
        for number in range(3):
            self.assertEqual(10, len(await self._search(f'r3-{number}')))

    async def test_targets_run_a_search_once_or_hedged(self) -> None:
        """Orders and hedges together never run a search twice at a target."""
        await self.system.wait_share('here')
        for number in range(8):
            if number == 4:
                self.system.send('there', signal.SIGSTOP)
            await self._search(f'r4-{number}')
        self.system.send('there', signal.SIGCONT)
        for number in range(8):
            ran = self.system.runs_of(f'r4-{number}')
            self.assertEqual(len(set(ran)), len(ran))
