"""When a daemon that has just started is settled."""

import unittest

from samphiredock.coordination.fleet import _settling
from samphiredock import protocol

NONE = protocol.HeldVersions(0, 0)
FOUR = protocol.HeldVersions(4, 1)
FIVE = protocol.HeldVersions(5, 1)


def settling_after_reads(listed: set[str]) -> _settling.Settling:
    """Return a Settling after reads of the store and the directory."""
    settling = _settling.Settling(0.0)
    settling.on_store()
    settling.on_directory(listed)
    return settling


class SettlingTest(unittest.TestCase):
    """Combinations of answers from the store, the directory and peers."""

    def test_alone_is_settled_with_the_store(self) -> None:
        """With no other daemon listed, the store's versions suffice."""
        settling = settling_after_reads(set())
        self.assertFalse(settling.is_settled(10, NONE))
        self.assertTrue(settling.is_settled(10, FOUR))

    def test_waits_for_peers_and_takes_the_highest(self) -> None:
        """A newer revision that a peer reports must arrive first."""
        settling = settling_after_reads({'a', 'b', 'c'})
        self.assertFalse(settling.is_settled(10, FOUR))
        for name in ('a', 'b'):
            settling.on_versions(FIVE)
            settling.on_answer(name, True)
        self.assertFalse(settling.is_settled(10, FOUR))
        self.assertFalse(settling.is_settled(5_000, FOUR))
        self.assertTrue(settling.is_settled(5_000, FIVE))

    def test_answers_of_fresh_peers_are_not_enough(self) -> None:
        """Peers that are not settled may have read the same stale object."""
        settling = settling_after_reads({'a', 'b', 'c'})
        settling.on_answer('a', False)
        settling.on_answer('b', False)
        self.assertFalse(settling.is_settled(10, FOUR))
        settling.on_answer('c', False)
        self.assertTrue(settling.is_settled(10, FOUR))

    def test_waits_no_longer_than_its_limits(self) -> None:
        """All listed peers may be dead; a reported revision may be lost."""
        settling = settling_after_reads({'a', 'b'})
        self.assertFalse(settling.is_settled(2_900, FOUR))
        self.assertTrue(settling.is_settled(3_000, FOUR))
        behind = settling_after_reads({'a', 'b'})
        behind.on_versions(FIVE)
        self.assertFalse(behind.is_settled(29_000, FOUR))
        self.assertTrue(behind.is_settled(30_000, FOUR))
