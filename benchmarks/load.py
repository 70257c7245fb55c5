"""Runs one load against a small system and prints the measurements.

``python -m benchmarks.load --profile gebeya --rate 100 --seconds 10``
"""

import asyncio
import dataclasses
import json
import pathlib
import sys

import click

from benchmarks import bench
from benchmarks import load_generator


@click.command()
@click.option(
    '--profile',
    type=click.Choice(sorted(bench.PROFILES)),
    default='gebeya',
)
@click.option('--rate', default=100.0, help='Searches per second.')
@click.option('--seconds', default=10.0)
@click.option('--seed', default=1)
@click.option('--daemons', default=8)
@click.option('--service-ms', default=4.0)
@click.option('--straggler', default=0.01)
@click.option(
    '--limits', default='{}', help='Limits of the configuration, as JSON.'
)
@click.option('--canary/--no-canary', default=False)
@click.option('--output', type=click.Path(path_type=pathlib.Path))
def main(
    profile: str,
    rate: float,
    seconds: float,
    seed: int,
    daemons: int,
    service_ms: float,
    straggler: float,
    limits: str,
    canary: bool,
    output: pathlib.Path | None,
) -> None:
    """Run one load against stand-ins over loopback."""
    variant = bench.Variant('load', json.loads(limits), canary)
    load = load_generator.Load(rate, seconds, seed, service_ms, straggler)

    async def run() -> bench.Report:
        chosen = bench.PROFILES[profile]
        async with bench.Bench(chosen, variant, daemons) as system:
            return await system.run(load)

    text = json.dumps(dataclasses.asdict(asyncio.run(run())), indent=2)
    if output:
        output.write_text(text, encoding='utf-8')
    click.echo(text)


if __name__ == '__main__':
    sys.exit(main())
