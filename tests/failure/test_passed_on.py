"""Requests that are passed on to targets: whole, truthful, at most once."""

import asyncio
import random
import unittest

from samphiredock import protocol
from samphiredock import transport
from standins import memory_links

Kind = transport.LinkErrorKind
RECORD = b'0123456789abcdef'


class GatherTest(unittest.IsolatedAsyncioTestCase):
    """Answers merged from many shards."""

    async def asyncSetUp(self) -> None:
        """Ask ten shards; eight are the least."""
        self.desk = memory_links.ForwardDesk()
        self.task = self.desk.ask('/all/x')
        await memory_links.settle()

    async def test_all_parts_make_the_answer(self) -> None:
        """Each shard's receipt once, nothing missing."""
        for sent in self.desk.links.open:
            sent.answer(RECORD)
        outcome = await self.task
        self.assertEqual(10, len(set(outcome.receipts)))
        self.assertEqual(0, outcome.missing)
        self.assertEqual(RECORD * 5, outcome.body)

    async def test_a_late_shard_does_not_hold_the_answer_past_the_aim(
        self,
    ) -> None:
        """The caller gets nine shards of ten in time, and is told so.

        One shard and its hedge stay silent.  Waiting for it would make the
        whole answer late, though it is there but for one part.
        """
        silent = self.desk.links.open[0].target
        for sent in self.desk.links.open[1:]:
            sent.answer(RECORD)
        for _ in range(11):
            await self.desk.advance(10.0)
        outcome = await self.task
        self.assertIsInstance(outcome, protocol.Gathered)
        self.assertEqual(1, outcome.missing)
        self.assertNotIn(f'receipt-{silent}', outcome.receipts)

    async def test_too_few_shards_in_time_answer_late(self) -> None:
        """The least comes in after the aim: it is delivered at once."""
        late = self.desk.links.open[:3]
        for sent in self.desk.links.open[3:]:
            sent.answer(RECORD)
        await self.desk.advance(200.0)
        self.assertFalse(self.task.done())
        late[0].answer(RECORD)
        outcome = await self.task
        self.assertEqual(2, outcome.missing)

    async def test_a_hedge_waits_for_no_connection(self) -> None:
        """It would stand in line behind what makes its shard late.

        After a start all connections are cold and in use.  A hedge that
        waits for one takes the turn of another search's first attempt, and
        all of them are late.  It goes once there is room.
        """
        slow = self.desk.links.open[0]
        other = slow.target[:3] + str(1 - int(slow.target[3:]))
        self.desk.links.full.add(other)
        for sent in self.desk.links.open[1:]:
            sent.answer(RECORD)
        await self.desk.advance(40.0)
        self.assertEqual([slow], self.desk.links.open)
        self.desk.links.full.clear()
        await self.desk.advance(9.0)
        self.assertEqual(
            {slow.target, other}, {row.target for row in self.desk.links.open}
        )

    async def test_shards_that_are_late_together_are_hedged_in_turn(
        self,
    ) -> None:
        """What makes all of them late is mostly this daemon itself.

        Hedged at once, they would double its work in the second after a
        start.  Most answer by themselves meanwhile; a whole site that is
        silent has all of its shards hedged in time.
        """
        await self.desk.advance(36.0)
        counts = [len(self.desk.links.open)]
        for _ in range(5):
            await self.desk.advance(9.0)
            counts.append(len(self.desk.links.open))
        self.assertEqual([12, 14, 16, 18, 20, 20], counts)

    async def test_a_loser_that_answers_late_is_not_in_twice(self) -> None:
        """Both answers of one shard would double its records."""
        slow = self.desk.links.open[0]
        for sent in self.desk.links.open[1:8]:
            sent.answer(RECORD)
        await self.desk.advance(160.0)
        hedge = next(
            row
            for row in self.desk.links.open
            if row.target[:2] == slow.target[:2] and row is not slow
        )
        hedge.answer(RECORD)
        slow.answer(RECORD)
        for sent in self.desk.links.open:
            sent.answer(RECORD)
        outcome = await self.task
        shards = [receipt.rsplit('-', 1)[0] for receipt in outcome.receipts]
        self.assertEqual(len(set(shards)), len(shards))

    async def test_no_shard_is_run_by_more_targets_than_allowed(self) -> None:
        """Every attempt fails; each shard may be run by two targets."""
        while self.desk.links.open:
            for sent in self.desk.links.open:
                sent.lose(Kind.BROKEN)
            await self.desk.advance(20.0)
        await self.task
        for shard in self.desk.shards:
            tried = [
                row
                for row in self.desk.links.sent
                if row.target.startswith(f'{shard}-')
            ]
            self.assertLessEqual(len(tried), 2)

    async def test_a_hopeless_request_ends_at_once(self) -> None:
        """The caller may go elsewhere in good time.

        Three shards of ten lose both targets, so that eight can never be
        in; the other seven are still at work.
        """
        for _ in range(2):
            for sent in self.desk.links.open:
                if sent.target[:2] in ('s0', 's1', 's2'):
                    sent.lose(Kind.BROKEN)
            await memory_links.settle()
        outcome = await self.task
        self.assertIsInstance(outcome, protocol.Unknown)

    async def test_a_caller_that_leaves_stops_the_targets(self) -> None:
        """Nobody reads what they would still compute."""
        self.task.cancel()
        await memory_links.settle()
        self.assertTrue(all(row.cancelled for row in self.desk.links.sent))

    async def test_a_caller_that_leaves_is_forgotten(self) -> None:
        """What it had under way must not count as in flight for ever.

        Callers connect to a daemon that starts and give up before it has
        answered.  Their attempts never ended here, so that the targets they
        had gone to looked slower every second, and the work went to another
        site for as long as the daemon lived.
        """
        asked = [row.target for row in self.desk.links.open]
        self.task.cancel()
        await memory_links.settle()
        loads = self.desk.replicas._loads
        for target in asked:
            self.assertEqual([], list(loads[target].started_ms), target)

    async def test_a_loser_gets_a_moment_then_it_is_cut(self) -> None:
        """Its connection is kept if it ends by itself in that time."""
        sent = list(self.desk.links.open)
        for row in sent[:9]:
            row.answer(RECORD)
        await self.desk.advance(120.0)
        await self.task
        await self.desk.advance(100.0)
        self.assertFalse(sent[9].cancelled)
        await self.desk.advance(100.0)
        self.assertTrue(sent[9].cancelled)


