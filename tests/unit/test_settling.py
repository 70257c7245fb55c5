"""When a fresh daemon may become ready."""

import unittest

from samphiredock.coordination.fleet import _settling
from samphiredock import protocol

NONE = protocol.HeldVersions(0, 0)
FOUR = protocol.HeldVersions(4, 1)
FIVE = protocol.HeldVersions(5, 1)


def asked(listed: set[str]) -> _settling.Settling:
    """Return one that has read the store and the directory."""
    settling = _settling.Settling(0.0)
    settling.on_store()
    settling.on_directory(listed)
    return settling


class SettlingTest(unittest.TestCase):
    """Store, directory and peers in each combination that matters."""

    def test_alone_is_settled_with_the_store(self) -> None:
        """Nobody else is listed: the store's word is all there is."""
        settling = asked(set())
        self.assertFalse(settling.is_settled(10, NONE))
        self.assertTrue(settling.is_settled(10, FOUR))

    def test_waits_for_peers_and_takes_the_highest(self) -> None:
        """A peer that tells of a newer revision is believed, not late."""
        settling = asked({'a', 'b', 'c'})
        self.assertFalse(settling.is_settled(10, FOUR))
        for name in ('a', 'b'):
            settling.on_versions(FIVE)
            settling.on_answer(name, True)
        self.assertFalse(settling.is_settled(10, FOUR))
        self.assertFalse(settling.is_settled(5_000, FOUR))
        self.assertTrue(settling.is_settled(5_000, FIVE))

    def test_answers_of_fresh_peers_are_not_enough(self) -> None:
        """Two fresh daemons may have read the same stale object."""
        settling = asked({'a', 'b', 'c'})
        settling.on_answer('a', False)
        settling.on_answer('b', False)
        self.assertFalse(settling.is_settled(10, FOUR))
        settling.on_answer('c', False)
        self.assertTrue(settling.is_settled(10, FOUR))

    def test_waits_no_longer_than_its_limits(self) -> None:
        """Listed hosts may all be gone; a told revision may be, too."""
        settling = asked({'a', 'b'})
        self.assertFalse(settling.is_settled(2_900, FOUR))
        self.assertTrue(settling.is_settled(3_000, FOUR))
        behind = asked({'a', 'b'})
        behind.on_versions(FIVE)
        self.assertFalse(behind.is_settled(29_000, FOUR))
        self.assertTrue(behind.is_settled(30_000, FOUR))
