"""Command line of the soak test."""

import asyncio
import collections
import pathlib
import shutil
import sys
import typing

import click

from soak import _checks
from soak import _faults
from soak import _run
from standins import prepared_system


async def run_soak(
    seed: int,
    seconds: float,
    hosts: int,
    planned: bool = False,
    logs: pathlib.Path | None = None,
    only: typing.Collection[str] = (),
) -> list[str]:
    """Run one soak, print a summary, and return the problems found.

    Parameters
    ----------
    seed
        Seed of the faults and requests.
    seconds
        How long faults are injected.
    hosts
        Number of daemons.
    planned
        Inject only planned work, such as drains and restarts.
    logs
        Directory to which the daemons' logs are copied.
    only
        Names of the faults to inject, instead of all or the planned ones.
    """
    faults = only or (_faults.PLANNED if planned else tuple(_faults.FAULTS))
    async with prepared_system.PreparedSystem(_run.SHARDS) as system:
        soak = _run.Soak(seed, hosts, system, faults)
        history = await soak.run(seconds)
        for name in soak.names if logs else ():
            shutil.copy(system.log_path(name), logs)
    statuses = collections.Counter(
        f'{row.kind} {row.status}' for row in history.requests
    )
    click.echo(f'seed {seed}: {dict(sorted(statuses.items()))}')
    click.echo(f'faults: {dict(sorted(soak.fault_counts.items()))}')
    longest_s = max(stop.to_s - stop.from_s for stop in history.stops)
    click.echo(
        f'{len(history.stops)} stops, the longest {longest_s:.2f} s; a '
        f'platform kills after {_run.STOP_LIMIT_S} s'
    )
    wrong = []
    for name, check in _checks.CHECKS.items():
        found = check(history)
        click.echo(f'{name}: {len(found)} wrong')
        wrong += [f'{name}: {problem}' for problem in found]
    if logs:
        cut = [row for row in history.requests if not row.status]
        lines = [*wrong, *map(str, [*history.stops, *cut])]
        (logs / 'seen.txt').write_text('\n'.join(lines), encoding='utf-8')
    return wrong


@click.command()
@click.option('--seed', default=1, help='Seed of the faults and requests.')
@click.option('--minutes', default=0.5, help='How long faults are injected.')
@click.option('--hosts', default=3, help='Number of daemons.')
@click.option('--planned', is_flag=True, help='Inject planned work only.')
@click.option(
    '--only',
    type=click.Choice(sorted(_faults.FAULTS)),
    multiple=True,
    help='Inject this fault only; may be repeated.',
)
@click.option(
    '--logs',
    type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
    help='Directory to copy the logs of the daemons to.',
)
def main(
    seed: int,
    minutes: float,
    hosts: int,
    planned: bool,
    only: tuple[str, ...],
    logs: pathlib.Path | None,
) -> None:
    """Soak the daemons that forward requests; exit 1 if a check fails."""
    wrong = asyncio.run(
        run_soak(seed, minutes * 60.0, hosts, planned, logs, only)
    )
    for problem in wrong[:20]:
        click.echo(problem)
    sys.exit(1 if wrong else 0)


if __name__ == '__main__':
    main()
