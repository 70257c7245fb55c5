"""The retry budget of a service, counted where its targets get requests."""

import unittest

from samphiredock import transport
from standins import memory_fleet
from standins import memory_links


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


class RetryBudgetTest(unittest.IsolatedAsyncioTestCase):
    """Several daemons share the budget of one service."""

    def _check(self, fleet: memory_fleet.Fleet) -> None:
        self.assertEqual([], fleet.breaches())

    async def test_daemons_that_coordinate_temporarily_share_the_budget(
        self,
    ) -> None:
        """Guards against a full part for each of many temporary coordinators.

        All know the three coordinators, and none of these can be reached.
        """
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
        """Guards against a part for each daemon by its own list.

        After a cut between sites each daemon lists those of its own only.
        """
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
        """Guards against an uncounted second try at the only target.

        It refuses all, so each request is sent to it again after a pause.
        """
        fleet = memory_fleet.Fleet(refuse, targets=1)
        daemon = fleet.start('d0')
        daemon.list_daemons([daemon])
        for _ in range(90):
            fleet.ask(daemon, 4)
            await fleet.advance(100.0)
        self._check(fleet)

    async def test_retry_after_an_unreachable_hedge_needs_budget(self) -> None:
        """Guards against a retry that is free since the last try got nowhere.

        The first try breaks off when its hedge is out already; the hedge is
        refunded, as its target cannot be reached.
        """
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

    async def test_traffic_that_moves_to_another_daemon(self) -> None:
        """Guards against windows of two daemons that do not line up.

        One spends in the first moment of a window what requests of the window
        before have earned, the other one what those of this window earn.
        """
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
