"""Carries out a scatter's decisions and returns the results to it."""

import asyncio
import math

import msgspec

from samphiredock.coordination.forwarding import _order_client
from samphiredock.coordination.forwarding import _order_tracker
from samphiredock.coordination.forwarding import _pending_requests
from samphiredock.coordination.forwarding import _target_client
from samphiredock.coordination.search import _arrival
from samphiredock.coordination.search import _scatter_types
from samphiredock.coordination.targets import _replica_selector
from samphiredock import protocol
from samphiredock import timers

_Status = protocol.SubStatus

_BROKEN_STATUSES = frozenset({_Status.BROKEN, _Status.ORDER_LOST})
"""Results of attempts whose target may have been lost."""


class AttemptSender:
    """Sends the attempts of pending requests and handles their results.

    Parameters
    ----------
    target_client
        Sends to one target.
    order_client
        Sends merge orders to daemons of other sites; None to ask every
        target directly.
    replicas
        The observed load of the targets.
    clock
        The timers of this daemon.
    """

    def __init__(
        self,
        target_client: _target_client.TargetClient,
        order_client: _order_client.OrderClient | None,
        replicas: _replica_selector.ReplicaSelector,
        clock: timers.Timers,
    ) -> None:
        self._target_client = target_client
        self._order_client = order_client
        self._replicas = replicas
        self._clock = clock
        self._order_tracker = _order_tracker.OrderTracker(
            target_client,
            order_client,
            clock,
            self._on_results,
            self._hedge_late,
            self._hedge_silent,
        )

    def apply(
        self,
        pending: _pending_requests.PendingRequest,
        effects: list[_scatter_types.Effect],
    ) -> None:
        """Carry out the effects that a scatter returned, and set its timer."""
        for effect in effects:
            if isinstance(effect, _scatter_types.SendAttempts):
                self._send(pending, effect)
            elif isinstance(effect, _scatter_types.DropAttempts):
                for attempt_id in effect.attempt_ids:
                    self._drop(pending, attempt_id)
            elif not pending.done.done():
                pending.done.set_result(effect)
        if not pending.done.done():
            self._set_timer(pending)

    def finish_now(self, pending: _pending_requests.PendingRequest) -> None:
        """End a request with the outcome that is known now.

        Attempts still waiting for a connection are cancelled: no target has
        seen them, so they count as not run.
        """
        unsent = {
            attempt_id: exchange
            for attempt_id, exchange in pending.exchanges.items()
            if not exchange.is_sent
        }
        for exchange in unsent.values():
            if exchange.task is not None:
                exchange.task.cancel()
        now_ms = self._clock.now_ms()
        self.apply(pending, pending.scatter.finish_now(now_ms, unsent))

    def cancel(self, pending: _pending_requests.PendingRequest) -> None:
        """Cancel the exchanges and orders of a request that nobody needs."""
        for exchange in pending.exchanges.values():
            if exchange.task is not None:
                exchange.task.cancel()
        for sent_order in pending.sent_orders.values():
            if sent_order.task is not None:
                sent_order.task.cancel()

    def _set_timer(self, pending: _pending_requests.PendingRequest) -> None:
        """Keep one timer for a request, at the scatter's next due time."""
        due_ms = pending.scatter.next_due_ms()
        if due_ms >= pending.timer_due_ms:
            return
        if pending.timer is not None:
            pending.timer.cancel()
        pending.timer_due_ms = due_ms
        pending.timer = self._clock.after(
            due_ms - self._clock.now_ms(), lambda: self._on_timer(pending)
        )

    def _on_timer(self, pending: _pending_requests.PendingRequest) -> None:
        pending.timer = None
        pending.timer_due_ms = math.inf
        if not pending.done.done():
            now_ms = self._clock.now_ms()
            self.apply(pending, pending.scatter.on_tick(now_ms))

    # Sending.

    def _send(
        self,
        pending: _pending_requests.PendingRequest,
        effect: _scatter_types.SendAttempts,
    ) -> None:
        """Send attempts to their targets or as an order to their dispatcher.

        The dispatcher is the target itself or the merger of its site.  A hedge
        or retry is sent directly if the merger already has an order for the
        shard.
        """
        are_first = [
            self._record_sent(pending, item, effect.dispatcher)
            for item in effect.items
        ]
        merger = effect.dispatcher
        if (
            self._order_client is None
            or merger is None
            or pending.assignments is None
        ):
            merger = None
        ordered = []
        for item, is_first in zip(effect.items, are_first):
            if merger is None or merger == item.target:
                self._send_directly(pending, item)
            elif is_first or not _was_ordered(pending, item.shard_id, merger):
                ordered.append(item)
            else:
                self._send_directly(pending, item)
        if ordered and merger is not None:
            is_gathering = all(are_first)
            self._order_tracker.send(pending, merger, ordered, is_gathering)

    def _record_sent(
        self,
        pending: _pending_requests.PendingRequest,
        item: protocol.SubQuery,
        dispatcher: str | None,
    ) -> bool:
        """Trace an attempt; return whether it is the first for its shard."""
        is_first = item.shard_id not in pending.asked
        if not is_first:
            send_by_ms = self._clock.now_ms() + _arrival.SEND_WITHIN_MS
            pending.send_by_ms[item.shard_id] = send_by_ms
        why = 'first' if is_first else 'hedge' if item.hedge else 'retry'
        pending.asked.add(item.shard_id)
        pending.shard_of[item.attempt_id] = item.shard_id
        by = {} if dispatcher == item.target else {'by': dispatcher}
        pending.trace.add(
            self._clock.now_ms(),
            'sent',
            attempt=item.attempt_id,
            shard=item.shard_id,
            target=item.target,
            why=why,
            **by,
        )
        return is_first

    def _send_directly(
        self,
        pending: _pending_requests.PendingRequest,
        item: protocol.SubQuery,
    ) -> None:
        exchange = _pending_requests.Exchange(
            item.target, self._clock.now_ms()
        )
        exchange.task = asyncio.create_task(self._exchange(pending, item))
        pending.exchanges[item.attempt_id] = exchange
        exchange.task.add_done_callback(
            lambda task: self._on_exchange_done(pending, item.attempt_id)
        )

    def _on_exchange_done(
        self, pending: _pending_requests.PendingRequest, attempt_id: str
    ) -> None:
        """Record the time of a dropped exchange as load of its target.

        This includes one that was cut off: its duration is all that is
        observed of a silent target.
        """
        exchange = pending.exchanges.pop(attempt_id)
        if exchange.is_dropped:
            took_ms = self._clock.now_ms() - exchange.started_ms
            self._replicas.record_ended(exchange.target, took_ms)

    def _drop(
        self, pending: _pending_requests.PendingRequest, attempt_id: str
    ) -> None:
        exchange = pending.exchanges.get(attempt_id)
        if not pending.done.done():
            # The log tells an attempt that only waited for a connection from
            # one that a target was slow to answer.
            waited = exchange is not None and not exchange.is_sent
            fields = {'no_connection': True} if waited else {}
            pending.trace.add(
                self._clock.now_ms(),
                'not needed',
                attempt=attempt_id,
                **fields,
            )
        if attempt_id in pending.sent_orders:
            self._order_tracker.drop(pending, attempt_id)
            return
        if exchange is None or exchange.task is None:
            return
        exchange.is_dropped = True
        self._replicas.keep_in_flight(exchange.target, exchange.started_ms)
        self._clock.after(
            _pending_requests.LOSER_GRACE_MS, exchange.task.cancel
        )

    # Exchanges with targets.

    async def _exchange(
        self,
        pending: _pending_requests.PendingRequest,
        item: protocol.SubQuery,
    ) -> None:
        exchange = pending.exchanges[item.attempt_id]
        request = pending.plan.request
        left_ms = pending.plan.scatter.deadline_at_ms - self._clock.now_ms()
        exchange_result = await self._target_client.send(
            request,
            item.target,
            left_ms,
            pending.plan.route.repeatable,
            item.hedge,
            lambda: self._may_send(pending, item, exchange),
            exchange.mark_sent,
        )
        reply = exchange_result.reply
        if reply is not None and exchange_result.status is _Status.ANSWERED:
            pending.replies[item.attempt_id] = reply
            pending.parts.add(
                item.shard_id, reply.receipt or '', reply.reply.body
            )
        elif reply is not None and reply.is_forwardable:
            pending.failure = reply
        self._on_result(
            pending, item, exchange_result.status, exchange_result.detail
        )
        await self._target_client.look_for_crash(
            request, item.target, exchange_result
        )

    def _may_send(
        self,
        pending: _pending_requests.PendingRequest,
        item: protocol.SubQuery,
        exchange: _pending_requests.Exchange,
    ) -> bool:
        """Return whether an attempt that waits may still be written.

        Once a shard has extra attempts, all of them must arrive while their
        charges last.
        """
        now_ms = self._clock.now_ms()
        send_by_ms = pending.send_by_ms.get(item.shard_id, math.inf)
        return (
            not exchange.is_dropped
            and now_ms <= send_by_ms
            and now_ms <= pending.plan.scatter.deadline_at_ms
        )

    # Results.

    def _on_result(
        self,
        pending: _pending_requests.PendingRequest,
        item: protocol.SubQuery,
        status: protocol.SubStatus,
        detail: str,
    ) -> None:
        answer = _pending_requests.make_sub_answer(item, status, detail=detail)
        self._on_results(pending, [answer])

    def _hedge_late(
        self, pending: _pending_requests.PendingRequest, attempt_ids: list[str]
    ) -> None:
        """Hedge attempts that a merger reports as late."""
        if not pending.done.done():
            now_ms = self._clock.now_ms()
            effects = pending.scatter.on_late(attempt_ids, now_ms)
            self.apply(pending, effects)

    def _hedge_silent(
        self, pending: _pending_requests.PendingRequest, attempt_ids: list[str]
    ) -> None:
        """Hedge attempts ordered from a merger that has not reported."""
        now_ms = self._clock.now_ms()
        effects = pending.scatter.on_silent(attempt_ids, now_ms)
        self.apply(pending, effects)

    def _on_results(
        self,
        pending: _pending_requests.PendingRequest,
        results: list[protocol.SubAnswer],
    ) -> None:
        """Pass results to the scatter, with the key ranges answered."""
        if pending.done.done() or not results:
            return
        now_ms = self._clock.now_ms()
        answers = []
        for answer in results:
            shard = pending.shard_of[answer.attempt_id]
            ranges = []
            if answer.status is _Status.ANSWERED:
                pending.answered.add(shard)
                ranges = [pending.plan.key_ranges[shard]]
            else:
                if answer.status in _BROKEN_STATUSES:
                    pending.may_have_lost_target = True
                pending.trace.add(
                    now_ms,
                    'failed',
                    attempt=answer.attempt_id,
                    shard=shard,
                    target=answer.target,
                    status=answer.status.value,
                    why=answer.detail,
                )
            answers.append(msgspec.structs.replace(answer, ranges=ranges))
        self.apply(pending, pending.scatter.on_answers(answers, now_ms))


def _was_ordered(
    pending: _pending_requests.PendingRequest, shard: str, merger: str
) -> bool:
    """Whether a merger already has an order for a target of this shard.

    If that merger hangs, a hedge through it would hang as well.
    """
    return any(
        pending.shard_of[attempt_id] == shard
        for attempt_id, sent_order in pending.sent_orders.items()
        if sent_order.merger == merger
    )
