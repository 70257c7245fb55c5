"""Carry out what a scatter decides, and give it back what comes of it."""

import asyncio
import math

import msgspec

from samphiredock.coordination.forwarding import _asking
from samphiredock.coordination.forwarding import _flights
from samphiredock.coordination.forwarding import _orders
from samphiredock.coordination.search import _scatter_types
from samphiredock.coordination.targets import _replicas
from samphiredock import logs
from samphiredock import protocol
from samphiredock import timers

LOSER_GRACE_MS = 150.0
"""How long an exchange that is not needed any more may still end by itself.
A target that pauses for 120 ms answers within it, and its connection stays
open; a new one would hold a slot of the target for 6 ms."""

REPORT_WAY_MS = 5.0
"""What the first report of an order takes to its search, when an answer is
due: 1.4 ms between sites and two busy loops."""

GIVE_UP_MS = 12.0
"""How much later than due a first report may come before its daemon is given
up for the search: a little before the shards of the order are hedged, so that
the hedges take another way."""

_LEAST_GATHER_MS = 1.0

_Status = protocol.SubStatus

_log = logs.logger('orders')


class FlightSender:
    """Sends the attempts of flights, and takes their ends in.

    Parameters
    ----------
    asker
        Asks one target.
    orders
        Asks the targets of another site; None: each is asked directly.
    replicas
        What was observed of the targets.
    clock
        The timers of this daemon.
    """

    def __init__(
        self,
        asker: _asking.TargetAsker,
        orders: _orders.Orders | None,
        replicas: _replicas.Replicas,
        clock: timers.Timers,
    ) -> None:
        self._asker = asker
        self._orders = orders
        self._replicas = replicas
        self._clock = clock

    def carry_out(
        self, flight: _flights.Flight, effects: list[_scatter_types.Effect]
    ) -> None:
        """Do what a scatter asks for, and arm its timer."""
        for effect in effects:
            if isinstance(effect, _scatter_types.SendAttempts):
                self._send(flight, effect)
            elif isinstance(effect, _scatter_types.DropAttempts):
                for attempt_id in effect.attempt_ids:
                    self._drop(flight, attempt_id)
            elif not flight.done.done():
                flight.done.set_result(effect)
        if not flight.done.done():
            self._arm(flight)

    def abandon(self, flight: _flights.Flight) -> None:
        """The caller has left: nobody wants what is under way."""
        for exchange in flight.exchanges.values():
            if exchange.task is not None:
                exchange.task.cancel()
        for out in flight.orders.values():
            if out.task is not None:
                out.task.cancel()

    def _arm(self, flight: _flights.Flight) -> None:
        """Keep one timer a request, at the next thing that falls due."""
        due_ms = flight.scatter.next_due_ms()
        if due_ms >= flight.armed_ms:
            return
        if flight.timer is not None:
            flight.timer.cancel()
        flight.armed_ms = due_ms
        flight.timer = self._clock.after(
            due_ms - self._clock.now_ms(), lambda: self._on_due(flight)
        )

    def _on_due(self, flight: _flights.Flight) -> None:
        flight.timer = None
        flight.armed_ms = math.inf
        if not flight.done.done():
            now_ms = self._clock.now_ms()
            self.carry_out(flight, flight.scatter.on_tick(now_ms))

    # Out.

    def _send(
        self, flight: _flights.Flight, effect: _scatter_types.SendAttempts
    ) -> None:
        are_first = [
            self._note_sent(flight, item, effect.dispatcher)
            for item in effect.items
        ]
        merger = effect.dispatcher
        if self._orders is None or merger is None or flight.ways is None:
            merger = None
        for item in effect.items:
            if merger is None or merger == item.target:
                self._send_alone(flight, item)
        if merger is not None and merger != effect.items[0].target:
            gathers = all(are_first)
            self._send_order(flight, merger, effect.items, gathers)

    def _note_sent(
        self,
        flight: _flights.Flight,
        item: protocol.SubQuery,
        dispatcher: str | None,
    ) -> bool:
        """Keep the decision; return whether it is the shard's first."""
        is_first = item.shard_id not in flight.asked
        why = 'first' if is_first else 'hedge' if item.hedge else 'retry'
        flight.asked.add(item.shard_id)
        flight.shard_of[item.attempt_id] = item.shard_id
        by = {} if dispatcher == item.target else {'by': dispatcher}
        flight.trail.note(
            self._clock.now_ms(),
            'sent',
            attempt=item.attempt_id,
            shard=item.shard_id,
            target=item.target,
            why=why,
            **by,
        )
        return is_first

    def _send_alone(
        self, flight: _flights.Flight, item: protocol.SubQuery
    ) -> None:
        exchange = _flights.Exchange(item.target, self._clock.now_ms())
        exchange.task = asyncio.create_task(self._exchange(flight, item))
        flight.exchanges[item.attempt_id] = exchange
        exchange.task.add_done_callback(
            lambda task: self._exchange_over(flight, item.attempt_id)
        )

    def _exchange_over(self, flight: _flights.Flight, attempt_id: str) -> None:
        """Also after a cut: its time is all that a silent target shows."""
        exchange = flight.exchanges.pop(attempt_id)
        if exchange.lingers:
            took_ms = self._clock.now_ms() - exchange.sent_ms
            self._replicas.ended(exchange.target, took_ms)

    def _drop(self, flight: _flights.Flight, attempt_id: str) -> None:
        if not flight.done.done():
            flight.trail.note(
                self._clock.now_ms(), 'not needed', attempt=attempt_id
            )
        if attempt_id in flight.orders:
            self._drop_ordered(flight, attempt_id)
            return
        exchange = flight.exchanges.get(attempt_id)
        if exchange is None or exchange.task is None:
            return
        exchange.lingers = True
        self._replicas.lingers(exchange.target, exchange.sent_ms)
        self._clock.after(LOSER_GRACE_MS, exchange.task.cancel)

    def _drop_ordered(self, flight: _flights.Flight, attempt_id: str) -> None:
        """End an order once none of its attempts is needed any more."""
        order = flight.orders[attempt_id]
        order.unwanted.add(_number_of(attempt_id))
        if order.task is not None and order.unwanted >= set(order.waiting):
            self._clock.after(LOSER_GRACE_MS, order.task.cancel)

    # A target that is asked from here.

    async def _exchange(
        self, flight: _flights.Flight, item: protocol.SubQuery
    ) -> None:
        exchange = flight.exchanges[item.attempt_id]
        request = flight.plan.request
        left_ms = flight.plan.scatter.deadline_at_ms - self._clock.now_ms()
        asked = await self._asker.ask(
            request,
            item.target,
            left_ms,
            flight.plan.route.repeatable,
            item.hedge,
            lambda: not exchange.lingers,
        )
        reply = asked.reply
        if reply is not None and asked.status is _Status.ANSWERED:
            flight.replies[item.attempt_id] = reply
            flight.parts.add(
                item.shard_id, reply.receipt or '', reply.reply.body
            )
        elif reply is not None and reply.may_be_passed:
            flight.failure = reply
        self._ended(flight, item, asked.status, asked.detail)
        await self._asker.look_for_crash(request, item.target, asked)

    # Targets that another daemon asks.

    def _send_order(
        self,
        flight: _flights.Flight,
        merger: str,
        items: list[protocol.SubQuery],
        gathers: bool,
    ) -> None:
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
            flight, [_answer_to(item, status, detail=why) for item in items]
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
        if not flight.done.done():
            late = [item.attempt_id for item in items]
            now_ms = self._clock.now_ms()
            self.carry_out(flight, flight.scatter.on_late(late, now_ms))

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
        return _answer_to(item, status, took_ms, detail)

    # Back to the scatter.

    def _ended(
        self,
        flight: _flights.Flight,
        item: protocol.SubQuery,
        status: protocol.SubStatus,
        detail: str,
    ) -> None:
        self._take(flight, [_answer_to(item, status, detail=detail)])

    def _take(
        self, flight: _flights.Flight, ends: list[protocol.SubAnswer]
    ) -> None:
        """Give ends to the scatter, with the ranges of sound answers."""
        if flight.done.done() or not ends:
            return
        now_ms = self._clock.now_ms()
        answers = []
        for end in ends:
            shard = flight.shard_of[end.attempt_id]
            ranges = []
            if end.status is _Status.ANSWERED:
                flight.answered.add(shard)
                ranges = [flight.plan.key_ranges[shard]]
            else:
                flight.trail.note(
                    now_ms,
                    'failed',
                    attempt=end.attempt_id,
                    shard=shard,
                    target=end.target,
                    status=end.status.value,
                    why=end.detail,
                )
            answers.append(msgspec.structs.replace(end, ranges=ranges))
        self.carry_out(flight, flight.scatter.on_answers(answers, now_ms))


def _number_of(attempt_id: str) -> int:
    """Return what tells an attempt apart within its search."""
    return int(attempt_id.rpartition('.')[2])


def _answer_to(
    item: protocol.SubQuery,
    status: protocol.SubStatus,
    took_ms: float = 0.0,
    detail: str = '',
) -> protocol.SubAnswer:
    return protocol.SubAnswer(
        item.attempt_id,
        item.target,
        status,
        item.snapshot_id,
        detail=detail,
        took_ms=took_ms,
    )
