"""Whether a search restarts on a newer snapshot, and how long it waits."""

import math

from samphiredock import state

_RESTARTS = 2
_WAIT_SHARE = 0.5
_POLL_MS = 5.0


class SnapshotWait:
    """A shard has left the plan's snapshot at every replica.

    The targets are ahead of this daemon, so a newer snapshot is about to be
    known; it is awaited for a share of the budget, so that time is left to
    answer with what the old one gave.
    """

    def __init__(
        self, deadline_at_ms: float, may_restart: bool = True
    ) -> None:
        self._deadline_at_ms = deadline_at_ms
        self._until_ms = math.inf
        self._look_ms = math.inf
        self._restarts_left = _RESTARTS if may_restart else 0

    def may_restart(self) -> bool:
        """Whether another restart is allowed."""
        return self._restarts_left > 0

    def is_on(self) -> bool:
        """Whether a newer snapshot is awaited."""
        return self._until_ms < math.inf

    def is_over(self, now_ms: float) -> bool:
        """Whether the wait has lasted long enough."""
        return now_ms >= self._until_ms

    def due_ms(self) -> float:
        """Return when to look again."""
        return self._look_ms

    def begin(self, now_ms: float) -> None:
        """Await a newer snapshot."""
        if not self.is_on():
            left_ms = self._deadline_at_ms - now_ms
            self._until_ms = now_ms + left_ms * _WAIT_SHARE
            self._look_ms = now_ms

    def look(
        self,
        newest: state.Snapshot | None,
        held: state.Snapshot,
        index: str,
        typical_ms: float,
        now_ms: float,
    ) -> state.Snapshot | None:
        """Return the snapshot to restart on, if there is one and time."""
        self._look_ms = now_ms + _POLL_MS
        if (
            newest is None
            or newest.snapshot_id <= held.snapshot_id
            or index not in newest.indexes
            or self._deadline_at_ms - now_ms <= typical_ms
        ):
            return None
        return newest

    def restarted(self) -> None:
        """The search was restarted."""
        self._restarts_left -= 1
        self._stop()

    def give_up(self) -> None:
        """No newer snapshot came in time."""
        self._restarts_left = 0
        self._stop()

    def _stop(self) -> None:
        self._until_ms = math.inf
        self._look_ms = math.inf
