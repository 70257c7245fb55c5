"""Decides what a coordinator may do with a routing table that may be old.

A daemon that has contact with the store may know a newer table, and its
callers would see a change undone.  So a coordinator that has lost contact
regularly asks some other coordinators for their version.  It may serve if any
of them answers and none that had contact with the store knew a newer version.
If none has contact, an old table is the best available.  Asking in the
background keeps the check off the path of requests: when all had lost the
store and each request asked, 15 coordinators refused it 30 times, which took
115 ms of an aim of 57 to 120 ms.

That a route does not exist is a claim about the present, so it needs more: no
newer version may be known to anyone, and the store itself or a peer that has
contact with it must have confirmed the table lately.

Versions are the operator's and only rise.  A store that has come back from an
older copy shows an old version until the operator writes the newer one again,
so the newest version known is never lowered.
"""

import dataclasses
import typing

import msgspec

from samphiredock import protocol

STORE_STATUS_PATH = '/samphiredock/heard'
"""Where daemons ask each other for their store status."""

ROUTING_PATH = '/samphiredock/routing'
"""Where daemons read the routing table that a peer holds."""

FRESHNESS_CHECK_INTERVAL_MS = 500.0
"""How often a coordinator that has lost the store asks."""

VALID_MS = 1_200.0
"""How long a round is valid, so that one lost round does no harm.  A change
may go unnoticed for this long."""

FRESHNESS_CHECK_PEERS = 8
"""How many peers are asked in a round.  If only some daemons have lost the
store, at least one of these very likely has not: if a third has, all of eight
are among them once in 6,000 times."""


class StoreStatus(msgspec.Struct, frozen=True):
    """The status that a daemon reports to its peers.

    ``version`` is that of its routing table; ``hears`` says whether it has
    contact with the store.
    """

    version: int
    hears: bool


_decode = msgspec.json.Decoder(StoreStatus).decode


@dataclasses.dataclass(frozen=True, slots=True)
class RoundResult:
    """The result of one round of questions, asked at ``at_ms``.

    ``newest`` is the newest version among peers that have contact with the
    store, None if none has.
    """

    at_ms: float
    newest: int | None


class FreshnessCheck:
    """Keeps the last round of questions and the newest versions heard of."""

    def __init__(self) -> None:
        self._last_round: RoundResult | None = None
        self._newest_known = 0
        # The newest version of a peer that had contact with the store.
        self._newest_confirmed = 0

    def note_version(self, version: int) -> None:
        """Record a version that some daemon holds or has used."""
        self._newest_known = max(self._newest_known, version)

    def knows_newer_than(self, version: int) -> bool:
        """Whether some daemon holds a newer table than this version."""
        return self._newest_known > version

    def record_round(
        self, answers: typing.Sequence[StoreStatus], asked_ms: float
    ) -> RoundResult | None:
        """Record the answers to questions sent at ``asked_ms``.

        A round without answers is ignored: this daemon may be cut off, and the
        others may know more.
        """
        for row in answers:
            self.note_version(row.version)
        if answers:
            versions = [row.version for row in answers if row.hears]
            newest = max(versions) if versions else None
            self._last_round = RoundResult(asked_ms, newest)
            self._newest_confirmed = max(self._newest_confirmed, newest or 0)
        return self._last_round

    def may_serve(self, version: int, now_ms: float) -> bool:
        """Whether this daemon may serve others with a given version."""
        return (
            self._valid_round(now_ms) is not None
            and self._newest_confirmed <= version
        )

    def may_deny(
        self, version: int, now_ms: float, has_store_contact: bool
    ) -> bool:
        """Whether a route unknown to a given version does not exist now."""
        if self.knows_newer_than(version):
            return False
        if has_store_contact:
            return True
        last_round = self._valid_round(now_ms)
        return last_round is not None and last_round.newest is not None

    def _valid_round(self, now_ms: float) -> RoundResult | None:
        last_round = self._last_round
        if last_round is None or now_ms - last_round.at_ms > VALID_MS:
            return None
        return last_round


def store_status_request() -> protocol.HttpRequest:
    """Return the request for another daemon's store status."""
    return _request(STORE_STATUS_PATH)


def routing_request() -> protocol.HttpRequest:
    """Return the request for the routing table that another daemon holds."""
    return _request(ROUTING_PATH)


def routing_reply(value: bytes | None) -> protocol.HttpReply:
    """Return the reply with a routing table as it is stored, if any."""
    if value is None:
        return protocol.HttpReply(404, body=b'no routing table yet')
    return protocol.HttpReply(
        200, (('Content-Type', 'application/json'),), value
    )


def _request(path: str) -> protocol.HttpRequest:
    return protocol.HttpRequest('GET', path, (('Host', 'samphiredock'),))


def store_status_reply(version: int, hears: bool) -> protocol.HttpReply:
    """Return the reply with this daemon's store status."""
    body = msgspec.json.encode(StoreStatus(version, hears))
    return protocol.HttpReply(
        200, (('Content-Type', 'application/json'),), body
    )


def read_store_status(reply: protocol.HttpReply) -> StoreStatus | None:
    """Return the store status in a reply, None if it is malformed."""
    try:
        return _decode(reply.body) if reply.status == 200 else None
    except protocol.DECODE_ERRORS:
        return None
