"""Searches sent at times drawn from a seed, and what came back."""

import asyncio
import collections
import dataclasses
import random
import typing

import aiohttp

from standins import cluster

_CALL_TIMEOUT_S = 10.0
_HOUSEHOLDS = 97


@dataclasses.dataclass(frozen=True)
class Load:
    """What to send, and how the targets behave."""

    rate_per_s: float
    seconds: float
    seed: int
    service_ms: float = 4.0
    straggler: float = 0.01
    slow_target_ms: float = 0.0
    distinct: int = _HOUSEHOLDS
    deadline_ms: int = 800


@dataclasses.dataclass(frozen=True)
class Row:
    """One search: its intended start, and what came of it."""

    start_s: float
    latency_ms: float
    outcome: str
    coverage: float


async def offer(
    live: typing.Callable[[], list[cluster.DaemonPlace]],
    load: Load,
    extra_ms: float = 0.0,
) -> list[Row]:
    """Send at times drawn from the seed, whatever comes back when.

    ``live`` lists the daemons to choose from at each moment.
    ``extra_ms`` is added to each latency: the way to the client and back.
    """
    rng = random.Random(load.seed)
    loop = asyncio.get_running_loop()
    begin = loop.time() + 0.1
    at_s = 0.0
    tasks = []
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        while True:
            at_s += rng.expovariate(load.rate_per_s)
            if at_s >= load.seconds:
                break
            await asyncio.sleep(max(0.0, begin + at_s - loop.time()))
            url = rng.choice(live()).caller_url
            household = f'household-{rng.randrange(load.distinct)}'
            tasks.append(
                asyncio.create_task(
                    _ask(session, url, household, begin + at_s, at_s, load)
                )
            )
        rows = await asyncio.gather(*tasks)
    return [
        dataclasses.replace(row, latency_ms=row.latency_ms + extra_ms)
        for row in rows
    ]


async def _ask(
    session: aiohttp.ClientSession,
    url: str,
    household: str,
    intended: float,
    at_s: float,
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
    return Row(at_s, took_ms, kind, row.get('coverage', 0.0))


def timeline(
    rows: typing.Iterable[Row],
) -> tuple[tuple[float, float, float], ...]:
    """Return second, p99 in ms and the part answered whole, by second."""
    seconds = collections.defaultdict(list)
    for row in rows:
        seconds[int(row.start_s)].append(row)
    return tuple(
        (
            second,
            quantile(sorted(row.latency_ms for row in held), 0.99),
            sum(row.coverage >= 1.0 for row in held) / len(held),
        )
        for second, held in sorted(seconds.items())
    )


def quantile(ordered: typing.Sequence[float], part: float) -> float:
    """Return the value at a part (0 to 1) of an ordered sequence."""
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]
