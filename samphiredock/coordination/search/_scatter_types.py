"""The types that a scatter takes as input and returns."""

import dataclasses
import typing

from samphiredock.coordination.search import _hedging
from samphiredock.coordination.targets import _replica_selector
from samphiredock import protocol
from samphiredock import state


@dataclasses.dataclass(frozen=True, slots=True)
class ExtraAttempt:
    """An attempt beyond the first one of its shard.

    ``cause`` says why it is sent: ``hedge``, or how the attempt before it
    ended.  ``latest_arrival_ms`` is until when it, or an earlier attempt for
    the shard, may reach a target.
    """

    shard: str
    request_id: str
    cause: str
    latest_arrival_ms: float


class Charge(typing.Protocol):
    """What a budget has charged for one extra attempt."""


class Budget(typing.Protocol):
    """Limits the attempts beyond the first one of each shard.

    With ``counts_arrivals`` every attempt needs a charge if another one for
    its shard has reached a target or may have.  Otherwise the retry rules
    decide which retries do.
    """

    counts_arrivals: bool

    def record_first_attempts(
        self,
        shards: typing.Sequence[str],
        share: float,
        age_ms: float = 0.0,
    ) -> None:
        """Allow ``share`` of an extra attempt for each shard's first one.

        ``age_ms`` is how long ago the request was received by a daemon,
        infinite if that is not known.
        """

    def can_retry(self, extra: ExtraAttempt) -> bool:
        """Return whether a retry would be allowed now."""

    def spend_hedge(self, extra: ExtraAttempt | None = None) -> Charge | None:
        """Charge a hedge; None if the budget does not allow it."""

    def spend_retry(self, extra: ExtraAttempt | None = None) -> Charge | None:
        """Charge a retry; None if the budget does not allow it."""

    def charge_unconditionally(self) -> None:
        """Charge a retry that is sent whatever the budget."""

    def settle(self, charge: Charge, latest_arrival_ms: float) -> None:
        """Note until when the attempts of a charge may reach a target."""

    def refund(self, charge: Charge) -> None:
        """Undo the charge of an attempt that no target got."""


class TargetView(typing.Protocol):
    """The owners and the usability of targets, as known here."""

    def owner(self, target: str) -> str | None:
        """Return the daemon that dispatches to a target, None if unknown."""

    def is_usable(self, target: str) -> bool:
        """Return whether a target may get new work."""

    @property
    def snapshot(self) -> state.Snapshot | None:
        """The newest snapshot known here, None before the first."""


class CrashTracker(typing.Protocol):
    """Records which request contents crash targets.

    A content is identified by its fingerprint; see :func:`fingerprint_of`.
    """

    def record_loss(self, fingerprint: str, target: str, service: str) -> None:
        """Record that a target was lost while it ran only this content."""

    def record_success(self, fingerprint: str) -> None:
        """Record that a target ran the content and is still alive."""

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the content is refused."""

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether any daemon lost a target that ran the content."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendAttempts:
    """Send these sub-queries to one dispatcher.

    ``dispatcher`` is None if no daemon is known to own the targets.  With
    ``alone`` each sub-query goes to its target without any other request in
    the same HTTP exchange.
    """

    dispatcher: str | None
    items: list[protocol.SubQuery]
    alone: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DropAttempts:
    """Cancel these attempts at the dispatcher that they were sent to."""

    dispatcher: str
    attempt_ids: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Return this outcome to the caller; no other effect follows.

    ``accepted`` are the answers that the outcome was merged from.
    """

    outcome: protocol.SearchOutcome
    accepted: tuple[protocol.SubAnswer, ...] = ()


Effect = SendAttempts | DropAttempts | Finish


@dataclasses.dataclass(slots=True)
class Tally:
    """Counters of one search, added to the metrics when it ends."""

    sub_queries_sent: int = 0
    sub_queries_needed: int = 0
    retries: int = 0
    retries_denied: int = 0
    hedges_sent: int = 0
    hedges_won: int = 0
    hedges_denied: int = 0
    search_restarts: int = 0
    late_answers: int = 0
    mismatched_answers: int = 0
    wrong_snapshot_answers: int = 0
    empty_answers: int = 0
    bad_answers: int = 0

    def increment(self, name: str) -> None:
        """Add one to the counter ``name``."""
        setattr(self, name, getattr(self, name) + 1)


COUNTER_NAMES = tuple(field.name for field in dataclasses.fields(Tally))
"""The counters of :class:`Tally`; metrics have the same names."""


@dataclasses.dataclass(frozen=True, slots=True)
class ScatterContext:
    """State and collaborators that the searches of one daemon share."""

    targets: TargetView
    replicas: _replica_selector.ReplicaSelector
    latencies: _hedging.Latencies
    budget: Budget
    crash_tracker: CrashTracker
