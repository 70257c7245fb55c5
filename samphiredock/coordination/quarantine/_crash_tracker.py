"""Which contents were lately seen to succeed, and so need no canary."""

import collections

from samphiredock.coordination.quarantine import _quarantine
from samphiredock import timers

_CONTENTS = 20_000
_KEEP_MS = 600_000.0


class KnownContents:
    """A bounded least-recently-used set with a time limit."""

    def __init__(
        self, contents: int = _CONTENTS, keep_ms: float = _KEEP_MS
    ) -> None:
        self._contents = contents
        self._keep_ms = keep_ms
        self._seen_ms: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._seen_ms)

    def remember(self, fingerprint: str, now_ms: float) -> None:
        """The content succeeded now."""
        self._seen_ms[fingerprint] = now_ms
        self._seen_ms.move_to_end(fingerprint)
        if len(self._seen_ms) > self._contents:
            self._seen_ms.popitem(last=False)

    def forget(self, fingerprint: str) -> None:
        """The content lost a target: its successes count no more."""
        self._seen_ms.pop(fingerprint, None)

    def is_known(self, fingerprint: str, now_ms: float) -> bool:
        """Whether the content succeeded within the time limit."""
        seen_ms = self._seen_ms.get(fingerprint)
        if seen_ms is None:
            return False
        if now_ms - seen_ms > self._keep_ms:
            del self._seen_ms[fingerprint]
            return False
        return True


class QuarantineCrashTracker:
    """Join what searches learn of a content to the quarantine."""

    def __init__(
        self, quarantine: _quarantine.Quarantine, clock: timers.Timers
    ) -> None:
        self._quarantine = quarantine
        self._clock = clock
        self._known = KnownContents()

    def is_known(self, fingerprint: str) -> bool:
        """Whether the content lately succeeded."""
        return self._known.is_known(fingerprint, self._clock.now_ms())

    def record_loss(self, fingerprint: str, target: str, service: str) -> None:
        """Count a target lost while it ran this content alone."""
        self._known.forget(fingerprint)
        self._quarantine.record_loss(fingerprint, target, service)

    def record_success(self, fingerprint: str) -> None:
        """The content ran alone and its target lives."""
        self._known.remember(fingerprint, self._clock.now_ms())
        self._quarantine.record_success(fingerprint)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether the content is refused from now on."""
        return self._quarantine.is_quarantined(fingerprint)

    def is_suspect(self, fingerprint: str) -> bool:
        """Whether a target was lost to the content, here or elsewhere."""
        return self._quarantine.is_suspect(fingerprint)
