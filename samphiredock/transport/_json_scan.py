"""Finds the values in a JSON document without parsing what they contain.

A decoder rejects a whole document for one value that it cannot decode: text
or a number that is not JSON, or nesting beyond its limit.  The scan only looks
at strings, brackets and commas, and keeps no stack.
"""

import re
import typing

_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_OUTER_TOKEN = re.compile(_STRING + rb'|[\[{]|[\]}]|[,:]', re.DOTALL)
_LEAVES = rb'(?:[\[{][^"\[\]{}]*+[\]}][^"\[\]{}]*+)++'
_INNER_TOKEN = re.compile(
    _STRING + rb'|' + _LEAVES + rb'|[\[{]++|[\]}]++', re.DOTALL
)
"""Runs of brackets, and of containers that hold no other, are one token: a
value of 1 MB would take seconds bracket by bracket."""
_OPENING = b'[{'
_CLOSING = b']}'
_OUTER_DEPTH = 1


class ScanError(ValueError):
    """The document does not have the expected structure."""


def elements(content: bytes) -> list[bytes]:
    """Return the raw elements of an array.

    Raises
    ------
    ScanError
        If the array does not begin or does not end.
    """
    values = []
    begin = 0
    for separator, position in _separators(content, b'['):
        if separator == b':':
            continue
        value = content[begin:position].strip()
        if separator != b'[' and value:
            values.append(value)
        begin = position + 1
    return values


def leading_value(content: bytes) -> bytes:
    """Return the object that a text begins with, without what follows it.

    Raises
    ------
    ScanError
        If the object does not begin or does not end.
    """
    end = 0
    for _, position in _separators(content, b'{'):
        end = position + 1
    return content[:end]


def members(content: bytes) -> dict[str, bytes]:
    """Return the raw values of the members of an object, by name.

    Raises
    ------
    ScanError
        If the object does not begin or end, or if anything follows it.
    """
    found: dict[str, bytes] = {}
    name, begin = b'', 0
    for separator, position in _separators(content, b'{'):
        text = content[begin:position].strip()
        if separator == b':' and not name:
            name, begin = text, position + 1
        elif separator != b':':
            if name:
                found[name.strip(b'"').decode('utf-8', 'replace')] = text
            name, begin = b'', position + 1
    if content[begin:].strip():
        raise ScanError(f'expected nothing after byte {begin}')
    return found


def _separators(
    content: bytes, opening: bytes
) -> typing.Iterator[tuple[bytes, int]]:
    """Yield the brackets, commas and colons at the depth of a container.

    Those inside of strings and nested values are left out.
    """
    position = len(content) - len(content.lstrip())
    if content[position : position + 1] != opening:
        raise ScanError(f'expected {opening.decode()} at byte {position}')
    yield opening, position
    position += 1
    depth = _OUTER_DEPTH
    while depth:
        is_outer = depth == _OUTER_DEPTH
        pattern = _OUTER_TOKEN if is_outer else _INNER_TOKEN
        token = pattern.search(content, position)
        if token is None:
            raise ScanError(f'expected the end of {opening.decode()}')
        position = token.end()
        text = token.group()
        first = text[:1]
        if first in _OPENING:
            # Leaves end where they began.
            depth += len(text) if text[-1:] in _OPENING else 0
        elif first in _CLOSING:
            closed = min(position - token.start(), max(1, depth - 1))
            depth -= closed
            position = token.start() + closed
        if is_outer and (first in b',:' or not depth):
            yield first, token.start()
