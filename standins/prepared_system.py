"""A small system on the users' platform: store, targets, real daemons.

The store and the targets run in this process.  Each daemon is a process of
the real program, which only this module signals, by pid.
"""

import asyncio
import collections
import contextlib
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import typing

import aiohttp

from standins import cluster
from standins import endless_bytes
from standins import prepared_store
from standins import scripted_target

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_BLOCK_BYTES = 65_536
_START_LIMIT_S = 20.0
_STOP_LIMIT_S = 15.0
_SHARE_LIMIT_S = 60.0
_HAS_SHARE = re.compile('"event":"retry share","share":(1|0.[0-9]*[1-9])')
_LOG_WAIT_LIMIT_S = 15.0

SHARDS = ('shard-1', 'shard-2', 'shard-3', 'shard-4')
DESK = 'desk'
HOST = 'claims.example'
SITE = 'bole-a'


class PreparedTarget:
    """One target, which answers with its records and a receipt.

    Requests that arrive are appended to ``arrivals`` with the time in ms, the
    service and the id, those that it begins to run to ``log``.  It takes
    ``delay_s`` for each, and with ``lose_answers`` it resets the connection
    instead of answering.  With ``endless`` it writes bytes until the
    connection is closed, with ``repeats_late`` each answer comes once more
    before the next one on its connection.  ``born`` is stated in its registry
    entry and selects its records.
    """

    def __init__(
        self,
        target_id: str,
        service: str,
        log: list[str],
        arrivals: list[tuple[float, str, str]],
        born: int = 1,
    ) -> None:
        self.target_id = target_id
        self.service = service
        self.born = born
        self.delay_s = 0.0
        self.lose_answers = False
        self.endless: endless_bytes.Way | None = None
        self.repeats_late = False
        self._late: dict[asyncio.StreamWriter, bytes] = {}
        self._ended = asyncio.Event()
        self._log = log
        self._arrivals = arrivals
        self._server = scripted_target.ScriptedTarget(self._answer)
        self.address = ''

    async def start(self) -> None:
        """Start listening and set ``address``."""
        self.address = await self._server.start()

    async def stop(self) -> None:
        """Close every connection and stop listening."""
        self._ended.set()
        await self._server.stop()

    def records(self) -> bytes:
        """Return the records of the shard, which differ by ``born``."""
        first = self.born * 10
        return b''.join(
            f'{self.service:>8}{number:08}'.encode()
            for number in range(first, first + 9)
        )

    async def _answer(
        self, seen: scripted_target.HttpMessage, writer: asyncio.StreamWriter
    ) -> None:
        request_id = seen.headers['request-id']
        now_ms = asyncio.get_running_loop().time() * 1000.0
        self._arrivals.append((now_ms, self.service, request_id))
        if seen.headers.get('expect-instance') != self.target_id:
            writer.write(scripted_target.answer(request_id, status=421))
            return
        self._log.append(f'{request_id} {self.target_id}')
        await self._work()
        if self.lose_answers:
            scripted_target.reset(writer)
            return
        if self.endless is not None:
            await self._write_endless(writer, self.endless)
            return
        receipt = f'{request_id}.{self.target_id}'
        answer = scripted_target.answer(
            request_id, self.records(), headers={'Answer-Stamp': receipt}
        )
        writer.write(self._late.pop(writer, b'') + answer)
        if self.repeats_late:
            self._late[writer] = answer

    async def _write_endless(
        self, writer: asyncio.StreamWriter, way: endless_bytes.Way
    ) -> None:
        """Write until the daemon closes the connection, or this target ends.

        The fault may end before: the daemon must not depend on that.
        """
        first, repeated = way
        block = repeated * max(1, _BLOCK_BYTES // len(repeated))
        with contextlib.suppress(ConnectionError):
            writer.write(first)
            while not self._ended.is_set():
                writer.write(block)
                await writer.drain()

    async def _work(self) -> None:
        """Wait for ``delay_s``, or until the target is stopped."""
        if self.delay_s:
            ended = asyncio.create_task(self._ended.wait())
            await asyncio.wait((ended,), timeout=self.delay_s)
            ended.cancel()


class PreparedSystem:
    """A store, targets and daemons; use as an async context manager.

    ``runs`` has a line ``request target`` for each request that a target
    began, ``arrivals`` time in ms, service and id of each that reached one.

    Parameters
    ----------
    shards
        The services that a search is sent to.
    sites
        Site of the targets by service; by default ``SITE``.
    """

    def __init__(
        self,
        shards: typing.Sequence[str] = SHARDS,
        sites: typing.Mapping[str, str] = {},
    ) -> None:
        self._shards = tuple(shards)
        self._sites = sites
        self.store = prepared_store.PreparedStore()
        self.targets: dict[str, PreparedTarget] = {}
        self.runs: list[str] = []
        self.arrivals: list[tuple[float, str, str]] = []
        self.caller_addresses: dict[str, str] = {}
        self.store_address = ''
        self._settings: dict[str, dict[str, object]] = {}
        self._processes: dict[str, subprocess.Popen] = {}
        self._ready: dict[str, str] = {}
        self._folder = tempfile.TemporaryDirectory()
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> 'PreparedSystem':
        self.store_address = await self.store.start()
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        return self

    async def __aexit__(self, *error: object) -> None:
        for name in list(self._processes):
            await self.stop_daemon(name, signal.SIGKILL)
        for target in self.targets.values():
            await target.stop()
        assert self._session is not None
        await self._session.close()
        await self.store.stop()
        self._folder.cleanup()

    async def start_targets(self, replicas: int = 2) -> None:
        """Start and register ``replicas`` targets for each service."""
        for service in (*self._shards, DESK):
            for number in range(replicas):
                name = f'{service}-{number}'
                target = PreparedTarget(
                    name, service, self.runs, self.arrivals
                )
                await target.start()
                self.targets[name] = target
                self.register(name)

    async def restart_target(self, name: str, born: int) -> None:
        """Restart a target under its id, at a new address.

        ``born`` is written to its registry entry and selects its records.
        """
        before = self.targets[name]
        await before.stop()
        target = PreparedTarget(
            name, before.service, self.runs, self.arrivals, born
        )
        await target.start()
        self.targets[name] = target
        self.register(name)

    def register(self, name: str, state: str = 'ready') -> None:
        """Write the registry entry of a target."""
        target = self.targets[name]
        entry = {
            'Service': target.service,
            'Addr': target.address,
            'Zone': self._sites.get(target.service, SITE),
            'Version': 'v1',
            'Slots': 2,
            'State': state,
            'WarmupLeftMs': 0,
            'Seq': 1,
            'born': target.born,
        }
        self.store.put('servers', name, entry)

    def configure(
        self,
        version: int,
        prefix: str = '/search/',
        added: typing.Iterable[int] = (),
        timeout_ms: int = 3_000,
        added_attempts: int = 2,
        **changes: typing.Any,
    ) -> None:
        """Write a configuration with three routes and those in ``added``.

        ``added_attempts`` is the number of targets that the added routes
        allow per request.
        """
        common = {'Host': HOST, 'TimeoutMs': timeout_ms, 'MaxAttempts': 2}
        routes = [
            {
                'Name': 'search', 'PathPrefix': prefix, 'Gather': self._shards,
                'Kind': 'idempotent', 'TargetLatencyMs': 1_000, 'TopK': 5,
                'MinVersion': 0.75, **common,
            },
            {
                'Name': 'fetch', 'PathPrefix': '/fetch/', 'Service': DESK,
                'Kind': 'idempotent', 'TargetLatencyMs': 1_000, **common,
            },
            {
                'Name': 'pay', 'PathPrefix': '/pay/', 'Service': DESK,
                'Kind': 'non_idempotent', 'TargetLatencyMs': 1_000, **common,
            },
        ]  # fmt: skip
        routes += [
            {
                'Name': f'added-{number}', 'PathPrefix': f'/added-{number}/',
                'Service': DESK, 'Kind': 'idempotent',
                'TargetLatencyMs': 1_000, **common,
                'MaxAttempts': added_attempts,
            }
            for number in added
        ]  # fmt: skip
        services = [
            {'Name': name, 'HealthPath': '/healthz', 'MaxConns': 40}
            for name in (*self._shards, DESK)
        ]
        configuration = {
            'Version': version,
            'Routes': routes,
            'Services': services,
            **changes,
        }
        self.store.put('config', 'main', configuration)

    async def start_daemon(self, name: str, **settings: object) -> None:
        """Start a daemon on free ports and wait until it is ready."""
        front, ready, peer, metrics = (
            f'127.0.0.1:{port}' for port in cluster.free_ports(4)
        )
        self._settings[name] = {
            'name': name, 'site': SITE, 'caller_address': front,
            'ready_address': ready, 'peer_address': peer,
            'metrics_address': metrics, 'retry_slack': 56, 'retry_ratio': 0.2,
            'platform_address': self.store_address, 'balancer_lag_ms': 300,
        }  # fmt: skip
        self.write_settings(name, **settings)
        self.caller_addresses[name] = front
        self._ready[name] = ready
        await self.restart_daemon(name)

    async def restart_daemon(self, name: str) -> None:
        """Launch a daemon that is not running; wait until it is ready."""
        self.launch_daemon(name)
        await self.wait_ready(name)

    def launch_daemon(self, name: str) -> None:
        """Start a daemon whose settings are written, without waiting."""
        path = pathlib.Path(self._folder.name) / f'{name}.json5'
        log = self.log_path(name).open('ab')
        command = [sys.executable, str(_ROOT / 'platform' / 'entry.py')]
        self._processes[name] = subprocess.Popen(
            [
                *command,
                '--settings',
                str(path),
                '--callers',
                self.caller_addresses[name],
            ],
            stdout=log,
            stderr=log,
        )
        log.close()

    def write_settings(self, name: str, **changes: object) -> pathlib.Path:
        """Write the settings file of a daemon with changed fields."""
        self._settings[name].update(changes)
        path = pathlib.Path(self._folder.name) / f'{name}.json5'
        text = json.dumps(self._settings[name])
        path.write_text(text, encoding='utf-8')
        return path

    async def counter(self, name: str, counter: str) -> float:
        """Return a daemon's counter, summed over its labels."""
        assert self._session is not None
        address = self._settings[name]['metrics_address']
        async with self._session.get(f'http://{address}/metrics') as got:
            page = await got.text()
        return sum(
            float(row.rpartition(' ')[2])
            for row in page.splitlines()
            if row.startswith(f'{counter}_total')
        )

    def processor_s(self, name: str) -> float:
        """Return the CPU time of a daemon in s (Linux)."""
        path = pathlib.Path(f'/proc/{self._processes[name].pid}/stat')
        fields = path.read_text(encoding='ascii').rpartition(')')[2].split()
        return sum(map(int, fields[11:13])) / os.sysconf('SC_CLK_TCK')

    def memory_mb(self, name: str) -> float:
        """Return the peak resident memory of a daemon in MB (Linux)."""
        path = pathlib.Path(f'/proc/{self._processes[name].pid}/status')
        for line in path.read_text(encoding='ascii').splitlines():
            if line.startswith('VmHWM:'):
                return int(line.split()[1]) * 1_024 / 1e6
        raise ValueError(f'got no VmHWM in {path}, expected one')

    async def wait_ready(self, name: str) -> None:
        """Wait until a daemon reports that it is ready."""
        assert self._session is not None
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + _START_LIMIT_S
        while loop.time() < ends_s:
            try:
                url = f'http://{self._ready[name]}/readyz'
                async with self._session.get(url) as got:
                    if got.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.05)
        raise TimeoutError(f'{name} is not ready\n{self.log(name)[-4000:]}')

    async def wait_share(self, name: str) -> None:
        """Wait until a daemon uses its share of the retry slack."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + _SHARE_LIMIT_S
        while not _HAS_SHARE.search(self.log(name)):
            if loop.time() > ends_s:
                raise TimeoutError(
                    f'{name} has no share\n{self.log(name)[-4000:]}'
                )
            await asyncio.sleep(0.05)

    def log_path(self, name: str) -> pathlib.Path:
        """Return the file that a daemon logs to."""
        return pathlib.Path(self._folder.name) / f'{name}.log'

    def log(self, name: str) -> str:
        """Return the log of a daemon."""
        return self.log_path(name).read_text(encoding='utf-8')

    async def log_with_end_of(self, name: str, request_id: str) -> str:
        """Return a daemon's log once it has the outcome of a request.

        The daemon writes its log in batches, possibly after it answers.
        """
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + _LOG_WAIT_LIMIT_S
        wanted = f'"request":"{request_id}"'
        while loop.time() < ends_s:
            text = self.log(name)
            for row in text.splitlines():
                if '"request ended"' in row and wanted in row:
                    return text
            await asyncio.sleep(0.02)
        raise TimeoutError(f'{name} has not logged the end of {request_id}')

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a daemon."""
        self._processes[name].send_signal(number)

    async def stop_daemon(
        self, name: str, number: signal.Signals = signal.SIGTERM
    ) -> int:
        """Signal a daemon and wait for its exit; return its status."""
        process = self._processes.pop(name)
        process.send_signal(number)
        waiting = asyncio.to_thread(process.wait)
        return await asyncio.wait_for(waiting, _STOP_LIMIT_S)

    async def ask(
        self,
        daemon: str,
        path: str,
        request_id: str,
        method: str = 'GET',
        deadline_ms: int = 3_000,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request as a caller; return status, headers and body."""
        assert self._session is not None
        headers = {
            'Host': HOST,
            'Request-Id': request_id,
            'Deadline-Ms': str(deadline_ms),
        }
        url = f'http://{self.caller_addresses[daemon]}{path}'
        async with self._session.request(method, url, headers=headers) as got:
            return got.status, dict(got.headers), await got.read()

    def runs_of(self, request_id: str) -> list[str]:
        """Return the targets that began to run a request."""
        rows = (row.split() for row in self.runs)
        return [target for asked, target in rows if asked == request_id]

    def run_counts(self) -> collections.Counter[str]:
        """Return how often each request was begun by a target."""
        return collections.Counter(row.split()[0] for row in self.runs)
