"""Records successes and losses by request content, as searches see them."""

import collections

from samphiredock.coordination.quarantine import _quarantine
from samphiredock import timers

_MAX_CONTENTS = 20_000
_KEEP_MS = 600_000.0


class KnownContents:
    """Fingerprints of contents that succeeded recently and need no canary.

    The least recently used one is dropped when the set is full.

    Parameters
    ----------
    max_contents
        The largest number of fingerprints.
    keep_ms
        For how long a success counts.
    """

    def __init__(
        self, max_contents: int = _MAX_CONTENTS, keep_ms: float = _KEEP_MS
    ) -> None:
        self._max_contents = max_contents
        self._keep_ms = keep_ms
        self._seen_ms: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._seen_ms)

    def remember(self, fingerprint: str, now_ms: float) -> None:
        """Record that the content succeeded now."""
        self._seen_ms[fingerprint] = now_ms
        self._seen_ms.move_to_end(fingerprint)
        if len(self._seen_ms) > self._max_contents:
            self._seen_ms.popitem(last=False)

    def forget(self, fingerprint: str) -> None:
        """Drop the content, because a target was lost to it."""
        self._seen_ms.pop(fingerprint, None)

    def is_known(self, fingerprint: str, now_ms: float) -> bool:
        """Return whether the content succeeded within the time limit."""
        seen_ms = self._seen_ms.get(fingerprint)
        if seen_ms is None:
            return False
        if now_ms - seen_ms > self._keep_ms:
            del self._seen_ms[fingerprint]
            return False
        return True


class QuarantineCrashTracker:
    """Implements :class:`CrashTracker` with the daemon's quarantine.

    It also remembers the contents that succeeded recently.
    """

    def __init__(
        self, quarantine: _quarantine.Quarantine, clock: timers.Timers
    ) -> None:
        self._quarantine = quarantine
        self._clock = clock
        self._known = KnownContents()

    def is_known(self, fingerprint: str) -> bool:
        """Return whether the content succeeded recently."""
        return self._known.is_known(fingerprint, self._clock.now_ms())

    def record_loss(self, fingerprint: str, target: str, service: str) -> None:
        """Record that a target was lost while it ran only this content."""
        self._known.forget(fingerprint)
        self._quarantine.record_loss(fingerprint, target, service)

    def record_success(self, fingerprint: str) -> None:
        """Record that the content ran alone and its target is still alive."""
        self._known.remember(fingerprint, self._clock.now_ms())
        self._quarantine.record_success(fingerprint)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the content is refused."""
        return self._quarantine.is_quarantined(fingerprint)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether any daemon lost a target that ran the content."""
        return self._quarantine.is_suspect(fingerprint)
