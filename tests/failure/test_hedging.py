"""Hedges shorten the wait for stragglers without adding to overload."""

import unittest

from samphiredock import coordination
from samphiredock import protocol
from samphiredock import state
from standins import memory_searches
from standins import scatter_harness

Status = protocol.SubStatus


def _trained_harness() -> scatter_harness.ScatterHarness:
    """Return a harness whose index answers in 5 ms, with 5 % at 20 ms."""
    harness = scatter_harness.ScatterHarness()
    for number in range(200):
        harness.context.latencies.observe(
            memory_searches.INDEX, 20.0 if number % 20 == 0 else 5.0
        )
    harness.start_search()
    return harness


class HedgingTest(unittest.TestCase):
    """One of four shards is late."""

    def setUp(self) -> None:
        """Answer three of four shards in 5 ms."""
        self.harness = _trained_harness()
        self.late, *others = self.harness.pending.values()
        self.harness.now_ms = 5.0
        self.harness.deliver(
            *[self.harness.good_answer(item) for item in others]
        )

    def test_one_hedge_elsewhere_and_the_loser_is_cancelled(self) -> None:
        """One hedge goes to the other replica, and the loser is cancelled."""
        hedges = self.harness.tick(100.0)
        self.assertEqual(1, len(hedges))
        (hedge,) = hedges
        self.assertTrue(hedge.hedge)
        self.assertEqual(self.late.shard_id, hedge.shard_id)
        self.assertNotEqual(self.late.target, hedge.target)
        self.harness.deliver(self.harness.good_answer(hedge))
        self.assertIsInstance(self.harness.outcome, protocol.Answered)
        (drop,) = self.harness.drops
        self.assertEqual(self.harness.owner(self.late.target), drop.dispatcher)
        self.assertEqual([self.late.attempt_id], drop.attempt_ids)
        tally = self.harness.scatter.tally
        self.assertEqual((1, 1), (tally.hedges_sent, tally.hedges_won))

    def test_fixed_delay_takes_the_place_of_the_quantile(self) -> None:
        """A configured delay of 50 ms replaces the quantile of 20 ms."""
        self.harness.limits = state.Limits(hedge_after_ms=50.0)
        self.harness.start_search()
        others = list(self.harness.pending.values())[1:]
        self.harness.deliver(
            *[self.harness.good_answer(item) for item in others]
        )
        self.assertEqual([], self.harness.tick(40.0))
        self.assertEqual(1, len(self.harness.tick(10.0)))

    def test_hedge_goes_through_another_dispatcher(self) -> None:
        """A hedge must not wait behind the dispatcher of the first attempt.

        Of the two other replicas one has the same dispatcher.
        """
        index = self.harness.snapshot.indexes[memory_searches.INDEX]
        for shard in index.shards:
            shard.replicas[:] = ['t0', 't4', 't1']
        for _ in range(10):
            self.harness.context.budget.deposit(100, 1.0)
            self.harness.start_search()
            first = {
                item.shard_id: self.harness.owner(item.target)
                for item in self.harness.pending.values()
            }
            hedges = self.harness.tick(100.0)
            self.assertEqual(4, len(hedges))
            for hedge in hedges:
                owner = self.harness.owner(hedge.target)
                self.assertNotEqual(first[hedge.shard_id], owner)

    def test_refused_hedge_leaves_the_first_attempt(self) -> None:
        """A hedge that finds no idle slot is refunded; the first goes on."""
        (hedge,) = self.harness.tick(100.0)
        tokens = self.harness.context.budget.tokens
        self.harness.deliver(
            self.harness.failed_answer(hedge, Status.NO_IDLE_SLOT)
        )
        self.assertEqual(tokens + 1.0, self.harness.context.budget.tokens)
        self.harness.deliver(self.harness.good_answer(self.late))
        self.assertIsInstance(self.harness.outcome, protocol.Answered)

    def test_refused_hedge_goes_again_after_a_pause(self) -> None:
        """A refused hedge is sent again after a pause, three times at most.

        Only the first refusal counts as a sign of overload.
        """
        latencies = self.harness.context.latencies
        self.harness.tick(50.0)
        for number in range(4):
            (hedge,) = [
                item for item in self.harness.pending.values() if item.hedge
            ]
            before = latencies.is_overloaded(memory_searches.INDEX)
            self.harness.deliver(
                self.harness.failed_answer(hedge, Status.NO_IDLE_SLOT)
            )
            self.assertEqual([], self.harness.tick(1.0))
            again = self.harness.tick(8.0)
            self.assertEqual(number < 3, len(again) == 1)
            self.assertFalse(before)
        self.harness.deliver(self.harness.good_answer(self.late))
        self.assertIsInstance(self.harness.outcome, protocol.Answered)

    def test_no_hedge_while_overloaded(self) -> None:
        """While targets shed load, hedges must not add to it."""
        for _ in range(30):
            self.harness.context.latencies.record_overload_sign(
                memory_searches.INDEX, Status.SHED, 0.0, 0.0
            )
        self.assertEqual([], self.harness.tick(100.0))

    def test_queues_are_a_sign_of_overload_and_pass(self) -> None:
        """Long queueing times suspend hedges, short ones resume them."""
        latencies = self.harness.context.latencies
        for _ in range(30):
            latencies.record_overload_sign(
                memory_searches.INDEX, Status.ANSWERED, 60.0, 5.0
            )
        self.assertTrue(latencies.is_overloaded(memory_searches.INDEX))
        for _ in range(200):
            latencies.record_overload_sign(
                memory_searches.INDEX, Status.ANSWERED, 0.1, 5.0
            )
        self.assertFalse(latencies.is_overloaded(memory_searches.INDEX))

    def test_no_hedge_beyond_the_budget(self) -> None:
        """A slow replica set must not exceed the budget for hedges."""
        while self.harness.context.budget.spend_hedge():
            pass
        self.assertEqual([], self.harness.tick(100.0))
        self.assertEqual(1, self.harness.scatter.tally.hedges_denied)

    def test_cancelled_losers_keep_the_quantile_up(self) -> None:
        """Cancelled attempts count as latencies.

        Without them the hedge delay would fall with each search, and ever
        more hedges would be sent.
        """
        latencies = self.harness.context.latencies
        before = latencies.hedge_delay_ms(memory_searches.INDEX, 0.95, 0.0)
        for _ in range(250):
            self.harness.context.budget.deposit(100, 1.0)
            self.harness.start_search()
            others = list(self.harness.pending.values())[1:]
            self.harness.now_ms += 5.0
            self.harness.deliver(
                *[self.harness.good_answer(item) for item in others]
            )
            due_ms = self.harness.scatter.next_due_ms()
            (hedge,) = self.harness.tick(due_ms - self.harness.now_ms)
            self.harness.deliver(self.harness.good_answer(hedge))
        after = latencies.hedge_delay_ms(memory_searches.INDEX, 0.95, 0.0)
        self.assertGreaterEqual(after, before)


