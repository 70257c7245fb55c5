"""Creates the components of a daemon in the order of their dependencies."""

import random
import typing

from samphiredock import coordination
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

PEER_MESSAGES = (
    protocol.SubQueryBatch,
    protocol.SubAnswerBatch,
    protocol.CancelAttempts,
    protocol.RunOrder,
    protocol.RunReport,
    protocol.ClaimAsk,
    protocol.ClaimAnswer,
    protocol.SuspectNotice,
    protocol.QuarantineNotice,
    protocol.ClearedNotice,
    protocol.TargetSign,
    protocol.TargetSignsWanted,
    protocol.Release,
    protocol.Released,
    *protocol.CONTROL_MESSAGES,
)
"""All types of messages between daemons that serve searches and runs."""

_METRICS_FLUSH_MS = 1_000.0
_OWNERSHIP_REFRESH_MS = 200.0


class Components:
    """All components of a daemon except its HTTP servers.

    It also gives the coordinator and the runner their view of the system:
    the configuration and snapshot in force here, which targets are usable,
    and which daemon dispatches to each.
    """

    def __init__(self, settings: state.Settings, keys: state.Keys) -> None:
        self._settings = settings
        self.clock = timers.LoopTimers()
        self.metrics = metrics.Metrics(settings.name)
        self.member = _member_of(settings, self.clock.wall_ms())
        self._codec = protocol.Codec(PEER_MESSAGES)
        self.hub = self._make_hub(keys)
        self._store_calls = transport.PooledStoreCalls(
            self.clock, settings.platform_url
        )
        self.platform = transport.HttpPlatform(self._store_calls)
        self._make_state_and_membership()
        self._make_dispatcher()
        self._make_coordinator_and_runner()
        self._follow_changes()

    # The view of the coordinator and the runner.

    @property
    def configuration(self) -> state.Configuration | None:
        """The configuration in force here."""
        return self.current_state.configuration

    @property
    def snapshot(self) -> state.Snapshot | None:
        """The newest valid snapshot known here."""
        return self._snapshots.current(
            self.current_state.snapshot, self.current_state.configuration
        )

    def owner(self, target: str) -> str | None:
        """Return the daemon that dispatches to a target, None if unknown."""
        return self.ownership.owner(target)

    def is_usable(self, target: str) -> bool:
        """Whether a target may be sent new work."""
        configuration = self.configuration
        return (
            configuration is not None
            and target in configuration.targets
            and self.signs.is_usable(target)
        )

    # Creation.

    def _seeded_random(self, part: str) -> random.Random:
        return random.Random(
            f'{part}-{self.member.name}-{self.member.incarnation}'
        )

    def _make_hub(self, keys: state.Keys) -> transport.PeerHub:
        """Bind the peer address; on failure, close the clock and metrics."""
        try:
            return transport.PeerHub(
                self._settings.name,
                self._settings.peer_address,
                self._codec,
                self.metrics,
                _curve_keys(keys),
            )
        except BaseException:
            self.clock.close()
            self.metrics.close()
            raise

    def _make_state_and_membership(self) -> None:
        self.current_state = coordination.CurrentState(self.metrics)
        self._snapshots = coordination.SnapshotValidator(self.metrics)
        self.watcher = coordination.Watcher(
            self.platform, self.clock, self.metrics
        )
        coordination.follow_configuration(self.watcher, self.current_state)
        self.membership = coordination.Membership(
            self.member,
            self.hub,
            self._codec,
            self.platform,
            self.clock,
            self.metrics,
            self.current_state.versions,
            self._seeded_random('membership'),
            self._settings.peers,
        )
        self.distribution = coordination.ObjectDistribution(
            self.member.name,
            self.member.site,
            self.current_state,
            self.watcher,
            self.membership,
            self.hub,
            self.clock,
            self.metrics,
        )
        self.acceptor = coordination.Acceptor(
            self.platform, self.current_state, self.clock, self.metrics
        )

    def _make_dispatcher(self) -> None:
        self.quarantine = coordination.Quarantine(
            self.hub, self.membership, self.platform, self.clock, self.metrics
        )
        self.ownership = coordination.OwnershipTable(
            lambda: self.configuration,
            lambda: self.snapshot,
            self.membership.live,
            self.clock,
        )
        self.signs = coordination.TargetSigns(
            self.platform,
            self.hub,
            self.membership,
            self.clock,
            self.metrics,
            self._seeded_random('signs'),
            self.membership.neighbours,
            self.distribution.is_watcher,
        )
        self.dispatcher = coordination.Dispatcher(
            self.hub,
            self.clock,
            self.metrics,
            is_quarantined=self.quarantine.is_quarantined,
            signs=self.signs,
        )
        self.dispatcher.follow_ownership(
            self.member.name,
            self.ownership,
            lambda name: name in self._other_members(),
        )

    def _make_coordinator_and_runner(self) -> None:
        self.admission = coordination.Admission(self.clock)
        self.coordinator = coordination.Coordinator(
            self.member.name,
            self.member.site,
            self.member.incarnation,
            self,
            self.hub,
            self.clock,
            self.metrics,
            self.quarantine,
            self.admission,
            self._seeded_random('coordinator'),
        )
        self.runner = coordination.Runner(
            self.member.name,
            self.member.site,
            self.member.incarnation,
            self,
            self.hub,
            self.platform,
            self.clock,
            self.metrics,
            self._seeded_random('runner'),
            self.quarantine,
        )

    def _follow_changes(self) -> None:
        self.current_state.subscribe(self.dispatcher.configure)
        self.watcher.follow(coordination.TARGETS_PREFIX, self.signs.on_object)
        self.watcher.follow(
            coordination.QUARANTINE_PREFIX, self.quarantine.on_stored
        )
        self.membership.on_change(self._on_members)

    def _other_members(self) -> list[str]:
        names = [member.name for member in self.membership.live()]
        return [name for name in names if name != self.member.name]

    def _on_members(
        self,
        joined: typing.Sequence[state.Member],
        lost: typing.Sequence[state.Member],
    ) -> None:
        self.ownership.refresh()
        for member in lost:
            self.coordinator.on_member_lost(member.name)

    # Start and stop.

    def start(self) -> None:
        """Start the periodic work of all components."""
        self.clock.every(_METRICS_FLUSH_MS, self.metrics.flush)
        self.clock.every(_OWNERSHIP_REFRESH_MS, self.ownership.refresh)
        self.watcher.start()
        self.membership.start()
        self.signs.start()

    async def close(self) -> None:
        """Stop all components and close all connections."""
        self.runner.close()
        self.watcher.close()
        self.signs.close()
        self.membership.close()
        self.quarantine.close()
        await self.dispatcher.close()
        self.hub.close()
        self._store_calls.close()
        self.clock.close()
        self.metrics.close()


def _member_of(settings: state.Settings, incarnation: int) -> state.Member:
    return state.Member(
        settings.name,
        settings.site,
        settings.region,
        settings.peer_address,
        settings.caller_address,
        settings.operator_address,
        incarnation,
    )


def _curve_keys(keys: state.Keys) -> transport.CurveKeys | None:
    if keys.curve is None:
        return None
    return transport.CurveKeys(
        keys.curve.public, keys.curve.secret, dict(keys.admitted)
    )
