"""Pages of the object store with unreadable rows, and the cost of reads."""

import asyncio
import dataclasses
import random
import time
import typing

from returns import result

from samphiredock import transport

GOOD_ROWS = 20
PLACES = {'first': 0, 'middle': GOOD_ROWS // 2, 'last': GOOD_ROWS}
"""Where malformed rows stand: how many good ones are before them."""

POSITION = 7

_PATTERNS = {
    'escaped quotes': b'\\"',
    'quotes': b'"',
    'quotes and colons': b'":',
    'backslashes': b'\\',
    'opening brackets': b'[',
    'opening braces': b'{',
    'closing brackets': b']',
    'closing braces': b'}',
    'mixed brackets': b'[{]}',
    'brackets and text': b'["a"{',
    'brackets and letters': b'[a{b]c}d',
    'small arrays': b'[],',
    'small objects': b'{"a":1},',
    'objects in objects': b'{"a":',
    'arrays in arrays': b'[[],',
    'commas': b',',
    'commas and braces': b',{',
    'numbers': b'1,',
    'letters': b'a',
    'spaces': b' ',
    'commas and spaces': b', ',
    'beginnings of rows': b',{"meta":',
    'beginnings of named rows': b',{"meta":{"Name":"m',
    'beginnings in beginnings': b'{"meta":',
    'beginnings behind spaces': b' {"meta":',
    'short rows': b'{"meta":},',
    'rows in rows': b'[{"meta":',
    'rows': b'{"meta":{"Name":"m","Revision":1},"spec":1},',
    'ends of pages': b'],"HasMore":true,"CurrentRev":1}',
}


def values(size: int) -> dict[str, bytes]:
    """Return malformed values of about ``size`` bytes, by kind."""
    found = {
        name: text * (size // len(text)) for name, text in _PATTERNS.items()
    }
    found['one more quote'] = b'"' + found['escaped quotes']
    found['text without an end'] = b'"' + found['letters']
    found['deep arrays'] = b'[' * (size // 2) + b']' * (size // 2)
    found['arrays and a bracket'] = b'[' + found['small arrays'] + b'[]]]'
    return found


_FRAGMENTS = (
    b'"', b'\\"', b'\\', b'{', b'}', b'[', b']', b',', b':', b' ', b'1', b'a',
    b'null', b'NaN', b'\xff', b'\x00', b'"x"', b'"a":1', b'[]', b'{}', b'}}',
    b']]', b'"spec":', b'"Tombstone":true', b'{"meta":', b'},{"meta":',
    b',{"meta":{"Name":"m"},', b'],"HasMore":true,"CurrentRev":9}',
)  # fmt: skip


def draw_value(rng: random.Random) -> bytes:
    """Return a random value, which is rarely JSON."""
    fragments = rng.sample(_FRAGMENTS, rng.randrange(1, 8))
    return b''.join(rng.choices(fragments, k=rng.randrange(40)))


def row(name: str, value: bytes) -> bytes:
    """Return the row of an object, as the store writes it."""
    return b'{"meta":{"Name":"%b","Revision":3},"spec":%b}' % (
        name.encode(),
        value,
    )


def page(bad: typing.Iterable[bytes], place: str, is_watch: bool) -> bytes:
    """Return a list, or a page of events, with some rows among good ones."""
    good = [row(f'good-{at}', b'{"N":1}') for at in range(GOOD_ROWS)]
    rows = [*good[: PLACES[place]], *bad, *good[PLACES[place] :]]
    if is_watch:
        rows = [b'{"Tombstone":false,"Object":%b}' % text for text in rows]
        return b'{"events":[%b],"CurrentRev":%d}' % (b','.join(rows), POSITION)
    return b'{"items":[%b],"HasMore":false,"CurrentRev":%d}' % (
        b','.join(rows),
        POSITION,
    )


class FixedCalls:
    """Answers every call of a client with one body; a ``StoreCaller``."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    def on_reply(self, callback: typing.Any) -> None:
        """Do nothing: no reply has headers."""

    async def call(
        self, *args: object, **options: object
    ) -> result.Result[transport.StoreReply, transport.StoreError]:
        """Return the body."""
        return result.Success((200, self._body, {}))


_T = typing.TypeVar('_T')


@dataclasses.dataclass(frozen=True, slots=True)
class Timed(typing.Generic[_T]):
    """A result, and the processor time of the work behind it.

    ``longest_ms`` is that of the longest turn of the event loop.
    """

    value: _T
    total_ms: float
    longest_ms: float


async def timed(work: typing.Coroutine[typing.Any, typing.Any, _T]) -> Timed:
    """Run ``work`` alone on the event loop and measure its turns."""
    task = asyncio.ensure_future(work)
    turns_s = []
    while not task.done():
        began_s = time.process_time()
        await asyncio.sleep(0)
        turns_s.append(time.process_time() - began_s)
    return Timed(task.result(), sum(turns_s) * 1000.0, max(turns_s) * 1000.0)


def good_rows(
    read: result.Result[transport.WatchPage, transport.StoreError],
) -> int:
    """Return how many of the good rows have been read."""
    if isinstance(read, result.Failure):
        return 0
    names = {item.key.rpartition('/')[2] for item in read.unwrap().changed}
    return sum(f'good-{at}' in names for at in range(GOOD_ROWS))
