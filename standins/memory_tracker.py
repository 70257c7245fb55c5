"""An order tracker whose mergers and results are played by a test."""

import asyncio
import collections
import typing

from samphiredock.coordination import forwarding
from samphiredock.coordination.forwarding import _merger_assignments
from samphiredock.coordination.forwarding import _order_tracker
from samphiredock.coordination.forwarding import _pending_requests
from samphiredock.coordination.forwarding import _report_batcher
from samphiredock.coordination.forwarding import _request_log
from samphiredock.coordination.forwarding import _route_plans
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers

TARGETS_OF_A_SHARD = 3
FAILED = protocol.SubStatus.SHED


class MergerSide:
    """An order at its merger: attempts under way, and reports on the way."""

    def __init__(
        self,
        order: protocol.MergeOrder,
        on_report: typing.Callable[[protocol.MergeReport], None],
    ) -> None:
        self.batcher = _report_batcher.ReportBatcher(order)
        self.open = list(order.items)
        self.gathers = order.gather_ms > 0.0
        self.on_the_way: collections.deque[protocol.MergeReport] = (
            collections.deque()
        )
        self.lost: asyncio.Future[protocol.SubStatus] = (
            asyncio.get_running_loop().create_future()
        )
        self._on_report = on_report

    def answer(self, item: protocol.OrderedItem, body: bytes) -> None:
        """End an attempt with a part, whose receipt is the target's name."""
        self.open.remove(item)
        part = _report_batcher.Part(item.number, item.target, 1.0, body)
        self._send(self.batcher.on_part(part))

    def fail(self, item: protocol.OrderedItem) -> None:
        """End an attempt without a part."""
        self.open.remove(item)
        ended = protocol.EndedItem(item.number, FAILED, 1_000)
        self._send(self.batcher.on_failure(ended))

    def end_gathering(self) -> None:
        """Let the gather time pass."""
        self.gathers = False
        self._send(self.batcher.on_gather_timeout())

    def deliver(self) -> None:
        """Let the oldest report arrive."""
        self._on_report(self.on_the_way.popleft())

    def lose(self) -> None:
        """Lose the merger, and the reports that are on the way."""
        self.open.clear()
        self.on_the_way.clear()
        self.lost.set_result(protocol.SubStatus.ORDER_LOST)

    def _send(self, report: protocol.MergeReport | None) -> None:
        if report is not None:
            self.on_the_way.append(report)


class _Mergers:
    """Takes the orders of a tracker; an ``OrderClient``."""

    def __init__(self) -> None:
        self.orders: list[MergerSide] = []

    async def send(
        self,
        merger: str,
        order: protocol.MergeOrder,
        on_report: typing.Callable[[protocol.MergeReport], None],
    ) -> protocol.SubStatus:
        """Take an order, which ends when the test loses its merger."""
        self.orders.append(MergerSide(order, on_report))
        return await self.orders[-1].lost


class _TargetHealth:
    """Takes what mergers have seen of targets; a ``TargetClient``."""

    def record_result(self, *seen: object) -> None:
        """Ignore a result."""


class _Gathering:
    """Says how long orders gather; a ``Scatter``."""

    def gather_ms(self) -> float:
        """Return a time that the test ends at any moment."""
        return 50.0


class TrackerHarness:
    """One search of an order tracker.

    The targets ``s<n>-0`` to ``s<n>-2`` belong to shard ``s<n>``.  Each
    attempt asks the next target of its shard.

    Parameters
    ----------
    shards
        Their number.
    top
        How many records the answer has.
    on_failed, on_late
        Called with the shards whose attempts have failed, and those whose
        attempts a merger reports as late.
    """

    def __init__(
        self,
        shards: int,
        top: int,
        on_failed: typing.Callable[[list[str]], None] = lambda failed: None,
        on_late: typing.Callable[[list[str]], None] = lambda late: None,
    ) -> None:
        self.shards = [f's{number}' for number in range(shards)]
        self.unasked = {
            shard: [f'{shard}-{at}' for at in range(TARGETS_OF_A_SHARD)]
            for shard in self.shards
        }
        self._on_failed = on_failed
        self._on_late = on_late
        self._attempts = 0
        self._clock = timers.ManualTimers()
        self._mergers = _Mergers()
        self._pending = self._make_pending(top)
        self.parts = self._pending.parts
        self._tracker = _order_tracker.OrderTracker(
            typing.cast(forwarding.TargetClient, _TargetHealth()),
            typing.cast(forwarding.OrderClient, self._mergers),
            self._clock,
            self._take_results,
            self._take_late,
            self._take_late,
        )

    @property
    def orders(self) -> list[MergerSide]:
        """The orders that mergers have received."""
        return self._mergers.orders

    def _make_pending(self, top: int) -> _pending_requests.PendingRequest:
        route = state.Route(
            'all', host='h', prefix='/', timeout_ms=600.0, aim_ms=100.0,
            repeatable=True, attempts=TARGETS_OF_A_SHARD,
            shards=tuple(self.shards), top=top, least_share=0.1,
        )  # fmt: skip
        plan = _route_plans.make_forward_plan(
            protocol.ForwardRequest('id', 'GET', 'h', '/', (), b'', 600.0),
            route, 1, route.shards, self.unasked, 'q', 'here',
            self._clock.now_ms(), 0.0, 30.0,
        )  # fmt: skip
        pending = _pending_requests.PendingRequest(
            plan,
            typing.cast(typing.Any, _Gathering()),
            asyncio.get_running_loop().create_future(),
            _request_log.RequestTrace(self._clock.now_ms()),
        )
        pending.assignments = _merger_assignments.MergerAssignments(
            forwarding.LiveTargets(self._clock), {}
        )
        return pending

    def next_attempt(self, shard: str) -> protocol.SubQuery:
        """Return an attempt at the next target of a shard."""
        self._attempts += 1
        return protocol.SubQuery(
            f'q.{self._attempts}',
            'all',
            1,
            1,
            shard,
            self.unasked[shard].pop(0),
        )

    def order(
        self, items: list[protocol.SubQuery], is_gathering: bool
    ) -> None:
        """Order attempts; :attr:`orders` has them after a loop turn."""
        merger = f'merger-{len(self.orders)}'
        self._tracker.send(self._pending, merger, items, is_gathering)

    def close(self) -> None:
        """End the orders that are still open."""
        for order in self.orders:
            order.lost.cancel()

    def _take_results(
        self,
        pending: _pending_requests.PendingRequest,
        answers: list[protocol.SubAnswer],
    ) -> None:
        failed = [
            answer.target.partition('-')[0]
            for answer in answers
            if answer.status is not protocol.SubStatus.ANSWERED
        ]
        self._on_failed(failed)

    def _take_late(
        self, pending: _pending_requests.PendingRequest, attempts: list[str]
    ) -> None:
        late = [
            item.shard_id
            for name in attempts
            for item in pending.sent_orders[name].waiting.values()
            if item.attempt_id == name
        ]
        self._on_late(late)
