"""The entry daemon's state: routing table, targets, peers and its own role."""

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
"""How long a daemon coordinates after it found no coordinator.  It reads the
list of daemons several times meanwhile, so that its role does not change with
each failure."""

_SETTLING_MS = 2_500.0
"""Time without a new target after which the list of targets counts as
complete; targets that start together register within a second of each
other."""

_STALE_READ_INTERVAL_MS = 60_000.0
"""Interval of reads by a daemon that does not watch the store.  They may be
stale, and each transfers the whole routing table, 100 KB for 350 routes; 60
daemons that read it every 20 s move 300 KB/s."""

_FIRST_READ_INTERVAL_MS = 2_000.0
"""Interval of reads while there is no routing table yet.  Every daemon of the
system makes these reads, which count against the rate limit of the store."""

_SETTLING_COLLECT_MS = 1_000.0
"""How long changes are collected while the targets register.  Otherwise each
target that registers would end a watch of every daemon."""

_WATCH_SLACK_MS = 1_000.0
"""How long after its timeout a watch may be answered before the contact with
the store counts as lost."""

_PEER_DOWN_MS = 3_000.0
"""A coordinator unreachable for longer than this is not chosen again until it
is reachable; a restart takes about 1 s."""

_LOGGED_UNREADABLE_LIMIT = 1_000
"""How many keys of unreadable objects are kept to log each only once."""

_log = logs.logger('entry')


