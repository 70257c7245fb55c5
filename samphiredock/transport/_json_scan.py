"""Finds where JSON values end in text that may be malformed.

The decoder itself skips over a value, without building it, and stops at the
first error.  So the time grows with the size of the text only, whatever the
text holds.
"""

import dataclasses
import re

import msgspec

_MEMBERS_LIMIT = 16
"""Most members of an object that are looked at."""

_decode_raw = msgspec.json.Decoder(msgspec.Raw).decode

# The decoder tells these errors apart only in its messages.
_UNFINISHED = 'Input data was truncated'
_TRAILING = 'trailing characters'
_POSITION = re.compile(r'\(byte (\d+)\)')

_MEMBER = re.compile(rb'\s*+[{,]\s*+"(\w++)"\s*+:\s*+')


@dataclasses.dataclass(frozen=True, slots=True)
class ValueScan:
    """How the value that a text begins with ends.

    ``end`` is None if the value is malformed; then ``is_unfinished`` tells
    whether more text could complete it.  ``scanned`` is the number of bytes
    that the scan has passed.
    """

    end: int | None
    scanned: int
    is_unfinished: bool = False


def scan_value(text: bytes | memoryview) -> ValueScan:
    """Return how the value that a text begins with ends."""
    size = len(text)
    try:
        _decode_raw(text)
    except RecursionError:
        return ValueScan(None, size)
    except msgspec.DecodeError as error:
        message = str(error)
    else:
        return ValueScan(size, size)
    if message == _UNFINISHED:
        return ValueScan(None, size, is_unfinished=True)
    position = _POSITION.search(message)
    if position is None:
        return ValueScan(None, size)
    scanned = int(position[1])
    return ValueScan(scanned - 1 if _TRAILING in message else None, scanned)


def leading_members(text: bytes) -> dict[str, bytes]:
    """Return the raw values of the first members of an object, by name.

    The value of the last one is all the rest of the text if it is malformed.
    """
    found: dict[str, bytes] = {}
    view = memoryview(text)
    position = 0
    for _ in range(_MEMBERS_LIMIT):
        member = _MEMBER.match(text, position)
        if member is None:
            break
        scan = scan_value(view[member.end() :])
        position = len(text)
        if scan.end is not None:
            position = member.end() + scan.end
        found[member[1].decode()] = text[member.end() : position]
    return found
