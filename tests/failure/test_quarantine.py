"""A request that crashes targets is stopped; other requests are not."""

import unittest

from returns import result

from samphiredock import protocol
from standins import memory_searches
from standins import scatter_harness

Reason = protocol.NotRunReason

_POISON = memory_searches.ask(claimant='poison')
_HARMLESS = memory_searches.ask(claimant='household-7')


class QuarantineTest(unittest.IsolatedAsyncioTestCase):
    """Four daemons, sixteen targets, one request that crashes targets."""

    def setUp(self) -> None:
        """Start the scripted tier."""
        self.tier = self.start(memory_searches.make_search(canary=True))

    def start(self, search) -> memory_searches.Tier:
        """Return a tier that is closed when the test ends."""
        tier = memory_searches.Tier(search, scatter_harness.SEED)
        self.addCleanup(tier.close)
        return tier

    async def ask(self, name: str, *requests) -> list:
        """Send requests to one daemon at the same time."""
        daemon = self.tier.daemons[name]
        return await self.tier.gather(
            *[daemon.coordinator.search(request) for request in requests]
        )

    def assert_refused(self, outcome: protocol.SearchOutcome) -> None:
        """Check a refusal's reason, and that it has a retry time."""
        self.assertIsInstance(outcome, protocol.NotRun)
        self.assertIs(Reason.QUARANTINED, outcome.reason)
        self.assertGreater(outcome.retry_after_ms, 0)

    async def test_only_two_targets_crash(self) -> None:
        """After two crashes, further copies are refused at once.

        The copies are sent to every daemon ten times.
        """
        started_ms = self.tier.clock.now_ms()
        (first,) = await self.ask('d0', _POISON)
        self.assertIsInstance(first, protocol.Unknown)
        # Two service times and the pause between them, but no other wait.
        took_ms = self.tier.clock.now_ms() - started_ms
        self.assertLess(took_ms, 2 * memory_searches.SERVICE_MS + 30.0)
        await self.tier.advance(1.0)
        before_ms = self.tier.clock.now_ms()
        for name in list(self.tier.daemons) * 10:
            coordinator = self.tier.daemons[name].coordinator
            self.assert_refused(await coordinator.search(_POISON))
        self.assertEqual(before_ms, self.tier.clock.now_ms())
        self.assertEqual(2, len(self.tier.targets.dead))

    async def test_copies_at_the_same_time(self) -> None:
        """Twenty copies at the same time crash no more than two targets.

        All canaries go to the same target, since its choice depends on the
        content only.
        """
        copies = [
            daemon.coordinator.search(_POISON)
            for daemon in self.tier.daemons.values()
            for _ in range(5)
        ]
        await self.tier.gather(*copies)
        self.assertEqual(2, len(self.tier.targets.dead))

    async def test_content_without_canary_is_tried_alone(self) -> None:
        """Without a canary, only the targets of the first copy are lost.

        The copy is sent to all eight shards at once, then tried alone.
        """
        self.tier = self.start(memory_searches.make_search(canary=False))
        await self.ask('d0', _POISON)
        first = len(self.tier.targets.dead)
        for name in self.tier.daemons:
            await self.ask(name, _POISON)
        self.assertLessEqual(first, 8 + 2)
        self.assertEqual(first, len(self.tier.targets.dead))

    async def test_harmless_contents_are_answered(self) -> None:
        """Harmless contents at the same targets are answered, not refused.

        Some run alone in the second slot of a target that crashes.
        """
        for round_number in range(5):
            self.tier = self.start(memory_searches.make_search(canary=True))
            requests = [
                memory_searches.ask(claimant=f'household-{number}')
                for number in range(20)
            ]
            requests.insert(round_number * 4, _POISON)
            outcomes = await self.ask('d0', *requests)
            answered = [
                outcome
                for outcome in outcomes
                if isinstance(outcome, protocol.Answered)
            ]
            self.assertEqual(20, len(answered))
            self.assertEqual(2, len(self.tier.targets.dead))
            await self.tier.advance(5_000.0)
            for daemon in self.tier.daemons.values():
                (entry,) = daemon.quarantine.entries()
                self.assertEqual(2, len(entry.targets))

    async def test_uncertain_losses_do_not_quarantine(self) -> None:
        """Two losses with two explanations each quarantine no content.

        Both contents ran at the target that was lost.  The next loss has one
        explanation and quarantines that content only.
        """
        quarantine = self.tier.daemons['d0'].quarantine
        for target in ('t1', 't2'):
            quarantine.record_loss('harmless', target)
            quarantine.record_loss('crashing', target)
        self.assertFalse(quarantine.is_quarantined('harmless'))
        self.assertFalse(quarantine.is_quarantined('crashing'))
        quarantine.record_loss('crashing', 't3')
        self.assertTrue(quarantine.is_quarantined('crashing'))
        quarantine.record_success('harmless')
        self.assertIsNone(quarantine.refusal('harmless'))

    async def test_content_lost_among_others_is_tried_alone(self) -> None:
        """A loss in an exchange with other contents is not counted.

        The shards are queried again alone, one at a time.
        """
        harness = scatter_harness.ScatterHarness()
        first, second, *others = harness.pending.values()
        harness.deliver(*[harness.good_answer(item) for item in others])
        lost = {'target_lost': True, 'ran_alone': False}
        harness.deliver(
            harness.failed_answer(first, protocol.SubStatus.BROKEN, **lost),
            harness.failed_answer(second, protocol.SubStatus.BROKEN, **lost),
        )
        (trial,) = harness.tick(25.0)
        (other,) = harness.deliver(harness.good_answer(trial))
        self.assertEqual({trial.attempt_id, other.attempt_id}, harness.alone)
        harness.deliver(harness.good_answer(other))
        self.assertIsInstance(harness.outcome, protocol.Answered)
        self.assertEqual(
            ([], 1), (harness.lost_targets, harness.success_count)
        )

    async def test_a_refused_canary_moves_to_another_shard(self) -> None:
        """A canary whose target is dead moves to another shard.

        The target crashed under another daemon's copy, whose notice is late.
        Once it arrives, the shards are still queried one at a time.
        """
        harness = scatter_harness.ScatterHarness(canary=True)
        (canary,) = harness.pending.values()
        dead = protocol.SubStatus.UNREACHABLE
        (second,) = harness.deliver(harness.failed_answer(canary, dead))
        self.assertNotEqual(canary.shard_id, second.shard_id)
        harness.suspected = True
        (third,) = harness.deliver(harness.failed_answer(second, dead))
        self.assertIn(third.attempt_id, harness.alone)

    async def test_a_suspect_is_tried_by_one_daemon_at_a_time(self) -> None:
        """While one daemon tries a suspect, the others refuse it.

        After a trial without a result the next copy may run.
        """
        first = self.tier.daemons['d0'].quarantine
        other = self.tier.daemons['d1'].quarantine
        first.record_loss('suspect', 't1')
        await self.tier.advance(1.0)
        self.assert_refused(other.refusal('suspect'))
        await self.tier.advance(2_000.0)
        self.assertIsNone(other.refusal('suspect'))
        other.begin_run('suspect', 160.0)
        await self.tier.advance(1.0)
        self.assert_refused(first.refusal('suspect'))

    async def test_fresh_daemon_reads_the_store(self) -> None:
        """A daemon that starts later reads the quarantine from the store.

        After a release, an older stored object must not bring it back.
        """
        await self.ask('d0', _POISON)
        await self.tier.advance(3_000.0)
        await self.tier.advance(1.0)
        (stored,) = self.tier.store.objects.values()
        fresh = self.tier.add('d9')
        fresh.quarantine.on_stored(stored)
        self.assert_refused(await fresh.coordinator.search(_POISON))
        (entry,) = fresh.quarantine.entries()
        other = self.tier.daemons['d1'].quarantine
        released = await other.release(entry.fingerprint)
        self.assertIsInstance(released, result.Success)
        await self.tier.advance(1.0)
        (mark,) = self.tier.store.objects.values()
        for daemon in self.tier.daemons.values():
            daemon.quarantine.on_stored(mark)
            daemon.quarantine.on_stored(stored)
            self.assertEqual([], daemon.quarantine.entries())

    async def test_content_is_refused_during_a_store_outage(self) -> None:
        """All daemons refuse the content while the store is unreachable.

        The quarantine is written when the store is back.
        """
        self.tier.store.outage = True
        await self.ask('d0', _POISON)
        await self.tier.advance(3_000.0)
        for daemon in self.tier.daemons.values():
            self.assert_refused(await daemon.coordinator.search(_POISON))
        self.tier.store.outage = False
        await self.tier.advance(6_000.0)
        await self.tier.advance(1.0)
        self.assertEqual(1, len(self.tier.store.objects))

    async def test_quarantine_ends(self) -> None:
        """A quarantine expires."""
        await self.ask('d0', _POISON)
        self.tier.clock.advance(700_000.0)
        for daemon in self.tier.daemons.values():
            self.assertEqual([], daemon.quarantine.entries())

    async def test_a_lost_canary_target_is_no_loss_of_the_content(self):
        """A target that was down before does not make a content a suspect."""
        self.tier.targets.dead = ['t0', 't8']
        (outcome,) = await self.ask('d0', _HARMLESS)
        self.assertIsInstance(outcome, protocol.Partial)
        self.assertEqual(0.875, outcome.coverage)

    async def test_known_content_needs_no_canary(self) -> None:
        """A content that succeeded recently goes to all shards at once."""
        await self.ask('d0', _HARMLESS)
        self.tier.targets.ran.clear()
        coordinator = self.tier.daemons['d0'].coordinator
        again = self.tier.gather(coordinator.search(_HARMLESS))
        (outcome,) = await again
        self.assertIsInstance(outcome, protocol.Answered)
        self.assertEqual(8, len(self.tier.targets.ran))
