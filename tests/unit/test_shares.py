"""The fair queue of one target."""

import unittest

from samphiredock.coordination.targets import _shares
from tests.unit import dispatching

_SHARES = _shares.Shares({'a': 0.75, 'b': 0.25}, {}, {'svc': 1.0}, {})


def _served(queue: _shares.FairQueue, count: int) -> dict[str, int]:
    sites: dict[str, int] = {'a': 0, 'b': 0}
    for _ in range(count):
        item = queue.head(0.0)
        if item is not None:
            queue.take(item)
            sites[item.flow.site] += 1
    return sites


def _fill(queue: _shares.FairQueue, site: str, count: int) -> None:
    for number in range(count):
        queue.push(dispatching.job(f'{site}{number}', site=site))


class FairQueueTest(unittest.TestCase):
    """Order by share, unused shares, the limit and caps."""

    def test_sites_are_served_by_share(self) -> None:
        queue = _shares.FairQueue(500, 2, _SHARES)
        _fill(queue, 'b', 200)
        _fill(queue, 'a', 200)
        self.assertEqual({'a': 75, 'b': 25}, _served(queue, 100))

    def test_idle_site_saves_up_no_credit(self) -> None:
        """Site a was idle while b was served; it must not starve b now."""
        queue = _shares.FairQueue(500, 2, _SHARES)
        _fill(queue, 'b', 200)
        self.assertEqual({'a': 0, 'b': 100}, _served(queue, 100))
        _fill(queue, 'a', 200)
        served = _served(queue, 40)
        self.assertAlmostEqual(10, served['b'], delta=1)

    def test_full_queue_drops_from_the_site_beyond_its_share(self) -> None:
        queue = _shares.FairQueue(100, 2, _SHARES)
        _fill(queue, 'b', 100)
        for number in range(75):
            newcomer = dispatching.job(f'a{number}', site='a')
            victim = queue.victim(newcomer, 0.0)
            self.assertEqual('b', victim.flow.site)
            queue.remove(victim)
            queue.push(newcomer)
        self.assertIsNone(queue.victim(dispatching.job('a', site='a'), 0.0))

    def test_cap_holds_while_the_others_are_idle(self) -> None:
        shares = _shares.Shares({'b': 0.25}, {'b': 0.5}, {'svc': 1.0}, {})
        queue = _shares.FairQueue(5_000, 2, shares)
        _fill(queue, 'b', 3_000)
        used_ms, now_ms = 0.0, 0.0
        while now_ms < 10_000.0:
            item = queue.head(now_ms)
            if item is None:
                self.assertGreater(queue.capped_until_ms, now_ms)
                now_ms = queue.capped_until_ms
                continue
            queue.take(item)
            queue.charge(item.flow, 20.0, now_ms)
            used_ms += 20.0
        # The cap is half of two slots: one slot's time, plus the burst.
        self.assertAlmostEqual(10_000.0, used_ms, delta=100.0)
