"""A request that crashes targets is stopped; its neighbours are not."""

import unittest

from returns import result

from samphiredock import protocol
from standins import memory_searches
from standins import search_desk

Reason = protocol.NotRunReason

_POISON = memory_searches.ask(claimant='poison')
_INNOCENT = memory_searches.ask(claimant='household-7')


class QuarantineTest(unittest.IsolatedAsyncioTestCase):
    """Four daemons, sixteen targets, one poison request."""

    def setUp(self) -> None:
        """Start the scripted tier."""
        self.tier = self.start(memory_searches.make_search(canary=True))

    def start(self, search) -> memory_searches.Tier:
        """Return a tier that is closed at the end."""
        tier = memory_searches.Tier(search, search_desk.SEED)
        self.addCleanup(tier.close)
        return tier

    async def ask(self, name: str, *requests) -> list:
        """Send requests to one daemon at the same time."""
        daemon = self.tier.daemons[name]
        return await self.tier.gather(
            *[daemon.coordinator.search(row) for row in requests]
        )

    def assert_refused(self, outcome: protocol.SearchOutcome) -> None:
        """Check a refusal that says why and when to come back."""
        self.assertIsInstance(outcome, protocol.NotRun)
        self.assertIs(Reason.QUARANTINED, outcome.reason)
        self.assertGreater(outcome.retry_after_ms, 0)

    async def test_two_targets_die_however_often_it_is_sent(self) -> None:
        """Two targets die; each further copy is refused at once.

        The first copy kills its canary's target, then the replica it is
        tried at alone.  The caller sends it again through every daemon, ten
        times; each knows, and says so without moving time.
        """
        started_ms = self.tier.clock.now_ms()
        (first,) = await self.ask('d0', _POISON)
        self.assertIsInstance(first, protocol.Unknown)
        # Two service times and one pause: no wait after the verdict.
        took_ms = self.tier.clock.now_ms() - started_ms
        self.assertLess(took_ms, 2 * memory_searches.SERVICE_MS + 30.0)
        await self.tier.move(1.0)
        before_ms = self.tier.clock.now_ms()
        for name in list(self.tier.daemons) * 10:
            coordinator = self.tier.daemons[name].coordinator
            self.assert_refused(await coordinator.search(_POISON))
        self.assertEqual(before_ms, self.tier.clock.now_ms())
        self.assertEqual(2, len(self.tier.targets.dead))

    async def test_copies_at_one_time(self) -> None:
        """Twenty copies at once through all daemons kill two targets.

        The order in which a content is tried follows from the content, so
        all canaries go to the same target and die with it; the daemons hear
        of each other's loss, and the next try has one target again.
        """
        copies = [
            daemon.coordinator.search(_POISON)
            for daemon in self.tier.daemons.values()
            for _ in range(5)
        ]
        await self.tier.gather(*copies)
        self.assertEqual(2, len(self.tier.targets.dead))

    async def test_content_without_canary_is_tried_alone(self) -> None:
        """A search without canary loses its first targets, then no more.

        All eight shards are sent at once, so up to eight targets die; each
        later try goes alone, and the second of these convicts.
        """
        self.tier = self.start(memory_searches.make_search(canary=False))
        await self.ask('d0', _POISON)
        first = len(self.tier.targets.dead)
        for name in self.tier.daemons:
            await self.ask(name, _POISON)
        self.assertLessEqual(first, 8 + 2)
        self.assertEqual(first, len(self.tier.targets.dead))

    async def test_innocents_beside_it_are_answered(self) -> None:
        """Every neighbour gets a whole answer and none is refused later.

        Twenty contents run while the poison does, at the same targets, some
        alone in the second slot of a target that it kills.
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
                row for row in outcomes if isinstance(row, protocol.Answered)
            ]
            self.assertEqual(20, len(answered))
            self.assertEqual(2, len(self.tier.targets.dead))
            await self.tier.move(5_000.0)
            for daemon in self.tier.daemons.values():
                (entry,) = daemon.quarantine.entries()
                self.assertEqual(2, len(entry.targets))

    async def test_lost_twice_beside_another_is_no_conviction(self) -> None:
        """A content that died beside the poison twice is not convicted.

        Each ran alone in its exchange, in two slots of the same target, so
        each loss has two explanations.  The poison's next loss, beside
        nobody, convicts it alone.
        """
        quarantine = self.tier.daemons['d0'].quarantine
        for target in ('t1', 't2'):
            quarantine.record_loss('innocent', target)
            quarantine.record_loss('guilty', target)
        self.assertFalse(quarantine.is_quarantined('innocent'))
        self.assertFalse(quarantine.is_quarantined('guilty'))
        quarantine.record_loss('guilty', 't3')
        self.assertTrue(quarantine.is_quarantined('guilty'))
        quarantine.record_success('innocent')
        self.assertIsNone(quarantine.refusal('innocent'))

    async def test_a_loss_beside_others_is_tried_again_alone(self) -> None:
        """A content in the same exchange as the poison is not blamed.

        Two of its shards were in exchanges with others when their targets
        died.  No loss is counted; each is asked again alone, one at a time,
        and the answers clear it.
        """
        desk = search_desk.Desk()
        first, second, *others = desk.waiting.values()
        desk.give(*[desk.good(row) for row in others])
        lost = {'target_lost': True, 'ran_alone': False}
        desk.give(
            desk.failed(first, protocol.SubStatus.BROKEN, **lost),
            desk.failed(second, protocol.SubStatus.BROKEN, **lost),
        )
        (trial,) = desk.tick(25.0)
        (other,) = desk.give(desk.good(trial))
        self.assertEqual({trial.attempt_id, other.attempt_id}, desk.alone)
        desk.give(desk.good(other))
        self.assertIsInstance(desk.outcome, protocol.Answered)
        self.assertEqual(([], 1), (desk.lost, desk.succeeded))

    async def test_a_refused_canary_moves_to_another_shard(self) -> None:
        """A copy that finds the first target dead spares its replica.

        The target died under another daemon's copy, whose news is late.
        Both canaries are refused; by then the content is known as a
        suspect, so the other shards are not sent at once.
        """
        desk = search_desk.Desk(canary=True)
        (canary,) = desk.waiting.values()
        dead = protocol.SubStatus.UNREACHABLE
        (second,) = desk.give(desk.failed(canary, dead))
        self.assertNotEqual(canary.shard_id, second.shard_id)
        desk.suspected = True
        (third,) = desk.give(desk.failed(second, dead))
        self.assertIn(third.attempt_id, desk.alone)

    async def test_a_suspect_is_tried_by_one_daemon_at_a_time(self) -> None:
        """While one daemon tries a suspect, the others refuse it shortly.

        One loss is known.  Once the trial is over without a verdict, the
        next copy may run.
        """
        first = self.tier.daemons['d0'].quarantine
        other = self.tier.daemons['d1'].quarantine
        first.record_loss('suspect', 't1')
        await self.tier.move(1.0)
        self.assert_refused(other.refusal('suspect'))
        await self.tier.move(2_000.0)
        self.assertIsNone(other.refusal('suspect'))
        other.begin_run('suspect', 160.0)
        await self.tier.move(1.0)
        self.assert_refused(first.refusal('suspect'))

    async def test_store_tells_a_fresh_daemon(self) -> None:
        """A daemon that starts later refuses it too; a release ends it.

        The verdict is in the store.  An operator releases it at another
        daemon: the mark in the store keeps an old copy from coming back.
        """
        await self.ask('d0', _POISON)
        await self.tier.move(3_000.0)
        await self.tier.move(1.0)
        (stored,) = self.tier.store.objects.values()
        fresh = self.tier.add('d9')
        fresh.quarantine.on_stored(stored)
        self.assert_refused(await fresh.coordinator.search(_POISON))
        (entry,) = fresh.quarantine.entries()
        other = self.tier.daemons['d1'].quarantine
        released = await other.release(entry.fingerprint)
        self.assertIsInstance(released, result.Success)
        await self.tier.move(1.0)
        (mark,) = self.tier.store.objects.values()
        for daemon in self.tier.daemons.values():
            daemon.quarantine.on_stored(mark)
            daemon.quarantine.on_stored(stored)
            self.assertEqual([], daemon.quarantine.entries())

    async def test_store_outage_is_no_hole(self) -> None:
        """The refusal holds at all daemons while the store is down.

        The verdict is written when the store is back.
        """
        self.tier.store.outage = True
        await self.ask('d0', _POISON)
        await self.tier.move(3_000.0)
        for daemon in self.tier.daemons.values():
            self.assert_refused(await daemon.coordinator.search(_POISON))
        self.tier.store.outage = False
        await self.tier.move(6_000.0)
        await self.tier.move(1.0)
        self.assertEqual(1, len(self.tier.store.objects))

    async def test_quarantine_ends(self) -> None:
        """After its time the content is a new one again."""
        await self.ask('d0', _POISON)
        self.tier.clock.advance(700_000.0)
        for daemon in self.tier.daemons.values():
            self.assertEqual([], daemon.quarantine.entries())

    async def test_a_lost_canary_target_is_no_loss_of_the_content(self):
        """A target that is down already does not make a content suspect.

        The canary's replicas refuse the connection; the search goes on.
        """
        self.tier.targets.dead = ['t0', 't8']
        (outcome,) = await self.ask('d0', _INNOCENT)
        self.assertIsInstance(outcome, protocol.Partial)
        self.assertEqual(0.875, outcome.coverage)

    async def test_known_content_needs_no_canary(self) -> None:
        """A content that succeeded goes to all shards at once."""
        await self.ask('d0', _INNOCENT)
        self.tier.targets.ran.clear()
        coordinator = self.tier.daemons['d0'].coordinator
        again = self.tier.gather(coordinator.search(_INNOCENT))
        (outcome,) = await again
        self.assertIsInstance(outcome, protocol.Answered)
        self.assertEqual(8, len(self.tier.targets.ran))