class EntryState:
    """Routing table, targets, peers and role of one entry daemon.

    A daemon whose role is coordinator sends requests to targets and watches
    them in the store; any other daemon hands its requests over to
    coordinators, its ``peers``.

    Parameters
    ----------
    settings
        The settings of this daemon.
    adapter
        The platform's key names and encodings.
    store
        The client of the platform's store.
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
        self._routing_value: bytes | None = None
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
            counters,
            self._on_daemons_listed,
        )
        self.retry_shares = forwarding.RetryShares(
            settings.name,
            store,
            clock,
            counters,
            lambda: self._role.coordinators,
            settings.retry_window_s * 1000.0,
            settings.first_start,
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
        # No changes are relayed to other daemons.  The count of daemons has no
        # effect, as poll_stale() sets the intervals.
        watcher.watch_only_while(
            self._should_watch, lambda: 1, lambda stored: None
        )
        watcher.poll_stale(self._stale_period_ms)
        watcher.follow_pages(adapter.routing_prefix, self._on_routing)
        watcher.follow_pages(adapter.targets_prefix, self._on_targets)
        watcher.on_outage(self.targets.on_store_unavailable)
        return watcher

    # Start and stop.

    def start(self) -> None:
        """Register this daemon and start following the store."""
        self._presence.start()
        self.retry_shares.start()
        background.start(self._start_watching(), 'start')

    async def _start_watching(self) -> None:
        # Whether this daemon watches the targets depends on its role, which
        # is known after the first list of daemons.  In a large system most
        # daemons never do.
        await self._presence.wait_listed()
        self._watcher.start()

    async def leave(self) -> None:
        """Remove this daemon's object from the store."""
        await self._presence.leave()

    def stop_waiting(self) -> None:
        """End all waits of requests for the store, as this daemon stops."""
        self._stopping.set()

    def close(self) -> None:
        """Stop following the store."""
        self.retry_shares.close()
        self._watcher.close()

    def reload(self, settings: state.EntrySettings) -> None:
        """Apply changed settings."""
        self._settings = settings
        self.retry_shares.set_window_ms(settings.retry_window_s * 1000.0)

    # Current values.

    def is_near(self, target_id: str) -> bool:
        """Whether a target is at this daemon's site."""
        target = self.targets.get(target_id)
        return target is not None and target.site == self._settings.site

    def is_near_peer(self, name: str) -> bool:
        """Whether another daemon is at this one's site."""
        peer = self.peers.get(name)
        return peer is not None and peer.site == self._settings.site

    def coordinator_count(self) -> int | None:
        """Return how many daemons coordinate, None if it is not known.

        They share the connections to each target.
        """
        return len(self._role.coordinators) or None

    def connections_to(self, target: state.LiveTarget) -> int:
        """Return this daemon's share of a target's connections."""
        table = self.routing.table
        count = self.coordinator_count()
        if table is None or count is None:
            return 1
        limit = table.connections.get(target.service, 1)
        return forwarding.connections_per_daemon(limit, count)

    def routing_version(self) -> int:
        """Return the version of the routing table in force, 0 if none."""
        return self.routing.table.version if self.routing.table else 0

    def routing_value(self) -> bytes | None:
        """Return the table in force as it is stored, None before the first."""
        return self._routing_value

    def offer_routing_value(self, value: bytes) -> str:
        """Put a peer's routing table in force if it is newer and valid.

        Returns why not, empty if it is.  A table whose targets are not known
        here is not used: the old one still serves.
        """
        read = self._adapter.read_routing(value)
        if isinstance(read, result.Failure):
            return read.failure()
        held = self.routing.table
        lost = held and forwarding.routes_without_targets(
            read.unwrap(),
            held,
            lambda service: bool(self.targets.of_service(service)),
        )
        if lost:
            return f'no targets known for {len(lost)} routes'
        if self.routing.offer(read.unwrap()):
            self._routing_value = value
        return ''

    def limits(self) -> state.CallerLimits:
        """Return the limits on callers' requests that are in force."""
        table = self.routing.table
        return table.limits if table else state.CallerLimits()

    def can_serve(self) -> bool:
        """Whether this daemon knows a target or coordinator to send to."""
        if self._role.coordinates:
            return not self.targets.is_empty()
        return not self.peers.is_empty()

    def has_store_contact(self) -> bool:
        """Whether the store has answered a recent watch of this daemon."""
        fresh_ms = self._settings.watch_ms + _WATCH_SLACK_MS
        return self._watcher.has_heard_within(fresh_ms)

    def needs_freshness_check(self) -> bool:
        """Whether to ask peers whether they have contact with the store.

        This is true somewhat before :meth:`has_store_contact` turns false,
        so that the peers' answers have arrived by then.  It is also true
        while a peer holds a newer table: it can be read from that peer, even
        if the store has lost it.
        """
        late_ms = self._settings.watch_ms + _WATCH_SLACK_MS / 2.0
        return self._role.coordinates and (
            self.is_table_outdated()
            or not self._watcher.has_heard_within(late_ms)
        )

    def may_deny_route(self) -> bool:
        """Whether a route that is not in the table does not exist now.

        Without contact with the store the table may lack routes added since.
        """
        return self.freshness_check.may_deny(
            self.routing_version(),
            self._clock.now_ms(),
            self.has_store_contact(),
        )

    def is_table_outdated(self) -> bool:
        """Whether some daemon is known to hold a newer routing table."""
        return self.freshness_check.knows_newer_than(self.routing_version())

    def coordinates(self) -> bool:
        """Whether this daemon sends requests to targets itself.

        A daemon that has just become a coordinator may have an old list of
        targets; it must have followed the store since the change of role.
        """
        return self._role.coordinates and self._watcher.has_followed_since(
            self._role.since_ms
        )

    def has_coordinator_role(self) -> bool:
        """Whether the role of this daemon is coordinator.

        Unlike :meth:`coordinates`, this is true at once after the change of
        role.
        """
        return self._role.coordinates

    def sends_directly(self, target: state.LiveTarget) -> bool:
        """Whether this daemon usually sends to a target directly.

        Requests for targets of another site usually go through a coordinator
        of that site, if there is one.
        """
        if not self._role.coordinates:
            return False
        return target.site == self._settings.site or not any(
            peer.site == target.site for peer in self.peers.all()
        )

    def daemons(self) -> tuple[forwarding.Daemon, ...]:
        """Return the known daemons, including this one."""
        return self._presence.daemons()

    def coordinators(self) -> tuple[forwarding.Daemon, ...]:
        """Return the known daemons that coordinate."""
        return tuple(
            daemon
            for daemon in self._presence.daemons()
            if daemon.name in self._role.coordinators
        )

    def on_introduction(self, daemons: tuple[forwarding.Daemon, ...]) -> bool:
        """Take in daemons listed by a peer; return whether they are used."""
        return self._presence.on_introduction(daemons)

    def coordinate_temporarily(self) -> None:
        """Act as a coordinator for a limited time."""
        if not self._role.coordinates:
            _log.notice(
                'role', coordinates=True, temporarily_ms=_TEMPORARY_ROLE_MS
            )
        self._role.coordinate_temporarily(
            self._clock.now_ms(), _TEMPORARY_ROLE_MS
        )

    async def can_serve_handed_over(
        self, least_version: int, stale_ok: bool
    ) -> bool:
        """Whether to serve a handed-over request rather than refuse it.

        A daemon that alone lost contact with the store would refuse routes
        added since.  It therefore serves no handed-over requests, which can
        be sent to another coordinator, unless the last freshness check
        allows it.

        Parameters
        ----------
        least_version
            The newest version of the routing table seen by the sender.
        stale_ok
            Whether to serve without contact with the store too.  Routes that
            the table lacks are still not denied (:meth:`may_deny_route`).
        """
        self.freshness_check.note_version(least_version)
        if not self._role.coordinates:
            # The sender's list of daemons has this one as a coordinator;
            # lists differ for some seconds after a change.
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
        """Read the routing table from the store, unless this daemon stops."""
        read_task = asyncio.ensure_future(
            self._store.get(self._adapter.routing_key)
        )
        stop_task = asyncio.ensure_future(self._stopping.wait())
        try:
            await asyncio.wait(
                (read_task, stop_task), return_when=asyncio.FIRST_COMPLETED
            )
            if read_task.done() and isinstance(
                read_task.result(), result.Success
            ):
                self._offer_routing(read_task.result().unwrap())
        finally:
            read_task.cancel()
            stop_task.cancel()

    # Role.

    def _on_daemons_listed(
        self, daemons: tuple[forwarding.Daemon, ...]
    ) -> None:
        now_ms = self._clock.now_ms()
        targets = collections.Counter(
            target.site for target in self.targets.all()
        )
        if self._role.is_candidate and self._is_settled(now_ms):
            self._presence.set_near(
                forwarding.is_near_targets(self._settings.site, targets)
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
        """Whether the targets are known well enough to choose coordinators.

        When the whole system starts, targets register one after another, and
        a choice of coordinators by the first few would change with each.
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
        """Whether this daemon watches the store, rather than polls it."""
        role = self._role
        return role.coordinates or (
            role.is_candidate and not self._has_settled
        )

    def _stale_period_ms(self, prefix: str) -> float | None:
        """Return the interval of stale reads of a prefix, None for no reads.

        A daemon that hands requests over does not need recent routes: it uses
        only their timeouts and whether a request may be repeated.  Only
        candidates for the role of coordinator need the targets, to know at
        which sites most of them are.
        """
        if prefix == self._adapter.targets_prefix:
            return _STALE_READ_INTERVAL_MS if self._role.is_candidate else None
        return (
            _STALE_READ_INTERVAL_MS
            if self.routing.table
            else _FIRST_READ_INTERVAL_MS
        )

    def _collect_ms(self) -> float:
        """Return how long to collect changes of targets between watches."""
        return (
            self._settings.collect_ms
            if self._has_settled
            else _SETTLING_COLLECT_MS
        )

    def _is_down(self, daemon: forwarding.Daemon, now_ms: float) -> bool:
        """Whether a coordinator has been unreachable for some time."""
        peer = self.peers.get(daemon.name)
        if peer is None:
            return False
        record = self.peers.record(daemon.name)
        return record.lost_for_ms(now_ms) > _PEER_DOWN_MS

    # Objects in the store.

    def _on_routing(self, page: transport.WatchPage) -> None:
        for stored in page.changed:
            self._offer_routing(stored)

    def _offer_routing(self, stored: transport.StoredObject) -> None:
        read = self._adapter.read_routing(stored.value)
        if isinstance(read, result.Failure):
            self._report_unreadable(stored.key, read.failure())
            return
        if self.routing.offer(read.unwrap()):
            self._routing_value = stored.value

    def _on_targets(self, page: transport.WatchPage) -> None:
        listed_ids = set()
        targets = []
        for stored in page.changed:
            listed_ids.add(self._adapter.target_id(stored.key))
            read = self._adapter.read_target(stored.key, stored.value)
            if isinstance(read, result.Failure):
                self.targets.remove_unreadable(
                    self._adapter.target_id(stored.key)
                )
                self._report_unreadable(stored.key, read.failure())
                continue
            self._logged_unreadable.discard(stored.key)
            targets.append(read.unwrap())
        self.targets.put_all(targets)
        for key in page.gone:
            self._logged_unreadable.discard(key)
            self.targets.remove(self._adapter.target_id(key))
        if page.whole:
            self.targets.keep_only(listed_ids)

    def _report_unreadable(self, key: str, why: str) -> None:
        """Count an unreadable object; log it only the first time."""
        self._metrics.add('store_objects_unreadable')
        if key in self._logged_unreadable:
            return
        if len(self._logged_unreadable) >= _LOGGED_UNREADABLE_LIMIT:
            self._logged_unreadable.clear()
        self._logged_unreadable.add(key)
        _log.error('object cannot be read', key=key, why=why)
