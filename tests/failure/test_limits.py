"""A target's limits of slots and connections are never exceeded."""

import asyncio
import os
import random
import typing
import unittest
from unittest import mock

from aiohttp import web

from samphiredock.coordination.targets import _dispatcher
from samphiredock.coordination.targets import _scheduler
from samphiredock.coordination.targets import _scheduler_types
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from standins import memory_peers
from standins import target as standin
from standins import target_faults
from standins import target_limits
from standins import virtual_time
from tests.unit import dispatching

_SLOTS = 2
_CONNECTIONS = 4
_QUERIES = 400


class _System:
    """One dispatcher and one stand-in target, both in this process."""

    def __init__(self) -> None:
        self.random = random.Random(os.environ['SAMPHIREDOCK_SEED'])
        capacity = target_limits.Capacity(_SLOTS, _CONNECTIONS, 2.0)
        self.target = standin.Target('t1', capacity, 1, True)
        whole = protocol.KeyRange(0, state.KEY_SPACE_SIZE)
        shard = state.Shard('shard', whole, ['t1'])
        index = state.IndexSnapshot(1, [shard])
        self.target.hold_snapshot(state.Snapshot(1, {'i': index}))
        self.faults = target_faults.Faults(service_ms=4.0, straggler=0.02)
        self.target._faults = self.faults
        self.peers = memory_peers.RecordingPeers()
        self.counters = metrics.Metrics('test')

    async def __aenter__(self) -> typing.Self:
        self.runner = web.AppRunner(
            self.target.application(), access_log=None, shutdown_timeout=0.5
        )
        await self.runner.setup()
        self.target.limits.server = self.runner.server
        await web.TCPSite(self.runner, '127.0.0.1', 0).start()
        url = f'http://127.0.0.1:{self.runner.addresses[0][1]}'
        configured = state.Target('t1', 'a', url, _SLOTS, _CONNECTIONS, 2)
        self.clock = timers.LoopTimers()
        self.dispatcher = _dispatcher.Dispatcher(
            self.peers, self.clock, self.counters
        )
        self.dispatcher.configure(
            dispatching.configuration(
                configured, batch_items=4, silent_after_ms=80
            )
        )
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.dispatcher.close()
        self.clock.close()
        await self.runner.cleanup()
        self.counters.close()

    async def load(self) -> None:
        """Send queries; cancel some, drop the answers of others."""
        for number in range(_QUERIES):
            budget_ms = self.random.choice([40.0, 150.0, 400.0])
            message = dispatching.batch(
                dispatching.item(f'{number}'),
                budget_ms=budget_ms,
                alone=number % 9 == 0,
            )
            self.peers.deliver(message)
            if number % 5 == 0:
                cancel = protocol.CancelAttempts('q', [f'{number - 3}'])
                self.peers.deliver(cancel)
            if number % 80 == 40:
                self.faults.swallow_answers += 1
            await asyncio.sleep(0.002)
        await self.dispatcher.drain()

    @property
    def stats(self) -> target_limits.Stats:
        """The counters of the target."""
        return self.target._stats


class LimitsTest(unittest.TestCase):
    """One target of two slots and four connections, under faults.

    Time is simulated, so that the results do not depend on the machine.
    """

    def test_no_breach_under_lost_answers_and_cancels(self) -> None:
        """Attempts expire or are cancelled, and connections go silent.

        Each attempt is answered exactly once, and the target counts no use
        beyond its limits.
        """
        virtual_time.run(self._check_lost_answers_and_cancels())

    async def _check_lost_answers_and_cancels(self) -> None:
        async with _System() as system:
            await system.load()
            statuses = system.peers.statuses()
            self.assertGreater(system.stats.items, 40)
            self.assertGreater(system.counters.total('target_errors'), 2)
        self.assertEqual(0, system.stats.slot_breaches)
        self.assertEqual(0, system.stats.connection_breaches)
        once = {name: 1 for name in map(str, range(_QUERIES))}
        counts = {name: len(rows) for name, rows in statuses.items()}
        self.assertEqual(once, counts)

    def test_slots_are_exceeded_without_holding_lost_exchanges(self) -> None:
        """A slow target goes on working after the dispatcher gave up.

        If the slot were freed then, the target would exceed its slots.
        """
        virtual_time.run(self._check_hold())

    async def _check_hold(self) -> None:
        counts = []
        for naive in (False, True):
            async with _System() as system:
                system.faults.service_ms, system.faults.sigma = 300.0, 0.0
                ended = _scheduler.TargetScheduler.end_exchange

                def free(scheduler, ticket, exchange_end, now_ms):
                    return ended(
                        scheduler,
                        ticket,
                        _scheduler_types.ExchangeEnd.FREE,
                        now_ms,
                    )

                patched = mock.patch.object(
                    _scheduler.TargetScheduler, 'end_exchange', free
                )
                if naive:
                    patched.start()
                try:
                    for number in range(30):
                        system.peers.deliver(
                            dispatching.batch(
                                dispatching.item(f'{number}'), alone=True
                            )
                        )
                        await asyncio.sleep(0.01)
                    await system.dispatcher.drain()
                finally:
                    if naive:
                        patched.stop()
                counts.append(system.stats.slot_breaches)
        self.assertEqual(0, counts[0])
        self.assertGreater(counts[1], 0)
