"""Random schedules of daemons that use all of the retry budget they may."""

import dataclasses
import os
import unittest

from standins import retry_model

SEED = int(os.environ.get('SAMPHIREDOCK_SEED', '20261202'))
RUNS = int(os.environ.get('SAMPHIREDOCK_RETRY_RUNS', '40'))
WEAK_RUNS = 60
DURATION_MS = 120_000.0


class RetryModelTest(unittest.TestCase):
    """What arrives at the targets stays within the budget in any window."""

    def _breaches(
        self, bounds: retry_model.ModelBounds, runs: int = RUNS
    ) -> list[str]:
        found = []
        for seed in range(SEED, SEED + runs):
            model = retry_model.RetryModel(seed, bounds)
            worst = model.run(DURATION_MS)
            if worst is not None and worst.extra > worst.allowed:
                found.append(f'seed {seed}: {worst}')
        return found

    def test_no_schedule_breaks_the_budget(self) -> None:
        """Whatever the daemons believe of each other, and of the store."""
        self.assertEqual([], self._breaches(retry_model.ModelBounds()))

    def test_many_daemons_keep_the_budget(self) -> None:
        """As many as the system is designed for, each with its own view."""
        for seed in range(SEED, SEED + 3):
            bounds = retry_model.ModelBounds(most_daemons=490, slack=162.0)
            worst = retry_model.RetryModel(seed, bounds).run(60_000.0)
            self.assertIsNotNone(worst)
            self.assertLessEqual(worst.extra, worst.allowed)

    def test_schedules_use_most_of_the_budget(self) -> None:
        """A model in which nothing is sent would find nothing."""
        full = 0
        for seed in range(SEED, SEED + RUNS):
            worst = retry_model.RetryModel(
                seed, retry_model.ModelBounds()
            ).run(DURATION_MS)
            full += worst is not None and worst.extra > 0.6 * worst.allowed
        self.assertGreater(full, RUNS // 4)

    def test_model_finds_what_each_safeguard_prevents(self) -> None:
        """Without any one of them, some schedule breaks the budget."""
        bounds = retry_model.ModelBounds(slack=60.0)
        for name, weakened in (
            ('no wait for a share', {'settle_ms': 0.0}),
            ('whole ratio earned', {'earned_factor': 2.0}),
        ):
            with self.subTest(name):
                self.assertTrue(
                    self._breaches(
                        dataclasses.replace(bounds, **weakened), WEAK_RUNS
                    )
                )


if __name__ == '__main__':
    unittest.main()
