"""Owners of targets, and the handover when they change."""

import collections
import typing
import unittest

from samphiredock.coordination.fleet import _ownership
from samphiredock.coordination.targets import _dispatcher
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from standins import memory_link
from standins import memory_peers
from tests.unit import dispatching


def _member(name: str, site: str = 'a', region: str = 'r') -> state.Member:
    return state.Member(name, site, region, '', '', '', 1)


class _CountedMembers(tuple):
    """Live members that count how often they are iterated over."""

    iterations = 0

    def __iter__(self) -> typing.Iterator[state.Member]:
        self.iterations += 1
        return super().__iter__()


def _snapshot(**shards: list[str]) -> state.Snapshot:
    """Return a snapshot with one shard for each index, on these replicas."""
    whole = protocol.KeyRange(0, state.KEY_SPACE_SIZE)
    return state.Snapshot(
        1,
        {
            name: state.IndexSnapshot(1, [state.Shard('s', whole, replicas)])
            for name, replicas in shards.items()
        },
    )


class OwnersTest(unittest.TestCase):
    """Groups of targets and their assignment to daemons."""

    def setUp(self) -> None:
        names = [f't{number:02}' for number in range(24)]
        self.targets = {name: dispatching.target(name) for name in names}
        self.snapshot = _snapshot(i=names[:12], j=names[12:])
        self.sites = dispatching.configuration().sites

    def _owners(self, *members: state.Member) -> dict[str, str]:
        return _ownership.owners_of(
            self.targets, self.snapshot, members, self.sites
        )

    def test_targets_of_one_index_are_owned_in_groups(self) -> None:
        groups = _ownership.ownership_groups(self.targets, self.snapshot)
        self.assertEqual([4] * 6, [len(group) for group in groups])
        halves = [{name < 't12' for name in group} for group in groups]
        self.assertTrue(all(len(half) == 1 for half in halves))
        members = [_member(f'd{number}') for number in range(8)]
        owners = self._owners(*members)
        for group in groups:
            self.assertEqual(1, len({owners[name] for name in group}))

    def test_leaving_daemon_moves_its_own_and_few_others(self) -> None:
        """Most targets of the other daemons keep their owner."""
        members = [_member(f'd{number}') for number in range(8)]
        before = self._owners(*members)
        for leaver in members:
            rest = [row for row in members if row is not leaver]
            after = self._owners(*reversed(rest))
            moved = {name for name in before if before[name] != after[name]}
            own = {name for name in before if before[name] == leaver.name}
            self.assertLessEqual(own, moved)
            self.assertLessEqual(len(moved - own), 8)

    def test_no_daemon_owns_more_than_its_even_share(self) -> None:
        """Groups are spread evenly, in all and by index.

        With hashing alone one daemon may get several times the mean load.
        """
        for count in range(1, 12):
            owners = self._owners(
                *[_member(f'd{number}') for number in range(count)]
            )
            self.assertEqual(24, len(owners))
            for names in (owners, [f't{n:02}' for n in range(12)]):
                owned = collections.Counter(owners[name] for name in names)
                groups = -(-len(names) // 4)
                self.assertLessEqual(
                    max(owned.values()), 4 * -(-groups // count)
                )

    def test_nearest_site_owns_if_none_lives_here(self) -> None:
        near, far = _member('d1', 'b'), _member('d2', 'x', 'q')
        owners = self._owners(near, far)
        self.assertEqual({'d1'}, set(owners.values()))
        self.assertEqual({'d2'}, set(self._owners(far).values()))
        self.assertEqual({}, self._owners())


class HandoverTest(unittest.IsolatedAsyncioTestCase):
    """Daemon d1 takes over or gives up target t1, which has four slots."""

    def setUp(self) -> None:
        self.clock = timers.ManualTimers()
        self.peers = memory_peers.RecordingPeers()
        self.counters = metrics.Metrics('test')
        self.addCleanup(self.counters.close)
        self.live = [_member('d1')]
        self.configuration = dispatching.configuration(
            dispatching.target(slots=4)
        )
        self.link = memory_link.MemoryLink(dispatching.target())
        self.table = _ownership.OwnershipTable(
            lambda: self.configuration,
            lambda: None,
            lambda: self.live,
            self.clock,
        )
        self.dispatcher = _dispatcher.Dispatcher(
            self.peers, self.clock, self.counters, lambda _: self.link
        )
        self.dispatcher.configure(self.configuration)
        self.dispatcher.follow_ownership(
            'd1', self.table, lambda name: name in [r.name for r in self.live]
        )
        # A daemon that owns t1 whenever it is live together with d1.
        self.other = next(
            name
            for name in (f'd{number}' for number in range(2, 99))
            if self._owner_with(name) == name
        )

    def _owner_with(self, name: str) -> str | None:
        owners = _ownership.owners_of(
            self.configuration.targets,
            None,
            [_member('d1'), _member(name)],
            self.configuration.sites,
        )
        return owners['t1']

    def _set_live(self, *names: str) -> None:
        self.live = [_member(name) for name in names]
        self.table.refresh()

    def _idle(self) -> int:
        """Return the idle slots of t1, once it is past its ramp-up."""
        scheduler = self.dispatcher.scheduler('t1')
        for _ in range(4):
            scheduler.health.on_answer(0, 0.0, 0.0)
        return scheduler.idle_slots(self.clock.now_ms())

    def test_members_are_iterated_only_when_they_change(self) -> None:
        """Iterating over many members at each check would be slow."""
        self.live = _CountedMembers([_member('d1')])
        self.table.refresh()
        iterations = self.live.iterations
        for _ in range(50):
            self.clock.advance(20.0)
            self.assertEqual('d1', self.table.owner('t1'))
        self.assertEqual(iterations, self.live.iterations)
        self._set_live(self.other)
        self.assertEqual(self.other, self.table.owner('t1'))

    async def test_dead_owners_exchanges_take_slots_until_seen_free(
        self,
    ) -> None:
        self._set_live('d1', self.other)
        self.link.running = 3
        self._set_live('d1')
        self.assertEqual(0, self._idle())
        await dispatching.settle()
        self.assertEqual(1, self._idle())
        self.link.running = 0
        self.clock.advance(100.0)
        await dispatching.settle()
        self.assertEqual(4, self._idle())

    async def test_restarted_daemon_asks_before_it_sends(self) -> None:
        """Exchanges of the process before the restart may still run."""
        self._set_live('d1')
        self.link.running = 4
        self.peers.deliver(dispatching.batch(dispatching.item('1')))
        await dispatching.settle()
        self.assertEqual([], self.link.batches)
        self.link.running = 0
        self.clock.advance(100.0)
        await dispatching.settle()
        self.assertEqual(1, len(self.link.batches))

    async def test_dead_owners_exchanges_take_slots_for_a_deadline(
        self,
    ) -> None:
        self.link.running = 4
        self._set_live('d1', self.other)
        self._set_live('d1')
        await dispatching.settle()
        self.clock.advance(399.0)
        self.assertEqual(0, self._idle())
        self.clock.advance(1.0)
        self.assertEqual(4, self._idle())

    async def test_living_owner_confirms_before_all_slots_are_used(
        self,
    ) -> None:
        """The previous owner stays live, here by moving to another site."""
        taken_from = self.other
        self._set_live('d1', taken_from)
        self.live = [_member('d1'), _member(taken_from, 'b')]
        self.table.refresh()
        self.assertEqual(2, self._idle())
        self.assertIn((taken_from, protocol.Release('t1')), self.peers.sent)
        self.peers.deliver(protocol.Released('t1', 3, 50.0), taken_from)
        self.assertEqual(1, self._idle())
        self.peers.deliver(protocol.Released('t1', 0, 0.0), taken_from)
        self.assertEqual(4, self._idle())

    async def test_given_up_target_is_answered_not_owner(self) -> None:
        self._set_live('d1')
        message = dispatching.batch(dispatching.item('1'))
        self.peers.deliver(message)
        await dispatching.settle()
        self.peers.deliver(protocol.Release('t1'), self.other)
        self.assertEqual([], self.peers.of_type(protocol.Released))
        self._set_live('d1', self.other)
        self.peers.deliver(dispatching.batch(dispatching.item('2')))
        self.peers.deliver(protocol.Release('t1'), self.other)
        await dispatching.settle()
        self.assertEqual({'2': ['not-owner']}, self.peers.statuses())
        self.assertEqual(1, self.peers.of_type(protocol.Released)[0].busy)
        self.link.answer()
        await dispatching.settle()
        self.peers.deliver(protocol.Release('t1'), self.other)
        self.assertEqual(0, self.peers.of_type(protocol.Released)[1].busy)

    async def test_own_orders_are_sent_after_a_noticed_freeze(self) -> None:
        """Only an order from a peer may have been sent before the freeze."""
        self._set_live('d1')
        self.dispatcher.scheduler('t1')
        await dispatching.settle()
        self.clock.freeze(4_000.0)
        self.peers.deliver(dispatching.order('1'), 'd1')
        self.peers.deliver(dispatching.order('2'), self.other)
        await dispatching.settle()
        self.assertEqual({'2': ['cancelled']}, self.peers.statuses())
        self.assertEqual('1', self.link.runs[0][0].attempt_id)
        self.clock.unseen_gap_ms = 4_000.0
        self.peers.deliver(dispatching.order('3'), 'd1')
        self.assertEqual(['cancelled'], self.peers.statuses()['3'])

    async def test_daemon_that_never_owned_serves_sub_queries(self) -> None:
        self._set_live(self.other)
        self.peers.deliver(dispatching.batch(dispatching.item('1')))
        await dispatching.settle()
        self.link.answer()
        await dispatching.settle()
        self.assertEqual({'1': ['answered']}, self.peers.statuses())

    def test_table_is_computed_only_when_its_inputs_change(self) -> None:
        calls = collections.Counter()
        self.table.subscribe(lambda changes: calls.update(['change']))
        for _ in range(5):
            self.clock.advance(30.0)
            self.assertEqual('d1', self.table.owner('t1'))
        self.assertEqual(1, calls['change'])
