"""An unrepeatable request runs at most once, whatever fails."""

import asyncio
import collections
import unittest
from unittest import mock

from samphiredock.coordination.once import _claim_bucket
from samphiredock.coordination.once import _claim_statuses
from samphiredock.coordination.once import _run_orders
from samphiredock import metrics
from samphiredock import protocol
from samphiredock.state import _claims
from samphiredock import transport
from standins import memory_platform
from standins import memory_runners
from tests import history_runs
from tests import simulation_runs

_SIMULATIONS = 30
_KEY = 'payout-7'
_Fault = memory_platform.Fault


class AtMostOnceTest(simulation_runs.RunnerTestCase):
    """Single failures, step by step."""

    def setUp(self) -> None:
        """Start two daemons; the targets answer."""
        super().setUp()
        self.system.set_behaviours('answer')

    async def run_request(
        self, daemon: memory_runners.Daemon, **request: object
    ) -> protocol.RunOutcome:
        """Send the request to a daemon; return its outcome."""
        call = self.system.call(daemon, _KEY, **request)
        return await self.system.outcome(call)

    async def freeze_after_claim(self) -> asyncio.Task:
        """Freeze the first daemon once its claim is in the store."""
        call = self.system.call(self.first, _KEY)
        await self.system.clock.pass_ms(
            1_000, lambda: bool(self.system.store.objects)
        )
        self.first.host.frozen = True
        return call

    def use_one_bucket(self) -> None:
        """Place all keys in one bucket."""
        patch = mock.patch.object(_claims, 'BUCKET_COUNT', 1)
        patch.start()
        self.addCleanup(patch.stop)

    def assert_completed(
        self, outcome: protocol.RunOutcome, times: int
    ) -> None:
        """Assert a completed outcome and the number of executions."""
        self.assertIsInstance(outcome, protocol.Completed)
        self.assertEqual(times, self.system.executions())

    async def test_lost_answer_then_killed_holder(self) -> None:
        """A claim whose holder was killed is never taken over.

        The put succeeds, its answer is lost and the holder is killed: whether
        it sent the request is unknown, so every retry is answered "unknown".
        """
        self.system.store.script.append(_Fault.LOST_AFTER)
        await self.freeze_after_claim()
        self.system.kill(self.first)
        for daemon in (self.second, self.system.start('entry-1')):
            outcome = await self.run_request(daemon)
            self.assertIsInstance(outcome, protocol.Unknown)
            self.assertEqual(1_000, outcome.retry_after_ms)
        self.assertEqual(0, self.system.executions())

    async def test_frozen_holder_wakes_within_its_deadline(self) -> None:
        """A holder frozen before sending may still send when it wakes.

        Its claim cannot have been taken over: a retry at another daemon
        meanwhile is answered "unknown", never "not run".
        """
        call = await self.freeze_after_claim()
        self.assertIsInstance(
            await self.run_request(self.second), protocol.Unknown
        )
        self.first.host.wake(self.system.random)
        self.assert_completed(await self.system.outcome(call), 1)
        self.assert_completed(await self.run_request(self.second), 1)

    async def test_frozen_holder_wakes_after_its_deadline(self) -> None:
        """A holder that wakes too late sends nothing and frees the key.

        Another daemon runs the request only after the holder has reported
        that it never sent it.
        """
        call = await self.freeze_after_claim()
        await self.system.clock.pass_ms(5_000)
        self.assertIsInstance(
            await self.run_request(self.second), protocol.Unknown
        )
        self.first.host.wake(self.system.random)
        await self.assert_outcome_type(call, protocol.NotRun)
        self.assertEqual(0, self.system.executions())
        self.assert_completed(await self.run_request(self.second), 1)

    async def test_holder_killed_between_send_and_record(self) -> None:
        """A holder killed before recording leaves every retry "unknown".

        The target runs the request while the store is down.
        """
        call = self.system.call(self.first, _KEY)
        await self.system.wait_executed()
        self.system.store.outage = True
        self.assert_completed(await self.system.outcome(call), 1)
        await self.system.clock.pass_ms(50)
        self.system.kill(self.first)
        self.system.store.outage = False
        for daemon in (self.second, self.system.start('entry-1')):
            outcome = await self.run_request(daemon)
            self.assertIsInstance(outcome, protocol.Unknown)
        self.assertEqual(1, self.system.executions())

    async def test_same_instant(self) -> None:
        """Four concurrent callers at two daemons share one execution.

        One daemon gets the claim, the other asks it and waits; a second call
        at a daemon joins the first.
        """
        calls = [
            self.system.call(daemon, _KEY, deadline_ms=5_000)
            for daemon in (self.first, self.second) * 2
        ]
        outcomes = [await self.system.outcome(call) for call in calls]
        self.assert_completed(outcomes[0], 1)
        self.assertEqual(1, len({str(row.result) for row in outcomes}))
        replayed = [outcome.replayed for outcome in outcomes]
        self.assertEqual([False, True, True, True], sorted(replayed))

    async def test_retry_with_a_new_issue_time(self) -> None:
        """A retry whose key is issued anew gets the first receipt.

        The retries reach another daemon, seconds and hours later.
        """
        self.assert_completed(await self.run_request(self.first), 1)
        for pause_ms in (6_000, 20 * 3_600_000):
            await self.system.clock.pass_ms(pause_ms)
            self.assert_completed(await self.run_request(self.second), 1)

    async def test_key_with_another_body(self) -> None:
        """A request that uses a key with another body is refused.

        It is refused while the first request runs and afterwards. The refusal
        says that the second request was not run.
        """
        call = await self.freeze_after_claim()
        self.first.host.wake(self.system.random)
        for daemon in (self.first, self.second, self.second):
            outcome = await self.run_request(daemon, body='household-8')
            self.assertIs(protocol.NotRunReason.KEY_REUSED, outcome.reason)
            self.assertIn('this request', outcome.detail)
        self.assert_completed(await self.system.outcome(call), 1)

    async def test_given_up_claim_passes_on(self) -> None:
        """An abandoned claim passes to another daemon, which runs the request.

        The put succeeds, its answer is lost and the store goes down: the first
        daemon refuses and never sends, but its open claim is in the store.
        """
        self.system.store.script.append(_Fault.LOST_AFTER)
        call = await self.freeze_after_claim()
        self.system.store.outage = True
        self.first.host.wake(self.system.random)
        await self.assert_outcome_type(call, protocol.NotRun)
        await self.system.clock.pass_ms(50)
        self.system.store.outage = False
        self.assert_completed(await self.run_request(self.second), 1)
        self.assertEqual(1, self.metrics.total('claims_passed_on'))
        self.assert_completed(await self.run_request(self.first), 1)

    async def assert_refused_and_freed(
        self, fault: memory_platform.Fault
    ) -> None:
        """Assert that a put with a wrong answer leaves the key usable."""
        self.system.store.script.append(fault)
        call = await self.freeze_after_claim()
        self.system.store.outage = True
        self.first.host.wake(self.system.random)
        await self.assert_outcome_type(call, protocol.NotRun)
        self.system.store.outage = False
        await self.system.clock.pass_ms(3_000)
        self.system.kill(self.first)
        self.assert_completed(await self.run_request(self.second), 1)

    async def test_conflict_with_the_own_put(self) -> None:
        """A claim written by a put that reported a conflict is freed.

        The HTTP client repeats the put after a lost connection and conflicts
        with its own first one; then the store goes down.
        """
        await self.assert_refused_and_freed(_Fault.CONFLICT_AFTER)

    async def test_outage_after_the_own_put(self) -> None:
        """A claim written by a put that reported an outage is freed.

        As above, but the repeated put meets an outage.
        """
        await self.assert_refused_and_freed(_Fault.OUTAGE_AFTER)

    async def test_put_that_arrives_late(self) -> None:
        """A put that arrives after its caller was refused blocks nobody.

        The closed claim is written first, so that the late put fails on the
        object's version.
        """
        self.system.store.script.append(_Fault.LATE)
        self.first.host.frozen = False
        outcome = await self.run_request(self.first, deadline_ms=3)
        self.assertIsInstance(outcome, protocol.NotRun)
        await self.system.clock.pass_ms(1_000)
        self.assertEqual(0, self.first.runner.unrecorded_count())
        self.system.kill(self.first)
        self.assert_completed(await self.run_request(self.second), 1)

    async def test_late_report_is_read_by_the_retry(self) -> None:
        """A report that comes after the deadline is recorded for the retry.

        The first caller is answered "unknown".
        """
        self.system.set_behaviours('late')
        first = await self.run_request(self.first, deadline_ms=400)
        self.assertIsInstance(first, protocol.Unknown)
        await self.system.clock.pass_ms(5_000)
        self.system.kill(self.first)
        self.assert_completed(await self.run_request(self.second), 1)

    async def test_conflicts_on_one_bucket(self) -> None:
        """Forty requests on one bucket each run once despite conflicts.

        Two of three puts conflict and are retried with backoff.
        """
        self.system.store.chances = {_Fault.CONFLICT: 0.66}
        self.use_one_bucket()
        keys = [f'batch-{number}' for number in range(40)]
        calls = [
            self.system.call(
                (self.first, self.second)[number % 2], key, deadline_ms=9_000
            )
            for number, key in enumerate(keys)
        ]
        for call in calls:
            await self.assert_outcome_type(call, protocol.Completed)
        self.assertEqual(40, self.system.executions())
        self.assertGreater(self.metrics.total('claim_conflicts'), 2)

    async def test_bucket_near_the_value_limit(self) -> None:
        """A claim without room in its bucket is refused.

        The outcomes of the other claims are recorded, and the object stays
        below the store's value limit.
        """
        self.use_one_bucket()
        keys = [f'batch-{number}' for number in range(240)]
        self.system.set_behaviours('unread')
        calls = [self.system.call(self.first, key) for key in keys]
        outcomes = [await self.system.outcome(call) for call in calls]
        refused = [
            outcome
            for outcome in outcomes
            if isinstance(outcome, protocol.NotRun)
        ]
        self.assertTrue(0 < len(refused) < 50, len(refused))
        self.assertEqual({'overloaded'}, {row.reason.value for row in refused})
        sizes = [
            len(found.value) for found in self.system.store.objects.values()
        ]
        self.assertLess(max(sizes), transport.VALUE_LIMIT_BYTES)


