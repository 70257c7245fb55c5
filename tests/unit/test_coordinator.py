"""The coordinator: timers, lost members, shutdown and counters."""

import unittest

from samphiredock import protocol
from standins import memory_searches
from standins import scatter_harness


class CoordinatorTest(unittest.IsolatedAsyncioTestCase):
    """One coordinator with scripted dispatchers."""

    def setUp(self) -> None:
        """Start the scripted tier."""
        self.tier = memory_searches.Tier(
            memory_searches.make_search(), scatter_harness.SEED, daemons=3
        )
        self.addCleanup(self.tier.close)
        self.daemon = self.tier.daemons['d2']

    async def test_answer_at_the_deadline_with_what_there_is(self) -> None:
        """A silent dispatcher must not cost the caller the whole answer.

        It owns half of the targets, so half of the key space is covered.
        """
        self.tier.targets.silent.add('d1')
        started_ms = self.tier.clock.now_ms()
        (outcome,) = await self.tier.gather(
            self.daemon.coordinator.search(memory_searches.ask())
        )
        self.assertIsInstance(outcome, protocol.Partial)
        self.assertEqual(0.5, outcome.coverage)
        took_ms = self.tier.clock.now_ms() - started_ms
        self.assertLessEqual(160.0, took_ms)
        self.assertLessEqual(took_ms, 162.0)
        self.assertEqual(0, self.daemon.coordinator.in_flight())

    async def test_finish_all_answers_with_what_there_is(self) -> None:
        """A daemon that stops returns what has been answered so far.

        Half of the targets are silent.
        """
        self.tier.targets.silent.add('d1')
        search = self.tier.gather(
            self.daemon.coordinator.search(memory_searches.ask())
        )
        started_ms = self.tier.clock.now_ms()
        self.tier.clock.after(100.0, self.daemon.coordinator.finish_all)
        (outcome,) = await search
        self.assertIsInstance(outcome, protocol.Partial)
        self.assertEqual(0.5, outcome.coverage)
        self.assertLess(self.tier.clock.now_ms() - started_ms, 102.0)
        self.assertEqual(0, self.daemon.coordinator.in_flight())

    async def test_finish_all_without_answers_is_unknown(self) -> None:
        """The outcome is unknown, since a target may have begun."""
        self.tier.targets.silent |= {'d0', 'd1'}
        search = self.tier.gather(
            self.daemon.coordinator.search(memory_searches.ask())
        )
        self.tier.clock.after(100.0, self.daemon.coordinator.finish_all)
        (outcome,) = await search
        self.assertIsInstance(outcome, protocol.Unknown)

    async def test_lost_member_is_retried_elsewhere(self) -> None:
        """Attempts of a lost dispatcher are sent to the new owner instead."""
        self.tier.targets.silent.add('d1')
        search = self.tier.gather(
            self.daemon.coordinator.search(memory_searches.ask())
        )
        self.tier.clock.after(20.0, self._lose)
        (outcome,) = await search
        self.assertIsInstance(outcome, protocol.Answered)
        self.assertLess(self.tier.clock.now_ms(), 1_100.0)

    def _lose(self) -> None:
        self.tier.owner = lambda target: 'd0'
        self.daemon.coordinator.on_member_lost('d1')

    async def test_admission_ends_with_the_search(self) -> None:
        """A search that has ended no longer counts as in flight."""
        requests = [memory_searches.ask(claimant=str(n)) for n in range(3)]
        await self.tier.gather(
            *[self.daemon.coordinator.search(request) for request in requests]
        )
        self.assertEqual(0, self.daemon.admission.in_flight())
        self.assertEqual(3, self.daemon.counters.total('search_outcomes'))
        self.assertEqual(24, self.daemon.counters.total('sub_queries_sent'))

    async def test_late_batch_is_counted(self) -> None:
        """Answers to a search that has ended are dropped and counted."""
        answer = protocol.SubAnswer('a', 't0', protocol.SubStatus.ANSWERED, 1)
        late = protocol.SubAnswerBatch('gone', [answer])
        self.tier.network.send('d0', 'd2', late)
        await self.tier.advance(1.0)
        self.assertEqual(1, self.daemon.counters.total('late_answers'))


class ReplicaChoiceTest(unittest.TestCase):
    """Which replica the first attempt on a shard goes to."""

    def test_the_quicker_replica_gets_most_and_the_other_some(self) -> None:
        """A slow replica gets few attempts, but enough to see it recover."""
        replicas = scatter_harness.ScatterHarness().context.replicas
        for _ in range(50):
            for target, took_ms in (('fast', 2.0), ('slow', 40.0)):
                replicas.record_sent(target)
                replicas.record_ended(target, took_ms)
        chosen = [replicas.choose(['fast', 'slow']) for _ in range(2_000)]
        self.assertGreater(chosen.count('fast'), 1_900)
        self.assertGreater(chosen.count('slow'), 0)

    def test_work_in_flight_counts(self) -> None:
        """A burst is spread over replicas of equal latency."""
        replicas = scatter_harness.ScatterHarness().context.replicas
        chosen = []
        for _ in range(100):
            chosen.append(replicas.choose(['a', 'b']))
            replicas.record_sent(chosen[-1])
        self.assertLess(abs(chosen.count('a') - 50), 6)
