"""The command line of the soak."""

import asyncio
import collections
import sys

import click

from soak import _checks
from soak import _run
from standins import prepared_system


async def judge(seed: int, seconds: float, hosts: int) -> list[str]:
    """Run one soak; print what was seen, return what was wrong."""
    async with prepared_system.PreparedSystem(_run.SHARDS) as system:
        soak = _run.Soak(seed, hosts, system)
        history = await soak.run(seconds)
    statuses = collections.Counter(
        f'{row.kind} {row.status}' for row in history.asked
    )
    click.echo(f'seed {seed}: {dict(sorted(statuses.items()))}')
    click.echo(f'faults: {dict(sorted(soak.faults.items()))}')
    wrong = []
    for name, check in _checks.CHECKS.items():
        found = check(history)
        click.echo(f'{name}: {len(found)} wrong')
        wrong += [f'{name}: {problem}' for problem in found]
    return wrong


@click.command()
@click.option('--seed', default=1, help='Draws faults and requests.')
@click.option('--minutes', default=0.5, help='How long faults fall.')
@click.option('--hosts', default=3, help='How many daemons.')
def main(seed: int, minutes: float, hosts: int) -> None:
    """Soak the daemons that pass requests on; exit 1 if a check fails."""
    wrong = asyncio.run(judge(seed, minutes * 60.0, hosts))
    for problem in wrong[:20]:
        click.echo(problem)
    sys.exit(1 if wrong else 0)


if __name__ == '__main__':
    main()
