"""Simulates runners of several daemons in one process, with seeded faults."""

import asyncio
import itertools
import os
import typing
import unittest

from samphiredock import metrics
from samphiredock import protocol
from standins import memory_platform
from standins import memory_runners
from tests import history_runs


SEED = int(os.environ.get('SAMPHIREDOCK_SEED', '1'))


class System(memory_runners.RunnerSystem):
    """Daemons, dispatchers and a store; records the history of requests."""

    def __init__(
        self,
        seed: int,
        counters: metrics.Metrics,
        latency_ms: float = 0.0,
    ) -> None:
        super().__init__(seed, counters, latency_ms)
        self.history: list[history_runs.Event] = []
        self.network.observers.append(self._observe)
        self._calls = itertools.count(1)

    def call(
        self,
        daemon: memory_runners.Daemon,
        key: str,
        body: str = 'household-7',
        issued_at_ms: int | None = None,
        deadline_ms: int | None = None,
    ) -> asyncio.Task:
        """Send a request as a caller; the task returns its outcome.

        By default the key is issued at the current time, as many callers do
        with each retry.
        """
        number = next(self._calls)
        self.history.append(
            history_runs.Called(number, daemon.process, key, body)
        )
        request = protocol.RunRequest(
            memory_runners.SERVICE,
            memory_runners.OPERATION,
            {'household': body},
            self.clock.wall_ms() if issued_at_ms is None else issued_at_ms,
            deadline_ms,
        )
        return asyncio.create_task(self._call(number, daemon, request, key))

    async def _call(
        self,
        number: int,
        daemon: memory_runners.Daemon,
        request: protocol.RunRequest,
        key: str,
    ) -> protocol.RunOutcome:
        outcome = await daemon.runner.run(request, key)
        self.history.append(history_runs.Answered(number, outcome))
        return outcome

    def start_drain(self, daemon: memory_runners.Daemon) -> asyncio.Task:
        """Start to drain a daemon."""
        return asyncio.create_task(daemon.runner.drain())

    async def outcome(
        self, call: asyncio.Task, within_ms: float = 10_000.0
    ) -> typing.Any:
        """Advance the time until a call is answered; return its outcome."""
        await self.clock.pass_ms(within_ms, call.done)
        return call.result()

    async def wait_executed(self) -> None:
        """Advance the time until a target has run a request."""
        await self.clock.pass_ms(1_000, lambda: self.executions() > 0)

    def executions(self) -> int:
        """Return how many requests targets have run."""
        return sum(
            isinstance(event, history_runs.Executed) for event in self.history
        )

    def on_executed(self, order: protocol.RunOrder, receipt: str) -> None:
        """Record an execution in the history."""
        self.history.append(
            history_runs.Executed(
                order.idempotency_key, order.attempt_id, receipt
            )
        )

    def _observe(self, sender: str, message: object) -> None:
        if isinstance(message, protocol.RunOrder):
            process = message.attempt_id.rsplit('/', 2)[0]
            self.history.append(
                history_runs.Ordered(
                    process,
                    message.idempotency_key,
                    message.body['household'],
                    message.attempt_id,
                )
            )


class RunnerTestCase(unittest.IsolatedAsyncioTestCase):
    """Two daemons; the recorded history is checked after each test."""

    def setUp(self) -> None:
        """Start both daemons."""
        self.metrics = metrics.Metrics('test')
        self.addCleanup(self.metrics.close)
        self.system = System(SEED, self.metrics, 4.0)
        self.first = self.system.start('entry-1')
        self.second = self.system.start('entry-2')

    def tearDown(self) -> None:
        """Check the recorded history."""
        self.assertEqual([], history_runs.violations(self.system.history))

    async def assert_outcome_type(
        self, call: asyncio.Task, kind: type
    ) -> protocol.RunOutcome:
        """Assert the type of a call's outcome; return the outcome."""
        outcome = await self.system.outcome(call)
        self.assertIsInstance(outcome, kind)
        return outcome


class FaultSimulation:
    """Random calls and faults, then calls of every key without faults."""

    NAMES = ('entry-1', 'entry-2', 'entry-3')
    KEYS = tuple(f'payout-{number}' for number in range(16))
    STEPS = 60

    def __init__(self, seed: int, counters: metrics.Metrics) -> None:
        self.system = System(seed, counters, latency_ms=8.0)
        self._random = self.system.random
        self._step_number = 0

    async def run(self) -> None:
        """Run the simulation; the test checks the history."""
        system = self.system
        for name in self.NAMES:
            system.start(name)
        system.network.loss = 0.05
        system.store.chances = {
            memory_platform.Fault.CONFLICT: 0.10,
            memory_platform.Fault.CONFLICT_AFTER: 0.05,
            memory_platform.Fault.OUTAGE_AFTER: 0.05,
            memory_platform.Fault.LOST_BEFORE: 0.05,
            memory_platform.Fault.LOST_AFTER: 0.08,
            memory_platform.Fault.LATE: 0.05,
            memory_platform.Fault.STALE: 0.20,
        }
        for number in range(self.STEPS):
            self._step_number = number
            self._step()
            await system.clock.pass_ms(
                self._random.choice((0, 0, 3, 10, 60, 700))
            )
        self._end_faults()
        await system.clock.pass_ms(10_000)
        for key in self.KEYS:
            for name in self.NAMES:
                self._call(key, name)
            await system.clock.pass_ms(5_000)

    def _step(self) -> None:
        actions = {
            self._call: 12,
            self._outage: 1,
            self._freeze: 2,
            self._wake: 3,
            self._kill: 1,
        }
        action = self._random.choices(
            list(actions), weights=list(actions.values())
        )[0]
        action()

    def _call(self, key: str | None = None, name: str | None = None) -> None:
        is_other_body = key is None and self._random.random() < 0.05
        self.system.call(
            self.system.daemons[name or self._random.choice(self.NAMES)],
            key or self._random.choice(self._active_keys()),
            'household-8' if is_other_body else 'household-7',
            deadline_ms=self._random.choice((None, 300, 5_000)),
        )

    def _outage(self) -> None:
        def end() -> None:
            self.system.store.outage = False

        self.system.store.outage = True
        self.system.clock.after(self._random.uniform(5, 2_000), end)
        self.system.faults['outage'] += 1

    def _freeze(self) -> None:
        daemon = self._random_daemon()
        if not daemon.host.frozen:
            daemon.host.frozen = True
            self.system.faults['freeze'] += 1

    def _wake(self) -> None:
        self._random_daemon().host.wake(self._random)

    def _kill(self) -> None:
        daemon = self._random_daemon()
        self.system.kill(daemon)
        self.system.start(daemon.name)

    def _active_keys(self) -> tuple[str, ...]:
        """Return the few keys in use now, so that calls share keys."""
        first = self._step_number * len(self.KEYS) // self.STEPS
        return self.KEYS[max(0, first - 2) : first + 1]

    def _random_daemon(self) -> memory_runners.Daemon:
        return self.system.daemons[self._random.choice(self.NAMES)]

    def _end_faults(self) -> None:
        self.system.store.outage = False
        self.system.store.chances = {}
        self.system.network.loss = 0.0
        for daemon in self.system.daemons.values():
            daemon.host.wake(self._random)
