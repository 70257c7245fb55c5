"""Requests that are forwarded to targets, alone or merged."""

import asyncio
import random
import unittest

from samphiredock.coordination.search import _arrival
from samphiredock import protocol
from samphiredock import transport
from standins import memory_links

Kind = transport.LinkErrorKind
RECORD = b'0123456789abcdef'


class GatherTest(unittest.IsolatedAsyncioTestCase):
    """Answers merged from ten shards."""

    async def asyncSetUp(self) -> None:
        """Ask ten shards, of which eight must answer."""
        self.harness = memory_links.ForwarderHarness()
        self.task = self.harness.ask('/all/x')
        await memory_links.settle()

    async def test_all_parts_make_the_answer(self) -> None:
        """Each shard's receipt is there once, and nothing is missing."""
        for sent in self.harness.links.open:
            sent.answer(RECORD)
        outcome = await self.task
        self.assertEqual(10, len(set(outcome.receipts)))
        self.assertEqual(0, outcome.missing)
        self.assertEqual(RECORD * 5, outcome.body)

    async def test_late_shard_does_not_delay_the_answer(
        self,
    ) -> None:
        """The caller gets nine of ten shards in time, and is told so.

        One shard and its hedge stay silent.  Waiting for it would make the
        whole answer late.
        """
        silent = self.harness.links.open[0].target
        for sent in self.harness.links.open[1:]:
            sent.answer(RECORD)
        for _ in range(11):
            await self.harness.advance(10.0)
        outcome = await self.task
        self.assertIsInstance(outcome, protocol.Gathered)
        self.assertEqual(1, outcome.missing)
        self.assertNotIn(f'receipt-{silent}', outcome.receipts)

    async def test_answer_is_late_if_too_few_shards_are_in_time(self) -> None:
        """After the aim, the answer is sent once enough shards are in."""
        late = self.harness.links.open[:3]
        for sent in self.harness.links.open[3:]:
            sent.answer(RECORD)
        await self.harness.advance(200.0)
        self.assertFalse(self.task.done())
        late[0].answer(RECORD)
        outcome = await self.task
        self.assertEqual(2, outcome.missing)

    async def test_hedge_does_not_wait_for_a_connection(self) -> None:
        """A hedge is sent only when a connection is free.

        After a start all connections are cold and in use.  A queued hedge
        would delay the first attempt of another search.
        """
        slow = self.harness.links.open[0]
        other = slow.target[:3] + str(1 - int(slow.target[3:]))
        self.harness.links.full.add(other)
        for sent in self.harness.links.open[1:]:
            sent.answer(RECORD)
        await self.harness.advance(40.0)
        self.assertEqual([slow], self.harness.links.open)
        self.harness.links.full.clear()
        await self.harness.advance(9.0)
        self.assertEqual(
            {slow.target, other},
            {row.target for row in self.harness.links.open},
        )

    async def test_many_late_shards_are_hedged_gradually(
        self,
    ) -> None:
        """Hedging all late shards at once would double this daemon's load.

        If all are late, the daemon itself is mostly the cause, and most shards
        answer meanwhile.  If a whole site is silent, all its shards must still
        be hedged in time.
        """
        await self.harness.advance(36.0)
        counts = [len(self.harness.links.open)]
        for _ in range(5):
            await self.harness.advance(9.0)
            counts.append(len(self.harness.links.open))
        self.assertEqual([12, 14, 16, 18, 20, 20], counts)

    async def test_late_loser_does_not_count_twice(self) -> None:
        """Counting both answers of one shard would double its records."""
        slow = self.harness.links.open[0]
        for sent in self.harness.links.open[1:8]:
            sent.answer(RECORD)
        await self.harness.advance(160.0)
        hedge = next(
            row
            for row in self.harness.links.open
            if row.target[:2] == slow.target[:2] and row is not slow
        )
        hedge.answer(RECORD)
        slow.answer(RECORD)
        for sent in self.harness.links.open:
            sent.answer(RECORD)
        outcome = await self.task
        shards = [receipt.rsplit('-', 1)[0] for receipt in outcome.receipts]
        self.assertEqual(len(set(shards)), len(shards))

    async def test_no_shard_is_run_by_more_targets_than_allowed(self) -> None:
        """Every attempt fails; each shard may run on two targets."""
        while self.harness.links.open:
            for sent in self.harness.links.open:
                sent.lose(Kind.BROKEN)
            await self.harness.advance(20.0)
        await self.task
        for shard in self.harness.shards:
            tried = [
                row
                for row in self.harness.links.sent
                if row.target.startswith(f'{shard}-')
            ]
            self.assertLessEqual(len(tried), 2)

    async def test_a_hopeless_request_ends_at_once(self) -> None:
        """The caller can go elsewhere without waiting for the deadline.

        Three shards of ten lose both targets, so eight can never answer, while
        the other seven are still working.
        """
        for _ in range(2):
            for sent in self.harness.links.open:
                if sent.target[:2] in ('s0', 's1', 's2'):
                    sent.lose(Kind.BROKEN)
            await memory_links.settle()
        outcome = await self.task
        self.assertIsInstance(outcome, protocol.Unknown)

    async def test_leaving_caller_cancels_the_exchanges(self) -> None:
        """Targets must not go on working for nobody."""
        self.task.cancel()
        await memory_links.settle()
        self.assertTrue(all(row.cancelled for row in self.harness.links.sent))

    async def test_cancelled_attempts_do_not_count_as_load(self) -> None:
        """Cancelled attempts must not count as in flight for ever.

        Otherwise their targets look slower every second, and all work goes to
        another site.
        """
        asked = [row.target for row in self.harness.links.open]
        self.task.cancel()
        await memory_links.settle()
        loads = self.harness.replicas._loads
        for target in asked:
            self.assertEqual([], list(loads[target].started_ms), target)

    async def test_loser_is_cancelled_after_the_grace_time(self) -> None:
        """Its connection is kept if it ends within the grace time."""
        sent = list(self.harness.links.open)
        for row in sent[:9]:
            row.answer(RECORD)
        await self.harness.advance(120.0)
        await self.task
        await self.harness.advance(100.0)
        self.assertFalse(sent[9].cancelled)
        await self.harness.advance(100.0)
        self.assertTrue(sent[9].cancelled)


