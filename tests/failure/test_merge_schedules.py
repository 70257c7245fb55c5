"""Searches through merge orders, with every event in a random order.

The forwarder, the mergers and all that they decide are real.  The test sets
when targets answer or fail, when reports arrive, and how fast time passes.
"""

import asyncio
import os
import random
import typing
import unittest

from samphiredock import protocol
from samphiredock import state
from samphiredock import transport
from standins import memory_links
from standins import memory_orders

SEED = int(os.environ.get('SAMPHIREDOCK_SEED', '20261202'))
SCHEDULES = int(os.environ.get('SAMPHIREDOCK_MERGE_SCHEDULES', '150'))
"""Searches for each number of records; raise it for a long run by hand."""

SLOW_TARGETS_WAIT = 0.9
"""How often the next target to end is not a slow one."""

_STEPS_LIMIT = 2_000
_LINK_ERRORS = (
    transport.LinkErrorKind.BROKEN,
    transport.LinkErrorKind.SILENT,
    transport.LinkErrorKind.UNREACHABLE,
)


class _Schedule:
    """One search whose events come in an order drawn from a seed.

    Parameters
    ----------
    seed
        Of the order of events and of all records.
    top
        How many records the answer has.
    """

    def __init__(self, seed: int, top: int) -> None:
        self._rng = random.Random(seed)
        self._top = top
        self._bodies: dict[str, bytes] = {}
        self.harness = self._make_harness()
        self._slow = {
            target.target_id
            for target in self.harness.targets.all()
            if self._rng.random() < self._rng.choice((0.1, 0.4))
        }
        self._quick_limit = self._rng.choice((100, 1_000))
        self._failure_share = self._rng.choice((0.0, 0.05, 0.2))
        # An event for each weight: a target ends, a report arrives, time
        # passes, a merger is lost.
        self._weights = [
            self._rng.choice((1.0, 4.0)),
            self._rng.choice((1.0, 4.0)),
            self._rng.choice((1.0, 3.0)),
            self._rng.choice((0.0, 0.02)),
        ]

    def _make_harness(self) -> memory_orders.OrderHarness:
        """Return a forwarder with three targets of each shard elsewhere.

        With targets at two sites a hedge may be ordered, too; with targets at
        one site it is sent directly.
        """
        two_sites = self._rng.random() < 0.5
        shards = self._rng.randrange(*((8, 13) if two_sites else (4, 9)))
        harness = memory_orders.OrderHarness(shards, far_only=True)
        for shard in harness.shards:
            harness.put(f'{shard}-2', shard)
        if not two_sites:
            for target in list(harness.targets.all()):
                if target.service != 'p':
                    harness.move_target(target.target_id, 'b')
        harness.order_links.holds_reports = True
        harness.offer(
            2,
            least_share=self._rng.choice((0.3, 0.75)),
            attempts=self._rng.choice((2, 3)),
            top=self._top,
        )
        return harness

    async def run(self) -> protocol.ForwardOutcome:
        """Return the outcome of the search."""
        task = self.harness.ask('/all/x')
        await memory_links.settle()
        events = (
            self._end_exchange,
            self._deliver_report,
            self._pass_time,
            self._lose_merger,
        )
        for _ in range(_STEPS_LIMIT):
            if task.done():
                break
            (event,) = self._rng.choices(events, self._weights)
            event()
            await memory_links.settle()
        if not task.done():
            task.cancel()
            raise AssertionError(f'no outcome in {_STEPS_LIMIT} events')
        return await task

    async def close(self) -> None:
        """End what is still open."""
        for sent in self.harness.links.open:
            sent.refuse()
        self.harness.order_links.holds_reports = False
        for order in self.harness.order_links.seen:
            while order.on_the_way:
                order.deliver_report()
        await self.harness.advance(1_000.0)

    def greatest(self, receipts: typing.Iterable[str]) -> bytes:
        """Return the greatest records of the parts named, greatest first."""
        size = state.RECORD_BYTES
        bodies = [self._bodies[receipt] for receipt in receipts]
        records = [
            body[at : at + size]
            for body in bodies
            for at in range(0, len(body), size)
        ]
        return b''.join(sorted(records, reverse=True)[: self._top])

    def _end_exchange(self) -> None:
        """Let a target answer or fail, with records of its own."""
        waiting = self.harness.links.open
        quick = [sent for sent in waiting if sent.target not in self._slow]
        if not waiting:
            return
        if quick and self._rng.random() < SLOW_TARGETS_WAIT:
            waiting = quick
        sent = self._rng.choice(waiting)
        if self._rng.random() < self._failure_share:
            self._rng.choice(
                (
                    sent.refuse,
                    sent.fail,
                    lambda: sent.lose(self._rng.choice(_LINK_ERRORS)),
                )
            )()
            return
        receipt = f'receipt-{sent.target}'
        # A slow target often has the best records: they must not be cut.
        limit = 1_000 if sent.target in self._slow else self._quick_limit
        count = self._rng.randrange(2 * self._top + 2)
        self._bodies[receipt] = b''.join(
            f'{self._rng.randrange(limit):>{state.RECORD_BYTES}}'.encode()
            for _ in range(count)
        )
        sent.answer(self._bodies[receipt], receipt)

    def _deliver_report(self) -> None:
        waiting = [
            order
            for order in self.harness.order_links.seen
            if order.on_the_way
        ]
        if waiting:
            self._rng.choice(waiting).deliver_report()

    def _pass_time(self) -> None:
        self.harness.clock.advance(self._rng.choice((0.5, 2.0, 8.0, 30.0)))

    def _lose_merger(self) -> None:
        if self.harness.order_links.seen:
            order = self._rng.choice(self.harness.order_links.seen)
            self.harness.order_links.lose(order.merger)


class MergeSchedulesTest(unittest.IsolatedAsyncioTestCase):
    """The body holds the greatest records of the parts that it names."""

    async def asyncSetUp(self) -> None:
        """Switch off the event loop's debug mode, which takes most time."""
        asyncio.get_running_loop().set_debug(False)

    async def _check(self, top: int) -> None:
        wrong = []
        for seed in range(SEED, SEED + SCHEDULES):
            schedule = _Schedule(seed, top)
            try:
                outcome = await schedule.run()
                if isinstance(outcome, protocol.Gathered):
                    shards = {row.split('-')[1] for row in outcome.receipts}
                    self.assertEqual(len(shards), len(outcome.receipts))
                    expected = schedule.greatest(outcome.receipts)
                    if outcome.body != expected:
                        wrong.append(seed)
            finally:
                await schedule.close()
        self.assertEqual([], wrong, f'wrong bodies with {top} records')

    async def test_the_best_record_is_never_cut(self) -> None:
        """A merger cut a late part by records that the answer lacked."""
        await self._check(1)

    async def test_five_records(self) -> None:
        """A merger cut a late part by records that the answer lacked."""
        await self._check(5)

    async def test_fifty_records(self) -> None:
        """A merger cut a late part by records that the answer lacked."""
        await self._check(50)
