"""Pages of rows in JSON, of which some rows may be unreadable."""

import contextlib
import dataclasses
import re
import typing

from samphiredock import protocol
from samphiredock.transport import _json_scan

_PLAIN_MEMBER = re.compile(rb'"(\w+)"\s*:\s*([^\s,{}\[\]"]+)')


@dataclasses.dataclass(frozen=True, slots=True)
class RawPage:
    """A page's rows, and the values beside them by name, all undecoded."""

    rows: list[bytes]
    beside: dict[str, bytes]

    def value(
        self, name: str, decode: typing.Callable[[bytes], typing.Any]
    ) -> typing.Any:
        """Return a decoded value, None if it is missing or unreadable."""
        try:
            return decode(self.beside[name])
        except (*protocol.DECODE_ERRORS, KeyError):
            return None


def split_page(
    content: bytes, rows_name: str, first_members: tuple[str, ...]
) -> RawPage:
    """Split a page into its rows without decoding them.

    A decoder rejects a whole page for one row that it cannot decode, such as
    one that is nested too deeply or holds text that is not JSON.

    Parameters
    ----------
    content
        A JSON object with the rows as an array.
    rows_name
        The name of the array.
    first_members
        The members that a row may begin with, to find the rows if the brackets
        of one do not match.

    Raises
    ------
    ValueError
        If no rows can be found.
    """
    try:
        beside = _json_scan.members(content)
        rows = _json_scan.elements(beside.pop(rows_name))
        return RawPage(rows, beside)
    except (KeyError, _json_scan.ScanError):
        return _split_unbalanced(content, first_members)


def _split_unbalanced(
    content: bytes, first_members: tuple[str, ...]
) -> RawPage:
    """Split a page in which the brackets or quotes of some row do not match.

    That row may take in the text behind it, but not the rows after it.
    """
    names = '|'.join(map(re.escape, first_members)).encode()
    start = re.compile(rb'[\[,]\s*(?P<row>\{\s*"(?:' + names + rb')"\s*:)')
    begins = [found.start('row') for found in start.finditer(content)]
    if not begins:
        raise ValueError('the page has no rows')
    rows = []
    tail = b''
    for begin, end in zip(begins, [*begins[1:], len(content)]):
        row = content[begin:end]
        # Without its end, a row is unreadable and so is what follows it.
        with contextlib.suppress(_json_scan.ScanError):
            row = _json_scan.leading_value(row)
        rows.append(row)
        tail = content[begin + len(row) : end]
    beside = {
        name.decode(): value for name, value in _PLAIN_MEMBER.findall(tail)
    }
    return RawPage(rows, beside)
