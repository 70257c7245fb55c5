"""Merges the answers of shards, and computes what they cover.

Coverage is computed from the key ranges that the answers state, not from
what was sent: a target that has not loaded its shard states no range, and one
that stopped early marks its answer as truncated.  Sums are integers, so that
rounding cannot turn a gap into full coverage.
"""

import typing

from samphiredock import protocol
from samphiredock import state


def union_of(
    ranges: typing.Iterable[protocol.KeyRange],
) -> list[protocol.KeyRange]:
    """Return the union of key ranges, sorted and without overlaps."""
    union: list[protocol.KeyRange] = []
    for low, high in sorted(
        (key_range.low, key_range.high) for key_range in ranges
    ):
        if union and low <= union[-1].high:
            last = union.pop()
            union.append(protocol.KeyRange(last.low, max(last.high, high)))
        elif low < high:
            union.append(protocol.KeyRange(low, high))
    return union


def is_within(
    ranges: typing.Iterable[protocol.KeyRange], requested: protocol.KeyRange
) -> bool:
    """Return whether every range is valid and within the requested range.

    A target that states more than was requested has answered another
    sub-query, so its whole answer is rejected.
    """
    return all(
        requested.low <= key_range.low < key_range.high <= requested.high
        for key_range in ranges
    )


def covers(
    ranges: typing.Sequence[protocol.KeyRange], requested: protocol.KeyRange
) -> bool:
    """Return whether the union of ``ranges`` covers all of ``requested``."""
    if len(ranges) == 1:
        only = ranges[0]
        return only.low <= requested.low and only.high >= requested.high
    union = union_of(ranges)
    return len(union) == 1 and (
        union[0].low <= requested.low and union[0].high >= requested.high
    )


def missing_ranges(
    covered: typing.Iterable[protocol.KeyRange],
) -> list[protocol.KeyRange]:
    """Return the ranges of the key space outside of a union."""
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
    """Return how many keys of the key space a union covers."""
    return sum(key_range.high - key_range.low for key_range in covered)


def merge_records(
    answers: typing.Iterable[protocol.SubAnswer],
    kind: state.MergeKind,
    limit: int,
) -> list[protocol.Record]:
    """Return the first ``limit`` records of all answers, each key once.

    Two attempts on one shard, or a shard read before and after a split,
    return the same record twice.  Each answer holds its shard's first
    ``limit`` records, so the first ``limit`` of all shards are exact.
    """
    by_key: dict[str, protocol.Record] = {}
    for answer in answers:
        for record in answer.records:
            by_key.setdefault(record.key, record)
    return sorted(by_key.values(), key=_SORT_KEYS[kind])[:limit]


_SORT_KEYS = {
    state.MergeKind.BY_SCORE: lambda record: (-record.score, record.key),
    state.MergeKind.BY_KEY: lambda record: record.key,
}
