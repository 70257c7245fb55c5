"""Carry out orders of other daemons: ask targets of this site, and merge."""

import asyncio
import dataclasses
import functools
import typing

from samphiredock.coordination import background
from samphiredock.coordination.forwarding import _report_batcher
from samphiredock.coordination.forwarding import _request_log
from samphiredock.coordination.forwarding import _target_client
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import timers

_End = _report_batcher.Part | protocol.EndedItem


class _Gathered:
    """The end of the time to gather."""


class _GivenUp:
    """The end of this daemon's time."""


_Event = _End | _Gathered | _GivenUp


class Merger:
    """Asks the targets that orders name.

    Which targets, how many and when is decided by the daemon that has the
    search: this one sends to those that are named and to no other, so that
    the bound on targets that run a request holds whatever becomes of it.

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
        """End every order now: this daemon stops.

        The daemon that has the search learns at once that nothing more will
        come, and asks others; it would learn it only from the end of the
        process else.
        """
        for events in self._events:
            events.put_nowait(_GivenUp())

    def close(self) -> None:
        """Write the lines that wait."""
        self._log.write()

    async def reports(
        self, order: protocol.MergeOrder
    ) -> typing.AsyncGenerator[protocol.MergeReport, None]:
        """Yield what comes of an order; closing this ends its exchanges."""
        batcher = _report_batcher.ReportBatcher(order)
        events: asyncio.Queue[_Event] = asyncio.Queue()
        request = order.request()
        tasks = [
            asyncio.create_task(
                self._ask(request, item, order.left_ms, events)
            )
            for item in order.items
        ]
        self._metrics.add('orders_taken')
        self._metrics.add('order_items', len(tasks))
        timer = self._clock.after(
            order.gather_ms,
            functools.partial(events.put_nowait, _Gathered()),
        )
        told = _Told(self._clock.now_ms())
        self._events.add(events)
        try:
            while not batcher.is_done():
                event = await events.get()
                if isinstance(event, _GivenUp):
                    return
                report = _take(batcher, event)
                if report is not None:
                    told.add(report)
                    yield report
        finally:
            self._events.discard(events)
            timer.cancel()
            for task in tasks:
                task.cancel()
            self._note_end(order, told)

    def _note_end(self, order: protocol.MergeOrder, told: '_Told') -> None:
        silent = len(order.items) - told.parts - told.failed
        self._log.end(
            order.request_id,
            _request_log.Trail(told.began_ms),
            not silent and not told.failed,
            event='order ended',
            targets=len(order.items),
            parts=told.parts,
            failed=told.failed,
            silent=silent,
            late=told.late,
            gather_ms=round(order.gather_ms, 1),
        )

    async def _ask(
        self,
        request: protocol.ForwardRequest,
        item: protocol.OrderedItem,
        left_ms: float,
        events: asyncio.Queue[_Event],
    ) -> None:
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
        asked = await self._target_client.send(request, item.target, left_ms)
        took_ms = self._clock.now_ms() - sent_ms
        if asked.status is protocol.SubStatus.ANSWERED:
            assert asked.reply is not None
            receipt = asked.reply.receipt or ''
            body = asked.reply.reply.body
            events.put_nowait(
                _report_batcher.Part(item.number, receipt, took_ms, body)
            )
            return
        events.put_nowait(
            protocol.EndedItem(
                item.number,
                asked.status,
                round(took_ms * 1000.0),
                asked.detail,
            )
        )
        # Not in this task, which ends with the order.
        background.start(
            self._target_client.look_for_crash(request, item.target, asked),
            'look for a crash',
        )


@dataclasses.dataclass(slots=True)
class _Told:
    """What was reported of an order."""

    began_ms: float
    parts: int = 0
    failed: int = 0
    late: bool = False

    def add(self, report: protocol.MergeReport) -> None:
        self.parts += len(report.merged)
        self.failed += len(report.ended)
        self.late = self.late or report.is_late


def _take(
    batcher: _report_batcher.ReportBatcher, event: _End | _Gathered
) -> protocol.MergeReport | None:
    """Give an event to the batcher; return what is to be reported."""
    if isinstance(event, _Gathered):
        return batcher.on_gather_timeout()
    if isinstance(event, protocol.EndedItem):
        return batcher.on_failure(event)
    return batcher.on_part(event)
