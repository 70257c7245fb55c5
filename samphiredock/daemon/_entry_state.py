"""What an entry daemon learns from the store, and which part it has."""

import asyncio
import collections

from returns import result

from samphiredock import coordination
from samphiredock.coordination import background
from samphiredock.coordination import forwarding
from samphiredock.daemon import _entry_adapter
from samphiredock import logs
from samphiredock import metrics
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

_TEMPORARY_ROLE_MS = 20_000.0
"""How long a daemon coordinates that found no coordinator: some of its
lists of the daemons, so that it does not change its part at each failure."""

_SETTLING_MS = 2_500.0
"""Targets that start together register within a second of each other."""

_STALE_READ_INTERVAL_MS = 60_000.0
"""Between reads by a daemon that hands over.  A configuration of 350 routes
has 100 KB; 60 daemons that read it each 20 s move 300 KB/s."""

_FIRST_READ_INTERVAL_MS = 2_000.0
"""Between reads while there is no routing table yet.  The first one is
written while the daemons start; each read of 200 daemons is paid."""

_SETTLING_COLLECT_MS = 1_000.0
"""How long changes gather while the targets register: each would end a
watch of every daemon, 60 calls for one target."""

_WATCH_SLACK_MS = 1_000.0
"""How much later than it should a watch may answer, as the store's client
allows it."""

_PEER_DOWN_MS = 3_000.0
"""A coordinator that could not be reached for so long is passed over when
the coordinators are chosen.  A restart takes about 1 s."""

_LOGGED_UNREADABLE_LIMIT = 1_000
"""Keys of objects of which it is remembered that they were logged."""

_log = logs.logger('entry')


