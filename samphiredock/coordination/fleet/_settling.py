"""When a daemon that has just started may rely on the versions it holds.

A new daemon holds nothing, so a stale read of the store would put an old
revision in force although others have a newer one.  The daemon is settled
when the store and enough peers have been asked and none has reported a newer
version than it holds.
"""

from samphiredock import protocol

_MIN_PEERS = 2
_MAX_WAIT_MS = 3_000.0
_MAX_BEHIND_WAIT_MS = 30_000.0


class Settling:
    """Decides, once after the start, when this daemon is settled.

    Does no I/O.
    """

    def __init__(self, now_ms: float) -> None:
        self._started_ms = now_ms
        self._store_asked = False
        self._directory_read = False
        self._listed: set[str] = set()
        self._answered: set[str] = set()
        self._answered_settled: set[str] = set()
        self._highest = protocol.HeldVersions(0, 0)
        self._settled = False

    def on_store(self) -> None:
        """Record that the store was read or is unreachable."""
        self._store_asked = True

    def on_directory(self, names: set[str]) -> None:
        """Record the other daemons that the directory or settings list."""
        self._directory_read = True
        self._listed = names

    def on_versions(self, versions: protocol.HeldVersions) -> None:
        """Record the versions that a peer holds."""
        self._highest = protocol.HeldVersions(
            max(self._highest.revision, versions.revision),
            max(self._highest.snapshot_id, versions.snapshot_id),
        )

    def on_answer(self, member: str, settled: bool) -> None:
        """Record that a peer answered, and whether it is settled itself.

        A peer that is not settled may have read the same stale object.
        """
        self._answered.add(member)
        if settled:
            self._answered_settled.add(member)

    def is_settled(self, now_ms: float, held: protocol.HeldVersions) -> bool:
        """Whether the daemon is settled; once True, it stays so."""
        if not self._settled:
            self._settled = self._decide(now_ms, held)
        return self._settled

    def is_behind(self, held: protocol.HeldVersions) -> bool:
        """Whether a peer has reported a newer version than ``held``."""
        return (
            held.revision < self._highest.revision
            or held.snapshot_id < self._highest.snapshot_id
        )

    def _decide(self, now_ms: float, held: protocol.HeldVersions) -> bool:
        if not held.revision:
            return False
        age_ms = now_ms - self._started_ms
        if self.is_behind(held):
            # The newer version may be lost: its holder dead and the store
            # restored from a backup.
            return age_ms >= _MAX_BEHIND_WAIT_MS
        # All listed peers may be dead or frozen.
        asked = self._store_asked and self._peers_asked()
        return asked or age_ms >= _MAX_WAIT_MS

    def _peers_asked(self) -> bool:
        if not self._directory_read:
            return False
        enough = min(_MIN_PEERS, len(self._listed))
        everyone = self._listed <= self._answered
        return everyone or len(self._answered_settled) >= enough
