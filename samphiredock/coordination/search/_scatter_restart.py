"""How long a search waits for a newer snapshot to restart on."""

import math

from samphiredock import state

_MAX_RESTARTS = 2
_WAIT_SHARE = 0.5
_POLL_MS = 5.0


class SnapshotWait:
    """Waits for a newer snapshot when replicas have dropped the search's own.

    If no replica of a shard has the search's snapshot any more, the targets
    are ahead of this daemon, which will soon learn of a newer one.  The wait
    lasts for a share of the time left, so that the answers at the old
    snapshot can still be returned in time.
    """

    def __init__(
        self, deadline_at_ms: float, may_restart: bool = True
    ) -> None:
        self._deadline_at_ms = deadline_at_ms
        self._until_ms = math.inf
        self._next_check_ms = math.inf
        self._restarts_left = _MAX_RESTARTS if may_restart else 0

    def may_restart(self) -> bool:
        """Return whether another restart is allowed."""
        return self._restarts_left > 0

    def is_active(self) -> bool:
        """Return whether a newer snapshot is awaited."""
        return self._until_ms < math.inf

    def has_timed_out(self, now_ms: float) -> bool:
        """Return whether the time to wait is over."""
        return now_ms >= self._until_ms

    def next_check_ms(self) -> float:
        """Return when to check again for a newer snapshot."""
        return self._next_check_ms

    def begin(self, now_ms: float) -> None:
        """Start to wait for a newer snapshot, unless the wait is active."""
        if not self.is_active():
            left_ms = self._deadline_at_ms - now_ms
            self._until_ms = now_ms + left_ms * _WAIT_SHARE
            self._next_check_ms = now_ms

    def check(
        self,
        newest: state.Snapshot | None,
        current: state.Snapshot,
        index: str,
        median_ms: float,
        now_ms: float,
    ) -> state.Snapshot | None:
        """Return the snapshot to restart on; None if there is none in time.

        ``median_ms`` is the median latency: without that much time left a
        restart would give no answer.
        """
        self._next_check_ms = now_ms + _POLL_MS
        if (
            newest is None
            or newest.snapshot_id <= current.snapshot_id
            or index not in newest.indexes
            or self._deadline_at_ms - now_ms <= median_ms
        ):
            return None
        return newest

    def record_restart(self) -> None:
        """Record a restart, which ends the wait."""
        self._restarts_left -= 1
        self._reset()

    def give_up(self) -> None:
        """End the wait without a restart, and allow none from now on."""
        self._restarts_left = 0
        self._reset()

    def _reset(self) -> None:
        self._until_ms = math.inf
        self._next_check_ms = math.inf
