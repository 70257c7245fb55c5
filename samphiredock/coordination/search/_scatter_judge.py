"""What the end of one attempt means for its shard."""

import dataclasses
import enum

from samphiredock.coordination.search import _merge
from samphiredock.coordination.search import _scatter_round
from samphiredock.coordination.search import _scatter_types
from samphiredock import protocol

_Status = protocol.SubStatus


class Verdict(enum.Enum):
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
    PASSING = 'passing'
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

    costly: bool = True
    gone: bool = False
    again: bool = False
    unasked: bool = False
    counter: str | None = None


RETRY_RULES = {
    Verdict.PART: RetryRule(),
    Verdict.EMPTY: RetryRule(
        costly=False, again=True, counter='empty_answers'
    ),
    Verdict.WRONG_SNAPSHOT: RetryRule(
        gone=True, counter='wrong_snapshot_answers'
    ),
    Verdict.BAD: RetryRule(counter='bad_answers'),
    Verdict.FAILED: RetryRule(),
    Verdict.GONE: RetryRule(costly=False, gone=True),
    Verdict.BUSY: RetryRule(costly=False, unasked=True),
    Verdict.PASSING: RetryRule(costly=False, again=True),
    Verdict.REFUSED: RetryRule(costly=False),
    # Says nothing of the target, which may have run it.
    Verdict.UNKNOWN: RetryRule(),
}

TARGET_FAULTS = frozenset({Verdict.FAILED, Verdict.BAD, Verdict.PASSING})
"""Ends that speak against the replica: another one is asked first."""

_OF_STATUS = {
    _Status.SNAPSHOT_GONE: Verdict.GONE,
    _Status.NOT_LOADED: Verdict.PASSING,
    _Status.SHED: Verdict.PASSING,
    _Status.DRAINING: Verdict.REFUSED,
    _Status.EXPIRED: Verdict.REFUSED,
    _Status.CANCELLED: Verdict.REFUSED,
    _Status.UNREACHABLE: Verdict.PASSING,
    _Status.NOT_OWNER: Verdict.PASSING,
    _Status.NO_IDLE_SLOT: Verdict.BUSY,
    _Status.QUARANTINED: Verdict.QUARANTINED,
    _Status.BROKEN: Verdict.FAILED,
    _Status.SILENT: Verdict.FAILED,
    _Status.BAD_ANSWER: Verdict.BAD,
    _Status.NOT_ORDERED: Verdict.BUSY,
    _Status.ORDER_LOST: Verdict.UNKNOWN,
}


def judge(
    answer: protocol.SubAnswer,
    shard: _scatter_round.ShardState,
    snapshot_id: int,
) -> Verdict:
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
            Verdict.LOST if answer.target_lost else _OF_STATUS[answer.status]
        )
    if answer.snapshot_id != snapshot_id:
        # Merging it would mix two versions of the index in one answer.
        return Verdict.WRONG_SNAPSHOT
    asked = shard.shard.key_range
    if not _merge.is_within(answer.ranges, asked):
        return Verdict.BAD
    if not answer.ranges:
        # A target that has not loaded its shard finds nothing in it.
        return Verdict.EMPTY
    shard.answers.append(answer)
    if not answer.truncated:
        shard.ranges.extend(answer.ranges)
    whole = _merge.covers(shard.ranges, asked)
    return Verdict.WHOLE if whole else Verdict.PART


def apply(
    rule: RetryRule,
    answer: protocol.SubAnswer,
    shard: _scatter_round.ShardState,
    tally: _scatter_types.Tally,
) -> None:
    """Note in ``shard`` which replicas may be asked after an ending."""
    if rule.counter:
        tally.count(rule.counter)
    shard.gone = shard.gone or rule.gone
    if rule.unasked:
        shard.tried.discard(answer.target)
    if rule.again:
        shard.again.add(answer.target)
        shard.pause_ms = max(shard.pause_ms, answer.retry_after_ms)
