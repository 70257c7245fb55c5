"""Executes merge orders: asks targets of this site and merges their parts."""

import asyncio
import dataclasses
import functools
import typing

from samphiredock.coordination import background
from samphiredock.coordination.forwarding import _report_batcher
from samphiredock.coordination.forwarding import _request_log
from samphiredock.coordination.forwarding import _target_client
from samphiredock.coordination.search import _arrival
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import timers

_Result = _report_batcher.Part | protocol.EndedItem


class _GatherTimeout:
    """Event: the time to gather parts is over."""


class _Aborted:
    """Event: this daemon's shutdown time is over."""


_Event = _Result | _GatherTimeout | _Aborted


class Merger:
    """Executes merge orders.

    The coordinating daemon decides which targets are asked, and when.  A
    merger sends to the ordered targets only, so the limit on how many targets
    may run a request holds whatever happens to the order.

    Parameters
    ----------
    target_client
        Sends to one target.
    clock, counters
        The timers and metrics of this daemon.
    """

    def __init__(
        self,
        target_client: _target_client.TargetClient,
        clock: timers.Timers,
        counters: metrics.Metrics,
    ) -> None:
        self._target_client = target_client
        self._clock = clock
        self._metrics = counters
        self._log = _request_log.RequestLog(clock, counters)
        self._events: set[asyncio.Queue[_Event]] = set()

    def finish_all(self) -> None:
        """End every order now, since this daemon is shutting down.

        The coordinating daemons see their orders end and ask other targets,
        instead of waiting for this process to exit.
        """
        for events in self._events:
            events.put_nowait(_Aborted())

    def may_take_orders(self) -> bool:
        """Return whether an order that is read now is certainly a new one.

        One that has waited unread during a pause of this process would send
        attempts that its coordinator has given up and replaced.
        """
        return not self._clock.has_just_resumed()

    def close(self) -> None:
        """Write the log lines that are still queued."""
        self._log.write()

    async def reports(
        self, order: protocol.MergeOrder
    ) -> typing.AsyncGenerator[protocol.MergeReport, None]:
        """Yield an order's reports; closing this cancels its exchanges."""
        batcher = _report_batcher.ReportBatcher(order)
        events: asyncio.Queue[_Event] = asyncio.Queue()
        request = order.request()
        tasks = [
            asyncio.create_task(
                self._send(request, item, order.left_ms, events)
            )
            for item in order.items
        ]
        self._metrics.add('orders_taken')
        self._metrics.add('order_items', len(tasks))
        timer = self._clock.after(
            order.gather_ms,
            functools.partial(events.put_nowait, _GatherTimeout()),
        )
        totals = _Totals(self._clock.now_ms())
        self._events.add(events)
        try:
            while not batcher.is_done():
                event = await events.get()
                if isinstance(event, _Aborted):
                    return
                report = _handle(batcher, event)
                if report is not None:
                    totals.add(report)
                    yield report
        finally:
            self._events.discard(events)
            timer.cancel()
            for task in tasks:
                task.cancel()
            self._log_end(order, totals)

    def _log_end(self, order: protocol.MergeOrder, totals: '_Totals') -> None:
        silent = len(order.items) - totals.parts - totals.failed
        self._log.end(
            order.request_id,
            _request_log.RequestTrace(totals.began_ms),
            not silent and not totals.failed,
            event='order ended',
            targets=len(order.items),
            parts=totals.parts,
            failed=totals.failed,
            silent=silent,
            late=totals.late,
            gather_ms=round(order.gather_ms, 1),
        )

    async def _send(
        self,
        request: protocol.ForwardRequest,
        item: protocol.OrderedItem,
        left_ms: float,
        events: asyncio.Queue[_Event],
    ) -> None:
        """Send one item of an order and put its result into ``events``."""
        sent_ms = self._clock.now_ms()
        target = self._target_client.target(item.target)
        if target is None or target.service != item.service or target.leaving:
            self._metrics.add('order_items_refused')
            events.put_nowait(
                protocol.EndedItem(
                    item.number,
                    protocol.SubStatus.NOT_ORDERED,
                    0,
                    'not a target of the service here, or it is leaving',
                )
            )
            return
        send_by_ms = sent_ms + min(left_ms, _arrival.ORDERED_SEND_WITHIN_MS)
        exchange_result = await self._target_client.send(
            request,
            item.target,
            left_ms,
            is_wanted=lambda: self._clock.now_ms() <= send_by_ms,
        )
        took_ms = self._clock.now_ms() - sent_ms
        if exchange_result.status is protocol.SubStatus.ANSWERED:
            assert exchange_result.reply is not None
            receipt = exchange_result.reply.receipt or ''
            body = exchange_result.reply.reply.body
            events.put_nowait(
                _report_batcher.Part(item.number, receipt, took_ms, body)
            )
            return
        events.put_nowait(
            protocol.EndedItem(
                item.number,
                exchange_result.status,
                round(took_ms * 1000.0),
                exchange_result.detail,
            )
        )
        # In a task of its own, since this one is cancelled with the order.
        background.start(
            self._target_client.look_for_crash(
                request, item.target, exchange_result
            ),
            'look for a crash',
        )


@dataclasses.dataclass(slots=True)
class _Totals:
    """Numbers of parts and failures reported for an order."""

    began_ms: float
    parts: int = 0
    failed: int = 0
    late: bool = False

    def add(self, report: protocol.MergeReport) -> None:
        self.parts += len(report.merged)
        self.failed += len(report.ended)
        self.late = self.late or report.is_late


def _handle(
    batcher: _report_batcher.ReportBatcher, event: _Result | _GatherTimeout
) -> protocol.MergeReport | None:
    """Pass an event to the batcher; return the report to send, if any."""
    if isinstance(event, _GatherTimeout):
        return batcher.on_gather_timeout()
    if isinstance(event, protocol.EndedItem):
        return batcher.on_failure(event)
    return batcher.on_part(event)