class FaultSimulationTest(unittest.TestCase):
    """Random faults from a seed."""

    def setUp(self) -> None:
        """Make the claims of different keys share objects."""
        patch = mock.patch.object(_claims, 'BUCKET_COUNT', 2)
        patch.start()
        self.addCleanup(patch.stop)

    def simulate(
        self, count: int, stop_at_first: bool = False
    ) -> tuple[list[str], collections.Counter[str]]:
        """Run simulations; return the violations and counts of events."""
        counters = metrics.Metrics('test')
        found: list[str] = []
        counts: collections.Counter[str] = collections.Counter()
        for number in range(count):
            simulation = simulation_runs.FaultSimulation(
                simulation_runs.SEED + number, counters
            )
            asyncio.run(simulation.run())
            system = simulation.system
            found += [
                f'seed {simulation_runs.SEED + number}: {text}'
                for text in history_runs.violations(system.history)
            ]
            if found and stop_at_first:
                break
            counts.update(system.faults)
            counts['message lost'] += system.network.faults['loss']
            counts.update(
                {key.value: n for key, n in system.store.faults.items()}
            )
            for event in system.history:
                counts[type(event).__name__] += 1
                outcome = getattr(event, 'outcome', None)
                counts[type(outcome).__name__] += outcome is not None
        counters.close()
        return found, counts

    def test_random_faults(self) -> None:
        """Under random faults each key runs once and all answers agree.

        Daemons freeze, wake and are killed; the store fails, loses answers,
        conflicts and returns stale objects; dispatchers are silent, late or
        break; messages are lost.
        """
        found, counts = self.simulate(_SIMULATIONS)
        print(f'simulations from seed {simulation_runs.SEED}: {dict(counts)}')
        self.assertEqual([], found)
        self.assertGreater(counts['Called'], 1_000)
        self.assertGreater(counts['Executed'], 200)
        for kind in ('Completed', 'NotRun', 'Unknown', 'freeze', 'kill'):
            self.assertGreater(counts[kind], 50, kind)
        for fault in _Fault:
            self.assertGreater(counts[fault.value], 10, fault)

    def test_each_missing_safeguard_is_detected(self) -> None:
        """With a safeguard disabled, the simulations find a violation."""
        for name, disabled in _SAFEGUARDS.items():
            with self.subTest(name), disabled():
                found, _ = self.simulate(_SIMULATIONS, True)
                self.assertTrue(found, f'{name}: no violation found')


