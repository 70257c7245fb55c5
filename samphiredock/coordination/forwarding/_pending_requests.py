"""One request that is passed on, from its plan to what its caller is told."""

import asyncio
import dataclasses
import math

from samphiredock.coordination.forwarding import _collected_parts
from samphiredock.coordination.forwarding import _merger_assignments
from samphiredock.coordination.forwarding import _request_log
from samphiredock.coordination.forwarding import _route_plans
from samphiredock.coordination.search import _scatter
from samphiredock.coordination.search import _scatter_types
from samphiredock import protocol
from samphiredock import timers


LOSER_GRACE_MS = 150.0
"""How long an exchange that is not needed any more may still end by itself.
A target that pauses for 120 ms answers within it, and its connection stays
open; a new one would hold a slot of the target for 6 ms."""


@dataclasses.dataclass(slots=True)
class Exchange:
    """One exchange with a target; ``lingers`` after nobody needs it.

    It was decided at ``sent_ms``, and ``has_gone_out`` once it had a
    connection.
    """

    target: str
    sent_ms: float
    task: asyncio.Task | None = None
    is_dropped: bool = False
    is_sent: bool = False

    def mark_sent(self) -> None:
        """The target gets the request now."""
        self.is_sent = True


@dataclasses.dataclass(slots=True)
class SentOrder:
    """An order that has not ended.

    ``waiting`` are the attempts that no report has named, ``unwanted``
    those whose end is of no use any more.  It ``gathers`` until its merged
    part has come, and ``is_broken`` once a report made no sense.
    """

    merger: str
    waiting: dict[int, protocol.SubQuery]
    is_gathering: bool
    unwanted: set[int] = dataclasses.field(default_factory=set)
    has_reported: bool = False
    is_broken: bool = False
    task: asyncio.Task | None = None


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """One request that has no outcome yet.

    ``ways`` says through whom its targets are asked, None if each is asked
    directly.  ``parts`` is what has come of a search, ``replies`` whole
    answers by attempt, one of which may be passed on.
    """

    plan: _route_plans.ForwardPlan
    scatter: _scatter.Scatter
    done: asyncio.Future
    trace: _request_log.Trail
    timer: timers.Subscription | None = None
    assignments: _merger_assignments.MergerAssignments | None = None
    timer_due_ms: float = math.inf
    parts: _collected_parts.CollectedParts = dataclasses.field(init=False)
    shard_of: dict[str, str] = dataclasses.field(default_factory=dict)
    sent_orders: dict[str, SentOrder] = dataclasses.field(default_factory=dict)
    replies: dict[str, protocol.TargetReply] = dataclasses.field(
        default_factory=dict
    )
    failure: protocol.TargetReply | None = None
    asked: set[str] = dataclasses.field(default_factory=set)
    answered: set[str] = dataclasses.field(default_factory=set)
    exchanges: dict[str, Exchange] = dataclasses.field(default_factory=dict)

    def __post_init__(self) -> None:
        self.parts = _collected_parts.CollectedParts(self.plan.route.top)

    def unanswered(self) -> list[str]:
        """Return the services that gave no answer."""
        return [
            name for name in self.plan.services if name not in self.answered
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class PendingSummary:
    """A request that has no outcome yet, for the log.

    ``at`` are the targets that have it, and the daemons with orders for it;
    ``no_connection`` those for which it still waits for a connection.
    """

    request_id: str
    for_ms: float
    at: tuple[str, ...]
    no_connection: tuple[str, ...] = ()


def summarize(pending: PendingRequest, now_ms: float) -> PendingSummary:
    """Return what a pending waits for."""
    waited_for = [
        exchange
        for exchange in pending.exchanges.values()
        if not exchange.is_dropped
    ]
    at = {row.target for row in waited_for if row.is_sent}
    at.update(
        sent_order.merger
        for sent_order in pending.sent_orders.values()
        if sent_order.waiting
    )
    unsent = {row.target for row in waited_for if not row.is_sent}
    return PendingSummary(
        pending.plan.request.request_id,
        round(now_ms - pending.trace.started_ms, 1),
        tuple(sorted(at)),
        tuple(sorted(unsent)),
    )


def outcome_of(
    pending: PendingRequest, finish: _scatter_types.Finish, now_ms: float
) -> protocol.ForwardOutcome:
    """Return what the caller is told at the end of a pending.

    Parameters
    ----------
    pending, finish
        The request, and how its scatter ended.
    now_ms
        A request that is still unanswered at its deadline has timed out.
    """
    plan = pending.plan
    outcome = finish.outcome
    if isinstance(outcome, protocol.Answered | protocol.Partial):
        if not plan.is_gather:
            accepted = finish.accepted[0].attempt_id
            return protocol.Passed(pending.replies[accepted].reply)
        receipts = pending.parts.receipts()
        return protocol.Gathered(
            receipts,
            len(plan.services) - len(receipts),
            pending.parts.body(),
        )
    if isinstance(outcome, protocol.NotRun):
        return outcome
    if pending.failure is not None and not plan.is_gather:
        return protocol.Passed(pending.failure.reply)
    if now_ms >= plan.scatter.deadline_at_ms:
        return protocol.TimedOut(outcome.detail)
    return outcome


def make_sub_answer(
    item: protocol.SubQuery,
    status: protocol.SubStatus,
    took_ms: float = 0.0,
    detail: str = '',
) -> protocol.SubAnswer:
    """Return the end of an attempt, without what it brought."""
    return protocol.SubAnswer(
        item.attempt_id,
        item.target,
        status,
        item.snapshot_id,
        detail=detail,
        took_ms=took_ms,
    )
