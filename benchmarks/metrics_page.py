"""Measures how long rendering a ``/metrics`` page blocks the event loop.

A 1 ms timer runs while the page is rendered, once on the event loop and once
in a thread; the largest lateness of the timer is printed.  Run as
``python -m benchmarks.metrics_page --services 100``.
"""

import asyncio
import json
import time
import typing

import click

from benchmarks import object_slopes
from samphiredock import metrics

_PERIOD_S = 0.001


async def _lateness_ms(
    write: typing.Callable[[], typing.Awaitable[bytes]],
) -> tuple[float, float, int]:
    """Return the largest lateness and the duration in ms, and the bytes."""
    max_lateness_s = 0.0

    async def measure_lateness() -> None:
        nonlocal max_lateness_s
        while True:
            began = time.monotonic()
            await asyncio.sleep(_PERIOD_S)
            max_lateness_s = max(
                max_lateness_s, time.monotonic() - began - _PERIOD_S
            )

    watcher = asyncio.create_task(measure_lateness())
    await asyncio.sleep(0.02)
    max_lateness_s = 0.0
    began = time.monotonic()
    page = await write()
    elapsed_s = time.monotonic() - began
    await asyncio.sleep(0.01)
    watcher.cancel()
    return max_lateness_s * 1e3, elapsed_s * 1e3, len(page)


async def _measure(counters: metrics.Metrics) -> dict[str, typing.Any]:
    async def on_loop() -> bytes:
        return counters.render()

    async def in_thread() -> bytes:
        counters.flush()
        return await asyncio.to_thread(counters.text)

    rows = {}
    for name, write in (('loop', on_loop), ('thread', in_thread)):
        runs = [await _lateness_ms(write) for _ in range(5)]
        rows[name] = {
            'largest_lateness_ms': sorted(round(run[0], 1) for run in runs),
            'took_ms': sorted(round(run[1], 1) for run in runs),
            'bytes': runs[0][2],
        }
    return rows


@click.command()
@click.option('--services', default=100)
def main(services: int) -> None:
    """Measure and print the figures as JSON."""
    counters = object_slopes.series(services)
    print(json.dumps(asyncio.run(_measure(counters)), indent=1))


if __name__ == '__main__':
    main()
