"""A second copy of a rejection lets a request run twice, or after a refusal.

The servers of a service are full and reject requests, which the daemon sends
to the same server again.  Some servers send a second answer late.
"""

import asyncio
import collections
import itertools
import pathlib
import random
import typing

from review import deployment

ZONES = ('sal-a', 'sal-b')
DAEMONS = {
    'edge-1': 'sal-a', 'edge-2': 'sal-a', 'edge-3': 'sal-a',
    'edge-4': 'sal-b', 'edge-5': 'sal-b', 'edge-6': 'sal-b',
    'edge-7': 'sal-c', 'edge-8': 'sal-c',
}  # fmt: skip
SERVICES = ('desk-1', 'desk-2')
SLOTS = 2
QUEUE = 4
MAX_CONNS = 26
WORK_MS = 30.0
CALM_S = 5.0
USUAL_PER_S = 75.0
BURST_TIMES = 1.8
TIMEOUT_MS = 4_000
NOT_RUN_STATUSES = (408, 421, 429, 503)
GARBLED_SERVICE = 'desk-1'
GARBLED_SHARE = 0.04
GARBLED_S = 5.0
BURST_S = 3.5
PAUSE_S = 3.0
WINDOWS = 11
ROUTES: list[dict[str, object]] = [
    {
        'Name': service,
        'Host': deployment.HOST,
        'PathPrefix': f'/{service}/',
        'Kind': 'non_idempotent',
        'TimeoutMs': TIMEOUT_MS,
        'TargetLatencyMs': 458,
        'Priority': 2,
        'Service': service,
        'MaxAttempts': 2,
    }
    for service in SERVICES
]


class GarblingServer(deployment.Server):
    """A server that answers some requests twice.

    The second answer, which is the same as the first, comes late: where the
    next answer is expected on the connection.
    """

    def __init__(self, *args: typing.Any, **options: typing.Any) -> None:
        super().__init__(*args, **options)
        self.garbled_share = 0.0
        self._rng = random.Random(self.server_id)

    def write(
        self,
        connection: deployment.ServerConnection,
        request_id: str,
        status: int,
        headers: typing.Mapping[str, str],
        body: bytes = b'',
    ) -> None:
        """Write an answer, and keep some to be written once more."""
        super().write(connection, request_id, status, headers, body)
        if self._rng.random() < self.garbled_share:
            self.record.add(
                'answers twice',
                id=request_id,
                server=self.server_id,
                status=status,
            )
            connection.repeat_last()


async def judge(system: deployment.Deployment) -> bool:
    """Play the case; return whether a rule was broken."""
    statuses = await play(system)
    runs = system.runs_by_request()
    twice = [name for name, count in runs.items() if count > 1]
    refused = [
        name
        for name, status in statuses.items()
        if status in NOT_RUN_STATUSES and runs[name]
    ]
    for name in twice:
        system.record.add('ran twice', id=name, status=statuses[name])
    for name in refused:
        system.record.add('refused and ran', id=name, status=statuses[name])
    print(
        f'{len(statuses)} requests '
        f'{dict(collections.Counter(statuses.values()))}, '
        f'{len(twice)} ran twice, {len(refused)} were refused and ran'
    )
    return bool(twice or refused)


async def play(system: deployment.Deployment) -> dict[str, int]:
    """Play the case; return the status of each request."""
    rng = random.Random(1)
    for service, zone in itertools.product(SERVICES, ZONES):
        await system.add_server(
            GarblingServer(
                system.record,
                f'i-{service}-{zone}',
                service,
                zone,
                SLOTS,
                QUEUE,
                MAX_CONNS,
                lambda: rng.uniform(0.5, 1.5) * WORK_MS,
            )
        )
    system.configure(1, ROUTES, MAX_CONNS)
    for name, zone in DAEMONS.items():
        system.prepare(name, zone)
    await system.start(DAEMONS)
    await asyncio.sleep(CALM_S)
    statuses: dict[str, int] = {}
    for number in range(WINDOWS):
        garbling = asyncio.create_task(garble(system))
        usual = (GARBLED_S - BURST_S) / 2.0
        for prefix, for_s, times in (
            ('before', usual, 1.0),
            ('burst', BURST_S, BURST_TIMES),
            ('after', usual + PAUSE_S, 1.0),
        ):
            await send_requests(
                system,
                f'{prefix}-{number}-',
                for_s,
                USUAL_PER_S * times,
                statuses,
            )
        await garbling
    await asyncio.sleep(TIMEOUT_MS / 1_000.0)
    return statuses


async def garble(system: deployment.Deployment) -> None:
    """Let one server answer a share of its requests twice for some time."""
    if not deployment.is_troubled():
        return
    system.record.add('disruption', service=GARBLED_SERVICE)
    garbled = [
        server
        for server in system.servers.values()
        if isinstance(server, GarblingServer)
        and server.service == GARBLED_SERVICE
    ]
    for server in garbled:
        server.garbled_share = GARBLED_SHARE
    await asyncio.sleep(GARBLED_S)
    for server in garbled:
        server.garbled_share = 0.0
    system.record.add('disruption ends')


async def send_requests(
    system: deployment.Deployment,
    prefix: str,
    for_s: float,
    per_s: float,
    statuses: dict[str, int],
) -> None:
    """Send requests to all daemons in turn; add their statuses."""
    names = list(DAEMONS)

    async def ask(number: int) -> None:
        request_id = f'{prefix}{number}'
        got = await system.ask(
            names[number % len(names)],
            'POST',
            f'/{GARBLED_SERVICE}/{request_id}',
            request_id,
            TIMEOUT_MS,
            b'{"deal": 1}',
        )
        statuses[request_id] = got.status

    loop = asyncio.get_running_loop()
    began_s = loop.time()
    tasks = []
    for number in range(int(for_s * per_s)):
        tasks.append(asyncio.create_task(ask(number)))
        due_s = began_s + (number + 1) / per_s
        await asyncio.sleep(max(0.0, due_s - loop.time()))
    await asyncio.gather(*tasks)


if __name__ == '__main__':
    deployment.run(judge, pathlib.Path(__file__).resolve().parent)