class WaitingRetryTest(unittest.IsolatedAsyncioTestCase):
    """A retry that waits for a connection."""

    async def test_retry_that_waits_too_long_is_not_sent(self) -> None:
        """It would arrive in a later window than the one it was charged to."""
        harness = memory_links.ForwarderHarness()
        task = harness.ask('/slow/x')
        await memory_links.settle()
        first = harness.links.open[0]
        others = {'p-0', 'p-1', 'p-2'} - {first.target}
        harness.links.busy = set(others)
        first.lose(Kind.BROKEN)
        await harness.advance(_arrival.SEND_WITHIN_MS + 1.0)
        harness.links.busy.clear()
        await memory_links.settle()
        waited = [row for row in harness.links.sent if row is not first]
        self.assertLessEqual(len(waited), 1)
        for row in waited:
            row.lose(Kind.BROKEN)
        await harness.advance(2_000.0)
        self.assertTrue(task.done())


class SheddingTest(unittest.IsolatedAsyncioTestCase):
    """Targets that refuse part of their work."""

    async def test_refusing_targets_get_less_work(self) -> None:
        """Refusals must count in the choice of targets, not only latency.

        One target of each shard refuses four of ten requests at once; the
        other one is healthy.  If latency alone decided, both would get the
        same work, and the retries would use up the shared budget within a
        second.
        """
        harness = memory_links.ForwarderHarness(daemons=8)
        rng = random.Random(memory_links.SEED)
        complete = 0
        for _ in range(80):
            task = harness.ask('/all/x')
            while not task.done():
                await harness.advance(12.0)
                for sent in harness.links.open:
                    if sent.target.endswith('-0') and rng.random() < 0.4:
                        sent.refuse()
                    else:
                        sent.answer(RECORD)
                await memory_links.settle()
            outcome = await task
            complete += isinstance(outcome, protocol.Gathered) and not (
                outcome.missing
            )
        self.assertGreaterEqual(complete, 70)


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    """Requests that cannot be served."""

    async def test_no_target_refuses_at_once(self) -> None:
        """Waiting would end in the same refusal."""
        harness = memory_links.ForwarderHarness()
        for shard in harness.shards[:3]:
            for number in range(2):
                harness.put(f'{shard}-{number}', shard, leaving=True)
        outcome = await harness.ask('/all/x')
        self.assertIsInstance(outcome, protocol.NotRun)
        self.assertGreater(outcome.retry_after_ms, 0)
        self.assertEqual([], harness.links.sent)

    async def test_a_path_without_a_route(self) -> None:
        """The refusal names the version of the routing table."""
        outcome = await memory_links.ForwarderHarness().ask('/none/x')
        self.assertIs(protocol.NotRunReason.UNKNOWN_ROUTE, outcome.reason)
        self.assertIn('version 1', outcome.detail)

    async def test_older_table_is_ignored(self) -> None:
        """A stale read delivers version 1 after version 5."""
        harness = memory_links.ForwarderHarness()
        harness.offer(5, shards=('s0', 's1'))
        harness.offer(1)
        self.assertEqual(5, harness.routing.table.version)

    async def test_a_request_keeps_the_shards_it_began_with(self) -> None:
        """Mixing two versions would count records twice or not at all."""
        harness = memory_links.ForwarderHarness()
        task = harness.ask('/all/x')
        await memory_links.settle()
        harness.offer(2, shards=('s0', 's1'))
        for sent in harness.links.open:
            sent.answer(RECORD)
        self.assertEqual(10, len((await task).receipts))


