"""One entry of another writer stops every daemon for a long time.

The entry is of the kind ``servers``, has no ``status``, and its value can't be
read: it consists of backslashes and quotes.  The daemons, the servers, the
store and the network are sound.
"""

import asyncio
import pathlib
import random
import sys

import aiohttp

from review import entry_system

SEED = 5
SERVICE = 'caseclerk'
ZONES = (entry_system.FIRST_ZONE, entry_system.SECOND_ZONE, 'yeka-c')
SLOTS = 4
WORK_MS = 90.0
WORK_SPREAD = 0.5
DEADLINE_MS = 2_000
TIMEOUT_MS = 2_000.0
LATE_MS = 500.0
LEAST_LATE = 8
REQUESTS_PER_S = 10.0
USUAL_S = 5.0
MEASURED_S = 10.0
FOREIGN_NAME = 'another'
FOREIGN_VALUE = b'\\"' * 32_768
TOKEN = 'raw value 0'
"""Stands for the value in the row until the store writes it."""

RECORD = pathlib.Path(__file__).with_name('record.txt')


class Case:
    """Sends requests before and after the entry comes."""

    def __init__(self, system: entry_system.EntrySystem) -> None:
        self.system = system
        self.rng = random.Random(SEED)
        self.rows: list[str] = []
        self.unanswered = 0
        self.late = 0

    async def set_up(self) -> None:
        """Start the servers and a daemon in each zone."""
        work_s = entry_system.spread(self.rng, WORK_MS, WORK_SPREAD)
        for number, zone in enumerate(ZONES):
            await self.system.add_server(
                f'server-{number}', SERVICE, zone, work_s, slots=SLOTS
            )
        route = {
            'Name': 'fetch', 'Host': entry_system.HOST, 'Service': SERVICE,
            'PathPrefix': '/fetch/', 'Kind': 'idempotent', 'MaxAttempts': 2,
            'TimeoutMs': TIMEOUT_MS, 'TargetLatencyMs': 544,
        }  # fmt: skip
        service = {'Name': SERVICE, 'HealthPath': '/healthz', 'MaxConns': 110}
        configuration = {
            'Version': 1, 'Routes': [route], 'Services': [service],
        }  # fmt: skip
        self.system.store.put('config', 'main', configuration)
        await asyncio.gather(
            *(self.system.start_daemon(zone, site=zone) for zone in ZONES)
        )

    async def fetch(self, request_id: str) -> None:
        """Send one request, and look whether it is answered in time."""
        loop = asyncio.get_running_loop()
        daemon = self.rng.choice(ZONES)
        sent_s = loop.time()
        status = 0
        limit_s = (TIMEOUT_MS + 2.0 * LATE_MS) / 1000.0
        try:
            async with asyncio.timeout(limit_s):
                status, _, _ = await self.system.ask(
                    daemon, '/fetch/x', request_id, deadline_ms=DEADLINE_MS
                )
        except (TimeoutError, aiohttp.ClientError):
            status = 0
        took_ms = (loop.time() - sent_s) * 1000.0
        self.unanswered += took_ms > TIMEOUT_MS
        self.late += took_ms > TIMEOUT_MS + LATE_MS
        what = status or 'no answer'
        self.rows.append(f'{request_id} at {daemon}: {what}, {took_ms:.0f} ms')

    async def press(self, name: str, for_s: float) -> None:
        """Send requests for some time."""
        async with asyncio.TaskGroup() as requests:
            for number in range(round(for_s * REQUESTS_PER_S)):
                requests.create_task(self.fetch(f'{name}-{number}'))
                await asyncio.sleep(1.0 / REQUESTS_PER_S)

    async def run(self) -> None:
        """Press before and after the entry is written."""
        await self.press('before', USUAL_S)
        if entry_system.has_trouble():
            store = self.system.store
            store.put_raw('values', FOREIGN_NAME, FOREIGN_VALUE)
            meta = {'Name': FOREIGN_NAME, 'Revision': 1}
            store.put_row(
                'servers', FOREIGN_NAME, {'meta': meta, 'spec': TOKEN}
            )
            self.rows.append(f'entry of {len(FOREIGN_VALUE)} bytes written')
        await self.press('after', MEASURED_S)

    def is_broken(self) -> bool:
        """Whether too many had no answer half a second after the time-out."""
        return self.late >= LEAST_LATE and self.late > self.unanswered / 2.0

    def summary(self) -> list[str]:
        """Return how many requests had no answer."""
        return [
            f'{self.unanswered} unanswered at TimeoutMs, {self.late} of them '
            f'half a second later'
        ]


if __name__ == '__main__':
    sys.exit(entry_system.play(Case, RECORD))
