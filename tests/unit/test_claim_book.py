"""Group commit of claims, and the store calls that it costs."""

import random
import unittest

from samphiredock.coordination import _claim_book
from samphiredock import metrics
from samphiredock import state
from tests import fakes_platform
from tests import fakes_run

_Fault = fakes_platform.Fault
_ISSUED_AT_MS = 1_700_000_000_000


class ClaimBookTest(unittest.IsolatedAsyncioTestCase):
    """One daemon's claims against the fake store."""

    def setUp(self) -> None:
        """Make a book."""
        self.clock = fakes_run.SteppedTimers()
        self.platform = fakes_platform.FakePlatform(
            self.clock, random.Random(1), 4.0
        )
        self.metrics = metrics.Metrics('test')
        self.book = _claim_book.ClaimBook(
            self.platform, self.clock, random.Random(2), self.metrics
        )

    async def open(self, number: int) -> _claim_book.OpenResult:
        """Open one claim."""
        return await self.book.open(
            state.place_of('invoices', f'key-{number}', _ISSUED_AT_MS),
            f'entry-1/1/{number}',
            'content',
            self.clock.now_ms() + 2_000,
        )

    async def open_and_close(self, count: int) -> list[float]:
        """Run claims from start to end; return gets and puts a request."""
        tasks = [fakes_run.start(self.open(row)) for row in range(count)]
        await self.clock.pass_ms(100)
        for number, task in enumerate(tasks):
            self.assertIs(state.Verdict.GRANTED, task.result().opened.verdict)
            self.book.close(
                state.place_of('invoices', f'key-{number}', _ISSUED_AT_MS),
                state.closed_claim(f'entry-1/1/{number}', 'content', True, {}),
            )
        await self.clock.pass_ms(100)
        self.assertEqual(0, self.book.unrecorded())
        calls = self.platform.calls
        return [calls['get'] / count, calls['put'] / count]

    async def test_calls_of_a_request_alone(self) -> None:
        """A claim costs a read and a write, its outcome a write."""
        self.assertEqual([1.0, 2.0], await self.open_and_close(1))

    async def test_calls_of_ten_at_once(self) -> None:
        """Some share a bucket and so a write."""
        gets, puts = await self.open_and_close(10)
        print(f'calls a request, 10 at once: {gets} gets, {puts} puts')
        self.assertLess(puts, 2.0)

    async def test_calls_of_a_hundred_at_once(self) -> None:
        """Each bucket takes two writes, whatever number of requests."""
        gets, puts = await self.open_and_close(100)
        print(f'calls a request, 100 at once: {gets} gets, {puts} puts')
        self.assertLessEqual(puts, 2 * state.BUCKETS_PER_SLICE / 100)

    async def test_lost_answers_are_read_back(self) -> None:
        """Each claim is granted with one effective write."""
        faults = (_Fault.LOST_AFTER, _Fault.LOST_BEFORE, _Fault.LATE)
        for number, fault in enumerate(faults):
            with self.subTest(fault):
                self.platform.script.append(fault)
                task = fakes_run.start(self.open(number))
                await self.clock.pass_ms(1_000)
                opened = task.result().opened
                self.assertIs(state.Verdict.GRANTED, opened.verdict)
        self.assertEqual(3, self.metrics.total('claim_answers_lost'))

    async def test_unreadable_bucket_is_not_overwritten(self) -> None:
        """A later version's bucket is refused, not taken for empty."""
        place = state.place_of('invoices', 'key-1', _ISSUED_AT_MS)
        await self.platform_put(place.path, b'{"format":2,"claims":{}}')
        task = fakes_run.start(self.open(1))
        await self.clock.pass_ms(100)
        ended = task.result()
        self.assertFalse(ended.may_be_stored)
        self.assertNotIsInstance(ended.opened, state.Opened)
        self.assertEqual(1, self.platform.objects[place.path].version)

    async def test_memory_does_not_grow_with_the_slices(self) -> None:
        """A writer goes when its bucket is idle."""
        await self.open_and_close(50)
        await self.clock.pass_ms(1_000)
        self.assertEqual({}, self.book._writers)

    async def platform_put(self, path: str, value: bytes) -> None:
        """Store an object."""
        put = fakes_run.start(self.platform.put(path, value, 0))
        await self.clock.pass_ms(10)
        put.result()
