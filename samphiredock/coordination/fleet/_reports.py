"""What is said of the members: who is believed, and what is told on."""

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
_GONE = (_DEAD, _LEFT)

_Effects = list[_gossip_state.GossipEffect]


class Reports:
    """The table of members, and the reports that change it.

    ``lost_since`` has the time since when a member is gone, ``doubtful``
    the reports of deaths that the member itself is to be asked about.

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
        # Starts known to have ended, of members that are not in the table.
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

    def period_ms(self) -> float:
        """Return the time between two probes at the present size."""
        small = len(self.table.names()) <= _SMALL_FLEET_SIZE
        return _SMALL_FLEET_PERIOD_MS if small else _PERIOD_MS

    def suspicion_ms(self) -> float:
        """Return the time a suspect has to refute.

        It grows with the logarithm of the size, as does the time in which
        the suspicion reaches the suspect and its answer comes back.
        """
        rounds = math.log2(len(self.table.names()) + 1)
        return max(_MIN_SUSPICION_MS, self.period_ms() * rounds)

    def disseminate(self, name: str) -> None:
        """Send a member's row along with the next messages."""
        self.piggyback.add(name, len(self.table.names()))

    def rows_for(self, receiver: str) -> list[protocol.MemberRow]:
        """Return the rows to send along with a message."""
        rows = [self.table.get(name) for name in self.piggyback.take()]
        about = self.table.get(receiver)
        if about is not None and about.state is not _ALIVE:
            # Who is held suspect or dead is told so, to refute it; and who
            # is asking, since it may have started again with nothing while
            # the store that lists the members is down.
            rows += [about, self.me]
        return [row for row in rows if row is not None]

    def merge(
        self,
        rows: typing.Iterable[protocol.MemberRow],
        now_ms: float,
        from_exchange: bool = False,
    ) -> _Effects:
        """Take in what is said of members.

        ``hearsay`` marks the rows of a full exchange, which may be from
        before a cut and are not believed when they report a death.  Nor
        are they told on: the peer has them from others, and telling all
        members' rows after each start would fill the probes for minutes.
        """
        effects: _Effects = []
        for row in rows:
            if row.name == self._name:
                self._refute_if_needed(row)
            elif not self.table.beats(row) or self._is_outdated(row):
                self._record_left(row)
            elif from_exchange and self._needs_verification(row):
                # After a cut each side holds the other's members dead.
                # Believing that would take every member out for a moment
                # on both sides; the member itself is asked instead.
                self.unverified.append(row)
            else:
                effects += self._accept(row, now_ms)
                if not from_exchange:
                    self.disseminate(row.name)
        return effects

    def _is_outdated(self, row: protocol.MemberRow) -> bool:
        # Each daemon forgets the dead at a time of its own.  Learning them
        # again from each other, they would never be forgotten.
        if self.table.get(row.name) is not None:
            return False
        has_left = self._left_incarnations.get(row.name, -1) >= row.incarnation
        return row.state in _GONE or has_left

    def _record_left(self, row: protocol.MemberRow) -> None:
        """Keep in mind that a start which left is over.

        A fresh daemon may hear of it before it hears, from someone who
        does not know yet, that the member lives: it would send work to a
        process that has gone, and wait for an answer in vain.
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
        """Say something of this daemon that beats ``row``."""
        mine = self.me
        incarnation, refutation = mine.incarnation, row.refutation + 1
        if row.incarnation > incarnation or row.state is _LEFT:
            # An earlier start of this daemon ran with a later wall clock,
            # or has left under the same number.
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
        if row.state in _GONE:
            self.lost_since.setdefault(name, now_ms)
        else:
            self.lost_since.pop(name, None)
        return [_gossip_state.MemberChanged(row)]

    def suspect(self, row: protocol.MemberRow, now_ms: float) -> _Effects:
        """Hold a member suspect; it is dead if it does not refute that."""
        return self.merge([_member_table.with_state(row, _SUSPECT)], now_ms)

    def expire_suspicions(self, now_ms: float) -> _Effects:
        """Hold dead whose time to refute is over."""
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
        """Give all suspects more time."""
        for name in self._suspected_until:
            self._suspected_until[name] += delay_ms

    def leave(self) -> protocol.MemberRow:
        """Hold this daemon as leaving; return its row."""
        self.table.set(_member_table.with_state(self.me, _LEFT))
        self.disseminate(self._name)
        return self.me

    def forget_lost(self, before_ms: float) -> list[str]:
        """Drop the members that were lost before a time; return them."""
        names = [
            name
            for name, since_ms in self.lost_since.items()
            if since_ms <= before_ms
        ]
        for name in names:
            del self.lost_since[name]
            self.table.forget(name)
        return names
