"""What the end of one attempt means for its shard."""

import dataclasses
import enum

from samphiredock.coordination.search import _merge
from samphiredock.coordination.search import _scatter_round
from samphiredock.coordination.search import _scatter_types
from samphiredock import protocol

_Status = protocol.SubStatus


class AttemptResult(enum.Enum):
    """What an ended attempt was worth."""

    WHOLE = 'whole'
    PART = 'part'
    EMPTY = 'empty'
    WRONG_SNAPSHOT = 'wrong-snapshot'
    BAD = 'bad'
    FAILED = 'failed'
    LOST = 'lost'
    GONE = 'gone'
    BUSY = 'busy'
    TRANSIENT = 'passing'
    REFUSED = 'refused'
    QUARANTINED = 'quarantined'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class RetryRule:
    """How a shard goes on after an ending that did not settle it.

    A ``costly`` ending used the target's time, so its retry draws from the
    budget.  ``gone`` means that the replica has left the snapshot,
    ``again`` that it may be asked once more after a pause, ``unasked``
    that it may be asked at once since it never took the attempt.
    """

    uses_budget: bool = True
    snapshot_gone: bool = False
    retry_after_pause: bool = False
    not_attempted: bool = False
    counter: str | None = None


RETRY_RULES = {
    AttemptResult.PART: RetryRule(),
    AttemptResult.EMPTY: RetryRule(
        uses_budget=False, retry_after_pause=True, counter='empty_answers'
    ),
    AttemptResult.WRONG_SNAPSHOT: RetryRule(
        snapshot_gone=True, counter='wrong_snapshot_answers'
    ),
    AttemptResult.BAD: RetryRule(counter='bad_answers'),
    AttemptResult.FAILED: RetryRule(),
    AttemptResult.GONE: RetryRule(uses_budget=False, snapshot_gone=True),
    AttemptResult.BUSY: RetryRule(uses_budget=False, not_attempted=True),
    AttemptResult.TRANSIENT: RetryRule(
        uses_budget=False, retry_after_pause=True
    ),
    AttemptResult.REFUSED: RetryRule(uses_budget=False),
    # Says nothing of the target, which may have run it.
    AttemptResult.UNKNOWN: RetryRule(),
}

TARGET_FAULTS = frozenset(
    {AttemptResult.FAILED, AttemptResult.BAD, AttemptResult.TRANSIENT}
)
"""Ends that speak against the replica: another one is asked first."""

_RESULT_OF_STATUS = {
    _Status.SNAPSHOT_GONE: AttemptResult.GONE,
    _Status.NOT_LOADED: AttemptResult.TRANSIENT,
    _Status.SHED: AttemptResult.TRANSIENT,
    _Status.DRAINING: AttemptResult.REFUSED,
    _Status.EXPIRED: AttemptResult.REFUSED,
    _Status.CANCELLED: AttemptResult.REFUSED,
    _Status.UNREACHABLE: AttemptResult.TRANSIENT,
    _Status.NOT_OWNER: AttemptResult.TRANSIENT,
    _Status.NO_IDLE_SLOT: AttemptResult.BUSY,
    _Status.QUARANTINED: AttemptResult.QUARANTINED,
    _Status.BROKEN: AttemptResult.FAILED,
    _Status.SILENT: AttemptResult.FAILED,
    _Status.BAD_ANSWER: AttemptResult.BAD,
    _Status.NOT_ORDERED: AttemptResult.BUSY,
    _Status.ORDER_LOST: AttemptResult.UNKNOWN,
}


def classify(
    answer: protocol.SubAnswer,
    shard: _scatter_round.ShardState,
    snapshot_id: int,
) -> AttemptResult:
    """Return what an ended attempt was worth; keep its content if sound.

    Parameters
    ----------
    answer
        The end of an attempt on ``shard``.
    shard
        Takes the ranges and records of a sound answer.
    snapshot_id
        The only snapshot whose answers may be merged.
    """
    if answer.status is not _Status.ANSWERED:
        return (
            AttemptResult.LOST
            if answer.target_lost
            else _RESULT_OF_STATUS[answer.status]
        )
    if answer.snapshot_id != snapshot_id:
        # Merging it would mix two versions of the index in one answer.
        return AttemptResult.WRONG_SNAPSHOT
    asked = shard.shard.key_range
    if not _merge.is_within(answer.ranges, asked):
        return AttemptResult.BAD
    if not answer.ranges:
        # A target that has not loaded its shard finds nothing in it.
        return AttemptResult.EMPTY
    shard.answers.append(answer)
    if not answer.truncated:
        shard.ranges.extend(answer.ranges)
    whole = _merge.covers(shard.ranges, asked)
    return AttemptResult.WHOLE if whole else AttemptResult.PART


def apply_rule(
    rule: RetryRule,
    answer: protocol.SubAnswer,
    shard: _scatter_round.ShardState,
    tally: _scatter_types.Tally,
) -> None:
    """Note in ``shard`` which replicas may be asked after an ending."""
    if rule.counter:
        tally.increment(rule.counter)
    shard.snapshot_gone = shard.snapshot_gone or rule.snapshot_gone
    if rule.not_attempted:
        shard.tried.discard(answer.target)
    if rule.retry_after_pause:
        shard.retryable.add(answer.target)
        shard.pause_ms = max(shard.pause_ms, answer.retry_after_ms)
