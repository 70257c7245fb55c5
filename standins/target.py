"""A stand-in of a target, with fault switches.

Run as ``python -m standins.target --name t1 --port 7400 --store URL``.
Repeat ``--name`` and ``--port`` to run several targets in one process.
``POST /control/faults`` sets the faults, with the fields of
:class:`standins.target_faults.Faults` as body.
"""

import asyncio
import random

import aiohttp
from aiohttp import web
import click
import msgspec

from samphiredock import protocol
from samphiredock import state
from standins import data
from standins import target_faults
from standins import target_limits
from standins import target_log

_KEPT_SNAPSHOTS = 2
_WATCH_MS = 5_000


class Target:
    """One target, which holds every shard that a snapshot assigns to it.

    ``_waiting`` maps the attempts that have not begun to their deadlines in
    ms, ``_stops`` the running sub-queries to the events that cancel them.
    """

    def __init__(
        self,
        name: str,
        capacity: target_limits.Capacity,
        seed: int,
        keep_log: bool,
    ) -> None:
        self._name = name
        self._random = random.Random(f'{seed}-{name}')
        self._snapshots: dict[int, state.Snapshot] = {}
        self._faults = target_faults.Faults()
        self._stats = target_limits.Stats()
        self._waiting: dict[str, float] = {}
        self._stops: dict[str, asyncio.Event] = {}
        self.limits = target_limits.Limits(capacity, self._stats)
        self.log = target_log.ExecutionLog(name, keep_log)

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

    def hold_snapshot(self, snapshot: state.Snapshot) -> None:
        """Add a snapshot; drop the oldest beyond ``_KEPT_SNAPSHOTS``."""
        self._snapshots[snapshot.snapshot_id] = snapshot
        while len(self._snapshots) > _KEPT_SNAPSHOTS:
            del self._snapshots[min(self._snapshots)]

    async def _batch(self, request: web.Request) -> web.Response:
        connection = await self.limits.admit_connection(request)
        batch = msgspec.json.decode(
            await request.read(), type=protocol.TargetBatch
        )
        arrived_ms = target_log.now_ms()
        await target_faults.hang_while(lambda: self._faults.hang)
        if not batch.items:
            return _json(
                protocol.TargetBatchAnswer(
                    [], self._faults.draining, self.limits.running
                )
            )
        self._stats.batches += 1
        self._stats.items += len(batch.items)
        for item in batch.items:
            self._waiting[item.attempt_id] = arrived_ms + item.deadline_ms
        try:
            async with self.limits.slot():
                answers = [
                    await self._answer(item, connection)
                    for item in batch.items
                ]
        finally:
            for item in batch.items:
                self._waiting.pop(item.attempt_id, None)
        answers = self._faults.swap_answer_ids(answers)
        await self._faults.swallow()
        return _json(
            protocol.TargetBatchAnswer(
                answers, self._faults.draining, self.limits.running
            )
        )

    async def _answer(
        self, item: protocol.TargetQuery, connection: int
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
        # Newer snapshots may replace this one during the search below.
        snapshot = self._snapshots[item.snapshot_id]
        shards = snapshot.indexes[item.index].shards
        assigned = next(s for s in shards if s.shard_id == item.shard_id)
        execution = self.log.start('sub-query', item, connection)
        self._faults.die_if_poisoned(item.terms.values())
        service_ms, cut_short = await self._wait_service_time(
            item.attempt_id, deadline_at_ms
        )
        execution.ended_ms = target_log.now_ms()
        if cut_short is not None:
            return protocol.TargetAnswer(
                item.attempt_id, cut_short, fingerprint=item.fingerprint
            )
        return self._read(item, assigned.key_range, service_ms)

    def _read(
        self,
        item: protocol.TargetQuery,
        key_range: protocol.KeyRange,
        service_ms: float,
    ) -> protocol.TargetAnswer:
        """Return the matching records of the shard, subject to faults."""
        found = data.find(
            item.index, key_range, item.terms, item.index_version
        )
        if self._faults.cold_answers_empty:
            # The target lost its shard: it has searched no key range.
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
            [key_range],
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
        if self._waiting[item.attempt_id] <= target_log.now_ms():
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
        assigned = [s for s in index.shards if s.shard_id == item.shard_id]
        if not assigned or self._name not in assigned[0].replicas:
            return protocol.TargetStatus.NOT_LOADED
        return None

    async def _wait_service_time(
        self, attempt_id: str, deadline_at_ms: float
    ) -> tuple[float, protocol.TargetStatus | None]:
        """Wait for the service time, a cancel or the deadline.

        Returns the service time in ms, and the status if it was cut short.
        """
        took_ms = self._faults.draw_service_ms(self._random)
        if not took_ms:
            return 0.0, None
        left_ms = deadline_at_ms - target_log.now_ms()
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
        connection = await self.limits.admit_connection(request)
        order = msgspec.json.decode(
            await request.read(), type=protocol.TargetRun
        )
        arrived_ms = target_log.now_ms()
        await target_faults.hang_while(lambda: self._faults.hang)
        self._waiting[order.attempt_id] = arrived_ms + order.deadline_ms
        try:
            async with self.limits.slot():
                answer = await self._run_one(order, connection)
        finally:
            self._waiting.pop(order.attempt_id, None)
        await self._faults.swallow()
        return _json(answer)

    async def _run_one(
        self, order: protocol.TargetRun, connection: int
    ) -> protocol.TargetRunAnswer:
        refusals = (
            (
                order.attempt_id not in self._waiting,
                protocol.TargetStatus.CANCELLED,
            ),
            (
                self._waiting.get(order.attempt_id, 0.0)
                <= target_log.now_ms(),
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
        execution = self.log.start(
            'run', order, connection, order.idempotency_key
        )
        self._faults.die_if_poisoned(order.body.values())
        await asyncio.sleep(
            self._faults.draw_service_ms(self._random) / 1000.0
        )
        execution.ended_ms = target_log.now_ms()
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
        not_begun = [
            attempt_id
            for attempt_id in order.attempt_ids
            if self._waiting.pop(attempt_id, None) is not None
        ]
        stopped = [row for row in order.attempt_ids if row in self._stops]
        for attempt_id in stopped:
            self._stops[attempt_id].set()
        return _json(protocol.TargetCancelAnswer(not_begun, stopped))

    async def _health(self, request: web.Request) -> web.Response:
        draining = self._faults.draining and not self._faults.lie_healthy
        healthy = self._faults.lie_healthy or not (
            self._faults.draining or self._faults.cold
        )
        load = self.limits.load
        return _json(
            protocol.TargetHealth(healthy, draining, self.limits.running, load)
        )

    async def _set_faults(self, request: web.Request) -> web.Response:
        self._faults = msgspec.json.decode(
            await request.read(), type=target_faults.Faults
        )
        return _json({})

    async def _get_stats(self, request: web.Request) -> web.Response:
        return _json(self._stats)

    async def _get_executions(self, request: web.Request) -> web.Response:
        return _json(self.log.executions)


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
                    target.hold_snapshot(snapshot)


async def _serve(
    names: list[str],
    ports: list[int],
    capacity: target_limits.Capacity,
    store_url: str,
    seed: int,
    keep_log: bool,
    log_path: str | None,
) -> None:
    targets = [Target(name, capacity, seed, keep_log) for name in names]
    for target, port in zip(targets, ports):
        if log_path:
            target.log.write_to(log_path)
        runner = web.AppRunner(target.application(), access_log=None)
        await runner.setup()
        target.limits.server = runner.server
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
    capacity = target_limits.Capacity(slots, connections, connect_ms)
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