class EntryState:
    """Routes, targets and the other daemons, as the store shows them.

    Parameters
    ----------
    settings
        The daemon's own.
    adapter
        The platform's names and wire.
    store
        The platform's store.
    clock, counters
        The timers and metrics of this daemon.
    """

    def __init__(
        self,
        settings: state.EntrySettings,
        adapter: _entry_adapter.Adapter,
        store: transport.Objects,
        clock: timers.Timers,
        counters: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._adapter = adapter
        self._store = store
        self._clock = clock
        self._metrics = counters
        self._logged_unreadable: set[str] = set()
        self._stopping = asyncio.Event()
        self._has_settled = False
        self._last_target_count = 0
        self._target_count_since_ms = 0.0
        self.routing = forwarding.RoutingState()
        self.targets = forwarding.LiveTargets(clock)
        self.peers = forwarding.LiveTargets(clock)
        self.freshness_check = forwarding.FreshnessCheck()
        self._role = forwarding.Role(
            settings.name, settings.coordinators_per_site
        )
        self._presence = forwarding.Presence(
            forwarding.Daemon(
                settings.name,
                settings.site,
                settings.peer_address,
                settings.cores * settings.core_share,
            ),
            store,
            clock,
            self._on_daemons_listed,
        )
        self._watcher = self._make_watcher()

    def _make_watcher(self) -> coordination.Watcher:
        adapter = self._adapter
        watcher = coordination.Watcher(
            self._store,
            self._clock,
            self._metrics,
            self._settings.watch_ms,
            {adapter.targets_prefix: self._collect_ms},
        )
        watcher.watch_only_while(
            self._should_watch, lambda: 1, lambda stored: None
        )
        watcher.poll_stale(self._stale_period_ms)
        watcher.follow_pages(adapter.routing_prefix, self._on_routing)
        watcher.follow_pages(adapter.targets_prefix, self._on_targets)
        watcher.on_outage(self.targets.on_store_unavailable)
        return watcher

    # Life.

    def start(self) -> None:
        """Register and begin to learn."""
        self._presence.start()
        background.start(self._start_watching(), 'start')

    async def _start_watching(self) -> None:
        # Most daemons of a large system never follow the targets; whether
        # this one does is known by the first list of the others.
        await self._presence.wait_listed()
        self._watcher.start()

    async def leave(self) -> None:
        """Remove this daemon's object from the store."""
        await self._presence.leave()

    def stop_waiting(self) -> None:
        """Have nobody wait for the store any longer: this daemon stops."""
        self._stopping.set()

    def close(self) -> None:
        """Stop learning."""
        self._watcher.close()

    def reload(self, settings: state.EntrySettings) -> None:
        """Take over settings that have changed."""
        self._settings = settings

    # What the others ask.

    def is_near(self, target_id: str) -> bool:
        """Whether a target is at this daemon's site."""
        target = self.targets.get(target_id)
        return target is not None and target.site == self._settings.site

    def is_near_peer(self, name: str) -> bool:
        """Whether another daemon is at this one's site."""
        peer = self.peers.get(name)
        return peer is not None and peer.site == self._settings.site

    def coordinator_count(self) -> int | None:
        """Return how many daemons share budget and connections."""
        return len(self._role.coordinators) or None

    def connections_to(self, target: state.LiveTarget) -> int:
        """Return this daemon's part of the connections a target takes."""
        table = self.routing.table
        parts = self.coordinator_count()
        if table is None or parts is None:
            return 1
        most = table.connections.get(target.service, 1)
        return forwarding.connections_per_daemon(most, parts)

    def routing_version(self) -> int:
        """Return the version of the routing table in force, 0 for none."""
        return self.routing.table.version if self.routing.table else 0

    def limits(self) -> state.CallerLimits:
        """Return what callers may send now."""
        table = self.routing.table
        return table.limits if table else state.CallerLimits()

    def can_serve(self) -> bool:
        """Whether it knows targets, or somebody who does."""
        if self._role.coordinates:
            return not self.targets.is_empty()
        return not self.peers.is_empty()

    def has_store_contact(self) -> bool:
        """Whether the store has answered this daemon's watches lately."""
        fresh_ms = self._settings.watch_ms + _WATCH_SLACK_MS
        return self._watcher.has_heard_within(fresh_ms)

    def needs_freshness_check(self) -> bool:
        """Whether others are to be asked what they know of the store.

        Early enough that their answers are there when what is known here
        counts as old.
        """
        late_ms = self._settings.watch_ms + _WATCH_SLACK_MS / 2.0
        return self._role.coordinates and not self._watcher.has_heard_within(
            late_ms
        )

    def coordinates(self) -> bool:
        """Whether this daemon asks the targets itself.

        After a time of handing over, what it knows may be old; it has to
        have followed the store since it took the part on.
        """
        return self._role.coordinates and self._watcher.has_followed_since(
            self._role.since_ms
        )

    def follows_targets(self) -> bool:
        """Whether this daemon is one of those that follow the targets."""
        return self._role.coordinates

    def asks_directly(self, target: state.LiveTarget) -> bool:
        """Whether this daemon will itself ask a target as a rule.

        Those of other sites are mostly asked by daemons there.
        """
        if not self._role.coordinates:
            return False
        return target.site == self._settings.site or not any(
            peer.site == target.site for peer in self.peers.all()
        )

    def daemons(self) -> tuple[forwarding.Daemon, ...]:
        """Return the daemons that are known, this one among them."""
        return self._presence.daemons()

    def coordinators(self) -> tuple[forwarding.Daemon, ...]:
        """Return the daemons that coordinate, as far as is known."""
        return tuple(
            daemon
            for daemon in self._presence.daemons()
            if daemon.name in self._role.coordinators
        )

    def on_introduction(self, daemons: tuple[forwarding.Daemon, ...]) -> bool:
        """Take what another daemon tells; True if it is of use."""
        return self._presence.on_introduction(daemons)

    def coordinate_temporarily(self) -> None:
        """Coordinate for a time."""
        self._role.coordinate_temporarily(
            self._clock.now_ms(), _TEMPORARY_ROLE_MS
        )

    async def can_serve_handed_over(
        self, least_version: int, stale_ok: bool
    ) -> bool:
        """Whether this daemon can serve others with a table that new.

        One that lost the store while others did not would refuse a route
        that was added meanwhile; its own callers know nothing else, but a
        daemon that hands over can ask another coordinator.  Unless others
        vouch for it: what they say is asked for beforehand.
        """
        if not self._role.coordinates:
            # Another daemon takes this one for a coordinator; lists differ
            # for some seconds after a change.
            self.coordinate_temporarily()
        if not self.coordinates():
            return False
        if not stale_ok and not self.has_store_contact():
            now_ms = self._clock.now_ms()
            if not self.freshness_check.may_serve(
                self.routing_version(), now_ms
            ):
                return False
        if self.routing_version() >= least_version:
            return True
        await self._read_routing()
        return self.routing_version() >= least_version

    async def _read_routing(self) -> None:
        """Ask the store for the routing table, until this daemon stops."""
        reading = asyncio.ensure_future(
            self._store.get(self._adapter.routing_key)
        )
        stopping = asyncio.ensure_future(self._stopping.wait())
        try:
            await asyncio.wait(
                (reading, stopping), return_when=asyncio.FIRST_COMPLETED
            )
            if reading.done() and isinstance(reading.result(), result.Success):
                self._offer_routing(reading.result().unwrap())
        finally:
            reading.cancel()
            stopping.cancel()

    # Which daemons coordinate.

    def _on_daemons_listed(
        self, daemons: tuple[forwarding.Daemon, ...]
    ) -> None:
        now_ms = self._clock.now_ms()
        targets = collections.Counter(
            target.site for target in self.targets.all()
        )
        if self._role.is_candidate and self._is_settled(now_ms):
            self._presence.set_near(
                forwarding.is_near(self._settings.site, targets)
            )
        up = [
            daemon for daemon in daemons if not self._is_down(daemon, now_ms)
        ]
        if self._role.update(up, now_ms):
            _log.notice('role', coordinates=self._role.coordinates)
        others = {
            daemon.name: daemon
            for daemon in daemons
            if daemon.name in self._role.coordinators
            and daemon.name != self._settings.name
        }
        self.peers.put_all(
            [forwarding.as_target(daemon) for daemon in others.values()]
        )
        self.peers.keep_only(others)

    def _is_settled(self, now_ms: float) -> bool:
        """Whether the targets are listed well enough to choose by them.

        When the whole system starts, they register one after the other; a
        choice by the first few would change with each of them.
        """
        targets = len(self.targets.all())
        if targets != self._last_target_count:
            self._last_target_count = targets
            self._target_count_since_ms = now_ms
        quiet_ms = now_ms - self._target_count_since_ms
        if targets and quiet_ms > _SETTLING_MS:
            self._has_settled = True
        return self._has_settled

    def _should_watch(self) -> bool:
        """Whether this daemon follows the store itself."""
        role = self._role
        return role.coordinates or (
            role.is_candidate and not self._has_settled
        )

    def _stale_period_ms(self, prefix: str) -> float | None:
        """Return how often to read what is handed over anyhow.

        Of the routes only timeouts and what may be repeated are of use; of
        the targets, candidates need to know where most of them are.
        """
        if prefix == self._adapter.targets_prefix:
            return _STALE_READ_INTERVAL_MS if self._role.is_candidate else None
        return (
            _STALE_READ_INTERVAL_MS
            if self.routing.table
            else _FIRST_READ_INTERVAL_MS
        )

    def _collect_ms(self) -> float:
        """Return how long changes of targets gather before the next watch."""
        return (
            self._settings.collect_ms
            if self._has_settled
            else _SETTLING_COLLECT_MS
        )

    def _is_down(self, daemon: forwarding.Daemon, now_ms: float) -> bool:
        """Whether a coordinator could not be reached for some time."""
        peer = self.peers.get(daemon.name)
        if peer is None:
            return False
        record = self.peers.record(daemon.name)
        return record.lost_for_ms(now_ms) > _PEER_DOWN_MS

    # What the store shows.

    def _on_routing(self, page: transport.WatchPage) -> None:
        for stored in page.changed:
            self._offer_routing(stored)

    def _offer_routing(self, stored: transport.StoredObject) -> None:
        read = self._adapter.read_routing(stored.value)
        if isinstance(read, result.Failure):
            self._report_unreadable(stored.key, read.failure())
            return
        self.routing.offer(read.unwrap())

    def _on_targets(self, page: transport.WatchPage) -> None:
        listed = set()
        found = []
        for stored in page.changed:
            listed.add(self._adapter.target_id(stored.key))
            read = self._adapter.read_target(stored.key, stored.value)
            if isinstance(read, result.Failure):
                self.targets.remove_unreadable(
                    self._adapter.target_id(stored.key)
                )
                self._report_unreadable(stored.key, read.failure())
                continue
            self._logged_unreadable.discard(stored.key)
            found.append(read.unwrap())
        self.targets.put_all(found)
        for key in page.gone:
            self._logged_unreadable.discard(key)
            self.targets.remove(self._adapter.target_id(key))
        if page.whole:
            self.targets.keep_only(listed)

    def _report_unreadable(self, key: str, why: str) -> None:
        """Log an object once, not each time that it is read."""
        self._metrics.add('store_objects_unreadable')
        if key in self._logged_unreadable:
            return
        if len(self._logged_unreadable) >= _LOGGED_UNREADABLE_LIMIT:
            self._logged_unreadable.clear()
        self._logged_unreadable.add(key)
        _log.error('object cannot be read', key=key, why=why)
