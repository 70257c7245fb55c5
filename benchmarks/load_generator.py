"""Sends searches at random times and records how they ended."""

import asyncio
import collections
import dataclasses
import random
import typing

import aiohttp

from standins import cluster

_CALL_TIMEOUT_S = 10.0
_DEFAULT_CONTENTS = 97


@dataclasses.dataclass(frozen=True)
class Load:
    """Rate and content of the searches, and the behaviour of the targets."""

    rate_per_s: float
    seconds: float
    seed: int
    service_ms: float = 4.0
    straggler: float = 0.01
    slow_target_ms: float = 0.0
    distinct: int = _DEFAULT_CONTENTS
    deadline_ms: int = 800


@dataclasses.dataclass(frozen=True)
class Row:
    """One search: its intended start, latency and outcome."""

    start_s: float
    latency_ms: float
    outcome: str
    coverage: float


async def run_load(
    live: typing.Callable[[], list[cluster.DaemonPlace]],
    load: Load,
    extra_ms: float = 0.0,
) -> list[Row]:
    """Send searches at times drawn from the seed (open loop).

    The send times do not depend on the answers.  ``live`` returns the daemons
    to choose from.  ``extra_ms`` is the round trip to the client, which is
    added to each latency.
    """
    rng = random.Random(load.seed)
    loop = asyncio.get_running_loop()
    start = loop.time() + 0.1
    offset_s = 0.0
    tasks = []
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        while True:
            offset_s += rng.expovariate(load.rate_per_s)
            if offset_s >= load.seconds:
                break
            await asyncio.sleep(max(0.0, start + offset_s - loop.time()))
            url = rng.choice(live()).caller_url
            household = f'household-{rng.randrange(load.distinct)}'
            tasks.append(
                asyncio.create_task(
                    _search(
                        session,
                        url,
                        household,
                        start + offset_s,
                        offset_s,
                        load,
                    )
                )
            )
        rows = await asyncio.gather(*tasks)
    return [
        dataclasses.replace(row, latency_ms=row.latency_ms + extra_ms)
        for row in rows
    ]


async def _search(
    session: aiohttp.ClientSession,
    url: str,
    household: str,
    intended: float,
    offset_s: float,
    load: Load,
) -> Row:
    body = {
        'service': 'desk',
        'search': 'lookup',
        'terms': {'claimant': household},
        'deadline_ms': load.deadline_ms,
    }
    try:
        async with session.post(f'{url}/v1/search', json=body) as response:
            row = await response.json(content_type=None)
    except (aiohttp.ClientError, OSError, asyncio.TimeoutError, ValueError):
        row = {'type': 'broken'}
    took_ms = (asyncio.get_running_loop().time() - intended) * 1000.0
    kind = row['type']
    if kind == 'not-run':
        kind = f'not-run {row["reason"]}'
    return Row(offset_s, took_ms, kind, row.get('coverage', 0.0))


def timeline(
    rows: typing.Iterable[Row],
) -> tuple[tuple[float, float, float], ...]:
    """Return per second: its number, p99 in ms, share of whole answers."""
    seconds = collections.defaultdict(list)
    for row in rows:
        seconds[int(row.start_s)].append(row)
    return tuple(
        (
            second,
            quantile(sorted(row.latency_ms for row in in_second), 0.99),
            sum(row.coverage >= 1.0 for row in in_second) / len(in_second),
        )
        for second, in_second in sorted(seconds.items())
    )


def quantile(ordered: typing.Sequence[float], fraction: float) -> float:
    """Return the quantile (0 to 1) of an ordered sequence."""
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
