"""The example configuration on a small system without relays."""

import pathlib

import json5

from standins import cluster

_EXAMPLE = pathlib.Path(__file__).parents[1] / 'examples' / 'gebeya'


async def start(system: cluster.Cluster, daemons: int) -> None:
    """Start a store, six targets and ``daemons`` daemons; wait for them."""
    await system.start_store()
    shards = ['shard-1', 'shard-2', 'shard-3', 'shard-4']
    desks = ['desk-1', 'desk-2']
    await system.start_targets(shards)
    await system.start_targets(desks, '--slots', '4')
    text = (_EXAMPLE / 'base.json').read_text(encoding='utf-8')
    base = json5.loads(text)
    for name, url in system.target_urls.items():
        base['targets'][name]['url'] = url
    await system.put_object(
        'configuration/current',
        {
            'revision': 1,
            'change_id': 'first',
            'author': 'test',
            'accepted_at_ms': 0,
            'base': base,
            'overlays': {},
        },
    )
    await system.put_object(
        'snapshots/current',
        cluster.even_snapshot(1, ['claims', 'clip-rights'], shards, 8, 2),
    )
    sites = list(base['sites'])
    for number in range(daemons):
        site = sites[number % len(sites)]
        name = f'entry-{number + 1}'
        system.place_daemon(name, site, base['sites'][site]['region'])
        system.start_daemon(name)
    await system.wait_ready()
