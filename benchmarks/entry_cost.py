"""Measures the CPU time and memory of one daemon that forwards requests.

``python -m benchmarks.entry_cost --shards 20 --requests 300`` starts the real
program on a stand-in of the users' platform, sends it requests and prints
its CPU time and memory.  The time of the stand-ins is not included.
"""

import asyncio

import click

from standins import prepared_system

_CALLERS = 4


async def _measure(shards: int, requests: int) -> None:
    names = [f'shard-{number}' for number in range(shards)]
    async with prepared_system.PreparedSystem(names) as system:
        await system.start_targets()
        system.configure(1)
        await system.start_daemon('one', log_level='warning')
        await _send_requests(system, 50, 'warm')
        idle_s = await _idle_core_share(system)
        before_s = system.processor_s('one')
        await _send_requests(system, requests, 'r')
        used_s = system.processor_s('one') - before_s
        sub_queries = shards * requests
        click.echo(
            f'{shards} shards, {requests} requests: '
            f'{used_s / sub_queries * 1e6:.0f} us per sub-query, '
            f'{used_s / requests * 1e3:.2f} ms per request, '
            f'{idle_s * 100:.2f} % of a core idle, '
            f'{system.memory_mb("one"):.1f} MB'
        )


async def _idle_core_share(system: prepared_system.PreparedSystem) -> float:
    before_s = system.processor_s('one')
    await asyncio.sleep(5.0)
    return (system.processor_s('one') - before_s) / 5.0


async def _send_requests(
    system: prepared_system.PreparedSystem, count: int, prefix: str
) -> None:
    async def caller(number: int) -> None:
        for step in range(number, count, _CALLERS):
            await system.ask('one', '/search/x', f'{prefix}{step}')

    await asyncio.gather(*(caller(number) for number in range(_CALLERS)))


@click.command()
@click.option('--shards', default=20, help='Shards per search.')
@click.option('--requests', default=300, help='Searches to measure.')
def main(shards: int, requests: int) -> None:
    """Measure one daemon."""
    asyncio.run(_measure(shards, requests))


if __name__ == '__main__':
    main()
