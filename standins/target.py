"""A small stand-in of a target, with fault switches.

Run as ``python -m standins.target --name t1 --port 7400 --store URL``.
``--name`` and ``--port`` may be given several times: one process then plays
several targets.  Faults are switched by ``POST /control/faults`` with the
fields of :class:`Faults`.
"""

import asyncio
import dataclasses
import os
import random
import signal
import time

import aiohttp
from aiohttp import web
import click
import msgspec

from samphiredock import protocol
from samphiredock import state
from standins import data

_KEPT_SNAPSHOTS = 2
_WATCH_MS = 5_000


class Faults(msgspec.Struct):
    """What this target does wrong.

    ``service_ms`` is the median of a log-normal service time of an item,
    ``straggler`` the part of items that take ten times as long.
    """

    service_ms: float = 0.0
    sigma: float = 0.3
    straggler: float = 0.0
    hang: bool = False
    draining: bool = False
    lie_healthy: bool = False
    cold: bool = False
    cold_answers_empty: bool = False
    truncate: bool = False
    cross_answers: bool = False
    shed: bool = False
    wrong_snapshot: bool = False
    poison_term: str = ''
    swallow_answers: int = 0


class Execution(msgspec.Struct):
    """One item or unrepeatable request that this target began to run."""

    kind: str
    attempt_id: str
    idempotency_key: str
    service: str
    started_ms: float
    connection: int
    ended_ms: float = 0.0


class Stats(msgspec.Struct):
    """Counts of what this target was asked and what broke its limits."""

    items: int = 0
    batches: int = 0
    runs: int = 0
    slot_breaches: int = 0
    connection_breaches: int = 0
    peak_running: int = 0
    peak_connections: int = 0
    shed: int = 0
    running: int = 0


@dataclasses.dataclass(frozen=True)
class Capacity:
    """What one target allows."""

    slots: int
    connections: int
    connect_ms: float


