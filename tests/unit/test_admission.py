"""Admission control: which requests are refused, with which retry time."""

import dataclasses
import unittest

from samphiredock import coordination
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers

Reason = protocol.NotRunReason


class AdmissionTest(unittest.TestCase):
    """Two services at a daemon that admits ten requests."""

    def setUp(self) -> None:
        """Make two services that may have eight requests in flight each."""
        self.clock = timers.ManualTimers()
        self.admission = coordination.Admission(self.clock)
        self.desk = state.Service('desk', {}, {}, 1.0, 8)
        self.field = dataclasses.replace(self.desk, name='field')
        self.limits = state.Limits(in_flight_per_daemon=10)

    def admit(
        self,
        service: state.Service,
        request_class: str = 'interactive',
        deadline_ms: float = 160.0,
        fastest_ms: float = 0.0,
    ) -> Reason | None:
        """Return why a request is refused, None if it is admitted."""
        refusal = self.admission.admit(
            service, self.limits, request_class, deadline_ms, fastest_ms
        )
        self.refusal = refusal
        return refusal and refusal.reason

    def test_service_limit_leaves_room_for_the_others(self) -> None:
        """Guards against one service that takes the whole daemon."""
        for _ in range(8):
            self.assertIsNone(self.admit(self.desk))
        self.assertIs(Reason.SHARE_EXCEEDED, self.admit(self.desk))
        self.assertIsNone(self.admit(self.field))
        self.admission.release('desk')
        self.assertIsNone(self.admit(self.desk))

    def test_batch_gives_way_to_interactive(self) -> None:
        """Near the daemon's limit only interactive requests are admitted."""
        for _ in range(8):
            self.admit(self.desk)
        self.assertIs(Reason.OVERLOADED, self.admit(self.field, 'batch'))
        self.assertIsNone(self.admit(self.field))
        self.assertIsNone(self.admit(self.field))
        self.assertIs(Reason.OVERLOADED, self.admit(self.field))
        self.assertEqual(10, self.admission.in_flight())

    def test_retry_after_follows_the_drain_rate(self) -> None:
        """The slower a daemon drains, the longer the retry time."""
        waits = []
        for gap_ms in (100.0, 1_000.0):
            for _ in range(200):
                self.admission._acquire('desk')
                self.clock.advance(gap_ms)
                self.admission.release('desk')
            for _ in range(10):
                self.admission._acquire('field')
            self.assertIs(Reason.OVERLOADED, self.admit(self.desk))
            waits.append(self.refusal.retry_after_ms)
            for _ in range(10):
                self.admission.release('field')
            self.clock.advance(1.0)
        self.assertLess(waits[0], waits[1])
        self.assertLessEqual(waits[1], 5_000)

    def test_short_deadline_is_refused_but_probed(self) -> None:
        """A deadline that cannot be met is refused, except one in 20.

        Guards against refusals that continue after latencies have fallen.
        """
        reasons = [
            self.admit(self.desk, deadline_ms=5.0, fastest_ms=9.0)
            for _ in range(20)
        ]
        self.assertEqual([Reason.DEADLINE_TOO_SHORT] * 19, reasons[:19])
        self.assertIsNone(reasons[19])
