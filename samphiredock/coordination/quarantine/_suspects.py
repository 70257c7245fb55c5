"""Decides which request contents are suspects, and which are quarantined.

It does no I/O: losses and the time go in, quarantine entries come out.
"""

import dataclasses

from samphiredock import protocol

QUARANTINE_MS = 600_000

# After a loss, further requests with the content are refused for this time.
TRIAL_MS = 1_000.0

_SUSPECT_TTL_MS = 600_000.0

# Losses within this time may belong to the same crash or outage.
_SAME_CRASH_MS = 2_000.0

_MIN_LOSSES = 2
_MIN_OUTAGE_TARGETS = 3
_MIN_OUTAGE_CONTENTS = 2
_MAX_SUSPECTS = 10_000


@dataclasses.dataclass(slots=True)
class _Loss:
    """The loss of a target.

    ``is_certain`` is false if another content may have caused it.
    """

    at_ms: float
    is_certain: bool


@dataclasses.dataclass(slots=True)
class Suspect:
    """A content to which targets were lost.

    ``losses`` has the lost targets, and ``entry`` the quarantine, if there
    is one.  ``is_published`` marks a quarantine that came from the store or
    another daemon; it is not withdrawn.  Until ``trial_until_ms`` a request
    with the content is being tried alone.
    """

    fingerprint: str
    service: str = ''
    losses: dict[str, _Loss] = dataclasses.field(default_factory=dict)
    seen_ms: float = 0.0
    trial_until_ms: float = 0.0
    entry: protocol.QuarantineEntry | None = None
    is_published: bool = False

    def should_quarantine(self) -> bool:
        """Return whether enough targets were lost, one of them certainly."""
        return len(self.losses) >= _MIN_LOSSES and any(
            loss.is_certain for loss in self.losses.values()
        )


class Suspects:
    """Suspects by the fingerprint of their content.

    A crash may hit two contents that each run alone in an HTTP exchange, in
    two slots of the same target.  The loss is then uncertain for both: both
    become suspects, and a content is quarantined only after a loss for which
    it is the only explanation.  The harmless one is cleared by its next run.

    A rack or a site that fails takes down several targets at once, each while
    it runs another content.  No single content can cause that, so contents
    with a single loss in such an outage are no suspects; otherwise each would
    be refused at all daemons while it is tried alone.
    """

    def __init__(self, quarantine_ms: int = QUARANTINE_MS) -> None:
        self._quarantine_ms = quarantine_ms
        self._suspects: dict[str, Suspect] = {}
        # Time and fingerprint.
        self._losses_by_target: dict[str, list[tuple[float, str]]] = {}
        # Time, fingerprint and target.
        self._recent_losses: list[tuple[float, str, str]] = []

    def get(self, fingerprint: str, now_ms: float) -> Suspect | None:
        """Return a suspect; None if there is none or it has expired."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return None
        if (
            suspect.entry is None
            and now_ms - suspect.seen_ms > _SUSPECT_TTL_MS
        ):
            del self._suspects[fingerprint]
            return None
        return suspect

    def entry_of(
        self, fingerprint: str, now_ms: float, wall_ms: int
    ) -> protocol.QuarantineEntry | None:
        """Return the quarantine of a content that is in force, if any."""
        suspect = self.get(fingerprint, now_ms)
        if suspect is None or suspect.entry is None:
            return None
        if suspect.entry.until_ms <= wall_ms:
            del self._suspects[fingerprint]
            return None
        return suspect.entry

    def entries(self, wall_ms: int) -> list[protocol.QuarantineEntry]:
        """Return the quarantines in force."""
        return [
            suspect.entry
            for suspect in self._suspects.values()
            if suspect.entry is not None and suspect.entry.until_ms > wall_ms
        ]

    def record_loss(
        self,
        fingerprint: str,
        service: str,
        target: str,
        now_ms: float,
        wall_ms: int,
    ) -> Suspect:
        """Record that a target was lost while it ran only this content."""
        suspect = self._get_or_add(fingerprint)
        suspect.service = service or suspect.service
        suspect.seen_ms = now_ms
        if target not in suspect.losses:
            suspect.losses[target] = _Loss(now_ms, True)
            self._mark_uncertain(fingerprint, target, now_ms, wall_ms)
            self._clear_outage(fingerprint, target, now_ms)
        self._update_entry(suspect, wall_ms)
        return suspect

    def clear(self, fingerprint: str) -> None:
        """Remove a suspect, and its quarantine."""
        self._suspects.pop(fingerprint, None)

    def put_entry(
        self, entry: protocol.QuarantineEntry, now_ms: float
    ) -> None:
        """Apply a quarantine from the store or another daemon."""
        suspect = self._get_or_add(entry.fingerprint)
        suspect.seen_ms = now_ms
        suspect.entry = entry
        suspect.is_published = True

    def _get_or_add(self, fingerprint: str) -> Suspect:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            if len(self._suspects) >= _MAX_SUSPECTS:
                self._evict()
            suspect = self._suspects[fingerprint] = Suspect(fingerprint)
        return suspect

    def _evict(self) -> None:
        """Remove the oldest suspect; one in quarantine only if all are."""
        oldest = min(
            self._suspects.values(),
            key=lambda suspect: (suspect.entry is not None, suspect.seen_ms),
        )
        del self._suspects[oldest.fingerprint]

    def _mark_uncertain(
        self, fingerprint: str, target: str, now_ms: float, wall_ms: int
    ) -> None:
        """Mark losses of several contents in the same crash as uncertain."""
        recent = [
            loss
            for loss in self._losses_by_target.get(target, ())
            if now_ms - loss[0] < _SAME_CRASH_MS
        ]
        others = [name for _, name in recent if name != fingerprint]
        self._losses_by_target[target] = [*recent, (now_ms, fingerprint)]
        for name in [*others, fingerprint] if others else []:
            suspect = self._suspects.get(name)
            if suspect is not None and target in suspect.losses:
                suspect.losses[target].is_certain = False
                self._update_entry(suspect, wall_ms)

    def _clear_outage(
        self, fingerprint: str, target: str, now_ms: float
    ) -> None:
        """Clear the losses that belong to an outage of several targets."""
        self._recent_losses = [
            loss
            for loss in self._recent_losses
            if now_ms - loss[0] < _SAME_CRASH_MS
        ]
        self._recent_losses.append((now_ms, fingerprint, target))
        contents = {name for _, name, _ in self._recent_losses}
        targets = {name for _, _, name in self._recent_losses}
        if (
            len(targets) < _MIN_OUTAGE_TARGETS
            or len(contents) < _MIN_OUTAGE_CONTENTS
        ):
            return
        for name in contents:
            suspect = self._suspects.get(name)
            if suspect is not None and len(suspect.losses) < _MIN_LOSSES:
                suspect.losses.clear()
                suspect.trial_until_ms = 0.0
                if suspect.entry is None:
                    del self._suspects[name]

    def _update_entry(self, suspect: Suspect, wall_ms: int) -> None:
        if not suspect.should_quarantine():
            # A quarantine set here before is withdrawn if a loss that it was
            # based on has become uncertain.
            if not suspect.is_published:
                suspect.entry = None
            return
        if suspect.entry is None:
            suspect.entry = protocol.QuarantineEntry(
                suspect.fingerprint,
                suspect.service,
                sorted(suspect.losses),
                wall_ms,
                wall_ms + self._quarantine_ms,
            )
