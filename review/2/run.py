"""One entry of another writer ends the daemons' view of all servers.

The entry has a field of another type: lists in lists, deeper than a decoder
follows.  Then a server is emptied and leaves.
"""

import asyncio
import collections
import pathlib
import sys
import typing

from review import deployment

ZONES = ('sal-a', 'sal-b', 'sal-c')
DAEMONS = {
    'edge-1': 'sal-a', 'edge-2': 'sal-a', 'edge-3': 'sal-a',
    'edge-4': 'sal-b', 'edge-5': 'sal-b', 'edge-6': 'sal-b',
    'edge-7': 'sal-c', 'edge-8': 'sal-c',
}  # fmt: skip
SERVICE = 'desk'
WORK_MS = 108.0
CALM_S = 6.0
PER_S = 25.0
TIMEOUT_MS = 4_000
DEPTH = 2_000
ENTRY_AFTER_S = 2.0
DRAIN_AFTER_S = 5.0
EXITS_LATER_S = 4.0
TRAFFIC_S = 18.0
# The stand-in of the store encodes the entry by recursion.
RECURSION_LIMIT = 20_000
ROUTE = {
    'Name': 'deals',
    'Host': deployment.HOST,
    'PathPrefix': '/deals/',
    'Kind': 'non_idempotent',
    'TimeoutMs': TIMEOUT_MS,
    'TargetLatencyMs': 458,
    'Priority': 2,
    'Service': SERVICE,
    'MaxAttempts': 2,
}


async def judge(system: deployment.Deployment) -> bool:
    """Play the case; return whether the rule was broken."""
    late, statuses = await play(system)
    for run in late:
        system.record.add('too late', id=run.request_id, server=run.server_id)
    print(
        f'{len(late)} requests reached the leaving server too late; '
        f'answers {dict(collections.Counter(statuses))}'
    )
    return bool(late)


async def play(
    system: deployment.Deployment,
) -> tuple[list[deployment.Run], list[int]]:
    """Play the case; return the late arrivals and all statuses."""
    for zone in ZONES:
        for number in (1, 2):
            await system.add_server(
                deployment.Server(
                    system.record,
                    f'i-{zone}-{number}',
                    SERVICE,
                    zone,
                    work_ms=lambda: WORK_MS,
                )
            )
    system.configure(1, [ROUTE])
    for name, zone in DAEMONS.items():
        system.prepare(name, zone)
    await system.start(DAEMONS)
    await asyncio.sleep(CALM_S)

    traffic = asyncio.create_task(send_requests(system))
    await asyncio.sleep(ENTRY_AFTER_S)
    if deployment.is_troubled():
        write_foreign_entry(system)
    await asyncio.sleep(DRAIN_AFTER_S)
    leaving = system.servers['i-sal-a-1']
    leaving.state = 'draining'
    system.beat(leaving)
    acknowledged_ms = system.record.add('draining', server=leaving.server_id)
    await asyncio.sleep(deployment.DRAIN_MS / 1_000.0 + EXITS_LATER_S)
    leaving.state = 'gone'
    system.store.remove('servers', leaving.server_id)
    await leaving.stop()
    system.record.add('left', server=leaving.server_id)
    statuses = await traffic
    limit_ms = acknowledged_ms + deployment.DRAIN_MS
    late = [run for run in leaving.arrivals if run.at_ms > limit_ms]
    return late, statuses


def write_foreign_entry(system: deployment.Deployment) -> None:
    """Write an entry as another writer may leave it."""
    sys.setrecursionlimit(RECURSION_LIMIT)
    version: list[typing.Any] = []
    for _ in range(DEPTH):
        version = [version]
    entry = {'Service': SERVICE, 'State': 'ready', 'Version': version}
    system.store.put('servers', 'other', entry)
    system.record.add('disruption', entry='servers/other', depth=DEPTH)


async def send_requests(system: deployment.Deployment) -> list[int]:
    """Send requests to all daemons in turn; return their statuses."""
    names = list(DAEMONS)
    tasks = []
    for number in range(int(TRAFFIC_S * PER_S)):
        tasks.append(
            asyncio.create_task(
                system.ask(
                    names[number % len(names)],
                    'POST',
                    f'/deals/{number}',
                    f'r{number}',
                    TIMEOUT_MS,
                    b'{"deal": 1}',
                )
            )
        )
        await asyncio.sleep(1.0 / PER_S)
    answers = await asyncio.gather(*tasks)
    return [answer.status for answer in answers]


if __name__ == '__main__':
    deployment.run(judge, pathlib.Path(__file__).resolve().parent)
