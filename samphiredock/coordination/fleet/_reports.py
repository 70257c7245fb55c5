"""Reports about members: which are accepted, and which are sent on."""

import collections
import math
import typing

import msgspec

from samphiredock.coordination.fleet import _gossip_state
from samphiredock.coordination.fleet import _member_table
from samphiredock import protocol

_SMALL_FLEET_SIZE = 16
_PERIOD_MS = 500.0
_SMALL_FLEET_PERIOD_MS = 300.0
_MIN_SUSPICION_MS = 1_000.0
_MAX_UNVERIFIED = 1_024
_MAX_LEFT = 1_024

_ALIVE = protocol.MemberState.ALIVE
_SUSPECT = protocol.MemberState.SUSPECT
_DEAD = protocol.MemberState.DEAD
_LEFT = protocol.MemberState.LEFT
_LOST = (_DEAD, _LEFT)

_Effects = list[_gossip_state.GossipEffect]


class Reports:
    """The table of members and the rules by which reports change it.

    ``lost_since`` is when each lost member died or left.  ``unverified``
    has the reports of deaths that are verified by probing the member.

    Parameters
    ----------
    me
        This daemon's row at its start.
    """

    def __init__(self, me: protocol.MemberRow) -> None:
        self.table = _member_table.MemberTable(me)
        self.piggyback = _gossip_state.PiggybackQueue()
        self.lost_since: dict[str, float] = {}
        self.unverified: collections.deque[protocol.MemberRow] = (
            collections.deque(maxlen=_MAX_UNVERIFIED)
        )
        # The highest incarnation that is known to have left, for members
        # that are not in the table.
        self._left_incarnations: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._name = me.name
        self._suspected_until: dict[str, float] = {}
        self.disseminate(me.name)

    @property
    def me(self) -> protocol.MemberRow:
        """This daemon's own row."""
        return self.table.get(self._name)

    def probe_period_ms(self) -> float:
        """Return the time between two probes at the current fleet size."""
        small = len(self.table.names()) <= _SMALL_FLEET_SIZE
        return _SMALL_FLEET_PERIOD_MS if small else _PERIOD_MS

    def suspicion_ms(self) -> float:
        """Return the time a suspect member has to refute the suspicion.

        It grows with the logarithm of the fleet size, like the time in which
        gossip reaches the suspect and the refutation comes back.
        """
        rounds = math.log2(len(self.table.names()) + 1)
        return max(_MIN_SUSPICION_MS, self.probe_period_ms() * rounds)

    def disseminate(self, name: str) -> None:
        """Piggyback a member's row on the next messages."""
        self.piggyback.add(name, len(self.table.names()))

    def rows_for(self, receiver: str) -> list[protocol.MemberRow]:
        """Return the rows to piggyback on a message to ``receiver``."""
        rows = [self.table.get(name) for name in self.piggyback.take()]
        held = self.table.get(receiver)
        if held is not None and held.state is not _ALIVE:
            # The receiver gets the report that it is suspect or dead, so
            # that it can refute it.  It also gets this daemon's row, since
            # it may have restarted without a member list and needs the
            # address to answer.
            rows += [held, self.me]
        return [row for row in rows if row is not None]

    def merge(
        self,
        rows: typing.Iterable[protocol.MemberRow],
        now_ms: float,
        from_exchange: bool = False,
    ) -> _Effects:
        """Apply reports about members.

        ``from_exchange`` marks rows of a table exchange.  They may be from
        before a partition, so their reports of deaths are verified first.
        They are not sent on: the peer got them by gossip, and piggybacking
        the whole table after each start would fill the probes for minutes.
        """
        effects: _Effects = []
        for row in rows:
            if row.name == self._name:
                self._refute_if_needed(row)
            elif not self.table.beats(row) or self._is_outdated(row):
                self._record_left(row)
            elif from_exchange and self._needs_verification(row):
                # After a partition each side has declared the other's members
                # dead.  Accepting that would remove live members on both
                # sides for a moment; the member itself is probed instead.
                self.unverified.append(row)
            else:
                effects += self._accept(row, now_ms)
                if not from_exchange:
                    self.disseminate(row.name)
        return effects

    def _is_outdated(self, row: protocol.MemberRow) -> bool:
        # Daemons forget dead members at different times.  If they accepted
        # those again from each other, no daemon would ever forget them.
        if self.table.get(row.name) is not None:
            return False
        has_left = self._left_incarnations.get(row.name, -1) >= row.incarnation
        return row.state in _LOST or has_left

    def _record_left(self, row: protocol.MemberRow) -> None:
        """Record the incarnation of an unknown member that has left.

        A new daemon may get this report before an older one that the member
        is alive.  Accepting the older one, it would send requests to a
        process that has ended.
        """
        if row.state is not _LEFT or self.table.get(row.name) is not None:
            return
        known = self._left_incarnations.pop(row.name, row.incarnation)
        self._left_incarnations[row.name] = max(known, row.incarnation)
        if len(self._left_incarnations) > _MAX_LEFT:
            self._left_incarnations.popitem(last=False)

    def _needs_verification(self, row: protocol.MemberRow) -> bool:
        held = self.table.get(row.name)
        return (
            held is not None
            and held.state in (_ALIVE, _SUSPECT)
            and held.incarnation == row.incarnation
            and row.state in (_SUSPECT, _DEAD)
        )

    def _refute_if_needed(self, row: protocol.MemberRow) -> None:
        mine = self.me
        newer_start = row.incarnation > mine.incarnation
        if mine.state is _LEFT and not newer_start:
            return
        if newer_start or (row.state is not _ALIVE and self.table.beats(row)):
            self.refute(row)

    def refute(self, row: protocol.MemberRow) -> None:
        """Publish a row of this daemon that wins against ``row``."""
        mine = self.me
        incarnation, refutation = mine.incarnation, row.refutation + 1
        if row.incarnation > incarnation or row.state is _LEFT:
            # A process takes its incarnation from the wall clock.  An earlier
            # process of this daemon had a later one, or has left with the
            # same one.
            incarnation, refutation = row.incarnation + 1, 0
        self.table.set(
            msgspec.structs.replace(
                mine, incarnation=incarnation, refutation=refutation
            )
        )
        self.disseminate(self._name)

    def _accept(self, row: protocol.MemberRow, now_ms: float) -> _Effects:
        name = row.name
        self.table.set(row)
        self._suspected_until.pop(name, None)
        if row.state is _SUSPECT:
            self._suspected_until[name] = now_ms + self.suspicion_ms()
        if row.state in _LOST:
            self.lost_since.setdefault(name, now_ms)
        else:
            self.lost_since.pop(name, None)
        return [_gossip_state.MemberChanged(row)]

    def suspect(self, row: protocol.MemberRow, now_ms: float) -> _Effects:
        """Suspect a member; it is declared dead if it does not refute."""
        return self.merge([_member_table.with_state(row, _SUSPECT)], now_ms)

    def expire_suspicions(self, now_ms: float) -> _Effects:
        """Declare the members dead whose time to refute is over."""
        due = [
            name
            for name, until_ms in self._suspected_until.items()
            if until_ms <= now_ms
        ]
        dead = [
            _member_table.with_state(self.table.get(name), _DEAD)
            for name in due
        ]
        return self.merge(dead, now_ms)

    def postpone_suspicions(self, delay_ms: float) -> None:
        """Give all suspect members more time to refute."""
        for name in self._suspected_until:
            self._suspected_until[name] += delay_ms

    def leave(self) -> protocol.MemberRow:
        """Mark this daemon as having left; return its row."""
        self.table.set(_member_table.with_state(self.me, _LEFT))
        self.disseminate(self._name)
        return self.me

    def forget_lost(self, before_ms: float) -> list[str]:
        """Drop the members lost by ``before_ms``; return their names."""
        names = [
            name
            for name, since_ms in self.lost_since.items()
            if since_ms <= before_ms
        ]
        for name in names:
            del self.lost_since[name]
            self.table.forget(name)
        return names
