"""Which request contents become suspects, and which are quarantined."""

import unittest

from samphiredock.coordination.quarantine import _suspects


class OutageTest(unittest.TestCase):
    """Several targets are lost within a short time."""

    def setUp(self) -> None:
        """Start without suspects."""
        self.suspects = _suspects.Suspects()

    def lose(self, content: str, target: str, at_ms: float) -> None:
        """Record that a target was lost while it ran a content."""
        self.suspects.record_loss(content, 's', target, at_ms, int(at_ms))

    def assert_suspects(self, *contents: str) -> None:
        """Check which contents are suspects."""
        found = [
            name
            for name in ('a', 'b', 'c', 'poison')
            if self.suspects.get(name, 3_000.0) is not None
        ]
        self.assertEqual(list(contents), found)

    def test_outage_makes_no_suspects(self) -> None:
        """An outage of three targets makes no content a suspect.

        Otherwise harmless contents would be refused at all daemons.
        """
        self.lose('a', 't1', 0.0)
        self.lose('b', 't2', 10.0)
        self.assert_suspects('a', 'b')
        self.lose('c', 't3', 20.0)
        self.assert_suspects()

    def test_losses_far_apart_are_no_outage(self) -> None:
        """Separate crashes must not be cleared as one outage."""
        for number, content in enumerate('abc'):
            self.lose(content, f't{number}', number * 2_000.0)
        self.assert_suspects('a', 'b', 'c')

    def test_content_with_two_losses_stays_a_suspect(self) -> None:
        """An outage at the same time does not clear a content that crashes."""
        self.lose('poison', 't1', 0.0)
        self.lose('poison', 't2', 10.0)
        self.lose('a', 't3', 20.0)
        self.assert_suspects('poison')
        self.assertTrue(self.suspects.get('poison', 30.0).should_quarantine())

    def test_one_content_alone_is_never_an_outage(self) -> None:
        """A content that crashes target after target must be quarantined."""
        for number in range(4):
            self.lose('poison', f't{number}', 10.0 * number)
        self.assertTrue(self.suspects.get('poison', 50.0).should_quarantine())
