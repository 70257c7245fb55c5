"""Collects the parts of one search and keeps their greatest records.

A part is the answer of one target for its shard: a receipt, which is the
target's proof that it ran the request, and records of ``RECORD_BYTES`` bytes.
A merged part, from a daemon of another site, has the receipts of several
shards and the greatest of their records.
"""

import typing

from samphiredock.coordination.forwarding import _route_plans
from samphiredock import state


class CollectedParts:
    """Receipts by shard, and the greatest records.

    A merged part cannot be taken apart, so it replaces any other part of its
    shards, such as that of a hedge.  While a merged part may still come for a
    shard, another part of the shard is kept separately: its records could not
    be removed from the greatest records again.

    Parameters
    ----------
    top
        How many records the answer has.
    """

    def __init__(self, top: int) -> None:
        self._top = top
        self._receipts: dict[str, str] = {}
        self._records = b''
        self._replaceable: dict[str, tuple[str, bytes]] = {}
        self._expected: set[str] = set()

    def expect_merged(self, shards: typing.Iterable[str]) -> None:
        """Note that a merged part may come that covers any of these shards."""
        self._expected.update(shards)

    def expect_no_merged(self, shards: typing.Iterable[str]) -> None:
        """Note that no merged part will come any more for these shards."""
        for shard in shards:
            self._expected.discard(shard)
            part = self._replaceable.pop(shard, None)
            if part is not None:
                self._merge({shard: part[0]}, part[1])

    def add_merged(
        self, receipts: typing.Mapping[str, str], records: bytes
    ) -> None:
        """Add a merged part; it replaces other parts of its shards."""
        for shard in receipts:
            self._replaceable.pop(shard, None)
        self._expected.difference_update(receipts)
        self._merge(receipts, records)

    def add(self, shard: str, receipt: str, body: bytes) -> None:
        """Add the part of one shard, unless there is one already."""
        if shard in self._receipts or shard in self._replaceable:
            return
        if shard in self._expected:
            self._replaceable[shard] = (receipt, body)
        else:
            self._merge({shard: receipt}, body)

    def floor(self) -> bytes:
        """Return the least of the greatest records; others must exceed it.

        Empty while too few records are known.  Replaceable parts do not count,
        since their records may not be in the answer.
        """
        size = state.RECORD_BYTES
        if not self._top or len(self._records) < self._top * size:
            return b''
        return self._records[-size:]

    def receipts(self) -> tuple[str, ...]:
        """Return the receipts of all shards that have a part."""
        separate = [receipt for receipt, _ in self._replaceable.values()]
        return (*self._receipts.values(), *separate)

    def body(self) -> bytes:
        """Return the greatest records of all parts, greatest first."""
        separate = [body for _, body in self._replaceable.values()]
        return _route_plans.merge_parts([self._records, *separate], self._top)

    def _merge(
        self, receipts: typing.Mapping[str, str], records: bytes
    ) -> None:
        self._receipts.update(receipts)
        self._records = _route_plans.merge_parts(
            [self._records, records], self._top
        )
