"""Configuration and snapshots from peer to peer.

A notice of a version goes to all; whoever lacks it asks the sender of the
notice, so that a large object crosses to each daemon once.  A peer that is
asked before it has the object answers when it gets it.  Versions told with
the probes make the same notice: a daemon that missed one asks the next
peer it speaks with, also while the store is down.
"""

import typing

from samphiredock.coordination.config import _current_state
from samphiredock.coordination.fleet import _relay
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import timers

_ASK_AGAIN_MS = 600.0
_WAITING_LIMIT = 1_000


class ObjectExchange:
    """Tells, asks for and hands out the objects of one daemon.

    Parameters
    ----------
    name
        This daemon's name.
    current_state
        What is held here.
    peers
        The peer sockets.
    broadcast
        Sends to all members, or to those of one site.
    clock, counters
        The timer service and metrics of this daemon.
    """

    def __init__(
        self,
        name: str,
        current_state: _current_state.CurrentState,
        peers: _relay.PeerLinks,
        broadcast: typing.Callable[..., None],
        clock: timers.Timers,
        counters: metrics.Metrics,
    ) -> None:
        self._name = name
        self._current_state = current_state
        self._peers = peers
        self._broadcast = broadcast
        self._clock = clock
        self._metrics = counters
        self._asked: dict[str, tuple[int, float]] = {}
        self._waiting: dict[str, dict[str, int]] = {}
        self._refused: dict[str, int] = {}
        self._origins: dict[tuple[str, int], str] = {}
        current_state.on_adopted(self._on_adopted)
        peers.subscribe(protocol.ObjectVersion, self._on_notice)
        peers.subscribe(protocol.ObjectAsk, self._on_ask)
        peers.subscribe(protocol.ObjectChanged, self._on_object)

    def announce(self, key: str, site: str | None = None) -> None:
        """Tell all members, or a site's, which version is held here."""
        version = self._current_state.version(key)
        if version:
            notice = protocol.ObjectVersion(key, version, self._name)
            self._broadcast(notice, site)

    def on_peer_holds(
        self, member: str, versions: protocol.HeldVersions
    ) -> None:
        """Ask a peer that holds something newer."""
        keys = _current_state.CONFIGURATION_KEY, _current_state.SNAPSHOT_KEY
        held = versions.revision, versions.snapshot_id
        for key, version in zip(keys, held):
            self._ask(member, key, version)

    def _ask(self, member: str, key: str, version: int) -> None:
        known = self._current_state.version(key)
        if version <= max(known, self._refused.get(key, 0)):
            return
        asked, at_ms = self._asked.get(key, (0, 0.0))
        now_ms = self._clock.now_ms()
        if asked >= version and now_ms - at_ms < _ASK_AGAIN_MS:
            return
        self._asked[key] = version, now_ms
        self._peers.send(member, protocol.ObjectAsk(key, version))

    def _on_notice(self, sender: str, notice: protocol.ObjectVersion) -> None:
        if notice.version <= self._current_state.version(notice.key):
            self._confirm(notice.key, notice.version, notice.origin)
            return
        self._origins[notice.key, notice.version] = notice.origin
        self._ask(sender, notice.key, notice.version)

    def _on_ask(self, sender: str, ask: protocol.ObjectAsk) -> None:
        if self._current_state.version(ask.key) >= ask.version:
            self._give(sender, ask.key)
            return
        waiting = self._waiting.setdefault(ask.key, {})
        if len(waiting) < _WAITING_LIMIT:
            waiting[sender] = ask.version

    def _give(self, member: str, key: str) -> None:
        value = self._current_state.value(key)
        version = self._current_state.version(key)
        self._metrics.add('objects_given', key=key)
        self._peers.send(member, protocol.ObjectChanged(key, version, value))

    def _on_object(self, sender: str, changed: protocol.ObjectChanged) -> None:
        if changed.key in (
            _current_state.CONFIGURATION_KEY,
            _current_state.SNAPSHOT_KEY,
        ):
            self._metrics.add('objects_received', key=changed.key)
            self._current_state.offer(changed.key, changed.value)
            if self._current_state.version(changed.key) < changed.version:
                # It can't be read here; asking again would not help.
                self._refused[changed.key] = changed.version

    def _on_adopted(self, key: str, version: int) -> None:
        waiting = self._waiting.pop(key, {})
        for member, wanted in waiting.items():
            if wanted <= version:
                self._give(member, key)
            else:
                self._waiting.setdefault(key, {})[member] = wanted
        for known, told in list(self._origins):
            if known == key and told <= version:
                origin = self._origins.pop((known, told))
                self._confirm(key, told, origin)

    def _confirm(self, key: str, version: int, origin: str) -> None:
        if key == _current_state.CONFIGURATION_KEY and origin != self._name:
            self._peers.send(origin, protocol.RevisionHeld(version))
