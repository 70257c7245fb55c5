"""A stopped daemon answers each pending request with its true outcome."""

import asyncio
import unittest
from unittest import mock

from samphiredock import metrics
from samphiredock import protocol
from samphiredock.state import _claims
from standins import memory_runners
from tests import history_runs
from tests import simulation_runs

_KEY = 'payout-7'
_SIMULATIONS = 20
_EXIT_DELAY_MS = 1_000.0
"""Time between ``finish_all`` and the exit, to send answers and records."""
_Reason = protocol.NotRunReason


class StoppedRunsTest(simulation_runs.RunnerTestCase):
    """The first daemon finishes early, seconds before the deadline."""

    async def _finish_early(self, waited_ms: float, kind: type) -> object:
        """Call, then finish all requests after a while; return the outcome."""
        call = self.system.call(self.first, _KEY)
        await self.system.clock.pass_ms(waited_ms)
        self.assertFalse(call.done())
        before_ms = self.system.clock.now_ms()
        self.first.runner.finish_all()
        outcome = await self.assert_outcome_type(call, kind)
        self.assertLess(
            self.system.clock.now_ms() - before_ms,
            memory_runners.DEADLINE_MS / 2,
        )
        return outcome

    async def _assert_retry(self, kind: type, executions: int) -> None:
        """Assert the outcome at the second daemon and all executions."""
        call = self.system.call(self.second, _KEY)
        await self.assert_outcome_type(call, kind)
        await self.system.clock.pass_ms(60_000)
        self.assertEqual(executions, self.system.executions())

    async def test_begun(self) -> None:
        """A request that a target has begun is answered "unknown"."""
        self.system.set_behaviours('silent')
        await self._finish_early(50, protocol.Unknown)
        self.assertEqual(1, self.system.executions())

    async def test_queued_at_its_dispatcher(self) -> None:
        """A request whose cancel is confirmed is answered "not run".

        No second target is tried, as the daemon sends nothing any more.
        """
        self.system.set_behaviours('queue')
        for dispatcher in self.system.dispatchers:
            dispatcher.queue_ms = 60_000
        outcome = await self._finish_early(50, protocol.NotRun)
        self.assertIs(_Reason.SHUTTING_DOWN, outcome.reason)
        orders = [len(row.orders) for row in self.system.dispatchers]
        self.assertEqual(1, sum(orders))
        self.system.set_behaviours('answer')
        await self._assert_retry(protocol.Completed, 1)

    async def test_dispatcher_stopped_too(self) -> None:
        """A request whose cancel is not confirmed is answered "unknown".

        The dispatcher reads neither the order nor the cancel in time.
        """
        self.system.set_behaviours('queue')
        for dispatcher in self.system.dispatchers:
            dispatcher.ignores_cancels = True
            dispatcher.queue_ms = 60_000
        await self._finish_early(40, protocol.Unknown)

    async def test_store_silent(self) -> None:
        """A request without a granted claim is answered "not run".

        The claim may reach the store late, where the daemon closes it; the
        retry runs.
        """
        self.system.set_behaviours('answer')
        self.system.store.silent = True
        outcome = await self._finish_early(100, protocol.NotRun)
        self.assertIs(_Reason.SHUTTING_DOWN, outcome.reason)
        self.assertEqual(0, self.system.executions())
        self.system.store.silent = False
        await self.system.clock.pass_ms(5_000)
        await self._assert_retry(protocol.Completed, 1)

    async def test_another_holder_runs_it(self) -> None:
        """A request that another daemon may have run is answered "unknown"."""
        self.system.set_behaviours('silent')
        other = self.system.call(self.second, _KEY)
        await self.system.wait_executed()
        await self._finish_early(200, protocol.Unknown)
        await self.assert_outcome_type(other, protocol.Unknown)
        self.assertEqual(1, self.system.executions())

    async def test_two_callers_with_one_key(self) -> None:
        """Both callers get the same outcome."""
        self.system.set_behaviours('silent')
        calls = [self.system.call(self.first, _KEY) for _ in range(2)]
        await self.system.wait_executed()
        self.first.runner.finish_all()
        for call in calls:
            await self.assert_outcome_type(call, protocol.Unknown)
        self.assertEqual(1, self.system.executions())

    async def test_request_after_finish_all(self) -> None:
        """A request after ``finish_all`` is refused and not sent."""
        self.system.set_behaviours('answer')
        self.first.runner.finish_all()
        call = self.system.call(self.first, _KEY)
        outcome = await self.assert_outcome_type(call, protocol.NotRun)
        self.assertIs(_Reason.SHUTTING_DOWN, outcome.reason)
        await self._assert_retry(protocol.Completed, 1)


class _StopSimulation(simulation_runs.FaultSimulation):
    """Daemons finish their requests early and exit instead of being killed."""

    def _kill(self) -> None:
        daemon = self._random_daemon()
        daemon.runner.finish_all()
        self.system.faults['finish_all'] += 1
        self.system.clock.after(_EXIT_DELAY_MS, lambda: self._exit(daemon))

    def _exit(self, daemon: memory_runners.Daemon) -> None:
        if self.system.daemons[daemon.name] is daemon:
            self.system.kill(daemon)
            self.system.start(daemon.name)


class StopSimulationTest(unittest.TestCase):
    """Random faults from a seed while daemons are stopped."""

    def test_random_faults(self) -> None:
        """Each key runs at most once, and answers at a stop agree with that.

        Callers retry at every daemon.
        """
        counters = metrics.Metrics('test')
        self.addCleanup(counters.close)
        found: list[str] = []
        stops = refused = 0
        with mock.patch.object(_claims, 'BUCKET_COUNT', 2):
            for number in range(_SIMULATIONS):
                seed = simulation_runs.SEED + number
                simulation = _StopSimulation(seed, counters)
                asyncio.run(simulation.run())
                history = simulation.system.history
                found += [
                    f'seed {seed}: {text}'
                    for text in history_runs.violations(history)
                ]
                stops += simulation.system.faults['finish_all']
                refused += sum(
                    isinstance(outcome, protocol.NotRun)
                    and outcome.reason is _Reason.SHUTTING_DOWN
                    for outcome in (
                        getattr(event, 'outcome', None) for event in history
                    )
                )
        self.assertEqual([], found)
        self.assertGreater(stops, 30)
        self.assertGreater(refused, 30)
