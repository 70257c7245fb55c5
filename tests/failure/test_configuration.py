"""An accepted configuration comes into force and is never reverted."""

import asyncio
import collections
import os
import random
import typing
import unittest

import msgspec

from samphiredock import coordination
from samphiredock import state
from standins import memory_daemons
from standins import memory_platform
from tests import history_configuration as history

_Fault = memory_platform.Fault
SEED = int(os.environ.get('SAMPHIREDOCK_SEED', '20261202'))
SITES = {'bole-a': 'addis', 'kirkos-b': 'addis', 'yeka-c': 'mekelle'}
IN_FORCE_LIMIT_MS = 5_000.0
SCHEDULES = 6
ROUNDS = 12


def source(revision: int, change_id: str) -> bytes:
    """Return a stored configuration."""
    row = state.ConfigurationSource(
        revision, change_id, 'operator', 0, memory_daemons.BASE, {}
    )
    return msgspec.json.encode(row)


class Schedule:
    """A random run of daemons, operators and faults, with its history.

    ``reachable_ms`` gives since when each daemon is reachable, ``unready``
    the lowest revision with which a started daemon may become ready.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.network = memory_daemons.Network(seed)
        self.events: list[history.Event] = []
        self.faults: collections.Counter = collections.Counter()
        self.reachable_ms: dict[str, float] = {}
        self.unready: dict[str, int] = {}
        self.store = self.network.store
        self.operators: list[asyncio.Task] = []

    @property
    def now_ms(self) -> float:
        """The simulated time."""
        return self.network.clock.now_ms()

    def start(self, name: str, site: str) -> None:
        """Start a daemon and record what it applies."""
        floor = max(
            [
                daemon.current_state.revision
                for daemon in self.network.daemons.values()
                if daemon.is_ready and not daemon.clock.frozen
            ],
            default=0,
        )
        daemon = self.network.start(name, site, SITES[site])
        self.reachable_ms[name] = self.now_ms
        self.unready[name] = floor if not self.network.cuts else 0
        daemon.current_state.subscribe(
            lambda new: self.events.append(
                history.Applied(
                    self.now_ms,
                    name,
                    daemon.incarnation,
                    new.revision,
                    daemon.current_state.source.change_id,
                )
            )
        )

    async def run(self, duration_ms: float) -> None:
        """Advance the time; record new ready daemons and held revisions."""
        for _ in range(int(duration_ms // 100)):
            await self.network.run(100)
            self._observe()

    def _observe(self) -> None:
        for name, daemon in self.network.daemons.items():
            if daemon.clock.dead or daemon.clock.frozen:
                continue
            revision = daemon.current_state.revision
            if name in self.unready and daemon.is_ready:
                floor = self.unready.pop(name)
                self.events.append(
                    history.BecameReady(
                        self.now_ms, name, daemon.incarnation, revision, floor
                    )
                )
            self.events.append(
                history.Observed(
                    self.now_ms, name, self.reachable_ms[name], revision
                )
            )

    async def operate(self, daemon: memory_daemons.SimDaemon, name: str):
        """Apply a change as an operator; retry while it is unknown."""
        base = daemon.current_state.revision
        for sending in range(20):
            outcome = await daemon.apply(name, base, sending > 0)
            kind = type(outcome).__name__
            if kind != 'ChangeUnknown':
                break
            self.faults['unknown outcome'] += 1
            daemon = self.rng.choice(self.running())
        revision = getattr(outcome, 'revision', 0)
        self.events.append(history.Answered(self.now_ms, name, kind, revision))

    def running(self) -> list[memory_daemons.SimDaemon]:
        """Return the daemons that an operator can reach."""
        return [
            daemon
            for daemon in self.network.daemons.values()
            if not daemon.clock.dead and not daemon.clock.frozen
        ]

    def race(self, number: int) -> None:
        """Let two operators change the same base at two daemons."""
        for daemon in self.rng.sample(self.running(), 2):
            name = f'change-{number}-{daemon.name}'
            task = asyncio.create_task(self.operate(daemon, name))
            self.operators.append(task)

    def _daemons_of(self, site: str) -> list[memory_daemons.SimDaemon]:
        return [d for d in self.network.daemons.values() if d.site == site]

    async def fault(self, number: int) -> None:
        """Inject one random fault around changes, then end it."""
        kind = self.rng.choice(('store', 'freeze', 'cut', 'restart', 'old'))
        self.faults[kind] += 1
        site = self.rng.choice(list(SITES))
        await _FAULTS[kind](self, number, site)

    async def _store_outage(self, number: int, site: str) -> None:
        self.race(number)
        # The outage begins as soon as the first write has succeeded.
        before = self.store.position
        for _ in range(40):
            await self.network.run(5)
            if self.store.position > before:
                break
        self.store.outage = True
        await self.run(8_000)
        self.store.outage = False

    async def _freeze_site(self, number: int, site: str) -> None:
        frozen = self._daemons_of(site)
        for daemon in frozen:
            daemon.clock.frozen = True
        self.race(number)
        await self.run(6_000)
        for daemon in frozen:
            self.reachable_ms[daemon.name] = self.now_ms
            daemon.clock.wake()

    async def _partition_site(self, number: int, site: str) -> None:
        self.network.cuts = {
            frozenset((site, other)) for other in SITES if other != site
        }
        self.store.outage = True
        await self.run(300)
        self.store.outage = False
        self.race(number)
        await self.run(5_500)
        self.network.cuts = set()
        for name in self.reachable_ms:
            self.reachable_ms[name] = self.now_ms
            self.unready[name] = 0

    async def _restart_site(self, number: int, site: str) -> None:
        self.race(number)
        await self.run(self.rng.uniform(0, 200))
        for daemon in self._daemons_of(site):
            daemon.kill()
            self.start(daemon.name, site)
        await self.run(3_000)

    async def _start_on_stale_reads(self, number: int, site: str) -> None:
        # Every read is stale: only peers have the revision in force.
        self.race(number)
        await self.run(3_000)
        self.store.chances = {_Fault.STALE: 1.0}
        daemon = self._daemons_of(site)[0]
        daemon.kill()
        self.start(daemon.name, site)
        await self.run(4_000)
        self.store.chances = {_Fault.STALE: 0.2}

    def stored(self) -> dict[int, str]:
        """Return the changes listed in the store's object."""
        key = coordination.CONFIGURATION_KEY
        last = msgspec.json.decode(
            self.store.objects[key].value, type=state.ConfigurationSource
        )
        return {row.revision: row.change_id for row in last.recent}


