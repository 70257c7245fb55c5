"""Tests of the retry budget that each daemon enforces by itself."""

import unittest

from samphiredock.coordination import forwarding
from samphiredock import protocol
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
        self.daemons: int | None = 8

    def _budget(self) -> forwarding.WindowBudget:
        return forwarding.WindowBudget(
            self.clock, RATIO, SLACK, WINDOW_MS, lambda: self.daemons
        )

    def _spend_all(
        self, budget: forwarding.WindowBudget, hedges: bool = False
    ) -> int:
        """Spend until the budget refuses; return how often it did not.

        A budget that never refuses fails the test instead of hanging it.
        """
        spend = budget.spend_hedge if hedges else budget.spend_retry
        for spent in range(SPENT_LIMIT):
            if not spend('s'):
                return spent
        self.fail(f'got {SPENT_LIMIT} spent, expected a refusal before')

    def test_all_daemons_together_keep_the_budget(self) -> None:
        """Every daemon spends all it may at the same moment."""
        budgets = [self._budget() for _ in range(8)]
        needed = [100, 0, 3, 40, 7, 250, 1, 60]
        for budget, count in zip(budgets, needed, strict=True):
            budget.record_first_attempts(['s'] * count, 0.0)
        spent = sum(self._spend_all(budget) for budget in budgets)
        self.assertLessEqual(spent, RATIO * sum(needed) + SLACK)
        self.assertGreater(spent, 0.7 * (RATIO * sum(needed) + SLACK))

    def test_without_a_count_of_daemons_no_slack_is_used(self) -> None:
        """A daemon must not assume that it is the only one."""
        self.daemons = None
        budget = self._budget()
        self.assertEqual(0, self._spend_all(budget))
        budget.record_first_attempts(['s'] * 100, 0.0)
        self.assertEqual(int(0.95 * RATIO * 100), self._spend_all(budget))

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
        self.assertTrue(budget.spend_retry('other'))

    def test_part_of_the_budget_is_kept_for_retries(self) -> None:
        """Hedges are refused first: missing is worse than late."""
        budget = self._budget()
        budget.record_first_attempts(['s'] * 100, 0.0)
        self._spend_all(budget, hedges=True)
        self.assertTrue(budget.spend_retry('s'))

    def test_hedge_that_reached_no_target_is_refunded(self) -> None:
        """A refused connection is not charged, a refusal by the target is."""
        budget = self._budget()
        left = budget.left('s')
        budget.spend_hedge('s')
        budget.refund('s')
        self.assertEqual(left, budget.left('s'))
        self.assertIn(protocol.SubStatus.SHED, budget.charged_refusals)
        self.assertNotIn(
            protocol.SubStatus.UNREACHABLE, budget.charged_refusals
        )
