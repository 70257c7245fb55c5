"""Requests of callers, and the sub-queries that a search is split into."""

import enum

import msgspec

from samphiredock.protocol import _outcomes


class SearchRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A search as a caller sends it.

    ``deadline_ms`` is the time the caller gives, 0 for the search's own;
    ``at_least_snapshot`` refuses an older snapshot than one already seen.
    """

    service: str
    search: str
    terms: dict[str, str]
    deadline_ms: int | None = None
    limit: int | None = None
    at_least_snapshot: int = 0


class RunBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An unrepeatable request as a caller sends it.

    The idempotency key comes in the ``Idempotency-Key`` header.
    """

    service: str
    operation: str
    body: dict[str, str]
    deadline_ms: int | None = None


class RunRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An unrepeatable request with the time that its key carries.

    ``issued_at_ms`` is the wall-clock time at which the key was made.
    """

    service: str
    operation: str
    body: dict[str, str]
    issued_at_ms: int
    deadline_ms: int | None = None


class SubQuery(msgspec.Struct, frozen=True):
    """One attempt to read one shard at one target.

    A ``hedge`` takes only an idle slot; it is never queued.
    """

    attempt_id: str
    index: str
    index_version: int
    snapshot_id: int
    shard_id: str
    target: str
    hedge: bool = False


class SubQueryBatch(msgspec.Struct, frozen=True):
    """Sub-queries of one query for the targets one dispatcher owns.

    ``budget_ms`` is what was left of the deadline when this was sent;
    each hop subtracts its own time on its own monotonic clock.  With
    ``alone`` each item goes to its target in an exchange of its own.
    """

    query_id: str
    service: str
    site: str
    request_class: str
    search: str
    terms: dict[str, str]
    limit: int
    fingerprint: str
    budget_ms: float
    items: list[SubQuery]
    alone: bool = False


class SubStatus(enum.Enum):
    """How one attempt ended.

    ``NOT_ORDERED`` and ``ORDER_LOST`` are ends of attempts that another
    daemon was to make: it has not asked the target, or was lost with the
    order and may have.
    """

    ANSWERED = 'answered'
    SNAPSHOT_GONE = 'snapshot-gone'
    NOT_LOADED = 'not-loaded'
    SHED = 'shed'
    DRAINING = 'draining'
    EXPIRED = 'expired'
    CANCELLED = 'cancelled'
    UNREACHABLE = 'unreachable'
    NOT_OWNER = 'not-owner'
    NO_IDLE_SLOT = 'no-idle-slot'
    QUARANTINED = 'quarantined'
    BROKEN = 'broken'
    SILENT = 'silent'
    BAD_ANSWER = 'bad-answer'
    NOT_ORDERED = 'not-ordered'
    ORDER_LOST = 'order-lost'


NEVER_STARTED = frozenset(
    {
        SubStatus.SNAPSHOT_GONE,
        SubStatus.NOT_LOADED,
        SubStatus.SHED,
        SubStatus.DRAINING,
        SubStatus.EXPIRED,
        SubStatus.CANCELLED,
        SubStatus.UNREACHABLE,
        SubStatus.NOT_OWNER,
        SubStatus.NO_IDLE_SLOT,
        SubStatus.QUARANTINED,
        SubStatus.NOT_ORDERED,
    }
)
"""The endings that prove that no target began the attempt."""


class SubAnswer(msgspec.Struct, frozen=True):
    """The end of one attempt, as the dispatcher reports it.

    ``ranges`` are the key ranges that the target says it searched;
    ``truncated`` means that it stopped early within them.  ``waited_ms``
    is the time in the dispatcher's queue.  ``ran_alone`` says that no other
    request was in the same exchange, and ``target_lost`` that the target
    could not be reached afterwards: together they make a crash suspect.
    ``took_ms`` is what the target took as seen where it was asked, 0 if
    that is where this is read.
    """

    attempt_id: str
    target: str
    status: SubStatus
    snapshot_id: int = 0
    ranges: list[_outcomes.KeyRange] = []
    truncated: bool = False
    records: list[_outcomes.Record] = []
    service_ms: float = 0.0
    waited_ms: float = 0.0
    retry_after_ms: int = 0
    ran_alone: bool = False
    target_lost: bool = False
    detail: str = ''
    took_ms: float = 0.0


class SubAnswerBatch(msgspec.Struct, frozen=True):
    """Ended attempts, from a dispatcher to the query's coordinator."""

    query_id: str
    answers: list[SubAnswer]


class CancelAttempts(msgspec.Struct, frozen=True):
    """The sender no longer wants these attempts.

    For an unrepeatable request the dispatcher answers with a
    :class:`RunReport` whose status is ``CANCELLED`` only when it is proved
    that the target has not begun and never will.
    """

    query_id: str
    attempt_ids: list[str]


class RunOrder(msgspec.Struct, frozen=True):
    """Ask a dispatcher to run an unrepeatable request at a target, once."""

    attempt_id: str
    service: str
    site: str
    request_class: str
    operation: str
    target: str
    idempotency_key: str
    body: dict[str, str]
    fingerprint: str
    budget_ms: float


class RunReport(msgspec.Struct, frozen=True):
    """How a :class:`RunOrder` ended."""

    attempt_id: str
    target: str
    status: SubStatus
    accepted: bool = False
    result: dict[str, str] = {}
    retry_after_ms: int = 0
    target_lost: bool = False
    detail: str = ''
