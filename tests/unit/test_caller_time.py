"""Tests of the estimate of the time that a caller has already spent."""

import unittest

from samphiredock.coordination.forwarding import _caller_time


class CallerTimeEstimatorTest(unittest.TestCase):
    """One route with an aim of 100 ms."""

    def setUp(self) -> None:
        """Let a first caller state 600 ms."""
        self.times = _caller_time.CallerTimeEstimator()
        self.assertEqual(0.0, self._spent(600.0))

    def _spent(self, left_ms: float | None, route: str = 'r') -> float:
        return self.times.spent_ms(route, left_ms, 100.0)

    def test_connecting_counts_as_spent(self) -> None:
        """A caller on a new connection states less than 600 ms."""
        self.assertEqual(7.0, self._spent(593.0))
        self.assertEqual(0.0, self._spent(600.0))

    def test_routes_are_estimated_separately(self) -> None:
        """Callers of another route may have other times."""
        self.assertEqual(0.0, self._spent(300.0, 'other'))

    def test_a_large_difference_is_ignored(self) -> None:
        """Such a caller is late anyway, or always allows less time."""
        self.assertEqual(0.0, self._spent(500.0))
        self.assertEqual(0.0, self._spent(None))

    def test_old_samples_are_dropped(self) -> None:
        """One caller that allows more must not make all others look late."""
        self._spent(640.0)
        for _ in range(_caller_time.MAX_SAMPLES):
            self._spent(600.0)
        self.assertEqual(0.0, self._spent(600.0))

    def test_number_of_routes_is_bounded(self) -> None:
        """Renamed routes must not use memory without bound."""
        for number in range(2_000):
            self._spent(600.0, f'r-{number}')
        self.assertEqual(_caller_time.MAX_ROUTES, len(self.times._samples))
