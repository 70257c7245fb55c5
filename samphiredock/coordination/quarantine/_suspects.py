"""The judgement on contents that ran while a target was lost.

A pure object: losses and successes go in, verdicts come out.
"""

import dataclasses

from samphiredock import protocol

QUARANTINE_MS = 600_000
TRIAL_MS = 1_000.0

_SUSPECT_TTL_MS = 600_000.0
_SAME_CRASH_MS = 2_000.0
_MIN_LOSSES = 2
_MIN_OUTAGE_TARGETS = 3
_MIN_OUTAGE_CONTENTS = 2
_MAX_SUSPECTS = 10_000


@dataclasses.dataclass(slots=True)
class _Loss:
    """A target lost; ``sure`` unless another content ran there too."""

    at_ms: float
    is_certain: bool


@dataclasses.dataclass(slots=True)
class Suspect:
    """What is known against one content.

    ``is_final`` marks a verdict that was published: it is not withdrawn.
    """

    fingerprint: str
    service: str = ''
    losses: dict[str, _Loss] = dataclasses.field(default_factory=dict)
    seen_ms: float = 0.0
    trial_until_ms: float = 0.0
    entry: protocol.QuarantineEntry | None = None
    is_published: bool = False

    def should_quarantine(self) -> bool:
        """Whether two targets were lost, at least one beyond doubt."""
        return len(self.losses) >= _MIN_LOSSES and any(
            loss.is_certain for loss in self.losses.values()
        )


class Suspects:
    """Cases by content.

    One crash can take two contents that each ran alone in an exchange, in
    two slots of the target.  Such a loss is unsure for both: it makes them
    suspects, and only a further loss, beside nobody, convicts.  The
    innocent one is cleared by its next run.

    A rack or a site that fails takes several targets at once, each under
    another content.  One content cannot have done that, so that those with
    a single loss in it are no suspects: each would be refused everywhere
    while it is tried alone.
    """

    def __init__(self, quarantine_ms: int = QUARANTINE_MS) -> None:
        self._quarantine_ms = quarantine_ms
        self._suspects: dict[str, Suspect] = {}
        self._losses_by_target: dict[str, list[tuple[float, str]]] = {}
        self._recent_losses: list[tuple[float, str, str]] = []

    def get(self, fingerprint: str, now_ms: float) -> Suspect | None:
        """Return the case against a content, unless it has lapsed."""
        case = self._suspects.get(fingerprint)
        if case is None:
            return None
        if case.entry is None and now_ms - case.seen_ms > _SUSPECT_TTL_MS:
            del self._suspects[fingerprint]
            return None
        return case

    def entry_of(
        self, fingerprint: str, now_ms: float, wall_ms: int
    ) -> protocol.QuarantineEntry | None:
        """Return the quarantine in force against a content."""
        case = self.get(fingerprint, now_ms)
        if case is None or case.entry is None:
            return None
        if case.entry.until_ms <= wall_ms:
            del self._suspects[fingerprint]
            return None
        return case.entry

    def entries(self, wall_ms: int) -> list[protocol.QuarantineEntry]:
        """Return the quarantines in force."""
        return [
            case.entry
            for case in self._suspects.values()
            if case.entry is not None and case.entry.until_ms > wall_ms
        ]

    def record_loss(
        self,
        fingerprint: str,
        service: str,
        target: str,
        now_ms: float,
        wall_ms: int,
    ) -> Suspect:
        """Count a target lost under a content that ran alone."""
        case = self._get_or_add(fingerprint)
        case.service = service or case.service
        case.seen_ms = now_ms
        if target not in case.losses:
            case.losses[target] = _Loss(now_ms, True)
            self._mark_uncertain(fingerprint, target, now_ms, wall_ms)
            self._clear_outage(fingerprint, target, now_ms)
        self._update_entry(case, wall_ms)
        return case

    def clear(self, fingerprint: str) -> None:
        """Forget a content."""
        self._suspects.pop(fingerprint, None)

    def put_entry(
        self, entry: protocol.QuarantineEntry, now_ms: float
    ) -> None:
        """Take over a verdict from the store or another daemon."""
        case = self._get_or_add(entry.fingerprint)
        case.seen_ms = now_ms
        case.entry = entry
        case.is_published = True

    def _get_or_add(self, fingerprint: str) -> Suspect:
        case = self._suspects.get(fingerprint)
        if case is None:
            if len(self._suspects) >= _MAX_SUSPECTS:
                self._evict()
            case = self._suspects[fingerprint] = Suspect(fingerprint)
        return case

    def _evict(self) -> None:
        """Make room; a suspect goes before a convicted content."""
        oldest = min(
            self._suspects.values(),
            key=lambda case: (case.entry is not None, case.seen_ms),
        )
        del self._suspects[oldest.fingerprint]

    def _mark_uncertain(
        self, fingerprint: str, target: str, now_ms: float, wall_ms: int
    ) -> None:
        """Mark losses unsure that one crash of the target explains."""
        recent = [
            row
            for row in self._losses_by_target.get(target, ())
            if now_ms - row[0] < _SAME_CRASH_MS
        ]
        others = [name for _, name in recent if name != fingerprint]
        self._losses_by_target[target] = [*recent, (now_ms, fingerprint)]
        for name in [*others, fingerprint] if others else []:
            case = self._suspects.get(name)
            if case is not None and target in case.losses:
                case.losses[target].is_certain = False
                self._update_entry(case, wall_ms)

    def _clear_outage(
        self, fingerprint: str, target: str, now_ms: float
    ) -> None:
        """Drop the suspects that an outage of several targets explains."""
        self._recent_losses = [
            row
            for row in self._recent_losses
            if now_ms - row[0] < _SAME_CRASH_MS
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
            case = self._suspects.get(name)
            if case is not None and len(case.losses) < _MIN_LOSSES:
                case.losses.clear()
                case.trial_until_ms = 0.0
                if case.entry is None:
                    del self._suspects[name]

    def _update_entry(self, case: Suspect, wall_ms: int) -> None:
        if not case.should_quarantine():
            # A verdict of moments ago may rest on a loss now in doubt.
            if not case.is_published:
                case.entry = None
            return
        if case.entry is None:
            case.entry = protocol.QuarantineEntry(
                case.fingerprint,
                case.service,
                sorted(case.losses),
                wall_ms,
                wall_ms + self._quarantine_ms,
            )
