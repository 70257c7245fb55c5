"""Bodies of the HTTP protocol between a dispatcher and a target."""

import enum

import msgspec

from samphiredock.protocol import _outcomes


class TargetStatus(enum.Enum):
    """A target's own word on one item."""

    OK = 'ok'
    SNAPSHOT_GONE = 'snapshot-gone'
    NOT_LOADED = 'not-loaded'
    SHED = 'shed'
    DRAINING = 'draining'
    EXPIRED = 'expired'
    CANCELLED = 'cancelled'


class TargetQuery(msgspec.Struct, frozen=True):
    """One item of ``POST /batch``.

    The target echoes ``fingerprint``, a digest of the request's content,
    beside the attempt: a target that mixes up two attempts of one batch is
    seen by it.
    """

    attempt_id: str
    service: str
    search: str
    terms: dict[str, str]
    limit: int
    index: str
    index_version: int
    snapshot_id: int
    shard_id: str
    deadline_ms: int
    fingerprint: str = ''


class TargetBatch(msgspec.Struct, frozen=True):
    """Body of ``POST /batch``; it takes one slot and runs in order.

    An empty one takes no slot; its answer shows the target's own signs.
    """

    items: list[TargetQuery]


class TargetAnswer(msgspec.Struct, frozen=True):
    """The answer to one item.

    It echoes the attempt, the snapshot and the request's fingerprint.
    """

    attempt_id: str
    status: TargetStatus
    snapshot_id: int = 0
    ranges: list[_outcomes.KeyRange] = []
    truncated: bool = False
    records: list[_outcomes.Record] = []
    service_ms: float = 0.0
    retry_after_ms: int = 0
    fingerprint: str = ''


class TargetBatchAnswer(msgspec.Struct, frozen=True):
    """Answer of ``POST /batch``.

    The answers are in the order of the items.  ``running`` is the target's
    count of busy slots, ``draining`` its own sign that it is leaving.
    """

    answers: list[TargetAnswer]
    draining: bool = False
    running: int = 0


class TargetRun(msgspec.Struct, frozen=True):
    """Body of ``POST /run``."""

    attempt_id: str
    service: str
    operation: str
    idempotency_key: str
    body: dict[str, str]
    deadline_ms: int


class TargetRunAnswer(msgspec.Struct, frozen=True):
    """Answer of ``POST /run``."""

    attempt_id: str
    status: TargetStatus
    accepted: bool = False
    result: dict[str, str] = {}
    draining: bool = False
    retry_after_ms: int = 0


class TargetCancel(msgspec.Struct, frozen=True):
    """Body of ``POST /cancel``."""

    attempt_ids: list[str]


class TargetCancelAnswer(msgspec.Struct, frozen=True):
    """What the target will not run any more.

    ``never_started`` had not begun and now never will; ``stopped`` had
    begun and takes no slot any longer.
    """

    never_started: list[str]
    stopped: list[str] = []


class TargetHealth(msgspec.Struct, frozen=True):
    """Answer of ``GET /health``; it may lag or mislead."""

    healthy: bool
    draining: bool
    running: int
    load: float
