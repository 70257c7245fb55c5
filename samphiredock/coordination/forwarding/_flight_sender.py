"""Carry out what a scatter decides, and give it back what comes of it."""

import asyncio
import math

import msgspec

from samphiredock.coordination.forwarding import _asking
from samphiredock.coordination.forwarding import _flights
from samphiredock.coordination.forwarding import _order_flights
from samphiredock.coordination.forwarding import _orders
from samphiredock.coordination.search import _scatter_types
from samphiredock.coordination.targets import _replica_selector
from samphiredock import protocol
from samphiredock import timers

_Status = protocol.SubStatus


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
        replicas: _replica_selector.ReplicaSelector,
        clock: timers.Timers,
    ) -> None:
        self._asker = asker
        self._orders = orders
        self._replicas = replicas
        self._clock = clock
        self._order_flights = _order_flights.OrderFlights(
            asker,
            orders,
            clock,
            self._take,
            self._hedge_late,
            self._hedge_silent,
        )

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

    def give_up(self, flight: _flights.Flight) -> None:
        """Have a flight end with what is known now.

        What still waits for a connection is taken back: its target has not
        seen it, and its caller can be told so.
        """
        unsent = {
            attempt_id: exchange
            for attempt_id, exchange in flight.exchanges.items()
            if not exchange.has_gone_out
        }
        for exchange in unsent.values():
            if exchange.task is not None:
                exchange.task.cancel()
        now_ms = self._clock.now_ms()
        self.carry_out(flight, flight.scatter.finish_now(now_ms, unsent))

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
        ordered = []
        for item, is_first in zip(effect.items, are_first):
            if merger is None or merger == item.target:
                self._send_alone(flight, item)
            elif is_first or not _has_order(flight, item.shard_id, merger):
                ordered.append(item)
            else:
                self._send_alone(flight, item)
        if ordered and merger is not None:
            gathers = all(are_first)
            self._order_flights.send(flight, merger, ordered, gathers)

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
            self._replicas.record_ended(exchange.target, took_ms)

    def _drop(self, flight: _flights.Flight, attempt_id: str) -> None:
        exchange = flight.exchanges.get(attempt_id)
        if not flight.done.done():
            # An attempt that only waited for a connection was seen by no
            # target, however long it took.
            waited = exchange is not None and not exchange.has_gone_out
            facts = {'no_connection': True} if waited else {}
            flight.trail.note(
                self._clock.now_ms(), 'not needed', attempt=attempt_id, **facts
            )
        if attempt_id in flight.orders:
            self._order_flights.drop(flight, attempt_id)
            return
        if exchange is None or exchange.task is None:
            return
        exchange.lingers = True
        self._replicas.keep_in_flight(exchange.target, exchange.sent_ms)
        self._clock.after(_flights.LOSER_GRACE_MS, exchange.task.cancel)

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
            exchange.go_out,
        )
        reply = asked.reply
        if reply is not None and asked.status is _Status.ANSWERED:
            flight.replies[item.attempt_id] = reply
            flight.parts.add(
                item.shard_id, reply.receipt or '', reply.reply.body
            )
        elif reply is not None and reply.is_forwardable:
            flight.failure = reply
        self._ended(flight, item, asked.status, asked.detail)
        await self._asker.look_for_crash(request, item.target, asked)

    # Back to the scatter.

    def _ended(
        self,
        flight: _flights.Flight,
        item: protocol.SubQuery,
        status: protocol.SubStatus,
        detail: str,
    ) -> None:
        answer = _flights.answer_to(item, status, detail=detail)
        self._take(flight, [answer])

    def _hedge_late(
        self, flight: _flights.Flight, attempt_ids: list[str]
    ) -> None:
        """Hedge what another daemon says is late."""
        if not flight.done.done():
            now_ms = self._clock.now_ms()
            effects = flight.scatter.on_late(attempt_ids, now_ms)
            self.carry_out(flight, effects)

    def _hedge_silent(
        self, flight: _flights.Flight, attempt_ids: list[str]
    ) -> None:
        """Hedge what a daemon was to ask that is silent itself."""
        now_ms = self._clock.now_ms()
        effects = flight.scatter.on_silent(attempt_ids, now_ms)
        self.carry_out(flight, effects)

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


def _has_order(flight: _flights.Flight, shard: str, merger: str) -> bool:
    """Whether a daemon has been ordered to ask a target of a shard before.

    It may be frozen, and a hedge through it would hang as well.
    """
    return any(
        flight.shard_of[attempt_id] == shard
        for attempt_id, out in flight.orders.items()
        if out.merger == merger
    )
