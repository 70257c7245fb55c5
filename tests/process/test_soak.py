"""A short seeded run of the soak."""

import os
import unittest

from soak import __main__ as soak

SEED = int(os.environ.get('SAMPHIREDOCK_SEED', '20261202'))
SECONDS = 8.0


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """Three daemons, faults in series that overlap."""

    async def test_the_promises_hold_under_faults(self) -> None:
        """What callers and targets saw, by the checks of the soak.

        Daemons are killed, stopped and frozen, targets lose answers and
        drain, the store is away, cut and without its history.
        """
        self.assertEqual([], await soak.run_soak(SEED, SECONDS, 3))

    async def test_planned_stops_cut_nothing(self) -> None:
        """A caller's connection ends, and its request has no answer.

        Targets hold requests for longer than a stop may take, and daemons
        are stopped meanwhile: several at once, and each with up to three
        signals.  A daemon that ends closes what is still open, though its
        caller has left the connection open to read what came of it.
        """
        self.assertEqual([], await soak.run_soak(SEED, SECONDS, 4, True))
