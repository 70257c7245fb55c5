"""The decisions of one search: which attempt to send, and when it is done.

A pure object: answers and ticks go in, effects come out.
"""

import collections
import dataclasses
import typing

from samphiredock.coordination import _merge
from samphiredock.coordination import _planner
from samphiredock import protocol
from samphiredock import state

_RETRY_AFTER_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class SendAttempts:
    """Send these sub-queries to the dispatchers of their targets."""

    items: tuple[protocol.SubQuery, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DropAttempts:
    """Cancel these attempts."""

    attempts: tuple[protocol.SubQuery, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Give the caller this outcome; nothing follows it."""

    outcome: protocol.SearchOutcome
    sent: int
    needed: int


Effect = SendAttempts | DropAttempts | Finish


class Scatter:
    """One search in flight.

    Parameters
    ----------
    plan
        What the search is; its snapshot never changes.
    is_usable
        Whether a target may be sent new work now.
    """

    def __init__(
        self,
        plan: _planner.Plan,
        is_usable: typing.Callable[[str], bool],
    ) -> None:
        self._plan = plan
        self._is_usable = is_usable
        self._out: dict[str, tuple[state.Shard, protocol.SubQuery]] = {}
        self._answers: dict[str, protocol.SubAnswer] = {}
        self._tried: dict[str, set[str]] = collections.defaultdict(set)
        self._sent = 0
        self._finished = False

    def start(self) -> list[Effect]:
        """Send the first attempt of every shard."""
        items = [self._attempt(shard) for shard in self._plan.shards]
        first = tuple(item for item in items if item is not None)
        effects: list[Effect] = [SendAttempts(first)] if first else []
        return effects + self._finish_if_settled()

    def on_answers(
        self, answers: typing.Iterable[protocol.SubAnswer]
    ) -> list[Effect]:
        """Take ended attempts in; retry those that may be."""
        again = []
        for answer in answers:
            found = self._out.pop(answer.attempt_id, None)
            if found is None or self._finished:
                continue
            shard = found[0]
            if self._is_good(answer):
                self._answers[shard.shard_id] = answer
            else:
                again.append(self._attempt(shard))
        items = tuple(item for item in again if item is not None)
        effects: list[Effect] = [SendAttempts(items)] if items else []
        return effects + self._finish_if_settled()

    def on_deadline(self) -> list[Effect]:
        """Answer with what there is."""
        if self._finished:
            return []
        return self._finish()

    def _is_good(self, answer: protocol.SubAnswer) -> bool:
        return (
            answer.status is protocol.SubStatus.ANSWERED
            and answer.snapshot_id == self._plan.snapshot.snapshot_id
            and bool(answer.ranges)
        )

    def _attempt(self, shard: state.Shard) -> protocol.SubQuery | None:
        tried = self._tried[shard.shard_id]
        open_to = [
            name
            for name in shard.replicas
            if name not in tried and self._is_usable(name)
        ]
        if not open_to:
            return None
        # Queries start at different replicas, so that load spreads.
        start = hash(self._plan.query_id) % len(open_to)
        target = open_to[start]
        tried.add(target)
        self._sent += 1
        index = self._plan.snapshot.indexes[self._plan.search.index]
        item = protocol.SubQuery(
            f'{self._plan.query_id}.{self._sent}',
            self._plan.search.index,
            index.version,
            self._plan.snapshot.snapshot_id,
            shard.shard_id,
            target,
        )
        self._out[item.attempt_id] = (shard, item)
        return item

    def _finish_if_settled(self) -> list[Effect]:
        if self._finished or self._out:
            return []
        return self._finish()

    def _finish(self) -> list[Effect]:
        self._finished = True
        effects: list[Effect] = []
        if self._out:
            open_items = tuple(item for _, item in self._out.values())
            effects.append(DropAttempts(open_items))
        needed = len(self._plan.shards)
        effects.append(Finish(self._outcome(), self._sent, needed))
        return effects

    def _outcome(self) -> protocol.SearchOutcome:
        answers = list(self._answers.values())
        search = self._plan.search
        covered = _merge.covered_ranges(answers)
        coverage = _merge.coverage_of(covered)
        missing = _merge.missing_ranges(covered)
        snapshot_id = self._plan.snapshot.snapshot_id
        records = _merge.merge_records(answers, search.merge, self._plan.limit)
        if not missing:
            return protocol.Answered(records, snapshot_id, 1.0)
        if coverage >= search.least_coverage and answers:
            return protocol.Partial(
                records,
                snapshot_id,
                coverage,
                missing,
                f'{len(missing)} key ranges gave no answer in time',
            )
        return protocol.Unknown(
            f'got coverage {coverage:.4f}, '
            f'expected at least {search.least_coverage}',
            _RETRY_AFTER_MS,
        )
