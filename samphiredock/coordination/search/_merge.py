"""Merge sub-answers to one truthful answer.

Coverage is computed from the key ranges that the answers themselves state,
never from what was sent: a target that answers empty before it has loaded
its shard states no range, and one that stopped early says so.  Sums are
integers, so that no rounding turns a gap into a whole answer.
"""

import typing

from samphiredock import protocol
from samphiredock import state


def union_of(
    ranges: typing.Iterable[protocol.KeyRange],
) -> list[protocol.KeyRange]:
    """Return the union of ranges, in order, without overlap."""
    union: list[protocol.KeyRange] = []
    for low, high in sorted((row.low, row.high) for row in ranges):
        if union and low <= union[-1].high:
            last = union.pop()
            union.append(protocol.KeyRange(last.low, max(last.high, high)))
        elif low < high:
            union.append(protocol.KeyRange(low, high))
    return union


def is_within(
    ranges: typing.Iterable[protocol.KeyRange], asked: protocol.KeyRange
) -> bool:
    """Whether every stated range is sound and inside the range asked for.

    A target that claims more than it was asked for has answered another
    question, so nothing of its answer is believed.
    """
    return all(asked.low <= row.low < row.high <= asked.high for row in ranges)


def covers(
    ranges: typing.Sequence[protocol.KeyRange], asked: protocol.KeyRange
) -> bool:
    """Whether the union of ``ranges`` is the whole of ``asked``."""
    if len(ranges) == 1:
        only = ranges[0]
        return only.low <= asked.low and only.high >= asked.high
    union = union_of(ranges)
    return len(union) == 1 and (
        union[0].low <= asked.low and union[0].high >= asked.high
    )


def missing_ranges(
    covered: typing.Iterable[protocol.KeyRange],
) -> list[protocol.KeyRange]:
    """Return what the key space has beside a union."""
    missing = []
    position = 0
    for key_range in covered:
        if key_range.low > position:
            missing.append(protocol.KeyRange(position, key_range.low))
        position = key_range.high
    if position < state.KEY_SPACE_SIZE:
        missing.append(protocol.KeyRange(position, state.KEY_SPACE_SIZE))
    return missing


def covered_keys(covered: typing.Iterable[protocol.KeyRange]) -> int:
    """Return how many places of the key space a union covers."""
    return sum(key_range.high - key_range.low for key_range in covered)


def merge_records(
    answers: typing.Iterable[protocol.SubAnswer],
    kind: state.MergeKind,
    limit: int,
) -> list[protocol.Record]:
    """Return the records of all answers, each key once, in order.

    Two attempts of one shard, or a shard read before and after a split,
    give the same record twice; a caller must see it once.  Each answer has
    its shard's first ``limit``, so the first ``limit`` of all are exact.
    """
    by_key: dict[str, protocol.Record] = {}
    for answer in answers:
        for record in answer.records:
            by_key.setdefault(record.key, record)
    return sorted(by_key.values(), key=_ORDERS[kind])[:limit]


_ORDERS = {
    state.MergeKind.BY_SCORE: lambda record: (-record.score, record.key),
    state.MergeKind.BY_KEY: lambda record: record.key,
}
