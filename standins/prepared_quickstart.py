"""The second part of the quick start: requests forwarded to targets.

Starts a stand-in of the users' platform and two daemons; sends a search to
all shards and a payout to one target.
"""

import asyncio
import pathlib
import signal
import subprocess
import sys

import click

from standins import prepared_system

_DAEMONS = ('entry-a', 'entry-b')


async def show() -> None:
    """Start the system, send requests, drain a daemon, explain a request."""
    async with prepared_system.PreparedSystem() as system:
        await system.start_targets()
        system.configure(1)
        for name in _DAEMONS:
            await system.start_daemon(name)
        click.echo("\n[on a stand-in of the users' platform]")
        await _ask(system, 'entry-a', 'GET', '/search/radio')
        await _ask(system, 'entry-b', 'POST', '/pay/household-7')
        await _ask(system, 'entry-b', 'GET', '/none')
        code = await system.stop_daemon('entry-a', signal.SIGTERM)
        click.echo(f'entry-a drained, exit {code}')
        await _ask(system, 'entry-b', 'GET', '/search/radio')
        await _explain(system.log_path('entry-a'), 'search-1')


async def _explain(path: pathlib.Path, request_id: str) -> None:
    click.echo(f'$ samphiredock explain {request_id} {path.name}')
    process = await asyncio.create_subprocess_exec(
        sys.executable, '-m', 'samphiredock.cli',
        'explain', request_id, str(path),
    )  # fmt: skip
    code = await process.wait()
    if code != 0:
        raise subprocess.CalledProcessError(code, 'explain')


async def _ask(
    system: prepared_system.PreparedSystem,
    daemon: str,
    method: str,
    path: str,
) -> None:
    request_id = f'{path.split("/")[1]}-{1 if daemon == "entry-a" else 2}'
    status, headers, body = await system.ask(daemon, path, request_id, method)
    missing = headers.get('Missing-Parts')
    parts = f', {missing} shards missing' if missing is not None else ''
    click.echo(
        f'{method} {path} at {daemon}: {status}{parts}, {len(body)} bytes'
    )
