"""What a caller is told: exactly one outcome for each request.

The outcome types cross the wire, so they are frozen ``msgspec`` structs
(the nearest kin of frozen data classes that the codec can tag).
"""

import enum

import msgspec


class KeyRange(msgspec.Struct, frozen=True, array_like=True):
    """A half-open range ``[low, high)`` of an index's key space."""

    low: int
    high: int


class Record(msgspec.Struct, frozen=True):
    """One record found; ``key`` is unique within its index."""

    key: str
    score: float
    fields: dict[str, str]


class NotRunReason(enum.Enum):
    """Why a request was not run; the value is part of the public API."""

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


class Answered(msgspec.Struct, frozen=True, tag='answered'):
    """The whole answer, read from one snapshot.

    ``coverage`` is the covered part of the key space, 0.0 to 1.0.
    """

    records: list[Record]
    snapshot_id: int
    coverage: float


class Partial(msgspec.Struct, frozen=True, tag='partial'):
    """An answer that lacks some key ranges, and says which.

    ``records`` are all of the covered ranges (up to the limit), and may
    hold some of a missing one, read by a target that stopped early.
    """

    records: list[Record]
    snapshot_id: int
    coverage: float
    missing: list[KeyRange]
    detail: str


class Completed(msgspec.Struct, frozen=True, tag='completed'):
    """An unrepeatable request ran; ``replayed`` marks a recorded outcome.

    ``accepted`` is the target's own verdict on the business request.
    """

    result: dict[str, str]
    accepted: bool
    replayed: bool


class NotRun(msgspec.Struct, frozen=True, tag='not-run'):
    """The request was not run and will not be: no target started it."""

    reason: NotRunReason
    detail: str
    retry_after_ms: int


class Unknown(msgspec.Struct, frozen=True, tag='unknown'):
    """The request may or may not have run, or a search gave no answer."""

    detail: str
    retry_after_ms: int


SearchOutcome = Answered | Partial | NotRun | Unknown
RunOutcome = Completed | NotRun | Unknown
Outcome = Answered | Partial | Completed | NotRun | Unknown
