"""A small system on loopback, driven by the real command line.

Run by ``quickstart.sh``.  Only processes started here are stopped, by pid;
``--keep`` leaves them running and prints the addresses.
"""

import asyncio
import json
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile

import click
import json5

from standins import cluster
from standins import prepared_quickstart

_EXAMPLE = pathlib.Path(__file__).parent.parent / 'examples' / 'gebeya'
_SHARDS = ('shard-1', 'shard-2', 'shard-3', 'shard-4')
_DESKS = ('desk-1', 'desk-2')
_INDEXES = ('claims', 'clip-rights')
_OVERLAYS = ('bole-a', 'kirkos-b')
_SETTINGS = {'balancer_lag_ms': 200}
_STOP_LIMIT_S = 20.0


class QuickStart:
    """The steps of the quick start, in order."""

    def __init__(self, system: cluster.Cluster) -> None:
        self._system = system
        self._folder = system.folder

    async def start(self) -> None:
        """Start the stand-ins, publish a snapshot, and start the daemons."""
        system = self._system
        await system.start_store()
        await system.start_targets(_SHARDS)
        await system.start_targets(_DESKS, '--slots', '4')
        snapshot = cluster.even_snapshot(1, _INDEXES, _SHARDS, 8, 2)
        await system.put_object('snapshots/current', snapshot)
        sites = self._write_configuration()
        names = [f'entry-{number}' for number in range(1, len(sites) + 1)]
        await self.command(
            'keys', 'new', *names, '--folder', self.path('keys')
        )
        for name, (site, region) in zip(names, sites.items()):
            system.place_daemon(name, site, region)
            keys_file = self.path('keys', f'{name}.keys.json')
            system.write_settings(name, keys_file=keys_file, **_SETTINGS)
            system.start_daemon(name)
        for place in system.daemons.values():
            await system.wait_for(f'{place.caller_url}/live')

    def _write_configuration(self) -> dict[str, str]:
        text = (_EXAMPLE / 'base.json').read_text(encoding='utf-8')
        base = json5.loads(text)
        # The ports of the example may be taken, so use those of this run.
        for name, url in self._system.target_urls.items():
            base['targets'][name]['url'] = url
        config = self._folder / 'config'
        config.mkdir()
        (config / 'base.json').write_text(json.dumps(base, indent=2))
        for site in _OVERLAYS:
            shutil.copy(_EXAMPLE / f'{site}.json', config)
        return {name: row['region'] for name, row in base['sites'].items()}

    async def show(self) -> None:
        """Apply the files, search, and send a payout to two daemons."""
        overlays = []
        for site in _OVERLAYS:
            file = self.path('config', f'{site}.json')
            overlays += ['--overlay', f'{site}={file}']
        await self.at(
            0, 'config', 'apply', '--yes', '--base',
            self.path('config', 'base.json'), *overlays,
        )  # fmt: skip
        await self._system.wait_ready()
        await self.at(0, 'status')
        await self.at(
            0, 'search', 'field-claims', 'claimant-history', 'kebele=bole',
            'loss=radio', '--limit', '5',
        )  # fmt: skip
        payout = (
            'run', 'relief-payout', 'release-payout', 'household=household-7',
            '--key', self._system.new_key(),
        )  # fmt: skip
        await self.at(0, *payout)
        await self.at(1, *payout)

    async def stop(self) -> None:
        """Drain the daemons by SIGTERM and wait until they exit."""
        names = list(self._system.daemons)
        for name in names:
            self._system.kill(name, signal.SIGTERM)
        for name in names:
            process = self._system.processes[name]
            code = await asyncio.to_thread(process.wait, _STOP_LIMIT_S)
            click.echo(f'{name} (pid {process.pid}) drained, exit {code}')
            if code != 0:
                raise subprocess.CalledProcessError(code, name)

    def path(self, *parts: str) -> str:
        """Return a path below the directory of this run."""
        return str(self._folder.joinpath(*parts))

    async def at(self, number: int, *arguments: str) -> None:
        """Run the command line against one daemon."""
        place = list(self._system.daemons.values())[number]
        token_file = self.path('keys', f'{place.name}.keys.json')
        click.echo(f'\n[at {place.name}, site {place.site}]')
        await self.command(
            *arguments, '--daemon', place.operator_url,
            '--token-file', token_file,
        )  # fmt: skip

    async def command(self, *arguments: str) -> None:
        """Run the command line; raise if its exit status is not 0."""
        click.echo(f'$ samphiredock {" ".join(arguments)}')
        process = await asyncio.create_subprocess_exec(
            sys.executable, '-m', 'samphiredock.cli', *arguments
        )
        code = await process.wait()
        if code != 0:
            raise subprocess.CalledProcessError(code, arguments[0])

    def addresses(self) -> str:
        """Return the addresses of all processes and how to stop them."""
        system = self._system
        rows = [f'platform stand-in  {system.store_url}']
        for place in system.daemons.values():
            rows.append(
                f'{place.name} at {place.site}: callers {place.caller_url}, '
                f'operators {place.operator_url}'
            )
        rows += [f'{name}  {url}' for name, url in system.target_urls.items()]
        rows.append(f'token file: {self.path("keys", "entry-1.keys.json")}')
        pids = [str(each.pid) for each in system.processes.values()]
        rows.append(f'to stop it: kill {" ".join(pids)}')
        return '\n'.join(rows)


async def _run(keep: bool) -> None:
    folder = pathlib.Path(tempfile.mkdtemp(prefix='samphiredock-'))
    system = cluster.Cluster(folder)
    async with system:
        quick = QuickStart(system)
        await quick.start()
        await quick.show()
        if keep:
            click.echo(f'\nstill running; files in {folder}')
            click.echo(quick.addresses())
            # The context manager kills only processes that are listed.
            system.processes.clear()
            return
        click.echo('')
        await quick.stop()
    await prepared_quickstart.show()
    shutil.rmtree(folder)
    click.echo('all stopped')


@click.command()
@click.option('--keep', is_flag=True, help='Leave everything running.')
def main(keep: bool) -> None:
    """Start a small system, use it through the command line, stop it."""
    asyncio.run(_run(keep))


if __name__ == '__main__':
    main()
