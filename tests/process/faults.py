"""Seeded random faults of a run."""

import asyncio
import collections
import dataclasses
import functools
import itertools
import random
import signal
import typing

import aiohttp

from tests import history
from tests.process import system as systems

IN_FORCE_WITHIN_MS = 5_000.0
_OUTAGE_AT_S = 3.0
_TARGET_FAULTS = (
    'truncate',
    'cross_answers',
    'cold_answers_empty',
    'wrong_snapshot',
    'shed',
    'cold',
    'lie_healthy',
)
_STORE_FAULTS = (
    'new snapshot',
    'store outage',
    'store loses answers',
    'store reads stale',
)


@dataclasses.dataclass
class Recording:
    """What callers, pollers and faults of one run recorded."""

    calls: list[history.Call] = dataclasses.field(default_factory=list)
    samples: list[history.RevisionSample] = dataclasses.field(
        default_factory=list
    )
    accepted: list[history.AcceptedChange] = dataclasses.field(
        default_factory=list
    )
    changes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    faults: list[str] = dataclasses.field(default_factory=list)
    disturbances: list[tuple[str, float, float]] = dataclasses.field(
        default_factory=list
    )

    def excused(self, daemon: str, at_ms: float) -> bool:
        """Return whether a daemon was disturbed within the limit before."""
        return any(
            name in (daemon, '*')
            and start <= at_ms <= end + IN_FORCE_WITHIN_MS
            for name, start, end in self.disturbances
        )


