"""Start and stop the processes of a small system on loopback.

Used by the process tests, the benchmarks and the quick start.  A cluster
signals only processes that it started, by pid.
"""

import asyncio
import dataclasses
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

import aiohttp
import msgspec

from samphiredock import protocol
from samphiredock import state

_START_LIMIT_S = 20.0
_LOWEST_PORT = 10_240
_PORT_COUNT = 20_000
# Concurrent runs start at distant ports.
_port_numbers = itertools.count(os.getpid() * 613)
_ROOT = pathlib.Path(__file__).resolve().parent.parent


@dataclasses.dataclass(frozen=True)
class DaemonPlace:
    """Name, location and addresses of one daemon."""

    name: str
    site: str
    region: str
    caller_url: str
    operator_url: str
    peer_address: str


def free_ports(count: int) -> list[int]:
    """Return loopback ports that are free now, none of them twice.

    They lie below the system's ephemeral ports (Linux: 32768 and up), since
    any outgoing connection could take one of those before the server starts.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = _LOWEST_PORT + next(_port_numbers) % _PORT_COUNT
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        ports.append(port)
    return ports


def even_snapshot(
    snapshot_id: int,
    indexes: typing.Sequence[str],
    targets: typing.Sequence[str],
    shards: int,
    replicas: int,
) -> state.Snapshot:
    """Return a snapshot whose shards divide the key space evenly."""
    size = state.KEY_SPACE_SIZE
    rows = []
    for number in range(shards):
        low = size * number // shards
        high = size * (number + 1) // shards
        held_by = [
            targets[(number + offset) % len(targets)]
            for offset in range(replicas)
        ]
        rows.append(
            state.Shard(f's{number}', protocol.KeyRange(low, high), held_by)
        )
    index = state.IndexSnapshot(snapshot_id, rows)
    return state.Snapshot(snapshot_id, {name: index for name in indexes})


class Cluster:
    """Processes of a small system by name; use as a context manager."""

    def __init__(self, folder: pathlib.Path | None = None) -> None:
        self._random = random.Random()
        self._own_folder = folder is None
        self.folder = folder or pathlib.Path(tempfile.mkdtemp())
        self.processes: dict[str, subprocess.Popen] = {}
        self.daemons: dict[str, DaemonPlace] = {}
        self.target_urls: dict[str, str] = {}
        self.relay_urls: dict[str, str] = {}
        self.store_url = ''
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> 'Cluster':
        self.session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.session.close()
        self.stop()
        if self._own_folder and 'SAMPHIREDOCK_KEEP_LOGS' not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    def spawn(self, name: str, *arguments: str) -> subprocess.Popen:
        """Start ``python -m ...`` under a name, with its output in a file."""
        log = (self.folder / f'{name}.log').open('ab')
        process = subprocess.Popen(
            [sys.executable, '-m', *arguments],
            stdout=log,
            stderr=log,
            cwd=_ROOT,
        )
        log.close()
        self.processes[name] = process
        return process

    def kill(self, name: str, number: int = signal.SIGKILL) -> None:
        """Send a signal to a process of this cluster."""
        self.processes[name].send_signal(number)

    def stop(self) -> None:
        """Kill every process that still runs."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    async def start_store(self, name: str = 'store') -> None:
        """Start a platform stand-in and use it as the store from now on."""
        (port,) = free_ports(1)
        self.store_url = f'http://127.0.0.1:{port}'
        self.spawn(name, 'standins.store', '--port', str(port))
        await self.wait_for(f'{self.store_url}/control/stats')

    async def start_targets(
        self,
        names: typing.Sequence[str],
        *options: str,
        shared_process: str | None = None,
    ) -> None:
        """Start targets, one process each or all in ``shared_process``."""
        ports = free_ports(len(names))
        rows = list(zip(names, ports))
        for name, port in rows:
            self.target_urls[name] = f'http://127.0.0.1:{port}'
        groups = [rows] if shared_process else [[row] for row in rows]
        for group in groups:
            arguments = []
            for name, port in group:
                arguments += ['--name', name, '--port', str(port)]
            self.spawn(
                shared_process or group[0][0],
                'standins.target',
                '--store',
                self.store_url,
                *arguments,
                *options,
            )
        for name in names:
            await self.wait_for(f'{self.target_urls[name]}/health')

    def place_daemon(self, name: str, site: str, region: str) -> None:
        """Choose the addresses of a daemon and write its settings file."""
        caller, operator, peer = free_ports(3)
        place = DaemonPlace(
            name,
            site,
            region,
            f'http://127.0.0.1:{caller}',
            f'http://127.0.0.1:{operator}',
            f'tcp://127.0.0.1:{peer}',
        )
        self.daemons[name] = place
        self.write_settings(name)

    def write_settings(self, name: str, **extra: object) -> pathlib.Path:
        """Write or overwrite the settings file of a daemon."""
        place = self.daemons[name]
        settings = {
            'name': name,
            'site': place.site,
            'region': place.region,
            'caller_address': place.caller_url.removeprefix('http://'),
            'operator_address': place.operator_url.removeprefix('http://'),
            'peer_address': place.peer_address,
            'platform_url': self.store_url,
            **extra,
        }
        path = self.folder / f'{name}.settings.json'
        path.write_text(json.dumps(settings, indent=2), encoding='utf-8')
        return path

    def start_daemon(self, name: str) -> None:
        """Start or restart a daemon whose settings are written."""
        path = self.folder / f'{name}.settings.json'
        self.spawn(name, 'samphiredock.daemon', '--settings', str(path))

    async def wait_ready(self, *names: str) -> None:
        """Wait until the named daemons, or all, are ready."""
        for name in names or self.daemons:
            url = f'{self.daemons[name].caller_url}/ready'
            await self.wait_for(url, name)

    async def wait_for(self, url: str, process: str | None = None) -> None:
        """Wait until ``url`` returns 200; fail if the process exits."""
        loop = asyncio.get_running_loop()
        end = loop.time() + _START_LIMIT_S
        while loop.time() < end:
            if process and self.processes[process].poll() is not None:
                log = self.folder / f'{process}.log'
                text = log.read_text(encoding='utf-8')
                raise RuntimeError(f'{process} has exited:\n{text[-2000:]}')
            try:
                async with self.session.get(url) as response:
                    if response.status == 200:
                        return
            except (aiohttp.ClientError, OSError):
                pass
            await asyncio.sleep(0.05)
        raise TimeoutError(f'{url}: no 200 within {_START_LIMIT_S} s')

    async def start_relay(
        self, name: str, ports: typing.Mapping[str, int]
    ) -> dict[str, int]:
        """Start a relay to ``ports``, by route; return its own, by route."""
        listen = free_ports(len(ports) + 1)
        control = listen.pop()
        chosen = dict(zip(ports, listen))
        arguments = []
        for route, port in ports.items():
            arguments += ['--route', f'{route}:{chosen[route]}:{port}']
        self.spawn(
            name, 'standins.relay', '--control-port', str(control), *arguments
        )
        self.relay_urls[name] = f'http://127.0.0.1:{control}'
        await self.wait_for(f'{self.relay_urls[name]}/health')
        return chosen

    async def relay_mode(self, name: str, route: str, mode: str) -> None:
        """Set the mode of a relay's route, see :mod:`standins.relay`."""
        url = f'{self.relay_urls[name]}/control/routes/{route}'
        await self.call('POST', url, {'mode': mode})

    async def start_balancer(self, lag_ms: int) -> str:
        """Start the balancer stand-in for all daemons; return its URL."""
        (port,) = free_ports(1)
        arguments = []
        for place in self.daemons.values():
            arguments += ['--daemon', place.caller_url]
        self.spawn(
            'balancer',
            'standins.balancer',
            *('--port', str(port), '--lag-ms', str(lag_ms), *arguments),
        )
        url = f'http://127.0.0.1:{port}'
        await self.wait_for(f'{url}/balancer-health')
        return url

    async def put_object(self, key: str, value: object) -> None:
        """Write an object to the platform stand-in, retrying on errors."""
        url = f'{self.store_url}/objects/{key}'
        body = msgspec.json.encode(value)
        loop = asyncio.get_running_loop()
        end = loop.time() + _START_LIMIT_S
        while loop.time() < end:
            try:
                async with self.session.put(url, data=body) as response:
                    if response.status == 200:
                        return
            except (aiohttp.ClientError, OSError):
                pass
            await asyncio.sleep(0.05)
        raise TimeoutError(f'{url}: not written within {_START_LIMIT_S} s')

    async def call(
        self,
        method: str,
        url: str,
        body: object = None,
        headers: typing.Mapping[str, str] | None = None,
    ) -> tuple[int, typing.Any]:
        """Send an HTTP request; return the status and the decoded body."""
        data = None if body is None else msgspec.json.encode(body)
        async with self.session.request(
            method, url, data=data, headers=headers
        ) as response:
            content = await response.read()
            if response.content_type != 'application/json':
                return response.status, {'type': 'unreadable'}
            return response.status, msgspec.json.decode(content)

    def new_key(self) -> str:
        """Return a new idempotency key issued at the current time."""
        return protocol.new_idempotency_key(self.wall_ms(), self._random)

    def wall_ms(self) -> int:
        """Return the wall clock time in ms since the epoch."""
        return int(time.time() * 1000)

    async def target_faults(self, name: str, **faults: object) -> None:
        """Set the fault switches of one target."""
        url = f'{self.target_urls[name]}/control/faults'
        await self.call('POST', url, faults)

    async def store_faults(self, **faults: object) -> None:
        """Set the fault switches of the platform stand-in."""
        await self.call('POST', f'{self.store_url}/control/faults', faults)
