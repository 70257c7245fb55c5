"""Membership of the daemons, and broadcasts to all of them.

Connects :mod:`_gossip`, which does no I/O, to the peer connections, timers
and the directory.
"""

import asyncio
import itertools
import random
import typing

import msgspec

from samphiredock.coordination import background
from samphiredock.coordination.fleet import _directory
from samphiredock.coordination.fleet import _gossip
from samphiredock.coordination.fleet import _gossip_state
from samphiredock.coordination.fleet import _member_table
from samphiredock.coordination.fleet import _relay
from samphiredock.coordination.fleet import _settling
from samphiredock import logs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

_JOIN_RETRY_MS = 500.0
_IDLE_CHECK_MS = 60_000.0

_log = logs.logger('membership')

_ChangeCallback = typing.Callable[
    [tuple[state.Member, ...], tuple[state.Member, ...]], None
]
_VersionsCallback = typing.Callable[[str, protocol.HeldVersions], None]


class Membership:
    """The live daemons as this daemon sees them.

    Parameters
    ----------
    me
        This daemon's entry at its start.
    peers
        The connections to the other daemons.
    codec
        Encodes messages that are relayed.
    platform
        The store with the directory.
    clock, counters
        The timers and metrics of this daemon.
    versions
        Returns the configuration and snapshot versions this daemon holds.
    rng
        Seeded random source.
    seeds
        Peer addresses to ask at the start, in case the store is down.
    """

    def __init__(
        self,
        me: state.Member,
        peers: _relay.PeerLinks,
        codec: protocol.Codec,
        platform: transport.Platform,
        clock: timers.Timers,
        counters: metrics.Metrics,
        versions: typing.Callable[[], protocol.HeldVersions],
        rng: random.Random,
        seeds: typing.Sequence[str] = (),
    ) -> None:
        self._name = me.name
        self._peers = peers
        self._clock = clock
        self._metrics = counters
        self._versions = versions
        self._seeds = tuple(seeds)
        now_ms = clock.now_ms()
        self._settling = _settling.Settling(now_ms)
        self._gossip = _gossip.Gossip(
            _member_table.row_of(me),
            rng,
            versions,
            self.is_settled,
            lambda: self._settling.is_behind(versions()),
            now_ms,
        )
        self._directory = _directory.Directory(
            self._member,
            platform,
            clock,
            counters,
            rng,
            self.live,
            self._on_directory,
        )
        self._relay = _relay.Relay(me, peers, codec, self.live, counters)
        self._listed: list[protocol.MemberRow] = []
        self._revisions: dict[str, int] = {}
        self._reported_members: dict[str, state.Member] = {}
        self._reported_version = -1
        self._change_callbacks: list[_ChangeCallback] = []
        self._versions_callbacks: list[_VersionsCallback] = []
        self._joined = False
        self._task: asyncio.Task | None = None
        self._timers: list[timers.TimerHandle] = []
        for kind in _gossip.GOSSIP_MESSAGES:
            peers.subscribe(kind, self._on_message)
        peers.subscribe(protocol.RevisionHeld, self._on_revision)
        clock.on_gap(self._on_gap)

    # State.

    @property
    def version(self) -> int:
        """A number that changes whenever the live members change."""
        return self._gossip.table.version

    def live(self) -> tuple[state.Member, ...]:
        """Return the live members, this daemon included.

        The same tuple is returned until a member changes.
        """
        return self._gossip.table.live()

    def neighbours(self) -> list[str]:
        """Return the names of the members that this daemon probes."""
        return self._gossip.neighbours()

    def revisions(self) -> dict[str, int]:
        """Return the configuration revision each live member reported."""
        rows = {
            name: revision
            for name, revision in self._revisions.items()
            if self._gossip.table.is_live(name)
        }
        return {**rows, self._name: self._versions().revision}

    def confirmations(self, revision: int) -> dict[str, dict[str, int]]:
        """Return by site how many members are live and hold ``revision``.

        The keys of the inner dictionaries are ``live`` and ``confirmed``; a
        member with a newer revision counts as confirmed.
        """
        revisions = self.revisions()
        sites: dict[str, dict[str, int]] = {}
        for member in self.live():
            row = sites.setdefault(member.site, {'live': 0, 'confirmed': 0})
            row['live'] += 1
            row['confirmed'] += revisions.get(member.name, 0) >= revision
        return sites

    def health(self) -> list[dict[str, typing.Any]]:
        """Return all known members, dead ones included, for ``status``."""
        revisions = self.revisions()
        return [
            _gossip.status_row(row, revisions.get(row.name, 0))
            for row in self._gossip.table.rows()
        ]

    def is_current(self) -> bool:
        """Whether the view is not from before a freeze of this process."""
        return self._gossip.is_current(self._clock.now_ms())

    def is_settled(self) -> bool:
        """Whether this daemon may rely on the versions that it holds."""
        now_ms = self._clock.now_ms()
        return self._settling.is_settled(now_ms, self._versions())

    def on_change(self, callback: _ChangeCallback) -> None:
        """Call ``callback(joined, lost)`` when the live members change.

        A member whose entry changed, as after a restart, is in both.
        """
        self._change_callbacks.append(callback)

    def on_peer_versions(self, callback: _VersionsCallback) -> None:
        """Call ``callback(member, versions)`` when a peer reports versions."""
        self._versions_callbacks.append(callback)

    def broadcast(
        self, message: msgspec.Struct, site: str | None = None
    ) -> None:
        """Send a message to every other live member, or those of one site.

        Delivery is best effort.
        """
        self._relay.broadcast(message, site)

    # Start and stop.

    def start(self) -> None:
        """Register in the directory, join and start to probe."""
        self._timers = [
            self._clock.every(_gossip.TICK_MS, self._tick),
            self._clock.every(_JOIN_RETRY_MS, self._join),
            self._clock.every(_IDLE_CHECK_MS, self._peers.close_idle),
        ]
        self._task = background.start_loop(
            self._directory.follow, 'directory', self._clock, self._metrics
        )
        self._ask_seeds()

    def on_store_read(self) -> None:
        """Record that the store was read, or could not be."""
        self._settling.on_store()

    def leave(self) -> None:
        """Tell all members that this daemon has left and owns no targets."""
        row = self._gossip.leave()
        self.broadcast(protocol.StatePush([row]))
        self._execute([])

    def close(self) -> None:
        """Stop probing and reading the directory."""
        for timer in self._timers:
            timer.cancel()
        if self._task is not None:
            self._task.cancel()

    # Events.

    def _member(self) -> state.Member:
        return _member_table.member_of(self._gossip.me)

    def _tick(self) -> None:
        self._execute(self._gossip.tick(self._clock.now_ms()))

    def _on_gap(self, gap_ms: float) -> None:
        self._metrics.add('process_gaps')
        _log.warn('process was frozen', gap_ms=int(gap_ms))
        self._execute(self._gossip.on_gap(self._clock.now_ms()))

    def _on_message(self, sender: str, message: msgspec.Struct) -> None:
        now_ms = self._clock.now_ms()
        self._execute(self._gossip.on_message(sender, message, now_ms))

    def _on_revision(self, sender: str, held: protocol.RevisionHeld) -> None:
        self._record_revision(sender, held.revision)

    def _on_directory(self, members: list[state.Member] | None) -> None:
        if members is None:
            # The store is unreachable: only the seed addresses are known.
            self._settling.on_store()
            if not self._listed:
                self._settling.on_directory(self._seed_names())
            return
        self._listed = [_member_table.row_of(member) for member in members]
        self._settling.on_directory({member.name for member in members})
        self._execute(self._gossip.ask_unknown(self._listed))

    def _seed_names(self) -> set[str]:
        """Return the names that stand for daemons known by address only."""
        return {f'@{address}' for address in self._seeds}

    def _join(self) -> None:
        if self._joined and self.is_settled():
            return
        self._ask_seeds()
        self._execute(self._gossip.ask_unknown(self._listed))
        self._execute(self._gossip.ask_neighbours())

    def _ask_seeds(self) -> None:
        if self._joined:
            return
        ask = self._gossip.state_ask()
        for address in self._seeds:
            self._peers.set_address(f'@{address}', address)
            self._peers.send(f'@{address}', ask)

    # Effects.

    def _execute(self, effects: list[_gossip_state.GossipEffect]) -> None:
        for effect in effects:
            _EFFECTS[type(effect)](self, effect)
        if self._gossip.table.version != self._reported_version:
            self._report_change()

    def _report_change(self) -> None:
        self._reported_version = self._gossip.table.version
        now = {member.name: member for member in self.live()}
        before, self._reported_members = self._reported_members, now
        joined = tuple(
            member
            for name, member in now.items()
            if before.get(name) != member
        )
        lost = tuple(
            member
            for name, member in before.items()
            if now.get(name) != member
        )
        for member in joined:
            _log.notice('member joined', name=member.name, site=member.site)
        for member in lost:
            _log.notice('member lost', name=member.name, site=member.site)
        self._metrics.add('members_joined', len(joined))
        self._metrics.add('members_lost', len(lost))
        for callback in self._change_callbacks:
            callback(joined, lost)

    def _send(self, effect: _gossip_state.SendTo) -> None:
        self._peers.send(effect.member, effect.message)

    def _reset(self, effect: _gossip_state.ResetPeer) -> None:
        self._metrics.add('peer_connections_reset')
        self._peers.reset(effect.member)

    def _on_member_changed(self, effect: _gossip_state.MemberChanged) -> None:
        row = effect.row
        self._peers.set_address(row.name, row.peer_address)
        before = self._reported_members.get(row.name)
        if before is not None and before.incarnation != row.incarnation:
            self._revisions.pop(row.name, None)

    def _on_member_forgotten(
        self, effect: _gossip_state.MemberForgotten
    ) -> None:
        self._revisions.pop(effect.member, None)
        self._peers.reset(effect.member)

    def _record_versions(self, effect: _gossip_state.PeerVersions) -> None:
        self._record_revision(effect.member, effect.versions.revision)
        self._settling.on_versions(effect.versions)
        for callback in self._versions_callbacks:
            callback(effect.member, effect.versions)

    def _record_revision(self, member: str, revision: int) -> None:
        # Messages may arrive out of order; a member's revision only rises
        # within one incarnation.
        known = self._revisions.get(member, 0)
        self._revisions[member] = max(known, revision)

    def _on_peer_answered(self, effect: _gossip_state.PeerAnswered) -> None:
        self._joined = True
        self._settling.on_answer(effect.member, effect.settled)


_EFFECTS: dict[type, typing.Callable[..., None]] = {
    _gossip_state.SendTo: Membership._send,
    _gossip_state.ResetPeer: Membership._reset,
    _gossip_state.MemberChanged: Membership._on_member_changed,
    _gossip_state.MemberForgotten: Membership._on_member_forgotten,
    _gossip_state.PeerVersions: Membership._record_versions,
    _gossip_state.PeerAnswered: Membership._on_peer_answered,
}


def watchers_of(
    members: typing.Iterable[state.Member], site: str, count: int
) -> list[str]:
    """Return up to ``count`` members that watch the store for a site."""
    names = [member.name for member in members if member.site == site]
    return list(itertools.islice(_relay.relay_order(names, 'watchers'), count))