class OnceTest(unittest.IsolatedAsyncioTestCase):
    """Requests that may run at most once."""

    async def asyncSetUp(self) -> None:
        """Send one request."""
        self.harness = memory_links.ForwarderHarness()
        self.task = self.harness.ask('/once/x', method='POST')
        await memory_links.settle()

    async def test_it_is_never_hedged(self) -> None:
        """It waits for its target however late that is."""
        for _ in range(5):
            await self.harness.advance(100.0)
        self.assertEqual(1, len(self.harness.links.sent))
        self.harness.links.open[0].answer(b'late')
        self.assertEqual(b'late', (await self.task).reply.body)

    async def test_lost_request_is_not_sent_again(self) -> None:
        """The request may have run though its reply is lost.

        A second target would run it again, so the outcome is unknown rather
        than refused.
        """
        for kind in (Kind.BROKEN, Kind.SILENT, Kind.BAD_ANSWER):
            with self.subTest(kind):
                await self.asyncSetUp()
                self.harness.links.open[0].lose(kind)
                outcome = await self.task
                self.assertIsInstance(outcome, protocol.Unknown)
                self.assertEqual(1, len(self.harness.links.sent))

    async def test_refused_request_is_sent_to_another_target(self) -> None:
        """The target states that it will not run the request."""
        self.harness.links.open[0].refuse()
        await memory_links.settle()
        self.assertEqual(2, len(self.harness.links.sent))
        first, second = self.harness.links.sent
        self.assertNotEqual(first.target, second.target)
        second.answer(b'done')
        self.assertEqual(b'done', (await self.task).reply.body)

    async def test_refused_by_all_targets_is_not_run(self) -> None:
        """The caller may retry; the answer says when."""
        while not self.task.done():
            for sent in self.harness.links.open:
                sent.refuse()
            await self.harness.advance(20.0)
        outcome = await self.task
        self.assertIsInstance(outcome, protocol.NotRun)
        self.assertGreater(outcome.retry_after_ms, 0)

    async def test_a_refusal_then_a_loss_is_unknown(self) -> None:
        """The second target may have run it."""
        self.harness.links.open[0].refuse()
        await memory_links.settle()
        self.harness.links.open[0].lose(Kind.BROKEN)
        self.assertIsInstance(await self.task, protocol.Unknown)

    async def test_error_reply_of_a_target_is_passed_on(self) -> None:
        """It ran, and the target reports how it ended."""
        self.harness.links.open[0].fail(500)
        outcome = await self.task
        self.assertEqual(500, outcome.reply.status)
        self.assertEqual(1, len(self.harness.links.sent))

    async def test_route_timeout_ends_the_request(self) -> None:
        """At the route's timeout the outcome is a timeout, not a refusal."""
        await self.harness.advance(599.0)
        self.assertFalse(self.task.done())
        await self.harness.advance(2.0)
        self.assertIsInstance(await self.task, protocol.TimedOut)

    async def test_left_time_shrinks_on_the_way(self) -> None:
        """A target must not work longer than its caller waits."""
        await self.harness.advance(250.0)
        self.harness.links.open[0].refuse()
        await memory_links.settle()
        headers = dict(self.harness.links.open[0].request.headers)
        self.assertEqual('350', headers['Left'])
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