_FAULTS: dict[str, typing.Callable] = {
    'store': Schedule._store_outage,
    'freeze': Schedule._freeze_site,
    'cut': Schedule._partition_site,
    'restart': Schedule._restart_site,
    'old': Schedule._start_on_stale_reads,
}


async def run_schedule(seed: int) -> Schedule:
    """Run one schedule until all faults have ended."""
    run = Schedule(seed)
    run.store.write(coordination.CONFIGURATION_KEY, source(1, 'first'))
    names = list(SITES)
    for number in range(8):
        run.start(f'entry-{number + 1}', names[number % 3])
    await run.run(3_000)
    run.network.loss, run.network.duplicate = 0.05, 0.05
    run.store.chances = {_Fault.LOST_AFTER: 0.3, _Fault.STALE: 0.2}
    for number in range(ROUNDS):
        await run.fault(number)
        await run.run(1_000)
    run.store.chances = {}
    run.network.loss = 0.0
    await run.run(8_000)
    run.network.close()
    return run


async def start_daemons(revision: int, daemons: int) -> Schedule:
    """Return running daemons with a revision in force, spread over sites."""
    run = Schedule(SEED)
    run.store.write(coordination.CONFIGURATION_KEY, source(revision, 'first'))
    for number in range(daemons):
        run.start(f'entry-{number + 1}', list(SITES)[number % 3])
    await run.run(3_000)
    return run


