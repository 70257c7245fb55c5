"""An in-memory dispatcher with random behaviours for run orders."""

import random
import typing

from samphiredock import protocol
from samphiredock import timers
from standins import memory_peers


class MemoryDispatcher:
    """Handles each run order with a randomly drawn behaviour.

    ``behaviours`` holds the names to draw from.  The method of a behaviour
    is its name with a leading underscore and ``-`` replaced by ``_``.  A
    cancel is reported as done only while the order is queued, because only
    then it is certain that the order has not begun.

    Parameters
    ----------
    network
        The network that the dispatcher joins.
    name
        Its member name.
    clock
        Source of delays.
    randomness
        Source of behaviours and delays.
    on_execute
        Called with the order and its receipt when a target runs it.
    """

    BEHAVIOURS = (
        'answer', 'answer', 'answer', 'refuse', 'break', 'break-after',
        'silent', 'late', 'queue', 'frozen', 'unread',
    )  # fmt: skip

    def __init__(
        self,
        network: memory_peers.MemoryNetwork,
        name: str,
        clock: timers.Timers,
        randomness: random.Random,
        on_execute: typing.Callable[[protocol.RunOrder, str], None],
    ) -> None:
        self._endpoint = network.join(name)
        self._clock = clock
        self._random = randomness
        self._on_execute = on_execute
        self.executions = 0
        self._queued: dict[str, timers.TimerHandle] = {}
        self.behaviours: tuple[str, ...] = self.BEHAVIOURS
        self.orders: list[protocol.RunOrder] = []
        self.ignores_cancels = False
        self.queue_ms = 4_000.0
        self._endpoint.subscribe(protocol.RunOrder, self._on_order)
        self._endpoint.subscribe(protocol.CancelAttempts, self._on_cancel)

    def _on_order(self, sender: str, order: protocol.RunOrder) -> None:
        self.orders.append(order)
        behaviour = self._random.choice(self.behaviours)
        getattr(self, '_' + behaviour.replace('-', '_'))(sender, order)

    def _answer(self, sender: str, order: protocol.RunOrder) -> None:
        self._clock.after(
            self._random.uniform(1, 40), lambda: self._run(sender, order)
        )

    def _refuse(self, sender: str, order: protocol.RunOrder) -> None:
        self.report(sender, order, protocol.SubStatus.SHED)

    def _break(self, sender: str, order: protocol.RunOrder) -> None:
        self.report(sender, order, protocol.SubStatus.BROKEN)

    def _break_after(self, sender: str, order: protocol.RunOrder) -> None:
        self.execute(order)
        self.report(sender, order, protocol.SubStatus.BROKEN)

    def _silent(self, sender: str, order: protocol.RunOrder) -> None:
        self.execute(order)

    def _late(self, sender: str, order: protocol.RunOrder) -> None:
        receipt = self.execute(order)
        self._clock.after(
            self._random.uniform(500, 4_000),
            lambda: self.answer(sender, order, receipt),
        )

    def _queue(self, sender: str, order: protocol.RunOrder) -> None:
        def leave_queue() -> None:
            del self._queued[order.attempt_id]
            self._run(sender, order)

        self._queued[order.attempt_id] = self._clock.after(
            self._random.uniform(50, self.queue_ms),
            leave_queue,
        )

    def _frozen(self, sender: str, order: protocol.RunOrder) -> None:
        self._clock.after(
            self._random.uniform(500, 6_000),
            lambda: self._run(sender, order),
        )

    def _lose_target(self, sender: str, order: protocol.RunOrder) -> None:
        self.report(sender, order, protocol.SubStatus.BROKEN, True)

    def _unread(self, sender: str, order: protocol.RunOrder) -> None:
        """Lose the order, as if the dispatcher died before reading it."""

    def _on_cancel(self, sender: str, cancel: protocol.CancelAttempts) -> None:
        if self.ignores_cancels:
            return
        for order in self.orders:
            waiting = self._queued.get(order.attempt_id)
            if order.attempt_id in cancel.attempt_ids and waiting:
                waiting.cancel()
                del self._queued[order.attempt_id]
                self.report(sender, order, protocol.SubStatus.CANCELLED)

    def _run(self, sender: str, order: protocol.RunOrder) -> None:
        self.answer(sender, order, self.execute(order))

    def execute(self, order: protocol.RunOrder) -> str:
        """Run the order at its target; return the receipt."""
        self.executions += 1
        receipt = f'{self._endpoint.name}-{self.executions}'
        self._on_execute(order, receipt)
        return receipt

    def answer(
        self, sender: str, order: protocol.RunOrder, receipt: str
    ) -> None:
        """Report that the target ran the order."""
        self._endpoint.send(
            sender,
            protocol.RunReport(
                order.attempt_id,
                order.target,
                protocol.SubStatus.ANSWERED,
                True,
                {'receipt': receipt},
            ),
        )

    def report(
        self,
        sender: str,
        order: protocol.RunOrder,
        status: protocol.SubStatus,
        target_lost: bool = False,
    ) -> None:
        """Report that the order ended without an answer."""
        self._endpoint.send(
            sender,
            protocol.RunReport(
                order.attempt_id,
                order.target,
                status,
                target_lost=target_lost,
            ),
        )
