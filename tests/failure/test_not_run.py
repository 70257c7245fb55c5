"""A request answered "not run" was not run by any target."""

from samphiredock import protocol
from standins import memory_runners
from tests import simulation_runs

_KEY = 'payout-7'
_Reason = protocol.NotRunReason


class _Quarantine:
    """Refuses every request after one lost target."""

    def __init__(self) -> None:
        self.lost: list[str] = []

    def refusal(self, fingerprint: str) -> protocol.NotRun | None:
        if not self.lost:
            return None
        return protocol.NotRun(_Reason.QUARANTINED, 'crashed', 60_000)

    def record_loss(self, fingerprint: str, target: str) -> None:
        self.lost.append(target)

    def record_success(self, fingerprint: str) -> None:
        pass


class NotRunTest(simulation_runs.RunnerTestCase):
    """The outcome for each failure after the claim."""

    async def assert_not_run(
        self, reason: protocol.NotRunReason, **request: object
    ) -> None:
        """Assert that the first daemon refuses and nothing runs."""
        call = self.system.call(self.first, _KEY, **request)
        outcome = await self.assert_outcome_type(call, protocol.NotRun)
        self.assertIs(reason, outcome.reason)
        self.assertEqual(0, self.system.executions())

    async def assert_outcome(
        self, kind: type, executions: int, **request: object
    ) -> None:
        """Assert the second daemon's outcome and the executions so far."""
        call = self.system.call(self.second, _KEY, **request)
        await self.assert_outcome_type(call, kind)
        self.assertEqual(executions, self.system.executions())

    async def test_store_down(self) -> None:
        """A request is refused after one failed call, not at its deadline.

        No claim can be written while the store is down; the retry runs.
        """
        self.system.set_behaviours('answer')
        self.system.store.outage = True
        before_ms = self.system.clock.now_ms()
        await self.assert_not_run(_Reason.PLATFORM_UNAVAILABLE)
        self.assertLess(self.system.clock.now_ms() - before_ms, 10)
        self.system.store.outage = False
        await self.assert_outcome(protocol.Completed, 1)

    async def test_store_silent(self) -> None:
        """A silent store does not hold every request until its deadline.

        After the first requests only probes are sent to it; the others are
        refused at once.
        """
        self.system.set_behaviours('answer')
        self.system.store.silent = True
        await self.assert_not_run(_Reason.OVERLOADED, deadline_ms=1_100)
        await self.assert_not_run(_Reason.OVERLOADED, deadline_ms=100)
        before_ms = self.system.clock.now_ms()
        await self.assert_not_run(_Reason.PLATFORM_UNAVAILABLE)
        self.assertLess(self.system.clock.now_ms() - before_ms, 10)
        self.system.store.silent = False
        await self.system.clock.pass_ms(200)
        await self.assert_outcome(protocol.Completed, 1)

    async def test_store_down_after_the_run(self) -> None:
        """A drain waits until an outcome is recorded in a store that was down.

        The caller has its outcome at once; the retry reads it later.
        """
        self.system.set_behaviours('answer')
        call = self.system.call(self.first, _KEY)
        await self.system.wait_executed()
        self.system.store.outage = True
        await self.assert_outcome_type(call, protocol.Completed)
        drain = self.system.start_drain(self.first)
        await self.system.clock.pass_ms(3_000)
        self.assertFalse(drain.done())
        self.system.store.outage = False
        self.assertEqual(0, await self.system.outcome(drain))
        self.system.kill(self.first)
        await self.assert_outcome(protocol.Completed, 1)

    async def test_drain_is_bounded(self) -> None:
        """A drain ends although the store stays down.

        Meanwhile new requests are refused; the drain returns what is
        unrecorded.
        """
        self.system.set_behaviours('answer')
        call = self.system.call(self.first, 'payout-1')
        await self.system.wait_executed()
        self.system.store.outage = True
        await self.system.outcome(call)
        drain = self.system.start_drain(self.first)
        refused = self.system.call(self.first, _KEY)
        outcome = await self.system.outcome(refused)
        self.assertIs(_Reason.SHUTTING_DOWN, outcome.reason)
        self.assertEqual(1, await self.system.outcome(drain, 20_000))

    async def test_dispatcher_frozen_with_the_order(self) -> None:
        """A request that a frozen dispatcher may still run is "unknown".

        The dispatcher wakes long after the deadline and runs the request.
        """
        self.system.set_behaviours('frozen')
        await self.assert_outcome(protocol.Unknown, 0, deadline_ms=300)
        await self.system.clock.pass_ms(7_000)
        await self.assert_outcome(protocol.Completed, 1)

    async def test_cancel_proved(self) -> None:
        """A confirmed cancel is answered "not run" and frees the key.

        Both dispatchers confirm that they dropped the order from their queues.
        """
        self.system.set_behaviours('queue')
        for dispatcher in self.system.dispatchers:
            dispatcher.queue_ms = 60_000
        await self.assert_not_run(_Reason.OVERLOADED)
        self.system.set_behaviours('answer')
        await self.assert_outcome(protocol.Completed, 1)
        await self.system.clock.pass_ms(60_000)
        self.assertEqual(1, self.system.executions())

    async def test_cancel_lost(self) -> None:
        """A lost cancel is answered "unknown"; the late run is recorded.

        The order waits in the dispatcher's queue.
        """
        self.system.set_behaviours('queue')
        for dispatcher in self.system.dispatchers:
            dispatcher.ignores_cancels = True
        await self.assert_outcome(protocol.Unknown, 0, deadline_ms=40)
        await self.system.clock.pass_ms(5_000)
        await self.assert_outcome(protocol.Completed, 1)

    async def test_broken_connection(self) -> None:
        """A broken connection is answered "unknown", run or not.

        No other target is tried.
        """
        for behaviour, executions in (('break', 0), ('break-after', 1)):
            self.system.set_behaviours(behaviour)
            call = self.system.call(self.first, behaviour)
            await self.assert_outcome_type(call, protocol.Unknown)
            self.assertEqual(executions, self.system.executions())

    async def test_refused_by_every_target(self) -> None:
        """Each target is tried once if reports prove that none began.

        The caller is refused, and a later retry runs.
        """
        self.system.set_behaviours('refuse')
        await self.assert_not_run(_Reason.OVERLOADED)
        orders = [len(row.orders) for row in self.system.dispatchers]
        self.assertEqual([1, 1], orders)
        self.system.set_behaviours('answer')
        await self.assert_outcome(protocol.Completed, 1)

    async def test_no_dispatcher_and_no_target(self) -> None:
        """A request for which no order can be sent is refused."""
        self.system.view.owner = lambda target: None
        await self.assert_not_run(_Reason.NO_TARGET)
        self.system.view.unusable = set(memory_runners.TARGETS)
        await self.assert_not_run(_Reason.NO_TARGET)

    async def test_caller_cut_off(self) -> None:
        """A request goes on when its caller disconnects.

        The retry gets its outcome.
        """
        self.system.set_behaviours('answer')
        call = self.system.call(self.first, _KEY)
        await self.system.clock.pass_ms(2)
        call.cancel()
        await self.assert_outcome(protocol.Completed, 1)

    async def test_key_too_old_or_from_the_future(self) -> None:
        """A key whose claim may have been deleted is refused."""
        now_ms = self.system.clock.wall_ms()
        limits = self.system.view.configuration.limits
        for age_ms in (limits.key_retention_ms + 1, -400_000):
            await self.assert_not_run(
                _Reason.STALE_KEY, issued_at_ms=now_ms - age_ms
            )

    async def test_quarantined(self) -> None:
        """A quarantined request is refused before it is claimed."""
        quarantine = _Quarantine()
        daemon = self.system.start('entry-3', quarantine)
        self.system.set_behaviours('lose-target')
        call = self.system.call(daemon, _KEY)
        await self.assert_outcome_type(call, protocol.Unknown)
        self.assertEqual(1, len(quarantine.lost))
        writes = self.system.store.calls['put']
        outcome = await self.system.outcome(self.system.call(daemon, 'new'))
        self.assertIs(_Reason.QUARANTINED, outcome.reason)
        self.assertEqual(writes, self.system.store.calls['put'])
