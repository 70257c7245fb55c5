"""Distribution of objects among daemons, at a size where relays are used."""

import asyncio
import collections
import typing
import unittest

import msgspec

from samphiredock import coordination
from samphiredock.coordination.fleet import _relay
from samphiredock import protocol
from standins import memory_daemons
from tests.failure import test_configuration
from tests.failure import test_membership

SITES = {'bole-a': 'addis', 'sal-a': 'midtjylland'}
COUNT = 72
DRAIN_KEY = 'targets/shard-1'


class DistributionTest(unittest.TestCase):
    """Seventy-two daemons in two sites of two regions."""

    async def start(
        self, network: memory_daemons.Network
    ) -> list[memory_daemons.SimDaemon]:
        """Start all daemons on revision 1; wait until all are members."""
        network.store.write(
            coordination.CONFIGURATION_KEY, test_configuration.source(1, 'one')
        )
        memory_daemons.start_sites(network, SITES, COUNT)
        await network.run(6_000)
        daemons = list(network.daemons.values())
        self.assertEqual({COUNT}, {len(d.live_names()) for d in daemons})
        for daemon in daemons:
            daemon.counters.counts.clear()
        return daemons

    def run_with(
        self,
        body: typing.Callable[
            [memory_daemons.Network, list[memory_daemons.SimDaemon]],
            typing.Coroutine[None, None, None],
        ],
    ) -> None:
        """Run a test body with the started daemons."""

        async def run(network: memory_daemons.Network) -> None:
            await body(network, await self.start(network))

        test_membership.simulate(run)

    async def accept(self, daemon: memory_daemons.SimDaemon) -> None:
        """Accept revision 2 at one daemon."""
        outcome = await daemon.apply('two', 1)
        self.assertEqual(protocol.ChangeAccepted(2), outcome)

    def test_change_reaches_each_daemon_once(self) -> None:
        """A change reaches every daemon within a second, once.

        No daemon sends the object to more than its children in the relay tree,
        and the accepting daemon gets a confirmation from each.
        """

        async def body(network, daemons) -> None:
            task = asyncio.create_task(self.accept(daemons[5]))
            await network.run(1_000)
            await task
            self.assertEqual({2}, {d.current_state.revision for d in daemons})
            got = [d.counters.counts['objects_received'] for d in daemons]
            given = [d.counters.counts['objects_given'] for d in daemons]
            self.assertLessEqual(max(got), 1)
            self.assertLessEqual(max(given), 2 * _relay.FAN_OUT)
            confirmed = daemons[5].membership.confirmations(2)
            half = {'live': COUNT // 2, 'confirmed': COUNT // 2}
            self.assertEqual({site: half for site in SITES}, confirmed)

        self.run_with(body)

    def test_frozen_relays_are_bypassed(self) -> None:
        """Daemons behind frozen relays get the change from other peers.

        Every tenth daemon freezes as the change is accepted and the store goes
        down; probes carry the version.
        """

        async def body(network, daemons) -> None:
            for daemon in daemons[1::10]:
                daemon.clock.frozen = True
            task = asyncio.create_task(self.accept(daemons[0]))
            await network.run(30)
            network.store.outage = True
            await task
            await network.run(4_970)
            revisions = collections.Counter(
                d.current_state.revision for d in daemons if not d.clock.frozen
            )
            self.assertEqual({2: COUNT - 8}, dict(revisions))

        self.run_with(body)

    def test_two_watchers_per_site_relay_to_the_others(self) -> None:
        """Changed objects reach all daemons through two watchers per site.

        If both watchers of a site freeze, others take over.
        """

        async def body(network, daemons) -> None:
            seen: dict[str, int] = collections.defaultdict(int)
            for daemon in daemons:
                daemon.watcher.close()
                daemon.watcher.follow(
                    'targets/',
                    lambda stored, name=daemon.name: seen.update(
                        {name: max(seen[name], stored.version)}
                    ),
                )
                daemon.watcher.start()
            await network.run(2_000)
            # Two watchers in each of two sites hold a long poll per prefix.
            prefixes = 3
            self.assertEqual(prefixes * 2 * 2, network.store.waiting)
            version = network.store.write(DRAIN_KEY, b'{}')
            await network.run(1_000)
            self.assertEqual({version}, {seen[d.name] for d in daemons})
            frozen = [
                daemon
                for daemon in daemons
                if daemon.distribution.is_watcher() and daemon.site == 'sal-a'
            ]
            self.assertEqual(2, len(frozen))
            for daemon in frozen:
                daemon.clock.frozen = True
            await network.run(8_000)
            version = network.store.write(DRAIN_KEY, b'{}')
            await network.run(1_000)
            running = [d for d in daemons if not d.clock.frozen]
            self.assertEqual({version}, {seen[d.name] for d in running})

        self.run_with(body)


class RelayTest(unittest.TestCase):
    """The relay tree of one message."""

    def test_tree_reaches_each_member_once(self) -> None:
        """Every member but the root has exactly one parent."""
        for count in (1, 2, 9, 61, 490):
            names = [f'entry-{number}' for number in range(count)]
            children = [
                child
                for name in names
                for child in _relay.children_of(name, names, 'message-1')
            ]
            root = _relay.relay_order(names, 'message-1')[0]
            self.assertEqual(sorted(names), sorted([root, *children]))

    def test_repeats_are_dropped(self) -> None:
        """A message that arrives twice is delivered once."""
        network = memory_daemons.Network(1)
        daemon = _Receiver(network)
        envelope = protocol.Envelope(
            'm-1',
            'entry-9',
            1,
            b'ObjectChanged',
            msgspec.msgpack.encode(protocol.ObjectChanged('k', 1, b'v')),
        )
        for sender in ('entry-8', 'entry-7'):
            daemon.peers.deliver(sender, envelope)
        self.assertEqual([('entry-9', 1)], daemon.got)


class _Receiver:
    def __init__(self, network: memory_daemons.Network) -> None:
        me = memory_daemons.state.Member('me', 's', 'r', '', '', '', 1)
        self.name = 'me'
        self.got: list[tuple[str, int]] = []
        self.peers = network.join('me')
        self.peers.subscribe(
            protocol.ObjectChanged,
            lambda sender, changed: self.got.append((sender, changed.version)),
        )
        codec = protocol.Codec(protocol.CONTROL_MESSAGES)
        counters = memory_daemons.Counters()
        _relay.Relay(me, self.peers, codec, lambda: (me,), counters)
