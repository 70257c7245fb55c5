"""Search coordinators of several daemons in one process.

The coordinators and quarantines are the real ones; network, store and
targets are in memory.
"""

import asyncio
import dataclasses
import random
import typing

from samphiredock import coordination
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from standins import memory_peers
from standins import memory_platform
from standins import memory_targets

INDEX = 'claims'
SERVICE_MS = 3.0
_STEP_MS = 1.0


def make_snapshot(
    snapshot_id: int = 1, shards: int = 4, targets: int = 8
) -> state.Snapshot:
    """Return a snapshot of shards of equal size with two replicas each."""
    edges = [state.KEY_SPACE_SIZE * n // shards for n in range(shards + 1)]
    rows = [
        state.Shard(
            f's{n}',
            protocol.KeyRange(edges[n], edges[n + 1]),
            [f't{n % targets}', f't{(n + targets // 2) % targets}'],
        )
        for n in range(shards)
    ]
    index = state.IndexSnapshot(snapshot_id, rows)
    return state.Snapshot(snapshot_id, {INDEX: index})


def make_search(**changes: object) -> state.Search:
    """Return a search of ``INDEX`` for the 50 records with the best score."""
    search = state.Search(
        'history',
        INDEX,
        160,
        0.5,
        'interactive',
        False,
        state.MergeKind.BY_SCORE,
        50,
    )
    return dataclasses.replace(search, **changes)


def make_configuration(
    search: state.Search, targets: int = 8, **limits: object
) -> state.Configuration:
    """Return a configuration of one service at one site."""
    service = state.Service('desk', {'history': search}, {}, 1.0, 100)
    return state.Configuration(
        1,
        {'desk': service},
        {'bole-a': state.Site('bole-a', 'addis', 1.0, 1.0, {})},
        (INDEX,),
        {
            f't{n}': state.Target(f't{n}', 'bole-a', 'http://t', 2, 25, 6)
            for n in range(targets)
        },
        state.Limits(**limits),
    )


def ask(**terms: str) -> protocol.SearchRequest:
    """Return a caller's search."""
    return protocol.SearchRequest('desk', 'history', terms)


def good_answer(
    snapshot: state.Snapshot, item: protocol.SubQuery, **changes: object
) -> protocol.SubAnswer:
    """Return a complete answer with one record from ``snapshot``."""
    shards = snapshot.indexes[item.index].shards
    (shard,) = [row for row in shards if row.shard_id == item.shard_id]
    values = {
        'snapshot_id': item.snapshot_id,
        'ranges': [shard.key_range],
        'records': [protocol.Record(f'k-{item.shard_id}', 1.0, {})],
        'service_ms': SERVICE_MS,
        **changes,
    }
    return protocol.SubAnswer(
        item.attempt_id, item.target, protocol.SubStatus.ANSWERED, **values
    )


class Daemon:
    """One daemon of a tier: its coordinator and quarantine."""

    def __init__(self, tier: 'Tier', name: str) -> None:
        peers = tier.network.join(name)
        tier.targets.serve(peers)
        self.counters = metrics.Metrics(name)
        self.quarantine = coordination.Quarantine(
            peers,
            peers,
            memory_platform.MemoryPlatform(tier.store, tier.clock),
            tier.clock,
            self.counters,
        )
        self.admission = coordination.Admission(tier.clock)
        self.coordinator = coordination.Coordinator(
            name, 'bole-a', 1, tier, peers, tier.clock, self.counters,
            self.quarantine, self.admission,
            random.Random(f'{tier.seed}-{name}'),
        )  # fmt: skip


class Tier:
    """Daemons and in-memory targets; messages arrive without delay."""

    def __init__(
        self, search: state.Search, seed: int, daemons: int = 4
    ) -> None:
        self.seed = seed
        self.clock = timers.ManualTimers()
        self.snapshot = make_snapshot(1, 8, 16)
        self.configuration = make_configuration(search, 16)
        randomness = random.Random(seed)
        self.store = memory_platform.MemoryStore(randomness)
        self.network = memory_peers.MemoryNetwork(self.clock, randomness)
        self.network.near_ms = (0.0, 0.0)
        self.targets = memory_targets.MemoryTargets(
            self.clock,
            lambda item: good_answer(self.snapshot, item),
            SERVICE_MS,
        )
        self.daemons: dict[str, Daemon] = {}
        for number in range(daemons):
            self.add(f'd{number}')

    def add(self, name: str) -> Daemon:
        """Start another daemon with empty state."""
        self.daemons[name] = Daemon(self, name)
        return self.daemons[name]

    def close(self) -> None:
        """Close the metrics of all daemons."""
        for daemon in self.daemons.values():
            daemon.counters.close()

    def owner(self, target: str) -> str:
        """Return the dispatcher of a target, ``d0`` or ``d1``."""
        return f'd{int(target[1:]) % 2}'

    def is_usable(self, target: str) -> bool:
        """Return True: every target is usable."""
        return True

    async def gather(self, *searches: typing.Awaitable) -> list:
        """Run searches and advance the time until all have outcomes."""
        tasks = [asyncio.ensure_future(row) for row in searches]
        while not all(task.done() for task in tasks):
            await self.advance(_STEP_MS)
        return [task.result() for task in tasks]

    async def advance(self, delta_ms: float) -> None:
        """Deliver messages, advance the time, and run due callbacks."""
        for _ in range(4):
            await asyncio.sleep(0)
            self.clock.advance(0.0)
        self.clock.advance(delta_ms)
        await asyncio.sleep(0)
