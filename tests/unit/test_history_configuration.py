"""Each check of a configuration history fails on a bad history."""

import unittest

from tests import history_configuration as history


class HistoryConfigurationTest(unittest.TestCase):
    """One bad history for each check."""

    def test_each_check_finds_its_fault(self) -> None:
        """The offending event, and only it, is returned."""
        good = [
            history.InForce(1, 'a', 1, 1, 'one'),
            history.Answered(2, 'two', 'ChangeAccepted', 2),
            history.InForce(3, 'a', 1, 2, 'two'),
            history.Answered(4, 'three', 'ChangeConflict', 2),
            history.Presented(5, 'b', 1, 2, 2),
            history.Held(9_000, 'a', 0, 2),
        ]
        stored = {1: 'one', 2: 'two'}
        back = history.InForce(6, 'a', 1, 1, 'one')
        old = history.Presented(6, 'c', 1, 1, 2)
        other = history.InForce(6, 'b', 1, 2, 'else')
        refused = history.InForce(6, 'b', 1, 3, 'three')
        lost = history.Answered(6, 'gone', 'ChangeAccepted', 3)
        behind = history.Held(5_003, 'b', 0, 1)
        cases = (
            (history.reverted, back, [back]),
            (history.presented_too_old, old, [old]),
            (history.two_of_one_revision, other, [other]),
            (history.refused_but_in_force, refused, [good[3]]),
            (lambda e: history.accepted_but_lost(e, stored), lost, [lost]),
            (lambda e: history.late(e, 5_000), behind, [(good[1], behind)]),
        )
        for check, event, expected in cases:
            with self.subTest(event=event):
                self.assertEqual([], check(good))
                self.assertEqual(expected, check([*good, event]))
