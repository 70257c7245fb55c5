"""Compares policies side by side.

Run as ``python -m benchmarks.experiments hedge``, and so on.  For each seed,
all variants run in an order drawn from the seed, so that other work on the
machine affects all of them alike.  The results are medians over the seeds.
Each comparison writes ``benchmarks/results/NAME.json`` and a plot.
"""

import asyncio
import contextlib
import dataclasses
import functools
import json
import os
import random
import typing

import click

from benchmarks import bench
from benchmarks import load_generator
from benchmarks import losses
from benchmarks import results

RunVariant = typing.Callable[
    [bench.Variant, load_generator.Load], typing.Awaitable[bench.Report]
]

_SEEDS = 5
_NO_HEDGE_MS = 600_000.0
_UNBOUNDED = 1.0

# Long enough that stragglers stand out from the machine's noise.
_HEDGED_SERVICE_MS = 20.0

# Each shard has 2 servers of 2 slots; with variance and stragglers, an item
# takes 45.6 ms on average.
_BUSY_SERVICE_MS = 40.0
_BUSY_CAPACITY_PER_S = 88.0

# Each server gets 2,060 sub-queries per second, as at the planned size.  The
# servers are at three sites, so each query needs three dispatchers.
_PLANNED = bench.Profile(
    'planned', bench.GEBEYA.sites, 'claims', 55, 2, 2, 100, 1, 1, 4
)
_PLANNED_PER_S = 150.0

HEDGES = (
    bench.Variant('no hedge', {'hedge_after_ms': _NO_HEDGE_MS}),
    bench.Variant(
        'fixed 40 ms', {'hedge_after_ms': 40.0, 'hedge_budget': _UNBOUNDED}
    ),
    bench.Variant(
        'quantile', {'hedge_quantile': 0.95, 'hedge_budget': _UNBOUNDED}
    ),
    bench.Variant('quantile, budget', {'hedge_quantile': 0.95}),
    bench.Variant('quantile 0.98, budget', {'hedge_quantile': 0.98}),
)
HEDGE_LOADS = {
    'stragglers': load_generator.Load(20.0, 8.0, 0, _HEDGED_SERVICE_MS),
    'at-120': load_generator.Load(
        1.2 * _BUSY_CAPACITY_PER_S, 4.0, 0, _BUSY_SERVICE_MS
    ),
    'slow-replica': load_generator.Load(
        20.0, 4.0, 0, _HEDGED_SERVICE_MS, 0.0, slow_target_ms=200.0
    ),
    'at-80': load_generator.Load(
        0.8 * _BUSY_CAPACITY_PER_S, 4.0, 0, _BUSY_SERVICE_MS
    ),
}
WINDOWS = tuple(
    bench.Variant(f'{window} ms', {'batch_window_ms': float(window)})
    for window in (0, 2, 5, 10)
)
BOUNDS = tuple(
    bench.Variant(f'{bound} a daemon', {'in_flight_per_daemon': bound})
    for bound in (2_000, 8, 3)
)
BATCHES = (
    bench.Variant('batches of 32'),
    bench.Variant('one a request', {'batch_items': 1}),
)
OWNERSHIP = (
    bench.Variant('owner'),
    bench.Variant('islands, 2 slots each', islands=True),
    bench.Variant('islands, 1 slot each', islands=True, slots=1),
)
CANARIES = (
    bench.Variant('never', canary=False),
    bench.Variant('for contents not seen', canary=True),
)


async def interleave(
    variants: typing.Sequence[bench.Variant],
    load: load_generator.Load,
    run_variant: RunVariant,
    seeds: int = _SEEDS,
) -> list[bench.Report]:
    """Run all variants for each seed, in an order drawn from that seed."""
    reports = []
    for seed in range(1, seeds + 1):
        order = list(variants)
        random.Random(seed).shuffle(order)
        for variant in order:
            report = await run_variant(
                variant, dataclasses.replace(load, seed=seed)
            )
            click.echo(results.line(report))
            reports.append(report)
    return reports


async def _with_limits(
    system: bench.Bench, variant: bench.Variant, load: load_generator.Load
) -> bench.Report:
    await system.apply(variant)
    return await system.run(load)


