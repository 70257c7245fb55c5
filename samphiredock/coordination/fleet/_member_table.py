"""The table of members, and the order of reports about a member.

Reports are totally ordered, so that daemons which have seen the same reports
hold the same rows, whatever the order of arrival.
"""

import typing

import msgspec
import xxhash

from samphiredock import protocol
from samphiredock import state

BUCKETS = 32

_LIVE = (protocol.MemberState.ALIVE, protocol.MemberState.SUSPECT)


def order_of(row: protocol.MemberRow) -> tuple[int, bool, int, int]:
    """Return the sort key of a report; the greater one wins.

    A higher incarnation wins.  Within one incarnation, having left is final;
    then the higher refutation number wins, then the worse state.
    """
    left = row.state is protocol.MemberState.LEFT
    return row.incarnation, left, row.refutation, row.state


def member_of(row: protocol.MemberRow) -> state.Member:
    """Return the member that a row describes."""
    return state.Member(
        row.name,
        row.site,
        row.region,
        row.peer_address,
        row.caller_address,
        row.operator_address,
        row.incarnation,
    )


def row_of(member: state.Member) -> protocol.MemberRow:
    """Return the row of a member that has just started."""
    return protocol.MemberRow(
        member.name,
        member.site,
        member.region,
        member.peer_address,
        member.caller_address,
        member.operator_address,
        member.incarnation,
    )


def bucket_of(name: str) -> int:
    """Return the digest bucket that a name belongs to."""
    return xxhash.xxh32_intdigest(name.encode()) % BUCKETS


class MemberTable:
    """The rows of all members, this daemon's included.

    ``version`` changes whenever the live members change.
    """

    def __init__(self, me: protocol.MemberRow) -> None:
        self._rows: dict[str, protocol.MemberRow] = {}
        self._digests = [0] * BUCKETS
        self._members: dict[str, state.Member] = {}
        self._live: tuple[state.Member, ...] | None = None
        self.version = 0
        self.set(me)

    def get(self, name: str) -> protocol.MemberRow | None:
        """Return a member's row, None if unknown."""
        return self._rows.get(name)

    def rows(self) -> list[protocol.MemberRow]:
        """Return every row."""
        return list(self._rows.values())

    def is_live(self, name: str) -> bool:
        """Whether a member is alive or suspect."""
        return name in self._members

    def names(self) -> typing.KeysView[str]:
        """Return the names of the live members."""
        return self._members.keys()

    def live(self) -> tuple[state.Member, ...]:
        """Return the live members, the same tuple until one changes."""
        if self._live is None:
            self._live = tuple(self._members.values())
        return self._live

    def beats(self, row: protocol.MemberRow) -> bool:
        """Whether ``row`` wins against the row in this table."""
        held = self._rows.get(row.name)
        return held is None or order_of(row) > order_of(held)

    def set(self, row: protocol.MemberRow) -> None:
        """Replace the member's row, whichever wins."""
        held = self._rows.get(row.name)
        if held is not None and held.state in _LIVE:
            self._digests[bucket_of(row.name)] ^= _hash(held)
        self._rows[row.name] = row
        if row.state in _LIVE:
            self._digests[bucket_of(row.name)] ^= _hash(row)
        self._set_live(row)

    def _set_live(self, row: protocol.MemberRow) -> None:
        member = member_of(row) if row.state in _LIVE else None
        if self._members.get(row.name) == member:
            return
        if member is None:
            del self._members[row.name]
        else:
            self._members[row.name] = member
        self._live = None
        self.version += 1

    def forget(self, name: str) -> None:
        """Drop the row of a member that is not live."""
        del self._rows[name]

    def digests(self) -> list[int]:
        """Return one hash over the live rows of each bucket.

        Rows of dead members are left out: daemons forget them at different
        times, so the digests would keep differing.
        """
        return list(self._digests)

    def differing(self, digests: typing.Sequence[int]) -> list[int]:
        """Return the buckets that differ from another table's digests."""
        if len(digests) != BUCKETS:
            return list(range(BUCKETS))
        return [
            number
            for number in range(BUCKETS)
            if digests[number] != self._digests[number]
        ]

    def in_buckets(
        self, buckets: typing.Iterable[int]
    ) -> list[protocol.MemberRow]:
        """Return the rows in the given buckets."""
        wanted = set(buckets)
        if len(wanted) == BUCKETS:
            return self.rows()
        return [
            row for row in self._rows.values() if bucket_of(row.name) in wanted
        ]


def _hash(row: protocol.MemberRow) -> int:
    text = f'{row.name}\0{row.incarnation}\0{row.refutation}'
    return xxhash.xxh64_intdigest(text.encode())


def with_state(
    row: protocol.MemberRow, new: protocol.MemberState
) -> protocol.MemberRow:
    """Return the row with another state."""
    return msgspec.structs.replace(row, state=new)
