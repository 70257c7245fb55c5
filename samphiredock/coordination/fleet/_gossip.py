"""SWIM-style membership protocol, without I/O.

Each period a daemon probes one member.  A member that does not answer is
probed through others, then suspected, and declared dead if it does not
refute the suspicion in time.  Changes are piggybacked on probes, so that the
bytes a daemon sends do not grow with the number of members.  Ticks and
messages go in, effects for :class:`Membership` come out.
"""

import random
import typing

import msgspec

from samphiredock.coordination.fleet import _gossip_state
from samphiredock.coordination.fleet import _member_table
from samphiredock.coordination.fleet import _neighbours
from samphiredock.coordination.fleet import _reports
from samphiredock import protocol

TICK_MS = 100.0
_GAP_MS = 1_500.0
"""A tick that is later than this means that the process was frozen."""

_DIRECT_TIMEOUT_MS = 300.0
_INDIRECT_TIMEOUT_MS = 400.0
_INDIRECT_PROBES = 3
_LOST_PROBE_INTERVAL_MS = 2_000.0
_LOST_RETENTION_MS = 2 * 3_600_000.0
_EXCHANGE_INTERVAL_MS = 10_000.0
_VERIFY_PER_TICK = 5
_MAX_UNKNOWN_ASKED = 8
_REFRESH_PEERS = 3

_ALIVE = protocol.MemberState.ALIVE
_SUSPECT = protocol.MemberState.SUSPECT

_Effects = list[_gossip_state.GossipEffect]


