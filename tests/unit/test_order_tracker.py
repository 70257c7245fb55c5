"""Tests of how a coordinator takes the reports of its merge orders."""

import asyncio
import unittest

from samphiredock import state
from standins import memory_tracker


def _record(value: int) -> bytes:
    return f'{value:>{state.RECORD_BYTES}}'.encode()


class OverlappingOrdersTest(unittest.IsolatedAsyncioTestCase):
    """A shard of a gathering order is hedged by a second order."""

    async def asyncSetUp(self) -> None:
        """Order two shards, then hedge the first one."""
        self.harness = memory_tracker.TrackerHarness(2, top=2)
        first = [self.harness.next_attempt(name) for name in ('s0', 's1')]
        self.harness.order(first, True)
        self.harness.order([self.harness.next_attempt('s0')], False)
        await asyncio.sleep(0)
        self.gathering, self.hedging = self.harness.orders
        self.addCleanup(self.harness.close)

    async def _end_with_merged_part(self) -> None:
        """Hedge the first shard once more, before the merged part comes."""
        again = self.harness.next_attempt('s0')
        self.harness.parts.add('s0', again.target, _record(9))
        for item, value in zip(list(self.gathering.open), (5, 4)):
            self.gathering.answer(item, _record(value))
        self.gathering.deliver()
        self.assertEqual({'s0-0', 's1-0'}, set(self.harness.parts.receipts()))
        self.assertEqual(_record(5) + _record(4), self.harness.parts.body())

    async def test_failed_hedge_leaves_the_merged_part_expected(self) -> None:
        """A failed hedge ended the wait for the merged part of its shard.

        The shard's next part could not be taken out when that came.
        """
        self.hedging.fail(self.hedging.open[0])
        self.hedging.deliver()
        await self._end_with_merged_part()

    async def test_lost_hedge_leaves_the_merged_part_expected(self) -> None:
        """So did a hedge whose merger was lost."""
        self.hedging.lose()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        await self._end_with_merged_part()
