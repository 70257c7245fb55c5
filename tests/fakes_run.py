"""Daemons' surroundings in one process: peers, dispatchers, frozen hosts."""

import asyncio
import random
import typing

import msgspec

from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport
from tests import history_runs

SERVICE = 'relief-payout'
OPERATION = 'release-payout'
TARGETS = ('desk-1', 'desk-2')
DEADLINE_MS = 2_000
_SETTLE_TURNS = 25


class SteppedTimers(timers.ManualTimers):
    """Manual timers that let the event loop settle after each of them."""

    async def settle(self) -> None:
        """Let every task run until it waits."""
        for _ in range(_SETTLE_TURNS):
            await asyncio.sleep(0)

    async def pass_ms(
        self,
        delta_ms: float,
        is_enough: typing.Callable[[], bool] = lambda: False,
    ) -> None:
        """Move the clock from one due timer to the next."""
        end_ms = self.now_ms() + delta_ms
        await self.settle()
        while self._heap and self._heap[0][0] <= end_ms:
            if is_enough():
                return
            is_live = self._heap[0][2].callback is not None
            self.advance(max(0.0, self._heap[0][0] - self.now_ms()))
            if is_live:
                await self.settle()
        if not is_enough():
            self.advance(end_ms - self.now_ms())


def start(work: typing.Coroutine) -> asyncio.Task:
    """Start work that needs the clock to move."""
    return asyncio.get_running_loop().create_task(work)


async def pause(clock: timers.Timers, delay_ms: float) -> None:
    """Wait until the clock has moved."""
    future = asyncio.get_running_loop().create_future()
    clock.after(delay_ms, lambda: future.done() or future.set_result(None))
    await future


class Gate:
    """A host that can be frozen or dead: nothing passes meanwhile."""

    def __init__(self) -> None:
        self.frozen = False
        self.dead = False
        self._held: list[typing.Callable[[], None]] = []

    def run(self, callback: typing.Callable[[], None]) -> None:
        """Call back now, when the host wakes, or never."""
        if self.dead:
            return
        if self.frozen:
            self._held.append(callback)
            return
        callback()

    async def passed(self) -> None:
        """Wait until the host runs."""
        if self.frozen or self.dead:
            future = asyncio.get_running_loop().create_future()
            self.run(lambda: future.done() or future.set_result(None))
            await future

    def wake(self, randomness: random.Random) -> None:
        """Run on; what was held comes in any order."""
        self.frozen = False
        held, self._held = self._held, []
        randomness.shuffle(held)
        for callback in held:
            callback()


class _GatedTimer:
    def __init__(self, callback: typing.Callable[[], None]) -> None:
        self._callback: typing.Callable[[], None] | None = callback

    def fire(self) -> None:
        if self._callback is not None:
            self._callback()

    def cancel(self) -> None:
        self._callback = None


class GatedTimers:
    """The timer service of a host that can freeze."""

    def __init__(self, clock: timers.Timers, gate: Gate) -> None:
        self._clock = clock
        self._gate = gate
        self.now_ms = clock.now_ms
        self.wall_ms = clock.wall_ms
        self.on_gap = clock.on_gap
        self.every = clock.every

    def after(
        self, delay_ms: float, callback: typing.Callable[[], None]
    ) -> timers.Subscription:
        """Call back once, while the host runs."""
        timer = _GatedTimer(callback)
        self._clock.after(delay_ms, lambda: self._gate.run(timer.fire))
        return timer


class GatedPlatform:
    """The platform as a host sees it that can freeze."""

    def __init__(self, inner: transport.Platform, gate: Gate) -> None:
        self._inner = inner
        self._gate = gate

    def __getattr__(self, name: str) -> typing.Any:
        """Return the platform's call, its answer held while frozen."""
        call = getattr(self._inner, name)

        async def gated(*arguments: typing.Any) -> typing.Any:
            reply = await call(*arguments)
            await self._gate.passed()
            return reply

        return gated


