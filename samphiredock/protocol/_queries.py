"""Requests of callers, and the attempts that daemons make for them.

A search is split into sub-queries, one for each shard; a sub-query may take
several attempts.  The coordinator of a request plans them, and the
dispatcher of a target, the daemon that owns it, makes them.
"""

import enum

import msgspec

from samphiredock.protocol import _outcomes


class SearchRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A search as a caller sends it.

    ``deadline_ms`` is how long the caller waits, None for the search's
    configured deadline.  ``limit`` is the largest number of records, at most
    and by default the search's configured one.  The search is not run on a
    snapshot with an id below ``at_least_snapshot``, so that a caller never
    reads older data than it has already seen.
    """

    service: str
    search: str
    terms: dict[str, str]
    deadline_ms: int | None = None
    limit: int | None = None
    at_least_snapshot: int = 0


class RunBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An unrepeatable request as a caller sends it.

    The idempotency key is in the ``Idempotency-Key`` header.
    ``deadline_ms`` is how long the caller waits, None for the operation's
    configured deadline.
    """

    service: str
    operation: str
    body: dict[str, str]
    deadline_ms: int | None = None


class RunRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An unrepeatable request with the creation time of its key.

    ``issued_at_ms`` is that time in ms since the epoch; ``deadline_ms`` is
    as in :class:`RunBody`.
    """

    service: str
    operation: str
    body: dict[str, str]
    issued_at_ms: int
    deadline_ms: int | None = None


class SubQuery(msgspec.Struct, frozen=True):
    """One attempt to search one shard at one target.

    A ``hedge`` is sent only if the target has an idle slot; it is never
    queued.
    """

    attempt_id: str
    index: str
    index_version: int
    snapshot_id: int
    shard_id: str
    target: str
    hedge: bool = False


class SubQueryBatch(msgspec.Struct, frozen=True):
    """Sub-queries of one search, for targets of one dispatcher.

    ``budget_ms`` is the time left until the deadline when the batch was
    sent; each daemon subtracts the time it takes, by its monotonic clock.
    ``site`` is the coordinator's, whose share of the targets is used.
    ``fingerprint`` is the digest of the search's content.  With ``alone``
    each item is sent to its target without any other request in the same
    exchange.
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

    ``SNAPSHOT_GONE``, ``NOT_LOADED``, ``DRAINING``: as in
    :class:`TargetStatus`.  ``SHED``: refused for overload, by the target or
    by the dispatcher's queue.  ``EXPIRED``: the deadline was too near.
    ``UNREACHABLE``: no connection to the target.  ``NOT_OWNER``: the daemon
    asked does not own the target, or the target is not of the service.
    ``NO_IDLE_SLOT``: a hedge would have had to wait.  ``QUARANTINED``: the
    request's content is known or suspected to crash targets.

    ``BROKEN``: the exchange failed after it had begun.  ``SILENT``: no
    response in time.  ``BAD_ANSWER``: a malformed or mismatched response.

    The last two are for attempts of a merge order.  ``NOT_ORDERED``: the
    daemon that received the order has not asked the target.  ``ORDER_LOST``:
    contact with that daemon was lost; it may have asked the target.
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
"""The statuses of attempts that count as not begun by any target.

For an unrepeatable request they are proof of that.  A search may have been
begun and then stopped if its status is ``EXPIRED`` or ``CANCELLED``.
"""


class SubAnswer(msgspec.Struct, frozen=True):
    """The result of one attempt, as the dispatcher reports it.

    ``ranges`` are the key ranges that the target says it searched;
    ``truncated`` means that it stopped before their end.  ``service_ms`` is
    the service time that the target reports, ``waited_ms`` the time in the
    dispatcher's queue.  ``ran_alone`` says that no other request was in the
    same exchange, ``target_lost`` that the target could not be reached
    afterwards; if both are set, the request's content is suspected of
    crashing the target.  ``took_ms`` is the duration of the attempt as
    measured by the daemon that asked the target, 0 if the coordinator
    measures it itself.
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
    """Results of attempts, from a dispatcher to the search's coordinator."""

    query_id: str
    answers: list[SubAnswer]


class CancelAttempts(msgspec.Struct, frozen=True):
    """Cancels attempts of the sender at a dispatcher.

    An attempt to run an unrepeatable request is answered by a
    :class:`RunReport` with the status ``CANCELLED`` only if it is certain
    that the target has not begun it and never will.
    """

    query_id: str
    attempt_ids: list[str]


class RunOrder(msgspec.Struct, frozen=True):
    """Asks a dispatcher to run an unrepeatable request at a target, once.

    ``budget_ms`` is the time left until the deadline when the order was
    sent; ``site`` is the coordinator's.  ``fingerprint`` is the digest of
    the request's content.
    """

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
    """How a :class:`RunOrder` ended.

    ``accepted`` and ``result`` are as in :class:`TargetRunAnswer`; they are
    set only with the status ``ANSWERED``.  ``target_lost`` says that the
    target could not be reached afterwards.
    """

    attempt_id: str
    target: str
    status: SubStatus
    accepted: bool = False
    result: dict[str, str] = {}
    retry_after_ms: int = 0
    target_lost: bool = False
    detail: str = ''
