"""Runners of several daemons in one process.

The runners are the real ones; clock, store, peers and dispatchers are in
memory.  A daemon can be frozen, killed, and restarted with empty state.
"""

import collections
import dataclasses
import itertools
import random

from samphiredock import coordination
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from standins import memory_dispatcher
from standins import memory_hosts
from standins import memory_peers
from standins import memory_platform

SERVICE = 'relief-payout'
OPERATION = 'release-payout'
TARGETS = ('desk-1', 'desk-2')
DEADLINE_MS = 2_000


class MemoryView:
    """A daemon's view: one operation, two targets, two dispatchers."""

    def __init__(self) -> None:
        operation = state.Operation(
            OPERATION, DEADLINE_MS, 'interactive', TARGETS
        )
        service = state.Service(
            SERVICE, {}, {OPERATION: operation}, 1.0, 1_000
        )
        self.configuration: state.Configuration | None = state.Configuration(
            1, {SERVICE: service}, {}, (), {}, state.Limits()
        )
        self.unusable: set[str] = set()

    def owner(self, target: str) -> str | None:
        """Return the dispatcher of a target."""
        return f'dispatcher-of-{target}'

    def is_usable(self, target: str) -> bool:
        """Return whether a target may get work."""
        return target not in self.unusable


@dataclasses.dataclass(slots=True)
class Daemon:
    """One process of a daemon, from its start to its end."""

    name: str
    incarnation: int
    host: memory_hosts.MemoryHost
    runner: coordination.Runner

    @property
    def process(self) -> str:
        """Name and incarnation, which identify the process."""
        return f'{self.name}/{self.incarnation}'


class RunnerSystem:
    """Daemons, dispatchers and a store.

    ``started`` lists every daemon process started so far; ``faults`` counts
    the injected faults.

    Parameters
    ----------
    seed
        Seed of all randomness.
    counters
        Metrics of all daemons.
    latency_ms
        Longest time of a store call.
    """

    def __init__(
        self,
        seed: int,
        counters: metrics.Metrics,
        latency_ms: float = 0.0,
    ) -> None:
        self.random = random.Random(seed)
        self.clock = memory_hosts.SteppedTimers()
        self.metrics = counters
        self.store = memory_platform.MemoryStore(self.random)
        self._way_ms = (0.0, latency_ms / 2)
        self.network = memory_peers.MemoryNetwork(self.clock, self.random)
        self.view = MemoryView()
        self.dispatchers = [
            memory_dispatcher.MemoryDispatcher(
                self.network,
                f'dispatcher-of-{target}',
                self.clock,
                self.random,
                self.on_executed,
            )
            for target in TARGETS
        ]
        self.daemons: dict[str, Daemon] = {}
        self.started: list[Daemon] = []
        self.faults: collections.Counter[str] = collections.Counter()
        self._incarnations = itertools.count(1)

    def on_executed(self, order: protocol.RunOrder, receipt: str) -> None:
        """Called when a target has run an order; subclasses record it."""

    def start(
        self,
        name: str,
        quarantine: coordination.RunQuarantine | None = None,
    ) -> Daemon:
        """Start a daemon, or restart it with empty state."""
        host = memory_hosts.MemoryHost(self.clock)
        incarnation = next(self._incarnations)
        runner = coordination.Runner(
            name,
            'bole-a',
            incarnation,
            self.view,
            self.network.join(name, host),
            memory_platform.MemoryPlatform(
                self.store, self.clock, self._way_ms, host
            ),
            host,
            self.metrics,
            self.random,
            quarantine,
        )
        self.daemons[name] = Daemon(name, incarnation, host, runner)
        self.started.append(self.daemons[name])
        return self.daemons[name]

    def set_behaviours(self, *behaviours: str) -> None:
        """Set the behaviours that all dispatchers draw from."""
        for dispatcher in self.dispatchers:
            dispatcher.behaviours = behaviours

    def kill(self, daemon: Daemon) -> None:
        """Kill a daemon; its callers get no response."""
        daemon.host.dead = True
        self.faults['kill'] += 1
