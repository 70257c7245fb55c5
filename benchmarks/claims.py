"""Counts store calls, conflicts and bytes of claims.

The claim registries of many daemons share one store.  Time is simulated, so
the figures do not depend on the machine; they are quoted in
``docs/design/claims.md``.
"""

import asyncio
import random

import click

from samphiredock.coordination import _pause
from samphiredock.coordination.once import _claim_registry
from samphiredock import metrics
from samphiredock import state
from samphiredock.state import _claims
from standins import memory_hosts
from standins import memory_platform

_RECEIPT = {'receipt': 'r' * 24, 'desk': 'desk-1'}


async def _measure(
    daemons: int, rate_per_s: float, seconds: float, seed: int
) -> dict[str, float]:
    clock = memory_hosts.SteppedTimers()
    store = memory_platform.MemoryStore(random.Random(seed))
    platform = memory_platform.MemoryPlatform(store, clock, (0.0, 5.0))
    counters = metrics.Metrics('benchmark')
    rng = random.Random(seed + 1)
    registries = [
        _claim_registry.ClaimRegistry(platform, clock, rng, counters)
        for _ in range(daemons)
    ]
    waits_ms: list[float] = []
    granted: list[bool] = []

    async def run_claim(
        number: int, registry: _claim_registry.ClaimRegistry
    ) -> None:
        token = f'entry-{number % daemons}/1700000000000/{number}'
        place = state.locate_claim('payout', f'key-{number}')
        content = state.content_digest('release', {'n': str(number)})
        started_ms = clock.now_ms()
        claim = state.Claim(
            token, content, state.ClaimState.OPEN, clock.wall_ms()
        )
        opened = await registry.open(place, claim, started_ms + 2_000)
        waits_ms.append(clock.now_ms() - started_ms)
        granted.append(
            isinstance(opened.opened, state.OpenDecision)
            and opened.opened.status is state.OpenStatus.GRANTED
        )
        await _pause.pause(clock, rng.uniform(5, 50))
        await registry.close(place, state.done_claim(claim, True, _RECEIPT))

    tasks = []
    due_ms = 0.0
    while due_ms < seconds * 1_000:
        gap_ms = rng.expovariate(rate_per_s) * 1_000
        due_ms += gap_ms
        await clock.pass_ms(gap_ms)
        registry = rng.choice(registries)
        tasks.append(asyncio.create_task(run_claim(len(tasks), registry)))
    await clock.pass_ms(5_000)
    count = len(tasks)
    sizes = [len(stored.value) for stored in store.objects.values()]
    waits_ms.sort()
    counters.close()
    return {
        'requests': count,
        'granted': sum(granted),
        'gets': store.calls['get'] / count,
        'puts': store.calls['put'] / count,
        'conflicts': counters.total('claim_conflicts') / count,
        'p50_ms': waits_ms[count // 2],
        'p99_ms': waits_ms[int(count * 0.99)],
        'bytes_per_claim': sum(sizes) / count,
    }


@click.command()
@click.option('--daemons', default=490)
@click.option('--rate', 'rates', multiple=True, default=(20.0, 100.0))
@click.option('--buckets', multiple=True, default=(16, 1_024, 2**18))
@click.option('--seconds', default=20.0)
@click.option('--seeds', default=5)
def main(
    daemons: int,
    rates: tuple[float, ...],
    buckets: tuple[int, ...],
    seconds: float,
    seeds: int,
) -> None:
    """Print medians over the seeds, one line per setting."""
    for rate in rates:
        for count in buckets:
            _claims.BUCKET_COUNT = count
            rows = [
                asyncio.run(_measure(daemons, rate, seconds, seed))
                for seed in range(seeds)
            ]
            medians = {
                name: sorted(row[name] for row in rows)[seeds // 2]
                for name in rows[0]
            }
            text = ' '.join(
                f'{name}={value:.2f}' for name, value in medians.items()
            )
            click.echo(f'daemons={daemons} rate={rate} buckets={count} {text}')


if __name__ == '__main__':
    main()
