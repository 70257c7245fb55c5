"""Control planes of daemons on a manual clock and an in-memory network.

The components are the real ones; sockets, clock and store are in memory.  A
daemon can be frozen (its timers, messages and store responses wait), cut
off, killed, and restarted with empty state.
"""

import asyncio
import collections
import random
import typing

import msgspec

from samphiredock import coordination
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from standins import memory_hosts
from standins import memory_peers
from standins import memory_platform

STEP_MS = 5.0
_FRAMING_BYTES = 12
_CODEC = protocol.Codec(protocol.CONTROL_MESSAGES)
BASE = {'services': {}, 'sites': {}, 'targets': {}, 'indexes': []}


class Counters:
    """Metrics that only count."""

    def __init__(self) -> None:
        self.counts: collections.Counter = collections.Counter()

    def add(self, name: str, amount: float = 1, **labels: object) -> None:
        """Add to a counter."""
        self.counts[name] += amount


class SimDaemon:
    """The control plane of one daemon, wired as in the real program."""

    def __init__(
        self, network: 'Network', name: str, site: str, region: str
    ) -> None:
        self.name, self.site, self.region = name, site, region
        self.network = network
        self.clock = memory_hosts.MemoryHost(network.clock)
        self.counters = Counters()
        self.started_ms = network.clock.now_ms()
        self.peers = network.join(
            name, self.clock, (site, region), needs_address=True
        )
        platform = memory_platform.MemoryPlatform(
            network.store, network.clock, (2.0, 2.0), self.clock
        )
        self.current_state = coordination.CurrentState(self.counters)
        self.watcher = coordination.Watcher(
            platform, self.clock, self.counters
        )
        coordination.follow_configuration(self.watcher, self.current_state)
        address = f'tcp://{name}'
        member = state.Member(
            name, site, region, address, name, name, self.clock.wall_ms()
        )
        self.incarnation = member.incarnation
        self.membership = coordination.Membership(
            member,
            self.peers,
            _CODEC,
            platform,
            self.clock,
            self.counters,
            self.current_state.versions,
            random.Random(f'{network.seed}-{name}-{self.started_ms}'),
            network.seeds,
        )
        self.distribution = coordination.ObjectDistribution(
            name,
            site,
            self.current_state,
            self.watcher,
            self.membership,
            self.peers,
            self.clock,
            self.counters,
        )
        self.acceptor = coordination.Acceptor(
            platform, self.current_state, self.clock, self.counters
        )
        self.membership.start()
        self.watcher.start()

    @property
    def is_ready(self) -> bool:
        """Whether the daemon considers its configuration current."""
        return (
            self.current_state.revision > 0
            and self.membership.is_settled()
            and self.membership.is_current()
        )

    def live_names(self) -> set[str]:
        """Return the names of the members considered live."""
        return {member.name for member in self.membership.live()}

    async def apply(
        self, change_id: str, base_revision: int, repeated: bool = False
    ) -> protocol.ChangeOutcome:
        """Apply an operator's change; announce it if it is accepted."""
        change = protocol.ConfigurationChange(
            base_revision, change_id, 'operator', BASE, {}, repeated
        )
        outcome = await self.acceptor.apply(change)
        if isinstance(outcome, protocol.ChangeAccepted):
            self.distribution.announce_configuration()
        return outcome

    def kill(self) -> None:
        """Kill the daemon without notice to its peers."""
        self.clock.dead = True
        self.membership.close()
        self.watcher.close()


class Network(memory_peers.MemoryNetwork):
    """The daemons of a test with their clock, store and connections.

    ``sent`` and ``sent_bytes`` count messages and their bytes by type.
    """

    def __init__(self, seed: int, seeds: tuple[str, ...] = ()) -> None:
        self.seed = seed
        super().__init__(timers.ManualTimers(), random.Random(seed))
        self.near_ms = (1.5, 1.95)
        self.store = memory_platform.MemoryStore(self.random)
        self.seeds = seeds
        self.daemons: dict[str, SimDaemon] = {}
        self.sent: collections.Counter = collections.Counter()
        self.sent_bytes: collections.Counter = collections.Counter()
        self.observers.append(self._count)

    def start(self, name: str, site: str, region: str) -> SimDaemon:
        """Start a daemon, or restart it with empty state."""
        self.daemons[name] = SimDaemon(self, name, site, region)
        return self.daemons[name]

    def _count(self, sender: str, message: msgspec.Struct) -> None:
        kind, body = _CODEC.encode(message)
        size = len(kind) + len(body) + len(sender) + _FRAMING_BYTES
        self.sent[type(message).__name__] += 1
        self.sent_bytes[type(message).__name__] += size

    async def run(self, duration_ms: float) -> None:
        """Advance the time in steps, running tasks after each."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.clock.advance(STEP_MS)
            for _ in range(3):
                await asyncio.sleep(0)

    def close(self) -> None:
        """Kill every daemon."""
        for daemon in self.daemons.values():
            daemon.kill()


def start_sites(
    network: Network, sites: typing.Mapping[str, str], count: int
) -> None:
    """Start ``count`` daemons, spread evenly over ``sites``.

    ``sites`` maps each site to its region.
    """
    names = list(sites)
    for number in range(count):
        site = names[number % len(names)]
        network.start(f'entry-{number + 1}', site, sites[site])
