"""Daemons' control parts on a manual clock and a network in memory.

The parts are the product's own; only sockets, clock and store are fakes.
A daemon can be frozen (its timers, messages and store answers wait), cut
off, killed and started again with nothing kept.
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
from tests import fakes_store

STEP_MS = 5.0
_FRAMING_BYTES = 12
_CODEC = protocol.Codec(protocol.CONTROL_MESSAGES)
BASE = {'services': {}, 'sites': {}, 'targets': {}, 'indexes': []}


class DaemonClock:
    """One process's timers; what falls due while it is frozen waits."""

    def __init__(self, base: timers.ManualTimers) -> None:
        self._base = base
        self.frozen = False
        self.dead = False
        self._held: list[typing.Callable[[], None]] = []
        self._gap: list[typing.Callable[[float], None]] = []
        self._last_ms = base.now_ms()
        self.now_ms = base.now_ms
        self.wall_ms = base.wall_ms
        self.every(timers.TICK_MS, self._check_gap)

    def after(
        self, delay_ms: float, callback: typing.Callable[[], None]
    ) -> timers.Subscription:
        """Call back once, unless the daemon is dead by then."""

        def fire() -> None:
            if self.frozen:
                self._held.append(fire)
            elif not self.dead:
                callback()

        return self._base.after(delay_ms, fire)

    def every(
        self, period_ms: float, callback: typing.Callable[[], None]
    ) -> timers.Subscription:
        """Call back at each period."""
        return timers._Repeating(self, period_ms, callback)

    def on_gap(self, callback: typing.Callable[[float], None]) -> None:
        """Call back after a freeze."""
        self._gap.append(callback)

    def _check_gap(self) -> None:
        now_ms = self.now_ms()
        gap_ms = now_ms - self._last_ms - timers.TICK_MS
        self._last_ms = now_ms
        if gap_ms > timers.GAP_MS:
            for callback in self._gap:
                callback(gap_ms)

    def thaw(self) -> None:
        """Go on: first with all that fell due meanwhile."""
        self.frozen = False
        held, self._held = self._held, []
        for callback in held:
            callback()


class Counters:
    """Metrics without an exporter."""

    def __init__(self) -> None:
        self.counts: collections.Counter = collections.Counter()

    def add(self, name: str, amount: float = 1, **labels: object) -> None:
        """Add to a counter."""
        self.counts[name] += amount


class SimPeers:
    """Peer sockets of one daemon on a :class:`Network`."""

    def __init__(self, network: 'Network', daemon: 'SimDaemon') -> None:
        self._network = network
        self._daemon = daemon
        self._handlers: dict[type, list] = collections.defaultdict(list)
        self.known: dict[str, str] = {}
        self.silent: set[str] = set()
        self.resets = 0
        self.open: set[str] = set()
        self._used: set[str] = set()

    def subscribe(self, kind: type, handler: typing.Callable) -> None:
        """Register a handler."""
        self._handlers[kind].append(handler)

    def set_address(self, member: str, address: str) -> None:
        """Learn an address."""
        self.known[member] = address

    def reset(self, member: str) -> None:
        """Make a new connection."""
        self.resets += 1
        self.silent.discard(member)

    def send(self, member: str, message: msgspec.Struct) -> bool:
        """Send over the network."""
        if member not in self.known:
            return False
        if member not in self.silent:
            address = self.known[member]
            self.open.add(address)
            self._used.add(address)
            self._network.carry(self._daemon, address, message)
        return True

    def close_idle(self) -> None:
        """Close unused connections."""
        self.open, self._used = self._used, set()

    def deliver(self, sender: str, message: msgspec.Struct) -> None:
        """Hand a message to its handlers."""
        for handler in self._handlers[type(message)]:
            handler(sender, message)


