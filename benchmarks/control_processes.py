"""What idle control costs a real daemon: processor, memory, bytes.

Starts the store stand-in and some daemons, waits until all know all, and
reads each daemon's processor time and resident memory from ``/proc`` and
its counters of bytes sent to peers, over some seconds without callers.
"""

import asyncio
import os
import pathlib
import statistics

import click

from standins import cluster
from standins import memory_daemons

_SITES = ('bole-a', 'kirkos-b', 'yeka-c')
_TICKS_S = os.sysconf('SC_CLK_TCK')


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_S


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    text = pathlib.Path(f'/proc/{pid}/statm').read_text(encoding='utf-8')
    return int(text.split()[1]) * os.sysconf('SC_PAGE_SIZE') / 1e6


async def measure(daemons: int, seconds: float) -> dict[str, float]:
    """Return the medians over the daemons."""
    async with cluster.Cluster() as system:
        await system.start_store()
        await system.put_object(
            'configuration/current',
            {
                'revision': 1,
                'change_id': 'first',
                'author': 'bench',
                'accepted_at_ms': 0,
                'base': memory_daemons.BASE,
                'overlays': {},
            },
        )
        await system.put_object(
            'snapshots/current', {'snapshot_id': 1, 'indexes': {}}
        )
        for number in range(daemons):
            name = f'entry-{number + 1}'
            system.place_daemon(name, _SITES[number % 3], 'addis')
            system.start_daemon(name)
        await system.wait_ready()
        await asyncio.sleep(5.0)
        pids = [system.processes[name].pid for name in system.daemons]
        cpu = [cpu_s(pid) for pid in pids]
        sent = await counters(system)
        await asyncio.sleep(seconds)
        after = await counters(system)
        return {
            'daemons': daemons,
            'live': min(row['live'] for row in after),
            'cpu_percent': statistics.median(
                (cpu_s(pid) - before) / seconds * 100
                for pid, before in zip(pids, cpu)
            ),
            'memory_mb': statistics.median(memory_mb(pid) for pid in pids),
            'payload_bytes_s': statistics.median(
                (late['bytes'] - early['bytes']) / seconds
                for early, late in zip(sent, after)
            ),
            'messages_s': statistics.median(
                (late['messages'] - early['messages']) / seconds
                for early, late in zip(sent, after)
            ),
        }


async def counters(system: cluster.Cluster) -> list[dict[str, float]]:
    """Return each daemon's counters of what it sent."""
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
@click.option('--seconds', default=20.0)
def main(sizes: str, seconds: float) -> None:
    """Measure and print, one line for each size."""
    for size in sizes.split(','):
        row = asyncio.run(measure(int(size), seconds))
        print(' '.join(f'{key} {value:.4g}' for key, value in row.items()))


if __name__ == '__main__':
    main()
