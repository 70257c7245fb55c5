"""Measures what callers see when a daemon, a site or the platform is lost.

Callers reach only daemons that run and are in rotation, as behind a load
balancer without lag.  A search in flight at a killed daemon counts as broken.
"""

import asyncio
import json
import pathlib
import signal
import statistics
import typing

import click

from benchmarks import bench
from benchmarks import load_generator

_RESULTS = pathlib.Path(__file__).resolve().parent / 'results'
_EVENT_S = 4.0
_RATE_PER_S = 40.0
_SERVICE_MS = 10.0
_OUTAGE_MS = 30_000.0
_POLL_S = 0.2
_NORMAL_WHOLE_SHARE = 0.99
_NORMAL_P99_FACTOR = 1.5

Event = typing.Callable[
    [bench.Bench], typing.Coroutine[typing.Any, typing.Any, None]
]


class Case(typing.NamedTuple):
    """An event and the duration of the load around it."""

    event: Event
    seconds: float


async def lose_daemon(system: bench.Bench) -> None:
    """Kill one daemon of eight."""
    system.cluster.kill('entry-3')


async def lose_site(system: bench.Bench) -> None:
    """Kill the daemons and the targets of one site."""
    lost = system.profile.sites[1]
    for name, place in system.cluster.daemons.items():
        if place.site == lost:
            system.cluster.kill(name)
    system.cluster.kill('targets-1')


async def lose_platform(system: bench.Bench) -> None:
    """Make the platform's store unresponsive for ``_OUTAGE_MS``."""
    await system.cluster.store_faults(outage_ms=_OUTAGE_MS)


async def restart_all(system: bench.Bench) -> None:
    """Restart every daemon, one after another."""
    for name in system.cluster.daemons:
        system.out_of_rotation.add(name)
        system.cluster.kill(name, signal.SIGTERM)
        while system.cluster.processes[name].poll() is None:
            await asyncio.sleep(_POLL_S)
        system.cluster.start_daemon(name)
        await system.cluster.wait_ready(name)
        system.out_of_rotation.discard(name)


CASES = {
    'daemon': Case(lose_daemon, 14.0),
    'site': Case(lose_site, 14.0),
    'platform': Case(lose_platform, 38.0),
    'all-replaced': Case(restart_all, 45.0),
}


def normal_after_s(report: bench.Report) -> float:
    """Return the seconds from the event until all later seconds are normal.

    In a normal second, 99 % of the searches are answered whole and p99 is at
    most 1.5 times the highest p99 of the seconds before the event.
    """
    before = [row[1] for row in report.timeline if row[0] < _EVENT_S]
    p99_limit_ms = _NORMAL_P99_FACTOR * max(before)
    abnormal = [
        second
        for second, p99_ms, whole in report.timeline
        if second >= _EVENT_S
        and (whole < _NORMAL_WHOLE_SHARE or p99_ms > p99_limit_ms)
    ]
    return max(abnormal) + 1.0 - _EVENT_S if abnormal else 0.0


async def _run(case: Case, seed: int) -> bench.Report:
    load = load_generator.Load(_RATE_PER_S, case.seconds, seed, _SERVICE_MS)
    variant = bench.Variant('default')
    async with bench.Bench(bench.GEBEYA, variant, 8) as system:
        return await system.run(load, case.event, _EVENT_S)


def _row(report: bench.Report) -> dict[str, typing.Any]:
    return {
        'seed': report.seed,
        'offered': report.offered,
        'outcomes': report.outcomes,
        'least_coverage': report.least_coverage,
        'normal_after_s': normal_after_s(report),
        'timeline': [
            [second, round(p99_ms), round(whole, 3)]
            for second, p99_ms, whole in report.timeline
        ],
    }


@click.command()
@click.option('--only', type=click.Choice(sorted(CASES)))
@click.option('--seeds', default=3)
def loss(only: str | None, seeds: int) -> None:
    """Measure the loss of a daemon, a site or the platform, and a rollout."""
    _RESULTS.mkdir(parents=True, exist_ok=True)
    for name in [only] if only else list(CASES):
        rows = []
        for seed in range(1, seeds + 1):
            rows.append(_row(asyncio.run(_run(CASES[name], seed))))
            click.echo(f'{name} {rows[-1]}')
        median_s = statistics.median(row['normal_after_s'] for row in rows)
        click.echo(f'{name}: normal after {median_s:.0f} s (median)')
        path = _RESULTS / f'loss-{name}.json'
        path.write_text(json.dumps(rows) + '\n', encoding='utf-8')
