"""Reports are matched to orders, and no final report is missed."""

import asyncio
import random
import unittest

from samphiredock.coordination.once import _run_orders
from samphiredock import metrics
from samphiredock import protocol
from standins import memory_hosts
from standins import memory_peers

_Status = protocol.SubStatus
_ORDER = protocol.RunOrder(
    'entry-1/1/1/1', 's', 'bole-a', 'batch', 'o', 'desk-1', 'k', {}, 'f', 100
)


class OrdersTest(unittest.IsolatedAsyncioTestCase):
    """One order at one dispatcher."""

    def setUp(self) -> None:
        """Send the order."""
        self.clock = memory_hosts.SteppedTimers()
        self.hub = memory_peers.MemoryNetwork(self.clock, random.Random(1))
        self.metrics = metrics.Metrics('test')
        self.late_reports: list[protocol.RunReport] = []
        self.orders = _run_orders.Orders(
            self.hub.join('entry-1'),
            self.clock,
            self.metrics,
            lambda token, report: self.late_reports.append(report),
        )
        self.hub.join('owner')
        self.assertTrue(self.orders.send('entry-1/1/1', 'owner', _ORDER))

    async def report(
        self, status: protocol.SubStatus, sender: str = 'owner'
    ) -> None:
        """Deliver one report."""
        report = protocol.RunReport(_ORDER.attempt_id, 'desk-1', status)
        self.hub.send(sender, 'entry-1', report)
        await self.clock.pass_ms(10)

    async def test_final_report_is_not_replaced(self) -> None:
        """Of two unread reports the final one is kept."""
        for first, second in (
            (_Status.BROKEN, _Status.CANCELLED),
            (_Status.CANCELLED, _Status.BROKEN),
        ):
            await self.report(first)
            await self.report(second)
            read = await self.orders.wait_report(_ORDER.attempt_id, 5_000)
            self.assertIs(_Status.CANCELLED, read.status)

    async def test_only_the_dispatcher_reports(self) -> None:
        """A report that is not from the order's dispatcher is ignored."""
        self.hub.join('entry-9')
        await self.report(_Status.CANCELLED, 'entry-9')
        self.assertEqual(1, self.metrics.total('run_reports_refused'))
        reading = asyncio.create_task(
            self.orders.wait_report(_ORDER.attempt_id, 2_000)
        )
        await self.clock.pass_ms(2_000)
        self.assertIsNone(reading.result())

    async def test_late_report_is_passed_on_once(self) -> None:
        """A late report is passed on once, also if unread when abandoned."""
        await self.report(_Status.ANSWERED)
        self.orders.abandon(_ORDER.attempt_id)
        await self.report(_Status.ANSWERED)
        self.assertEqual(
            [_Status.ANSWERED], [row.status for row in self.late_reports]
        )
        self.assertEqual(1, self.metrics.total('run_reports_unmatched'))

    async def test_order_to_an_unknown_member_is_not_sent(self) -> None:
        """An order that cannot be sent is not kept."""
        self.assertFalse(self.orders.send('t', 'nobody', _ORDER))
