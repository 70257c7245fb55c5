"""Merge sub-answers to one truthful answer.

Coverage is computed from the key ranges that the answers themselves state,
never from what was sent: a target that answers empty before it has loaded
its shard states no range, and one that stopped early says so.
"""

import typing

from samphiredock import protocol
from samphiredock import state


def covered_ranges(
    answers: typing.Iterable[protocol.SubAnswer],
) -> list[protocol.KeyRange]:
    """Return the union of the stated ranges, in order, without overlap."""
    stated = sorted(
        (key_range.low, key_range.high)
        for answer in answers
        if not answer.truncated
        for key_range in answer.ranges
    )
    union: list[protocol.KeyRange] = []
    for low, high in stated:
        low = max(low, 0)
        high = min(high, state.KEY_SPACE_SIZE)
        if union and low <= union[-1].high:
            last = union.pop()
            union.append(protocol.KeyRange(last.low, max(last.high, high)))
        elif low < high:
            union.append(protocol.KeyRange(low, high))
    return union


def missing_ranges(
    covered: typing.Sequence[protocol.KeyRange],
) -> list[protocol.KeyRange]:
    """Return what the key space has beside ``covered``."""
    missing = []
    position = 0
    for key_range in covered:
        if key_range.low > position:
            missing.append(protocol.KeyRange(position, key_range.low))
        position = key_range.high
    if position < state.KEY_SPACE_SIZE:
        missing.append(protocol.KeyRange(position, state.KEY_SPACE_SIZE))
    return missing


def coverage_of(covered: typing.Iterable[protocol.KeyRange]) -> float:
    """Return the covered part of the key space, 0.0 to 1.0."""
    keys = sum(key_range.high - key_range.low for key_range in covered)
    return keys / state.KEY_SPACE_SIZE


def merge_records(
    answers: typing.Iterable[protocol.SubAnswer],
    kind: state.MergeKind,
    limit: int,
) -> list[protocol.Record]:
    """Return the records of all answers, each key once, in order.

    Two attempts of one shard, or a shard read before and after a split,
    give the same record twice; a caller must see it once.
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
