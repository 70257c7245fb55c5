"""The state of one search at one snapshot: its shards and their answers."""

import dataclasses

from samphiredock.coordination.search import _merge
from samphiredock.coordination.search import _planner
from samphiredock.coordination.search import _scatter_types
from samphiredock import protocol
from samphiredock import state

_RETRY_AFTER_MS = 1_000
_MAX_PASSES = 2
_MIN_PAUSE_MS = 10.0

# The first of these statuses that occurred gives the reason of a refusal.
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
    """A pending sub-query to one target.

    ``alone`` says that no other request is in the same HTTP exchange with
    the target.  ``is_ordered`` says that another daemon queries the target by
    a merge order, and has not reported the attempt as late.
    """

    shard: 'ShardState'
    item: protocol.SubQuery
    dispatcher: str | None
    sent_ms: float
    alone: bool
    is_ordered: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class ShardState:
    """One shard of a search: its attempts and its answers.

    Parameters
    ----------
    tried
        Replicas that are not candidates for the next attempt.
    started_on
        Targets that have begun the search, or may have.
    retryable
        Replicas that refused for a transient reason; candidates again after
        a pause, if another pass is left.
    answers, ranges
        The accepted answers, and the key ranges that they searched.
    outstanding
        How many attempts are pending.
    arrived
        How many attempts have reached a target, or may have, or still may.
    was_ordered
        Whether an attempt was ordered from another daemon.
    charges
        What the budget has charged for extra attempts.
    last_failure
        How the last failed attempt ended.
    passes
        How many passes over the replicas have begun; another one begins when
        replicas that refused become candidates again.
    pause_ms
        The longest pause that a refusing replica asked for.
    retry_at_ms
        When to query the retryable replicas, 0 if no pause is running.
    hedged
        Whether no hedge may be sent: one was sent already, or the budget
        denied it.
    hedge_refusals, next_hedge_ms
        How many hedges found no idle slot, and when the next may be sent.
    snapshot_gone
        Whether a replica no longer has the snapshot.
    settled
        Whether nothing more is expected of the shard.
    """

    shard: state.Shard
    tried: set[str] = dataclasses.field(default_factory=set)
    started_on: set[str] = dataclasses.field(default_factory=set)
    retryable: set[str] = dataclasses.field(default_factory=set)
    answers: list[protocol.SubAnswer] = dataclasses.field(default_factory=list)
    ranges: list[protocol.KeyRange] = dataclasses.field(default_factory=list)
    outstanding: int = 0
    arrived: int = 0
    was_ordered: bool = False
    charges: list[_scatter_types.Charge] = dataclasses.field(
        default_factory=list
    )
    last_failure: str = ''
    passes: int = 1
    pause_ms: float = 0.0
    retry_at_ms: float = 0.0
    hedged: bool = False
    hedge_refusals: int = 0
    next_hedge_ms: float = 0.0
    snapshot_gone: bool = False
    settled: bool = False

    def may_retry_refused(self) -> bool:
        """Return whether replicas that refused may be queried once more."""
        return bool(self.retryable) and self.passes < _MAX_PASSES

    def schedule_retry(self, now_ms: float) -> None:
        """Make the replicas that refused candidates again after a pause."""
        self.passes += 1
        self.tried -= self.retryable
        self.retryable.clear()
        self.retry_at_ms = now_ms + max(_MIN_PAUSE_MS, self.pause_ms)


class Round:
    """The shards of one search at one snapshot, and their answers.

    A search that restarts on a newer snapshot begins another round.
    """

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
        """Expect no more answers of this shard."""
        if not shard.settled:
            shard.settled = True
            shard.retry_at_ms = 0.0
            self.unsettled -= 1
            if not shard.ranges:
                key_range = shard.shard.key_range
                self._uncovered_keys += key_range.high - key_range.low

    def has_least_coverage(self) -> bool:
        """Return whether the answers so far reach the least coverage."""
        least = least_keys(self.plan.search.least_coverage)
        return self._answered_shards > 0 and self.covered_keys() >= least

    def is_least_coverage_unreachable(self) -> bool:
        """Return whether the least coverage cannot be reached any more."""
        least = least_keys(self.plan.search.least_coverage)
        return state.KEY_SPACE_SIZE - self._uncovered_keys < least

    def accepted(self) -> tuple[protocol.SubAnswer, ...]:
        """Return the answers whose records may be merged."""
        return tuple(
            answer for shard in self.shards for answer in shard.answers
        )

    def covered_ranges(self) -> list[protocol.KeyRange]:
        """Return the key ranges that the accepted answers searched."""
        return _merge.union_of(
            key_range for shard in self.shards for key_range in shard.ranges
        )

    def covered_keys(self) -> int:
        """Return how many keys of the key space were searched."""
        return _merge.covered_keys(self.covered_ranges())

    def answer(self) -> protocol.Answered | protocol.Partial | None:
        """Return the merged answer, None below the least coverage."""
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
            f'{len(missing)} key ranges were not answered in time',
        )


def least_keys(least_coverage: float) -> int:
    """Return a least coverage, 0.0 to 1.0, as a count of keys, rounded up."""
    keys = least_coverage * state.KEY_SPACE_SIZE
    return int(keys) + (keys > int(keys))


def refusal_of(
    seen: dict[protocol.SubStatus, int], detail: str
) -> protocol.NotRun:
    """Return the refusal of a search that no target began.

    ``seen`` maps the status of each attempt without an answer to the longest
    ``retry_after_ms`` that came with it.
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
    """Return the outcome of a search that awaits no more answers.

    Parameters
    ----------
    current, older
        The newest round, and the best one at an older snapshot.  The one
        that covers more is returned; answers of both are never merged.
    seen
        The status of each attempt without an answer, with the longest
        ``retry_after_ms`` that came with it.
    began
        Whether any target may have begun, which rules out ``NotRun``.
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
        f'attempts without an answer: '
        f'{sorted(status.value for status in seen)}'
    )
    if began:
        return protocol.Unknown(detail, _RETRY_AFTER_MS)
    return refusal_of(seen, detail)
