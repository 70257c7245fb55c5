"""The published snapshot: one version and shard map for every index."""

import msgspec

from samphiredock.protocol import _outcomes

KEY_SPACE_SIZE = 2**32
"""Keys of every index are placed in ``[0, KEY_SPACE_SIZE)``."""


class Shard(msgspec.Struct, frozen=True):
    """One shard of one index and the targets that hold a replica."""

    shard_id: str
    key_range: _outcomes.KeyRange
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
