"""Requests that crash every target that runs them, and are retried."""

import unittest

from samphiredock.coordination import forwarding
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import timers


def request(path: str = '/a/poison') -> protocol.ForwardRequest:
    """Return a caller's request."""
    return protocol.ForwardRequest('id', 'GET', 'h', path, (), b'', 500.0)


class CrashGuardTest(unittest.TestCase):
    """Two daemons that report lost targets to each other."""

    def setUp(self) -> None:
        """Connect two guards to each other."""
        self.clock = timers.ManualTimers()
        self.counters = metrics.Metrics('test')
        self.addCleanup(self.counters.close)
        self.guards: list[forwarding.CrashGuard] = []
        self.guards = [
            forwarding.CrashGuard(
                self.clock,
                self.counters,
                lambda loss, at=at: self.guards[1 - at].record_loss(loss),
            )
            for at in range(2)
        ]

    def _lose(
        self, guard: int, request_id: str, *targets: str, path: str = ''
    ) -> None:
        content = forwarding.fingerprint_of(request(path or '/a/poison'))
        for target in targets:
            loss = forwarding.Loss(content, request_id, target)
            self.guards[guard].report_loss(loss)

    def _refused(self, guard: int, path: str = '/a/poison') -> bool:
        refusal = self.guards[guard].refusal(request(path))
        return refusal is not None

    def test_a_content_that_crashes_twice_is_refused_everywhere(self) -> None:
        """Its caller retries it at another daemon.

        The first request loses three targets, the second one more; after that
        no daemon may send it.
        """
        self._lose(0, 'r1', 't1', 't2', 't3')
        self.assertFalse(self._refused(0))
        self.clock.advance(400.0)
        self._lose(1, 'r2', 't4')
        self.assertTrue(self._refused(0))
        self.assertTrue(self._refused(1))
        refusal = self.guards[0].refusal(request())
        self.assertIs(protocol.NotRunReason.QUARANTINED, refusal.reason)

    def test_one_outage_quarantines_nothing(self) -> None:
        """Many targets fail at once under innocent requests.

        Two callers had sent the same content, and both saw the failure.
        """
        for number in range(10):
            self._lose(0, 'r1', f't{number}')
            self._lose(1, 'r2', f't{number}')
            self.clock.advance(10.0)
        self.assertFalse(self._refused(0))

    def test_one_target_crashing_twice_quarantines_nothing(self) -> None:
        """The fault is the target's own."""
        self._lose(0, 'r1', 't1')
        self.clock.advance(1_000.0)
        self._lose(0, 'r2', 't1')
        self.assertFalse(self._refused(0))

    def test_other_contents_are_served(self) -> None:
        """Only the same method, host, path and body are refused."""
        self._lose(0, 'r1', 't1')
        self.clock.advance(1_000.0)
        self._lose(0, 'r2', 't2')
        self.assertTrue(self._refused(0))
        self.assertFalse(self._refused(0, '/a/other'))

    def test_quarantine_expires(self) -> None:
        """The targets may have been fixed meanwhile."""
        self._lose(0, 'r1', 't1')
        self.clock.advance(1_000.0)
        self._lose(0, 'r2', 't2')
        self.clock.advance(60_001.0)
        self.assertFalse(self._refused(0))
