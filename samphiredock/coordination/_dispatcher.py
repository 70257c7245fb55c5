"""The task that holds the connections to the targets a daemon owns."""

import asyncio
import collections
import typing

from returns import result

from samphiredock.coordination import _lane
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

_LINK_STATUS = {
    transport.LinkErrorKind.UNREACHABLE: protocol.SubStatus.UNREACHABLE,
    transport.LinkErrorKind.BROKEN: protocol.SubStatus.BROKEN,
    transport.LinkErrorKind.SILENT: protocol.SubStatus.SILENT,
    transport.LinkErrorKind.BAD_ANSWER: protocol.SubStatus.BAD_ANSWER,
}

_TARGET_STATUS = {
    protocol.TargetStatus.OK: protocol.SubStatus.ANSWERED,
    protocol.TargetStatus.SNAPSHOT_GONE: protocol.SubStatus.SNAPSHOT_GONE,
    protocol.TargetStatus.NOT_LOADED: protocol.SubStatus.NOT_LOADED,
    protocol.TargetStatus.SHED: protocol.SubStatus.SHED,
    protocol.TargetStatus.DRAINING: protocol.SubStatus.DRAINING,
    protocol.TargetStatus.EXPIRED: protocol.SubStatus.EXPIRED,
    protocol.TargetStatus.CANCELLED: protocol.SubStatus.CANCELLED,
}


