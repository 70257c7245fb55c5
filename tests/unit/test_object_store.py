"""The object store client of ``platform/``, against a stand-in store."""

import pathlib
import sys
import unittest

from returns import result

from samphiredock import timers
from samphiredock import transport
from standins import prepared_store

sys.path.append(str(pathlib.Path(__file__).parents[2] / 'platform'))

import prepared_hosts  # noqa: E402

Kind = transport.StoreErrorKind


class ObjectStoreTest(unittest.IsolatedAsyncioTestCase):
    """One client and one store."""

    async def asyncSetUp(self) -> None:
        """Start the store and create its client."""
        self.store = prepared_store.PreparedStore()
        address = await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        clock = timers.LoopTimers()
        self.addCleanup(clock.close)
        calls = transport.PooledStoreCalls(clock, f'http://{address}')
        self.addCleanup(calls.close)
        self.client = prepared_hosts.ObjectStore(calls)

    async def test_all_pages_are_read(self) -> None:
        """The store returns 50 objects a page."""
        for number in range(120):
            self.store.put('servers', f'i-{number:03}', {'N': number})
        page = (await self.client.watch('servers/', 0, 0)).unwrap()
        self.assertTrue(page.whole)
        self.assertEqual(120, len(page.changed))
        self.assertEqual('servers/i-000', page.changed[0].key)

    async def test_a_watch_returns_changes_and_deletions(self) -> None:
        """Only the latest version of an object is returned."""
        page = (await self.client.watch('servers/', 0, 0)).unwrap()
        self.store.put('servers', 'a', {'N': 1})
        self.store.put('servers', 'a', {'N': 2})
        self.store.put('servers', 'b', {'N': 1})
        self.store.remove('servers', 'b')
        reply = await self.client.watch('servers/', page.position, 1_000)
        page = reply.unwrap()
        self.assertEqual(['servers/a'], [row.key for row in page.changed])
        self.assertEqual(b'{"N": 2}', page.changed[0].value)
        self.assertEqual(('servers/b',), page.gone)
        self.assertFalse(page.whole)

    async def test_watch_ends_when_the_store_has_lost_writes(self) -> None:
        """Positions are given again, and changes before them would be missed.

        The revision of the watch is reached again before it is sent.
        """
        copy = self.store.copy()
        self.store.put('servers', 'lost', {'N': 1})
        page = (await self.client.watch('servers/', 0, 0)).unwrap()
        self.assertEqual(1, self.client.era())
        self.store.roll_back(copy)
        for name in 'abc':
            self.store.put('servers', name, {'N': 1})
        reply = await self.client.watch('servers/', page.position, 10)
        self.assertEqual(Kind.ROLLED_BACK, reply.failure().kind)
        self.assertEqual(2, self.client.era())
        page = (await self.client.watch('servers/', 0, 0)).unwrap()
        self.assertEqual(
            ['servers/a', 'servers/b', 'servers/c'],
            [row.key for row in page.changed],
        )
        reply = await self.client.watch('servers/', page.position, 10)
        self.assertEqual((), reply.unwrap().changed)

    async def test_watch_ends_when_another_call_shows_lost_writes(
        self,
    ) -> None:
        """The next watch is not sent from a position of the lost writes."""
        self.store.put('servers', 'a', {'N': 1})
        copy = self.store.copy()
        page = (await self.client.watch('servers/', 0, 0)).unwrap()
        self.store.roll_back(copy)
        await self.client.get('config/main')
        calls = self.store.calls
        reply = await self.client.watch('servers/', page.position, 10)
        self.assertEqual(Kind.ROLLED_BACK, reply.failure().kind)
        self.assertEqual(calls, self.store.calls)

    async def test_watch_over_the_limits_is_read_again_from_the_start(
        self,
    ) -> None:
        """A daemon would ask for the same changes for ever."""
        page = (await self.client.watch('servers/', 0, 0)).unwrap()
        for _ in range(8):
            self.store.put('servers', 'a', {'N': 'x' * 1_000_000})
        reply = await self.client.watch('servers/', page.position, 1_000)
        self.assertEqual(Kind.UNREADABLE, reply.failure().kind)
        listed = await self.client.watch('servers/', 0, 0)
        self.assertEqual(1, len(listed.unwrap().changed))

    async def test_first_known_era_is_no_loss(self) -> None:
        """A daemon that starts must not read everything twice."""
        self.store.era = 7
        page = (await self.client.watch('servers/', 0, 0)).unwrap()
        reply = await self.client.watch('servers/', page.position, 10)
        self.assertEqual((), reply.unwrap().changed)

    async def test_failed_calls_show_the_era_too(self) -> None:
        """A share must end although the store cannot be read yet."""
        copy = self.store.copy()
        await self.client.get('config/main')
        self.store.roll_back(copy)
        self.store.faults.status = 503
        await self.client.get('config/main')
        self.assertEqual(2, self.client.era())

    async def test_malformed_rows_are_skipped(self) -> None:
        """One unreadable row must not make the others unavailable."""
        page = (await self.client.watch('servers/', 0, 0)).unwrap()
        self.store.put('servers', 'a', {'N': 1})
        self.store.put_row('servers', 'b', {'meta': 'nothing'})
        self.store.put_row('servers', 'c', [1, 2])
        self.store.put('servers', 'd', {'N': 1})
        reply = await self.client.watch('servers/', page.position, 1_000)
        listed = await self.client.watch('servers/', 0, 0)
        for seen in (reply.unwrap(), listed.unwrap()):
            self.assertEqual(
                ['servers/a', 'servers/d'], [row.key for row in seen.changed]
            )

    async def test_only_reads_are_retried_after_a_reset(self) -> None:
        """A write may have been applied; a second one would get a conflict."""
        await self.client.scan('own/')
        self.store.faults.resets = 1
        reply = await self.client.scan('own/')
        self.assertIsInstance(reply, result.Success)
        self.store.faults.resets = 1
        lost = await self.client.put('own/a', b'{}', 0)
        self.assertIs(Kind.LOST, lost.failure().kind)

    async def test_a_forgotten_watch_position(self) -> None:
        """The caller has to read everything again."""
        page = (await self.client.watch('servers/', 0, 0)).unwrap()
        self.store.put('servers', 'a', {})
        self.store.forget_history()
        reply = await self.client.watch('servers/', page.position, 100)
        self.assertIs(Kind.FORGOTTEN, reply.failure().kind)

    async def test_conditions_and_lost_answers(self) -> None:
        """A write without a reply may have been applied."""
        version = (await self.client.put('own/a', b'{}', 0)).unwrap()
        again = await self.client.put('own/a', b'{}', 0)
        self.assertIs(Kind.CONFLICT, again.failure().kind)
        stale = await self.client.put('own/a', b'{}', version + 7)
        self.assertIs(Kind.CONFLICT, stale.failure().kind)
        self.store.faults.lose_writes = 1
        lost = await self.client.put('own/a', b'{"x":1}', version)
        self.assertIs(Kind.LOST, lost.failure().kind)
        held = (await self.client.get('own/a')).unwrap()
        self.assertGreater(held.version, version)
        gone = await self.client.delete('own/a', held.version)
        self.assertIsInstance(gone, result.Success)
        missing = await self.client.get('own/a')
        self.assertIs(Kind.NOT_FOUND, missing.failure().kind)

    async def test_an_unavailable_store(self) -> None:
        """Overload, rate limits and timeouts must not raise."""
        for status in (503, 429):
            self.store.faults.status = status
            reply = await self.client.scan('own/', may_be_stale=True)
            self.assertIs(Kind.UNAVAILABLE, reply.failure().kind)
        self.store.faults.status = 0
        self.store.faults.silent = True
        reply = await self.client.watch('own/', 5, 10)
        self.assertIs(Kind.LOST, reply.failure().kind)
