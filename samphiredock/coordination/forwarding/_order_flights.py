"""Orders of flights: what is sent, and what their reports bring."""

import asyncio
import typing

from samphiredock.coordination.forwarding import _asking
from samphiredock.coordination.forwarding import _flights
from samphiredock.coordination.forwarding import _orders
from samphiredock import logs
from samphiredock import protocol
from samphiredock import timers

REPORT_WAY_MS = 5.0
"""What the first report of an order takes to its search, when an answer is
due: 1.4 ms between sites and two busy loops."""

GIVE_UP_MS = 15.0
"""How much later than due a first report may come before its daemon is given
up for the search and its shards are hedged by another way: 3 ms between sites
there and back, 3 to 4 ms to send 20 requests and merge as many parts, the same
for another search that came first.  With 5 to 8 ms five in 24 orders of a calm
day were taken for lost (log of one daemon, 12 s).  A daemon that died with an
order costs its search this wait and a hedge."""

_LEAST_GATHER_MS = 1.0

SETTLED_MS = 1.0
"""Between giving a silent daemon up and hedging its shards: others that are
silent as well are given up by then, and the hedges go through none of them."""

_Status = protocol.SubStatus

_log = logs.logger('orders')


class OrderFlights:
    """Sends the orders of flights, and takes their reports in.

    Parameters
    ----------
    asker
        Keeps the records of targets, also of those that others ask.
    orders
        Sends one order; None: none is ever sent.
    clock
        The timers of this daemon.
    take
        Takes the ends of a flight's attempts.
    on_late
        Takes attempts that are late where they were asked.
    on_silent
        Takes attempts of a daemon that has reported nothing in time.
    """

    def __init__(
        self,
        asker: _asking.TargetAsker,
        orders: _orders.Orders | None,
        clock: timers.Timers,
        take: typing.Callable[
            [_flights.Flight, list[protocol.SubAnswer]], None
        ],
        on_late: typing.Callable[[_flights.Flight, list[str]], None],
        on_silent: typing.Callable[[_flights.Flight, list[str]], None],
    ) -> None:
        self._asker = asker
        self._orders = orders
        self._clock = clock
        self._take = take
        self._on_late = on_late
        self._on_silent = on_silent

    def send(
        self,
        flight: _flights.Flight,
        merger: str,
        items: list[protocol.SubQuery],
        gathers: bool,
    ) -> None:
        """Have a daemon ask these targets; ``gathers`` for first attempts.

        Only those may come back merged: see :class:`Gathering`.
        """
        waiting = {_number_of(item.attempt_id): item for item in items}
        out = _flights.OrderOut(merger, waiting, gathers)
        if gathers:
            flight.parts.expect_merged(item.shard_id for item in items)
        for item in items:
            flight.orders[item.attempt_id] = out
        order = self._order(flight, items, gathers)
        out.task = asyncio.create_task(self._run_order(flight, out, order))
        if gathers:
            self._clock.after(
                order.gather_ms + GIVE_UP_MS,
                lambda: self._check_order(flight, out),
            )

    def _check_order(
        self, flight: _flights.Flight, out: _flights.OrderOut
    ) -> None:
        """Expect nothing of a daemon that has reported nothing in time.

        It may be frozen.  Hedges that went through it would hang as well.
        """
        if out.has_reported or flight.done.done() or flight.ways is None:
            return
        flight.ways.give_up(out.merger)
        assert self._orders is not None
        self._orders.is_late(out.merger)
        flight.trail.note(self._clock.now_ms(), 'order late', by=out.merger)
        self._clock.after(SETTLED_MS, lambda: self._hedge_silent(flight, out))

    def _hedge_silent(
        self, flight: _flights.Flight, out: _flights.OrderOut
    ) -> None:
        if not out.has_reported and not flight.done.done():
            silent = [item.attempt_id for item in out.waiting.values()]
            self._on_silent(flight, silent)

    def _order(
        self,
        flight: _flights.Flight,
        items: list[protocol.SubQuery],
        gathers: bool,
    ) -> protocol.MergeOrder:
        now_ms = self._clock.now_ms()
        plan = flight.plan
        gather_ms = 0.0
        if gathers:
            left_ms = plan.scatter.answer_by_ms - now_ms - REPORT_WAY_MS
            gather_ms = min(flight.scatter.gather_ms(), left_ms)
            gather_ms = max(gather_ms, _LEAST_GATHER_MS)
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
            flight.parts.floor(),
            tuple(
                protocol.OrderedItem(
                    _number_of(item.attempt_id), item.shard_id, item.target
                )
                for item in items
            ),
        )

    async def _run_order(
        self,
        flight: _flights.Flight,
        out: _flights.OrderOut,
        order: protocol.MergeOrder,
    ) -> None:
        assert self._orders is not None and flight.ways is not None
        status = await self._orders.send(
            out.merger,
            order,
            lambda report: self._take_report(flight, out, report),
        )
        if out.waiting:
            self._lose(flight, out, status)

    def _lose(
        self,
        flight: _flights.Flight,
        out: _flights.OrderOut,
        status: protocol.SubStatus,
    ) -> None:
        """Expect nothing more of an order."""
        assert flight.ways is not None
        flight.ways.give_up(out.merger)
        items = list(out.waiting.values())
        out.waiting.clear()
        flight.parts.expect_no_merged(item.shard_id for item in items)
        why = f'order to {out.merger}'
        self._take(
            flight,
            [_flights.answer_to(item, status, detail=why) for item in items],
        )

    def _take_report(
        self,
        flight: _flights.Flight,
        out: _flights.OrderOut,
        report: protocol.MergeReport,
    ) -> None:
        if out.is_broken or flight.done.done():
            return
        out.has_reported = True
        numbers = [row.number for row in (*report.merged, *report.ended)]
        unknown = set(numbers) - set(out.waiting)
        if unknown or len(set(numbers)) < len(numbers):
            # Records of an attempt that was not ordered, or was reported
            # before, cannot be taken out of the merged part, and later
            # reports build on it.
            out.is_broken = True
            _log.error('report', daemon=out.merger, unknown=sorted(unknown))
            self._lose(flight, out, _Status.ORDER_LOST)
            return
        answers = [
            *self._take_merged(flight, out, report),
            *self._take_ended(flight, out, report),
        ]
        self._take(flight, answers)
        if report.is_late:
            self._take_late(flight, out)

    def _take_merged(
        self,
        flight: _flights.Flight,
        out: _flights.OrderOut,
        report: protocol.MergeReport,
    ) -> list[protocol.SubAnswer]:
        """Keep what a report brings; return the ends of its attempts."""
        items = [out.waiting.pop(row.number) for row in report.merged]
        receipts = {
            item.shard_id: row.receipt
            for item, row in zip(items, report.merged)
        }
        if items and out.gathers:
            out.gathers = False
            flight.parts.add_merged(receipts, report.records)
            flight.parts.expect_no_merged(
                item.shard_id for item in out.waiting.values()
            )
        else:
            for shard, receipt in receipts.items():
                flight.parts.add(shard, receipt, report.records)
        return [
            self._observed(item, _Status.ANSWERED, row.took_us)
            for item, row in zip(items, report.merged)
        ]

    def _take_ended(
        self,
        flight: _flights.Flight,
        out: _flights.OrderOut,
        report: protocol.MergeReport,
    ) -> list[protocol.SubAnswer]:
        assert flight.ways is not None
        items = [out.waiting.pop(row.number) for row in report.ended]
        for item, row in zip(items, report.ended):
            if row.status is _Status.NOT_ORDERED:
                flight.ways.ask_directly(item.target)
        flight.parts.expect_no_merged(item.shard_id for item in items)
        return [
            self._observed(item, row.status, row.took_us, row.detail)
            for item, row in zip(items, report.ended)
        ]

    def _take_late(
        self, flight: _flights.Flight, out: _flights.OrderOut
    ) -> None:
        """No merged part will come any more; hedge what is late."""
        out.gathers = False
        items = list(out.waiting.values())
        flight.parts.expect_no_merged(item.shard_id for item in items)
        self._on_late(flight, [item.attempt_id for item in items])

    def _observed(
        self,
        item: protocol.SubQuery,
        status: protocol.SubStatus,
        took_us: int,
        detail: str = '',
    ) -> protocol.SubAnswer:
        """Take what another daemon saw of a target into its record."""
        took_ms = took_us / 1000.0
        self._asker.observe(item.target, status, took_ms)
        return _flights.answer_to(item, status, took_ms, detail)

    def drop(self, flight: _flights.Flight, attempt_id: str) -> None:
        """End an order once none of its attempts is needed any more."""
        order = flight.orders[attempt_id]
        order.unwanted.add(_number_of(attempt_id))
        if order.task is not None and order.unwanted >= set(order.waiting):
            self._clock.after(_flights.LOSER_GRACE_MS, order.task.cancel)


def _number_of(attempt_id: str) -> int:
    """Return what tells an attempt apart within its search."""
    return int(attempt_id.rpartition('.')[2])
