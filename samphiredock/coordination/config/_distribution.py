"""Distributes stored objects to all daemons of a site.

A few daemons of each site watch the store and relay changed objects to the
others.  Every daemon reads all objects at start, and polls at long intervals
to find changes whose relay was lost.  Of the configuration and the snapshot
only the version is relayed, and daemons request the object itself (see
``_exchange``).
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
_RELAY_LIMIT_BYTES = 65_536  # larger objects are found by polls


def follow_configuration(
    watcher: _watcher.Watcher, current_state: _current_state.CurrentState
) -> None:
    """Offer configurations and snapshots from the store to a state."""

    def take(stored: transport.StoredObject) -> None:
        current_state.offer(stored.key, stored.value)

    watcher.follow(_current_state.CONFIGURATION_KEY, take)
    watcher.follow(_current_state.SNAPSHOT_KEY, take)


class ObjectDistribution:
    """Connects watcher, exchange and membership of one daemon.

    Parameters
    ----------
    name, site
        Of this daemon.
    current_state, watcher, membership, peers, clock, counters
        The parts of this daemon that are connected.
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
        membership.on_peer_versions(self.exchange.on_peer_versions)
        watcher.watch_only_while(
            self.is_watcher,
            lambda: len(membership.live()),
            self._relay_to_site,
        )
        watcher.on_first_read(membership.on_store_read)
        peers.subscribe(protocol.ObjectChanged, self._on_object)

    def announce_configuration(self) -> None:
        """Announce the revision in force here to all daemons."""
        self.exchange.announce(_current_state.CONFIGURATION_KEY)

    def is_watcher(self) -> bool:
        """Return whether this daemon watches the store for its site."""
        watchers = _membership.watchers_of(
            self._membership.live(), self._site, WATCHERS_PER_SITE
        )
        return self._name in watchers or not watchers

    def _relay_to_site(self, stored: transport.StoredObject) -> None:
        if stored.key in (
            _current_state.CONFIGURATION_KEY,
            _current_state.SNAPSHOT_KEY,
        ):
            self.exchange.announce(stored.key, self._site)
            return
        if len(stored.value) > _RELAY_LIMIT_BYTES:
            # The other daemons read it at their next poll.
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
            return  # the exchange takes these
        stored = transport.StoredObject(
            changed.key, changed.version, changed.value
        )
        self._watcher.deliver(stored)
