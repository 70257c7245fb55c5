"""A search whose late parts come through another daemon, one by one.

The servers of some shards turn slow for a moment, again and again.  The
daemon of the first zone has ordered their parts from the daemon of the second
one, and hedges the late ones directly.  Each answer is compared with the
records of the parts that it names.
"""

import asyncio
import itertools
import pathlib
import random
import sys
import typing

from review import entry_system
from review import shard_server

SEED = 6
SHARDS = tuple(f'shard-{number}' for number in range(8))
SERVERS_OF_A_SHARD = 3
DESK = 'desk'
DESK_SERVERS = 12
TOP = 1
LEAST_SHARE = 0.89
AIM_MS = 400
DEADLINE_MS = 1_500
WORK_MS = 40.0
WORK_SPREAD = 0.03
SLOW_SHARDS = 3
LEAST_FACTOR = 2.0
MOST_FACTOR = 9.0
SLOW_S = 0.5
REST_S = 1.4
PRESS_S = 92.0
SLOW_PER_S = 60.0
CALM_PER_S = 45.0
START_LIMIT_S = 30.0
RECORD = pathlib.Path(__file__).with_name('record.txt')


class Case:
    """Sends searches and compares their answers with the parts named."""

    def __init__(self, system: entry_system.EntrySystem) -> None:
        self.system = system
        self.rng = random.Random(SEED)
        self.rows: list[str] = []
        self.wrong = 0
        self.served = 0
        self.sent = 0
        self._work_s = entry_system.spread(self.rng, WORK_MS, WORK_SPREAD)

    async def set_up(self) -> None:
        """Start the servers and a daemon in each zone."""
        work_s = self._work_s
        for number in range(DESK_SERVERS):
            await self.system.add_server(
                f'{DESK}-{number}', DESK, entry_system.FIRST_ZONE, work_s
            )
        for shard in SHARDS:
            for copy in range(SERVERS_OF_A_SHARD):
                await self.system.add_server(
                    f'{shard}-{copy}',
                    shard,
                    entry_system.SECOND_ZONE,
                    work_s,
                )
        route = {
            'Name': 'search', 'Host': entry_system.HOST,
            'PathPrefix': '/search/', 'Gather': SHARDS, 'Kind': 'idempotent',
            'MaxAttempts': 2, 'TimeoutMs': 2 * DEADLINE_MS,
            'TargetLatencyMs': AIM_MS, 'TopK': TOP,
            'MinVersion': LEAST_SHARE,
        }  # fmt: skip
        services = [
            {'Name': name, 'HealthPath': '/healthz', 'MaxConns': 26}
            for name in (*SHARDS, DESK)
        ]
        configuration = {
            'Version': 1, 'Routes': [route], 'Services': services,
        }  # fmt: skip
        self.system.store.put('config', 'main', configuration)
        await asyncio.gather(
            self.system.start_daemon('here', site=entry_system.FIRST_ZONE),
            self.system.start_daemon('there', site=entry_system.SECOND_ZONE),
        )
        await self.system.wait_share('here')

    async def wait_for_orders(self) -> None:
        """Search until the daemon of the second zone gets orders."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + START_LIMIT_S
        for number in itertools.count():
            if loop.time() > ends_s:
                raise TimeoutError('no order was sent')
            await self.search(f'before-{number}')
            if await self.system.counter('there', 'order_items'):
                return
            await asyncio.sleep(0.1)

    async def search(self, request_id: str) -> None:
        """Send one search and check its answer."""
        self.sent += 1
        status, headers, body = await self.system.ask(
            'here', '/search/x', request_id, deadline_ms=DEADLINE_MS
        )
        self.rows.append(f'{request_id} {status} {len(body)} bytes')
        if status != 200:
            return
        self.served += 1
        receipts = headers['Part-Stamps'].split(', ')
        expected = greatest(receipts)
        if body != expected:
            self.wrong += 1
            self.rows.append(
                f'WRONG {request_id}: got {body.hex()}, expected '
                f'{expected.hex()}, of the parts {", ".join(receipts)}'
            )

    async def press(self, name: str, for_s: float, per_s: float) -> None:
        """Send searches for some time."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + for_s
        async with asyncio.TaskGroup() as searches:
            for number in itertools.count():
                if loop.time() > ends_s:
                    break
                searches.create_task(self.search(f'{name}-{number}'))
                await asyncio.sleep(self.rng.expovariate(per_s))

    def set_slow(self) -> None:
        """Turn the servers of some shards slow."""
        shards = self.rng.sample(SHARDS, SLOW_SHARDS)
        self.rows.append(f'slow: {", ".join(shards)}')
        for server in self.system.servers.values():
            if server.service in shards:
                server.work_s = self._slow_work_s

    def _slow_work_s(self) -> float:
        return self._work_s() * self.rng.uniform(LEAST_FACTOR, MOST_FACTOR)

    def end_slow(self) -> None:
        """Let every server work at its usual speed."""
        for server in self.system.servers.values():
            server.work_s = self._work_s

    async def run(self) -> None:
        """Press through all rounds."""
        await self.wait_for_orders()
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + PRESS_S
        for number in itertools.count():
            if loop.time() > ends_s:
                break
            if entry_system.has_trouble():
                self.set_slow()
            await self.press(f'slow-{number}', SLOW_S, SLOW_PER_S)
            self.end_slow()
            await self.press(f'calm-{number}', REST_S, CALM_PER_S)

    def is_broken(self) -> bool:
        """Whether an answer had another body than its parts give."""
        return self.wrong > 0

    def summary(self) -> list[str]:
        """Return how many answers were wrong."""
        return [
            f'{self.sent} searches, {self.served} served, '
            f'{self.wrong} with a wrong body'
        ]


def greatest(receipts: typing.Iterable[str]) -> bytes:
    """Return the greatest records of some parts, falling."""
    records = [
        record
        for receipt in receipts
        for record in shard_server.records_of(receipt)
    ]
    return b''.join(sorted(records, reverse=True)[:TOP])


if __name__ == '__main__':
    sys.exit(entry_system.play(Case, RECORD))
