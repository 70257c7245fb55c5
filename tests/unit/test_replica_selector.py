"""Selection of replicas by latency, load, failures and site."""

import os
import random
import unittest

from samphiredock import coordination

SEED = int(os.environ.get('SAMPHIREDOCK_SEED', '20261202'))


class ReplicaSelectorTest(unittest.TestCase):
    """Two near targets and one at another site, with a manual clock."""

    def setUp(self) -> None:
        """Record a latency of 15 ms for all targets."""
        self.now_ms = 1_000.0
        self.selector = coordination.ReplicaSelector(
            random.Random(SEED),
            lambda target: target != 'far',
            3.0,
            lambda: self.now_ms,
        )
        for target in ('near', 'other', 'far'):
            for _ in range(40):
                self.selector.record_sent(target)
                self.selector.record_ended(target, 15.0)

    def _share_of(self, target: str, *candidates: str) -> float:
        chosen = [self.selector.choose(candidates) for _ in range(1_000)]
        return chosen.count(target) / len(chosen)

    def test_near_target_is_selected_while_healthy(self) -> None:
        """Attempts at another site take longer."""
        self.assertGreater(self._share_of('near', 'near', 'far'), 0.95)

    def test_hanging_target_is_avoided(self) -> None:
        """A silent target gets no more attempts before the first times out."""
        self.selector.record_sent('near')
        self.now_ms += 90.0
        self.assertLess(self._share_of('near', 'near', 'far'), 0.05)

    def test_abandoned_attempt_still_counts_as_in_flight(self) -> None:
        """A hedged attempt that was cancelled here may hang at its target."""
        self.selector.record_sent('near')
        sent_ms = self.now_ms
        self.now_ms += 60.0
        self.selector.record_ended('near', 60.0)
        self.selector.keep_in_flight('near', sent_ms)
        self.now_ms += 60.0
        self.assertLess(self._share_of('near', 'near', 'far'), 0.05)
        self.selector.record_ended('near', 120.0)

    def test_slow_target_is_tried_again_after_some_seconds(self) -> None:
        """Without decay, a target without attempts would stay slow."""
        for _ in range(3):
            self.selector.record_latency('near', 180.0)
        self.now_ms += 20_000.0
        self.selector.record_latency('far', 15.0)
        self.assertGreater(self._share_of('near', 'near', 'far'), 0.9)

    def test_target_that_fails_some_attempts_is_avoided(self) -> None:
        """The near target fails two of five attempts, as fast as it answers.

        By latency alone it would be selected, and each failure costs a retry.
        """
        for number in range(50):
            self.selector.record_sent('near')
            if number % 5 in (1, 3):
                self.selector.record_ended('near', None)
                self.selector.record_failure('near')
            else:
                self.selector.record_ended('near', 15.0)
        self.assertLess(self._share_of('near', 'near', 'far'), 0.05)

    def test_single_failure_does_not_select_another_site(self) -> None:
        """Single failures are normal and must not cause cross-site traffic."""
        self.selector.record_failure('near')
        self.assertGreater(self._share_of('near', 'near', 'far'), 0.95)

    def test_failures_are_forgotten(self) -> None:
        """Without decay, a target without attempts would stay failing."""
        for _ in range(20):
            self.selector.record_failure('near')
        self.now_ms += 20_000.0
        self.selector.record_latency('far', 15.0)
        self.assertGreater(self._share_of('near', 'near', 'far'), 0.9)

    def test_near_target_is_always_one_of_the_two_drawn(self) -> None:
        """A third of the pairs drawn from three would not include it."""
        for name in ('far-2', 'far-3'):
            self.selector.record_latency(name, 15.0)
        selector = coordination.ReplicaSelector(
            random.Random(SEED), lambda target: target == 'a', 3.0
        )
        for target in ('a', 'b', 'c'):
            for _ in range(40):
                selector.record_latency(target, 15.0)
        chosen = [selector.choose(('b', 'c', 'a')) for _ in range(1_000)]
        self.assertGreater(chosen.count('a') / len(chosen), 0.95)
