"""Handover of a target from one dispatcher to the next.

The earlier dispatcher's work goes on taking slots after the change.  While
it lives it tells how many; when it died the target itself is asked, and
until it answers, all slots count as taken for one longest deadline.
"""

import dataclasses
import math
import typing

from samphiredock.coordination.fleet import _ownership
from samphiredock.coordination.targets import _scheduler
from samphiredock.coordination.targets import _scheduler_types
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

_RETRY_INTERVAL_MS = 100.0


@dataclasses.dataclass(slots=True)
class _Takeover:
    old: str
    old_is_live: bool
    until_ms: float


def longest_deadline_ms(configuration: state.Configuration | None) -> float:
    """Return how long work of an earlier dispatcher may go on."""
    if configuration is None:
        return float(state.Limits().deadline_limit_ms)
    deadlines = [
        row.deadline_ms
        for service in configuration.services.values()
        for row in (*service.searches.values(), *service.operations.values())
    ]
    return float(max(deadlines, default=0))


class Schedulers(typing.Protocol):
    """What the handover does with lanes and targets."""

    def scheduler(self, target: str) -> _scheduler.TargetScheduler | None:
        """Return the lane of a target, None if there is no such target."""

    def existing_scheduler(
        self, target: str
    ) -> _scheduler.TargetScheduler | None:
        """Return the lane of a target if there has been work for it."""

    def target(self, name: str) -> state.Target | None:
        """Return a target of the configuration in force."""

    def execute(
        self, target: str, effects: list[_scheduler_types.Effect]
    ) -> None:
        """Carry out what a lane decided, and let it start more."""

    def probe(self, target: str) -> None:
        """Ask a target how many exchanges run there."""

    def longest_deadline_ms(self) -> float:
        """Return the longest deadline of any service."""


class Handover:
    """Take over and give up targets as the table of owners changes.

    Parameters
    ----------
    name
        This daemon's member name.
    lanes
        The dispatcher's lanes.
    peers, clock, counters
        Where messages go, the timer service, the metrics.
    lives
        Whether a member is alive now.
    """

    def __init__(
        self,
        name: str,
        schedulers: Schedulers,
        peers: transport.Peers,
        clock: timers.Timers,
        counters: metrics.Metrics,
        is_live: typing.Callable[[str], bool],
    ) -> None:
        self._name = name
        self._schedulers = schedulers
        self._peers = peers
        self._clock = clock
        self._metrics = counters
        self._is_live = is_live
        self._owned: set[str] = set()
        self._released: set[str] = set()
        self._takeovers: dict[str, _Takeover] = {}
        peers.subscribe(protocol.Release, self._on_release)
        peers.subscribe(protocol.Released, self._on_released)
        clock.every(_RETRY_INTERVAL_MS, self.tick)

    def on_changes(self, changes: list[_ownership.OwnerChange]) -> None:
        """Follow a new table of owners."""
        for change in changes:
            if change.new == self._name:
                self._take_over(change)
            elif change.old == self._name and change.new is not None:
                self._give_up(change.target)

    def on_new_scheduler(
        self, target: str, scheduler: _scheduler.TargetScheduler
    ) -> None:
        """Start a lane as if an unknown dispatcher had died before it.

        This daemon may have been restarted a moment ago, and its earlier
        self's work may still be taking slots.
        """
        if target in self._released:
            scheduler.set_released(True)
            return
        if target not in self._takeovers:
            self._takeovers[target] = self._take_over_from_dead(
                target, scheduler, ''
            )

    def tick(self) -> None:
        """Ask again for what has not been confirmed."""
        now_ms = self._clock.now_ms()
        for target, takeover in list(self._takeovers.items()):
            scheduler = self._schedulers.scheduler(target)
            if scheduler is None or now_ms >= takeover.until_ms:
                self._finish(target)
            elif takeover.old_is_live and not self._is_live(takeover.old):
                old = takeover.old
                self._takeovers[target] = self._take_over_from_dead(
                    target, scheduler, old
                )
            elif takeover.old_is_live:
                self._peers.send(takeover.old, protocol.Release(target))
            elif scheduler.foreign_slots(now_ms):
                self._schedulers.probe(target)
            else:
                self._finish(target)

    def _take_over(self, change: _ownership.OwnerChange) -> None:
        target = change.target
        self._owned.add(target)
        self._released.discard(target)
        scheduler = self._schedulers.existing_scheduler(target)
        if scheduler is not None:
            scheduler.set_released(False)
        if change.old is None:
            return
        scheduler = self._schedulers.scheduler(target)
        if scheduler is None:
            return
        self._metrics.add('targets_taken_over', old_lives=change.old_is_live)
        until_ms = (
            self._clock.now_ms() + self._schedulers.longest_deadline_ms()
        )
        takeover = _Takeover(change.old, change.old_is_live, until_ms)
        if not change.old_is_live:
            self._takeovers[target] = self._take_over_from_dead(
                target, scheduler, change.old
            )
            return
        self._takeovers[target] = takeover
        half = max(1, self._slots(target) // 2)
        scheduler.reserve_foreign_slots(0, until_ms, half)
        self._peers.send(change.old, protocol.Release(target))

    def _take_over_from_dead(
        self, target: str, scheduler: _scheduler.TargetScheduler, old: str
    ) -> _Takeover:
        until_ms = (
            self._clock.now_ms() + self._schedulers.longest_deadline_ms()
        )
        scheduler.reserve_foreign_slots(self._slots(target), until_ms)
        self._schedulers.probe(target)
        return _Takeover(old, False, until_ms)

    def _give_up(self, target: str) -> None:
        self._owned.discard(target)
        self._takeovers.pop(target, None)
        self._released.add(target)
        scheduler = self._schedulers.existing_scheduler(target)
        if scheduler is not None:
            self._schedulers.execute(target, scheduler.set_released(True))

    def _finish(self, target: str) -> None:
        self._takeovers.pop(target, None)
        scheduler = self._schedulers.scheduler(target)
        if scheduler is not None:
            scheduler.reserve_foreign_slots(0, -math.inf)
            self._schedulers.execute(target, [])

    def _on_release(self, sender: str, release: protocol.Release) -> None:
        if release.target in self._owned:
            # By this daemon's table the target is its own; the sender asks
            # again until one of the two tables has followed.
            return
        # Whoever asks owns it now; after the answer nothing new is sent,
        # even if this daemon never saw itself as the owner.
        self._give_up(release.target)
        scheduler = self._schedulers.existing_scheduler(release.target)
        busy, busy_for_ms = 0, 0.0
        if scheduler is not None:
            busy, busy_for_ms = scheduler.busy_slots(self._clock.now_ms())
        self._peers.send(
            sender, protocol.Released(release.target, busy, busy_for_ms)
        )

    def _on_released(self, sender: str, answer: protocol.Released) -> None:
        takeover = self._takeovers.get(answer.target)
        scheduler = self._schedulers.scheduler(answer.target)
        if takeover is None or scheduler is None or takeover.old != sender:
            return
        if not answer.busy:
            self._finish(answer.target)
            return
        until_ms = self._clock.now_ms() + answer.busy_for_ms
        scheduler.reserve_foreign_slots(answer.busy, until_ms)
        self._schedulers.execute(answer.target, [])

    def _slots(self, target: str) -> int:
        found = self._schedulers.target(target)
        return found.slots if found is not None else 1
