"""The observed health of one target."""

import unittest

from samphiredock.coordination.targets import _observed_health


class ObservedHealthTest(unittest.TestCase):
    """States, ramp-up, pauses and service time."""

    def setUp(self) -> None:
        self.health = _observed_health.ObservedHealth()

    def _answer(self, count: int, now_ms: float = 0.0) -> None:
        for _ in range(count):
            self.health.on_answer(1, 5.0, now_ms)

    def _assert(self, state: str, slots: int, now_ms: float = 0.0) -> None:
        self.assertEqual(state, self.health.state)
        self.assertEqual(slots, self.health.allowed_slots(4, now_ms))

    def test_new_target_ramps_up(self) -> None:
        self._assert('unknown', 1)
        self._answer(2)
        self._assert('warming', 2)
        self._answer(2)
        self._assert('serving', 4)

    def test_unloaded_target_pauses_and_ramps_up(self) -> None:
        self._answer(4)
        self.health.on_unloaded(100.0)
        self._assert('warming', 0, 149.0)
        self._assert('warming', 1, 150.0)

    def test_target_that_sheds_is_left_alone_for_a_moment(self) -> None:
        self._answer(4)
        self.health.on_shed(100.0)
        self._assert('serving', 0, 119.0)
        self._assert('serving', 4, 120.0)

    def test_failure_halves_and_an_answer_restores(self) -> None:
        self._answer(4)
        self.health.on_failure(False, 0.0)
        self._assert('suspect', 2)
        self._answer(1)
        self._assert('serving', 4)

    def test_lost_target_is_tried_after_growing_pauses(self) -> None:
        self.health.on_failure(True, 0.0)
        self._assert('lost', 0, 199.0)
        self._assert('lost', 1, 200.0)
        self.health.on_failure(True, 200.0)
        self.assertTrue(self.health.is_lost(599.0))
        self._answer(1, 600.0)
        self._assert('warming', 1, 600.0)

    def test_leaving_target_gets_nothing_until_it_returns(self) -> None:
        self._answer(4)
        self.health.set_leaving(True)
        self._answer(1)
        self.health.on_failure(True, 0.0)
        self._assert('leaving', 0, 10_000.0)
        self.health.set_leaving(False)
        self._assert('warming', 1, 10_000.0)

    def test_one_straggler_does_not_move_the_median_much(self) -> None:
        self._answer(20)
        self.health.on_answer(1, 500.0, 0.0)
        self.assertLess(self.health.expected_job_ms(0.0), 5.5)

    def test_old_service_time_is_forgotten(self) -> None:
        """Otherwise one slow answer could cause all jobs to be refused."""
        self.health.on_answer(1, 900.0, 0.0)
        self.assertEqual(900.0, self.health.expected_job_ms(1_000.0))
        self.assertEqual(0.0, self.health.expected_job_ms(1_001.0))
