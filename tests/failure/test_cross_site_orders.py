"""Searches across sites by merge orders, and faults on the way."""

import asyncio
import collections
import random
import unittest
from unittest import mock

from returns import result

from samphiredock.coordination import forwarding
from samphiredock import protocol
from samphiredock import transport
from standins import memory_links
from standins import memory_orders

RECORD_BYTES = 16


def records_of(target: str) -> bytes:
    """Return the records that a shard's targets hold, unsorted.

    The targets of a shard hold the same records, so a shard counted twice
    shows up.  The records of different shards interleave.
    """
    shard = target.rpartition('-')[0]
    number = int(shard[1:])
    ranks = [(number * 7 + place * 11) % 100 for place in range(4)]
    width = RECORD_BYTES - 2
    return b''.join(f'{rank:02}{shard:>{width}}'.encode() for rank in ranks)


def top_of(shards: list[str]) -> bytes:
    """Return the five greatest records of some shards."""
    records = sorted(
        body[at : at + RECORD_BYTES]
        for body in (records_of(f'{shard}-0') for shard in shards)
        for at in range(0, len(body), RECORD_BYTES)
    )
    return b''.join(records[:-6:-1])


class _Case(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        """Ask 36 shards from a site that has targets of 24 of them."""
        self.harness = memory_orders.OrderHarness()
        self.harness.offer(2, least_share=0.5)
        self.task = self.harness.ask('/all/x')
        await memory_links.settle()

    def answer_all(self, leave_out: set[str] = frozenset()) -> None:
        """Answer all open exchanges, except for some targets."""
        for sent in self.harness.links.open:
            if sent.target not in leave_out:
                sent.answer(records_of(sent.target))

    async def outcome(self, steps: int = 40) -> protocol.ForwardOutcome:
        """Advance the clock until the search has an outcome."""
        for _ in range(steps):
            if self.task.done():
                break
            await self.harness.advance(5.0)
        self.assertTrue(self.task.done(), f'no outcome in {steps * 5} ms')
        return await self.task

    async def asyncTearDown(self) -> None:
        """End the exchanges still open."""
        for sent in self.harness.links.open:
            sent.refuse()
        await self.harness.advance(300.0)

    def check_consistent(self, outcome: protocol.ForwardOutcome) -> None:
        """Check that receipts, records and the number missing agree.

        Each shard must count once or be missing.
        """
        self.assertIsInstance(outcome, protocol.Gathered)
        shards = [row.split('-')[1] for row in outcome.receipts]
        self.assertEqual(len(set(shards)), len(shards))
        self.assertEqual(36, len(shards) + outcome.missing)
        self.assertEqual(top_of(shards), outcome.body)

    def check_target_limit(self) -> None:
        """Check that no shard ran on more targets than the route allows."""
        for shard, targets in self.harness.asked_targets().items():
            self.assertLessEqual(len(set(targets)), 2, shard)
            self.assertEqual(len(set(targets)), len(targets), shard)


class MergeOrderTest(_Case):
    """A search from a site that has targets of two thirds of the shards."""

    async def test_one_order_per_site_brings_all_parts(self) -> None:
        """24 shards are asked directly, the others by one order per site."""
        self.assertEqual(36, len(self.harness.links.open))
        orders = self.harness.order_links.seen
        self.assertEqual(['b', 'c'], sorted(row.merger[0] for row in orders))
        ordered = {item.service for row in orders for item in row.order.items}
        here = {
            row.service
            for row in self.harness.targets.all()
            if row.site == 'here'
        }
        self.assertLessEqual(set(self.harness.shards) - here, ordered)
        self.assertEqual(12, len(set(self.harness.shards) - here))
        self.answer_all()
        outcome = await self.outcome()
        self.check_consistent(outcome)
        self.assertEqual(0, outcome.missing)

    async def test_slow_target_does_not_delay_the_others(self) -> None:
        """One target at another site is slow.

        The other parts come merged when the gather time is over; the slow
        shard is hedged then, and must not be counted twice.
        """
        ordered = self.harness.order_links.seen[0].order.items
        slow = ordered[0].target
        self.answer_all({slow})
        await self.harness.advance(44.0)
        self.assertEqual(
            [slow], [row.target for row in self.harness.links.open]
        )
        await self.harness.advance(4.0)
        hedged = [row.target for row in self.harness.links.open]
        self.assertEqual(2, len(hedged))
        self.answer_all()
        outcome = await self.outcome()
        self.check_consistent(outcome)
        self.assertEqual(0, outcome.missing)
        self.check_target_limit()

    async def test_merged_part_replaces_hedges(self) -> None:
        """A frozen daemon recovers after its shards were hedged.

        Its merged part also has records of shards whose hedges have answered.
        It cannot be taken apart, so the hedges' parts are discarded.
        """
        near = {
            sent.target
            for sent in self.harness.links.open
            if self.harness.targets.get(sent.target).site == 'here'
        }
        held = [
            sent for sent in self.harness.links.open if sent.target not in near
        ]
        for sent in self.harness.links.open:
            if sent.target in near and sent.target != 's0-0':
                sent.answer(records_of(sent.target))
        await self.harness.advance(60.0)
        hedges = [
            sent
            for sent in self.harness.links.open
            if sent not in held and sent.target != 's0-0'
        ]
        self.assertGreater(len(hedges), 0)
        for sent in hedges[:2]:
            sent.answer(records_of(sent.target))
        await memory_links.settle()
        for sent in held:
            sent.answer(records_of(sent.target))
        await memory_links.settle()
        self.answer_all()
        self.check_consistent(await self.outcome())
        self.check_target_limit()

    async def test_leaving_caller_cancels_ordered_targets(self) -> None:
        """Targets at other sites must not go on working for nobody."""
        self.task.cancel()
        await memory_links.settle()
        self.assertTrue(all(row.cancelled for row in self.harness.links.sent))

    async def test_a_part_of_an_unknown_attempt_is_not_merged(self) -> None:
        """A report lists an attempt that was not ordered.

        Its records would be in an answer whose receipts do not cover them.
        """
        tracker = self.harness.forwarder._sender._order_tracker
        corrupted = []
        original = tracker._on_report

        def corrupt_first_report(pending, sent_order, report):
            if report.merged and not corrupted:
                corrupted.append(report)
                foreign = protocol.MergedItem(999, 'receipt-x', 1)
                report = protocol.MergeReport(
                    (*report.merged, foreign), (), b'z' * 16
                )
            original(pending, sent_order, report)

        tracker._on_report = corrupt_first_report
        self.answer_all()
        for _ in range(12):
            await self.harness.advance(5.0)
            self.answer_all()
        outcome = await self.outcome()
        self.assertEqual(1, len(corrupted))
        self.check_consistent(outcome)


class LostMergerTest(_Case):
    """The daemon that executes an order fails."""

    async def asyncSetUp(self) -> None:
        """Prepare a search; each test breaks daemons before it asks."""
        self.harness = memory_orders.OrderHarness()
        self.harness.offer(2, least_share=0.5)
        self.links = self.harness.order_links

    async def _ask(self) -> None:
        self.task = self.harness.ask('/all/x')
        await memory_links.settle()

    async def test_unreachable_merger_costs_nothing(self) -> None:
        """The merger's targets are asked directly at once, and none twice."""
        self.links.dead = set(self.harness.mergers)
        await self._ask()
        self.assertEqual(36, len(self.harness.links.open))
        self.answer_all()
        outcome = await self.outcome()
        self.check_consistent(outcome)
        self.assertEqual(0, outcome.missing)
        self.check_target_limit()

    async def test_merger_without_support_for_orders(self) -> None:
        """An older daemon refuses; its targets are asked directly."""
        self.links.without_orders = set(self.harness.mergers)
        await self._ask()
        self.answer_all()
        outcome = await self.outcome()
        self.check_consistent(outcome)
        self.assertEqual(0, outcome.missing)

    async def test_merger_that_does_not_know_targets_yet(self) -> None:
        """The daemon does not know the targets of a new index yet.

        It refuses them.  If they were ordered from it again, each search would
        send thousands of orders; they are asked directly instead, once each.
        """
        for name in self.harness.mergers:
            self.harness.make_merger_without_targets(name)
        await self._ask()
        for _ in range(4):
            await self.harness.advance(5.0)
        ordered = [
            item.target for row in self.links.seen for item in row.order.items
        ]
        self.assertEqual(len(set(ordered)), len(ordered))
        self.answer_all()
        outcome = await self.outcome()
        self.check_consistent(outcome)
        self.assertEqual(0, outcome.missing)
        self.check_target_limit()

    async def test_frozen_merger_costs_a_hedge(self) -> None:
        """The full answer comes within the aim though an order hangs.

        The order's shards are hedged at another site when its report is
        overdue, before a partial answer would be due.
        """
        self.links.frozen = set(self.harness.mergers)
        await self._ask()
        self.answer_all()
        for _ in range(16):
            await self.harness.advance(5.0)
            self.answer_all()
        self.assertTrue(self.task.done())
        outcome = await self.outcome()
        self.check_consistent(outcome)
        self.assertEqual(0, outcome.missing)
        self.check_target_limit()

    async def test_hedge_does_not_use_the_frozen_merger(self) -> None:
        """Both targets of each shard are at the site of a frozen daemon.

        Latencies have become known, so hedges are due before the order's
        report is overdue.  Sent through the same daemon, they would hang as
        well.
        """
        harness = memory_orders.OrderHarness(far_only=True)
        for shard in harness.shards:
            for number in range(2):
                harness.move_target(f'{shard}-{number}', 'b')
        harness.offer(2, least_share=0.5)
        harness.order_links.frozen = set(harness.mergers)
        self.harness = harness
        self.task = harness.ask('/all/x')
        await memory_links.settle()
        for _ in range(100):
            harness.latencies.observe('all', 2.0)
        for _ in range(16):
            await harness.advance(5.0)
            self.answer_all()
        self.assertTrue(self.task.done())
        self.check_consistent(await self.outcome())
        self.check_target_limit()

    async def test_frozen_merger_is_hedged_despite_overload(
        self,
    ) -> None:
        """Overload stops hedges, but not those for a silent daemon.

        Without its shards a search has too few, and would wait for them until
        its deadline.
        """
        for _ in range(30):
            self.harness.latencies.record_overload_sign(
                'all', protocol.SubStatus.SHED, 0.0, 0.0
            )
        self.assertTrue(self.harness.latencies.is_overloaded('all'))
        self.links.frozen = set(self.harness.mergers)
        await self._ask()
        self.answer_all()
        for _ in range(16):
            await self.harness.advance(5.0)
            self.answer_all()
        self.assertTrue(self.task.done())
        outcome = await self.outcome()
        self.check_consistent(outcome)
        self.assertEqual(0, outcome.missing)
        self.check_target_limit()

    async def test_unreadable_merged_part(self) -> None:
        """A merger's first report, with a merged part, cannot be read.

        The merger leaves out later records that are smaller than those of the
        merged part.  They may belong in the answer, so nothing more of that
        order may be used.
        """
        harness = memory_orders.OrderHarness(far_only=True)
        harness.offer(2, least_share=0.02)
        harness.order_links.corrupting = set(harness.mergers)
        self.harness = harness
        self.task = harness.ask('/all/x')
        await memory_links.settle()
        orders = [row.order for row in harness.order_links.seen]
        slow = {order.items[0].target for order in orders}
        self.answer_all(slow)
        await harness.advance(47.0)
        for sent in harness.links.open:
            if sent.target in slow:
                sent.answer(records_of(sent.target))
        # No hedge is answered, so no other part has the records cut away.
        outcome = await self.outcome(200)
        if isinstance(outcome, protocol.Gathered):
            self.check_consistent(outcome)
        self.check_target_limit()

    async def test_merger_takes_no_orders_after_a_pause(self) -> None:
        """They may have waited unread until others have replaced them."""
        merger = self.harness.mergers['b-0']
        self.assertTrue(merger.may_take_orders())
        self.harness.clock.freeze(3_000.0)
        self.assertFalse(merger.may_take_orders())
        self.harness.clock.advance(3_000.0)
        self.assertTrue(merger.may_take_orders())

    async def test_lost_merger_costs_a_retry(self) -> None:
        """Nobody knows which of its targets the lost daemon has asked.

        The other replicas are asked at once; no target that may have run the
        search is asked a second time.
        """
        await self._ask()
        merger = self.links.seen[0].merger
        near = [
            sent
            for sent in self.harness.links.open
            if self.harness.targets.get(sent.target).site == 'here'
        ]
        for sent in near:
            sent.answer(records_of(sent.target))
        await memory_links.settle()
        self.links.lose(merger)
        await self._check_complete_without_merger()

    async def _check_complete_without_merger(self) -> None:
        """Check that missing parts are asked elsewhere at once, none twice."""
        await memory_links.settle()
        self.answer_all()
        outcome = await self.outcome(4)
        self.check_consistent(outcome)
        self.assertEqual(0, outcome.missing)
        self.check_target_limit()

    async def test_stopping_merger_costs_a_hedge(self) -> None:
        """A daemon reaches the end of its shutdown time with open orders.

        It ends its orders at once, and the search asks other targets without
        waiting for the process to exit.
        """
        await self._ask()
        stopping = self.links.seen[0].merger
        self.harness.mergers[stopping].finish_all()
        await self._check_complete_without_merger()

    async def test_a_target_of_another_service_is_not_asked(self) -> None:
        """An order names a target that has changed its service since.

        The daemon of its site refuses only this item, and at once.
        """
        await self._ask()
        self.answer_all()
        await self.outcome()
        gone = self.links.seen[0].order.items[0]
        await self._check_not_asked('another', gone.target)

    async def test_a_target_that_is_leaving_there_is_not_asked(self) -> None:
        """The daemon at its site learns first that a target is leaving.

        It refuses only this item; the search asks the other replica.
        """
        await self._ask()
        order = self.links.seen[0]
        self.assertGreater(len(order.order.items), 1)
        self.answer_all()
        await self.outcome()
        gone = order.order.items[0]
        self.harness.put(gone.target, gone.service, leaving=True)
        await self._check_not_asked(gone.service, gone.target)

    async def _check_not_asked(self, service: str, target: str) -> None:
        """Order one target and check that it is refused without being asked.

        A target that is asked by mistake stays silent and the order does not
        end, so it is only given as many turns as a refusal needs.
        """
        merger = self.harness.mergers[self.links.seen[0].merger]
        self.assertIsNotNone(merger._target_client.target(target))
        sent_before = len(self.harness.links.sent)
        order = protocol.MergeOrder(
            'id2', 'GET', 'h', '/all/x', (), b'', 100.0, 10.0, 5, b'',
            (protocol.OrderedItem(1, service, target),),
        )  # fmt: skip

        async def execute() -> list[protocol.MergeReport]:
            return [report async for report in merger.reports(order)]

        execution = asyncio.create_task(execute())
        self.addCleanup(execution.cancel)
        await memory_links.settle()
        self.assertEqual(
            [], [row.target for row in self.harness.links.sent[sent_before:]]
        )
        self.assertTrue(execution.done(), 'the order does not end')
        self.assertEqual(
            [protocol.SubStatus.NOT_ORDERED],
            [row.status for report in await execution for row in report.ended],
        )


class RandomFaultsTest(unittest.IsolatedAsyncioTestCase):
    """Targets and daemons that fail at random."""

    async def test_every_answer_is_correct(self) -> None:
        """Many searches, each with other faults.

        No shard may count twice or run on more targets than allowed, and the
        records must be those of the shards that the receipts name.
        """
        for number in range(60):
            seed = memory_links.SEED + number
            with self.subTest(seed=seed):
                await self._search(random.Random(seed))

    async def _search(self, rng: random.Random) -> None:
        harness = memory_orders.OrderHarness(far_only=rng.random() < 0.5)
        harness.offer(2, least_share=rng.choice([0.2, 0.8]))
        names = sorted(harness.mergers)
        harness.order_links.dead = set(rng.sample(names, rng.randrange(2)))
        harness.order_links.frozen = set(rng.sample(names, rng.randrange(3)))
        harness.order_links.corrupting = set(
            rng.sample(names, rng.randrange(2))
        )
        task = harness.ask('/all/x')
        for _ in range(140):
            await memory_links.settle()
            if task.done():
                break
            for sent in harness.links.open:
                _end_randomly(sent, rng)
            if rng.random() < 0.05:
                harness.order_links.lose(rng.choice(names))
            await harness.advance(5.0)
        outcome = await task
        # Let the remaining exchanges end before the event loop does.
        await harness.advance(300.0)
        for shard, targets in harness.asked_targets().items():
            self.assertLessEqual(len(set(targets)), 2, shard)
        if not isinstance(outcome, protocol.Gathered):
            return
        shards = [row.split('-')[1] for row in outcome.receipts]
        self.assertEqual(1, max(collections.Counter(shards).values()))
        self.assertEqual(36, len(shards) + outcome.missing)
        self.assertEqual(top_of(shards), outcome.body)


def _end_randomly(sent: memory_links.SentRequest, rng: random.Random) -> None:
    """End an exchange in a random way, or leave it open."""
    draw = rng.random()
    if draw < 0.25:
        sent.answer(records_of(sent.target))
    elif draw < 0.27:
        sent.refuse()
    elif draw < 0.29:
        sent.lose(transport.LinkErrorKind.BROKEN)
    elif draw < 0.30:
        sent.end(
            result.Failure(
                transport.LinkError(
                    transport.LinkErrorKind.UNREACHABLE, 'by the test'
                )
            )
        )


class CrashingContentTest(unittest.IsolatedAsyncioTestCase):
    """A content crashes the targets that run it at another site."""

    async def test_merger_reports_the_loss(self) -> None:
        """The check for a crash must outlive the order.

        The order ends with the loss of its last target.  If the check were
        cancelled with it, the content would crash one target after the other.
        """
        harness = memory_orders.OrderHarness()
        found: list[forwarding.Loss] = []
        crashes = mock.Mock(report_loss=found.append)
        target_client = forwarding.TargetClient(
            harness.targets,
            memory_links.PlainDialect(),
            harness.links,
            harness.clock,
            crashes=crashes,
        )
        merger = forwarding.Merger(
            target_client, harness.clock, harness.counters
        )
        order = protocol.MergeOrder(
            'id', 'GET', 'h', '/all/x', (), b'', 100.0, 10.0, 5, b'',
            (protocol.OrderedItem(1, 's1', 's1-0'),),
        )  # fmt: skip
        harness.links.dead.add('s1-0')
        harness.links.listening_check_turns = 3

        async def execute() -> list[protocol.MergeReport]:
            return [report async for report in merger.reports(order)]

        execution = asyncio.create_task(execute())
        await memory_links.settle()
        harness.links.open[0].lose(transport.LinkErrorKind.BROKEN)
        self.assertEqual(1, len((await execution)[0].ended))
        await memory_links.settle()
        self.assertEqual(['s1-0'], [loss.target for loss in found])
