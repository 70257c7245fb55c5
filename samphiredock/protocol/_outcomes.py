"""Outcomes of requests; a caller gets exactly one for each request.

``detail`` is an explanation for people, ``retry_after_ms`` how long the
caller should wait before it tries again.
"""

import enum

import msgspec


class KeyRange(msgspec.Struct, frozen=True, array_like=True):
    """A half-open range ``[low, high)`` of an index's key space."""

    low: int
    high: int


class Record(msgspec.Struct, frozen=True):
    """One record of a search result; ``key`` is unique within its index."""

    key: str
    score: float
    fields: dict[str, str]


class NotRunReason(enum.Enum):
    """Why a request was not run; the values are part of the public API."""

    BAD_REQUEST = 'bad-request'
    UNKNOWN_SERVICE = 'unknown-service'
    UNKNOWN_SEARCH = 'unknown-search'
    UNKNOWN_OPERATION = 'unknown-operation'
    STALE_KEY = 'stale-idempotency-key'
    KEY_REUSED = 'idempotency-key-reused'
    OVERLOADED = 'overloaded'
    SHARE_EXCEEDED = 'share-exceeded'
    DEADLINE_TOO_SHORT = 'deadline-too-short'
    QUARANTINED = 'quarantined'
    PLATFORM_UNAVAILABLE = 'platform-unavailable'
    NO_TARGET = 'no-target'
    NO_SNAPSHOT = 'no-snapshot'
    SHUTTING_DOWN = 'shutting-down'
    NOT_READY = 'not-ready'
    UNKNOWN_ROUTE = 'unknown-route'
    ROUTES_OUTDATED = 'routes-outdated'


class Answered(msgspec.Struct, frozen=True, tag='answered'):
    """The complete answer of a search, read from one snapshot.

    ``coverage`` is the fraction of the key space searched, 0.0 to 1.0.
    """

    records: list[Record]
    snapshot_id: int
    coverage: float


class Partial(msgspec.Struct, frozen=True, tag='partial'):
    """The answer of a search that lacks the key ranges in ``missing``.

    ``coverage`` is the fraction of the key space searched, 0.0 to 1.0.
    ``records`` holds the records found in the covered ranges, up to the
    search's limit.  It may also hold records of a missing range, from a
    target that stopped before the end of the range.
    """

    records: list[Record]
    snapshot_id: int
    coverage: float
    missing: list[KeyRange]
    detail: str


class Completed(msgspec.Struct, frozen=True, tag='completed'):
    """An unrepeatable request ran to its end at a target.

    ``accepted`` says whether the target's application accepted the request,
    and ``result`` is what it returned.  ``replayed`` says that this is the
    stored outcome of an earlier request with the same idempotency key.
    """

    result: dict[str, str]
    accepted: bool
    replayed: bool


class NotRun(msgspec.Struct, frozen=True, tag='not-run'):
    """The request was not run and will not be; no target has started it."""

    reason: NotRunReason
    detail: str
    retry_after_ms: int


class Unknown(msgspec.Struct, frozen=True, tag='unknown'):
    """The request may or may not have run, or a search has no answer."""

    detail: str
    retry_after_ms: int


SearchOutcome = Answered | Partial | NotRun | Unknown
RunOutcome = Completed | NotRun | Unknown
Outcome = Answered | Partial | Completed | NotRun | Unknown
