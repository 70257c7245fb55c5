"""Measures the control-plane cost per daemon at several fleet sizes.

For each size, the real control classes (membership, directory, watcher,
exchange) of that many daemons run in this process, on a simulated clock and
an in-memory network that counts the encoded bytes.  The daemons are spread
over 8 sites in 3 regions.  There are three loads:

- ``idle``: no events;
- ``changes``: 630 accepted configuration changes a day;
- ``churn``: 240 restarts and 4 kills a day at 490 daemons.

A run of minutes raises these rates by a factor; the extra cost over ``idle``
is divided by the same factor.
"""

import asyncio
import gc
import json
import pathlib
import random
import statistics
import sys
import time
import tracemalloc
import typing

import click
import msgspec

from benchmarks import planned
from samphiredock import coordination
from samphiredock import protocol
from samphiredock import state
from standins import memory_daemons

PLANNED_DAEMONS = 490
CHANGES_A_DAY = 630
RESTARTS_A_DAY = 240
FAILURES_A_DAY = 4
DAY_MS = 86_400_000.0
SETTLE_MS = 30_000.0
SETTLE_LIMIT_MS = 120_000.0
SEED = 20261202
FIT_MIN_DAEMONS = 32
"""Smaller fleets probe faster, so they do not lie on the fitted line."""


class Figures(msgspec.Struct):
    """Costs of one daemon under one load at one fleet size."""

    daemons: int
    load: str
    bytes_s: float
    messages_s: float
    cpu_us_s: float
    memory_bytes: float
    store_calls_s: float
    connections: float
    in_force_ms: list[float]
    by_kind: dict[str, float]


class Bench:
    """A simulated fleet of one size."""

    def __init__(self, daemons: int, base: dict, loss: float) -> None:
        self.network = memory_daemons.Network(SEED)
        self.network.loss = loss
        self.rng = random.Random(SEED)
        self.base = base
        self.count = daemons
        self.in_force_ms: list[float] = []
        self.settled_ms = 0.0
        first = state.ConfigurationSource(1, 'one', 'bench', 0, base, {})
        self.network.store.write(
            coordination.CONFIGURATION_KEY, msgspec.json.encode(first)
        )

    async def start(self) -> None:
        """Start the daemons in small groups, then wait until all are known."""
        names = planned.SITES
        for number in range(self.count):
            site = names[number % len(names)]
            self.network.start(f'entry-{number}', site, planned.REGIONS[site])
            if number % 20 == 19:
                await self.network.run(200)
        started_ms = self.network.clock.now_ms()
        while min(len(d.live_names()) for d in self.running()) < self.count:
            await self.network.run(500)
            waited_ms = self.network.clock.now_ms() - started_ms
            assert waited_ms < SETTLE_LIMIT_MS, 'members missing'
        self.settled_ms = self.network.clock.now_ms() - started_ms
        await self.network.run(SETTLE_MS)

    def running(self) -> list[memory_daemons.SimDaemon]:
        """Return all running daemons."""
        return list(self.network.daemons.values())

    def connections(self) -> float:
        """Return the mean number of connections that a daemon opened."""
        return statistics.mean(len(d.peers.open) for d in self.running())

    async def change(self) -> None:
        """Apply one change and wait until all daemons have it in force.

        The time that this took is added to ``in_force_ms``.
        """
        place = self.rng.choice(self.running())
        revision = place.current_state.revision
        change = protocol.ConfigurationChange(
            revision, f'change-{revision}', 'bench', self.base, {}
        )
        outcome = await place.acceptor.apply(change)
        if isinstance(outcome, protocol.ChangeInvalid):
            raise AssertionError(f'got {outcome}, expected ChangeAccepted')
        if not isinstance(outcome, protocol.ChangeAccepted):
            return
        accepted_ms = self.network.clock.now_ms()
        place.distribution.announce_configuration()
        while any(
            daemon.current_state.revision < outcome.revision
            for daemon in self.running()
        ):
            await asyncio.sleep(0)
            if self.network.clock.now_ms() - accepted_ms > 60_000:
                break
        self.in_force_ms.append(self.network.clock.now_ms() - accepted_ms)

    def restart(self, announced: bool) -> None:
        """Replace one daemon by a new one of the same name.

        If ``announced``, it first tells the others that it leaves.
        """
        daemon = self.rng.choice(self.running())
        if announced:
            daemon.membership.leave()
        daemon.kill()
        self.network.start(daemon.name, daemon.site, daemon.region)

    async def measure(
        self, load: str, seconds: int, events: int
    ) -> tuple[dict[str, float], dict[str, int]]:
        """Run one load; return totals and the bytes per message kind."""
        network = self.network
        network.sent.clear()
        network.sent_bytes.clear()
        calls = network.store.calls.total()
        tasks = []
        started = time.process_time()
        steps = max(1, events)
        for number in range(steps):
            if load == 'changes' and events:
                tasks.append(asyncio.create_task(self.change()))
            if load == 'churn' and events:
                self.restart(announced=number % 60 != 0)
            await network.run(seconds * 1_000 / steps)
        cpu_s = time.process_time() - started
        for task in tasks:
            task.cancel()
        totals = {
            'bytes': float(sum(network.sent_bytes.values())),
            'messages': float(sum(network.sent.values())),
            'cpu_us': cpu_s * 1e6,
            'calls': float(network.store.calls.total() - calls),
        }
        return totals, dict(network.sent_bytes)


