"""The store client of the users' platform, against its stand-in."""

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
        """Start the store."""
        self.store = prepared_store.PreparedStore()
        address = await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        clock = timers.LoopTimers()
        self.addCleanup(clock.close)
        calls = transport.PooledStoreCalls(clock, address)
        self.addCleanup(calls.close)
        self.client = prepared_hosts.ObjectStore(calls)

    async def test_a_kind_of_many_pages_is_read_whole(self) -> None:
        """The store gives 50 objects a page."""
        for number in range(120):
            self.store.put('servers', f'i-{number:03}', {'N': number})
        page = (await self.client.watch('servers/', 0, 0)).unwrap()
        self.assertTrue(page.whole)
        self.assertEqual(120, len(page.changed))
        self.assertEqual('servers/i-000', page.changed[0].key)

    async def test_a_watch_tells_changes_and_removals(self) -> None:
        """Of one object only the newest state counts."""
        page = (await self.client.watch('servers/', 0, 0)).unwrap()
        self.store.put('servers', 'a', {'N': 1})
        self.store.put('servers', 'a', {'N': 2})
        self.store.put('servers', 'b', {'N': 1})
        self.store.remove('servers', 'b')
        told = await self.client.watch('servers/', page.position, 1_000)
        page = told.unwrap()
        self.assertEqual(['servers/a'], [row.key for row in page.changed])
        self.assertEqual(b'{"N": 2}', page.changed[0].value)
        self.assertEqual(('servers/b',), page.gone)
        self.assertFalse(page.whole)

    async def test_rows_of_another_writer_hide_no_others(self) -> None:
        """One row that cannot be read must not cost the whole list."""
        page = (await self.client.watch('servers/', 0, 0)).unwrap()
        self.store.put('servers', 'a', {'N': 1})
        self.store.put_row('servers', 'b', {'meta': 'nothing'})
        self.store.put_row('servers', 'c', [1, 2])
        self.store.put('servers', 'd', {'N': 1})
        told = await self.client.watch('servers/', page.position, 1_000)
        listed = await self.client.watch('servers/', 0, 0)
        for seen in (told.unwrap(), listed.unwrap()):
            self.assertEqual(
                ['servers/a', 'servers/d'], [row.key for row in seen.changed]
            )

    async def test_a_reset_connection_is_no_outage(self) -> None:
        """A read goes again on a new connection, a write does not.

        The write may have taken effect; a second one would be answered with
        a conflict.
        """
        await self.client.scan('own/')
        self.store.faults.resets = 1
        told = await self.client.scan('own/')
        self.assertIsInstance(told, result.Success)
        self.store.faults.resets = 1
        lost = await self.client.put('own/a', b'{}', 0)
        self.assertIs(Kind.LOST, lost.failure().kind)

    async def test_lost_history_is_told_apart(self) -> None:
        """Only reading everything anew helps."""
        page = (await self.client.watch('servers/', 0, 0)).unwrap()
        self.store.put('servers', 'a', {})
        self.store.forget_history()
        told = await self.client.watch('servers/', page.position, 100)
        self.assertIs(Kind.FORGOTTEN, told.failure().kind)

    async def test_conditions_and_lost_answers(self) -> None:
        """A write without an answer may have taken effect."""
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

    async def test_a_store_that_turns_this_host_away(self) -> None:
        """Busy, limited and silent are values, each in bounded time."""
        for status in (503, 429):
            self.store.faults.status = status
            told = await self.client.scan('own/', may_be_stale=True)
            self.assertIs(Kind.UNAVAILABLE, told.failure().kind)
        self.store.faults.status = 0
        self.store.faults.silent = True
        told = await self.client.watch('own/', 5, 10)
        self.assertIs(Kind.LOST, told.failure().kind)
