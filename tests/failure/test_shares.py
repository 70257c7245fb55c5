"""No site gets more than its share of a target while others need theirs."""

import dataclasses
import unittest

from samphiredock.coordination.targets import _scheduler
from samphiredock.coordination.targets import _scheduler_types
from samphiredock.coordination.targets import _shares
from samphiredock import state
from tests.unit import dispatching

_SITES = {'a': 0.4, 'b': 0.3, 'c': 0.3}
_SERVICE_MS = 10.0
_SHARES = _shares.Shares(_SITES, {}, {'svc': 1.0}, {})


class _Simulation:
    """A target of two slots, 10 ms for a batch of two, on a manual clock.

    Its capacity is 400 items a second.
    """

    def __init__(self, by_site: bool = True) -> None:
        self._by_site = by_site
        self._scheduler = _scheduler.TargetScheduler(
            dispatching.target(slots=2),
            state.Limits(queue_per_target=60, batch_items=2),
            _SHARES,
        )
        self._ends: list[
            tuple[float, int, tuple[_scheduler_types.Job, ...]]
        ] = []
        self._numbers = 0
        self.served = dict.fromkeys(_SITES, 0)
        self.shed = dict.fromkeys(_SITES, 0)

    def offer(self, from_ms: int, to_ms: int, rates: dict[str, float]) -> None:
        """Offer items; ``rates`` are items per ms by site."""
        owed = dict.fromkeys(rates, 0.0)
        for now_ms in range(from_ms, to_ms):
            while self._ends and self._ends[0][0] <= now_ms:
                _, ticket, jobs = self._ends.pop(0)
                for job in jobs:
                    self.served[job.request.site] += 1
                exchange_end = _scheduler_types.ExchangeEnd.ANSWERED
                self._execute(
                    self._scheduler.end_exchange(ticket, exchange_end, now_ms),
                    now_ms,
                )
            for site, rate in rates.items():
                owed[site] += rate
                while owed[site] >= 1.0:
                    owed[site] -= 1.0
                    self._submit(site, now_ms)
            self._execute(self._scheduler.pump(now_ms), now_ms)

    def _submit(self, site: str, now_ms: int) -> None:
        self._numbers += 1
        job = dispatching.job(f'{self._numbers}', now_ms + 2_000.0, site=site)
        if not self._by_site:
            one_flow = _shares.Flow('svc', 'all')
            job = dataclasses.replace(job, flow=one_flow)
        self._execute(self._scheduler.submit(job, now_ms), now_ms)

    def _execute(
        self, effects: list[_scheduler_types.Effect], now_ms: int
    ) -> None:
        for effect in effects:
            if isinstance(effect, _scheduler_types.StartExchange):
                end = (now_ms + _SERVICE_MS, effect.ticket, effect.jobs)
                self._ends.append(end)
            else:
                self.shed[effect.job.request.site] += 1


class FloodTest(unittest.TestCase):
    """One site floods one target."""

    def test_flooding_site_leaves_the_others_their_share(self) -> None:
        """Site a offers ten times the capacity, b and c half of their share.

        Nothing of b and c is shed, and a gets the rest of the capacity.
        """
        simulation = _Simulation()
        simulation.offer(0, 5_000, {'a': 4.0, 'b': 0.06, 'c': 0.06})
        self.assertEqual(0, simulation.shed['b'] + simulation.shed['c'])
        for site in 'bc':
            self.assertGreaterEqual(simulation.served[site], 290)
        self.assertGreaterEqual(simulation.served['a'], 1_300)

    def test_unused_share_is_returned_at_once(self) -> None:
        """Site a uses the whole target while alone; then b and c send too.

        Within the next second each site is served at its share.
        """
        simulation = _Simulation()
        simulation.offer(0, 2_000, {'a': 4.0})
        self.assertGreaterEqual(simulation.served['a'], 780)
        before = dict(simulation.served)
        simulation.offer(2_000, 3_000, {'a': 4.0, 'b': 4.0, 'c': 4.0})
        got = {site: simulation.served[site] - before[site] for site in _SITES}
        for site, share in _SITES.items():
            self.assertAlmostEqual(share * 400, got[site], delta=16)

    def test_one_queue_for_all_sites_starves_the_others(self) -> None:
        """Without queues by site, the same flood sheds most of b and c.

        Together they need less than a third of the capacity.
        """
        simulation = _Simulation(by_site=False)
        simulation.offer(0, 5_000, {'a': 4.0, 'b': 0.06, 'c': 0.06})
        self.assertGreater(simulation.shed['b'] + simulation.shed['c'], 300)
