"""Measures CPU, memory, traffic and store calls of real daemons without load.

Starts the store stand-in and several daemons and waits until each daemon
knows all others.  Over some seconds without callers, it then measures each
daemon's CPU time and resident memory (from ``/proc``), the bytes sent to
peers and the calls that the store received.  ``--targets 2300`` gives the
configuration and the snapshot the planned size; ``--changes N`` writes N
revisions of the configuration during the measurement.
"""

import asyncio
import json
import os
import pathlib
import statistics
import typing

import click

from benchmarks import planned
from standins import cluster

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_WARM_UP_S = 5.0


def cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    text = pathlib.Path(f'/proc/{pid}/statm').read_text(encoding='utf-8')
    return int(text.split()[1]) * os.sysconf('SC_PAGE_SIZE') / 1e6


async def measure(
    daemons: int, targets: int, seconds: float, changes: int
) -> dict[str, typing.Any]:
    """Return medians over the daemons, and the rates of store calls."""
    async with cluster.Cluster() as system:
        await system.start_store()
        await _put_configuration(system, 1, targets)
        await system.put_object('snapshots/current', planned.snapshot(targets))
        for number in range(daemons):
            name = f'entry-{number + 1}'
            site = planned.SITES[number % 3]
            system.place_daemon(name, site, planned.REGIONS[site])
            system.start_daemon(name)
        await system.wait_ready()
        await asyncio.sleep(_WARM_UP_S)
        pids = [system.processes[name].pid for name in system.daemons]
        cpu = [cpu_s(pid) for pid in pids]
        counters = await _counters(system)
        calls = await _calls(system)
        for number in range(max(1, changes)):
            if changes:
                await _put_configuration(system, number + 2, targets)
            await asyncio.sleep(seconds / max(1, changes))
        after = await _counters(system)
        calls_after = await _calls(system)
        return {
            'daemons': daemons,
            'targets': targets,
            'changes': changes,
            'seconds': seconds,
            'live': min(row['live'] for row in after),
            'cpu_percent': statistics.median(
                (cpu_s(pid) - before) / seconds * 100
                for pid, before in zip(pids, cpu)
            ),
            'memory_mb': statistics.median(memory_mb(pid) for pid in pids),
            'payload_bytes_s': _rate(counters, after, 'bytes', seconds),
            'messages_s': _rate(counters, after, 'messages', seconds),
            'store_calls_s': {
                name: (count - calls.get(name, 0)) / seconds
                for name, count in sorted(calls_after.items())
            },
        }


def _rate(
    early: list[dict[str, float]],
    late: list[dict[str, float]],
    name: str,
    seconds: float,
) -> float:
    return statistics.median(
        (after[name] - before[name]) / seconds
        for before, after in zip(early, late)
    )


async def _put_configuration(
    system: cluster.Cluster, revision: int, targets: int
) -> None:
    await system.put_object(
        'configuration/current', planned.source(revision, targets)
    )


async def _calls(system: cluster.Cluster) -> dict[str, int]:
    _, stats = await system.call('GET', f'{system.store_url}/control/stats')
    return stats['calls']


async def _counters(system: cluster.Cluster) -> list[dict[str, float]]:
    """Return what each daemon sent, and how many members it knows."""
    rows = []
    for place in system.daemons.values():
        _, status = await system.call('GET', f'{place.operator_url}/v1/status')
        rows.append(
            {
                'bytes': status['counters'].get('peer_bytes_sent', 0),
                'messages': status['counters'].get('peer_messages_sent', 0),
                'live': len(status['members']),
            }
        )
    return rows


@click.command()
@click.option('--sizes', default='4,8,16')
@click.option('--targets', default=8)
@click.option('--seconds', default=20.0)
@click.option('--changes', default=0)
@click.option('--json', 'json_path', type=click.Path(path_type=pathlib.Path))
def main(
    sizes: str,
    targets: int,
    seconds: float,
    changes: int,
    json_path: pathlib.Path | None,
) -> None:
    """Measure each size and print one line per size."""
    rows = []
    for size in sizes.split(','):
        row = asyncio.run(measure(int(size), targets, seconds, changes))
        rows.append(row)
        print(json.dumps(row), flush=True)
    if json_path is not None:
        json_path.write_text(json.dumps(rows, indent=1), encoding='utf-8')


if __name__ == '__main__':
    main()
