"""One run: callers, faults from outside, and the history they leave."""

import asyncio
import collections
import itertools
import random
import signal

import aiohttp

from soak import _checks
from soak import _faults
from soak import _links
from standins import prepared_system

SHARDS = tuple(f'shard-{number}' for number in range(1, 7))
_CALLERS = 6
_CALLER_PAUSE_S = 0.02
_FAULT_EVERY_S = (0.2, 1.0)
_FAULT_FOR_S = (0.3, 1.5)
_SETTLE_S = 1.5
_KINDS = {'search': 6, 'fetch': 2, 'pay': 2}
_PATHS = {'search': '/search/x', 'fetch': '/fetch/x', 'pay': '/pay/x'}
_METHODS = {'search': 'GET', 'fetch': 'GET', 'pay': 'POST'}

_PROBE_SHARE = 0.1
"""Part of the requests that ask for a route added by some version."""


class Soak:
    """A running soak.

    Parameters
    ----------
    seed
        What is drawn follows from it; when it falls does not.
    hosts
        How many daemons.
    system
        The stand-ins, and the daemons as processes.
    """

    def __init__(
        self, seed: int, hosts: int, system: prepared_system.PreparedSystem
    ) -> None:
        self.rng = random.Random(seed)
        self.system = system
        self.names = [f'entry-{number}' for number in range(hosts)]
        self.asked: list[_checks.Asked] = []
        self.faults: collections.Counter[str] = collections.Counter()
        self.version = 1
        self.links = _links.Links(system)
        self._numbers = itertools.count()
        self._down: set[str] = set()
        self._stopping: set[str] = set()
        self._starts: collections.Counter[str] = collections.Counter()
        self._stops: list[_checks.Stop] = []
        self._running = True

    async def run(self, seconds: float) -> _checks.History:
        """Start everything, let faults fall, and return what was seen."""
        await self.system.start_targets()
        await self.links.place_before_targets()
        self.configure(self.version)
        for name in self.names:
            store = await self.links.place_before_store(name)
            await self.system.start_daemon(
                name, coordinators_per_site=2, platform_address=store
            )
        callers = [asyncio.create_task(self._call()) for _ in range(_CALLERS)]
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + seconds
        pending: set[asyncio.Task] = set()
        while loop.time() < ends_s:
            pending.add(asyncio.create_task(self._fault()))
            await asyncio.sleep(self.rng.uniform(*_FAULT_EVERY_S))
        await asyncio.gather(*pending)
        self.links.heal()
        self._running = False
        await asyncio.gather(*callers)
        await asyncio.sleep(_SETTLE_S)
        await self._serves_again()
        self.links.close()
        return self.history()

    def configure(self, version: int) -> None:
        """Write a version; each adds a route and keeps those before."""
        self.version = version
        self.system.configure(version, added=range(1, version + 1))

    def history(self) -> _checks.History:
        """Return what was seen so far."""
        records = {
            target.service: target.records()
            for target in self.system.targets.values()
        }
        runs = tuple(_checks.Run(*row.split()) for row in self.system.runs)
        return _checks.History(
            tuple(self.asked),
            runs,
            SHARDS,
            records,
            0.75,
            5,
            2,
            tuple(self._stops),
        )

    async def _serves_again(self) -> None:
        for name in self.names:
            for _ in range(200):
                if await self._ask(name, 'search') == 200:
                    break
                await asyncio.sleep(0.05)
            else:
                raise AssertionError(
                    f'{name} serves nothing after the faults\n'
                    f'{self.system.log(name)[-3000:]}'
                )

    # Callers.

    async def _call(self) -> None:
        kinds, weights = list(_KINDS), list(_KINDS.values())
        while self._running:
            kind = self.rng.choices(kinds, weights)[0]
            up = [name for name in self.names if name not in self._down]
            if up and self.rng.random() < _PROBE_SHARE:
                await self._probe(self.rng.choice(up))
            elif up:
                await self._ask(self.rng.choice(up), kind)
            await asyncio.sleep(_CALLER_PAUSE_S)

    async def _probe(self, daemon: str) -> None:
        """Ask for the route that some version has added."""
        version = self.rng.randint(max(1, self.version - 2), self.version)
        await self._ask(daemon, 'probe', f'/added-{version}/x', version)

    async def _ask(
        self, daemon: str, kind: str, path: str = '', version: int = 0
    ) -> int:
        request_id = f'{kind}{next(self._numbers)}'
        loop = asyncio.get_running_loop()
        start, sent_s = self._starts[daemon], loop.time()
        status, headers, body = 0, {}, b''
        try:
            status, headers, body = await self.system.ask(
                daemon,
                path or _PATHS[kind],
                request_id,
                _METHODS.get(kind, 'GET'),
                1_500,
            )
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            # The caller saw no whole answer; the checks ask whether it may.
            pass
        stated = headers.get('Part-Stamps') or headers.get('Answer-Stamp', '')
        receipts = tuple(row.strip() for row in stated.split(',') if row)
        missing = int(headers.get('Missing-Parts', 0))
        self.asked.append(
            _checks.Asked(
                kind,
                request_id,
                status,
                receipts,
                missing,
                body,
                daemon,
                start,
                sent_s,
                loop.time(),
                version,
            )
        )
        return status

    # Faults.

    async def _fault(self) -> None:
        name = self.rng.choice(sorted(_faults.FAULTS))
        self.faults[name] += 1
        for_s = self.rng.uniform(*_FAULT_FOR_S)
        await _faults.FAULTS[name](self, for_s)

    def draw_running(self) -> str | None:
        """Return a daemon to disturb; one is always left alone."""
        up = [
            name
            for name in self.names
            if name not in self._down | self._stopping
        ]
        return self.rng.choice(up) if len(up) > 1 else None

    async def kill_daemon(self) -> None:
        """Kill a daemon and start it again."""
        name = self.draw_running()
        if name is not None:
            self._down.add(name)
            await self.system.stop_daemon(name, signal.SIGKILL)
            await self._start_again(name)

    async def stop_daemon(self) -> None:
        """Ask a daemon to stop, and start it again when it is gone.

        Callers go on using it, on open connections and new ones.
        """
        name = self.draw_running()
        if name is None:
            return
        self._stopping.add(name)
        loop = asyncio.get_running_loop()
        from_s = loop.time()
        status = await self.system.stop_daemon(name)
        self._down.add(name)
        self._stopping.discard(name)
        if status == 0:
            stop = _checks.Stop(name, self._starts[name], from_s, loop.time())
            self._stops.append(stop)
        await self._start_again(name)

    async def _start_again(self, name: str) -> None:
        self._starts[name] += 1
        self.links.heal_store(name)
        self.system.store.faults.status = 0
        self.system.store.faults.silent = False
        await self.system.restart_daemon(name)
        self._down.discard(name)

    async def freeze(self, for_s: float) -> None:
        """Let a daemon stand still."""
        name = self.draw_running()
        if name is None:
            return
        self._down.add(name)
        self.system.send(name, signal.SIGSTOP)
        await asyncio.sleep(for_s)
        self.system.send(name, signal.SIGCONT)
        self._down.discard(name)

    def draw_target(self) -> prepared_system.PreparedTarget:
        """Return a target to disturb."""
        return self.system.targets[
            self.rng.choice(sorted(self.system.targets))
        ]
