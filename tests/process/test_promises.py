"""Concurrent callers under random faults, with real processes."""

import os
import unittest

from tests.process import faultrun

_SECONDS = 28.0
_DAEMONS = 6
_EASY = {'configuration': 30}


class PromisesUnderFaultsTest(unittest.IsolatedAsyncioTestCase):
    """Six daemons over three sites."""

    async def test_no_promise_is_broken(self) -> None:
        """No outcome contradicts what the targets did, under faults.

        Daemons and targets are killed, suspended and cut off, connections go
        silent, the store fails and loses responses, targets misreport, and
        snapshots and configurations change.
        """
        seed = int(os.environ['SAMPHIREDOCK_SEED'])
        run = await faultrun.run_once(seed, _DAEMONS, _SECONDS)
        print(f'\nseed {seed}\n{faultrun.describe(run)}', flush=True)
        for promise, verdict in run.judged.items():
            if promise != 'configuration':
                # Its time limit is checked by the long runs of PROOFS.md.
                self.assertEqual((), verdict.violations, promise)
            self.assertGreater(verdict.judged, _EASY.get(promise, 20))
        reverted = [
            text
            for text in run.judged['configuration'].violations
            if 'after revision' in text
        ]
        self.assertEqual([], reverted)
        self.assert_faults_bit(run)

    def assert_faults_bit(self, run: faultrun.FaultRun) -> None:
        """Check that faults took effect; the test is void without them."""
        faults = run.recording.faults
        self.assertGreaterEqual(len(faults), 8)
        self.assertGreaterEqual(len(set(faults)), 6)
        self.assertGreaterEqual(run.recording.changes['accepted'], 3)
        disturbed = [
            call
            for call in run.recording.calls
            if call.outcome_type not in ('answered', 'completed')
        ]
        self.assertGreaterEqual(len(disturbed), 20)