async def _compare_limits(
    profile: bench.Profile,
    daemons: int,
    variants: typing.Sequence[bench.Variant],
    loads: typing.Mapping[str, load_generator.Load],
    seeds: int,
) -> dict[str, list[bench.Report]]:
    """Compare variants that differ only in limits, on the same daemons."""
    async with bench.Bench(profile, variants[0], daemons) as system:
        # Warm up connections and latency records before measuring.
        await system.run(dataclasses.replace(next(iter(loads.values()))))
        run_variant = functools.partial(_with_limits, system)
        return {
            name: await interleave(variants, load, run_variant, seeds)
            for name, load in loads.items()
        }


async def _compare_systems(
    profile: bench.Profile,
    daemons: int,
    variants: typing.Sequence[bench.Variant],
    load: load_generator.Load,
    seeds: int,
) -> list[bench.Report]:
    """Compare variants that need separate systems, all running at once."""
    async with contextlib.AsyncExitStack() as stack:
        systems = {}
        for variant in variants:
            system = bench.Bench(profile, variant, daemons)
            systems[variant.name] = await stack.enter_async_context(system)
            await system.run(load)

        async def run_variant(
            variant: bench.Variant, load: load_generator.Load
        ) -> bench.Report:
            return await systems[variant.name].run(load)

        return await interleave(variants, load, run_variant, seeds)


def _save(name: str, groups: typing.Mapping[str, list[bench.Report]]) -> None:
    path = results.save(name, groups)
    results.plot(name, groups)
    click.echo(results.table(json.loads(path.read_text(encoding='utf-8'))))
    load_average = ' '.join(f'{part:.1f}' for part in os.getloadavg())
    click.echo(f'{path}; load average {load_average}')


@click.group()
def main() -> None:
    """Compare policies on stand-ins over loopback."""


_seeds = click.option('--seeds', default=_SEEDS)
_daemons = click.option('--daemons', default=8)


@main.command()
@click.option('--only', type=click.Choice(sorted(HEDGE_LOADS)))
@_daemons
@_seeds
def hedge(only: str | None, daemons: int, seeds: int) -> None:
    """Compare hedging: none, fixed delay, quantile, quantile with budget."""
    names = [only] if only else list(HEDGE_LOADS)
    loads = {name: HEDGE_LOADS[name] for name in names}
    run = _compare_limits(bench.GEBEYA, daemons, HEDGES, loads, seeds)
    for name, reports in asyncio.run(run).items():
        _save(f'hedge-{name}', {name: reports})


@main.command()
@_daemons
@_seeds
def window(daemons: int, seeds: int) -> None:
    """Compare batch windows at two request rates."""
    planned = load_generator.Load(_PLANNED_PER_S, 3.0, 0, 0.0, 0.0)
    low = dataclasses.replace(planned, rate_per_s=10.0)
    loads = {'planned': planned, 'low': low}
    run = _compare_limits(_PLANNED, daemons, WINDOWS, loads, seeds)
    _save('window', asyncio.run(run))


@main.command()
@_daemons
@_seeds
def batching(daemons: int, seeds: int) -> None:
    """Compare batches with one request per sub-query."""
    load = load_generator.Load(0.3 * _PLANNED_PER_S, 3.0, 0, 0.0, 0.0)
    run = _compare_limits(
        _PLANNED, daemons, BATCHES, {'45 searches/s': load}, seeds
    )
    _save('batching', asyncio.run(run))


@main.command()
@_daemons
@_seeds
def islands(daemons: int, seeds: int) -> None:
    """Compare target ownership with daemons that each use every target."""
    load = load_generator.Load(60.0, 4.0, 0)
    run = _compare_systems(bench.GEBEYA, daemons, OWNERSHIP, load, seeds)
    _save('islands', {'stragglers': asyncio.run(run)})


@main.command()
@_daemons
@_seeds
def canary(daemons: int, seeds: int) -> None:
    """Compare canaries for unknown contents with none."""
    few = load_generator.Load(60.0, 4.0, 0)
    # So many contents that practically none repeats.
    new = dataclasses.replace(few, distinct=1_000_000_000)
    loads = {'97 contents': few, 'each content new': new}
    run = _compare_limits(bench.GEBEYA, daemons, CANARIES, loads, seeds)
    _save('canary', asyncio.run(run))


@main.command()
@_daemons
@_seeds
def overload(daemons: int, seeds: int) -> None:
    """Compare limits of searches in flight at 120 % of capacity."""
    loads = {'at 120 %': HEDGE_LOADS['at-120']}
    run = _compare_limits(bench.GEBEYA, daemons, BOUNDS, loads, seeds)
    _save('overload', asyncio.run(run))


main.add_command(losses.loss)


if __name__ == '__main__':
    main()
