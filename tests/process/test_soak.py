"""A short seeded run of the soak."""

import os
import unittest

from soak import __main__ as soak

SEED = int(os.environ.get('SAMPHIREDOCK_SEED', '20261202'))
SECONDS = 8.0


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """Short soaks with overlapping faults."""

    async def test_the_promises_hold_under_faults(self) -> None:
        """The soak finds no problem under all of its faults.

        Daemons are killed, stopped and suspended, targets lose responses and
        drain, the store is unavailable and drops watches and history.
        """
        self.assertEqual([], await soak.run_soak(SEED, SECONDS, 3))

    async def test_planned_stops_cut_nothing(self) -> None:
        """A planned stop leaves no request without a response.

        Daemons are stopped with up to three signals, several at once, while
        targets hold requests for longer than the stop limit.
        """
        self.assertEqual([], await soak.run_soak(SEED, SECONDS, 4, True))
