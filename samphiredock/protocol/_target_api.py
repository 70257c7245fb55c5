"""Bodies of the HTTP protocol between a dispatcher and a target.

A target has a fixed number of slots; each works on one exchange at a time.
``deadline_ms`` is the time left when the request was sent;
``retry_after_ms`` how long the target asks to be left without new work.
"""

import enum

import msgspec

from samphiredock.protocol import _outcomes


class TargetStatus(enum.Enum):
    """How an item ended, as the target reports it.

    ``SNAPSHOT_GONE``: the target does not hold the snapshot.  ``NOT_LOADED``:
    it does not hold the shard, or has not loaded it yet.  ``SHED``: it is
    overloaded.  ``DRAINING``: it takes no new work because it is about to
    stop.  ``EXPIRED``: the deadline passed before the item was begun or, if
    it is a search, before it was finished.
    """

    OK = 'ok'
    SNAPSHOT_GONE = 'snapshot-gone'
    NOT_LOADED = 'not-loaded'
    SHED = 'shed'
    DRAINING = 'draining'
    EXPIRED = 'expired'
    CANCELLED = 'cancelled'


class TargetQuery(msgspec.Struct, frozen=True):
    """One item of ``POST /batch``: a sub-query for one shard.

    ``fingerprint`` is a digest of the search's content.  The target echoes
    it with the attempt id, so that a target that mixes up two attempts of
    one batch is detected.
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
    """Body of ``POST /batch``: items that run one after another in one slot.

    A batch without items takes no slot; it asks for ``draining`` and
    ``running`` only.
    """

    items: list[TargetQuery]


class TargetAnswer(msgspec.Struct, frozen=True):
    """The answer to one item.

    It echoes the attempt id, the snapshot id and the fingerprint.
    ``ranges`` are the key ranges searched; ``truncated`` means that the
    target stopped before their end.  ``service_ms`` is how long it worked.
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

    The answers are in the order of the items.  ``running`` is how many
    slots of the target are busy; ``draining`` says that it takes no new
    work because it is about to stop.
    """

    answers: list[TargetAnswer]
    draining: bool = False
    running: int = 0


class TargetRun(msgspec.Struct, frozen=True):
    """Body of ``POST /run``: an unrepeatable request."""

    attempt_id: str
    service: str
    operation: str
    idempotency_key: str
    body: dict[str, str]
    deadline_ms: int


class TargetRunAnswer(msgspec.Struct, frozen=True):
    """Answer of ``POST /run``.

    ``accepted`` says whether the target's application accepted the request,
    and ``result`` is what it returned.
    """

    attempt_id: str
    status: TargetStatus
    accepted: bool = False
    result: dict[str, str] = {}
    draining: bool = False
    retry_after_ms: int = 0


class TargetCancel(msgspec.Struct, frozen=True):
    """Body of ``POST /cancel``: attempts that are no longer wanted."""

    attempt_ids: list[str]


class TargetCancelAnswer(msgspec.Struct, frozen=True):
    """Answer of ``POST /cancel``: the attempts that were cancelled.

    Those in ``never_started`` had not begun and never will; those in
    ``stopped`` had begun and no longer occupy a slot.
    """

    never_started: list[str]
    stopped: list[str] = []


class TargetHealth(msgspec.Struct, frozen=True):
    """Answer of ``GET /health``.

    A hint only: it may be out of date, or claim health while requests fail.
    ``running`` is the number of busy slots, ``load`` the number of exchanges
    for each slot.
    """

    healthy: bool
    draining: bool
    running: int
    load: float
