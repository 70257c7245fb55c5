"""Daemons send the list of coordinators to their neighbours on a ring.

A daemon that starts while the store is unreachable knows no coordinators and
would refuse every request.  Other daemons still have its address in their
list, so each one regularly sends the coordinators to the next daemon on a
ring.  This is an introduction; the receiver uses it only until it has read the
list from the store itself.
"""

import typing

import msgspec

from samphiredock.coordination.forwarding import _roles
from samphiredock import protocol

INTRODUCTION_PATH = '/samphiredock/coordinators'

MIN_INTERVAL_MS = 1_000.0
"""Interval between introductions in a small system."""

MAX_ATTEMPTS = 4
"""How many daemons on the ring are tried until one accepts."""

_FULL_RATE_DAEMONS = 100
"""Number of daemons beyond which the interval grows, since the list of
coordinators, and with it the traffic, grows with the system.  195 daemons send
the list every 2 s, 0.8 KB/s each.  With 30 here, a daemon that starts without
the store waited 6.5 s, and callers wait 1 to 2 s."""

_decode = msgspec.json.Decoder(tuple[_roles.Daemon, ...]).decode


def introduction_interval_ms(daemons: int) -> float:
    """Return the time between two introductions by one daemon."""
    return MIN_INTERVAL_MS * max(1.0, daemons / _FULL_RATE_DAEMONS)


def successors(
    daemons: typing.Iterable[_roles.Daemon], name: str
) -> list[_roles.Daemon]:
    """Return the daemons after ``name`` on the ring, the next one first.

    The introduction is sent to the first of them that accepts it.
    The ring is ordered by site, so that most introductions stay within one.
    """
    ring = sorted(daemons, key=lambda row: (row.site, row.name))
    names = [row.name for row in ring]
    if name not in names:
        return []
    at = names.index(name) + 1
    return [*ring[at:], *ring[: at - 1]][:MAX_ATTEMPTS]


def introduction_request(
    daemons: typing.Iterable[_roles.Daemon],
) -> protocol.HttpRequest:
    """Return the request that sends the coordinators to a neighbour."""
    headers = (('Host', 'samphiredock'), ('Content-Type', 'application/json'))
    body = msgspec.json.encode(tuple(daemons))
    return protocol.HttpRequest('POST', INTRODUCTION_PATH, headers, body)


def read_introduction(body: bytes) -> tuple[_roles.Daemon, ...] | None:
    """Return the daemons that a request lists, None if it is malformed."""
    try:
        return _decode(body)
    except protocol.DECODE_ERRORS:
        return None
