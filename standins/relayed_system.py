"""A system of processes with a relay before the store and the targets."""

import pathlib
import typing
import urllib.parse

import json5

from standins import cluster

INDEXES = ('claims', 'clip-rights')
SITES = ('bole-a', 'kirkos-b', 'yeka-c')
DESKS = ('desk-1', 'desk-2')
RELAY = 'relay'
RECORD_LIMIT = 5_000

_EXAMPLE = pathlib.Path(__file__).parents[1] / 'examples' / 'gebeya'


class RelayedSystem(cluster.Cluster):
    """A store, targets and daemons at three sites.

    The daemons reach the store and the targets through one relay, which has
    a route for each, of the same name.  ``relayed`` holds the relay's URLs by
    route, ``snapshot_versions`` the index version of each snapshot.
    """

    def __init__(self) -> None:
        super().__init__()
        self.base: dict[str, typing.Any] = {}
        self.snapshot_versions: dict[int, int] = {}
        self.shard_targets: list[str] = []

    @property
    def execution_log(self) -> pathlib.Path:
        """The file to which all targets append their executions."""
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
        """Write settings that reach the store through the relay."""
        extra.setdefault('platform_url', self.relayed['store'])
        extra.setdefault('balancer_lag_ms', 1_000)
        return super().write_settings(name, **extra)

    def _base(self) -> dict[str, typing.Any]:
        text = (_EXAMPLE / 'base.json').read_text(encoding='utf-8')
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
        """Publish the next snapshot, with this number of shards."""
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
        """Change one limit through a daemon's operator interface.

        Returns the type of the outcome and its revision, 0 if it has none.
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

    def restart_target(self, name: str) -> None:
        """Restart a killed target on its port."""
        port = urllib.parse.urlsplit(self.target_urls[name]).port
        slots = '4' if name in DESKS else '2'
        self.spawn(
            name,
            'standins.target',
            *('--name', name, '--port', str(port), '--slots', slots),
            *('--store', self.store_url, '--log', str(self.execution_log)),
        )
