"""Each checker of configuration histories fails on a bad history."""

import unittest

from tests import history_configuration as history


class HistoryConfigurationTest(unittest.TestCase):
    """One bad history for each checker."""

    def test_each_check_finds_its_fault(self) -> None:
        """Exactly the offending event is returned."""
        good = [
            history.Applied(1, 'a', 1, 1, 'one'),
            history.Answered(2, 'two', 'ChangeAccepted', 2),
            history.Applied(3, 'a', 1, 2, 'two'),
            history.Answered(4, 'three', 'ChangeConflict', 2),
            history.BecameReady(5, 'b', 1, 2, 2),
            history.Observed(9_000, 'a', 0, 2),
        ]
        stored = {1: 'one', 2: 'two'}
        back = history.Applied(6, 'a', 1, 1, 'one')
        old = history.BecameReady(6, 'c', 1, 1, 2)
        other = history.Applied(6, 'b', 1, 2, 'else')
        refused = history.Applied(6, 'b', 1, 3, 'three')
        lost = history.Answered(6, 'gone', 'ChangeAccepted', 3)
        behind = history.Observed(5_003, 'b', 0, 1)
        cases = (
            (history.reverted, back, [back]),
            (history.ready_too_old, old, [old]),
            (history.conflicting_revisions, other, [other]),
            (history.refused_but_applied, refused, [good[3]]),
            (lambda e: history.accepted_but_lost(e, stored), lost, [lost]),
            (lambda e: history.overdue(e, 5_000), behind, [(good[1], behind)]),
        )
        for check, event, expected in cases:
            with self.subTest(event=event):
                self.assertEqual([], check(good))
                self.assertEqual(expected, check([*good, event]))
