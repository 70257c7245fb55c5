"""Membership under message loss, freezes and partitions."""

import asyncio
import os
import typing
import unittest

from standins import memory_daemons

SEED = int(os.environ.get('SAMPHIREDOCK_SEED', '20261202'))
REGION_BY_SITE = {'bole-a': 'addis', 'kirkos-b': 'adama', 'yeka-c': 'mekelle'}


def simulate(
    body: typing.Callable[
        [memory_daemons.Network], typing.Coroutine[None, None, None]
    ],
) -> None:
    """Run a test's body on a network of its own."""

    async def run() -> None:
        network = memory_daemons.Network(SEED)
        try:
            await body(network)
        finally:
            network.close()

    asyncio.run(run())


class MembershipTest(unittest.TestCase):
    """Nine daemons in three regions."""

    def assert_views(
        self, network: memory_daemons.Network, expected: set[str]
    ) -> None:
        """Assert that the ``expected`` members see exactly these as live."""
        views = {name: network.daemons[name].live_names() for name in expected}
        self.assertEqual({name: expected for name in expected}, views)

    async def start(self, network: memory_daemons.Network) -> set[str]:
        """Start nine daemons, wait until each sees all; return their names."""
        memory_daemons.start_sites(network, REGION_BY_SITE, 9)
        await network.run(3_000)
        everyone = set(network.daemons)
        self.assert_views(network, everyone)
        return everyone

    def test_only_the_killed_daemon_is_lost(self) -> None:
        """With a tenth of all messages lost, only a killed daemon is lost.

        Indirect probes keep live members from being declared dead.
        """

        async def body(network: memory_daemons.Network) -> None:
            everyone = await self.start(network)
            network.loss = 0.1
            network.daemons['entry-5'].kill()
            await network.run(6_000)
            self.assert_views(network, everyone - {'entry-5'})
            self.assertGreater(network.faults['loss'], 50)

        simulate(body)

    def test_partitioned_regions_go_on_and_rejoin(self) -> None:
        """Both sides of a partition keep their members; then all rejoin.

        After it heals, reports of deaths from the other side must not
        remove live members.
        """

        async def body(network: memory_daemons.Network) -> None:
            everyone = await self.start(network)
            regions = list(REGION_BY_SITE.values())
            network.cuts = {
                frozenset((regions[0], regions[1])),
                frozenset((regions[0], regions[2])),
            }
            await network.run(60_000)
            first = {
                name
                for name, daemon in network.daemons.items()
                if daemon.region == regions[0]
            }
            self.assert_views(network, first)
            self.assert_views(network, everyone - first)
            lost: list[str] = []
            for daemon in network.daemons.values():
                daemon.membership.on_change(
                    lambda joined, gone: lost.extend(
                        {member.name for member in gone}
                        - {member.name for member in joined}
                    )
                )
            network.cuts = set()
            await network.run(30_000)
            self.assert_views(network, everyone)
            self.assertEqual([], lost)

        simulate(body)

    def test_frozen_daemon_is_not_current_until_it_has_asked(self) -> None:
        """After a long freeze a daemon must not act on its outdated view.

        It must not suspect the others, and is current after they answered.
        """

        async def body(network: memory_daemons.Network) -> None:
            everyone = await self.start(network)
            frozen = network.daemons['entry-4']
            frozen.clock.frozen = True
            await network.run(8_000)
            self.assert_views(network, everyone - {'entry-4'})
            network.daemons['entry-7'].kill()
            await network.run(8_000)
            self.assertFalse(frozen.membership.is_current())
            frozen.clock.wake()
            self.assertFalse(frozen.membership.is_current())
            await network.run(3_000)
            self.assertTrue(frozen.membership.is_current())
            self.assert_views(network, everyone - {'entry-7'})

        simulate(body)

    def test_all_frozen_at_once_go_on(self) -> None:
        """No daemon is lost when all are frozen at the same time.

        A daemon that gets no answers is current after a bounded time.
        """

        async def body(network: memory_daemons.Network) -> None:
            everyone = await self.start(network)
            for daemon in network.daemons.values():
                daemon.clock.frozen = True
            await network.run(20_000)
            for daemon in network.daemons.values():
                daemon.clock.wake()
            network.cuts = {
                frozenset(('entry-1', site)) for site in REGION_BY_SITE
            }
            await network.run(3_500)
            current = [
                daemon.membership.is_current()
                for daemon in network.daemons.values()
            ]
            self.assertEqual([True] * 9, current)
            network.cuts = set()
            await network.run(15_000)
            self.assert_views(network, everyone)

        simulate(body)

    def test_silent_connection_is_replaced(self) -> None:
        """A connection that drops everything is replaced.

        Others still reach both daemons, so neither is lost.
        """

        async def body(network: memory_daemons.Network) -> None:
            everyone = await self.start(network)
            one, other = (network.daemons[n] for n in ('entry-1', 'entry-2'))
            one.peers.silent.add('entry-2')
            other.peers.silent.add('entry-1')
            await network.run(10_000)
            self.assertEqual(set(), one.peers.silent | other.peers.silent)
            self.assert_views(network, everyone)

        simulate(body)

    def test_restart_with_an_earlier_wall_clock(self) -> None:
        """A daemon that restarts with a lower incarnation becomes live.

        The others hold reports of a higher incarnation and would ignore it.
        """

        async def body(network: memory_daemons.Network) -> None:
            everyone = await self.start(network)
            network.daemons['entry-3'].kill()
            network.clock._wall_offset_ms -= 3_600_000
            network.start('entry-3', 'yeka-c', 'mekelle')
            await network.run(1_000)
            self.assert_views(network, everyone)
            held = {
                member.incarnation
                for daemon in network.daemons.values()
                for member in daemon.membership.live()
                if member.name == 'entry-3'
            }
            self.assertEqual(1, len(held))

        simulate(body)

    def test_leaving_is_known_at_once(self) -> None:
        """All members know within 200 ms that a daemon has left."""

        async def body(network: memory_daemons.Network) -> None:
            everyone = await self.start(network)
            network.daemons['entry-9'].membership.leave()
            await network.run(200)
            self.assert_views(network, everyone - {'entry-9'})

        simulate(body)
