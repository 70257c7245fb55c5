"""Sends the merge orders of pending requests and handles their reports."""

import asyncio
import typing

from samphiredock.coordination.forwarding import _order_client
from samphiredock.coordination.forwarding import _pending_requests
from samphiredock.coordination.forwarding import _target_client
from samphiredock import logs
from samphiredock import protocol
from samphiredock import timers

REPORT_TRANSIT_MS = 5.0
"""Time allowed for an order's first report to reach the coordinator: 1.4 ms
between sites and two busy event loops."""

REPORT_GRACE_MS = 15.0
"""How long after its due time an order's first report is waited for.  After
that the merger gets no more of the search, and the shards are hedged.  Covers
the round trip between sites, sending the requests and merging the parts, with
another search's order ahead of it.  With 5 to 8 ms, five in 24 orders of a
calm day were taken for lost."""

_MIN_GATHER_MS = 1.0
"""A gather time of 0 would tell the merger not to gather."""

HEDGE_DELAY_MS = 1.0
"""Delay between dropping a silent merger and hedging its shards.  Other
mergers that are silent as well are dropped by then, so no hedge goes through
them."""

_Status = protocol.SubStatus

_log = logs.logger('orders')


class OrderTracker:
    """Sends the merge orders of pending requests and handles their reports.

    Parameters
    ----------
    target_client
        Records the health of targets, also of those that other daemons ask.
    order_client
        Sends one order; None if none is ever sent.
    clock
        The timers of this daemon.
    on_results
        Called with the results of a request's attempts.
    on_late
        Called with attempts that a merger reports as late.
    on_silent
        Called with attempts of a merger that has not reported in time.
    """

    def __init__(
        self,
        target_client: _target_client.TargetClient,
        order_client: _order_client.OrderClient | None,
        clock: timers.Timers,
        on_results: typing.Callable[
            [_pending_requests.PendingRequest, list[protocol.SubAnswer]], None
        ],
        on_late: typing.Callable[
            [_pending_requests.PendingRequest, list[str]], None
        ],
        on_silent: typing.Callable[
            [_pending_requests.PendingRequest, list[str]], None
        ],
    ) -> None:
        self._target_client = target_client
        self._order_client = order_client
        self._clock = clock
        self._on_results = on_results
        self._on_late = on_late
        self._on_silent = on_silent

    def send(
        self,
        pending: _pending_requests.PendingRequest,
        merger: str,
        items: list[protocol.SubQuery],
        is_gathering: bool,
    ) -> None:
        """Order ``merger`` to send the attempts ``items``.

        ``is_gathering`` is true for first attempts, the only ones whose
        results may come back merged: see :class:`ReportBatcher`.
        """
        waiting = {_number_of(item.attempt_id): item for item in items}
        sent_order = _pending_requests.SentOrder(merger, waiting, is_gathering)
        if is_gathering:
            pending.parts.expect_merged(item.shard_id for item in items)
        for item in items:
            pending.sent_orders[item.attempt_id] = sent_order
        order = self._make_order(pending, items, is_gathering)
        sent_order.task = asyncio.create_task(
            self._run_order(pending, sent_order, order)
        )
        if is_gathering:
            self._clock.after(
                order.gather_ms + REPORT_GRACE_MS,
                lambda: self._check_reported(pending, sent_order),
            )

    def _check_reported(
        self,
        pending: _pending_requests.PendingRequest,
        sent_order: _pending_requests.SentOrder,
    ) -> None:
        """Drop a merger that has not reported in time from the search.

        It may hang, and hedges sent through it would hang as well.
        """
        if (
            sent_order.has_reported
            or pending.done.done()
            or pending.assignments is None
        ):
            return
        pending.assignments.drop_merger(sent_order.merger)
        assert self._order_client is not None
        self._order_client.on_late(sent_order.merger)
        pending.trace.add(
            self._clock.now_ms(), 'order late', by=sent_order.merger
        )
        self._clock.after(
            HEDGE_DELAY_MS, lambda: self._hedge_silent(pending, sent_order)
        )

    def _hedge_silent(
        self,
        pending: _pending_requests.PendingRequest,
        sent_order: _pending_requests.SentOrder,
    ) -> None:
        if not sent_order.has_reported and not pending.done.done():
            silent = [item.attempt_id for item in sent_order.waiting.values()]
            self._on_silent(pending, silent)

    def _make_order(
        self,
        pending: _pending_requests.PendingRequest,
        items: list[protocol.SubQuery],
        is_gathering: bool,
    ) -> protocol.MergeOrder:
        now_ms = self._clock.now_ms()
        plan = pending.plan
        gather_ms = 0.0
        if is_gathering:
            left_ms = plan.scatter.answer_by_ms - now_ms - REPORT_TRANSIT_MS
            gather_ms = min(pending.scatter.gather_ms(), left_ms)
            gather_ms = max(gather_ms, _MIN_GATHER_MS)
        request = plan.request
        return protocol.MergeOrder(
            request.request_id,
            request.method,
            request.host,
            request.path,
            request.headers,
            request.body,
            max(1.0, plan.scatter.deadline_at_ms - now_ms),
            gather_ms,
            plan.route.top,
            pending.parts.floor(),
            tuple(
                protocol.OrderedItem(
                    _number_of(item.attempt_id), item.shard_id, item.target
                )
                for item in items
            ),
        )

    async def _run_order(
        self,
        pending: _pending_requests.PendingRequest,
        sent_order: _pending_requests.SentOrder,
        order: protocol.MergeOrder,
    ) -> None:
        assert (
            self._order_client is not None and pending.assignments is not None
        )
        status = await self._order_client.send(
            sent_order.merger,
            order,
            lambda report: self._on_report(pending, sent_order, report),
        )
        if sent_order.waiting:
            self._on_lost(pending, sent_order, status)

    def _on_lost(
        self,
        pending: _pending_requests.PendingRequest,
        sent_order: _pending_requests.SentOrder,
        status: protocol.SubStatus,
    ) -> None:
        """End the attempts of an order from which no more reports are read."""
        assert pending.assignments is not None
        pending.assignments.drop_merger(sent_order.merger)
        items = list(sent_order.waiting.values())
        sent_order.waiting.clear()
        self._expect_no_merged(pending, sent_order, items)
        why = f'order to {sent_order.merger}'
        self._on_results(
            pending,
            [
                _pending_requests.make_sub_answer(item, status, detail=why)
                for item in items
            ],
        )

    def _on_report(
        self,
        pending: _pending_requests.PendingRequest,
        sent_order: _pending_requests.SentOrder,
        report: protocol.MergeReport,
    ) -> None:
        if sent_order.is_broken or pending.done.done():
            return
        sent_order.has_reported = True
        numbers = [row.number for row in (*report.merged, *report.ended)]
        unknown = set(numbers) - set(sent_order.waiting)
        if unknown or len(set(numbers)) < len(numbers):
            # The merged part may hold records of an attempt that was not
            # ordered or was reported before.  They cannot be taken out, and
            # later reports leave out smaller ones, so the order is dropped.
            sent_order.is_broken = True
            _log.error(
                'order report invalid',
                daemon=sent_order.merger,
                unknown=sorted(unknown),
            )
            self._on_lost(pending, sent_order, _Status.ORDER_LOST)
            return
        answers = [
            *self._add_merged(pending, sent_order, report),
            *self._end_failed(pending, sent_order, report),
        ]
        self._on_results(pending, answers)
        if report.is_late:
            self._end_gathering(pending, sent_order)

    def _add_merged(
        self,
        pending: _pending_requests.PendingRequest,
        sent_order: _pending_requests.SentOrder,
        report: protocol.MergeReport,
    ) -> list[protocol.SubAnswer]:
        """Add a report's parts; return the results of its attempts."""
        items = [sent_order.waiting.pop(row.number) for row in report.merged]
        receipts = {
            item.shard_id: row.receipt
            for item, row in zip(items, report.merged)
        }
        if items and sent_order.is_gathering:
            pending.parts.add_merged(receipts, report.records)
            late = sent_order.waiting.values()
            self._expect_no_merged(pending, sent_order, late)
            sent_order.is_gathering = False
        else:
            for shard, receipt in receipts.items():
                pending.parts.add(shard, receipt, report.records)
        return [
            self._observe(item, _Status.ANSWERED, row.took_us)
            for item, row in zip(items, report.merged)
        ]

    def _end_failed(
        self,
        pending: _pending_requests.PendingRequest,
        sent_order: _pending_requests.SentOrder,
        report: protocol.MergeReport,
    ) -> list[protocol.SubAnswer]:
        """Return the results of the attempts that a report lists as failed."""
        assert pending.assignments is not None
        items = [sent_order.waiting.pop(row.number) for row in report.ended]
        for item, row in zip(items, report.ended):
            if row.status is _Status.NOT_ORDERED:
                pending.assignments.ask_directly(item.target)
        self._expect_no_merged(pending, sent_order, items)
        return [
            self._observe(item, row.status, row.took_us, row.detail)
            for item, row in zip(items, report.ended)
        ]

    def _end_gathering(
        self,
        pending: _pending_requests.PendingRequest,
        sent_order: _pending_requests.SentOrder,
    ) -> None:
        """Stop expecting a merged part, and hedge the attempts still open."""
        items = list(sent_order.waiting.values())
        self._expect_no_merged(pending, sent_order, items)
        sent_order.is_gathering = False
        self._on_late(pending, [item.attempt_id for item in items])

    def _expect_no_merged(
        self,
        pending: _pending_requests.PendingRequest,
        sent_order: _pending_requests.SentOrder,
        items: typing.Iterable[protocol.SubQuery],
    ) -> None:
        """Stop expecting that the merged part of an order covers ``items``.

        An order that does not gather says nothing about the merged part of
        another order, which may still cover the same shards.
        """
        if sent_order.is_gathering:
            pending.parts.expect_no_merged(item.shard_id for item in items)

    def _observe(
        self,
        item: protocol.SubQuery,
        status: protocol.SubStatus,
        took_us: int,
        detail: str = '',
    ) -> protocol.SubAnswer:
        """Record what another daemon observed of a target."""
        took_ms = took_us / 1000.0
        self._target_client.record_result(item.target, status, took_ms)
        return _pending_requests.make_sub_answer(item, status, took_ms, detail)

    def drop(
        self, pending: _pending_requests.PendingRequest, attempt_id: str
    ) -> None:
        """Note that an attempt is not needed any more.

        Its order is cancelled once none of the order's open attempts is.
        """
        sent_order = pending.sent_orders[attempt_id]
        sent_order.unwanted.add(_number_of(attempt_id))
        if sent_order.task is not None and sent_order.unwanted >= set(
            sent_order.waiting
        ):
            self._clock.after(
                _pending_requests.LOSER_GRACE_MS, sent_order.task.cancel
            )


def _number_of(attempt_id: str) -> int:
    """Return the number of an attempt, unique within its search."""
    return int(attempt_id.rpartition('.')[2])
