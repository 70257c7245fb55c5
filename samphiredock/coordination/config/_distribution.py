"""What few daemons find in the store, told to the others of their site.

Two daemons of each site wait at the store.  Everybody reads once at the
start, and asks seldom for what has changed since, which finds what a relay
lost.
"""

from samphiredock.coordination.config import _current_state
from samphiredock.coordination.config import _exchange
from samphiredock.coordination.config import _watcher
from samphiredock.coordination.fleet import _membership
from samphiredock.coordination.fleet import _relay
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import timers
from samphiredock import transport

WATCHERS_PER_SITE = 2
_RELAY_LIMIT_BYTES = 65_536


def follow_configuration(
    watcher: _watcher.Watcher, current_state: _current_state.CurrentState
) -> None:
    """Feed the configuration and the snapshots to ``current_state``."""

    def take(stored: transport.StoredObject) -> None:
        current_state.offer(stored.key, stored.value)

    watcher.follow(_current_state.CONFIGURATION_KEY, take)
    watcher.follow(_current_state.SNAPSHOT_KEY, take)


class ObjectDistribution:
    """Wires watcher, exchange and membership of one daemon together.

    Parameters
    ----------
    name, site
        This daemon.
    current_state, watcher, membership, peers, clock, counters
        The parts.
    """

    def __init__(
        self,
        name: str,
        site: str,
        current_state: _current_state.CurrentState,
        watcher: _watcher.Watcher,
        membership: _membership.Membership,
        peers: _relay.PeerLinks,
        clock: timers.Timers,
        counters: metrics.Metrics,
    ) -> None:
        self._name = name
        self._site = site
        self._watcher = watcher
        self._membership = membership
        self._metrics = counters
        self.exchange = _exchange.ObjectExchange(
            name, current_state, peers, membership.broadcast, clock, counters
        )
        membership.on_peer_versions(self.exchange.on_peer_holds)
        watcher.watch_only_while(
            self.is_watcher, lambda: len(membership.live()), self._share
        )
        watcher.on_first_read(membership.on_store_read)
        peers.subscribe(protocol.ObjectChanged, self._on_object)

    def announce_configuration(self) -> None:
        """Push a revision that was accepted here to all daemons."""
        self.exchange.announce(_current_state.CONFIGURATION_KEY)

    def is_watcher(self) -> bool:
        """Whether this daemon reads the platform for its site."""
        chosen = _membership.watchers_of(
            self._membership.live(), self._site, WATCHERS_PER_SITE
        )
        return self._name in chosen or not chosen

    def _share(self, stored: transport.StoredObject) -> None:
        if stored.key in (
            _current_state.CONFIGURATION_KEY,
            _current_state.SNAPSHOT_KEY,
        ):
            self.exchange.announce(stored.key, self._site)
            return
        if len(stored.value) > _RELAY_LIMIT_BYTES:
            # The others find it at their next poll.
            self._metrics.add('objects_too_large_to_relay')
            return
        self._membership.broadcast(
            protocol.ObjectChanged(stored.key, stored.version, stored.value),
            self._site,
        )

    def _on_object(self, sender: str, changed: protocol.ObjectChanged) -> None:
        if changed.key in (
            _current_state.CONFIGURATION_KEY,
            _current_state.SNAPSHOT_KEY,
        ):
            return
        stored = transport.StoredObject(
            changed.key, changed.version, changed.value
        )
        self._watcher.take(stored)