async def run_size(
    daemons: int, targets: int, seconds: int, loss: float
) -> list[Figures]:
    """Measure the three loads at one fleet size."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    bench = Bench(daemons, planned.base(targets), loss)
    await bench.start()
    print(
        f'{daemons} daemons: all members known {bench.settled_ms:.0f} ms '
        'after the last start',
        file=sys.stderr,
        flush=True,
    )
    gc.collect()
    memory = (tracemalloc.get_traced_memory()[0] - before) / daemons
    tracemalloc.stop()
    # Events come more often than planned, so that a short run has some; their
    # extra cost over idle is scaled back to the planned rate below.
    events = {'idle': 0, 'changes': 6, 'churn': max(2, daemons // 8)}
    a_day = {
        'idle': 0.0,
        'changes': float(CHANGES_A_DAY),
        'churn': (RESTARTS_A_DAY + FAILURES_A_DAY) * daemons / PLANNED_DAEMONS,
    }
    rows = []
    idle: dict[str, float] = {}
    idle_kinds: dict[str, int] = {}
    for load in ('idle', 'changes', 'churn'):
        bench.in_force_ms.clear()
        totals, kinds = await bench.measure(load, seconds, events[load])
        if load == 'idle':
            idle, idle_kinds = totals, kinds
        due_events = a_day[load] * seconds * 1_000 / DAY_MS
        scale = due_events / events[load] if events[load] else 0.0
        daemon_seconds = daemons * seconds
        rates = {
            name: (idle[name] + max(0.0, totals[name] - idle[name]) * scale)
            / daemon_seconds
            for name in totals
        }
        by_kind = {
            name: (
                idle_kinds.get(name, 0)
                + max(0, kinds.get(name, 0) - idle_kinds.get(name, 0)) * scale
            )
            / daemon_seconds
            for name in {*kinds, *idle_kinds}
        }
        rows.append(
            Figures(
                daemons,
                load,
                rates['bytes'],
                rates['messages'],
                rates['cpu_us'],
                memory,
                rates['calls'] * daemons,
                bench.connections(),
                sorted(bench.in_force_ms),
                dict(sorted(by_kind.items(), key=lambda row: -row[1])[:4]),
            )
        )
    bench.network.close()
    return rows


def fit(points: typing.Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return intercept and slope of the least-squares line."""
    if not points:
        return 0.0, 0.0
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if not spread:
        return mean_y, 0.0
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - slope * mean_x, slope


def _configuration_bytes(targets: int) -> int:
    return len(msgspec.json.encode(planned.source(1, targets)))


_FITTED = ('bytes_s', 'messages_s', 'cpu_us_s', 'memory_bytes')


def fits(rows: list[Figures]) -> list[dict]:
    """Fit a line to each figure; return it with its value at 490 daemons."""
    fitted = []
    for load in ('idle', 'changes', 'churn'):
        for name in _FITTED:
            points = [
                (float(row.daemons), getattr(row, name))
                for row in rows
                if row.load == load
                and FIT_MIN_DAEMONS <= row.daemons < PLANNED_DAEMONS
            ]
            start, slope = fit(points)
            fitted.append(
                {
                    'load': load,
                    'figure': name,
                    'intercept': start,
                    'slope': slope,
                    'at_490': start + slope * PLANNED_DAEMONS,
                }
            )
    return fitted


def table(rows: list[Figures], lines: list[dict]) -> str:
    """Return the figures and fitted lines as text."""
    out = [
        'daemons load     bytes/s msgs/s cpu us/s mem KB store/s conn '
        'in force ms'
    ]
    for row in rows:
        max_in_force = f'{row.in_force_ms[-1]:.0f}' if row.in_force_ms else '-'
        out.append(
            f'{row.daemons:7} {row.load:8} {row.bytes_s:7.0f} '
            f'{row.messages_s:6.1f} {row.cpu_us_s:8.0f} '
            f'{row.memory_bytes / 1024:6.0f} {row.store_calls_s:7.1f} '
            f'{row.connections:4.0f} {max_in_force}'
        )
    out.append('fit: figure = intercept + slope * daemons')
    for line in lines:
        out.append(
            f'{line["load"]:8} {line["figure"]:13} '
            f'{line["intercept"]:10.1f} + {line["slope"]:8.3f} n, '
            f'at 490: {line["at_490"]:.0f}'
        )
    return '\n'.join(out)


@click.command()
@click.option('--sizes', default='8,16,32,64,128')
@click.option('--seconds', default=60, help='Simulated time per load.')
@click.option('--targets', default=400, help='Targets in the configuration.')
@click.option('--loss', default=0.0, help='Share of messages lost, 0 to 1.')
@click.option('--json', 'json_path', type=click.Path(path_type=pathlib.Path))
def main(
    sizes: str,
    seconds: int,
    targets: int,
    loss: float,
    json_path: pathlib.Path | None,
) -> None:
    """Measure and print the control-plane costs per daemon."""
    rows: list[Figures] = []
    for size in sizes.split(','):
        rows += asyncio.run(run_size(int(size), targets, seconds, loss))
        print(f'{size} daemons done', file=sys.stderr, flush=True)
    lines = fits(rows)
    print(
        f'seed {SEED}, {_configuration_bytes(targets)} B of configuration, '
        f'loss {loss}'
    )
    print(table(rows, lines))
    if json_path is not None:
        content = {'rows': [msgspec.to_builtins(row) for row in rows]}
        content['fits'] = lines
        json_path.write_text(json.dumps(content, indent=1), encoding='utf-8')


if __name__ == '__main__':
    main()
