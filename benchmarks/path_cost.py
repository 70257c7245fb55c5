"""Measures the CPU time of sending sub-queries: peer messages and HTTP.

``message`` sends the batches of a query to 12 dispatchers, each of which
answers its batch.  The 13 peer hubs run in this process over loopback, so
the cost includes both ends.  ``http`` sends a batch to a target and reads
its answer; the target runs in another process, whose time is not counted.
Both run with one and with four queries or batches in flight, for several
numbers of items, with one record per answer.  A least-squares line is fitted
to the cost of a batch.
"""

import asyncio
import functools
import json
import pathlib
import statistics
import time
import typing

from aiohttp import web
import click
import msgspec

from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import transport
from standins import cluster

_ITEM_COUNTS = (1, 2, 4, 5, 8, 17)
_ROUNDS = 5
_DISPATCHERS = 12
_QUERIES = 100
_BATCHES = 300
_IN_FLIGHT = 4
_RECORD = protocol.Record(
    'claims-000001', 0.5, {'claimant': 'household-1', 'kebele': 'bole'}
)
_RANGE = protocol.KeyRange(0, 78_090_314)


def _sub_queries(items: int) -> protocol.SubQueryBatch:
    rows = [
        protocol.SubQuery(
            f'entry-1-{row}', 'claims', 7, 7, f's{row}', f'server-{row}'
        )
        for row in range(items)
    ]
    return protocol.SubQueryBatch(
        'entry-1-q',
        'field-claims',
        'bole-a',
        'interactive',
        'claimant-history',
        {'claimant': 'household-1'},
        50,
        '0123456789abcdef',
        150.0,
        rows,
    )


def _sub_answers(items: int) -> protocol.SubAnswerBatch:
    rows = [
        protocol.SubAnswer(
            f'entry-1-{row}',
            f'server-{row}',
            protocol.SubStatus.ANSWERED,
            7,
            [_RANGE],
            records=[_RECORD],
        )
        for row in range(items)
    ]
    return protocol.SubAnswerBatch('entry-1-q', rows)


def _hub(name: str, port: int) -> transport.PeerHub:
    kinds = (protocol.SubQueryBatch, protocol.SubAnswerBatch)
    return transport.PeerHub(
        name,
        f'tcp://127.0.0.1:{port}',
        protocol.Codec(kinds),
        metrics.Metrics(name),
    )


async def _message_us(items: int, in_flight: int) -> float:
    """Return the microseconds of both ends per batch and its answer."""
    ports = cluster.free_ports(_DISPATCHERS + 1)
    coordinator = _hub('a', ports[0])
    answer = _sub_answers(items)
    dispatchers = {}
    for number, port in enumerate(ports[1:]):
        name = f'b{number}'
        dispatchers[name] = _hub(name, port)
        coordinator.set_address(name, f'tcp://127.0.0.1:{port}')
        dispatchers[name].set_address('a', f'tcp://127.0.0.1:{ports[0]}')
        send = dispatchers[name].send
        dispatchers[name].subscribe(
            protocol.SubQueryBatch, lambda to, _, send=send: send(to, answer)
        )
    received = asyncio.Queue()
    coordinator.subscribe(
        protocol.SubAnswerBatch,
        lambda _, message: received.put_nowait(message),
    )
    query = _sub_queries(items)

    async def queries(count: int) -> None:
        pending = 0
        for _ in range(count):
            for name in dispatchers:
                coordinator.send(name, query)
            pending += _DISPATCHERS
            while pending > (in_flight - 1) * _DISPATCHERS:
                await received.get()
                pending -= 1
        for _ in range(pending):
            await received.get()

    await queries(1)
    began = time.process_time()
    await queries(_QUERIES)
    used = time.process_time() - began
    for hub in (coordinator, *dispatchers.values()):
        hub.close()
    return used * 1e6 / _QUERIES / _DISPATCHERS