class HedgeAfterCanaryTest(unittest.TestCase):
    """Hedges of a search that begins with a canary."""

    def test_straggler_after_a_slow_canary(self) -> None:
        """A late canary is joined by another shard, not by a hedge.

        When that one answers, the other shards are sent; each late shard,
        the first canary included, gets a hedge of its own.
        """
        harness = _trained_harness()
        harness.canary = True
        harness.start_search()
        (canary,) = harness.pending.values()
        (second,) = harness.tick(25.0)
        self.assertNotEqual(canary.shard_id, second.shard_id)
        self.assertFalse(second.hedge)
        self.assertEqual(2, len(harness.alone))
        rest = harness.deliver(harness.good_answer(second))
        self.assertEqual(2, len(rest))
        harness.deliver(harness.good_answer(rest[1]))
        hedges = harness.tick(40.0)
        self.assertEqual(
            {canary.shard_id, rest[0].shard_id},
            {item.shard_id for item in hedges if item.hedge},
        )


class FreshCoordinatorTest(unittest.TestCase):
    """A daemon that has just started knows no latencies."""

    def test_silent_dispatcher_of_the_first_canary(self) -> None:
        """A dead dispatcher must not delay the first search to its deadline.

        After a quarter of the deadline another canary is sent, then the
        rest; the first canary's shard is answered by its other replica.
        """
        harness = scatter_harness.ScatterHarness(canary=True)
        (lost,) = harness.pending.values()
        (second,) = harness.tick(0.25 * harness.search.deadline_ms)
        harness.deliver(harness.good_answer(second))
        harness.tick(0.5 * harness.search.deadline_ms)
        answered = [
            harness.good_answer(item)
            for item in harness.pending.values()
            if item.attempt_id != lost.attempt_id
        ]
        harness.deliver(*answered)
        self.assertIsInstance(harness.outcome, protocol.Answered)


class RetryBudgetTest(unittest.TestCase):
    """Hedges and retries share one budget."""

    def test_extra_load_is_bounded_when_everything_breaks(self) -> None:
        """A fault that breaks every attempt must not double the load."""
        harness = scatter_harness.ScatterHarness()
        sent = needed = 0
        for _ in range(400):
            harness.start_search()
            while harness.outcome is None:
                items = list(harness.pending.values())
                harness.deliver(
                    *[
                        harness.failed_answer(item, Status.BROKEN)
                        for item in items
                    ]
                )
            sent += harness.scatter.tally.sub_queries_sent
            needed += harness.scatter.tally.sub_queries_needed
        share = harness.limits.hedge_budget
        self.assertLessEqual(sent - needed, 20 + share * needed + 1)
        self.assertGreater(sent, needed)

    def test_hedges_leave_a_reserve_for_retries(self) -> None:
        """Retries are possible when hedges have used up their part."""
        budget = coordination.RetryBudget()
        while budget.spend_hedge():
            pass
        self.assertTrue(budget.spend_retry())
