"""Handover of a target when its owner changes.

Exchanges of the previous owner still take slots after the change.  A live
previous owner reports how many; until then this daemon uses at most half of
the slots.  If the previous owner is dead, the target is asked; until the
target answers, all its slots count as taken.  Either wait ends after the
longest deadline.
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
    """A target taken over while its previous owner may still use slots.

    ``old`` is the previous owner.  From ``until_ms`` on this daemon may use
    all slots, confirmed or not.
    """

    old: str
    old_is_live: bool
    until_ms: float


def longest_deadline_ms(configuration: state.Configuration | None) -> float:
    """Return the longest deadline of any search or operation.

    Exchanges of a previous owner may run for that long.
    """
    if configuration is None:
        return float(state.Limits().deadline_limit_ms)
    deadlines = [
        row.deadline_ms
        for service in configuration.services.values()
        for row in (*service.searches.values(), *service.operations.values())
    ]
    return float(max(deadlines, default=0))


class Schedulers(typing.Protocol):
    """What the handover needs of the dispatcher."""

    def scheduler(self, target: str) -> _scheduler.TargetScheduler | None:
        """Return a target's scheduler, None if it is not configured."""

    def existing_scheduler(
        self, target: str
    ) -> _scheduler.TargetScheduler | None:
        """Return a target's scheduler, None if it was never used."""

    def target(self, name: str) -> state.Target | None:
        """Return a target of the configuration in force, None if missing."""

    def execute(
        self, target: str, effects: list[_scheduler_types.Effect]
    ) -> None:
        """Execute the effects that a scheduler returned, then pump it."""

    def probe(self, target: str) -> None:
        """Ask a target for the number of exchanges that run there."""

    def longest_deadline_ms(self) -> float:
        """Return the longest deadline of any search or operation."""


class Handover:
    """Takes over and gives up targets as the table of owners changes.

    Parameters
    ----------
    name
        This daemon's member name.
    schedulers
        The dispatcher, as far as the handover uses it.
    peers, clock, counters
        Connections to the other daemons, the timer service, the metrics.
    is_live
        Returns whether a member is live.
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
        """Apply the changes of a new table of owners."""
        for change in changes:
            if change.new == self._name:
                self._take_over(change)
            elif change.old == self._name and change.new is not None:
                self._give_up(change.target)

    def on_new_scheduler(
        self, target: str, scheduler: _scheduler.TargetScheduler
    ) -> None:
        """Treat a new scheduler's target as taken over from a dead owner.

        This daemon may have just restarted, and exchanges of the process
        before the restart may still take slots.
        """
        if target in self._released:
            scheduler.set_released(True)
            return
        if target not in self._takeovers:
            self._takeovers[target] = self._take_over_from_dead(
                target, scheduler, ''
            )

    def tick(self) -> None:
        """Ask again about slots that are not confirmed as free."""
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
            # The two daemons' tables differ.  The sender asks again until
            # one of them has caught up.
            return
        # The sender is the new owner.  Nothing may be sent after the answer,
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
