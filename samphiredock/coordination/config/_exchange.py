"""Exchanges configuration and snapshots between daemons.

A daemon with a new version sends a notice to all.  Each daemon that lacks
the version requests the object from the sender of the notice, so that a
large object is transferred to each daemon once.  A daemon that is asked
before it has the object answers once it gets it.  Probes carry the versions
too: a daemon that missed a notice requests the object from the next peer it
exchanges probes with, even while the store is down.

A notice names its origin, the daemon that sent it first.  Daemons confirm to
the origin that they have the announced configuration revision.
"""

import typing

from samphiredock.coordination.config import _current_state
from samphiredock.coordination.fleet import _relay
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import timers

_REQUEST_RETRY_MS = 600.0  # before another request for the version
_WAITING_PEERS_LIMIT = 1_000  # per object


class ObjectExchange:
    """Announces, requests and sends objects for one daemon.

    Parameters
    ----------
    name
        This daemon's name.
    current_state
        The configuration and snapshot held here.
    peers
        The peer sockets.
    broadcast
        Sends to all daemons, or to those of one site.
    clock, counters
        The timers and metrics of this daemon.
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
        # By object key: the version requested last and when.
        self._requested: dict[str, tuple[int, float]] = {}
        # By object key: the versions that peers wait for, by peer.
        self._waiting_peers: dict[str, dict[str, int]] = {}
        # By object key: the last version that could not be applied here.
        self._unreadable: dict[str, int] = {}
        # By object key and version: the origin to confirm it to.
        self._origins: dict[tuple[str, int], str] = {}
        current_state.on_adopted(self._on_adopted)
        peers.subscribe(protocol.ObjectVersion, self._on_notice)
        peers.subscribe(protocol.ObjectAsk, self._on_ask)
        peers.subscribe(protocol.ObjectChanged, self._on_object)

    def announce(self, key: str, site: str | None = None) -> None:
        """Send the version held here to all daemons, or those of a site."""
        version = self._current_state.version(key)
        if version:
            notice = protocol.ObjectVersion(key, version, self._name)
            self._broadcast(notice, site)

    def on_peer_versions(
        self, peer: str, versions: protocol.HeldVersions
    ) -> None:
        """Request what a peer holds in a newer version."""
        keys = _current_state.CONFIGURATION_KEY, _current_state.SNAPSHOT_KEY
        held = versions.revision, versions.snapshot_id
        for key, version in zip(keys, held):
            self._request(peer, key, version)

    def _request(self, peer: str, key: str, version: int) -> None:
        known = self._current_state.version(key)
        if version <= max(known, self._unreadable.get(key, 0)):
            return
        requested, at_ms = self._requested.get(key, (0, 0.0))
        now_ms = self._clock.now_ms()
        if requested >= version and now_ms - at_ms < _REQUEST_RETRY_MS:
            return
        self._requested[key] = version, now_ms
        self._peers.send(peer, protocol.ObjectAsk(key, version))

    def _on_notice(self, sender: str, notice: protocol.ObjectVersion) -> None:
        if notice.version <= self._current_state.version(notice.key):
            self._confirm_revision(notice.key, notice.version, notice.origin)
            return
        self._origins[notice.key, notice.version] = notice.origin
        self._request(sender, notice.key, notice.version)

    def _on_ask(self, sender: str, ask: protocol.ObjectAsk) -> None:
        if self._current_state.version(ask.key) >= ask.version:
            self._send_object(sender, ask.key)
            return
        waiting = self._waiting_peers.setdefault(ask.key, {})
        if len(waiting) < _WAITING_PEERS_LIMIT:
            waiting[sender] = ask.version

    def _send_object(self, peer: str, key: str) -> None:
        value = self._current_state.value(key)
        version = self._current_state.version(key)
        self._metrics.add('objects_given', key=key)
        self._peers.send(peer, protocol.ObjectChanged(key, version, value))

    def _on_object(self, sender: str, changed: protocol.ObjectChanged) -> None:
        if changed.key in (
            _current_state.CONFIGURATION_KEY,
            _current_state.SNAPSHOT_KEY,
        ):
            self._metrics.add('objects_received', key=changed.key)
            self._current_state.offer(changed.key, changed.value)
            if self._current_state.version(changed.key) < changed.version:
                # This daemon cannot decode or apply it; do not request this
                # version again.
                self._unreadable[changed.key] = changed.version

    def _on_adopted(self, key: str, version: int) -> None:
        waiting = self._waiting_peers.pop(key, {})
        for peer, wanted in waiting.items():
            if wanted <= version:
                self._send_object(peer, key)
            else:
                self._waiting_peers.setdefault(key, {})[peer] = wanted
        for origin_key, announced in list(self._origins):
            if origin_key == key and announced <= version:
                origin = self._origins.pop((origin_key, announced))
                self._confirm_revision(key, announced, origin)

    def _confirm_revision(self, key: str, version: int, origin: str) -> None:
        if key == _current_state.CONFIGURATION_KEY and origin != self._name:
            self._peers.send(origin, protocol.RevisionHeld(version))
