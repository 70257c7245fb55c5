"""A refusal that says "not run" means that the request was not run."""

from samphiredock import protocol
from standins import memory_runners
from tests import simulation_runs

_KEY = 'payout-7'
_Reason = protocol.NotRunReason


class _Quarantine:
    """Refuses after one lost target."""

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
    """What each failure after the claim lets a caller be told."""

    async def assert_not_run(
        self, reason: protocol.NotRunReason, **request: object
    ) -> None:
        """Assert a refusal by the first daemon, and that nothing ran."""
        call = self.system.call(self.first, _KEY, **request)
        outcome = await self.assert_told(call, protocol.NotRun)
        self.assertIs(reason, outcome.reason)
        self.assertEqual(0, self.system.executions())

    async def assert_outcome(
        self, kind: type, executions: int, **request: object
    ) -> None:
        """Assert the second daemon's outcome and the executions so far."""
        call = self.system.call(self.second, _KEY, **request)
        await self.assert_told(call, kind)
        self.assertEqual(executions, self.system.executions())

    async def test_store_down(self) -> None:
        """The caller is refused at once, and the retry runs.

        The claim cannot be written while the store is down, so nothing is
        sent; the refusal comes after one failed call, not at the deadline.
        """
        self.system.use('answer')
        self.system.store.outage = True
        before_ms = self.system.clock.now_ms()
        await self.assert_not_run(_Reason.PLATFORM_UNAVAILABLE)
        self.assertLess(self.system.clock.now_ms() - before_ms, 10)
        self.system.store.outage = False
        await self.assert_outcome(protocol.Completed, 1)

    async def test_store_silent(self) -> None:
        """Callers are refused at once, and a retry runs.

        The store takes calls and answers none.  The first request waits
        for it; then only one in a quarter of a second does.
        """
        self.system.use('answer')
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
        """The caller has its outcome at once; the retry reads it later.

        The store goes down between send and record; the daemon is told to
        leave, and stays until the outcome is recorded.
        """
        self.system.use('answer')
        call = self.system.call(self.first, _KEY)
        await self.system.executed()
        self.system.store.outage = True
        await self.assert_told(call, protocol.Completed)
        leaving = self.system.start_drain(self.first)
        await self.system.clock.pass_ms(3_000)
        self.assertFalse(leaving.done())
        self.system.store.outage = False
        self.assertEqual(0, await self.system.outcome(leaving))
        self.system.kill(self.first)
        await self.assert_outcome(protocol.Completed, 1)

    async def test_drain_is_bounded(self) -> None:
        """A store that stays down does not keep a daemon for ever.

        It refuses new requests meanwhile, and says what it leaves.
        """
        self.system.use('answer')
        call = self.system.call(self.first, 'payout-1')
        await self.system.executed()
        self.system.store.outage = True
        await self.system.outcome(call)
        leaving = self.system.start_drain(self.first)
        refused = self.system.call(self.first, _KEY)
        outcome = await self.system.outcome(refused)
        self.assertIs(_Reason.SHUTTING_DOWN, outcome.reason)
        self.assertEqual(1, await self.system.outcome(leaving, 20_000))

    async def test_dispatcher_frozen_with_the_order(self) -> None:
        """The caller reads "unknown", never "not run".

        The dispatcher has the order and does not read the cancel; it wakes
        long after the caller's deadline and runs the request.
        """
        self.system.use('frozen')
        await self.assert_outcome(protocol.Unknown, 0, deadline_ms=300)
        await self.system.clock.pass_ms(7_000)
        await self.assert_outcome(protocol.Completed, 1)

    async def test_cancel_proved(self) -> None:
        """The caller is refused truthfully, and the key is free again.

        Both dispatchers keep the order in their queues; each confirms that
        it dropped it.  The retry at another daemon runs.
        """
        self.system.use('queue')
        for dispatcher in self.system.dispatchers:
            dispatcher.queue_ms = 60_000
        await self.assert_not_run(_Reason.OVERLOADED)
        self.system.use('answer')
        await self.assert_outcome(protocol.Completed, 1)
        await self.system.clock.pass_ms(60_000)
        self.assertEqual(1, self.system.executions())

    async def test_cancel_lost(self) -> None:
        """The caller reads "unknown", and a late run is recorded.

        The order waits in the dispatcher's queue; the cancel never comes.
        """
        self.system.use('queue')
        for dispatcher in self.system.dispatchers:
            dispatcher.deaf_to_cancels = True
        await self.assert_outcome(protocol.Unknown, 0, deadline_ms=40)
        await self.system.clock.pass_ms(5_000)
        await self.assert_outcome(protocol.Completed, 1)

    async def test_broken_connection(self) -> None:
        """The caller reads "unknown", whether or not the target ran it.

        The connection broke under the request, and no other target is
        tried.
        """
        for behaviour, executions in (('break', 0), ('break-after', 1)):
            self.system.use(behaviour)
            call = self.system.call(self.first, behaviour)
            await self.assert_told(call, protocol.Unknown)
            self.assertEqual(executions, self.system.executions())

    async def test_refused_by_every_target(self) -> None:
        """The caller is refused after each target was tried once.

        A report that proves that nothing began allows another target, and
        a later retry.
        """
        self.system.use('refuse')
        await self.assert_not_run(_Reason.OVERLOADED)
        orders = [len(row.orders) for row in self.system.dispatchers]
        self.assertEqual([1, 1], orders)
        self.system.use('answer')
        await self.assert_outcome(protocol.Completed, 1)

    async def test_no_dispatcher_and_no_target(self) -> None:
        """The caller is refused; the order never left."""
        self.system.view.owner = lambda target: None
        await self.assert_not_run(_Reason.NO_TARGET)
        self.system.view.unusable = set(memory_runners.TARGETS)
        await self.assert_not_run(_Reason.NO_TARGET)

    async def test_caller_cut_off(self) -> None:
        """The retry reads the outcome of the request it gave up.

        The balancer drops the caller's connection under the request; the
        daemon goes on with it.
        """
        self.system.use('answer')
        call = self.system.call(self.first, _KEY)
        await self.system.clock.pass_ms(2)
        call.cancel()
        await self.assert_outcome(protocol.Completed, 1)

    async def test_key_too_old_or_from_the_future(self) -> None:
        """The caller is refused, for its claim may have been deleted."""
        now_ms = self.system.clock.wall_ms()
        limits = self.system.view.configuration.limits
        for age_ms in (limits.key_retention_ms + 1, -400_000):
            await self.assert_not_run(
                _Reason.STALE_KEY, issued_at_ms=now_ms - age_ms
            )

    async def test_quarantined(self) -> None:
        """A request that cost a target is refused before it is claimed."""
        quarantine = _Quarantine()
        daemon = self.system.start('entry-3', quarantine)
        self.system.use('lose-target')
        call = self.system.call(daemon, _KEY)
        await self.assert_told(call, protocol.Unknown)
        self.assertEqual(1, len(quarantine.lost))
        writes = self.system.store.calls['put']
        outcome = await self.system.outcome(self.system.call(daemon, 'new'))
        self.assertIs(_Reason.QUARANTINED, outcome.reason)
        self.assertEqual(writes, self.system.store.calls['put'])
