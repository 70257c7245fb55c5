"""Operator commands, with real processes and the real command line."""

import asyncio
import json
import pathlib
import socket
import sys
import typing
import unittest

from standins import cluster
from standins import small_system

ROOT = pathlib.Path(__file__).parents[2]
_TRIES = 40


async def command(
    place: cluster.DaemonPlace, *arguments: str
) -> tuple[int, typing.Any]:
    """Run the command line against one daemon; return status and JSON."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'samphiredock.cli',
        *arguments,
        '--json',
        '--daemon',
        place.operator_url,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    assert output, errors.decode()
    return process.returncode, json.loads(output.decode())


class OperatorsTest(unittest.IsolatedAsyncioTestCase):
    """Three daemons and a platform stand-in."""

    async def test_changes_race_and_answers_are_lost(self) -> None:
        """Two operators change one revision; the store loses a response.

        The first change is written but its response is lost: the daemon
        reads the object back and accepts the change.  The second, based on
        the same revision, is a conflict that names the current one.  The
        first, repeated with its id, is accepted again as the same revision.
        """
        async with cluster.Cluster() as system:
            await small_system.start(system, 3)
            first, second = list(system.daemons.values())[:2]
            _, shown = await command(first, 'config', 'show')
            files = [self._write(system, shown['base'], w) for w in (3.0, 5.0)]
            await system.store_faults(lose_answers=1)
            apply = ('config', 'apply', '--yes', '--base-revision', '1')
            sent = (*apply, '--change-id', 'one', '--base', files[0])
            status, done = await command(first, *sent)
            self.assertEqual((0, 'confirmed'), (status, done['type']))
            self.assertEqual(2, done['revision'])
            status, done = await command(second, *apply, '--base', files[1])
            self.assertEqual((4, 2), (status, done['revision']))
            status, done = await command(second, *sent)
            self.assertEqual((0, 2), (status, done['revision']))
            _, fleet = await command(second, 'status')
            self.assertEqual({2}, set(fleet['revisions'].values()))

    async def test_a_drain_at_one_daemon_holds_at_the_others(self) -> None:
        """A target drained through one daemon is unusable at another.

        Daemons share drains, history and quarantine through the platform's
        objects; an unknown target is refused.
        """
        async with cluster.Cluster() as system:
            await small_system.start(system, 3)
            first, second = list(system.daemons.values())[:2]
            for verb, usable in (('drain', False), ('undrain', True)):
                status, _ = await command(first, 'target', verb, 'shard-1')
                self.assertEqual(0, status)
                for _ in range(_TRIES):
                    _, seen = await command(second, 'status')
                    rows = {row['name']: row for row in seen['target_rows']}
                    if rows['shard-1']['usable'] == usable:
                        break
                self.assertEqual(usable, rows['shard-1']['usable'])
                self.assertTrue(rows['shard-2']['usable'])
            self.assertEqual(
                3, (await command(first, 'target', 'drain', 'nope'))[0]
            )
            self.assertEqual(
                (0, []), await command(second, 'quarantine', 'list')
            )
            _, history = await command(second, 'config', 'history')
            self.assertEqual([1], [row['revision'] for row in history])

    def _write(
        self, system: cluster.Cluster, base: dict, weight: float
    ) -> str:
        base['services']['field-claims']['weight'] = weight
        path = system.folder / f'base-{weight}.json'
        path.write_text(json.dumps(base), encoding='utf-8')
        return str(path)

    async def test_an_address_in_use_is_said_in_words(self) -> None:
        """The daemon exits and logs the port, without a traceback."""
        async with cluster.Cluster() as system:
            system.store_url = 'http://127.0.0.1:9'
            system.place_daemon('entry-1', 'bole-a', 'addis')
            for key, scheme in (
                ('peer_address', 'tcp://'),
                ('operator_address', ''),
            ):
                with socket.create_server(('127.0.0.1', 0)) as taken:
                    port = taken.getsockname()[1]
                    address = f'{scheme}127.0.0.1:{port}'
                    system.write_settings('entry-1', **{key: address})
                    system.start_daemon('entry-1')
                    process = system.processes['entry-1']
                    code = await asyncio.to_thread(process.wait)
                self.assertEqual(1, code)
                log = (system.folder / 'entry-1.log').read_text()
                self.assertIn(f'{port}', log)
                self.assertNotIn('Traceback', log)

    async def test_quick_start_ends_well_and_leaves_nothing(self) -> None:
        """The quick start succeeds and stops all of its daemons."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'standins.quickstart',
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        text = output.decode()
        self.assertEqual(0, process.returncode, text)
        for expected in (
            'revision 1 confirmed',
            'coverage: 1.0',
            'replayed: False',
            'replayed: True',
            'all stopped',
        ):
            self.assertIn(expected, text)
        # Three daemons of the first part, and one of the second.
        self.assertEqual(4, text.count('drained, exit 0'))
        self.assertEqual(2, text.count('GET /search/radio at entry-'))
        self.assertEqual(2, text.count(': 200, 0 shards missing'))
        self.assertIn('POST /pay/household-7 at entry-b: 200', text)
        self.assertIn('GET /none at entry-b: 404', text)
        self.assertIn('cause: it was answered whole', text)