class SheddingTest(unittest.IsolatedAsyncioTestCase):
    """Targets that refuse a part of their work, and look well otherwise."""

    async def test_callers_get_whole_answers(self) -> None:
        """The shared budget does not pay for a retry of every refusal.

        One target of each shard refuses four of ten requests, at once; its
        twin is sound.  Chosen by latency alone both get the same work, the
        retries use the budget up within a second, and from then on searches
        end without the shards that refused them.  Chosen by latency alone, 55
        of these 80 searches were answered whole; with failures counted, 80.
        """
        desk = memory_links.ForwardDesk(daemons=8)
        rng = random.Random(memory_links.SEED)
        whole = 0
        for _ in range(80):
            task = desk.ask('/all/x')
            while not task.done():
                await desk.advance(12.0)
                for sent in desk.links.open:
                    if sent.target.endswith('-0') and rng.random() < 0.4:
                        sent.refuse()
                    else:
                        sent.answer(RECORD)
                await memory_links.settle()
            outcome = await task
            whole += isinstance(outcome, protocol.Gathered) and not (
                outcome.missing
            )
        self.assertGreaterEqual(whole, 70)


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    """Requests that cannot be served."""

    async def test_no_target_refuses_at_once(self) -> None:
        """It would only end in the same refusal, later."""
        desk = memory_links.ForwardDesk()
        for shard in desk.shards[:3]:
            for number in range(2):
                desk.put(f'{shard}-{number}', shard, leaving=True)
        outcome = await desk.ask('/all/x')
        self.assertIsInstance(outcome, protocol.NotRun)
        self.assertGreater(outcome.retry_after_ms, 0)
        self.assertEqual([], desk.links.sent)

    async def test_a_path_without_a_route(self) -> None:
        """A typed refusal that names the version."""
        outcome = await memory_links.ForwardDesk().ask('/none/x')
        self.assertIs(protocol.NotRunReason.UNKNOWN_ROUTE, outcome.reason)
        self.assertIn('version 1', outcome.detail)

    async def test_an_older_table_never_comes_back(self) -> None:
        """A stale read shows version 1 after version 5."""
        desk = memory_links.ForwardDesk()
        desk.offer(5, shards=('s0', 's1'))
        desk.offer(1)
        self.assertEqual(5, desk.routing.table.version)

    async def test_a_request_keeps_the_shards_it_began_with(self) -> None:
        """Parts of two versions would count records twice or not at all."""
        desk = memory_links.ForwardDesk()
        task = desk.ask('/all/x')
        await memory_links.settle()
        desk.offer(2, shards=('s0', 's1'))
        for sent in desk.links.open:
            sent.answer(RECORD)
        self.assertEqual(10, len((await task).receipts))