class ConfigurationTest(unittest.TestCase):
    """Eight daemons in three sites of two regions."""

    def test_never_reverts_under_a_random_schedule(self) -> None:
        """Accepted changes come into force in time and are never reverted.

        Operators race from one base while the store loses answers, returns old
        objects and fails right after a write; sites are frozen, partitioned
        and restarted.
        """
        totals: collections.Counter = collections.Counter()
        for number in range(SCHEDULES):
            seed = SEED + number
            run = asyncio.run(run_schedule(seed))
            with self.subTest(seed=seed):
                self.assert_invariants(run)
            totals.update(run.faults)
            totals.update(run.network.faults)
            totals.update(
                {f'store {k.value}': v for k, v in run.store.faults.items()}
            )
            totals.update(
                getattr(event, 'outcome', type(event).__name__)
                for event in run.events
            )
        print(f'configuration, {SCHEDULES} seeds from {SEED}: {dict(totals)}')
        for name in ('ChangeAccepted', 'ChangeConflict', 'BecameReady'):
            self.assertGreaterEqual(totals[name], 20, name)
        lost, outage = _Fault.LOST_AFTER.value, _Fault.OUTAGE.value
        for name in (*_FAULTS, 'loss', f'store {lost}', f'store {outage}'):
            self.assertGreaterEqual(totals[name], 3, name)

    def assert_invariants(self, run: Schedule) -> None:
        """Assert all checkers on a run's history."""
        events = run.events
        self.assertEqual([], history.reverted(events)[:3])
        self.assertEqual([], history.ready_too_old(events)[:3])
        self.assertEqual([], history.conflicting_revisions(events)[:3])
        self.assertEqual([], history.refused_but_applied(events)[:3])
        lost = history.accepted_but_lost(events, run.stored())
        self.assertEqual([], lost[:3])
        self.assertEqual([], history.overdue(events, IN_FORCE_LIMIT_MS)[:3])
        final = {
            d.current_state.revision for d in run.network.daemons.values()
        }
        self.assertEqual({max(run.stored())}, final)


class StepsTest(unittest.IsolatedAsyncioTestCase):
    """Single failures, step by step."""

    async def test_woken_site_is_not_ready_on_an_old_revision(self) -> None:
        """A woken site is not ready until it has the revision in force.

        The change was accepted while the site was frozen; the store is down.
        """
        run = await start_daemons(1, 6)
        frozen = run._daemons_of('yeka-c')
        for daemon in frozen:
            daemon.clock.frozen = True
        task = asyncio.create_task(
            run.network.daemons['entry-1'].apply('two', 1)
        )
        await run.network.run(200)
        self.assertEqual(2, task.result().revision)
        run.store.outage = True
        await run.network.run(6_000)
        seen = set()
        for daemon in frozen:
            daemon.clock.wake()
        for _ in range(1_000):
            for daemon in frozen:
                seen.add((daemon.is_ready, daemon.current_state.revision))
            await run.network.run(5)
        run.network.close()
        self.assertEqual({(False, 1), (False, 2), (True, 2)}, seen)

    async def test_fresh_daemon_while_the_store_is_down(self) -> None:
        """Without the store, a new daemon gets the configuration from peers.

        Without a reachable peer it never becomes ready.
        """

        async def body(seeds: tuple[str, ...]) -> tuple[bool, int, int]:
            run = await start_daemons(1, 6)
            task = asyncio.create_task(
                run.network.daemons['entry-1'].apply('two', 1)
            )
            await run.network.run(50)
            await task
            run.store.outage = True
            run.network.seeds = seeds
            fresh = run.network.start('entry-9', 'yeka-c', 'mekelle')
            await run.network.run(2_500)
            run.network.close()
            revision = fresh.current_state.revision
            return fresh.is_ready, revision, len(fresh.live_names())

        seeds = ('tcp://entry-2', 'tcp://entry-3')
        self.assertEqual((True, 2, 7), await body(seeds))
        self.assertEqual((False, 0, 1), await body(()))

    async def test_store_restored_from_a_backup(self) -> None:
        """A store restored from a backup does not bring back an old revision.

        The next change is numbered above the revision in force.
        """
        run = await start_daemons(5, 3)
        run.store.write(coordination.CONFIGURATION_KEY, source(3, 'three'))
        await run.run(2_000)
        daemons = list(run.network.daemons.values())
        older = [
            daemon.counters.counts['configuration_older_seen']
            for daemon in daemons
        ]
        self.assertTrue(all(older), older)
        task = asyncio.create_task(daemons[0].apply('six', 5))
        await run.run(2_000)
        run.network.close()
        self.assertEqual(6, task.result().revision)
        self.assertEqual([6] * 3, [d.current_state.revision for d in daemons])
        self.assertEqual([], history.reverted(run.events))
