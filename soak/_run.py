"""A soak run: callers, injected faults, and the recorded history."""

import asyncio
import collections
import random
import re
import signal
import typing

from soak import _callers
from soak import _checks
from soak import _faults
from soak import _links
from standins import prepared_system

SHARDS = tuple(f'shard-{number}' for number in range(1, 7))
_CALLER_COUNT = 12
_FAULT_EVERY_S = (0.2, 1.0)
_FAULT_FOR_S = (0.3, 1.5)
_SETTLE_S = 1.5
_ROUTE_TIMEOUT_MS = 30_000
_POLL_S = 0.02
_PENDING_TRIES = 20

STOP_LIMIT_S = 3.0
"""Time after which the platform kills a daemon that is stopping."""

RETRY_BUDGET = (0.1, 12.0, 4_000.0)
"""Ratio, slack and length in ms of the windows, so small that they bind."""

_TERM, _HUP = signal.SIGTERM, signal.SIGHUP
_STOP_SIGNALS = (
    (_TERM,),
    (_TERM, _TERM),
    (_TERM, _TERM, _TERM),
    (_TERM, _HUP),
    (_TERM, _HUP, _TERM),
)
"""Series of signals that a stop may send."""

_LOGGED_REQUEST = re.compile('"request":"([a-z0-9]+)"')
"""Finds the request id in a line of a daemon's log."""

_SIGNAL_GAP_S = (0.0, 0.6)

_EARLY_STOP_SHARE = 0.2
_EARLY_STOP_AFTER_S = (0.1, 1.2)
"""``_EARLY_STOP_SHARE`` of the starts are stopped this long after launch:
before signal handlers exist, before the daemon is ready, or just after."""