class SimDaemon:
    """The control parts of one daemon, as the node wires them."""

    def __init__(
        self, network: 'Network', name: str, site: str, region: str
    ) -> None:
        self.name, self.site, self.region = name, site, region
        self.network = network
        self.clock = DaemonClock(network.clock)
        self.counters = Counters()
        self.started_ms = network.clock.now_ms()
        self.peers = SimPeers(network, self)
        platform = fakes_store.FakePlatform(network.store, self.clock)
        self.knowledge = coordination.Knowledge(self.counters)
        self.watcher = coordination.Watcher(
            platform, self.clock, self.counters
        )
        coordination.follow_knowledge(self.watcher, self.knowledge)
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
            self.knowledge.versions,
            random.Random(f'{network.seed}-{name}-{self.started_ms}'),
            network.seeds,
        )
        self.spread = coordination.Spread(
            name,
            site,
            self.knowledge,
            self.watcher,
            self.membership,
            self.peers,
            self.clock,
            self.counters,
        )
        self.acceptor = coordination.Acceptor(
            platform, self.knowledge, self.clock, self.counters
        )
        self.membership.start()
        self.watcher.start()

    @property
    def is_ready(self) -> bool:
        """Whether it presents its revision as the one in force."""
        return (
            self.knowledge.revision > 0
            and self.membership.is_settled()
            and self.membership.is_current()
        )

    def live_names(self) -> set[str]:
        """Return the names of the members held live."""
        return {member.name for member in self.membership.live()}

    async def apply(
        self, change_id: str, base_revision: int, repeated: bool = False
    ) -> protocol.ChangeOutcome:
        """Apply a change as an operator would, and push it."""
        change = protocol.ConfigurationChange(
            base_revision, change_id, 'operator', BASE, {}, repeated
        )
        outcome = await self.acceptor.apply(change)
        if isinstance(outcome, protocol.ChangeAccepted):
            self.spread.announce_configuration()
        return outcome

    def kill(self) -> None:
        """End it without a word."""
        self.clock.dead = True
        self.membership.close()
        self.watcher.close()


class Network:
    """The daemons of a test, their clock, store and connections."""

    def __init__(self, seed: int, seeds: tuple[str, ...] = ()) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.clock = timers.ManualTimers()
        self.store = fakes_store.FakeStore(self.rng)
        self.seeds = seeds
        self.daemons: dict[str, SimDaemon] = {}
        self.cuts: set[frozenset[str]] = set()
        self.drop = 0.0
        self.duplicate = 0.0
        self.region_ms, self.far_ms = 1.5, 80.0
        self.bitten: collections.Counter = collections.Counter()
        self.sent: collections.Counter = collections.Counter()
        self.sent_bytes: collections.Counter = collections.Counter()

    def start(self, name: str, site: str, region: str) -> SimDaemon:
        """Start a daemon, or start it again with nothing kept."""
        self.daemons[name] = SimDaemon(self, name, site, region)
        return self.daemons[name]

    def carry(
        self, sender: SimDaemon, address: str, message: msgspec.Struct
    ) -> None:
        """Deliver a message after its way, unless a fault hits it."""
        kind, body = _CODEC.encode(message)
        size = len(kind) + len(body) + len(sender.name) + _FRAMING_BYTES
        self.sent[type(message).__name__] += 1
        self.sent_bytes[type(message).__name__] += size
        receiver = self.daemons.get(address.removeprefix('tcp://'))
        if receiver is None or receiver.clock.dead:
            return
        if self.is_cut(sender, receiver):
            self.bitten['cut'] += 1
            return
        if self.rng.random() < self.drop:
            self.bitten['drop'] += 1
            return
        copies = 1 + (self.rng.random() < self.duplicate)
        self.bitten['duplicate'] += copies - 1
        near = sender.region == receiver.region
        way_ms = self.region_ms if near else self.far_ms
        for _ in range(copies):
            delay_ms = way_ms * self.rng.uniform(1.0, 1.3)
            receiver.clock.after(
                delay_ms,
                lambda: receiver.peers.deliver(sender.name, message),
            )

    def is_cut(self, one: SimDaemon, other: SimDaemon) -> bool:
        """Whether nothing passes between two daemons."""
        return any(
            frozenset((left, right)) in self.cuts
            for left in (one.name, one.site, one.region)
            for right in (other.name, other.site, other.region)
        )

    async def run(self, duration_ms: float) -> None:
        """Let time pass, and the tasks with it."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.clock.advance(STEP_MS)
            for _ in range(3):
                await asyncio.sleep(0)

    def close(self) -> None:
        """End every daemon."""
        for daemon in self.daemons.values():
            daemon.kill()


def start_sites(
    network: Network, sites: typing.Mapping[str, str], count: int
) -> None:
    """Start ``count`` daemons spread over sites (site to region)."""
    names = list(sites)
    for number in range(count):
        site = names[number % len(names)]
        network.start(f'entry-{number + 1}', site, sites[site])
