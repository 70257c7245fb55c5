"""Daemons tell their neighbour who coordinates.

A daemon that starts while it cannot reach the store knows nobody, and would
refuse every request until the store is back.  Those that were there before
know its address from their list, so each tells the next one on a ring of
all daemons every second.  What is told is only used by a daemon that has not
read the list itself.
"""

import typing

import msgspec

from samphiredock.coordination.forwarding import _roles
from samphiredock import protocol

INTRODUCTION_PATH = '/samphiredock/coordinators'

INTRODUCE_EVERY_MS = 1_000.0
"""How soon a daemon that starts is told.  A kilobyte a second, most of it
within a site."""

TRIED = 4
"""How many on the ring are tried until one takes it; the next may be down
itself."""

_SIZE_AT_FULL_PACE = 100
"""Daemons up to which each tells its neighbour every second; beyond, the
list of coordinators grows with the sites and the pace falls with it.  At 195
daemons each 2 s, 0.8 KB/s each; with 30 here a daemon that starts without the
store waited 6.5 s, of the 1 to 2 s that callers wait."""

_decode = msgspec.json.Decoder(tuple[_roles.Daemon, ...]).decode


def introduction_interval_ms(daemons: int) -> float:
    """Return the time between two introductions by one daemon."""
    return INTRODUCE_EVERY_MS * max(1.0, daemons / _SIZE_AT_FULL_PACE)


def successors(
    daemons: typing.Iterable[_roles.Daemon], name: str
) -> list[_roles.Daemon]:
    """Return the daemons after ``name`` on the ring, those to be tried.

    Ordered by site first, so that most introductions stay within a site.
    """
    ring = sorted(daemons, key=lambda row: (row.site, row.name))
    names = [row.name for row in ring]
    if name not in names:
        return []
    at = names.index(name) + 1
    return [*ring[at:], *ring[: at - 1]][:TRIED]


def introduction_request(
    daemons: typing.Iterable[_roles.Daemon],
) -> protocol.HttpRequest:
    """Return what the neighbour is told."""
    headers = (('Host', 'samphiredock'), ('Content-Type', 'application/json'))
    body = msgspec.json.encode(tuple(daemons))
    return protocol.HttpRequest('POST', INTRODUCTION_PATH, headers, body)


def read_introduction(body: bytes) -> tuple[_roles.Daemon, ...] | None:
    """Return the daemons that are told of, None if it cannot be read."""
    try:
        return _decode(body)
    except msgspec.DecodeError:
        return None