class Faults:
    """Injects and ends faults of processes, connections and the store.

    Each fault has its own random source, so that the draws of a seed do not
    depend on timing.

    Parameters
    ----------
    store_is_out
        Leave out the faults that would end a long outage of the store.
    """

    def __init__(
        self,
        system: systems.System,
        recording: Recording,
        seed: int,
        store_is_out: bool = False,
    ) -> None:
        self.system = system
        self.recording = recording
        self._seed = seed
        self._random = random.Random(f'{seed}-deck')
        self._deck: list[str] = []
        self._fault_numbers = itertools.count()
        self._faults: dict[str, typing.Callable] = {
            'kill daemon': self._kill_daemon,
            'freeze daemon': self._freeze_daemon,
            'kill target': self._kill_target,
            'freeze target': self._freeze_target,
            'silence old target connections': self._silence_target,
            'silence old store connections': self._silence_store,
            'store outage': self._store_outage,
            'store loses answers': self._lose_answers,
            'store reads stale': self._stale_reads,
            'new snapshot': self._new_snapshot,
            'restart daemon': self._restart_daemon,
            'freeze site': self._freeze_site,
            'cut target': self._cut_target,
            **{
                f'target with {fault}': functools.partial(
                    self._wrong_target, fault
                )
                for fault in _TARGET_FAULTS
            },
        }
        if store_is_out:
            for name in _STORE_FAULTS:
                del self._faults[name]

    async def inject_two(self) -> None:
        """Inject two faults at once and wait until both are over.

        Each fault is used once before any is repeated.
        """
        if len(self._deck) < 2:
            self._deck = sorted(self._faults)
            self._random.shuffle(self._deck)
        names = self._deck.pop(), self._deck.pop()
        await asyncio.gather(*map(self._inject, names))

    async def _inject(self, name: str) -> None:
        self.recording.faults.append(name)
        rng = random.Random(f'{self._seed}-{next(self._fault_numbers)}')
        await self._faults[name](rng)

    def _record_disturbance(self, name: str, start_ms: float) -> None:
        row = (name, start_ms, systems.now_ms())
        self.recording.disturbances.append(row)

    async def _kill_daemon(self, rng: random.Random) -> None:
        name = _one_of(self.system.daemons, rng)
        start_ms = systems.now_ms()
        self.system.kill(name)
        self.system.processes[name].wait()
        await asyncio.sleep(rng.uniform(0.2, 1.5))
        self.system.start_daemon(name)
        await self.system.wait_ready(name)
        self._record_disturbance(name, start_ms)

    async def _restart_daemon(self, rng: random.Random) -> None:
        name = _one_of(self.system.daemons, rng)
        start_ms = systems.now_ms()
        process = self.system.processes[name]
        self.system.kill(name, signal.SIGTERM)
        while process.poll() is None:
            await asyncio.sleep(0.05)
        self.system.start_daemon(name)
        await self.system.wait_ready(name)
        self._record_disturbance(name, start_ms)

    async def _freeze_daemon(self, rng: random.Random) -> None:
        name = _one_of(self.system.daemons, rng)
        start_ms = systems.now_ms()
        process = self.system.processes[name]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(2.5, 6.0))
        process.send_signal(signal.SIGCONT)
        self._record_disturbance(name, start_ms)

    async def _kill_target(self, rng: random.Random) -> None:
        name = _one_of(self.system.target_urls, rng)
        self.system.kill(name)
        self.system.processes[name].wait()
        await asyncio.sleep(rng.uniform(0.2, 2.0))
        self.system.restart_target(name)
        await self.system.wait_for(f'{self.system.target_urls[name]}/health')

    async def _freeze_target(self, rng: random.Random) -> None:
        name = _one_of(self.system.target_urls, rng)
        process = self.system.processes[name]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(1.0, 4.0))
        process.send_signal(signal.SIGCONT)

    async def _freeze_site(self, rng: random.Random) -> None:
        start_ms = systems.now_ms()
        site = rng.choice(systems.SITES)
        frozen = [
            place.name
            for place in self.system.daemons.values()
            if place.site == site
        ]
        for name in frozen:
            self.system.kill(name, signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(2.5, 5.0))
        for name in frozen:
            self.system.kill(name, signal.SIGCONT)
            self._record_disturbance(name, start_ms)

    async def _cut_target(self, rng: random.Random) -> None:
        name = _one_of(self.system.target_urls, rng)
        await self.system.relay_mode(systems.RELAY, name, 'cut')
        await asyncio.sleep(rng.uniform(0.2, 1.5))
        await self.system.relay_mode(systems.RELAY, name, 'pass')

    async def _wrong_target(self, fault: str, rng: random.Random) -> None:
        """Switch on a fault of a target for a time."""
        name = _one_of(self.system.target_urls, rng)
        draining = fault == 'lie_healthy'
        try:
            await self.system.target_faults(
                name, **{fault: True, 'draining': draining}
            )
            await asyncio.sleep(rng.uniform(0.5, 2.5))
            await self.system.target_faults(name)
        except (aiohttp.ClientError, OSError):
            # The target is down; it restarts without faults.
            self.recording.faults.append('(target was down)')

    async def _silence_target(self, rng: random.Random) -> None:
        name = _one_of(self.system.target_urls, rng)
        await self.system.relay_mode(systems.RELAY, name, 'silence-old')

    async def _silence_store(self, rng: random.Random) -> None:
        start_ms = systems.now_ms()
        await self.system.relay_mode(systems.RELAY, 'store', 'silence-old')
        self._record_disturbance('*', start_ms)

    async def _store_outage(self, rng: random.Random) -> None:
        length_ms = rng.uniform(2_000, 5_000)
        await self.system.store_faults(outage_ms=length_ms)
        await asyncio.sleep(length_ms / 1000.0)

    async def long_outage(self, seconds: float) -> None:
        await asyncio.sleep(_OUTAGE_AT_S)
        self.recording.faults.append(f'store outage {seconds:.0f} s')
        await self.system.store_faults(outage_ms=seconds * 1_000.0)
        await asyncio.sleep(seconds)

    async def _lose_answers(self, rng: random.Random) -> None:
        await self.system.store_faults(lose_answers=8)
        await asyncio.sleep(1.0)
        await self.system.store_faults()

    async def _stale_reads(self, rng: random.Random) -> None:
        await self.system.store_faults(stale_reads=8)
        await asyncio.sleep(1.0)
        await self.system.store_faults()

    async def _new_snapshot(self, rng: random.Random) -> None:
        await self.system.publish_snapshot(rng.randint(4, 16))


def _one_of(names: typing.Iterable[str], rng: random.Random) -> str:
    return rng.choice(sorted(names))
