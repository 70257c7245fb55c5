"""Measures the dispatcher's CPU time per sub-query, without sockets or HTTP.

Run as ``python -m benchmarks.dispatch_cost``.  Queries of 17 sub-queries
for one target come from eight services at three sites.  The link to the
target is a stub that answers at once, so only the dispatcher's decisions and
its tasks are measured.  Prints each round's figure and the median.
"""

import asyncio
import statistics
import time

import click
import msgspec
from returns import result

from samphiredock import coordination
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers

_SITES = ('bole-a', 'kirkos-b', 'yeka-c')
_SERVICES = 8


class _StubPeers:
    def __init__(self) -> None:
        self.handlers: dict[type, list] = {}
        self.answers = 0

    def subscribe(self, kind: type, handler: object) -> None:
        self.handlers.setdefault(kind, []).append(handler)

    def send(self, member: str, message: msgspec.Struct) -> bool:
        if isinstance(message, protocol.SubAnswerBatch):
            self.answers += len(message.answers)
        return True

    def deliver(self, message: msgspec.Struct) -> None:
        for handler in self.handlers[type(message)]:
            handler('peer', message)


class _StubLink:
    def __init__(self, target: state.Target) -> None:
        self._target = target

    async def batch(
        self, body: protocol.TargetBatch, timeout_ms: float
    ) -> result.Result:
        await asyncio.sleep(0)
        answers = [
            protocol.TargetAnswer(
                item.attempt_id, protocol.TargetStatus.OK, item.snapshot_id
            )
            for item in body.items
        ]
        return result.Success(protocol.TargetBatchAnswer(answers))

    async def close(self) -> None:
        pass


def _configuration() -> state.Configuration:
    target = state.Target('t', _SITES[0], 'http://t', 2, 25, 0)
    sites = {
        name: state.Site(name, 'r', 1.0 / len(_SITES), 0.9, {})
        for name in _SITES
    }
    services = {
        f's{number}': state.Service(f's{number}', {}, {}, 1.0, 100)
        for number in range(_SERVICES)
    }
    limits = state.Limits(queue_per_target=1_000)
    return state.Configuration(
        1, services, sites, ('i',), {'t': target}, limits
    )


def _query(number: int, items: int) -> protocol.SubQueryBatch:
    return protocol.SubQueryBatch(
        f'q{number}',
        f's{number % _SERVICES}',
        _SITES[number % len(_SITES)],
        'interactive',
        'search',
        {'name': 'a'},
        50,
        'fingerprint',
        5_000.0,
        [
            protocol.SubQuery(f'{number}.{row}', 'i', 1, 1, f's{row}', 't')
            for row in range(items)
        ],
    )


async def _round_us(queries: int, items: int) -> float:
    """Return the CPU time per sub-query in microseconds."""
    clock = timers.LoopTimers()
    counters = metrics.Metrics('bench')
    peers = _StubPeers()
    dispatcher = coordination.Dispatcher(peers, clock, counters, _StubLink)
    dispatcher.configure(_configuration())
    messages = [_query(number, items) for number in range(queries)]
    started = time.process_time()
    for message in messages:
        peers.deliver(message)
        while peers.answers < items * (int(message.query_id[1:]) - 8):
            await asyncio.sleep(0)
    while peers.answers < queries * items:
        await asyncio.sleep(0)
    used = time.process_time() - started
    await dispatcher.close()
    clock.close()
    counters.close()
    return used * 1e6 / (queries * items)


@click.command()
@click.option('--queries', default=2_000)
@click.option('--items', default=17)
@click.option('--rounds', default=5)
def main(queries: int, items: int, rounds: int) -> None:
    """Print the CPU microseconds per sub-query, per round and as median."""
    costs = [asyncio.run(_round_us(queries, items)) for _ in range(rounds)]
    print('us per sub-query:', ' '.join(f'{cost:.1f}' for cost in costs))
    print(f'median {statistics.median(costs):.1f}, items {items}')


if __name__ == '__main__':
    main()
