"""Pages of rows in JSON, of which some rows may be unreadable."""

import dataclasses
import re
import typing

from samphiredock import protocol
from samphiredock.transport import _json_scan
from samphiredock.transport import _loop_turns

_PLAIN_MEMBER = re.compile(rb'"(\w+)"\s*:\s*([^\s,{}\[\]"]+)')

_TAIL = re.compile(rb'\]\s*+(?:,\s*+"\w++"\s*+:\s*+[\w.+-]++\s*+)*+\}\s*+')
"""What follows the rows of a page: numbers and flags only."""

_TAIL_LIMIT_BYTES = 1_000
"""How much of another text behind the rows is looked at."""

_UNREADABLE_LIMIT = 1_000
"""Most unreadable rows of a page that are returned."""

_ROW_COST_BYTES = 500
"""The cost of a row, beside its bytes, as a number of bytes scanned."""

_NESTED_SCAN_PAGES = 4
"""How many times its size of a page may be scanned to find the ends of rows
whose values hold what looks like another row."""

_GAP_LIMIT_BYTES = 64
"""Most white space before a row, with the comma or bracket before that."""

_BETWEEN_ROWS = b', \t\r\n'
_ARRAY_END = re.compile(rb'\s*+\]\s*+,\s*+"\w++"\s*+:')
_NEXT = re.compile(rb'\s*+(.?)', re.DOTALL)


@dataclasses.dataclass(frozen=True, slots=True)
class RawPage:
    """A page's rows, and the values beside them by name, all undecoded.

    ``left_out`` is the number of unreadable rows that are not in ``rows``.
    """

    rows: list[bytes]
    beside: dict[str, bytes]
    left_out: int = 0

    def value(
        self, name: str, decode: typing.Callable[[bytes], typing.Any]
    ) -> typing.Any:
        """Return a decoded value, None if it is missing or unreadable."""
        try:
            return decode(self.beside[name])
        except (*protocol.DECODE_ERRORS, KeyError):
            return None


async def split_page(
    content: bytes, rows_name: str, first_members: tuple[str, ...]
) -> RawPage:
    """Split a page into its rows without decoding them.

    A decoder rejects a whole page for one row that it cannot decode, such as
    one that is nested too deeply or holds text that is not JSON.  Other tasks
    run between the rows: a malformed row may look like a great many.

    Parameters
    ----------
    content
        A JSON object with the rows as an array.
    rows_name
        The name of the array.
    first_members
        The members that a row may begin with, to find the rows behind a
        malformed one.

    Raises
    ------
    ValueError
        If no rows can be found.
    """
    array = re.search(rb'"%b"\s*+:\s*+\[' % rows_name.encode(), content)
    if array is None:
        raise ValueError('the page has no rows')
    splitter = _PageSplitter(content, array.end() - 1, first_members)
    await splitter.run()
    beside = {
        name.decode(): value
        for part in (content[: array.start()], splitter.tail())
        for name, value in _PLAIN_MEMBER.findall(part)
    }
    return RawPage(splitter.rows(), beside, splitter.left_out)


