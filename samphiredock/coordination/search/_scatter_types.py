"""What a scatter takes in and gives out."""

import dataclasses
import typing

from samphiredock.coordination.search import _hedging
from samphiredock.coordination.targets import _replica_selector
from samphiredock import protocol
from samphiredock import state


class Budget(typing.Protocol):
    """What sub-queries beyond the needed ones are drawn from.

    ``charged_refusals`` are the endings without a run whose second try draws
    from the budget all the same.
    """

    charged_refusals: frozenset[protocol.SubStatus]

    def record_first_attempts(
        self, shards: typing.Sequence[str], share: float
    ) -> None:
        """Earn for the first sub-query of each shard."""

    def spend_hedge(self, shard: str = '') -> bool:
        """Take from it for a hedge on a shard, if there is enough."""

    def spend_retry(self, shard: str = '') -> bool:
        """Take from it for a second try of a shard, if there is enough."""

    def charge(self, shard: str = '') -> None:
        """Take from it for a try that cannot be refused."""

    def refund(self, shard: str = '') -> None:
        """Give back what was taken for a hedge that no target began."""


class TargetView(typing.Protocol):
    """Where attempts may go."""

    def owner(self, target: str) -> str | None:
        """The daemon that dispatches for a target."""

    def is_usable(self, target: str) -> bool:
        """Whether a target may get new work."""

    @property
    def snapshot(self) -> state.Snapshot | None:
        """The newest snapshot known here."""


class CrashTracker(typing.Protocol):
    """Where losses of targets are judged; see the quarantine."""

    def record_loss(self, fingerprint: str, target: str, service: str) -> None:
        """Count a target lost while it ran this content alone."""

    def record_success(self, fingerprint: str) -> None:
        """The content ran and its target lives."""

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether the content is refused from now on."""

    def is_suspect(self, fingerprint: str) -> bool:
        """Whether a target was lost to the content, here or elsewhere."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendAttempts:
    """Send these sub-queries to one dispatcher."""

    dispatcher: str | None
    items: list[protocol.SubQuery]
    alone: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DropAttempts:
    """Cancel these attempts at the dispatcher they were sent to."""

    dispatcher: str
    attempt_ids: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Give the caller this outcome; nothing follows it.

    ``accepted`` are the answers that it was merged from.
    """

    outcome: protocol.SearchOutcome
    accepted: tuple[protocol.SubAnswer, ...] = ()


Effect = SendAttempts | DropAttempts | Finish


@dataclasses.dataclass(slots=True)
class Tally:
    """What one search did; added to the metrics once, at its end."""

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
        """Add one to a field."""
        setattr(self, name, getattr(self, name) + 1)


COUNTER_NAMES = tuple(field.name for field in dataclasses.fields(Tally))
"""The metrics that a search's tally is added to."""


@dataclasses.dataclass(frozen=True, slots=True)
class ScatterContext:
    """What the searches of one coordinator share."""

    targets: TargetView
    replicas: _replica_selector.ReplicaSelector
    latencies: _hedging.Latencies
    budget: Budget
    crash_tracker: CrashTracker
