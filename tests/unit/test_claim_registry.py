"""Claims are committed in batches, with few store calls."""

import asyncio
import random
import unittest
from unittest import mock

from samphiredock.coordination.once import _claim_registry
from samphiredock import metrics
from samphiredock import state
from samphiredock.state import _claims
from standins import memory_hosts
from standins import memory_platform

_Fault = memory_platform.Fault


def _claim(number: int) -> state.Claim:
    return state.Claim(
        f'entry-1/1/{number}', 'content', state.ClaimState.OPEN, 2**41
    )


class ClaimRegistryTest(unittest.IsolatedAsyncioTestCase):
    """One daemon's claims in a store in memory."""

    def setUp(self) -> None:
        """Make a registry."""
        self.clock = memory_hosts.SteppedTimers()
        self.store = memory_platform.MemoryStore(random.Random(1))
        self.platform = memory_platform.MemoryPlatform(
            self.store, self.clock, (0.0, 2.0)
        )
        self.metrics = metrics.Metrics('test')
        self.registry = _claim_registry.ClaimRegistry(
            self.platform, self.clock, random.Random(2), self.metrics
        )

    async def open(self, number: int) -> _claim_registry.OpenResult:
        """Open one claim."""
        return await self.registry.open(
            state.locate_claim('invoices', f'key-{number}'),
            _claim(number),
            self.clock.now_ms() + 2_000,
        )

    async def calls_per_claim(self, count: int) -> list[float]:
        """Open and close claims; return the gets and puts per claim."""
        tasks = [asyncio.create_task(self.open(row)) for row in range(count)]
        await self.clock.pass_ms(100)
        for number, task in enumerate(tasks):
            self.assertIs(
                state.OpenStatus.GRANTED, task.result().opened.status
            )
            self.registry.close(
                state.locate_claim('invoices', f'key-{number}'),
                state.done_claim(_claim(number), True, {}),
            )
        await self.clock.pass_ms(100)
        self.assertEqual(0, self.registry.unrecorded_count())
        calls = self.store.calls
        return [calls['get'] / count, calls['put'] / count]

    async def test_calls_of_a_request_alone(self) -> None:
        """Opening a claim costs a get and a put, closing it a put."""
        self.assertEqual([1.0, 2.0], await self.calls_per_claim(1))

    async def test_calls_of_many_at_once(self) -> None:
        """The calls per claim do not grow with the number of claims."""
        for count in (10, 100):
            self.setUp()
            gets, puts = await self.calls_per_claim(count)
            print(f'calls per claim, {count} at once: {gets} + {puts}')
            self.assertLessEqual(gets, 1.0)
            self.assertLessEqual(puts, 2.0)

    async def test_changes_of_one_bucket_share_a_write(self) -> None:
        """A hundred claims and outcomes in one bucket take two puts."""
        with mock.patch.object(_claims, 'BUCKET_COUNT', 1):
            gets, puts = await self.calls_per_claim(100)
        self.assertEqual([0.01, 0.02], [gets, puts])

    async def test_lost_answers_are_read_back(self) -> None:
        """A put without an answer is read back and granted once."""
        faults = (_Fault.LOST_AFTER, _Fault.LOST_BEFORE, _Fault.LATE)
        for number, fault in enumerate(faults):
            with self.subTest(fault):
                self.store.script.append(fault)
                task = asyncio.create_task(self.open(number))
                await self.clock.pass_ms(1_000)
                opened = task.result().opened
                self.assertIs(state.OpenStatus.GRANTED, opened.status)
        self.assertEqual(3, self.metrics.total('claim_answers_lost'))

    async def test_unreadable_bucket_is_not_overwritten(self) -> None:
        """A bucket of a later format is refused, not taken for empty."""
        location = state.locate_claim('invoices', 'key-1')
        await self.platform_put(location.path, b'{"format":2,"claims":{}}')
        task = asyncio.create_task(self.open(1))
        await self.clock.pass_ms(100)
        ended = task.result()
        self.assertFalse(ended.may_be_stored)
        self.assertNotIsInstance(ended.opened, state.OpenDecision)
        self.assertEqual(1, self.store.objects[location.path].version)

    async def test_memory_does_not_grow_with_buckets(self) -> None:
        """A writer is dropped once its bucket is idle."""
        await self.calls_per_claim(50)
        await self.clock.pass_ms(1_000)
        self.assertEqual({}, self.registry._writers)

    async def platform_put(self, path: str, value: bytes) -> None:
        """Store an object."""
        put = asyncio.create_task(self.platform.put(path, value, 0))
        await self.clock.pass_ms(10)
        put.result()
