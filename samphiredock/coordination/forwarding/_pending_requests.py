"""The state of a forwarded request until its outcome is known."""

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
"""How long an exchange that is no longer needed may still end by itself.
Closing its connection would cost a new handshake, which takes a slot of the
target for 6 ms.  A target that pauses for 120 ms answers within this time."""


@dataclasses.dataclass(slots=True)
class Exchange:
    """One exchange with a target.

    ``started_ms`` is when the attempt was decided; ``is_sent`` is set when a
    connection was available and the request was written.  ``is_dropped`` is
    set when the reply is no longer needed.
    """

    target: str
    started_ms: float
    task: asyncio.Task | None = None
    is_dropped: bool = False
    is_sent: bool = False

    def mark_sent(self) -> None:
        """Note that the request has been written to a connection."""
        self.is_sent = True


@dataclasses.dataclass(slots=True)
class SentOrder:
    """A merge order that has not ended.

    ``merger`` is the daemon that executes it.  ``waiting`` holds the attempts
    not yet reported, by number; ``unwanted`` the numbers of those whose result
    is no longer needed.  ``is_gathering`` until the merged part has come;
    ``is_broken`` after a report that contradicts the order.
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
    """A forwarded request that has no outcome yet.

    ``assignments`` says which daemon asks each target, None if this one asks
    all of them.  ``parts`` collects the results of a search; ``replies`` holds
    whole replies by attempt, one of which may be passed on.  ``failure`` is a
    target's own error reply, passed on if nothing better comes.

    ``shard_of``, ``sent_orders`` and ``exchanges`` have attempt ids as keys;
    an attempt is in ``sent_orders`` if another daemon sends it, otherwise in
    ``exchanges`` until it ends.  ``asked`` and ``answered`` are shards.
    ``send_by_ms`` holds, for shards with extra attempts, until when an attempt
    may be written.  ``may_have_lost_target`` is set once an exchange broke.
    """

    plan: _route_plans.ForwardPlan
    scatter: _scatter.Scatter
    done: asyncio.Future
    trace: _request_log.RequestTrace
    timer: timers.TimerHandle | None = None
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
    send_by_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    may_have_lost_target: bool = False

    def __post_init__(self) -> None:
        self.parts = _collected_parts.CollectedParts(self.plan.route.top)

    def unanswered(self) -> list[str]:
        """Return the services that have not answered."""
        return [
            name for name in self.plan.services if name not in self.answered
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class PendingSummary:
    """A pending request as it is logged at shutdown.

    ``for_ms`` is its age.  ``at`` are the targets it was sent to and the
    daemons with open orders for it; ``no_connection`` the targets for which
    it still waits for a connection.
    """

    request_id: str
    for_ms: float
    at: tuple[str, ...]
    no_connection: tuple[str, ...] = ()


def summarize(pending: PendingRequest, now_ms: float) -> PendingSummary:
    """Return the summary of a pending request."""
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
    """Return the outcome that the caller of a finished request gets.

    Parameters
    ----------
    pending, finish
        The request, and how its scatter ended.
    now_ms
        The current time; at or after the deadline, an unanswered request has
        timed out.
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
    """Return the result of an attempt, without its receipt and records."""
    return protocol.SubAnswer(
        item.attempt_id,
        item.target,
        status,
        item.snapshot_id,
        detail=detail,
        took_ms=took_ms,
    )