def _target_batch(items: int) -> protocol.TargetBatch:
    return protocol.TargetBatch(
        [
            protocol.TargetQuery(
                f'entry-1-{row}',
                'field-claims',
                'claimant-history',
                {'claimant': 'household-1'},
                50,
                'claims',
                7,
                7,
                's1',
                150,
                '0123456789abcdef',
            )
            for row in range(items)
        ]
    )


async def _answer_batch(request: web.Request) -> web.Response:
    body = msgspec.json.decode(await request.read(), type=protocol.TargetBatch)
    rows = [
        protocol.TargetAnswer(
            row.attempt_id,
            protocol.TargetStatus.OK,
            7,
            [_RANGE],
            records=[_RECORD],
            fingerprint=row.fingerprint,
        )
        for row in body.items
    ]
    content = msgspec.json.encode(protocol.TargetBatchAnswer(rows))
    return web.Response(body=content, content_type='application/json')


async def _ready(request: web.Request) -> web.Response:
    return web.Response()


async def _serve(port: int) -> None:
    application = web.Application()
    application.router.add_post('/batch', _answer_batch)
    application.router.add_get('/health', _ready)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', port).start()
    await asyncio.Event().wait()


async def _http_us(url: str, items: int, in_flight: int) -> float:
    """Return the microseconds of the sending end per batch."""
    target = state.Target('server-1', 'bole-a', url, 2, 25, 6)
    link = transport.HttpTargetLink(target)
    body = _target_batch(items)
    (await link.batch(body, 1_000.0)).unwrap()
    began = time.process_time()
    for _ in range(_BATCHES // in_flight):
        asked = [link.batch(body, 1_000.0) for _ in range(in_flight)]
        for reply in await asyncio.gather(*asked):
            reply.unwrap()
    used = time.process_time() - began
    await link.close()
    return used * 1e6 / _BATCHES


async def _cost_rows(
    cost: typing.Callable[[int], typing.Awaitable[float]],
) -> dict[str, typing.Any]:
    points = []
    for items in _ITEM_COUNTS:
        runs = [await cost(items) for _ in range(_ROUNDS)]
        median = statistics.median(runs)
        points.append(
            {
                'items': items,
                'us_a_batch': round(median, 1),
                'us_an_item': round(median / items, 1),
                'spread_us': round(max(runs) - min(runs), 1),
            }
        )
    xs = [row['items'] for row in points]
    ys = [row['us_a_batch'] for row in points]
    line = statistics.linear_regression(xs, ys)
    residual = max(
        abs(y - line.intercept - line.slope * x) for x, y in zip(xs, ys)
    )
    fit = {
        'intercept_us': round(line.intercept, 1),
        'slope_us': round(line.slope, 2),
        'largest_residual_us': round(residual, 1),
    }
    return {'points': points, 'fit': fit}


async def _measure() -> dict[str, typing.Any]:
    async with cluster.Cluster() as system:
        (port,) = cluster.free_ports(1)
        system.spawn('target', 'benchmarks.path_cost', '--serve', str(port))
        url = f'http://127.0.0.1:{port}'
        await system.wait_for(f'{url}/health')
        return {
            f'{name}, {in_flight} in flight': await _cost_rows(
                functools.partial(cost, in_flight=in_flight)
            )
            for in_flight in (1, _IN_FLIGHT)
            for name, cost in (
                ('message', _message_us),
                ('http', functools.partial(_http_us, url)),
            )
        }


@click.command()
@click.option('--serve', default=0, help='Run as the target on this port.')
@click.option('--json', 'json_path', type=click.Path(path_type=pathlib.Path))
def main(serve: int, json_path: pathlib.Path | None) -> None:
    """Measure and print the figures as JSON."""
    if serve:
        asyncio.run(_serve(serve))
        return
    content = json.dumps(asyncio.run(_measure()), indent=1)
    print(content)
    if json_path is not None:
        json_path.write_text(content, encoding='utf-8')


if __name__ == '__main__':
    main()
