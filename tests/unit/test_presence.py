"""Tests of registering and listing daemons in the store."""

import asyncio
import unittest

from returns import result

from samphiredock.coordination import forwarding
from samphiredock import metrics
from samphiredock import timers
from samphiredock import transport
from standins import memory_links


class _Store:
    """Holds the daemons' objects, and counts the lists and writes."""

    def __init__(self, count: int) -> None:
        self.lists = 0
        self.writes = 0
        self.stale: list[bool] = []
        self.is_down = False
        self.objects = {
            f'samphiredock-daemons/d{n}': b'{"site":"a","address":"x:1",'
            b'"cores":1.0}'
            for n in range(count)
        }

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> result.Result[int, transport.StoreError]:
        """Write, unless the store is down or the object exists."""
        self.writes += 1
        kind = transport.StoreErrorKind.UNAVAILABLE
        if not self.is_down and key not in self.objects:
            self.objects[key] = value
            return result.Success(7)
        if not self.is_down:
            kind = transport.StoreErrorKind.CONFLICT
        return result.Failure(transport.StoreError(kind, 'by the test'))

    async def scan(
        self, prefix: str, may_be_stale: bool = False
    ) -> result.Result[tuple[transport.StoredObject, ...], object]:
        """List the daemons."""
        self.lists += 1
        self.stale.append(may_be_stale)
        if self.is_down:
            kind = transport.StoreErrorKind.UNAVAILABLE
            return result.Failure(transport.StoreError(kind, 'by the test'))
        rows = tuple(
            transport.StoredObject(key, 7, value)
            for key, value in self.objects.items()
        )
        return result.Success(rows)

    async def delete(
        self, key: str, expected_version: int
    ) -> result.Result[int, object]:
        """Remove an object."""
        del self.objects[key]
        return result.Success(8)


class PresenceTest(unittest.IsolatedAsyncioTestCase):
    """One daemon among others."""

    def _start(self, count: int) -> tuple[forwarding.Presence, _Store]:
        store = _Store(count)
        self.clock = timers.ManualTimers()
        self.listed: list[int] = []
        presence = forwarding.Presence(
            forwarding.Daemon('me', 'a', 'y:1', 1.0),
            store,
            self.clock,
            metrics.Metrics('test'),
            lambda rows: self.listed.append(len(rows)),
        )
        presence.start()
        return presence, store

    async def _advance(self, seconds: int) -> None:
        for _ in range(seconds * 2):
            await memory_links.settle()
            self.clock.advance(500.0)
        await memory_links.settle()

    async def test_starting_daemon_knows_the_others_at_once(
        self,
    ) -> None:
        """One stale list is enough; it costs a tenth of a fresh one."""
        presence, store = self._start(7)
        await asyncio.wait_for(presence.wait_listed(), 5.0)
        self.assertEqual([8], self.listed)
        self.assertEqual([True], store.stale)
        self.assertIn('samphiredock-daemons/me', store.objects)
        await presence.leave()
        self.assertNotIn('samphiredock-daemons/me', store.objects)

    async def test_empty_stale_list_is_read_again_fresh(self) -> None:
        """A stale list may lack daemons that started at the same time.

        A daemon that takes itself for the only one would follow all targets.
        """
        presence, store = self._start(0)
        await asyncio.wait_for(presence.wait_listed(), 5.0)
        self.assertEqual([True, False], store.stale)
        self.assertEqual(1, self.listed[-1])
        await presence.leave()

    async def test_restarted_daemon_registers_again(self) -> None:
        """A stale list still shows the object that the daemon has removed.

        If it took that for its registration, no other daemon would know it and
        it would get no work.
        """
        presence, store = self._start(3)
        await self._advance(2)
        listed_before = dict(store.objects)
        await presence.leave()
        now, store.objects = store.objects, listed_before
        again = forwarding.Presence(
            forwarding.Daemon('me', 'a', 'y:1', 1.0),
            store,
            self.clock,
            metrics.Metrics('test'),
            lambda rows: None,
        )
        again.start()
        await memory_links.settle()
        store.objects = now
        self.assertNotIn('samphiredock-daemons/me', store.objects)
        await self._advance(3)
        self.assertIn('samphiredock-daemons/me', store.objects)
        await again.leave()

    async def test_restart_costs_few_calls(self) -> None:
        """Restarts must not dominate the calls to the store.

        A daemon whose object still exists writes nothing, and its first lists
        are stale reads.
        """
        presence, store = self._start(7)
        await self._advance(2)
        await presence.leave()
        store.objects['samphiredock-daemons/me'] = presence._value()
        again = forwarding.Presence(
            forwarding.Daemon('me', 'a', 'y:1', 1.0),
            store,
            self.clock,
            metrics.Metrics('test'),
            lambda rows: None,
        )
        store.stale.clear()
        store.writes = 0
        again.start()
        await self._advance(10)
        await again.leave()
        self.assertEqual(0, store.writes)
        self.assertEqual([True] * 4, store.stale[:4])
        self.assertLessEqual(len(store.stale), 5)

    async def test_many_daemons_list_each_other_less_often(self) -> None:
        """Otherwise the rows read grow with the square of their number."""
        counts = {}
        for daemons in (8, 240):
            presence, store = self._start(daemons - 1)
            await self._advance(20)
            before = store.lists
            await self._advance(120)
            counts[daemons] = store.lists - before
            await presence.leave()
        self.assertEqual(24, counts[8])
        self.assertEqual(3, counts[240])

    async def test_a_restart_finds_its_own_object(self) -> None:
        """The name is the same, so the daemon is counted once."""
        store = _Store(3)
        store.objects['samphiredock-daemons/me'] = store.objects[
            'samphiredock-daemons/d0'
        ]
        clock = timers.ManualTimers()
        listed: list[int] = []
        presence = forwarding.Presence(
            forwarding.Daemon('me', 'a', 'y:1', 1.0),
            store,
            clock,
            metrics.Metrics('test'),
            lambda rows: listed.append(len(rows)),
        )
        presence.start()
        await memory_links.settle()
        self.assertEqual([4], listed)
        await presence.leave()

    async def test_unreachable_store_does_not_block_the_start(self) -> None:
        """The daemon continues without a list."""
        presence, store = self._start(7)
        store.is_down = True
        await asyncio.wait_for(presence.wait_listed(), 5.0)
        self.assertEqual([], self.listed)
        await presence.leave()
