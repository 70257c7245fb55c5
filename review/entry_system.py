"""A small system: a store, servers, and daemons of the deploy file.

The store and the servers run in this process.  Each daemon is a process that
is started with the command of ``deploy/system.toml`` and the settings of its
template.
"""

import asyncio
import math
import os
import pathlib
import random
import signal
import subprocess
import time
import tomllib
import typing

from review import shard_server
from standins import prepared_system

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = prepared_system.HOST
FIRST_ZONE = 'bole-a'
SECOND_ZONE = 'kirkos-b'

LIMIT_S = 112.0
"""Longest run of a script, from the start of the servers on."""

HELD, BROKEN, CANNOT_RUN = 0, 10, 2
"""Exit statuses of a case.  An interpreter that fails exits with 1, so
``run.sh`` turns ``BROKEN`` into 1 and the rest into 2."""

_ENTRY = tomllib.loads((ROOT / 'deploy/system.toml').read_text())['roles'][
    'entry'
]
_SETTINGS_PATH = '/etc/samphiredock/local.yaml'
_CALLERS_PLACEHOLDER = '{{Listen.Front}}'

# What the template of the settings fills in, besides names and addresses.
# The daemon's own defaults hold for the rest.
SETTINGS: dict[str, object] = {
    'cores': 2,
    'core_share': 0.537,
    'retry_ratio': 0.2,
    'retry_slack': 56,
    'retry_window_s': 10,
    'first_start': True,
    'stop_limit_s': 6,
    'balancer_lag_ms': 2_500,
}


def has_trouble() -> bool:
    """Whether the disruption is wanted, which ``TROUBLE=0`` switches off."""
    return os.environ.get('TROUBLE', '1') != '0'


class Case(typing.Protocol):
    """What a script does and checks.

    ``rows`` are the lines of its record.
    """

    rows: list[str]

    async def set_up(self) -> None:
        """Start the servers and daemons."""

    async def run(self) -> None:
        """Send the requests, with the disruption if it is wanted."""

    def is_broken(self) -> bool:
        """Whether the rule was broken."""

    def summary(self) -> list[str]:
        """Return what was seen, for the end of the record."""


class EntrySystem(prepared_system.PreparedSystem):
    """A store, servers and daemons; use as an async context manager."""

    def __init__(self) -> None:
        super().__init__(())
        self.events: list[shard_server.Event] = []
        self.servers: dict[str, shard_server.ShardServer] = {}
        self.started_s = asyncio.get_running_loop().time()

    async def add_server(
        self,
        name: str,
        service: str,
        zone: str,
        work_s: typing.Callable[[], float],
        **options: int,
    ) -> shard_server.ShardServer:
        """Start a server and write its registry entry."""
        server = shard_server.ShardServer(
            name, service, zone, work_s, self.events, **options
        )
        await server.start()
        self.servers[name] = server
        self.targets[name] = typing.cast(
            prepared_system.PreparedTarget, server
        )
        self.register(name)
        return server

    def register(self, name: str, state: str = 'ready') -> None:
        """Write the registry entry of a server."""
        server = self.servers[name]
        server.born = server.born or int(time.time() * 1000)
        entry = {
            'Service': server.service,
            'Addr': server.address,
            'Zone': server.zone,
            'Version': 'v1',
            'Slots': server.slots,
            'State': state,
            'WarmupLeftMs': 0,
            'Seq': 1,
            'born': server.born,
        }
        self.store.put('servers', name, entry)

    async def start_daemon(self, name: str, **settings: object) -> None:
        """Start a daemon and wait until it is ready."""
        await super().start_daemon(name, **(SETTINGS | settings))

    def runs_seen(self) -> list[str]:
        """Return a line for each event at a server."""
        return [
            f'{at_s - self.started_s:.3f} s {request_id} {what} {server}'
            for at_s, what, request_id, server in self.events
        ]

    def launch_daemon(self, name: str) -> None:
        """Start a daemon with the command of the deploy file."""
        settings_path = pathlib.Path(self._folder.name) / f'{name}.json5'
        command = [
            word.replace(_SETTINGS_PATH, str(settings_path)).replace(
                _CALLERS_PLACEHOLDER, self.caller_addresses[name]
            )
            for word in _ENTRY['run'].split()
        ]
        environment = {
            'PATH': os.environ.get('PATH', os.defpath),
            'PYTHONPATH': str(ROOT / 'target/deps'),
        }
        with self.log_path(name).open('ab') as log:
            self._processes[name] = subprocess.Popen(
                command, stdout=log, stderr=log, cwd=ROOT, env=environment
            )


def play(
    make_case: typing.Callable[[EntrySystem], Case], record: pathlib.Path
) -> int:
    """Run a case, write its record and return its exit status."""
    try:
        return asyncio.run(_play(make_case, record))
    except asyncio.CancelledError:
        return CANNOT_RUN


async def _play(
    make_case: typing.Callable[[EntrySystem], Case], record: pathlib.Path
) -> int:
    playing = asyncio.current_task()
    assert playing is not None
    # The daemons are ended on the way out.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, playing.cancel
    )
    async with EntrySystem() as system:
        case = make_case(system)
        why = ''
        try:
            async with asyncio.timeout(LIMIT_S):
                await case.set_up()
                await case.run()
        except Exception as error:
            why = f'could not run: {error!r}'
        rows = [*case.rows, *system.runs_seen(), *case.summary()]
        rows += [why] if why else []
        record.write_text('\n'.join(rows) + '\n', encoding='utf-8')
        if why:
            return CANNOT_RUN
        return BROKEN if case.is_broken() else HELD


def spread(
    rng: random.Random, mean_ms: float, deviation: float
) -> typing.Callable[[], float]:
    """Return a function that draws log-normal times, in s.

    ``deviation`` is the standard deviation of their logarithm.
    """
    middle = math.log(mean_ms / 1000.0) - deviation**2 / 2.0
    return lambda: rng.lognormvariate(middle, deviation)
