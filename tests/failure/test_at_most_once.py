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
    """Single failures, driven step by step."""

    def setUp(self) -> None:
        """Have the targets answer."""
        super().setUp()
        self.system.use('answer')

    async def run_request(
        self, daemon: memory_runners.Daemon, **request: object
    ) -> protocol.RunOutcome:
        """Return a daemon's outcome of the one request."""
        call = self.system.call(daemon, _KEY, **request)
        return await self.system.outcome(call)

    async def freeze_after_claim(self) -> asyncio.Task:
        """Freeze the first daemon when its claim is in the store."""
        call = self.system.call(self.first, _KEY)
        await self.system.clock.pass_ms(
            1_000, lambda: bool(self.system.store.objects)
        )
        self.first.host.frozen = True
        return call

    def use_one_bucket(self) -> None:
        """Place every key in the same bucket."""
        patch = mock.patch.object(_claims, 'BUCKET_COUNT', 1)
        patch.start()
        self.addCleanup(patch.stop)

    def assert_completed(
        self, outcome: protocol.RunOutcome, times: int
    ) -> None:
        """Assert an outcome of a run, and the number of executions."""
        self.assertIsInstance(outcome, protocol.Completed)
        self.assertEqual(times, self.system.executions())

    async def test_lost_answer_then_killed_holder(self) -> None:
        """The second caller reads "unknown", and nothing ever runs.

        The claim takes effect, the store's answer is lost, the daemon is
        killed.  Nobody can tell whether it had sent the request, so the
        claim stays in the way for good.
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
        """The caller of the retry reads "unknown", never "not run".

        The holder freezes between claim and send; the balancer sends the
        caller's retry to another daemon; the holder wakes and runs it.  It
        may: its claim cannot have been taken, and nobody was told that the
        request was not run.
        """
        call = await self.freeze_after_claim()
        self.assertIsInstance(
            await self.run_request(self.second), protocol.Unknown
        )
        self.first.host.wake(self.system.random)
        self.assert_completed(await self.system.outcome(call), 1)
        self.assert_completed(await self.run_request(self.second), 1)

    async def test_frozen_holder_wakes_after_its_deadline(self) -> None:
        """The holder sends nothing any more, and frees the key.

        It was frozen between claim and send for longer than its deadline.
        Only after it has said so does another daemon run the request.
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
        """Every retry reads "unknown", though the request did run.

        The target runs it while the store is down, and the daemon is
        killed before it can record the outcome.
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
        """Four callers read one receipt, of one run.

        Two daemons get the key in the same instant, from two callers each.
        One claim wins; the other daemon asks its holder and waits, and the
        second call at a daemon joins the first.
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
        """The retry reads the receipt of the first try.

        The caller keeps its key but issues it anew: seconds, then hours
        later, at another daemon.
        """
        self.assert_completed(await self.run_request(self.first), 1)
        for pause_ms in (6_000, 20 * 3_600_000):
            await self.system.clock.pass_ms(pause_ms)
            self.assert_completed(await self.run_request(self.second), 1)

    async def test_key_with_another_body(self) -> None:
        """The other request is refused while the first runs and after.

        Its refusal says that it is this request that was not run.
        """
        call = await self.freeze_after_claim()
        self.first.host.wake(self.system.random)
        for daemon in (self.first, self.second, self.second):
            outcome = await self.run_request(daemon, body='household-8')
            self.assertIs(protocol.NotRunReason.KEY_REUSED, outcome.reason)
            self.assertIn('this request', outcome.detail)
        self.assert_completed(await self.system.outcome(call), 1)

    async def test_given_up_claim_passes_on(self) -> None:
        """The retry runs at another daemon, once.

        The claim takes effect, its answer is lost, the store goes down:
        the first daemon refuses, and promises never to send.  When the
        store is back, the claim is found open; its holder is asked.
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
        """The caller is refused truthfully, and the retry runs.

        The HTTP client sends the put again after a lost connection, meets
        its own first one and reports a conflict; then the store goes down.
        The claim is in the store all the same, and must be freed.
        """
        await self.assert_refused_and_freed(_Fault.CONFLICT_AFTER)

    async def test_outage_after_the_own_put(self) -> None:
        """The caller is refused truthfully, and the retry runs.

        As above, but the second put meets an outage: the daemon reads that
        the store took nothing.
        """
        await self.assert_refused_and_freed(_Fault.OUTAGE_AFTER)

    async def test_put_that_arrives_late(self) -> None:
        """A refused claim that reaches the store afterwards stops nobody.

        The put is lost, the caller's deadline passes and it is told "not
        run"; the end of the claim is written all the same, so that the put
        fails on the object's version when it arrives.
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
        """The first caller reads "unknown", the retry the receipt.

        The target runs the request and its report comes after the
        deadline; the holder records it then.
        """
        self.system.use('late')
        first = await self.run_request(self.first, deadline_ms=400)
        self.assertIsInstance(first, protocol.Unknown)
        await self.system.clock.pass_ms(5_000)
        self.system.kill(self.first)
        self.assert_completed(await self.run_request(self.second), 1)

    async def test_conflicts_on_one_bucket(self) -> None:
        """Forty requests on one bucket all run, each once.

        Another writer is ahead of two puts of three; the puts are tried
        again within the deadlines, after growing pauses.
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
        """A claim that finds no room is refused; the others stay.

        The outcomes of all open claims are recorded, and the object stays
        below the store's limit.
        """
        self.use_one_bucket()
        keys = [f'batch-{number}' for number in range(240)]
        self.system.use('unread')
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
    """Many failures at once, from a seed."""

    def setUp(self) -> None:
        """Let the claims of different keys meet in the same objects."""
        patch = mock.patch.object(_claims, 'BUCKET_COUNT', 2)
        patch.start()
        self.addCleanup(patch.stop)

    def simulate(
        self, count: int, stop_at_first: bool = False
    ) -> tuple[list[str], collections.Counter[str]]:
        """Return the violations of some simulate and their ingredients."""
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
            counts['message lost'] += system.hub.faults['loss']
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
        """Callers retry at every daemon while nearly everything fails.

        Daemons freeze, wake and are killed; the store is out, loses
        answers, conflicts, reads stale; dispatchers are silent, late or
        break; messages are lost.  Each key runs once at most, and what
        callers were told agrees with it.
        """
        found, counts = self.simulate(_SIMULATIONS)
        print(f'simulate from seed {simulation_runs.SEED}: {dict(counts)}')
        self.assertEqual([], found)
        self.assertGreater(counts['Called'], 1_000)
        self.assertGreater(counts['Executed'], 200)
        for kind in ('Completed', 'NotRun', 'Unknown', 'freeze', 'kill'):
            self.assertGreater(counts[kind], 50, kind)
        for fault in _Fault:
            self.assertGreater(counts[fault.value], 10, fault)

    def test_each_missing_safeguard_is_detected(self) -> None:
        """With a safeguard switched off, the same simulate see a breach."""
        for name, switched_off in _SAFEGUARDS.items():
            with self.subTest(name), switched_off():
                found, _ = self.simulate(_SIMULATIONS, True)
                self.assertTrue(found, f'{name}: no breach seen')


def _take_over_from_silent_holders() -> mock.Mock:
    async def run_request(
        holders: object, token: str, until_ms: float
    ) -> protocol.ClaimAnswer:
        return protocol.ClaimAnswer(token, protocol.ClaimStatus.NEVER_SENT)

    return mock.patch.object(
        _claim_statuses.ClaimStatuses, 'run_request', run_request
    )


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
    'claims are not taken from silent holders': _take_over_from_silent_holders,
    'a lost put is read back': _treat_lost_puts_as_written,
    'only proof leads to another target': _treat_failures_as_proof,
}
