"""The coordinator's task: timers, lost members, refusals, counters."""

import unittest

from samphiredock import protocol
from standins import memory_searches
from standins import search_desk


class CoordinatorTest(unittest.IsolatedAsyncioTestCase):
    """One coordinator over scripted dispatchers."""

    def setUp(self) -> None:
        """Start the scripted tier."""
        self.tier = memory_searches.Tier(
            memory_searches.make_search(), search_desk.SEED, daemons=3
        )
        self.addCleanup(self.tier.close)
        self.daemon = self.tier.daemons['d2']

    async def test_answer_at_the_deadline_with_what_there_is(self) -> None:
        """A silent dispatcher costs its shards, not the whole answer.

        Half of the targets are behind it, there is no latency record yet
        and so no hedge: at the deadline the caller has the other half.
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

    async def test_end_answers_with_what_there_is(self) -> None:
        """A daemon that stops gives what it has, long before the deadline.

        Half of the targets are silent; were nothing answered yet, the
        caller would be told that the outcome is unknown.
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

    async def test_end_of_what_nobody_answered_is_unknown(self) -> None:
        """The targets may have begun it."""
        self.tier.targets.silent |= {'d0', 'd1'}
        search = self.tier.gather(
            self.daemon.coordinator.search(memory_searches.ask())
        )
        self.tier.clock.after(100.0, self.daemon.coordinator.finish_all)
        (outcome,) = await search
        self.assertIsInstance(outcome, protocol.Unknown)

    async def test_lost_member_is_retried_elsewhere(self) -> None:
        """When membership drops the silent dispatcher, others are asked.

        The first attempts stay with the daemon they were sent to; the
        targets have moved to another one meanwhile.
        """
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
        """A search frees its place, whatever its outcome."""
        requests = [memory_searches.ask(claimant=str(n)) for n in range(3)]
        await self.tier.gather(
            *[self.daemon.coordinator.search(row) for row in requests]
        )
        self.assertEqual(0, self.daemon.admission.in_flight())
        self.assertEqual(3, self.daemon.counters.total('search_outcomes'))
        self.assertEqual(24, self.daemon.counters.total('sub_queries_sent'))

    async def test_late_batch_is_counted(self) -> None:
        """Answers to a query that is over are dropped and counted."""
        answer = protocol.SubAnswer('a', 't0', protocol.SubStatus.ANSWERED, 1)
        late = protocol.SubAnswerBatch('gone', [answer])
        self.tier.network.send('d0', 'd2', late)
        await self.tier.move(1.0)
        self.assertEqual(1, self.daemon.counters.total('late_answers'))


class ReplicaChoiceTest(unittest.TestCase):
    """Which replica a shard's first attempt goes to."""

    def test_the_quicker_replica_gets_most_and_the_other_some(self) -> None:
        """A slow replica is avoided, but seen when it recovers."""
        replicas = search_desk.Desk().context.replicas
        for _ in range(50):
            for target, took_ms in (('fast', 2.0), ('slow', 40.0)):
                replicas.record_sent(target)
                replicas.record_ended(target, took_ms)
        chosen = [replicas.choose(['fast', 'slow']) for _ in range(2_000)]
        self.assertGreater(chosen.count('fast'), 1_900)
        self.assertGreater(chosen.count('slow'), 0)

    def test_work_in_flight_counts(self) -> None:
        """Equal replicas share a burst."""
        replicas = search_desk.Desk().context.replicas
        chosen = []
        for _ in range(100):
            chosen.append(replicas.choose(['a', 'b']))
            replicas.record_sent(chosen[-1])
        self.assertLess(abs(chosen.count('a') - 50), 6)
