"""A small system under test, with a relay before the store and targets."""

import asyncio
import contextlib
import itertools
import pathlib
import time
import typing
import urllib.parse

import aiohttp
import json5
import msgspec

from standins import cluster
from tests import history

INDEXES = ('claims', 'clip-rights')
SITES = ('bole-a', 'kirkos-b', 'yeka-c')
DESKS = ('desk-1', 'desk-2')
RELAY = 'relay'
RECORD_LIMIT = 5_000

_CALL_TIMEOUT_S = 15.0
_UNREADABLE = {'type': 'unreadable'}

_BASE = pathlib.Path(__file__).parents[2] / 'examples' / 'gebeya'


class System(cluster.Cluster):
    """A store, targets and daemons over three sites."""

    def __init__(self) -> None:
        super().__init__()
        self.base: dict[str, typing.Any] = {}
        self.snapshot_versions: dict[int, int] = {}
        self.shard_targets: list[str] = []
        self._call_numbers = itertools.count()

    @property
    def execution_log(self) -> pathlib.Path:
        """The file to which targets write each execution."""
        return self.folder / 'executions.jsonl'

    async def build(self, daemons: int, targets: int = 6) -> None:
        """Start everything and wait until every daemon is ready."""
        await self.start_store()
        self.shard_targets = [f'shard-{n + 1}' for n in range(targets)]
        log = ('--log', str(self.execution_log))
        await self.start_targets(self.shard_targets, *log)
        await self.start_targets(DESKS, '--slots', '4', *log)
        await self._place_relay()
        self.base = self._base()
        await self.put_object(
            'configuration/current',
            {
                'revision': 1,
                'change_id': 'first',
                'author': 'test',
                'accepted_at_ms': 0,
                'base': self.base,
                'overlays': {},
            },
        )
        await self.publish_snapshot(8)
        for number in range(daemons):
            site = SITES[number % len(SITES)]
            name = f'entry-{number + 1}'
            self.place_daemon(name, site, 'addis')
            self.start_daemon(name)
        await self.wait_ready()

    async def _place_relay(self) -> None:
        urls = {**self.target_urls, 'store': self.store_url}
        ports = {
            name: urllib.parse.urlsplit(url).port for name, url in urls.items()
        }
        chosen = await self.start_relay(RELAY, ports)
        self.relayed = {
            name: f'http://127.0.0.1:{port}' for name, port in chosen.items()
        }

    def write_settings(self, name: str, **extra: object) -> pathlib.Path:
        """Let the daemon reach the store through the relay."""
        extra.setdefault('platform_url', self.relayed['store'])
        extra.setdefault('balancer_lag_ms', 1_000)
        return super().write_settings(name, **extra)

    def _base(self) -> dict[str, typing.Any]:
        text = (_BASE / 'base.json').read_text(encoding='utf-8')
        base = json5.loads(text)
        row = base['targets']['shard-1']
        desk = base['targets']['desk-1']
        base['targets'] = {
            name: {
                **(desk if name in DESKS else row),
                'url': self.relayed[name],
                'site': SITES[number % len(SITES)],
            }
            for number, name in enumerate(self.target_urls)
        }
        for service in base['services'].values():
            for search in service.get('searches', {}).values():
                search['limit'] = RECORD_LIMIT
                search['least_coverage'] = 0.2
        return base

    async def publish_snapshot(self, shards: int) -> None:
        """Publish the next snapshot, with another number of shards."""
        snapshot_id = len(self.snapshot_versions) + 1
        self.snapshot_versions[snapshot_id] = snapshot_id
        await self.put_object(
            'snapshots/current',
            cluster.even_snapshot(
                snapshot_id, INDEXES, self.shard_targets, shards, 2
            ),
        )

    async def change_configuration(
        self, daemon: str, number: int
    ) -> tuple[str, int]:
        """Change one limit through an operator interface.

        Returns the outcome's tag and the revision that it names.
        """
        url = self.daemons[daemon].operator_url + '/v1/configuration'
        status, current = await self.call('GET', url)
        if status != 200:
            return 'unreadable', 0
        base = {**self.base, 'limits': {'deadline_limit_ms': 10_000 + number}}
        change = {
            'base_revision': current['revision'],
            'change_id': f'change-{number}',
            'author': 'test',
            'base': base,
            'overlays': {},
        }
        _, outcome = await self.call('PUT', url, change)
        return outcome['type'], outcome.get('revision', 0)

    def executions(self) -> list[history.Execution]:
        """Return the executions that the targets logged."""
        if not self.execution_log.exists():
            return []
        lines = self.execution_log.read_bytes().splitlines()
        return [
            history.Execution(
                target,
                row['kind'],
                row['attempt_id'],
                row['idempotency_key'],
                row['started_ms'],
            )
            for target, row in map(msgspec.json.decode, lines)
        ]

    async def search(
        self, daemon: str, terms: dict[str, str], url: str = ''
    ) -> history.Call:
        """Search the claims and record how it ended."""
        body = {
            'service': 'field-claims',
            'search': 'claimant-history',
            'terms': terms,
        }
        return await self._record('search', daemon, url, body, terms=terms)

    async def pay(
        self,
        daemon: str,
        key: str,
        household: str = 'household-1',
        url: str = '',
    ) -> history.Call:
        """Release a payout and record how it ended."""
        body = {
            'service': 'relief-payout',
            'operation': 'release-payout',
            'body': {'household': household},
        }
        return await self._record('run', daemon, url, body, key=key)

    async def _record(
        self,
        kind: str,
        daemon: str,
        url: str,
        body: dict[str, typing.Any],
        terms: typing.Mapping[str, str] | None = None,
        key: str = '',
    ) -> history.Call:
        """Send a request to a daemon, or to ``url`` if one is given."""
        number = next(self._call_numbers)
        url = url or self.daemons[daemon].caller_url
        headers = {'Idempotency-Key': key} if key else {}
        invoked_ms = now_ms()
        status, outcome = None, None
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                status, outcome = await self.call(
                    'POST', f'{url}/v1/{kind}', body, headers
                )
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            pass
        except msgspec.DecodeError:
            outcome = _UNREADABLE
        if outcome == _UNREADABLE:
            outcome = None
        return history.Call(
            number,
            kind,
            daemon,
            body.get('search', body.get('operation')),
            terms or {},
            key,
            invoked_ms,
            now_ms(),
            status,
            outcome,
        )

    def restart_target(self, name: str) -> None:
        """Start a killed target again on its port."""
        port = urllib.parse.urlsplit(self.target_urls[name]).port
        slots = '4' if name in DESKS else '2'
        self.spawn(
            name,
            'standins.target',
            *('--name', name, '--port', str(port), '--slots', slots),
            *('--store', self.store_url, '--log', str(self.execution_log)),
        )


def now_ms() -> float:
    """Return the machine's monotonic milliseconds, as targets log them."""
    return time.monotonic() * 1000.0


@contextlib.asynccontextmanager
async def running(daemons: int, targets: int = 6) -> typing.AsyncIterator:
    """Run a system for the time of a ``with`` block."""
    async with System() as system:
        await system.build(daemons, targets)
        yield system
