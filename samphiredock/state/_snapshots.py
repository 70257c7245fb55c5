"""The published snapshot: one version and shard map for every index."""

import typing

import msgspec

from samphiredock import protocol

KEY_SPACE_SIZE = 2**32
"""Keys of every index are placed in ``[0, KEY_SPACE_SIZE)``."""


class Shard(msgspec.Struct, frozen=True):
    """One shard of one index and the targets that hold a replica."""

    shard_id: str
    key_range: protocol.KeyRange
    replicas: list[str]


class IndexSnapshot(msgspec.Struct, frozen=True):
    """One index within a snapshot."""

    version: int
    shards: list[Shard]


class Snapshot(msgspec.Struct, frozen=True):
    """One consistent cut across all indexes.

    A snapshot is published as a single object, so that a reader can never
    see one index's new version beside another's old one.
    """

    snapshot_id: int
    indexes: dict[str, IndexSnapshot]


def check_snapshot(
    snapshot: Snapshot, targets: typing.Container[str]
) -> list[str]:
    """Return what is wrong with a published snapshot, empty if sound.

    A gap between shards would be a hole in every answer, an overlap would
    count keys twice, and a shard without known replicas cannot be read.
    """
    problems = []
    if not snapshot.indexes:
        problems.append('got no indexes, expected one or more')
    for name, index in snapshot.indexes.items():
        problems += _check_ranges(name, index)
        for shard in index.shards:
            problems += _check_replicas(name, shard, targets)
    return problems


def _check_ranges(name: str, index: IndexSnapshot) -> list[str]:
    problems = []
    identifiers = {shard.shard_id for shard in index.shards}
    if len(identifiers) != len(index.shards):
        problems.append(f'{name}: got a shard id twice, expected it once')
    position = 0
    rows = sorted(index.shards, key=lambda shard: shard.key_range.low)
    for shard in rows:
        low, high = shard.key_range.low, shard.key_range.high
        if low != position or high <= low:
            problems.append(
                f'{name}/{shard.shard_id}: got range {low} to {high}, '
                f'expected one that begins at {position}'
            )
        position = max(position, high)
    if position != KEY_SPACE_SIZE:
        problems.append(
            f'{name}: got shards up to {position}, expected {KEY_SPACE_SIZE}'
        )
    return problems


def _check_replicas(
    name: str, shard: Shard, targets: typing.Container[str]
) -> list[str]:
    where = f'{name}/{shard.shard_id}'
    if not shard.replicas:
        return [f'{where}: got no replicas, expected one or more']
    if len(set(shard.replicas)) != len(shard.replicas):
        return [f'{where}: got a replica twice, expected it once']
    return [
        f'{where}: got target {target!r}, expected a configured one'
        for target in shard.replicas
        if target not in targets
    ]
