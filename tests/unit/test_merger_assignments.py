"""Tests of the choice of daemons that ask the targets of other sites."""

import random
import unittest

from samphiredock import coordination
from samphiredock.coordination import forwarding
from samphiredock.coordination.forwarding import _merger_assignments
from samphiredock import state
from samphiredock import timers


class MergerAssignmentsTest(unittest.TestCase):
    """Targets at sites ``a`` to ``d``; this daemon is at ``a``."""

    def setUp(self) -> None:
        """Register two daemons each at ``b`` and ``c``, and none at ``d``."""
        self.clock = timers.ManualTimers()
        self.targets = forwarding.LiveTargets(self.clock)
        self.peers = forwarding.LiveTargets(self.clock)
        for name in ('b-0', 'b-1', 'c-0', 'c-1'):
            self.peers.put(
                state.LiveTarget(name, 'coordinators', 'x:1', name[0], 1)
            )
        self.loads = coordination.ReplicaSelector(
            random.Random(7), lambda name: True, now_ms=self.clock.now_ms
        )

    def _shards(self, *places: str) -> list[list[str]]:
        """Register targets; each place lists the sites of one shard."""
        shards = []
        for number, sites in enumerate(places):
            names = [f's{number}-{site}' for site in sites]
            for name in names:
                self.targets.put(
                    state.LiveTarget(name, f's{number}', 'x:1', name[-1], 2)
                )
            shards.append(names)
        return shards

    def test_sites_with_many_parts_get_orders(self) -> None:
        """Shards with a target at this site are not counted."""
        shards = self._shards(*['b'] * 4, *['ab'] * 9, *['c'] * 3)
        self.assertEqual(
            ['b'],
            _merger_assignments.sites_for_orders('a', shards, self.targets),
        )

    def test_shard_at_two_sites_counts_half_for_each(self) -> None:
        """Only one of its targets is asked."""
        shards = self._shards(*['bc'] * 8)
        sites = _merger_assignments.sites_for_orders('a', shards, self.targets)
        self.assertEqual(['b', 'c'], sorted(sites))
        shards = self._shards(*['bc'] * 7)
        self.assertEqual(
            [], _merger_assignments.sites_for_orders('a', shards, self.targets)
        )

    def test_a_site_without_a_daemon_is_asked_directly(self) -> None:
        """So is a site whose daemons are all lost."""
        self._shards('d', 'b')
        for name in ('c-0', 'c-1'):
            self.peers.record(name).on_failure(True, self.clock.now_ms())
        found = _merger_assignments.choose_mergers(
            'bcd', self.peers, self.loads
        )
        self.assertEqual(['b'], list(found))
        assignments = _merger_assignments.MergerAssignments(
            self.targets, found
        )
        self.assertEqual('s0-d', assignments.owner('s0-d'))
        self.assertEqual(found['b'], assignments.owner('s1-b'))
        self.assertIsNone(assignments.owner('unknown'))

    def test_dropped_merger_is_not_used_again(self) -> None:
        """The rest of the search asks its targets directly."""
        self._shards('b')
        assignments = _merger_assignments.MergerAssignments(
            self.targets, {'b': 'b-0'}
        )
        assignments.drop_merger('b-0')
        self.assertEqual('s0-b', assignments.owner('s0-b'))

    def test_hanging_daemon_gets_few_orders(self) -> None:
        """A frozen daemon never fails; only the age of its order shows it."""
        self.loads.record_sent('b-0')
        self.clock.advance(500.0)
        chosen = [
            _merger_assignments.choose_mergers('b', self.peers, self.loads)[
                'b'
            ]
            for _ in range(200)
        ]
        self.assertLess(chosen.count('b-0'), 10)
