"""A harness that drives one scatter without network, targets or timers."""

import dataclasses
import os
import random

from samphiredock import coordination
from samphiredock import protocol
from samphiredock import state
from standins import memory_searches

SEED = int(os.environ.get('SAMPHIREDOCK_SEED', '20261202'))

Answer = protocol.SubAnswer
Status = protocol.SubStatus


@dataclasses.dataclass
class ScatterHarness:
    """One :class:`coordination.Scatter` whose results and time a test sets.

    The dispatcher of target ``tN`` is ``d(N mod 4)``.  ``sent`` holds all
    attempts by id, ``pending`` those without a result, ``alone`` the ids of
    attempts that must run alone at their targets.  Targets in ``unusable``
    get no attempts.
    """

    snapshot: state.Snapshot = dataclasses.field(
        default_factory=memory_searches.make_snapshot
    )
    search: state.Search = dataclasses.field(
        default_factory=memory_searches.make_search
    )
    limits: state.Limits = dataclasses.field(default_factory=state.Limits)
    canary: bool = False
    now_ms: float = 0.0

    def __post_init__(self) -> None:
        self.unusable: set[str] = set()
        self.lost_targets: list[str] = []
        self.success_count = 0
        self.quarantine_after = 2
        self.suspected = False
        self.context = coordination.ScatterContext(
            self,
            coordination.ReplicaSelector(
                random.Random(SEED), lambda target: True
            ),
            coordination.Latencies(),
            coordination.RetryBudget(),
            self,
        )
        self.start_search()

    def start_search(self) -> None:
        """Start a new search with the same context."""
        plan = coordination.Plan(
            'q', 'desk', 'bole-a', self.search, {}, self.search.limit, 'f',
            self.snapshot, self.now_ms + self.search.deadline_ms,
        )  # fmt: skip
        self.scatter = coordination.Scatter(
            plan, self.context, self.limits, self.canary
        )
        self.sent: dict[str, protocol.SubQuery] = {}
        self.pending: dict[str, protocol.SubQuery] = {}
        self.alone: set[str] = set()
        self.drops: list[coordination.DropAttempts] = []
        self.outcome: protocol.SearchOutcome | None = None
        self.apply_effects(self.scatter.start(self.now_ms))

    # TargetView and CrashTracker methods.

    def owner(self, target: str) -> str:
        return f'd{int(target[1:]) % 4}'

    def is_usable(self, target: str) -> bool:
        return target not in self.unusable

    def record_loss(self, fingerprint: str, target: str, service: str) -> None:
        self.lost_targets.append(target)

    def record_success(self, fingerprint: str) -> None:
        self.success_count += 1

    def is_quarantined(self, fingerprint: str) -> bool:
        return len(set(self.lost_targets)) >= self.quarantine_after

    def is_suspect(self, fingerprint: str) -> bool:
        return self.suspected or bool(self.lost_targets)

    # Methods that drive the scatter.

    def apply_effects(self, effects: list) -> list[protocol.SubQuery]:
        """Record effects; return the attempts that they send."""
        new = []
        for effect in effects:
            if isinstance(effect, coordination.SendAttempts):
                new += effect.items
                if effect.alone:
                    self.alone.update(row.attempt_id for row in effect.items)
            elif isinstance(effect, coordination.DropAttempts):
                self.drops.append(effect)
                for attempt_id in effect.attempt_ids:
                    self.pending.pop(attempt_id, None)
            else:
                self.outcome = effect.outcome
        for item in new:
            self.sent[item.attempt_id] = self.pending[item.attempt_id] = item
        return new

    def deliver(self, *answers: Answer) -> list[protocol.SubQuery]:
        """Deliver results; return the attempts sent in response."""
        for answer in answers:
            self.pending.pop(answer.attempt_id, None)
        return self.apply_effects(
            self.scatter.on_answers(answers, self.now_ms)
        )

    def tick(self, delta_ms: float) -> list[protocol.SubQuery]:
        """Advance the time, ticking when due; return the attempts sent."""
        end_ms = self.now_ms + delta_ms
        new = []
        while self.outcome is None and self.scatter.next_due_ms() <= end_ms:
            self.now_ms = max(self.now_ms, self.scatter.next_due_ms())
            new += self.apply_effects(self.scatter.on_tick(self.now_ms))
        self.now_ms = end_ms
        return new

    def good_answer(
        self, item: protocol.SubQuery, **changes: object
    ) -> Answer:
        """Return a correct, complete answer with some fields changed."""
        return memory_searches.good_answer(self.snapshot, item, **changes)

    def failed_answer(
        self, item: protocol.SubQuery, status: Status, **more: object
    ):
        """Return a result without content."""
        return Answer(item.attempt_id, item.target, status, **more)

    def deliver_rest(self) -> None:
        """Answer all pending attempts until none is left."""
        while self.pending and self.outcome is None:
            self.deliver(
                *[self.good_answer(row) for row in self.pending.values()]
            )
