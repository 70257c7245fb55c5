"""What one search knows of its shards at one snapshot."""

import dataclasses

from samphiredock.coordination.search import _merge
from samphiredock.coordination.search import _planner
from samphiredock import protocol
from samphiredock import state

_RETRY_AFTER_MS = 1_000
_MAX_PASSES = 2
_MIN_PAUSE_MS = 10.0

# The first of these that was seen says why a search was not run.
_REASON_OF_STATUS = (
    (protocol.SubStatus.QUARANTINED, protocol.NotRunReason.QUARANTINED),
    (protocol.SubStatus.SHED, protocol.NotRunReason.OVERLOADED),
    (protocol.SubStatus.EXPIRED, protocol.NotRunReason.OVERLOADED),
    (protocol.SubStatus.NO_IDLE_SLOT, protocol.NotRunReason.OVERLOADED),
    (protocol.SubStatus.SNAPSHOT_GONE, protocol.NotRunReason.NO_SNAPSHOT),
    (protocol.SubStatus.NOT_LOADED, protocol.NotRunReason.NO_SNAPSHOT),
)


@dataclasses.dataclass(slots=True)
class Attempt:
    """One sub-query that has not ended.

    ``is_ordered`` says that another daemon makes it and has not told yet
    that it is late.
    """

    shard: 'ShardState'
    item: protocol.SubQuery
    dispatcher: str | None
    sent_ms: float
    alone: bool
    is_ordered: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class ShardState:
    """One shard: what was tried and what was answered.

    ``again`` are replicas that refused for a reason that passes; they may
    be tried once more.  ``again_at_ms`` is when, 0 if no pause is on.
    ``ran`` are the targets that have begun it, for all that is known.
    ``hedged`` says that no (further) hedge is wanted, ``next_hedge_ms``
    from when on one may be sent after a refused one.
    """

    shard: state.Shard
    tried: set[str] = dataclasses.field(default_factory=set)
    started_on: set[str] = dataclasses.field(default_factory=set)
    retryable: set[str] = dataclasses.field(default_factory=set)
    answers: list[protocol.SubAnswer] = dataclasses.field(default_factory=list)
    ranges: list[protocol.KeyRange] = dataclasses.field(default_factory=list)
    outstanding: int = 0
    passes: int = 1
    pause_ms: float = 0.0
    retry_at_ms: float = 0.0
    hedged: bool = False
    hedge_refusals: int = 0
    next_hedge_ms: float = 0.0
    snapshot_gone: bool = False
    settled: bool = False

    def may_retry_refused(self) -> bool:
        """Whether refusals of the moment are worth a second pass."""
        return bool(self.retryable) and self.passes < _MAX_PASSES

    def schedule_retry(self, now_ms: float) -> None:
        """Open the replicas that refused for the moment once more."""
        self.passes += 1
        self.tried -= self.retryable
        self.retryable.clear()
        self.retry_at_ms = now_ms + max(_MIN_PAUSE_MS, self.pause_ms)


class Round:
    """The shards of one search at one snapshot, and their answers."""

    def __init__(self, plan: _planner.Plan, snapshot: state.Snapshot) -> None:
        self.plan = plan
        self.snapshot = snapshot
        index = snapshot.indexes[plan.search.index]
        self.index_version = index.version
        self.shards = [ShardState(shard) for shard in index.shards]
        self.unsettled = len(self.shards)
        self._uncovered_keys = 0

    @property
    def _answered_shards(self) -> int:
        return sum(1 for shard in self.shards if shard.answers)

    def settle(self, shard: ShardState) -> None:
        """Expect nothing more of this shard."""
        if not shard.settled:
            shard.settled = True
            shard.retry_at_ms = 0.0
            self.unsettled -= 1
            if not shard.ranges:
                key_range = shard.shard.key_range
                self._uncovered_keys += key_range.high - key_range.low

    def has_least_coverage(self) -> bool:
        """Whether the answers so far reach the least coverage."""
        least = least_keys(self.plan.search.least_coverage)
        return self._answered_shards > 0 and self.covered_keys() >= least

    def is_least_unreachable(self) -> bool:
        """Whether the least coverage cannot be reached any more."""
        least = least_keys(self.plan.search.least_coverage)
        return state.KEY_SPACE_SIZE - self._uncovered_keys < least

    def accepted(self) -> tuple[protocol.SubAnswer, ...]:
        """Return the answers whose content may be merged."""
        return tuple(row for shard in self.shards for row in shard.answers)

    def covered_ranges(self) -> list[protocol.KeyRange]:
        """Return the key ranges that the accepted answers searched."""
        return _merge.union_of(
            row for shard in self.shards for row in shard.ranges
        )

    def covered_keys(self) -> int:
        """Return how many places of the key space were searched."""
        return _merge.covered_keys(self.covered_ranges())

    def answer(self) -> protocol.Answered | protocol.Partial | None:
        """Return the answer at this snapshot, None below the least."""
        plan = self.plan
        covered = self.covered_ranges()
        answers = self.accepted()
        keys = _merge.covered_keys(covered)
        if not answers or keys < least_keys(plan.search.least_coverage):
            return None
        records = _merge.merge_records(answers, plan.search.merge, plan.limit)
        snapshot_id = self.snapshot.snapshot_id
        if keys == state.KEY_SPACE_SIZE:
            return protocol.Answered(records, snapshot_id, 1.0)
        missing = _merge.missing_ranges(covered)
        return protocol.Partial(
            records,
            snapshot_id,
            keys / state.KEY_SPACE_SIZE,
            missing,
            f'{len(missing)} key ranges gave no answer in time',
        )


def least_keys(least_coverage: float) -> int:
    """Return the least coverage as a count of keys, rounded up."""
    keys = least_coverage * state.KEY_SPACE_SIZE
    return int(keys) + (keys > int(keys))


def refusal_of(
    seen: dict[protocol.SubStatus, int], detail: str
) -> protocol.NotRun:
    """Return the refusal of a search that no target began.

    ``seen`` holds, for each ending, the longest ``retry_after_ms`` given.
    """
    for status, reason in _REASON_OF_STATUS:
        if status in seen:
            return protocol.NotRun(
                reason, detail, seen[status] or _RETRY_AFTER_MS
            )
    return protocol.NotRun(
        protocol.NotRunReason.NO_TARGET, detail, _RETRY_AFTER_MS
    )


def outcome_of(
    current: Round,
    older: Round | None,
    seen: dict[protocol.SubStatus, int],
    began: bool,
) -> protocol.SearchOutcome:
    """Return what the caller is told when nothing more is awaited.

    Parameters
    ----------
    current, older
        The answers at the newest snapshot tried and at the best one before;
        the one that covers more is given, never both.
    seen
        Endings without content, with the longest ``retry_after_ms`` of each.
    began
        Whether any target may have begun: then "not run" would be untrue.
    """
    best = current
    if older is not None and older.covered_keys() > current.covered_keys():
        best = older
    answer = best.answer()
    if answer is not None:
        return answer
    detail = (
        f'got coverage {best.covered_keys() / state.KEY_SPACE_SIZE:.4f}, '
        f'expected at least {best.plan.search.least_coverage}; '
        f'endings: {sorted(status.value for status in seen)}'
    )
    if began:
        return protocol.Unknown(detail, _RETRY_AFTER_MS)
    return refusal_of(seen, detail)
