"""Merge orders on both sides, with their events in a random order.

The mergers' report batchers, the coordinator's order tracker and its collected
parts are real; the test draws when each part comes, is late or fails, which
attempts are hedged, and when each report arrives.
"""

import asyncio
import os
import random
import typing
import unittest

from samphiredock import protocol
from samphiredock import state
from standins import memory_tracker

SEED = int(os.environ.get('SAMPHIREDOCK_SEED', '20261202'))
SCHEDULES = int(os.environ.get('SAMPHIREDOCK_SCHEDULES', '2000'))
"""Searches for each number of records; raise it for a long run by hand."""

_Event = typing.Callable[[], None]


def records_in(bodies: typing.Iterable[bytes]) -> list[bytes]:
    """Return the records of some parts, greatest first."""
    size = state.RECORD_BYTES
    records = [
        body[at : at + size]
        for body in bodies
        for at in range(0, len(body), size)
    ]
    return sorted(records, reverse=True)


class _Schedule:
    """One search; each event and each record is drawn from a seed."""

    def __init__(self, seed: int, top: int) -> None:
        self._rng = random.Random(seed)
        self._top = top
        self._bodies: dict[str, bytes] = {}
        self._harness = memory_tracker.TrackerHarness(
            self._rng.randrange(2, 9), top, self._ask_again, self._hedge_some
        )
        self._direct: list[protocol.SubQuery] = []
        self._failure_share = self._rng.choice((0.0, 0.1, 0.3))
        self._hedge_share = self._rng.choice((0.3, 0.9))
        self._loses_mergers = self._rng.random() < 0.2
        self.is_wrong = False

    async def run(self) -> None:
        """Play the search until nothing more can happen."""
        ordered = []
        for shard in self._harness.shards:
            is_far = self._rng.random() < 0.9
            asked = ordered if is_far else self._direct
            asked.append(self._harness.next_attempt(shard))
        if ordered:
            self._harness.order(ordered, True)
        await asyncio.sleep(0)
        while events := self._events():
            self._rng.choice(events)()
            await asyncio.sleep(0)
            self._check()
        self._harness.close()

    def _events(self) -> list[_Event]:
        """Return what may happen next."""
        events: list[_Event] = [self._end_direct] * len(self._direct)
        for order in self._harness.orders:
            events += self._events_of(order)
        if events and self._rng.random() < 0.1:
            events.append(self._hedge_any)
        return events

    def _events_of(self, order: memory_tracker.MergerSide) -> list[_Event]:
        events: list[_Event] = []
        if order.open:
            events += [lambda: self._end_ordered(order)] * 2
        if order.open and order.gathers:
            events.append(order.end_gathering)
        if order.on_the_way:
            events += [order.deliver] * 2
        is_open = bool(order.open or order.on_the_way)
        if is_open and self._loses_mergers and self._rng.random() < 0.1:
            events.append(order.lose)
        return events

    def _check(self) -> None:
        """Compare the answer with its parts, as if it were given now."""
        receipts = self._harness.parts.receipts()
        greatest = records_in(map(self._bodies.__getitem__, receipts))
        shards = {receipt.partition('-')[0] for receipt in receipts}
        body = self._harness.parts.body()
        self.is_wrong |= body != b''.join(greatest[: self._top])
        self.is_wrong |= len(shards) < len(receipts)

    def _end_direct(self) -> None:
        item = self._direct.pop(self._rng.randrange(len(self._direct)))
        if self._rng.random() < self._failure_share:
            self._ask_again([item.shard_id])
        else:
            body = self._draw_records(item.target)
            self._harness.parts.add(item.shard_id, item.target, body)

    def _end_ordered(self, order: memory_tracker.MergerSide) -> None:
        item = self._rng.choice(order.open)
        if self._rng.random() < self._failure_share:
            order.fail(item)
        else:
            order.answer(item, self._draw_records(item.target))

    def _hedge_any(self) -> None:
        self._ask_again([self._rng.choice(self._harness.shards)])

    def _hedge_some(self, late: list[str]) -> None:
        self._ask_again(
            [row for row in late if self._rng.random() < self._hedge_share]
        )

    def _ask_again(self, shards: list[str]) -> None:
        """Ask another target of each shard, directly or by one more order."""
        items = [
            self._harness.next_attempt(shard)
            for shard in shards
            if self._harness.unasked[shard]
        ]
        if items and self._rng.random() < 0.4:
            self._harness.order(items, False)
        else:
            self._direct += items

    def _draw_records(self, target: str) -> bytes:
        """Draw the records of a target, which no other target has."""
        self._bodies[target] = b''.join(
            f'{self._rng.randrange(1_000):>{state.RECORD_BYTES}}'.encode()
            for _ in range(self._rng.randrange(2 * self._top + 1))
        )
        return self._bodies[target]


class OrderSchedulesTest(unittest.IsolatedAsyncioTestCase):
    """An answer holds the greatest records of the parts that it names."""

    async def _check(self, top: int) -> None:
        # The debug mode takes most of the time.
        asyncio.get_running_loop().set_debug(False)
        wrong = []
        for seed in range(SEED, SEED + SCHEDULES):
            schedule = _Schedule(seed, top)
            await schedule.run()
            if schedule.is_wrong:
                wrong.append(seed)
        self.assertEqual([], wrong, f'{len(wrong)} of {SCHEDULES} wrong')

    async def test_one_record(self) -> None:
        """A merger cut the best record by one that the answer lacked."""
        await self._check(1)

    async def test_five_records(self) -> None:
        """A merger cut late records by some that the answer lacked."""
        await self._check(5)

    async def test_fifty_records(self) -> None:
        """A merger cut late records by some that the answer lacked."""
        await self._check(50)
