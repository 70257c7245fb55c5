"""The retry budget of a service, counted where its targets get requests."""

import os
import random
import unittest

from samphiredock import protocol
from samphiredock import transport
from standins import memory_fleet
from standins import memory_links


SEED = int(os.environ.get('SAMPHIREDOCK_SEED', '20261202'))


def refuse(
    arrival: memory_fleet.Arrival, sent: memory_links.SentRequest
) -> None:
    """Refuse every request at once, as an overloaded target does."""
    sent.refuse()


def break_off(
    arrival: memory_fleet.Arrival, sent: memory_links.SentRequest
) -> None:
    """Break the connection of every request."""
    sent.lose(transport.LinkErrorKind.BROKEN)


def break_off_late(
    arrival: memory_fleet.Arrival, sent: memory_links.SentRequest
) -> None:
    """Break the connection once a hedge has been sent."""
    arrival.clock.after(
        60.0, lambda: sent.lose(transport.LinkErrorKind.BROKEN)
    )


def misdirect(
    arrival: memory_fleet.Arrival, sent: memory_links.SentRequest
) -> None:
    """Answer that another target is meant."""
    sent.refuse(421)


class RetryBudgetTest(unittest.IsolatedAsyncioTestCase):
    """Several daemons share the budget of one service."""

    def _check(self, fleet: memory_fleet.Fleet) -> None:
        self.assertEqual([], fleet.breaches())

    async def test_daemons_that_coordinate_temporarily_share_the_budget(
        self,
    ) -> None:
        """Guards against a full part for each temporary coordinator."""
        fleet = memory_fleet.Fleet(break_off)
        others = [fleet.start(f'd{number}') for number in range(16)]
        for daemon in others:
            daemon.list_daemons(others)
            daemon.role.coordinate_temporarily(fleet.clock.now_ms(), 20_000.0)
        for _ in range(20):
            for daemon in others:
                fleet.ask(daemon)
            await fleet.advance(100.0)
        self._check(fleet)

    async def test_daemons_whose_lists_differ_share_the_budget(self) -> None:
        """Guards against a part for each daemon by its own list of daemons."""
        fleet = memory_fleet.Fleet(break_off)
        daemons = [
            fleet.start(f'{site}{number}', site)
            for site in 'abc'
            for number in range(3)
        ]
        for daemon in daemons:
            daemon.list_daemons(
                row for row in daemons if row.me.site == daemon.me.site
            )
        for _ in range(20):
            for daemon in daemons:
                fleet.ask(daemon)
            await fleet.advance(100.0)
        self._check(fleet)

    async def test_restarted_daemon_does_not_spend_its_part_again(
        self,
    ) -> None:
        """Guards against a full part after each restart within a window."""
        fleet = memory_fleet.Fleet(break_off)
        for _ in range(6):
            daemon = fleet.start('d0')
            daemon.list_daemons([daemon])
            fleet.ask(daemon, 40)
            await fleet.advance(1_000.0)
        self._check(fleet)

    async def test_retry_after_a_pause_needs_budget(self) -> None:
        """Guards against an uncounted second try at the only target."""
        fleet = memory_fleet.Fleet(refuse, targets=1)
        daemon = fleet.start('d0')
        daemon.list_daemons([daemon])
        for _ in range(90):
            fleet.ask(daemon, 4)
            await fleet.advance(100.0)
        self._check(fleet)

    async def test_retry_after_an_unreachable_hedge_needs_budget(self) -> None:
        """Guards against a retry that is free since its hedge was refunded."""
        fleet = memory_fleet.Fleet(break_off_late, slack=2.0)
        daemon = fleet.start('d0')
        daemon.list_daemons([daemon])
        for _ in range(8):
            fleet.ask(daemon)
            await fleet.advance(20.0)
            fleet.unreachable = {'p-0', 'p-1', 'p-2'}
            await fleet.advance(80.0)
            fleet.unreachable = set()
            await fleet.advance(1_300.0)
        self._check(fleet)

    async def test_refusal_by_another_target_needs_budget(self) -> None:
        """Guards against free retries after addresses have changed hands."""
        fleet = memory_fleet.Fleet(misdirect, targets=12, slack=2.0)
        daemon = fleet.start('d0')
        daemon.list_daemons([daemon])
        for _ in range(4):
            fleet.ask(daemon)
            await fleet.advance(100.0)
        self._check(fleet)

    async def test_request_without_budget_ends_at_once(self) -> None:
        """Guards against a caller that waits for a retry that is refused."""
        fleet = memory_fleet.Fleet(refuse, targets=1, slack=0.0)
        daemon = fleet.start('d0')
        fleet.ask(daemon)
        await fleet.advance(10.0)
        self.assertTrue(fleet.tasks[0].done())
        outcome = await fleet.tasks[0]
        self.assertIsInstance(outcome, protocol.NotRun)
        self.assertGreater(outcome.retry_after_ms, 0)

    async def test_sharers_use_the_slack(self) -> None:
        """A budget of which nothing is used would pass every other test."""
        fleet = memory_fleet.Fleet(break_off)
        daemons = [fleet.start(f'd{number}') for number in range(3)]
        for daemon in daemons:
            daemon.list_daemons(daemons)
        await fleet.advance(50_000.0, step_ms=100.0)
        for _ in range(20):
            for daemon in daemons:
                fleet.ask(daemon)
            await fleet.advance(100.0)
        self.assertGreater(len(fleet.counter.extra('p')), 50)
        self._check(fleet)

    async def test_random_schedules_of_whole_daemons(self) -> None:
        """Daemons restart, and lose the store, each other and the traffic."""
        for seed in range(SEED, SEED + 4):
            with self.subTest(seed=seed):
                await self._play_random_schedule(random.Random(seed))

    async def _play_random_schedule(self, rng: random.Random) -> None:
        reactions = (refuse, break_off, break_off_late, memory_fleet.answer)
        fleet = memory_fleet.Fleet(break_off, slack=30.0)
        names = [f'd{number}' for number in range(4)]
        for name in names:
            fleet.start(name)
        for daemon in fleet.daemons.values():
            daemon.list_daemons(fleet.daemons.values())
        await fleet.advance(50_000.0, step_ms=100.0)
        for _ in range(120):
            fleet.react = rng.choice(reactions)
            event = rng.randrange(12)
            if event == 0:
                fleet.start(rng.choice(names))
            elif event == 1:
                fleet.store.roll_back(rng.uniform(0.0, 15_000.0))
            elif event == 2:
                fleet.store.cut = {rng.choice(names)}
            elif event == 3:
                fleet.unreachable = {f'p-{rng.randrange(3)}'}
            daemon = fleet.daemons[rng.choice(names)]
            listed = rng.sample(names, rng.randint(1, len(names)))
            daemon.list_daemons(fleet.daemons[name] for name in listed)
            fleet.ask(fleet.daemons[rng.choice(names)], rng.choice((0, 1, 8)))
            await fleet.advance(rng.choice((50.0, 200.0, 1_000.0)), 50.0)
        self._check(fleet)

    async def test_traffic_that_moves_to_another_daemon(self) -> None:
        """Guards against windows of two daemons that do not line up."""
        fleet = memory_fleet.Fleet(break_off)
        first, second = fleet.start('d0'), fleet.start('d1')
        for daemon in (first, second):
            daemon.list_daemons([first, second])
        fleet.react = memory_fleet.answer
        for _ in range(48):
            fleet.ask(first, 20)
            await fleet.advance(100.0)
        fleet.react = break_off
        fleet.ask(first, 300)
        await fleet.advance(5_000.0)
        fleet.react = memory_fleet.answer
        for _ in range(45):
            fleet.ask(second, 20)
            await fleet.advance(100.0)
        fleet.react = break_off
        fleet.ask(second, 300)
        await fleet.advance(400.0)
        self._check(fleet)


if __name__ == '__main__':
    unittest.main()
