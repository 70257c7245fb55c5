"""Classifies the result of an attempt, and how its shard goes on."""

import dataclasses
import enum

from samphiredock.coordination.search import _merge
from samphiredock.coordination.search import _scatter_round
from samphiredock.coordination.search import _scatter_types
from samphiredock import protocol

_Status = protocol.SubStatus


class AttemptResult(enum.Enum):
    """The kinds of results of attempts.

    ``WHOLE`` and ``PART``: accepted, and the shard's key range is now
    searched entirely or in part.  ``EMPTY``: no range was searched.
    ``WRONG_SNAPSHOT``: the answer is of another snapshot.  ``BAD``: the
    answer contradicts the sub-query.  ``FAILED``: the exchange broke off or
    got no response.  ``LOST``: the target was lost while it ran the attempt.
    ``GONE``: the target no longer has the snapshot.  ``BUSY``: the attempt
    was not taken, since no slot was idle or its order was not accepted.
    ``TRANSIENT``: the same target may accept it later.  ``REFUSED``: the
    target drains, or the attempt expired or was cancelled.
    ``QUARANTINED``: the request content is refused.  ``UNKNOWN``: the target
    may have run it.
    """

    WHOLE = 'whole'
    PART = 'part'
    EMPTY = 'empty'
    WRONG_SNAPSHOT = 'wrong-snapshot'
    BAD = 'bad'
    FAILED = 'failed'
    LOST = 'lost'
    GONE = 'gone'
    BUSY = 'busy'
    TRANSIENT = 'transient'
    REFUSED = 'refused'
    QUARANTINED = 'quarantined'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class RetryRule:
    """How a shard goes on after a result that did not settle it.

    Parameters
    ----------
    uses_budget
        The target spent time on the attempt, so a retry needs budget.
    snapshot_gone
        The replica no longer has the search's snapshot.
    retry_after_pause
        The same replica may be queried once more after a pause.
    not_attempted
        The same replica may be queried at once: it never took the attempt.
    counter
        The counter of :class:`Tally` to increment.
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
    # The target may have run it, but is not at fault.
    AttemptResult.UNKNOWN: RetryRule(),
}

TARGET_FAULTS = frozenset(
    {AttemptResult.FAILED, AttemptResult.BAD, AttemptResult.TRANSIENT}
)
"""Results that count as failures of the target when a replica is chosen."""

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
    """Return the kind of a result, and add a sound answer to its shard.

    Parameters
    ----------
    answer
        The result of an attempt on ``shard``.
    shard
        A sound answer is added to it.
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
        # Merging it would mix two versions of the index in one outcome.
        return AttemptResult.WRONG_SNAPSHOT
    requested = shard.shard.key_range
    if not _merge.is_within(answer.ranges, requested):
        return AttemptResult.BAD
    if not answer.ranges:
        # A target that has not loaded its shard searches no range.
        return AttemptResult.EMPTY
    shard.answers.append(answer)
    if not answer.truncated:
        shard.ranges.extend(answer.ranges)
    whole = _merge.covers(shard.ranges, requested)
    return AttemptResult.WHOLE if whole else AttemptResult.PART


def apply_rule(
    rule: RetryRule,
    answer: protocol.SubAnswer,
    shard: _scatter_round.ShardState,
    tally: _scatter_types.Tally,
) -> None:
    """Update which replicas of ``shard`` may be queried after a result."""
    if rule.counter:
        tally.increment(rule.counter)
    shard.snapshot_gone = shard.snapshot_gone or rule.snapshot_gone
    if rule.not_attempted:
        shard.tried.discard(answer.target)
    if rule.retry_after_pause:
        shard.retryable.add(answer.target)
        shard.pause_ms = max(shard.pause_ms, answer.retry_after_ms)
