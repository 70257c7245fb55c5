"""Whether a search restarts on a newer snapshot, and how long it waits."""

import math

from samphiredock import state

_MAX_RESTARTS = 2
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
        self._next_check_ms = math.inf
        self._restarts_left = _MAX_RESTARTS if may_restart else 0

    def may_restart(self) -> bool:
        """Whether another restart is allowed."""
        return self._restarts_left > 0

    def is_active(self) -> bool:
        """Whether a newer snapshot is awaited."""
        return self._until_ms < math.inf

    def has_timed_out(self, now_ms: float) -> bool:
        """Whether the wait has lasted long enough."""
        return now_ms >= self._until_ms

    def next_check_ms(self) -> float:
        """Return when to look again."""
        return self._next_check_ms

    def begin(self, now_ms: float) -> None:
        """Await a newer snapshot."""
        if not self.is_active():
            left_ms = self._deadline_at_ms - now_ms
            self._until_ms = now_ms + left_ms * _WAIT_SHARE
            self._next_check_ms = now_ms

    def check(
        self,
        newest: state.Snapshot | None,
        held: state.Snapshot,
        index: str,
        typical_ms: float,
        now_ms: float,
    ) -> state.Snapshot | None:
        """Return the snapshot to restart on, if there is one and time."""
        self._next_check_ms = now_ms + _POLL_MS
        if (
            newest is None
            or newest.snapshot_id <= held.snapshot_id
            or index not in newest.indexes
            or self._deadline_at_ms - now_ms <= typical_ms
        ):
            return None
        return newest

    def record_restart(self) -> None:
        """The search was restarted."""
        self._restarts_left -= 1
        self._reset()

    def give_up(self) -> None:
        """No newer snapshot came in time."""
        self._restarts_left = 0
        self._reset()

    def _reset(self) -> None:
        self._until_ms = math.inf
        self._next_check_ms = math.inf