class Soak:
    """A running soak.

    Parameters
    ----------
    seed
        Seed of the random choices; their timing depends on the machine.
    hosts
        Number of daemons.
    system
        The stand-ins and the daemon processes.
    faults
        Names of the faults to inject.
    """

    def __init__(
        self,
        seed: int,
        hosts: int,
        system: prepared_system.PreparedSystem,
        faults: typing.Collection[str] = tuple(_faults.FAULTS),
    ) -> None:
        self.rng = random.Random(seed)
        self.system = system
        self.names = [f'entry-{number}' for number in range(hosts)]
        self.callers = _callers.Callers(self.rng, system)
        self.fault_counts: collections.Counter[str] = collections.Counter()
        self.version = 1
        self.links = _links.Links(system)
        self._fault_names = sorted(faults)
        # Daemons that are stopping or starting.
        self._busy: set[str] = set()
        self._killed: set[tuple[str, int]] = set()
        self._stops: list[_checks.Stop] = []

    async def run(self, seconds: float) -> _checks.History:
        """Start everything, inject faults, and return the history."""
        await self.system.start_targets()
        await self.links.place_before_targets()
        self.publish_version(self.version)
        for name in self.names:
            store = await self.links.place_before_store(name)
            await self.system.start_daemon(
                name,
                coordinators_per_site=2,
                platform_address=store,
                stop_limit_s=STOP_LIMIT_S,
                retry_ratio=RETRY_BUDGET[0],
                retry_slack=RETRY_BUDGET[1],
                retry_window_s=RETRY_BUDGET[2] / 1000.0,
            )
        callers = [
            asyncio.create_task(self.callers.run_caller())
            for _ in range(_CALLER_COUNT)
        ]
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + seconds
        pending: set[asyncio.Task] = set()
        while loop.time() < ends_s:
            pending.add(asyncio.create_task(self._inject_fault()))
            await asyncio.sleep(self.rng.uniform(*_FAULT_EVERY_S))
        await asyncio.gather(*pending)
        self.links.heal()
        await asyncio.sleep(_SETTLE_S)
        await self._wait_until_serving()
        await self._stop_all()
        self.callers.running = False
        await asyncio.gather(*callers)
        self.links.close()
        return self.history()

    def publish_version(self, version: int) -> None:
        """Write a configuration with one added route for each version."""
        self.version = self.callers.version = version
        self.system.configure(
            version,
            added=range(1, version + 1),
            timeout_ms=_ROUTE_TIMEOUT_MS,
            added_attempts=1,
        )

    def history(self) -> _checks.History:
        """Return the history so far."""
        records = {
            target.service: target.records()
            for target in self.system.targets.values()
        }
        runs = tuple(
            _checks.Execution(*row.split()) for row in self.system.runs
        )
        return _checks.History(
            tuple(self.callers.records),
            runs,
            SHARDS,
            records,
            0.75,
            5,
            2,
            tuple(self._stops),
            frozenset(self._killed),
            {
                name: frozenset(_LOGGED_REQUEST.findall(self.system.log(name)))
                for name in self.names
            },
            tuple(self.system.arrivals),
            RETRY_BUDGET,
        )

    async def _wait_until_serving(self) -> None:
        for name in self.names:
            for _ in range(200):
                if await self._search(name) == 200:
                    break
                await asyncio.sleep(0.05)
            else:
                raise AssertionError(
                    f'{name} answers no search after the faults ended\n'
                    f'{self.system.log(name)[-3000:]}'
                )

    async def _search(self, name: str) -> int:
        return await self.callers.send_requests(
            name, lambda: [self.callers.draw('search', 1_500)]
        )

    async def _stop_all(self) -> None:
        """Stop all daemons while each has pending requests at targets."""
        for target in self.system.targets.values():
            target.delay_s = _faults.NEVER_S
        pending = [
            await self._start_pending_request(name, kind)
            for name in self.names
            for kind in _callers.KINDS
        ]
        await asyncio.gather(*map(self._stop, self.names))
        await asyncio.gather(*pending)

    async def _start_pending_request(
        self, name: str, kind: str
    ) -> asyncio.Task[int]:
        """Send requests until one is pending at a target; return its task."""
        for _ in range(_PENDING_TRIES):
            task = await self._send_until_begun(name, self.callers.draw(kind))
            if not task.done():
                return task
        raise AssertionError(
            f'{name}: no {kind} stayed pending at a target\n'
            f'{self.system.log(name)[-3000:]}'
        )

    async def _send_until_begun(
        self, name: str, request: _callers.Request
    ) -> asyncio.Task[int]:
        """Send a request; return when a target has begun it or it ended."""
        before, began = len(self.system.runs), f'{request.request_id} '
        task = asyncio.create_task(
            self.callers.send_requests(name, lambda: [request])
        )
        while not task.done():
            new = self.system.runs[before:]
            if any(row.startswith(began) for row in new):
                break
            await asyncio.sleep(_POLL_S)
        return task

    # Injection of faults, and the operations that faults use.

    async def _inject_fault(self) -> None:
        name = self.rng.choice(self._fault_names)
        self.fault_counts[name] += 1
        for_s = self.rng.uniform(*_FAULT_FOR_S)
        await _faults.FAULTS[name](self, for_s)

    def draw_running(self) -> str | None:
        """Return a random running daemon, or None if only one runs."""
        up = [
            name
            for name in self.names
            if name not in self.callers.unavailable | self._busy
        ]
        return self.rng.choice(up) if len(up) > 1 else None

    async def kill_daemon(self) -> None:
        """Kill a daemon with SIGKILL and restart it."""
        name = self.draw_running()
        if name is not None:
            self.callers.unavailable.add(name)
            self._killed.add((name, self.callers.starts[name]))
            await self.system.stop_daemon(name, signal.SIGKILL)
            await self._start_again(name)

    async def stop_daemon(self) -> None:
        """Stop a daemon by signal, and restart it when it has exited.

        Callers continue to use it, on open connections and new ones.
        """
        name = self.draw_running()
        if name is not None:
            await self._stop(name)
            await self._start_again(name)

    async def _stop(self, name: str, ready: bool = True) -> None:
        """Send the signals of one stop; return when the daemon has exited."""
        self._busy.add(name)
        *first, last = signals = self.rng.choice(_STOP_SIGNALS)
        from_s = asyncio.get_running_loop().time()
        for number in first:
            self.system.send(name, number)
            await asyncio.sleep(self.rng.uniform(*_SIGNAL_GAP_S))
        status = await self.system.stop_daemon(name, last)
        self.callers.unavailable.add(name)
        self._busy.discard(name)
        to_s = asyncio.get_running_loop().time()
        start = self.callers.starts[name]
        self._stops.append(
            _checks.Stop(
                name, start, from_s, to_s, status, len(signals), ready
            )
        )

    async def _start_again(self, name: str) -> None:
        """Restart a daemon, at times after further early stops."""
        self._launch(name)
        while self.rng.random() < _EARLY_STOP_SHARE:
            await asyncio.sleep(self.rng.uniform(*_EARLY_STOP_AFTER_S))
            await self._stop(name, ready=False)
            self._launch(name)
        await self.system.wait_ready(name)
        self._busy.discard(name)

    def _launch(self, name: str) -> None:
        self._busy.add(name)
        self.callers.starts[name] += 1
        self.links.heal_store(name)
        self.system.store.faults.status = 0
        self.system.store.faults.silent = False
        self.system.launch_daemon(name)
        self.callers.unavailable.discard(name)

    async def freeze(self, for_s: float) -> None:
        """Suspend a daemon with SIGSTOP for a time."""
        name = self.draw_running()
        if name is None:
            return
        self.callers.unavailable.add(name)
        self.system.send(name, signal.SIGSTOP)
        await asyncio.sleep(for_s)
        self.system.send(name, signal.SIGCONT)
        self.callers.unavailable.discard(name)

    def draw_target(self) -> prepared_system.PreparedTarget:
        """Return a random target."""
        return self.system.targets[
            self.rng.choice(sorted(self.system.targets))
        ]