class Target:
    """One target: it holds every shard that a snapshot gives it."""

    def __init__(
        self, name: str, capacity: Capacity, seed: int, keep_log: bool
    ) -> None:
        self._name = name
        self._log_file: int | None = None
        self._capacity = capacity
        self._random = random.Random(f'{seed}-{name}')
        self._keep_log = keep_log
        self._snapshots: dict[int, state.Snapshot] = {}
        self._faults = Faults()
        self._stats = Stats()
        self._executions: list[Execution] = []
        self._running = 0
        self._slots = asyncio.Semaphore(capacity.slots)
        self._waiting: dict[str, float] = {}
        self._stops: dict[str, asyncio.Event] = {}
        self._seen: set[int] = set()
        self.server: web.Server | None = None

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=8_000_000)
        app.router.add_post('/batch', self._batch)
        app.router.add_post('/run', self._run)
        app.router.add_post('/cancel', self._cancel)
        app.router.add_get('/health', self._health)
        app.router.add_post('/control/faults', self._set_faults)
        app.router.add_get('/control/stats', self._get_stats)
        app.router.add_get('/control/executions', self._get_executions)
        return app

    def log_to(self, path: str) -> None:
        """Append a line to a file at the start of each execution."""
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._log_file = os.open(path, flags)

    def learn(self, snapshot: state.Snapshot) -> None:
        """Hold a snapshot; the oldest beyond the kept ones is dropped."""
        self._snapshots[snapshot.snapshot_id] = snapshot
        while len(self._snapshots) > _KEPT_SNAPSHOTS:
            del self._snapshots[min(self._snapshots)]

    async def _admit_connection(self, request: web.Request) -> int:
        """Count a connection when its first request comes; name it."""
        transport = request.transport
        if transport is None:
            raise web.HTTPServiceUnavailable()
        number = transport.get_extra_info('peername')[1]
        if number in self._seen:
            return number
        open_now = self._open_connections()
        self._seen = {port for port in self._seen if port in open_now}
        self._seen.add(number)
        peak = max(self._stats.peak_connections, len(open_now))
        self._stats.peak_connections = peak
        if len(open_now) > self._capacity.connections:
            self._stats.connection_breaches += 1
        if self._capacity.connect_ms:
            await asyncio.sleep(self._capacity.connect_ms / 1000.0)
        return number

    def _open_connections(self) -> set[int]:
        handlers = self.server.connections if self.server else []
        transports = [handler.transport for handler in handlers]
        return {
            transport.get_extra_info('peername')[1]
            for transport in transports
            if transport is not None and not transport.is_closing()
        }

    async def _hang_if_told(self) -> None:
        while self._faults.hang:
            await asyncio.sleep(0.02)

    def _enter(self) -> None:
        self._running += 1
        self._stats.running = self._running
        peak = max(self._stats.peak_running, self._running)
        self._stats.peak_running = peak
        if self._running > self._capacity.slots:
            self._stats.slot_breaches += 1

    def _leave(self) -> None:
        self._running -= 1
        self._stats.running = self._running

    async def _batch(self, request: web.Request) -> web.Response:
        number = await self._admit_connection(request)
        batch = msgspec.json.decode(
            await request.read(), type=protocol.TargetBatch
        )
        arrived_ms = _now_ms()
        await self._hang_if_told()
        if not batch.items:
            return _json(
                protocol.TargetBatchAnswer(
                    [], self._faults.draining, self._running
                )
            )
        self._stats.batches += 1
        self._stats.items += len(batch.items)
        for item in batch.items:
            self._waiting[item.attempt_id] = arrived_ms + item.deadline_ms
        self._enter()
        try:
            async with self._slots:
                answers = [
                    await self._answer(item, number) for item in batch.items
                ]
        finally:
            self._leave()
            for item in batch.items:
                self._waiting.pop(item.attempt_id, None)
        if self._faults.cross_answers and len(answers) > 1:
            ids = [answer.attempt_id for answer in answers]
            answers = [
                msgspec.structs.replace(answer, attempt_id=other)
                for answer, other in zip(answers, ids[1:] + ids[:1])
            ]
        elif self._faults.cross_answers:
            answers = [
                msgspec.structs.replace(answer, attempt_id='someone-else')
                for answer in answers
            ]
        await self._maybe_swallow(request)
        return _json(
            protocol.TargetBatchAnswer(
                answers, self._faults.draining, self._running
            )
        )

    async def _maybe_swallow(self, request: web.Request) -> None:
        if self._faults.swallow_answers > 0:
            self._faults.swallow_answers -= 1
            await asyncio.Event().wait()

    async def _answer(
        self, item: protocol.TargetQuery, number: int
    ) -> protocol.TargetAnswer:
        refusal = self._refusal(item)
        if refusal is not None:
            return protocol.TargetAnswer(
                item.attempt_id,
                refusal,
                retry_after_ms=500,
                fingerprint=item.fingerprint,
            )
        deadline_at_ms = self._waiting.pop(item.attempt_id)
        # A newer snapshot may push this one out while the work is done.
        snapshot = self._snapshots[item.snapshot_id]
        shards = snapshot.indexes[item.index].shards
        held = next(s for s in shards if s.shard_id == item.shard_id)
        execution = self._start('sub-query', item, number, '')
        if self._faults.poison_term in item.terms.values():
            os.kill(os.getpid(), signal.SIGKILL)
        service_ms, cut_short = await self._search(
            item.attempt_id, deadline_at_ms
        )
        execution.ended_ms = _now_ms()
        if cut_short is not None:
            return protocol.TargetAnswer(
                item.attempt_id, cut_short, fingerprint=item.fingerprint
            )
        found = data.find(
            item.index, held.key_range, item.terms, item.index_version
        )
        if self._faults.cold_answers_empty:
            # Lost its shard but answers: it searched no key range.
            return protocol.TargetAnswer(
                item.attempt_id,
                protocol.TargetStatus.OK,
                item.snapshot_id,
                service_ms=service_ms,
                fingerprint=item.fingerprint,
            )
        echoed = item.snapshot_id + int(self._faults.wrong_snapshot)
        return protocol.TargetAnswer(
            item.attempt_id,
            protocol.TargetStatus.OK,
            echoed,
            [held.key_range],
            self._faults.truncate,
            found[: item.limit],
            service_ms,
            fingerprint=item.fingerprint,
        )

    def _refusal(
        self, item: protocol.TargetQuery
    ) -> protocol.TargetStatus | None:
        if item.attempt_id not in self._waiting:
            return protocol.TargetStatus.CANCELLED
        if self._waiting[item.attempt_id] <= _now_ms():
            return protocol.TargetStatus.EXPIRED
        if self._faults.draining:
            return protocol.TargetStatus.DRAINING
        if self._faults.shed:
            self._stats.shed += 1
            return protocol.TargetStatus.SHED
        if self._faults.cold:
            return protocol.TargetStatus.NOT_LOADED
        snapshot = self._snapshots.get(item.snapshot_id)
        if snapshot is None:
            return protocol.TargetStatus.SNAPSHOT_GONE
        index = snapshot.indexes.get(item.index)
        if index is None or index.version != item.index_version:
            return protocol.TargetStatus.SNAPSHOT_GONE
        held = [s for s in index.shards if s.shard_id == item.shard_id]
        if not held or self._name not in held[0].replicas:
            return protocol.TargetStatus.NOT_LOADED
        return None

    def _start(
        self,
        kind: str,
        item: protocol.TargetQuery | protocol.TargetRun,
        number: int,
        key: str,
    ) -> Execution:
        execution = Execution(
            kind,
            item.attempt_id,
            key,
            item.service,
            _now_ms(),
            number,
        )
        if self._keep_log or kind == 'run':
            self._executions.append(execution)
        if self._log_file is not None:
            # Written before the work, so that a kill cannot hide it.
            row = msgspec.json.encode([self._name, execution])
            os.write(self._log_file, row + b'\n')
        return execution

    def _draw_service_ms(self) -> float:
        median = self._faults.service_ms
        if not median:
            return 0.0
        took = median * self._random.lognormvariate(0.0, self._faults.sigma)
        if self._random.random() < self._faults.straggler:
            took *= 10.0
        return took

    async def _search(
        self, attempt_id: str, deadline_at_ms: float
    ) -> tuple[float, protocol.TargetStatus | None]:
        """Work until done, cancelled or past the deadline."""
        took_ms = self._draw_service_ms()
        if not took_ms:
            return 0.0, None
        left_ms = deadline_at_ms - _now_ms()
        stop = self._stops[attempt_id] = asyncio.Event()
        try:
            await asyncio.wait_for(stop.wait(), min(took_ms, left_ms) / 1000.0)
        except asyncio.TimeoutError:
            late = took_ms > left_ms
            return took_ms, protocol.TargetStatus.EXPIRED if late else None
        finally:
            del self._stops[attempt_id]
        return took_ms, protocol.TargetStatus.CANCELLED

    async def _run(self, request: web.Request) -> web.Response:
        number = await self._admit_connection(request)
        order = msgspec.json.decode(
            await request.read(), type=protocol.TargetRun
        )
        arrived_ms = _now_ms()
        await self._hang_if_told()
        self._waiting[order.attempt_id] = arrived_ms + order.deadline_ms
        self._enter()
        try:
            async with self._slots:
                answer = await self._run_one(order, number)
        finally:
            self._leave()
            self._waiting.pop(order.attempt_id, None)
        await self._maybe_swallow(request)
        return _json(answer)

    async def _run_one(
        self, order: protocol.TargetRun, number: int
    ) -> protocol.TargetRunAnswer:
        refusals = (
            (
                order.attempt_id not in self._waiting,
                protocol.TargetStatus.CANCELLED,
            ),
            (
                self._waiting.get(order.attempt_id, 0.0) <= _now_ms(),
                protocol.TargetStatus.EXPIRED,
            ),
            (self._faults.draining, protocol.TargetStatus.DRAINING),
            (self._faults.shed, protocol.TargetStatus.SHED),
        )
        for applies, status in refusals:
            if applies:
                return protocol.TargetRunAnswer(
                    order.attempt_id, status, draining=self._faults.draining
                )
        self._waiting.pop(order.attempt_id, None)
        self._stats.runs += 1
        execution = self._start('run', order, number, order.idempotency_key)
        if self._faults.poison_term in order.body.values():
            os.kill(os.getpid(), signal.SIGKILL)
        await asyncio.sleep(self._draw_service_ms() / 1000.0)
        execution.ended_ms = _now_ms()
        receipt = f'{self._name}-{self._stats.runs}'
        return protocol.TargetRunAnswer(
            order.attempt_id,
            protocol.TargetStatus.OK,
            True,
            {'receipt': receipt, 'operation': order.operation},
        )

    async def _cancel(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(
            await request.read(), type=protocol.TargetCancel
        )
        never = [
            attempt_id
            for attempt_id in order.attempt_ids
            if self._waiting.pop(attempt_id, None) is not None
        ]
        stopped = [row for row in order.attempt_ids if row in self._stops]
        for attempt_id in stopped:
            self._stops[attempt_id].set()
        return _json(protocol.TargetCancelAnswer(never, stopped))

    async def _health(self, request: web.Request) -> web.Response:
        draining = self._faults.draining and not self._faults.lie_healthy
        healthy = self._faults.lie_healthy or not (
            self._faults.draining or self._faults.cold
        )
        load = self._running / self._capacity.slots
        return _json(
            protocol.TargetHealth(healthy, draining, self._running, load)
        )

    async def _set_faults(self, request: web.Request) -> web.Response:
        self._faults = msgspec.json.decode(await request.read(), type=Faults)
        return _json({})

    async def _get_stats(self, request: web.Request) -> web.Response:
        return _json(self._stats)

    async def _get_executions(self, request: web.Request) -> web.Response:
        return _json(self._executions)


def _now_ms() -> float:
    return time.monotonic() * 1000.0


def _json(value: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type='application/json'
    )


async def _follow_snapshots(store_url: str, targets: list[Target]) -> None:
    position = 0
    async with aiohttp.ClientSession() as session:
        while True:
            query = f'prefix=snapshots/&since={position}'
            url = f'{store_url}/watch?{query}&timeout_ms={_WATCH_MS}'
            try:
                async with session.get(url) as response:
                    if response.status != 200:
                        raise aiohttp.ClientError(str(response.status))
                    page = await response.json()
            except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)
                continue
            if position == 0 and not page['objects']:
                await asyncio.sleep(0.05)
                continue
            position = page['position']
            for row in page['objects']:
                snapshot = msgspec.json.decode(
                    row['value'], type=state.Snapshot
                )
                for target in targets:
                    target.learn(snapshot)


