"""Snapshots: one version and shard map of every index, published together."""

import typing

import msgspec

from samphiredock import protocol

KEY_SPACE_SIZE = 2**32
"""The key space of every index is ``[0, KEY_SPACE_SIZE)``."""


class Shard(msgspec.Struct, frozen=True):
    """One shard of an index; ``replicas`` are the targets that hold it."""

    shard_id: str
    key_range: protocol.KeyRange
    replicas: list[str]


class IndexSnapshot(msgspec.Struct, frozen=True):
    """One index within a snapshot."""

    version: int
    shards: list[Shard]


class Snapshot(msgspec.Struct, frozen=True):
    """Versions of all indexes that belong together.

    A snapshot is published as a single object, so that a reader cannot
    combine the new version of one index with the old one of another.
    """

    snapshot_id: int
    indexes: dict[str, IndexSnapshot]


def check_snapshot(
    snapshot: Snapshot, targets: typing.Container[str]
) -> list[str]:
    """Return the problems of a published snapshot, empty if it is valid.

    The shards of each index must cover the key space without gaps, which
    every answer would lack, and without overlaps, whose records it would
    hold twice.  Each shard needs replicas, all of them configured targets.
    """
    problems = []
    if not snapshot.indexes:
        problems.append('snapshot: got no indexes, expected one or more')
    for name, index in snapshot.indexes.items():
        problems += _check_ranges(name, index)
        for shard in index.shards:
            problems += _check_replicas(name, shard, targets)
    return problems


def _check_ranges(name: str, index: IndexSnapshot) -> list[str]:
    problems = []
    shard_ids = {shard.shard_id for shard in index.shards}
    if len(shard_ids) != len(index.shards):
        problems.append(f'{name}: got a shard id twice, expected unique ids')
    covered_to = 0
    shards = sorted(index.shards, key=lambda shard: shard.key_range.low)
    for shard in shards:
        low, high = shard.key_range.low, shard.key_range.high
        if low != covered_to or high <= low:
            problems.append(
                f'{name}/{shard.shard_id}: got range {low} to {high}, '
                f'expected one that begins at {covered_to} and is not empty'
            )
        covered_to = max(covered_to, high)
    if covered_to != KEY_SPACE_SIZE:
        problems.append(
            f'{name}: got shards up to key {covered_to}, '
            f'expected them up to {KEY_SPACE_SIZE}'
        )
    return problems


def _check_replicas(
    name: str, shard: Shard, targets: typing.Container[str]
) -> list[str]:
    where = f'{name}/{shard.shard_id}'
    if not shard.replicas:
        return [f'{where}: got no replicas, expected one or more']
    if len(set(shard.replicas)) != len(shard.replicas):
        return [f'{where}: got a replica twice, expected different targets']
    return [
        f'{where}: got target {target!r}, expected a configured one'
        for target in shard.replicas
        if target not in targets
    ]
