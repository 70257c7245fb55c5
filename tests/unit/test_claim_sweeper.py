"""Deletion of old buckets."""

import random
import unittest

from samphiredock import coordination
from samphiredock.coordination import _claim_sweeper
from samphiredock.coordination import _run_admission
from samphiredock import metrics
from samphiredock import state
from tests import fakes_platform
from tests import fakes_run

_HOUR_MS = 3_600_000


class ClaimSweeperTest(unittest.IsolatedAsyncioTestCase):
    """Three daemons share the old slices."""

    async def test_only_buckets_past_the_margin_go(self) -> None:
        """Every key that may be accepted anywhere keeps its claim.

        The margin outlasts a clock that is half an hour wrong and the
        longest deadline; the setting of the retention does not matter.
        """
        clock = fakes_run.SteppedTimers()
        platform = fakes_platform.FakePlatform(clock, random.Random(1))
        names = ['entry-1', 'entry-2', 'entry-3']
        counters = metrics.Metrics('test')
        sweepers = [
            coordination.ClaimSweeper(
                name, lambda: names, platform, clock, counters
            )
            for name in names
        ]
        keep_ms = _claim_sweeper.KEEP_MS
        self.assertGreaterEqual(
            keep_ms, _run_admission.RETENTION_LIMIT_MS + _HOUR_MS
        )
        now_ms = clock.wall_ms()
        ages_ms = [0, keep_ms - 1, keep_ms + 20_000, keep_ms + 100_000]
        paths = [
            state.place_of('invoices', 'key', now_ms - age_ms).path
            for age_ms in ages_ms
        ]
        for path in paths:
            await platform.put(path, b'{"format":1,"claims":{}}', 0)
        for sweeper in sweepers:
            sweeper.start()
        await clock.pass_ms(60 * _claim_sweeper.SWEEP_PERIOD_MS)
        for sweeper in sweepers:
            sweeper.close()
        # The test's own minutes made the second one old as well.
        self.assertEqual({paths[0]}, set(platform.objects))
        self.assertEqual(3, counters.total('claim_buckets_deleted'))

    async def test_young_buckets_stay_through_a_store_outage(self) -> None:
        """A sweep that fails is tried again, and skips nothing."""
        clock = fakes_run.SteppedTimers()
        platform = fakes_platform.FakePlatform(clock, random.Random(1))
        counters = metrics.Metrics('test')
        old_ms = clock.wall_ms() - _claim_sweeper.KEEP_MS - 10_000
        path = state.place_of('invoices', 'key', old_ms).path
        await platform.put(path, b'{"format":1,"claims":{}}', 0)
        sweeper = coordination.ClaimSweeper(
            'entry-1', lambda: [], platform, clock, counters
        )
        platform.outage = True
        await sweeper.sweep()
        self.assertIn(path, platform.objects)
        platform.outage = False
        for _ in range(3):
            await sweeper.sweep()
        self.assertNotIn(path, platform.objects)
