"""What a caller's stated time tells of the time that it has spent."""

import unittest

from samphiredock.coordination.forwarding import _caller_time


class CallerTimeEstimatorTest(unittest.TestCase):
    """One route with an aim of 100 ms."""

    def setUp(self) -> None:
        """Have a caller state 600 ms on a kept connection."""
        self.times = _caller_time.CallerTimeEstimator()
        self.assertEqual(0.0, self._spent(600.0))

    def _spent(self, left_ms: float | None, route: str = 'r') -> float:
        return self.times.spent_ms(route, left_ms, 100.0)

    def test_connecting_takes_from_the_time(self) -> None:
        """A caller on a new connection states what is left of its 600."""
        self.assertEqual(7.0, self._spent(593.0))
        self.assertEqual(0.0, self._spent(600.0))

    def test_routes_are_told_apart(self) -> None:
        """Callers of another route have other times."""
        self.assertEqual(0.0, self._spent(300.0, 'other'))

    def test_a_large_difference_tells_nothing(self) -> None:
        """It is late anyhow, or a caller that always gives less."""
        self.assertEqual(0.0, self._spent(500.0))
        self.assertEqual(0.0, self._spent(None))

    def test_what_was_stated_long_ago_is_forgotten(self) -> None:
        """One caller that gives more does not make all others late."""
        self._spent(640.0)
        for _ in range(_caller_time.MAX_SAMPLES):
            self._spent(600.0)
        self.assertEqual(0.0, self._spent(600.0))

    def test_routes_that_are_gone_are_forgotten(self) -> None:
        """Each change of the configuration may bring new names."""
        for number in range(2_000):
            self._spent(600.0, f'r-{number}')
        self.assertEqual(_caller_time.MAX_ROUTES, len(self.times._samples))