def _take_over_from_silent_holders() -> mock.Mock:
    async def ask(
        statuses: object, token: str, until_ms: float
    ) -> protocol.ClaimAnswer:
        return protocol.ClaimAnswer(token, protocol.ClaimStatus.NEVER_SENT)

    return mock.patch.object(_claim_statuses.ClaimStatuses, 'ask', ask)


def _treat_lost_puts_as_written() -> mock.Mock:
    put = _claim_bucket.BucketWriter._put

    async def put_without_read_back(
        writer: object, *arguments: object
    ) -> transport.StoreError | None:
        error = await put(writer, *arguments)
        is_lost = error and error.kind is transport.StoreErrorKind.LOST
        return None if is_lost else error

    return mock.patch.object(
        _claim_bucket.BucketWriter, '_put', put_without_read_back
    )


def _treat_failures_as_proof() -> mock.Mock:
    def proves(report: protocol.RunReport) -> bool:
        return report.status is not protocol.SubStatus.ANSWERED

    return mock.patch.object(_run_orders, 'proves_not_begun', proves)


_SAFEGUARDS = {
    'silent holders keep their claims': _take_over_from_silent_holders,
    'a lost put is read back': _treat_lost_puts_as_written,
    'another target is tried only after proof': _treat_failures_as_proof,
}
