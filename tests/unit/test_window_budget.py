"""Tests of the retry budget that each daemon enforces by itself."""

import unittest

from samphiredock import coordination
from samphiredock.coordination import forwarding
from samphiredock import timers

RATIO = 0.2
SLACK = 56.0
WINDOW_MS = 10_000.0

SPENT_LIMIT = 10_000
"""More than any budget here allows."""


class WindowBudgetTest(unittest.TestCase):
    """One shard, several daemons."""

    def setUp(self) -> None:
        """Let eight daemons share the budget."""
        self.clock = timers.ManualTimers()
        self.share = 1.0 / 8.0

    def _budget(self) -> forwarding.WindowBudget:
        return forwarding.WindowBudget(
            self.clock, RATIO, SLACK, WINDOW_MS, lambda: self.share
        )

    def _extra(
        self, shard: str = 's', transit_ms: float = 0.0
    ) -> coordination.ExtraAttempt:
        latest_ms = self.clock.now_ms() + transit_ms
        return coordination.ExtraAttempt(shard, 'r', 'broken', latest_ms)

    def _spend_all(
        self,
        budget: forwarding.WindowBudget,
        hedges: bool = False,
        transit_ms: float = 0.0,
    ) -> int:
        """Spend until the budget refuses; return how often it did not.

        A budget that never refuses fails the test instead of hanging it.
        """
        spend = budget.spend_hedge if hedges else budget.spend_retry
        for spent in range(SPENT_LIMIT):
            if not spend(self._extra('s', transit_ms)):
                return spent
        self.fail(f'got {SPENT_LIMIT} spent, expected a refusal before')

    def test_all_daemons_together_keep_the_budget(self) -> None:
        """Every daemon spends all it may at the same moment."""
        budgets = [self._budget() for _ in range(8)]
        needed = [100, 0, 3, 40, 7, 250, 1, 60]
        for budget, count in zip(budgets, needed, strict=True):
            budget.record_first_attempts(['s'] * count)
        spent = sum(self._spend_all(budget) for budget in budgets)
        self.assertLessEqual(spent, RATIO / 2.0 * sum(needed) + SLACK)
        self.assertGreater(spent, 0.9 * (RATIO / 2.0 * sum(needed) + SLACK))

    def test_without_a_share_no_slack_is_used(self) -> None:
        """A daemon must not assume that it is the only one."""
        self.share = 0.0
        budget = self._budget()
        self.assertEqual(0, self._spend_all(budget))
        budget.record_first_attempts(['s'] * 100)
        self.assertEqual(int(RATIO / 2.0 * 100), self._spend_all(budget))

    def test_requests_earn_only_for_a_window(self) -> None:
        """What arrives a window after a request is not covered by it."""
        self.share = 0.0
        budget = self._budget()
        budget.record_first_attempts(['s'] * 100)
        self.clock.advance(WINDOW_MS - forwarding.READ_DELAY_MS - 500.0)
        self.assertEqual(0, self._spend_all(budget, transit_ms=501.0))
        self.assertEqual(10, self._spend_all(budget, transit_ms=500.0))

    def test_steady_requests_earn_the_whole_ratio(self) -> None:
        """Half of it in each of two windows."""
        self.share = 0.0
        budget = self._budget()
        spent = []
        for _ in range(60):
            self.clock.advance(1_000.0)
            budget.record_first_attempts(['s'] * 100)
            spent.append(self._spend_all(budget))
        self.assertLessEqual(sum(spent[-10:]), RATIO * 1_000)
        self.assertGreater(sum(spent[-10:]), 0.9 * RATIO * 1_000)

    def test_requests_read_after_a_pause_earn_nothing(self) -> None:
        """They may have waited unread for longer than a window."""
        self.share = 0.0
        budget = self._budget()
        self.clock.freeze(20_000.0)
        budget.record_first_attempts(['s'] * 100)
        self.assertEqual(0, self._spend_all(budget))

    def test_older_requests_earn_for_a_shorter_time(self) -> None:
        """A request that another daemon held counts from its receipt there."""
        self.share = 0.0
        budget = self._budget()
        budget.record_first_attempts(['s'] * 100, age_ms=5_000.0)
        self.clock.advance(4_001.0)
        self.assertEqual(0, self._spend_all(budget))

    def test_slack_counts_until_a_window_after_the_arrival(self) -> None:
        """An extra request may arrive long after it was decided."""
        budget = self._budget()
        self.assertEqual(7, self._spend_all(budget, transit_ms=3_000.0))
        self.clock.advance(WINDOW_MS + 2_999.0)
        self.assertEqual(0, self._spend_all(budget))
        self.clock.advance(1.0)
        self.assertEqual(7, self._spend_all(budget))

    def test_settled_charge_ends_earlier(self) -> None:
        """An extra request that was answered has arrived."""
        budget = self._budget()
        charges = [
            budget.spend_retry(self._extra('s', 3_000.0)) for _ in range(7)
        ]
        self.clock.advance(100.0)
        for charge in charges:
            budget.settle(charge, self.clock.now_ms())
        self.clock.advance(WINDOW_MS)
        self.assertEqual(7, self._spend_all(budget))

    def test_budget_holds_in_every_window(self) -> None:
        """Spending over time stays within the budget in any window."""
        budget = self._budget()
        times = []
        for _ in range(300):
            self.clock.advance(100.0)
            spent = self._spend_all(budget, hedges=True)
            times += [self.clock.now_ms()] * spent
        for begin in times:
            count = sum(begin <= at < begin + WINDOW_MS for at in times)
            self.assertLessEqual(count, SLACK / 8)

    def test_shards_have_separate_budgets(self) -> None:
        """One slow shard must not use up the hedges of the others."""
        budget = self._budget()
        self._spend_all(budget)
        self.assertTrue(budget.spend_retry(self._extra('other')))

    def test_part_of_the_budget_is_kept_for_retries(self) -> None:
        """Hedges are refused first: missing is worse than late."""
        budget = self._budget()
        budget.record_first_attempts(['s'] * 100)
        self._spend_all(budget, hedges=True)
        self.assertTrue(budget.spend_retry(self._extra()))

    def test_refund_gives_back_what_was_charged(self) -> None:
        """What was earned and what is on the slack are both given back."""
        budget = self._budget()
        budget.record_first_attempts(['s'] * 10)
        charges = [budget.spend_retry(self._extra()) for _ in range(3)]
        for charge in charges:
            budget.refund(charge)
            budget.refund(charge)
        self.assertEqual(8, self._spend_all(budget))
