"""Tests of the phases of a graceful shutdown."""

import unittest

from samphiredock.daemon import _shutdown

Phase = _shutdown.Phase


class ShutdownTest(unittest.TestCase):
    """The phases after signals and ticks."""

    def setUp(self) -> None:
        self.phases: list[Phase] = []
        self.shutdown = _shutdown.Shutdown(
            2_000.0, 30_000.0, self.phases.append
        )

    def assert_phases(self, *expected: Phase) -> None:
        """Check which phases have been entered so far."""
        self.assertEqual(list(expected), self.phases)

    def test_idle_daemon_still_serves_for_the_balancers_lag(self) -> None:
        """The balancer sends requests until it next polls the readiness.

        A daemon that stopped as soon as it was idle would refuse them.
        """
        self.shutdown.on_signal(0.0)
        self.shutdown.on_tick(1_999.0, 0)
        self.assert_phases(Phase.LEAVING)
        self.shutdown.on_tick(2_000.0, 0)
        self.assert_phases(Phase.LEAVING, Phase.DRAINING, Phase.CLOSED)

    def test_requests_in_flight_delay_the_stop(self) -> None:
        self.shutdown.on_signal(0.0)
        self.shutdown.on_tick(2_500.0, 1)
        self.assert_phases(Phase.LEAVING, Phase.DRAINING)
        self.shutdown.on_tick(29_999.0, 1)
        self.assert_phases(Phase.LEAVING, Phase.DRAINING)
        self.shutdown.on_tick(29_999.5, 0)
        self.assertIs(Phase.CLOSED, self.shutdown.phase)

    def test_the_limit_ends_it(self) -> None:
        self.shutdown.on_signal(0.0)
        self.shutdown.on_tick(30_000.0, 3)
        self.assert_phases(Phase.LEAVING, Phase.CLOSED)

    def test_second_signal_shortens_and_third_stops(self) -> None:
        self.shutdown.on_signal(0.0)
        self.shutdown.on_signal(100.0)
        self.assert_phases(Phase.LEAVING, Phase.DRAINING)
        self.shutdown.on_tick(1_099.0, 1)
        self.assertIs(Phase.DRAINING, self.shutdown.phase)
        self.shutdown.on_tick(1_100.0, 1)
        self.assertIs(Phase.CLOSED, self.shutdown.phase)

    def test_closes_before_the_limit(self) -> None:
        """Otherwise callers that keep sending would get no reply at the limit.

        They leave the daemon no idle moment.
        """
        shutdown = _shutdown.Shutdown(
            2_000.0, 30_000.0, self.phases.append, 1_000.0
        )
        shutdown.on_signal(0.0)
        shutdown.on_tick(28_999.0, 5)
        self.assert_phases(Phase.LEAVING, Phase.DRAINING)
        shutdown.on_tick(29_000.0, 5)
        self.assertIs(Phase.CLOSED, shutdown.phase)
        self.assertEqual(1_000.0, shutdown.left_ms(29_000.0))

    def test_early_close_waits_for_the_balancer(self) -> None:
        """Requests that the balancer still sends must not be refused."""
        shutdown = _shutdown.Shutdown(
            2_000.0, 2_500.0, self.phases.append, 1_000.0
        )
        shutdown.on_signal(0.0)
        shutdown.on_tick(1_999.0, 5)
        self.assert_phases(Phase.LEAVING)
        shutdown.on_tick(2_000.0, 5)
        self.assertIs(Phase.CLOSED, shutdown.phase)

    def test_ticks_before_a_signal_change_nothing(self) -> None:
        self.shutdown.on_tick(1e9, 0)
        self.assert_phases()
