"""A search and an unrepeatable request, end to end through processes."""

import pathlib
import unittest

import json5

from standins import cluster

_BASE = pathlib.Path(__file__).parents[2] / 'examples' / 'gebeya'


class ThinPathTest(unittest.IsolatedAsyncioTestCase):
    """Three daemons, four shard targets and two desks."""

    async def test_search_and_run_end_to_end(self) -> None:
        """A caller gets the whole answer; a repeat gets the recorded one.

        The request is claimed in the store by one daemon and run once; the
        same key at another daemon finds the claim and its outcome, so the
        second caller reads the same receipt and nothing runs again.
        """
        async with cluster.Cluster() as system:
            await start_small_system(system, 3)
            first, second = list(system.daemons.values())[:2]
            body = {
                'service': 'field-claims',
                'search': 'claimant-history',
                'terms': {'kebele': 'bole'},
            }
            status, found = await system.call(
                'POST', f'{first.caller_url}/v1/search', body
            )
            self.assertEqual((200, 'answered'), (status, found['type']))
            self.assertEqual(1.0, found['coverage'])
            self.assertEqual(50, len(found['records']))
            order = {
                'service': 'relief-payout',
                'operation': 'release-payout',
                'body': {'household': 'household-7'},
            }
            key = {'Idempotency-Key': system.new_key()}
            answers = [
                await system.call(
                    'POST', f'{place.caller_url}/v1/run', order, key
                )
                for place in (first, second)
            ]
            self.assertEqual([200, 200], [row[0] for row in answers])
            self.assertEqual(answers[0][1]['result'], answers[1][1]['result'])
            self.assertEqual(
                [False, True], [row[1]['replayed'] for row in answers]
            )


async def start_small_system(system: cluster.Cluster, daemons: int) -> None:
    """Start a store, six targets and some daemons, all configured."""
    await system.start_store()
    shards = ['shard-1', 'shard-2', 'shard-3', 'shard-4']
    desks = ['desk-1', 'desk-2']
    await system.start_targets(shards)
    await system.start_targets(desks, '--slots', '4')
    text = (_BASE / 'base.json').read_text(encoding='utf-8')
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