async def _serve(
    names: list[str],
    ports: list[int],
    capacity: Capacity,
    store_url: str,
    seed: int,
    keep_log: bool,
    log_path: str | None,
) -> None:
    targets = [Target(name, capacity, seed, keep_log) for name in names]
    for target, port in zip(targets, ports):
        if log_path:
            target.log_to(log_path)
        runner = web.AppRunner(target.application(), access_log=None)
        await runner.setup()
        target.server = runner.server
        await web.TCPSite(runner, '127.0.0.1', port).start()
    await _follow_snapshots(store_url, targets)


@click.command()
@click.option('--name', 'names', multiple=True, required=True)
@click.option('--port', 'ports', multiple=True, required=True, type=int)
@click.option('--store', 'store_url', default='http://127.0.0.1:7100')
@click.option('--slots', default=2)
@click.option('--connections', default=25)
@click.option('--connect-ms', default=0.0)
@click.option('--seed', default=1)
@click.option('--keep-log/--no-keep-log', default=True)
@click.option('--log', 'log_path', default=None)
def main(
    names: tuple[str, ...],
    ports: tuple[int, ...],
    store_url: str,
    slots: int,
    connections: int,
    connect_ms: float,
    seed: int,
    keep_log: bool,
    log_path: str | None,
) -> None:
    """Run one or more target stand-ins until they are stopped."""
    capacity = Capacity(slots, connections, connect_ms)
    asyncio.run(
        _serve(
            list(names),
            list(ports),
            capacity,
            store_url,
            seed,
            keep_log,
            log_path,
        )
    )


if __name__ == '__main__':
    main()
