"""Tests of the registered targets and of the weighted choice of services."""

import unittest

from samphiredock.coordination import forwarding
from samphiredock import state
from samphiredock import timers


def target(name: str, **changes: object) -> state.LiveTarget:
    """Return an entry of service ``s``."""
    values = {
        'target_id': name,
        'service': 's',
        'address': '127.0.0.1:1',
        'site': 'here',
        'slots': 2,
    }
    return state.LiveTarget(**{**values, **changes})


class LiveTargetsTest(unittest.TestCase):
    """Entries that are added, changed and removed."""

    def setUp(self) -> None:
        """Register one target."""
        self.clock = timers.ManualTimers(10_000.0)
        self.live = forwarding.LiveTargets(self.clock)
        self.gone: list[str] = []
        self.live.on_removed(lambda row: self.gone.append(row.target_id))
        self.live.put(target('a'))

    def test_a_leaving_target_gets_no_new_work(self) -> None:
        """It still completes what it has, so it is not removed."""
        self.live.put(target('a', leaving=True))
        self.assertFalse(self.live.is_usable('a'))
        self.assertEqual([], self.live.of_service('s'))
        self.assertEqual([], self.gone)

    def test_many_targets_are_indexed_once(self) -> None:
        """A daemon that starts reads many entries while callers wait."""
        rows = [target(f't{number}', service='b') for number in range(5)]
        seen: list[list[str]] = []
        self.live.on_added(lambda row: seen.append(self.live.of_service('b')))
        self.live.put_all([*rows, target('a', leaving=True)])
        names = [row.target_id for row in rows]
        self.assertEqual([names] * 5, seen)
        self.assertFalse(self.live.is_usable('a'))
        self.live.put_all(rows)
        self.assertEqual(5, len(seen))

    def test_removed_entry_is_dropped_at_once(self) -> None:
        """The store was reachable throughout, so the target has left."""
        self.live.remove('a')
        self.assertFalse(self.live.is_usable('a'))
        self.assertEqual(['a'], self.gone)

    def test_entries_that_expire_in_an_outage_are_kept(self) -> None:
        """An outage of the store must not lose all targets.

        Entries expire since nobody can renew them.  The store returns without
        them, and the running targets register again within two seconds.
        """
        self.live.on_store_unavailable()
        self.live.keep_only(set())
        self.assertTrue(self.live.is_usable('a'))
        self.clock.advance(2_000.0)
        self.live.put(target('a'))
        self.clock.advance(5_000.0)
        self.assertTrue(self.live.is_usable('a'))

    def test_missing_entry_is_dropped_after_the_grace_time(self) -> None:
        """A target that ended during the outage is removed."""
        self.live.on_store_unavailable()
        self.live.remove('a')
        self.clock.advance(2_499.0)
        self.assertTrue(self.live.is_usable('a'))
        self.clock.advance(2.0)
        self.assertEqual(['a'], self.gone)

    def test_second_outage_extends_the_grace_time(self) -> None:
        """An entry must not be removed while nobody can renew it."""
        self.live.on_store_unavailable()
        self.live.remove('a')
        self.clock.advance(2_000.0)
        self.live.on_store_unavailable()
        self.clock.advance(2_000.0)
        self.assertTrue(self.live.is_usable('a'))
        self.clock.advance(600.0)
        self.assertEqual(['a'], self.gone)

    def test_misdirected_target_is_not_used(self) -> None:
        """Another target has the address, though the entry still exists."""
        self.live.mark_misdirected('a')
        self.assertFalse(self.live.is_usable('a'))

    def test_a_lost_target_is_tried_again_after_a_pause(self) -> None:
        """A target that has recovered must get work again."""
        self.live.record('a').on_failure(True, self.clock.now_ms())
        self.assertFalse(self.live.is_usable('a'))
        self.clock.advance(300.0)
        self.assertTrue(self.live.is_usable('a'))

    def test_restarted_target_starts_with_new_health(self) -> None:
        """Its old health must not count for the new process.

        The target was lost and returns under the same id with a later
        ``started_at_ms``: its health is reset and its connections are closed.
        """
        self.live.put(target('b', started_at_ms=5))
        self.live.record('b').on_failure(True, self.clock.now_ms())
        self.live.mark_misdirected('b')
        self.live.put(target('b', started_at_ms=6))
        self.assertEqual(['b'], self.gone)
        self.assertTrue(self.live.is_usable('b'))
        self.assertEqual(['a', 'b'], self.live.of_service('s'))
        self.live.put(target('b', started_at_ms=6, leaving=True))
        self.assertEqual(['b'], self.gone)

    def test_target_with_unreadable_entry_is_removed(self) -> None:
        """An entry was overwritten with malformed bytes."""
        self.live.put(target('b'))
        self.live.remove_unreadable('a')
        self.live.remove_unreadable('never seen')
        self.assertEqual(['a'], self.gone)
        self.assertEqual(['b'], self.live.of_service('s'))


class SplitterTest(unittest.TestCase):
    """A route that several services share."""

    def _route(self, *weights: float) -> state.Route:
        services = tuple(
            state.WeightedService(f's{number}', weight)
            for number, weight in enumerate(weights)
        )
        return state.Route(
            'r', 'h', '/', True, 1_000.0, 500.0, 1, services=services
        )

    def test_each_service_gets_its_proportion(self) -> None:
        """Off by less than one request after any number of requests."""
        splitter = forwarding.Splitter()
        route = self._route(0.7, 0.2, 0.1)
        counts = {'s0': 0, 's1': 0, 's2': 0}
        for number in range(1, 301):
            counts[splitter.choose(route)] += 1
            self.assertAlmostEqual(0.7 * number, counts['s0'], delta=1.0)
            self.assertAlmostEqual(0.1 * number, counts['s2'], delta=1.0)

    def test_new_weights_apply_at_once(self) -> None:
        """Credit from the old weights is dropped."""
        splitter = forwarding.Splitter()
        for _ in range(5):
            splitter.choose(self._route(0.9, 0.1))
        chosen = [splitter.choose(self._route(0.0, 1.0)) for _ in range(5)]
        self.assertEqual(['s1'] * 5, chosen)
