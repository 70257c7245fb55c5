"""What callers see when a daemon, a site or the platform is lost.

Callers reach only daemons whose process lives and is in rotation, as behind
a balancer without lag; a search in flight at a killed daemon counts as
broken.
"""

import asyncio
import json
import pathlib
import signal
import statistics
import typing

import click

from benchmarks import bench
from benchmarks import offering

_RESULTS = pathlib.Path(__file__).resolve().parent / 'results'
_EVENT_S = 4.0
_RATE_PER_S = 40.0
_SERVICE_MS = 10.0
_OUTAGE_MS = 30_000.0
_LAG_S = 0.2
_NORMAL_WHOLE = 0.99
_NORMAL_P99 = 1.5

Event = typing.Callable[
    [bench.Bench], typing.Coroutine[typing.Any, typing.Any, None]
]


class Case(typing.NamedTuple):
    """An event, and for how long the load runs round it."""

    event: Event
    seconds: float


async def lose_daemon(system: bench.Bench) -> None:
    """Kill one daemon of eight."""
    system.system.kill('entry-3')


async def lose_site(system: bench.Bench) -> None:
    """Kill the daemons and the targets of one site."""
    lost = system.profile.sites[1]
    for name, place in system.system.daemons.items():
        if place.site == lost:
            system.system.kill(name)
    system.system.kill('targets-1')


async def lose_platform(system: bench.Bench) -> None:
    """Let the platform's store answer nothing for a while."""
    await system.system.store_faults(outage_ms=_OUTAGE_MS)


async def replace_all(system: bench.Bench) -> None:
    """Stop and start every daemon, one after another."""
    for name in system.system.daemons:
        system.out_of_rotation.add(name)
        system.system.kill(name, signal.SIGTERM)
        while system.system.processes[name].poll() is None:
            await asyncio.sleep(_LAG_S)
        system.system.start_daemon(name)
        await system.system.wait_ready(name)
        system.out_of_rotation.discard(name)


CASES = {
    'daemon': Case(lose_daemon, 14.0),
    'site': Case(lose_site, 14.0),
    'platform': Case(lose_platform, 38.0),
    'all-replaced': Case(replace_all, 45.0),
}


def normal_after_s(report: bench.Report) -> float:
    """Return from the event to the first second since which all is normal.

    Normal is 99 in 100 answered whole and p99 within 1.5 times the p99 of
    the seconds before the event.
    """
    before = [row[1] for row in report.timeline if row[0] < _EVENT_S]
    most_ms = _NORMAL_P99 * max(before)
    off = [
        second
        for second, p99_ms, whole in report.timeline
        if second >= _EVENT_S and (whole < _NORMAL_WHOLE or p99_ms > most_ms)
    ]
    return max(off) + 1.0 - _EVENT_S if off else 0.0


async def _run(case: Case, seed: int) -> bench.Report:
    load = offering.Load(_RATE_PER_S, case.seconds, seed, _SERVICE_MS)
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
    """Loss of a daemon, a site, the platform; all daemons replaced."""
    _RESULTS.mkdir(parents=True, exist_ok=True)
    for name in [only] if only else list(CASES):
        rows = []
        for seed in range(1, seeds + 1):
            rows.append(_row(asyncio.run(_run(CASES[name], seed))))
            click.echo(f'{name} {rows[-1]}')
        middle = statistics.median(row['normal_after_s'] for row in rows)
        click.echo(f'{name}: normal after {middle:.0f} s (median)')
        path = _RESULTS / f'loss-{name}.json'
        path.write_text(json.dumps(rows) + '\n', encoding='utf-8')