class _PageSplitter:
    """Finds the rows of a page.

    A row starts where the text looks like the beginning of one.  It ends where
    its value ends; a malformed one takes in all text up to the next start.
    The tail is the text from the bracket that closes the array on.

    Parameters
    ----------
    content
        The page.
    array_at
        The position of the bracket that opens the array of rows.
    first_members
        The members that a row may begin with.
    """

    def __init__(
        self, content: bytes, array_at: int, first_members: tuple[str, ...]
    ) -> None:
        self._turns = _loop_turns.LoopTurns()
        self._content = content
        self._view = memoryview(content)
        self._rows_at = array_at + 1
        # Searched from the end: an unreadable row may hold any brackets.
        tail_at = content.rfind(b']', array_at)
        self._has_tail = bool(_TAIL.fullmatch(content, max(tail_at, 0)))
        self._rows_end = tail_at if self._has_tail else len(content)
        self._tail_at = self._rows_end
        names = '|'.join(map(re.escape, first_members)).encode()
        pattern = rb'\{\s*+"(?:%b)"\s*+:' % names
        self._row_starts = re.compile(pattern).finditer(
            content, array_at, self._rows_end
        )
        self._nested_left_bytes = _NESTED_SCAN_PAGES * len(content)
        self._spans: list[tuple[int, int]] = []
        self._is_last_row_unreadable = False
        self._unreadable_count = 0
        self.left_out = 0

    def rows(self) -> list[bytes]:
        """Return the rows found."""
        return [self._content[begin:end] for begin, end in self._spans]

    def tail(self) -> bytes:
        """Return the text behind the rows; only its beginning if unusual."""
        if self._has_tail:
            return self._content[self._tail_at :]
        return self._content[self._tail_at : self._tail_at + _TAIL_LIMIT_BYTES]

    async def run(self) -> None:
        """Find all rows."""
        begin = await self._next_row_start(0)
        if begin is None:
            raise ValueError('the page has no rows')
        self._add_unreadable(self._rows_at, begin)
        while begin is not None:
            following = await self._add_row(begin)
            end = self._rows_end if following is None else following
            await self._turns.spend(end - begin + _ROW_COST_BYTES)
            begin = following

    async def _next_row_start(self, least: int) -> int | None:
        """Return where the next row seems to begin, at ``least`` or later."""
        for found in self._row_starts:
            begin = found.start()
            gap = self._content[max(0, begin - _GAP_LIMIT_BYTES) : begin]
            if begin >= least and gap.rstrip().endswith((b'[', b',')):
                return begin
            await self._turns.spend(_ROW_COST_BYTES)
        return None

    async def _add_row(self, begin: int) -> int | None:
        """Add the row at a position; return where the next one begins."""
        following = await self._next_row_start(begin + 1)
        limit = self._rows_end if following is None else following
        scan = _json_scan.scan_value(self._view[begin:limit])
        end = self._checked_end(begin, scan, limit)
        if scan.is_unfinished and self._nested_left_bytes > 0:
            end = self._end_of_nested(begin)
        if end is None and following is None and self._has_tail:
            end = self._end_before_unusual_tail(begin)
        if end is None:
            self._add_unreadable(begin, limit)
            return following
        self._spans.append((begin, end))
        self._is_last_row_unreadable = False
        if following is not None and following < end:
            following = await self._next_row_start(end)
        if following is None and not self._has_tail:
            self._tail_at = end
        else:
            rest_end = self._rows_end if following is None else following
            self._add_unreadable(end, rest_end)
        return following

    def _end_of_nested(self, begin: int) -> int | None:
        """Return the end of a row that holds what looks like another one."""
        limit = min(self._rows_end, begin + self._nested_left_bytes)
        scan = _json_scan.scan_value(self._view[begin:limit])
        self._nested_left_bytes -= scan.scanned
        return self._checked_end(begin, scan, limit)

    def _end_before_unusual_tail(self, begin: int) -> int | None:
        """Return the end of the last row if the tail holds other values."""
        scan = _json_scan.scan_value(self._view[begin:])
        if scan.end is None:
            return None
        end = begin + scan.end
        if _ARRAY_END.match(self._content, end) is None:
            return None
        self._has_tail = False
        return end

    def _checked_end(
        self, begin: int, scan: _json_scan.ValueScan, limit: int
    ) -> int | None:
        """Return the end of a sound row, None if more text belongs to it."""
        if scan.end is None:
            return None
        end = begin + scan.end
        behind = _NEXT.match(self._content, end, limit)[1]
        is_array_end = behind == b']' and not self._has_tail
        return end if behind in (b'', b',') or is_array_end else None

    def _add_unreadable(self, begin: int, end: int) -> None:
        """Add the text between two positions as a row, unless it is blank.

        A row ends with a bracket, so text that follows one without it belongs
        to the same row.
        """
        begin, end = self._strip(begin, end)
        if begin == end:
            return
        if self._is_last_row_unreadable:
            first, last = self._spans[-1]
            if self._content[last - 1 : last] != b'}':
                self._spans[-1] = (first, end)
                return
        if self._unreadable_count >= _UNREADABLE_LIMIT:
            self.left_out += 1
            return
        self._unreadable_count += 1
        self._spans.append((begin, end))
        self._is_last_row_unreadable = True

    def _strip(self, begin: int, end: int) -> tuple[int, int]:
        """Return the bounds of a text without what separates rows."""
        text = self._content[begin:end].lstrip(_BETWEEN_ROWS)
        begin = end - len(text)
        return begin, begin + len(text.rstrip(_BETWEEN_ROWS))
