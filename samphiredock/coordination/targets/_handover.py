"""Handover of a target from one dispatcher to the next.

The earlier dispatcher's work goes on taking slots after the change.  While
it lives it tells how many; when it died the target itself is asked, and
until it answers, all slots count as taken for one longest deadline.
"""

import dataclasses
import math
import typing

from samphiredock.coordination.fleet import _ownership
from samphiredock.coordination.targets import _lane
from samphiredock.coordination.targets import _lane_types
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

_ASK_AGAIN_MS = 100.0


@dataclasses.dataclass(slots=True)
class _Taking:
    old: str
    old_lives: bool
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


class Lanes(typing.Protocol):
    """What the handover does with lanes and targets."""

    def lane(self, target: str) -> _lane.Lane | None:
        """Return the lane of a target, None if there is no such target."""

    def existing_lane(self, target: str) -> _lane.Lane | None:
        """Return the lane of a target if there has been work for it."""

    def target(self, name: str) -> state.Target | None:
        """Return a target of the configuration in force."""

    def carry_out(
        self, target: str, effects: list[_lane_types.Effect]
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
        lanes: Lanes,
        peers: transport.Peers,
        clock: timers.Timers,
        counters: metrics.Metrics,
        lives: typing.Callable[[str], bool],
    ) -> None:
        self._name = name
        self._lanes = lanes
        self._peers = peers
        self._clock = clock
        self._metrics = counters
        self._lives = lives
        self._owned: set[str] = set()
        self._released: set[str] = set()
        self._taking: dict[str, _Taking] = {}
        peers.subscribe(protocol.Release, self._on_release)
        peers.subscribe(protocol.Released, self._on_released)
        clock.every(_ASK_AGAIN_MS, self.tick)

    def on_changes(self, changes: list[_ownership.OwnerChange]) -> None:
        """Follow a new table of owners."""
        for change in changes:
            if change.new == self._name:
                self._take(change)
            elif change.old == self._name and change.new is not None:
                self._give(change.target)

    def on_new_lane(self, target: str, lane: _lane.Lane) -> None:
        """Start a lane as if an unknown dispatcher had died before it.

        This daemon may have been restarted a moment ago, and its earlier
        self's work may still be taking slots.
        """
        if target in self._released:
            lane.set_released(True)
            return
        if target not in self._taking:
            self._taking[target] = self._from_dead(target, lane, '')

    def tick(self) -> None:
        """Ask again for what has not been confirmed."""
        now_ms = self._clock.now_ms()
        for target, taking in list(self._taking.items()):
            lane = self._lanes.lane(target)
            if lane is None or now_ms >= taking.until_ms:
                self._finish(target)
            elif taking.old_lives and not self._lives(taking.old):
                old = taking.old
                self._taking[target] = self._from_dead(target, lane, old)
            elif taking.old_lives:
                self._peers.send(taking.old, protocol.Release(target))
            elif lane.foreign_slots(now_ms):
                self._lanes.probe(target)
            else:
                self._finish(target)

    def _take(self, change: _ownership.OwnerChange) -> None:
        target = change.target
        self._owned.add(target)
        self._released.discard(target)
        lane = self._lanes.existing_lane(target)
        if lane is not None:
            lane.set_released(False)
        if change.old is None:
            return
        lane = self._lanes.lane(target)
        if lane is None:
            return
        self._metrics.add('targets_taken_over', old_lives=change.old_lives)
        until_ms = self._clock.now_ms() + self._lanes.longest_deadline_ms()
        taking = _Taking(change.old, change.old_lives, until_ms)
        if not change.old_lives:
            self._taking[target] = self._from_dead(target, lane, change.old)
            return
        self._taking[target] = taking
        half = max(1, self._slots(target) // 2)
        lane.take_over(0, until_ms, half)
        self._peers.send(change.old, protocol.Release(target))

    def _from_dead(self, target: str, lane: _lane.Lane, old: str) -> _Taking:
        until_ms = self._clock.now_ms() + self._lanes.longest_deadline_ms()
        lane.take_over(self._slots(target), until_ms)
        self._lanes.probe(target)
        return _Taking(old, False, until_ms)

    def _give(self, target: str) -> None:
        self._owned.discard(target)
        self._taking.pop(target, None)
        self._released.add(target)
        lane = self._lanes.existing_lane(target)
        if lane is not None:
            self._lanes.carry_out(target, lane.set_released(True))

    def _finish(self, target: str) -> None:
        self._taking.pop(target, None)
        lane = self._lanes.lane(target)
        if lane is not None:
            lane.take_over(0, -math.inf)
            self._lanes.carry_out(target, [])

    def _on_release(self, sender: str, release: protocol.Release) -> None:
        if release.target in self._owned:
            # By this daemon's table the target is its own; the sender asks
            # again until one of the two tables has followed.
            return
        # Whoever asks owns it now; after the answer nothing new is sent,
        # even if this daemon never saw itself as the owner.
        self._give(release.target)
        lane = self._lanes.existing_lane(release.target)
        busy, busy_for_ms = 0, 0.0
        if lane is not None:
            busy, busy_for_ms = lane.busy_slots(self._clock.now_ms())
        self._peers.send(
            sender, protocol.Released(release.target, busy, busy_for_ms)
        )

    def _on_released(self, sender: str, answer: protocol.Released) -> None:
        taking = self._taking.get(answer.target)
        lane = self._lanes.lane(answer.target)
        if taking is None or lane is None or taking.old != sender:
            return
        if not answer.busy:
            self._finish(answer.target)
            return
        until_ms = self._clock.now_ms() + answer.busy_for_ms
        lane.take_over(answer.busy, until_ms)
        self._lanes.carry_out(answer.target, [])

    def _slots(self, target: str) -> int:
        found = self._lanes.target(target)
        return found.slots if found is not None else 1
