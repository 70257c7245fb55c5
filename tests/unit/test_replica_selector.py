"""Which replica gets an attempt, by what was seen of each."""

import os
import random
import unittest

from samphiredock import coordination

SEED = int(os.environ.get('SAMPHIREDOCK_SEED', '20261202'))


class ReplicasTest(unittest.TestCase):
    """Two near targets and a far one, time moved by hand."""

    def setUp(self) -> None:
        """All targets have been measured at 15 ms."""
        self.now_ms = 1_000.0
        self.replicas = coordination.ReplicaSelector(
            random.Random(SEED),
            lambda target: target != 'far',
            3.0,
            lambda: self.now_ms,
        )
        for target in ('near', 'other', 'far'):
            for _ in range(40):
                self.replicas.record_sent(target)
                self.replicas.record_ended(target, 15.0)

    def _share_of(self, target: str, *candidates: str) -> float:
        chosen = [self.replicas.choose(candidates) for _ in range(1_000)]
        return chosen.count(target) / len(chosen)

    def test_the_near_one_is_taken_while_it_is_well(self) -> None:
        """Parts that cross between sites cost the users more."""
        self.assertGreater(self._share_of('near', 'near', 'far'), 0.95)

    def test_what_hangs_is_avoided_before_it_ends(self) -> None:
        """An exchange without an end has no latency yet.

        A target falls silent; until its first exchange times out, every
        request would be sent after it.
        """
        self.replicas.record_sent('near')
        self.now_ms += 90.0
        self.assertLess(self._share_of('near', 'near', 'far'), 0.05)

    def test_a_loser_that_runs_on_still_counts(self) -> None:
        """It was cancelled here, and hangs at its target all the same."""
        self.replicas.record_sent('near')
        sent_ms = self.now_ms
        self.now_ms += 60.0
        self.replicas.record_ended('near', 60.0)
        self.replicas.keep_in_flight('near', sent_ms)
        self.now_ms += 60.0
        self.assertLess(self._share_of('near', 'near', 'far'), 0.05)
        self.replicas.record_ended('near', 120.0)

    def test_a_slow_one_is_asked_again_after_some_seconds(self) -> None:
        """Nothing measures a target that gets no work."""
        for _ in range(3):
            self.replicas.record_latency('near', 180.0)
        self.now_ms += 20_000.0
        self.replicas.record_latency('far', 15.0)
        self.assertGreater(self._share_of('near', 'near', 'far'), 0.9)

    def test_one_that_fails_a_part_of_its_work_is_avoided(self) -> None:
        """Each failure costs a retry, and those are few.

        The near target refuses two of five requests at once, as quick as
        ever.  By its latency alone every request would still go there first.
        """
        for number in range(50):
            self.replicas.record_sent('near')
            if number % 5 in (1, 3):
                self.replicas.record_ended('near', None)
                self.replicas.record_failure('near')
            else:
                self.replicas.record_ended('near', 15.0)
        self.assertLess(self._share_of('near', 'near', 'far'), 0.05)

    def test_one_failure_alone_sends_nothing_to_another_site(self) -> None:
        """Any target loses a connection now and then."""
        self.replicas.record_failure('near')
        self.assertGreater(self._share_of('near', 'near', 'far'), 0.95)

    def test_failures_are_forgotten(self) -> None:
        """A target that gets no work cannot show that it is well again."""
        for _ in range(20):
            self.replicas.record_failure('near')
        self.now_ms += 20_000.0
        self.replicas.record_latency('far', 15.0)
        self.assertGreater(self._share_of('near', 'near', 'far'), 0.9)

    def test_a_near_one_is_always_among_the_two_drawn(self) -> None:
        """Of three, two at random leave it out a third of the time."""
        for name in ('far-2', 'far-3'):
            self.replicas.record_latency(name, 15.0)
        replicas = coordination.ReplicaSelector(
            random.Random(SEED), lambda target: target == 'a', 3.0
        )
        for target in ('a', 'b', 'c'):
            for _ in range(40):
                replicas.record_latency(target, 15.0)
        chosen = [replicas.choose(('b', 'c', 'a')) for _ in range(1_000)]
        self.assertGreater(chosen.count('a') / len(chosen), 0.95)
