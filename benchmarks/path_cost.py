"""Processor time of what carries sub-queries: messages and HTTP batches.

``message``: a query's batches go to 12 dispatchers, each reads its own and
answers it; the 13 peer hubs are in this process, over loopback, so that the
cost is of both ends.  ``http``: a batch sent to a target and its answer
read; the target is another process, whose time is not counted.  Each with
one and with four queries or batches in flight, for several numbers of
items, with one record in an answer, and the least-squares line of a
batch's cost.
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

_ITEMS = (1, 2, 4, 5, 8, 17)
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
    """Return microseconds of both ends for a batch and its answers."""
    ports = cluster.free_ports(_DISPATCHERS + 1)
    first = _hub('a', ports[0])
    answer = _sub_answers(items)
    others = {}
    for number, port in enumerate(ports[1:]):
        name = f'b{number}'
        others[name] = _hub(name, port)
        first.set_address(name, f'tcp://127.0.0.1:{port}')
        others[name].set_address('a', f'tcp://127.0.0.1:{ports[0]}')
        send = others[name].send
        others[name].subscribe(
            protocol.SubQueryBatch, lambda to, _, send=send: send(to, answer)
        )
    came = asyncio.Queue()
    first.subscribe(
        protocol.SubAnswerBatch, lambda _, message: came.put_nowait(message)
    )
    question = _sub_queries(items)

    async def queries(count: int) -> None:
        out = 0
        for _ in range(count):
            for name in others:
                first.send(name, question)
            out += _DISPATCHERS
            while out > (in_flight - 1) * _DISPATCHERS:
                await came.get()
                out -= 1
        for _ in range(out):
            await came.get()

    await queries(1)
    began = time.process_time()
    await queries(_QUERIES)
    used = time.process_time() - began
    for hub in (first, *others.values()):
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
    """Return microseconds of this end for one batch."""
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


async def _rows(
    cost: typing.Callable[[int], typing.Awaitable[float]],
) -> dict[str, typing.Any]:
    points = []
    for items in _ITEMS:
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
            f'{name}, {in_flight} in flight': await _rows(
                functools.partial(cost, in_flight=in_flight)
            )
            for in_flight in (1, _IN_FLIGHT)
            for name, cost in (
                ('message', _message_us),
                ('http', functools.partial(_http_us, url)),
            )
        }


@click.command()
@click.option('--serve', default=0, help='Be the target on this port.')
@click.option('--json', 'json_path', type=click.Path(path_type=pathlib.Path))
def main(serve: int, json_path: pathlib.Path | None) -> None:
    """Measure and print as JSON."""
    if serve:
        asyncio.run(_serve(serve))
        return
    content = json.dumps(asyncio.run(_measure()), indent=1)
    print(content)
    if json_path is not None:
        json_path.write_text(content, encoding='utf-8')


if __name__ == '__main__':
    main()