class OnceTest(unittest.IsolatedAsyncioTestCase):
    """Requests that may run at most once."""

    async def asyncSetUp(self) -> None:
        """Send one."""
        self.desk = memory_links.ForwardDesk()
        self.task = self.desk.ask('/once/x', method='POST')
        await memory_links.settle()

    async def test_it_is_never_hedged(self) -> None:
        """However late the answer is."""
        for _ in range(5):
            await self.desk.advance(100.0)
        self.assertEqual(1, len(self.desk.links.sent))
        self.desk.links.open[0].answer(b'late')
        self.assertEqual(b'late', (await self.task).reply.body)

    async def test_what_may_have_run_is_not_sent_again(self) -> None:
        """A second target would pay out a second time.

        The target runs the request and its answer is lost with the
        connection.  Nothing proves that it has not run, so the outcome is
        unknown, and no refusal.
        """
        for kind in (Kind.BROKEN, Kind.SILENT, Kind.BAD_ANSWER):
            with self.subTest(kind):
                await self.asyncSetUp()
                self.desk.links.open[0].lose(kind)
                outcome = await self.task
                self.assertIsInstance(outcome, protocol.Unknown)
                self.assertEqual(1, len(self.desk.links.sent))

    async def test_a_refusal_without_a_run_goes_elsewhere(self) -> None:
        """The target says that it has not begun it and never will."""
        self.desk.links.open[0].refuse()
        await memory_links.settle()
        self.assertEqual(2, len(self.desk.links.sent))
        first, second = self.desk.links.sent
        self.assertNotEqual(first.target, second.target)
        second.answer(b'done')
        self.assertEqual(b'done', (await self.task).reply.body)

    async def test_refused_everywhere_is_truly_not_run(self) -> None:
        """The caller may come back; the answer says when."""
        while not self.task.done():
            for sent in self.desk.links.open:
                sent.refuse()
            await self.desk.advance(20.0)
        outcome = await self.task
        self.assertIsInstance(outcome, protocol.NotRun)
        self.assertGreater(outcome.retry_after_ms, 0)

    async def test_a_refusal_then_a_loss_is_unknown(self) -> None:
        """The second target may have run it: "not run" would be untrue."""
        self.desk.links.open[0].refuse()
        await memory_links.settle()
        self.desk.links.open[0].lose(Kind.BROKEN)
        self.assertIsInstance(await self.task, protocol.Unknown)

    async def test_a_targets_own_failure_is_passed_on(self) -> None:
        """It ran, and the target says how it ended."""
        self.desk.links.open[0].fail(500)
        outcome = await self.task
        self.assertEqual(500, outcome.reply.status)
        self.assertEqual(1, len(self.desk.links.sent))

    async def test_the_routes_time_ends_it(self) -> None:
        """The answer is due at the timeout, and promises nothing."""
        await self.desk.advance(599.0)
        self.assertFalse(self.task.done())
        await self.desk.advance(2.0)
        self.assertIsInstance(await self.task, protocol.TimedOut)

    async def test_left_time_shrinks_on_the_way(self) -> None:
        """A target must not work longer than its caller waits."""
        await self.desk.advance(250.0)
        self.desk.links.open[0].refuse()
        await memory_links.settle()
        headers = dict(self.desk.links.open[0].request.headers)
        self.assertEqual('350', headers['Left'])
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