class Dispatcher:
    """Run lanes against their targets and report to the coordinators.

    Parameters
    ----------
    peers
        Where sub-queries come from and answers go.
    clock
        The timer service.
    counters
        Metrics of this daemon.
    make_link
        Builds the adapter to a target.
    """

    def __init__(
        self,
        peers: transport.Peers,
        clock: timers.Timers,
        counters: metrics.Metrics,
        make_link: typing.Callable[
            [state.Target], transport.TargetLink
        ] = transport.HttpTargetLink,
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._metrics = counters
        self._make_link = make_link
        self._configuration: state.Configuration | None = None
        self._lanes: dict[str, _lane.Lane] = {}
        self._links: dict[str, transport.TargetLink] = {}
        self._tasks: set[asyncio.Task] = set()
        self._replies: dict[tuple[str, str], list[protocol.SubAnswer]] = (
            collections.defaultdict(list)
        )
        peers.subscribe(protocol.SubQueryBatch, self._on_batch)
        peers.subscribe(protocol.RunOrder, self._on_run)
        peers.subscribe(protocol.CancelAttempts, self._on_cancel)

    def configure(self, configuration: state.Configuration) -> None:
        """Apply a new revision."""
        self._configuration = configuration

    def in_flight(self) -> int:
        """Return how many exchanges with targets are out."""
        return len(self._tasks)

    async def close(self) -> None:
        """Stop every exchange and close every connection."""
        for task in self._tasks:
            task.cancel()
        for link in self._links.values():
            await link.close()

    def _lane_of(self, name: str) -> _lane.Lane | None:
        lane = self._lanes.get(name)
        if lane is None and self._configuration is not None:
            target = self._configuration.targets.get(name)
            if target is None:
                return None
            lane = _lane.Lane(target, self._configuration.limits)
            self._lanes[name] = lane
            self._links[name] = self._make_link(target)
        return lane

    def _on_batch(self, sender: str, batch: protocol.SubQueryBatch) -> None:
        expires_at_ms = self._clock.now_ms() + batch.budget_ms
        for item in batch.items:
            work = _lane.Work(
                sender,
                batch.query_id,
                item.attempt_id,
                expires_at_ms,
                batch,
                item,
            )
            self._submit(item.target, work)

    def _on_run(self, sender: str, order: protocol.RunOrder) -> None:
        expires_at_ms = self._clock.now_ms() + order.budget_ms
        work = _lane.Work(
            sender, '', order.attempt_id, expires_at_ms, order, None
        )
        self._submit(order.target, work)

    def _on_cancel(self, sender: str, cancel: protocol.CancelAttempts) -> None:
        for attempt_id in cancel.attempt_ids:
            for lane in self._lanes.values():
                if lane.cancel(attempt_id):
                    break

    def _submit(self, target: str, work: _lane.Work) -> None:
        lane = self._lane_of(target)
        if lane is None:
            self._refuse(
                target,
                _lane.Refuse(
                    work, protocol.SubStatus.NOT_OWNER, 'unknown target'
                ),
            )
            return
        self._carry_out(target, lane.submit(work, self._clock.now_ms()))

    def _carry_out(self, target: str, effects: list[_lane.Effect]) -> None:
        for effect in effects:
            if isinstance(effect, _lane.Refuse):
                self._refuse(target, effect)
            else:
                task = asyncio.create_task(self._exchange(target, effect))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def _refuse(self, target: str, refusal: _lane.Refuse) -> None:
        work = refusal.work
        self._metrics.add('dispatch_refused', status=refusal.status.value)
        if work.item is None:
            self._peers.send(
                work.origin,
                protocol.RunReport(
                    work.attempt_id,
                    target,
                    refusal.status,
                    detail=refusal.detail,
                    retry_after_ms=refusal.retry_after_ms,
                ),
            )
            return
        self._answer(
            work,
            protocol.SubAnswer(
                work.attempt_id,
                target,
                refusal.status,
                detail=refusal.detail,
                retry_after_ms=refusal.retry_after_ms,
            ),
        )

    def _answer(self, work: _lane.Work, answer: protocol.SubAnswer) -> None:
        if not self._replies:
            asyncio.get_running_loop().call_soon(self._flush_answers)
        self._replies[work.origin, work.query_id].append(answer)

    def _flush_answers(self) -> None:
        replies = dict(self._replies)
        self._replies.clear()
        for (origin, query_id), answers in replies.items():
            self._peers.send(
                origin, protocol.SubAnswerBatch(query_id, answers)
            )

    async def _exchange(self, target: str, start: _lane.StartExchange) -> None:
        try:
            if start.works[0].item is None:
                await self._run(target, start.works[0])
            else:
                await self._batch(target, start.works)
        finally:
            lane = self._lanes[target]
            self._carry_out(
                target, lane.ended(start.ticket, self._clock.now_ms())
            )

    async def _batch(self, target: str, works: tuple[_lane.Work, ...]) -> None:
        now_ms = self._clock.now_ms()
        items = [_target_query(work, now_ms) for work in works]
        longest_ms = max(work.expires_at_ms for work in works) - now_ms
        self._metrics.add('target_batches')
        self._metrics.add('target_items', len(items))
        reply = await self._links[target].batch(
            protocol.TargetBatch(items), longest_ms
        )
        if isinstance(reply, result.Failure):
            error = reply.failure()
            self._metrics.add('target_errors', kind=error.kind.value)
            status = _LINK_STATUS[error.kind]
            for work in works:
                self._answer(
                    work,
                    protocol.SubAnswer(
                        work.attempt_id, target, status, detail=error.detail
                    ),
                )
            return
        answers = {
            answer.attempt_id: answer for answer in reply.unwrap().answers
        }
        for work in works:
            self._answer(
                work, _sub_answer(target, work, answers.get(work.attempt_id))
            )

    async def _run(self, target: str, work: _lane.Work) -> None:
        order = typing.cast(protocol.RunOrder, work.request)
        left_ms = work.expires_at_ms - self._clock.now_ms()
        body = protocol.TargetRun(
            order.attempt_id,
            order.service,
            order.operation,
            order.idempotency_key,
            order.body,
            int(left_ms),
        )
        reply = await self._links[target].run(body, left_ms)
        self._peers.send(
            work.origin, _run_report(order.attempt_id, target, reply)
        )


def _target_query(work: _lane.Work, now_ms: float) -> protocol.TargetQuery:
    request = typing.cast(protocol.SubQueryBatch, work.request)
    item = typing.cast(protocol.SubQuery, work.item)
    return protocol.TargetQuery(
        item.attempt_id,
        request.service,
        request.search,
        request.terms,
        request.limit,
        item.index,
        item.index_version,
        item.snapshot_id,
        item.shard_id,
        int(work.expires_at_ms - now_ms),
        request.fingerprint,
    )


def _sub_answer(
    target: str, work: _lane.Work, answer: protocol.TargetAnswer | None
) -> protocol.SubAnswer:
    request = typing.cast(protocol.SubQueryBatch, work.request)
    if answer is None or answer.fingerprint != request.fingerprint:
        # A target that exchanges two attempts of one batch would give a
        # caller somebody else's records; the fingerprint tells them apart.
        return protocol.SubAnswer(
            work.attempt_id,
            target,
            protocol.SubStatus.BAD_ANSWER,
            detail='the target answered another request than it was sent',
        )
    return protocol.SubAnswer(
        work.attempt_id,
        target,
        _TARGET_STATUS[answer.status],
        answer.snapshot_id,
        answer.ranges,
        answer.truncated,
        answer.records,
        answer.service_ms,
        retry_after_ms=answer.retry_after_ms,
    )


def _run_report(
    attempt_id: str,
    target: str,
    reply: result.Result[protocol.TargetRunAnswer, transport.LinkError],
) -> protocol.RunReport:
    if isinstance(reply, result.Failure):
        error = reply.failure()
        return protocol.RunReport(
            attempt_id,
            target,
            _LINK_STATUS[error.kind],
            detail=error.detail,
        )
    answer = reply.unwrap()
    if answer.attempt_id != attempt_id:
        return protocol.RunReport(
            attempt_id,
            target,
            protocol.SubStatus.BAD_ANSWER,
            detail='the target answered another attempt',
        )
    return protocol.RunReport(
        attempt_id,
        target,
        _TARGET_STATUS[answer.status],
        answer.accepted,
        answer.result,
        retry_after_ms=answer.retry_after_ms,
    )
