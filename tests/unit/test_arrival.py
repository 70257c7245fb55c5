"""Tests of how long an attempt may be on its way."""

import math
import unittest

from samphiredock.coordination.search import _arrival


class TransitTest(unittest.TestCase):
    """Direct and ordered attempts."""

    def test_transit_ends_with_the_request(self) -> None:
        """An ordered attempt may get its whole time twice."""
        self.assertEqual(300.0, _arrival.longest_transit_ms(300.0, False))
        self.assertEqual(600.0, _arrival.longest_transit_ms(300.0, True))
        self.assertEqual(0.0, _arrival.longest_transit_ms(-1.0, True))

    def test_transit_of_a_long_request_is_bounded(self) -> None:
        """Otherwise a request with a long deadline could never be retried."""
        longest_ms = _arrival.longest_transit_ms(math.inf, True)
        self.assertEqual(_arrival.MAX_TRANSIT_MS, longest_ms)
        self.assertLess(
            _arrival.longest_transit_ms(math.inf, False), longest_ms
        )


if __name__ == '__main__':
    unittest.main()
