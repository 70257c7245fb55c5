"""The parts of one search that have come, and their greatest records."""

import typing

from samphiredock.coordination.forwarding import _route_plans
from samphiredock import state


class CollectedParts:
    """Receipts by shard, and the greatest records.

    A merged part brings several shards and cannot be taken apart.  While one
    may still come that holds a shard, another part of that shard may have to
    give way to it; it is kept apart until then, since its records could not
    be taken out of the greatest ones either.

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
        """A merged part may come that holds any of these shards."""
        self._expected.update(shards)

    def expect_no_merged(self, shards: typing.Iterable[str]) -> None:
        """No merged part will come any more that holds these shards."""
        for shard in shards:
            self._expected.discard(shard)
            part = self._replaceable.pop(shard, None)
            if part is not None:
                self._merge({shard: part[0]}, part[1])

    def add_merged(
        self, receipts: typing.Mapping[str, str], records: bytes
    ) -> None:
        """Take a merged part in; others of its shards give way."""
        for shard in receipts:
            self._replaceable.pop(shard, None)
        self._expected.difference_update(receipts)
        self._merge(receipts, records)

    def add(self, shard: str, receipt: str, body: bytes) -> None:
        """Take the part of one shard in, unless the shard has one."""
        if shard in self._receipts or shard in self._replaceable:
            return
        if shard in self._expected:
            self._replaceable[shard] = (receipt, body)
        else:
            self._merge({shard: receipt}, body)

    def floor(self) -> bytes:
        """Return a record that no smaller one can displace in the answer.

        Empty while too few are known.  Parts that may have to give way do
        not count, since the answer may come to lack their records.
        """
        size = state.RECORD_BYTES
        if not self._top or len(self._records) < self._top * size:
            return b''
        return self._records[-size:]

    def receipts(self) -> tuple[str, ...]:
        """Return the receipts of all shards that are in."""
        apart = [receipt for receipt, _ in self._replaceable.values()]
        return (*self._receipts.values(), *apart)

    def body(self) -> bytes:
        """Return the greatest records of all parts, greatest first."""
        apart = [body for _, body in self._replaceable.values()]
        return _route_plans.merge_parts([self._records, *apart], self._top)

    def _merge(
        self, receipts: typing.Mapping[str, str], records: bytes
    ) -> None:
        self._receipts.update(receipts)
        self._records = _route_plans.merge_parts(
            [self._records, records], self._top
        )
