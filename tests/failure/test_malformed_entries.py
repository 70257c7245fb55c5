"""One malformed entry of another writer does not hide the others."""

import asyncio
import gc
import os
import pathlib
import random
import sys
import typing
import unittest

import logbook
from returns import result

from samphiredock import transport
from standins import unreadable_rows

sys.path.append(str(pathlib.Path(__file__).parents[2] / 'platform'))

import prepared_hosts  # noqa: E402

SEED = int(os.environ.get('SAMPHIREDOCK_SEED', '20261202'))
DRAWN_VALUES = 400

LOOP_LIMIT_MS = 50.0
"""Most processor time that an entry may hold the event loop."""

_DEEP = 20_000
_LARGEST_BYTES = 1_048_576

VALUES: dict[str, bytes] = {
    'arrays in arrays': b'[' * _DEEP + b']' * _DEEP,
    'objects in objects': b'{"a":' * _DEEP + b'1' + b'}' * _DEEP,
    'arrays and objects': b'[{"a":' * _DEEP + b'1' + b'}]' * _DEEP,
    'just too deep': b'[' * 1_100 + b']' * 1_100,
    'the largest value': b'[' * (_LARGEST_BYTES // 2)
    + b']' * (_LARGEST_BYTES // 2),
    'many values': b'[' + b'[],' * (_LARGEST_BYTES // 3) + b'[[[]]]]',
    'text that is not UTF-8': b'"\xff\xfe"',
    'half of a character': b'"\xc3"',
    'a control character': b'"a\x00b\x01"',
    'a line feed': b'"a\nb"',
    'an unknown escape': b'"\\x41"',
    'half of a surrogate pair': b'"\\ud800"',
    'an escape that is cut off': b'"\\u12"',
    'escaped quotes and brackets': b'"\\"]}\\\\" \\',
    'a leading zero': b'01',
    'a sign': b'+1',
    'no digits after the point': b'1.',
    'no exponent': b'1e',
    'NaN': b'NaN',
    'infinity': b'-Infinity',
    'a number out of range': b'1e999999',
    'many digits': b'9' * 100_000,
    'hexadecimal': b'0x1F',
    'single quotes': b"'text'",
    'a bare word': b'undefined',
    'nothing': b'',
    'a comment': b'/* text */ 1',
    'a trailing comma': b'{"a":1,}',
    'two commas': b'[1,,2]',
    'no colon': b'{"a" 1}',
    'a name that is no text': b'{1:2}',
    'other brackets': b'[1}',
    'a bracket too many': b'1}}]]',
    'a bracket too few': b'{"a":[1',
    'text without an end': b'"abc',
}
"""Values that a JSON decoder rejects, by what is wrong with them."""


def rows() -> dict[str, bytes]:
    """Return malformed rows of a list, by what is wrong with them."""
    found = {}
    for why, value in VALUES.items():
        found[f'{why} in the value'] = (
            b'{"meta":{"Name":"m","Revision":5},"spec":{"Version":%b}}' % value
        )
        found[f'{why} in the status'] = (
            b'{"meta":{"Name":"m","Revision":5},"spec":{},"status":%b}' % value
        )
        found[f'{why} as the name'] = b'{"meta":{"Name":%b},"spec":{}}' % value
        found[f'{why} as the row'] = value
    return found


def _good(name: str) -> bytes:
    return (
        b'{"meta":{"Name":"%b","Revision":3},"spec":{"N":1}}' % name.encode()
    )


class _Calls:
    """Answers the calls of a client with prepared bodies, in order."""

    def __init__(self, *bodies: bytes) -> None:
        self.bodies = list(bodies)
        self.paths: list[str] = []

    def on_reply(self, callback: typing.Any) -> None:
        """Do nothing: no reply has headers."""

    async def call(
        self, method: str, path: str, *args: object, **options: object
    ) -> result.Result[transport.StoreReply, transport.StoreError]:
        """Return the next body."""
        self.paths.append(path)
        return result.Success((200, self.bodies.pop(0), {}))


class MalformedEntriesTest(unittest.IsolatedAsyncioTestCase):
    """A client of the store whose pages hold one malformed row."""

    async def _watch(
        self, position: int, *bodies: bytes
    ) -> transport.WatchPage:
        self.calls = _Calls(*bodies)
        client = prepared_hosts.ObjectStore(self.calls)
        return (await client.watch('servers/', position, 0)).unwrap()

    def _names(self, page: transport.WatchPage) -> list[str]:
        readable = [row.key for row in page.changed if row.value]
        return [key for key in readable if key != 'servers/m']

    async def test_list(self) -> None:
        """A daemon that started knew no server."""
        for why, row in rows().items():
            with self.subTest(why):
                body = b'{"items":[%b, %b, %b],"HasMore":false,"CurrentRev":7}'
                page = await self._watch(
                    0, body % (_good('a'), row, _good('z'))
                )
                self.assertEqual(['servers/a', 'servers/z'], self._names(page))
                self.assertEqual(7, page.position)

    async def test_watch(self) -> None:
        """A running daemon learned nothing more."""
        event = b'{"Object":%b,"Tombstone":false}'
        for why, row in rows().items():
            with self.subTest(why):
                body = b'{"events":[%b,%b,%b], "CurrentRev":7}' % (
                    event % _good('a'),
                    event % row,
                    event % _good('z'),
                )
                page = await self._watch(5, body)
                self.assertEqual(['servers/a', 'servers/z'], self._names(page))
                self.assertEqual(7, page.position)

    async def test_unreadable_page_is_not_the_last(self) -> None:
        """The entries after a page of unreadable ones were hidden."""
        bad = b'{"meta":{"Name":"%b","Revision":1},"spec":[NaN]}'
        pages = [
            b'{"items":[%b],"HasMore":true,"CurrentRev":7}' % (bad % b'b'),
            b'{"items":[%b,%b],"HasMore":true,"CurrentRev":8}'
            % (_good('c'), bad % b'd'),
            b'{"items":[%b],"HasMore":false,"CurrentRev":9}' % _good('e'),
        ]
        page = await self._watch(0, *pages)
        self.assertEqual(['servers/c', 'servers/e'], self._names(page))
        self.assertTrue(page.whole)
        self.assertEqual(7, page.position)
        self.assertEqual(
            ['/objects/servers', 'after=b', 'after=d'],
            [path.rpartition('?')[2] for path in self.calls.paths],
        )

    async def test_page_without_any_name_is_not_complete(self) -> None:
        """Servers on later pages were taken for gone."""
        first = b'{"items":[%b],"HasMore":true,"CurrentRev":7}' % _good('a')
        body = b'{"items":[NaN, {"meta":1}],"HasMore":true,"CurrentRev":7}'
        page = await self._watch(0, first, body)
        self.assertEqual(['servers/a'], self._names(page))
        self.assertFalse(page.whole)
        self.assertEqual(0, page.position)
        for bodies in ((first, body), (body,)):
            client = prepared_hosts.ObjectStore(_Calls(*bodies))
            reply = await client.scan('servers/')
            kind = reply.failure().kind
            self.assertIs(transport.StoreErrorKind.UNREADABLE, kind)

    async def test_page_of_unknown_end_is_not_complete(self) -> None:
        """Servers that the rest of the page listed were taken for gone."""
        for end in (
            b'{"meta":{"Name":"m"},"spec":"',
            b'{"a":1}],"HasMore":1}',
        ):
            with self.subTest(end):
                page = await self._watch(
                    0, b'{"items":[%b,%b' % (_good('a'), end)
                )
                self.assertEqual(['servers/a'], self._names(page))
                self.assertFalse(page.whole)
                self.assertEqual(0, page.position)

    async def test_rows_are_used_without_a_revision(self) -> None:
        """A revision of another type hid all entries."""
        for revision in (b'"7"', b'null', b'[]', b'7.5', b'1e400', b'[' * 9):
            with self.subTest(revision):
                body = b'{"items":[%b],"HasMore":false,"CurrentRev":%b}'
                page = await self._watch(0, body % (_good('a'), revision))
                self.assertEqual(['servers/a'], self._names(page))
                self.assertEqual(0, page.position)

    async def test_object_that_becomes_unreadable_is_reported(self) -> None:
        """A server whose entry was overwritten kept its old address."""
        body = b'{"events":[{"Object":%b}],"CurrentRev":7}'
        bad = b'{"meta":{"Name":"m","Revision":5},"spec":{"Addr":NaN}}'
        page = await self._watch(5, body % bad)
        self.assertEqual(
            (transport.StoredObject('servers/m', 5, b''),), page.changed
        )

    async def test_pages_that_are_no_pages_count_as_lost(self) -> None:
        """Nothing in them can be used."""
        for body in (b'', b'null', b'[]', b'{"items":[NaN', b'\xff'):
            with self.subTest(body):
                client = prepared_hosts.ObjectStore(_Calls(body))
                reply = await client.watch('servers/', 0, 0)
                self.assertIs(
                    transport.StoreErrorKind.LOST, reply.failure().kind
                )

    async def test_unreadable_entry_is_logged_once(self) -> None:
        """Each poll wrote a line for the same revision of an entry."""
        bad = b'{"meta":{"Name":"m","Revision":%d},"spec":[NaN]}'
        bodies = [
            b'{"items":[%b],"HasMore":false,"CurrentRev":7}' % (bad % revision)
            for revision in (1, 1, 2, 2)
        ]
        client = prepared_hosts.ObjectStore(_Calls(*bodies))
        with logbook.TestHandler() as seen:
            for _ in bodies:
                await client.watch('servers/', 0, 0)
        lines = [row for row in seen.records if row.channel == 'store']
        self.assertEqual(2, len(lines))


class LoopTimeTest(unittest.IsolatedAsyncioTestCase):
    """No entry holds the event loop, and so every request, for long.

    The processor time of each turn of the loop is measured.
    """

    async def asyncSetUp(self) -> None:
        """Leave out the time of debugging, and of the tests' own memory.

        A daemon freezes its memory after the start, too.
        """
        asyncio.get_running_loop().set_debug(False)
        gc.collect()
        gc.freeze()
        self.addCleanup(gc.unfreeze)

    async def _check_turns(
        self, size: int, rows: int, places: typing.Iterable[str]
    ) -> None:
        for kind, value in unreadable_rows.values(size).items():
            bad = [unreadable_rows.row('bad', value)] * rows
            for place in places:
                for is_watch in (False, True):
                    with self.subTest(kind, place=place, is_watch=is_watch):
                        body = unreadable_rows.page(bad, place, is_watch)
                        await self._check_page(body, is_watch)

    async def _check_page(self, body: bytes, is_watch: bool) -> None:
        client = prepared_hosts.ObjectStore(unreadable_rows.FixedCalls(body))
        read = await unreadable_rows.timed(
            client.watch('servers/', 5 if is_watch else 0, 0)
        )
        self.assertLess(read.longest_ms, LOOP_LIMIT_MS)
        self.assertEqual(
            unreadable_rows.GOOD_ROWS, unreadable_rows.good_rows(read.value)
        )

    async def test_one_large_value(self) -> None:
        """An entry of 64 KB took 8.5 s, by the square of its size."""
        await self._check_turns(65_536, 1, unreadable_rows.PLACES)

    async def test_many_small_values(self) -> None:
        """A hundred entries of 4 KB took seconds together."""
        await self._check_turns(4_096, 100, ('middle',))

    async def test_read_of_one_object(self) -> None:
        """A malformed object is reported as unreadable, and at once."""
        for kind, value in unreadable_rows.values(65_536).items():
            with self.subTest(kind):
                calls = unreadable_rows.FixedCalls(
                    unreadable_rows.row('bad', value)
                )
                client = prepared_hosts.ObjectStore(calls)
                read = await unreadable_rows.timed(client.get('servers/bad'))
                self.assertLess(read.longest_ms, LOOP_LIMIT_MS)
                self.assertIs(
                    transport.StoreErrorKind.LOST, read.value.failure().kind
                )


class DrawnValuesTest(unittest.IsolatedAsyncioTestCase):
    """Whatever a value holds, the good rows around it are read."""

    async def test_good_rows_are_read(self) -> None:
        """A malformed value hid the rows after it."""
        for number in range(DRAWN_VALUES):
            value = unreadable_rows.draw_value(random.Random(SEED + number))
            bad = [unreadable_rows.row('bad', value)]
            for place in unreadable_rows.PLACES:
                for is_watch in (False, True):
                    with self.subTest(value, place=place, is_watch=is_watch):
                        await self._check(bad, place, is_watch)

    async def _check(
        self, bad: list[bytes], place: str, is_watch: bool
    ) -> None:
        body = unreadable_rows.page(bad, place, is_watch)
        client = prepared_hosts.ObjectStore(unreadable_rows.FixedCalls(body))
        read = await client.watch('servers/', 5 if is_watch else 0, 0)
        self.assertEqual(
            unreadable_rows.GOOD_ROWS, unreadable_rows.good_rows(read)
        )

    async def test_good_rows_that_hold_rows_are_whole(self) -> None:
        """A row was cut where another seemed to begin in its value."""
        spec = b'{"Items":[{"meta":{"Name":"x"}},{"spec":1},{"Object":[]}]}'
        body = unreadable_rows.page(
            [
                unreadable_rows.row('bad', b'NaN'),
                unreadable_rows.row('holder', spec),
            ],
            'middle',
            False,
        )
        client = prepared_hosts.ObjectStore(unreadable_rows.FixedCalls(body))
        page = (await client.watch('servers/', 0, 0)).unwrap()
        specs = {item.key: item.value for item in page.changed}
        self.assertEqual(spec, specs['servers/holder'])
        self.assertEqual(b'', specs['servers/bad'])
        self.assertEqual(unreadable_rows.GOOD_ROWS + 2, len(specs))

    async def test_name_behind_an_unreadable_member(self) -> None:
        """A server whose entry was overwritten kept its old address."""
        for bad in (
            b'{"spec":NaN,"meta":{"Name":"bad","Revision":5}}',
            b'{"meta":{"Name":"bad","Revision":5},"spec":{"a":[1}}',
        ):
            with self.subTest(bad):
                body = unreadable_rows.page([bad], 'middle', False)
                calls = unreadable_rows.FixedCalls(body)
                client = prepared_hosts.ObjectStore(calls)
                page = (await client.watch('servers/', 0, 0)).unwrap()
                self.assertIn(
                    transport.StoredObject('servers/bad', 5, b''),
                    page.changed,
                )

    async def test_deletion_of_an_unreadable_object(self) -> None:
        """A deleted server was kept if its entry had become unreadable."""
        bad = unreadable_rows.row('bad', b'{"a":[1}')
        for event in (
            b'{"Tombstone":true,"Object":%b}' % bad,
            b'{"Object":%b,"Tombstone":true}' % bad,
        ):
            with self.subTest(event):
                body = b'{"events":[%b],"CurrentRev":7}' % event
                calls = unreadable_rows.FixedCalls(body)
                client = prepared_hosts.ObjectStore(calls)
                page = (await client.watch('servers/', 5, 0)).unwrap()
                self.assertEqual(('servers/bad',), page.gone)


class PositionTest(unittest.IsolatedAsyncioTestCase):
    """What stands behind the rows of a page does not depend on the rows."""

    def _values(self) -> typing.Iterator[bytes]:
        """Yield values that a decoder rejects or that look like the end."""
        yield from VALUES.values()
        yield from unreadable_rows.values(1_000).values()
        for number in range(DRAWN_VALUES):
            yield unreadable_rows.draw_value(random.Random(SEED + number))

    async def test_position_is_read(self) -> None:
        """An entry cut off in a text took in the position if it was last.

        No daemon that started was ready, since none could watch the store.
        """
        for value in self._values():
            bad = [unreadable_rows.row('bad', value)]
            for place in unreadable_rows.PLACES:
                for is_watch in (False, True):
                    body = unreadable_rows.page(bad, place, is_watch)
                    calls = unreadable_rows.FixedCalls(body)
                    client = prepared_hosts.ObjectStore(calls)
                    position = 5 if is_watch else 0
                    with self.subTest(value[:80], place=place):
                        read = await client.watch('servers/', position, 0)
                        page = read.unwrap()
                        self.assertEqual(
                            unreadable_rows.POSITION, page.position
                        )
                        self.assertEqual(not is_watch, page.whole)

    async def test_pages_behind_are_read(self) -> None:
        """The pages behind one with such a last row stayed hidden."""
        last = b'{"items":[%b],"HasMore":false,"CurrentRev":9}' % _good('z')
        for value in self._values():
            bad = unreadable_rows.row('m', value)
            first = b'{"items":[%b,%b],"HasMore":true,"CurrentRev":7}'
            calls = _Calls(first % (_good('a'), bad), last)
            client = prepared_hosts.ObjectStore(calls)
            with self.subTest(value[:80]):
                page = (await client.watch('servers/', 0, 0)).unwrap()
                keys = {item.key for item in page.changed}
                self.assertLessEqual({'servers/a', 'servers/z'}, keys)
                self.assertTrue(page.whole)
                self.assertEqual(7, page.position)