class Endpoint:
    """One member's side of the hub."""

    def __init__(self, hub: 'FakeHub', name: str, gate: Gate) -> None:
        self._hub = hub
        self.name = name
        self.gate = gate
        self.handlers: dict[type, list[transport.Handler]] = {}

    def send(self, member: str, message: msgspec.Struct) -> bool:
        """Queue a message."""
        return self._hub.send(self.name, member, message)

    def subscribe(self, kind: type, handler: transport.Handler) -> None:
        """Call the handler for each message of a type."""
        self.handlers.setdefault(kind, []).append(handler)


class FakeHub:
    """Carries messages with random delay and, by chance, loses some."""

    def __init__(
        self, clock: timers.Timers, randomness: random.Random
    ) -> None:
        self._clock = clock
        self._random = randomness
        self.loss = 0.0
        self.lost = 0
        self.observers: list[typing.Callable[[str, typing.Any], None]] = []
        self._endpoints: dict[str, Endpoint] = {}

    def join(self, name: str, gate: Gate) -> Endpoint:
        """Return a new life of a member."""
        self._endpoints[name] = Endpoint(self, name, gate)
        return self._endpoints[name]

    def send(self, sender: str, member: str, message: msgspec.Struct) -> bool:
        """Deliver later; False for a member never seen."""
        if member not in self._endpoints:
            return False
        for observe in self.observers:
            observe(sender, message)
        if self._random.random() < self.loss:
            self.lost += 1
            return True
        self._clock.after(
            self._random.uniform(0.1, 3.0),
            lambda: self._deliver(sender, member, message),
        )
        return True

    def _deliver(
        self, sender: str, member: str, message: msgspec.Struct
    ) -> None:
        endpoint = self._endpoints[member]
        for handler in endpoint.handlers.get(type(message), ()):
            endpoint.gate.run(lambda handler=handler: handler(sender, message))


class FakeDispatcher:
    """Runs orders as drawn: at once, late, not at all, without a report.

    ``behaviours`` are the ones to draw from.  A cancel proves that an
    order was not begun while it waits in the queue, and only then.
    """

    BEHAVIOURS = (
        'answer', 'answer', 'answer', 'refuse', 'break', 'break-after',
        'silent', 'late', 'queue', 'frozen', 'unread',
    )  # fmt: skip

    def __init__(
        self,
        hub: FakeHub,
        name: str,
        clock: timers.Timers,
        randomness: random.Random,
        history: list[history_runs.Event],
    ) -> None:
        self._endpoint = hub.join(name, Gate())
        self._clock = clock
        self._random = randomness
        self._history = history
        self._queued: dict[str, timers.Subscription] = {}
        self.behaviours: tuple[str, ...] = self.BEHAVIOURS
        self.orders: list[protocol.RunOrder] = []
        self.deaf_to_cancels = False
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
        """Lose the order, as a dispatcher that dies with it does."""

    def _on_cancel(self, sender: str, cancel: protocol.CancelAttempts) -> None:
        if self.deaf_to_cancels:
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
        """Run the order at its target."""
        receipt = f'receipt-{len(self._history)}'
        self._history.append(
            history_runs.Executed(
                order.idempotency_key, order.attempt_id, receipt
            )
        )
        return receipt

    def answer(
        self, sender: str, order: protocol.RunOrder, receipt: str
    ) -> None:
        """Report that the target ran it."""
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


class FakeView:
    """A daemon's knowledge: one operation, two targets, two dispatchers."""

    def __init__(self) -> None:
        operation = state.Operation(
            OPERATION, DEADLINE_MS, 'interactive', TARGETS
        )
        service = state.Service(
            SERVICE, {}, {OPERATION: operation}, 1.0, 1_000
        )
        self.configuration: state.Configuration | None = state.Configuration(
            1, {SERVICE: service}, {}, (), {}, state.Limits()
        )
        self.unusable: set[str] = set()

    def owner(self, target: str) -> str | None:
        """Return the dispatcher of a target."""
        return f'dispatcher-of-{target}'

    def is_usable(self, target: str) -> bool:
        """Whether a target may get work."""
        return target not in self.unusable
