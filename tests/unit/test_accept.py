"""The status of a configuration change against the stored object."""

import unittest

from samphiredock.coordination.config import _accept
from samphiredock import protocol


def change(base_revision: int) -> protocol.ConfigurationChange:
    """Return a change based on a revision."""
    return protocol.ConfigurationChange(
        base_revision, 'mine', 'operator', {}, {}
    )


def rows(*change_ids: str, last: int) -> list[protocol.ChangeSummary]:
    """Return listed changes, the last one with revision ``last``."""
    first = last - len(change_ids) + 1
    return [
        protocol.ChangeSummary(first + offset, 'operator', change_id, 0)
        for offset, change_id in enumerate(change_ids)
    ]


class ChangeStatusTest(unittest.TestCase):
    """One case for each status."""

    def test_status_of(self) -> None:
        """A change is judged by the row of the revision after its base."""
        cases = (
            ('nothing stored', 0, 0, [], _accept.ChangeStatus.APPLICABLE),
            (
                'at its base',
                4,
                4,
                rows('a', last=4),
                _accept.ChangeStatus.APPLICABLE,
            ),
            (
                'lost answer, then two other changes',
                4,
                7,
                rows('mine', 'b', 'c', last=7),
                _accept.ChangeStatus.ACCEPTED,
            ),
            (
                'conflict, then another change',
                4,
                6,
                rows('b', 'c', last=6),
                _accept.ChangeStatus.CONFLICT,
            ),
            (
                'stale read below its base',
                4,
                3,
                rows('a', last=3),
                _accept.ChangeStatus.STALE_READ,
            ),
            (
                'its row is no longer listed',
                4,
                9,
                rows('d', 'e', last=9),
                _accept.ChangeStatus.NOT_LISTED,
            ),
        )
        for name, base, revision, recent, expected in cases:
            with self.subTest(name):
                got = _accept.status_of(change(base), revision, recent)
                self.assertEqual(expected, got)