class Gossip:
    """One daemon's view of the members.

    Parameters
    ----------
    me
        This daemon's row at its start.
    rng
        Seeded random source.
    versions
        Returns the versions this daemon holds, sent with each probe.
    settled
        Returns whether this daemon is settled, see :class:`Settling`.
    is_behind
        Returns whether a peer has reported newer versions.
    now_ms
        The monotonic time of the start.
    """

    def __init__(
        self,
        me: protocol.MemberRow,
        rng: random.Random,
        versions: typing.Callable[[], protocol.HeldVersions],
        settled: typing.Callable[[], bool],
        is_behind: typing.Callable[[], bool],
        now_ms: float,
    ) -> None:
        self._reports = _reports.Reports(me)
        self.table = self._reports.table
        self._name = me.name
        self._rng = rng
        self._versions = versions
        self._settled = settled
        self._is_behind = is_behind
        self._last_number = 0
        self._probes = _gossip_state.Probes(rng)
        self._neighbours = _neighbours.Neighbours(me.name)
        self._view_freshness = _gossip_state.ViewFreshness()
        self._last_ms = now_ms
        self._next_probe_ms = now_ms
        self._next_lost_ms = now_ms + _LOST_PROBE_INTERVAL_MS
        self._next_exchange_ms = now_ms + rng.uniform(
            0, _EXCHANGE_INTERVAL_MS / 4
        )

    @property
    def me(self) -> protocol.MemberRow:
        """This daemon's own row."""
        return self._reports.me

    def neighbours(self) -> list[str]:
        """Return the live members that this daemon probes."""
        return self._neighbours.names(self.table)

    def is_current(self, now_ms: float) -> bool:
        """Whether the view is not from before a freeze of this process."""
        late_ms = now_ms - self._last_ms
        return late_ms < _GAP_MS and not self._view_freshness.is_stale

    # Inputs.

    def tick(self, now_ms: float) -> _Effects:
        """Do what is due; must be called every ``TICK_MS``."""
        effects = self._check_gap(now_ms)
        self._last_ms = now_ms
        effects += self._refresh_view(now_ms)
        effects += self._expire_probes(now_ms)
        effects += self._reports.expire_suspicions(now_ms)
        effects += self._verify_reports()
        if now_ms >= self._next_probe_ms:
            self._next_probe_ms = now_ms + self._reports.probe_period_ms()
            effects += self._probe_next(now_ms)
        if now_ms >= self._next_lost_ms:
            self._next_lost_ms = now_ms + _LOST_PROBE_INTERVAL_MS
            effects += self._probe_lost(now_ms)
        if now_ms >= self._next_exchange_ms:
            spread = self._rng.uniform(0.75, 1.25)
            self._next_exchange_ms = now_ms + _EXCHANGE_INTERVAL_MS * spread
            effects += self._ask_state(self._random_neighbours(1))
        return effects

    def on_message(
        self, sender: str, message: msgspec.Struct, now_ms: float
    ) -> _Effects:
        """Handle a message of a peer."""
        effects = self._check_gap(now_ms)
        handler = _HANDLERS[type(message)]
        return effects + handler(self, sender, message, now_ms)

    def ask_unknown(
        self, rows: typing.Sequence[protocol.MemberRow]
    ) -> _Effects:
        """Ask some of the daemons in ``rows`` that are not live members.

        The directory may list daemons long dead, so they become members
        only when they answer.  The ``MemberChanged`` effects make their
        addresses known to the peer connections.
        """
        unknown = [row for row in rows if not self.table.is_live(row.name)]
        chosen = self._rng.sample(
            unknown, min(_MAX_UNKNOWN_ASKED, len(unknown))
        )
        effects: _Effects = [
            _gossip_state.MemberChanged(row) for row in chosen
        ]
        names = [row.name for row in chosen]
        return effects + self._ask_state(names, full=True)

    def ask_neighbours(self) -> _Effects:
        """Ask some neighbours for their member tables."""
        return self._ask_state(self._random_neighbours(_REFRESH_PEERS))

    def leave(self) -> protocol.MemberRow:
        """Mark this daemon as having left; return its row to be sent."""
        return self._reports.leave()

    # Freezes of this process.

    def _check_gap(self, now_ms: float) -> _Effects:
        late_ms = now_ms - self._last_ms - TICK_MS
        if late_ms <= 0:
            return []
        if late_ms < _GAP_MS:
            # During a short stall of this process the others cannot be
            # heard: it must not count towards their timeouts.
            self._probes.postpone(late_ms)
            self._reports.postpone_suspicions(late_ms)
            self._last_ms = now_ms - TICK_MS
            return []
        return self.on_gap(now_ms)

    def on_gap(self, now_ms: float) -> _Effects:
        """Handle a freeze of this process that ended now.

        The view is outdated, and the other daemons may have declared this
        one dead.  Without this the daemon would suspect every member and
        use the targets it owned before.
        """
        last_ms, self._last_ms = self._last_ms, now_ms
        if not self._view_freshness.is_stale:
            self._reports.refute(self.me)
        gap_ms = now_ms - last_ms
        self._reports.postpone_suspicions(gap_ms)
        self._view_freshness.on_gap(now_ms)
        self._probes.clear()
        return []

    def _refresh_view(self, now_ms: float) -> _Effects:
        if not self._view_freshness.is_stale:
            return []
        wanted = min(_REFRESH_PEERS, len(self.table.names()) - 1)
        if self._view_freshness.should_ask(now_ms, wanted, self._is_behind()):
            return self._ask_state(self._random_neighbours(2 * _REFRESH_PEERS))
        return []

    # Probes.

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def _random_neighbours(self, count: int) -> list[str]:
        names = self.neighbours()
        return self._rng.sample(names, min(count, len(names)))

    def _probe(
        self,
        name: str,
        due_ms: float,
        asked_by: str = '',
        asked_number: int = 0,
    ) -> _Effects:
        number = self._next_number()
        self._probes.add(
            number,
            _gossip_state.OpenProbe(
                name, due_ms, asked_by=asked_by, asked_number=asked_number
            ),
        )
        message = protocol.Probe(
            number, self._versions(), self._reports.rows_for(name)
        )
        return [_gossip_state.SendTo(name, message)]

    def _probe_next(self, now_ms: float) -> _Effects:
        name = self._probes.next_member(self.neighbours())
        return self._probe(name, now_ms + _DIRECT_TIMEOUT_MS) if name else []

    def _probe_lost(self, now_ms: float) -> _Effects:
        """Probe one lost member, to detect the end of a partition."""
        effects: _Effects = []
        for name in self._reports.forget_lost(now_ms - _LOST_RETENTION_MS):
            effects.append(_gossip_state.MemberForgotten(name))
        if not self._reports.lost_since:
            return effects
        name = self._rng.choice(sorted(self._reports.lost_since))
        return effects + self._probe(name, now_ms + _DIRECT_TIMEOUT_MS)

    def _expire_probes(self, now_ms: float) -> _Effects:
        effects: _Effects = []
        for number, probe in self._probes.due(now_ms):
            row = self.table.get(probe.member)
            known = row is not None and row.state in (_ALIVE, _SUSPECT)
            if probe.asked_by or probe.indirect or not known:
                self._probes.close(number)
                if probe.indirect and known and row.state is _ALIVE:
                    effects += self._reports.suspect(row, now_ms)
                continue
            probe.indirect = True
            probe.due_ms = now_ms + _INDIRECT_TIMEOUT_MS
            effects += self._probe_through_others(number, probe.member)
        return effects

    def _probe_through_others(self, number: int, member: str) -> _Effects:
        helpers = [
            name
            for name in self._random_neighbours(_INDIRECT_PROBES + 1)
            if name != member
        ][:_INDIRECT_PROBES]
        versions = self._versions()
        return [
            _gossip_state.SendTo(
                name,
                protocol.ProbeAsk(
                    number, member, versions, self._reports.rows_for(name)
                ),
            )
            for name in helpers
        ]

    def _verify_reports(self) -> _Effects:
        """Probe members whose suspicion or death is unverified.

        The probe carries the report, so that the member can refute it.
        """
        effects: _Effects = []
        unverified = self._reports.unverified
        for _ in range(min(_VERIFY_PER_TICK, len(unverified))):
            row = unverified.popleft()
            if not self.table.beats(row):
                continue
            message = protocol.Probe(
                self._next_number(), self._versions(), [row]
            )
            effects.append(_gossip_state.SendTo(row.name, message))
        return effects

    # Messages.

    def _ask_state(self, names: list[str], full: bool = False) -> _Effects:
        digests = [] if full else self.table.digests()
        message = protocol.StateAsk(
            self._next_number(), self.me, digests, self._versions()
        )
        return [_gossip_state.SendTo(name, message) for name in names]

    def state_ask(self) -> protocol.StateAsk:
        """Return the request for a full member table.

        For peers of which only the address is known.
        """
        return protocol.StateAsk(
            self._next_number(), self.me, [], self._versions()
        )

    def _on_probe(
        self, sender: str, message: protocol.Probe, now_ms: float
    ) -> _Effects:
        effects = self._reports.merge(message.rows, now_ms)
        effects.append(_gossip_state.PeerVersions(sender, message.versions))
        rows = self._reports.rows_for(sender)
        is_reported = any(row.name == self._name for row in message.rows)
        leaving = self.me.state is protocol.MemberState.LEFT
        if (is_reported or leaving) and self.me not in rows:
            # The refutation may not be piggybacked any more when an old
            # report comes; and the prober may not know that this daemon has
            # left.
            rows.append(self.me)
        answer = protocol.ProbeAnswer(message.number, self._versions(), rows)
        return [*effects, _gossip_state.SendTo(sender, answer)]

    def _on_probe_answer(
        self, sender: str, message: protocol.ProbeAnswer, now_ms: float
    ) -> _Effects:
        was_lost = sender in self._reports.lost_since
        effects = self._reports.merge(message.rows, now_ms)
        effects.append(_gossip_state.PeerVersions(sender, message.versions))
        probe = self._probes.get(message.number)
        if probe is not None and probe.member == sender:
            self._probes.close(message.number)
            if probe.asked_by:
                effects += self._relay_answer(probe, message)
        elif probe is not None and probe.indirect:
            # Another daemon reaches the member, so only this daemon's
            # connection to it is silent.  The member's own probes detect a
            # silent connection in the other direction.
            self._probes.close(message.number)
            effects.append(_gossip_state.ResetPeer(probe.member))
        if was_lost and sender not in self._reports.lost_since:
            effects += self._ask_state([sender])
        return effects

    def _relay_answer(
        self, probe: _gossip_state.OpenProbe, message: protocol.ProbeAnswer
    ) -> _Effects:
        answer = protocol.ProbeAnswer(
            probe.asked_number, self._versions(), message.rows
        )
        return [_gossip_state.SendTo(probe.asked_by, answer)]

    def _on_probe_ask(
        self, sender: str, message: protocol.ProbeAsk, now_ms: float
    ) -> _Effects:
        effects = self._reports.merge(message.rows, now_ms)
        effects.append(_gossip_state.PeerVersions(sender, message.versions))
        return effects + self._probe(
            message.target, now_ms + _DIRECT_TIMEOUT_MS, sender, message.number
        )

    def _on_state_ask(
        self, sender: str, message: protocol.StateAsk, now_ms: float
    ) -> _Effects:
        effects = self._reports.merge([message.row], now_ms)
        effects.append(_gossip_state.PeerVersions(sender, message.versions))
        buckets = self.table.differing(message.digests)
        answer = protocol.StateAnswer(
            message.number,
            buckets,
            self.table.in_buckets(buckets),
            self._versions(),
            self._settled(),
        )
        return [*effects, _gossip_state.SendTo(sender, answer)]

    def _on_state_answer(
        self, sender: str, message: protocol.StateAnswer, now_ms: float
    ) -> _Effects:
        theirs = {
            row.name: _member_table.order_of(row) for row in message.rows
        }
        effects = self._reports.merge(message.rows, now_ms, from_exchange=True)
        effects.append(_gossip_state.PeerVersions(sender, message.versions))
        effects.append(_gossip_state.PeerAnswered(sender, message.settled))
        self._view_freshness.on_answer(sender)
        missing = [
            row
            for row in self.table.in_buckets(message.buckets)
            if row.name not in theirs
            or _member_table.order_of(row) > theirs[row.name]
        ]
        if missing:
            effects.append(
                _gossip_state.SendTo(sender, protocol.StatePush(missing))
            )
        return effects

    def _on_state_push(
        self, sender: str, message: protocol.StatePush, now_ms: float
    ) -> _Effects:
        return self._reports.merge(message.rows, now_ms, from_exchange=True)


_HANDLERS: dict[type, typing.Callable[..., _Effects]] = {
    protocol.Probe: Gossip._on_probe,
    protocol.ProbeAnswer: Gossip._on_probe_answer,
    protocol.ProbeAsk: Gossip._on_probe_ask,
    protocol.StateAsk: Gossip._on_state_ask,
    protocol.StateAnswer: Gossip._on_state_answer,
    protocol.StatePush: Gossip._on_state_push,
}
GOSSIP_MESSAGES = tuple(_HANDLERS)
"""The messages that :meth:`Gossip.on_message` handles."""


def status_row(row: protocol.MemberRow, revision: int) -> dict:
    """Return one member's row in the output of ``status``."""
    return {
        'member': _member_table.member_of(row),
        'state': row.state.name.lower(),
        'incarnation': row.incarnation,
        'revision': revision,
    }
