"""One request that is passed on, from its plan to what its caller is told."""

import asyncio
import dataclasses
import math

from samphiredock.coordination.forwarding import _collected_parts
from samphiredock.coordination.forwarding import _merge_ways
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
    lingers: bool = False
    has_gone_out: bool = False

    def go_out(self) -> None:
        """The target gets the request now."""
        self.has_gone_out = True


@dataclasses.dataclass(slots=True)
class OrderOut:
    """An order that has not ended.

    ``waiting`` are the attempts that no report has named, ``unwanted``
    those whose end is of no use any more.  It ``gathers`` until its merged
    part has come, and ``is_broken`` once a report made no sense.
    """

    merger: str
    waiting: dict[int, protocol.SubQuery]
    gathers: bool
    unwanted: set[int] = dataclasses.field(default_factory=set)
    has_reported: bool = False
    is_broken: bool = False
    task: asyncio.Task | None = None


@dataclasses.dataclass(slots=True)
class Flight:
    """One request that has no outcome yet.

    ``ways`` says through whom its targets are asked, None if each is asked
    directly.  ``parts`` is what has come of a search, ``replies`` whole
    answers by attempt, one of which may be passed on.
    """

    plan: _route_plans.ForwardPlan
    scatter: _scatter.Scatter
    done: asyncio.Future
    trail: _request_log.Trail
    timer: timers.Subscription | None = None
    ways: _merge_ways.MergeWays | None = None
    armed_ms: float = math.inf
    parts: _collected_parts.CollectedParts = dataclasses.field(init=False)
    shard_of: dict[str, str] = dataclasses.field(default_factory=dict)
    orders: dict[str, OrderOut] = dataclasses.field(default_factory=dict)
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
class UnderWay:
    """A request that has no outcome yet, for the log.

    ``at`` are the targets that have it, and the daemons with orders for it;
    ``no_connection`` those for which it still waits for a connection.
    """

    request_id: str
    for_ms: float
    at: tuple[str, ...]
    no_connection: tuple[str, ...] = ()


def under_way(flight: Flight, now_ms: float) -> UnderWay:
    """Return what a flight waits for."""
    waited_for = [
        exchange
        for exchange in flight.exchanges.values()
        if not exchange.lingers
    ]
    at = {row.target for row in waited_for if row.has_gone_out}
    at.update(out.merger for out in flight.orders.values() if out.waiting)
    unsent = {row.target for row in waited_for if not row.has_gone_out}
    return UnderWay(
        flight.plan.request.request_id,
        round(now_ms - flight.trail.started_ms, 1),
        tuple(sorted(at)),
        tuple(sorted(unsent)),
    )


def outcome_of(
    flight: Flight, finish: _scatter_types.Finish, now_ms: float
) -> protocol.ForwardOutcome:
    """Return what the caller is told at the end of a flight.

    Parameters
    ----------
    flight, finish
        The request, and how its scatter ended.
    now_ms
        A request that is still unanswered at its deadline has timed out.
    """
    plan = flight.plan
    outcome = finish.outcome
    if isinstance(outcome, protocol.Answered | protocol.Partial):
        if not plan.is_gather:
            accepted = finish.accepted[0].attempt_id
            return protocol.Passed(flight.replies[accepted].reply)
        receipts = flight.parts.receipts()
        return protocol.Gathered(
            receipts,
            len(plan.services) - len(receipts),
            flight.parts.body(),
        )
    if isinstance(outcome, protocol.NotRun):
        return outcome
    if flight.failure is not None and not plan.is_gather:
        return protocol.Passed(flight.failure.reply)
    if now_ms >= plan.scatter.deadline_at_ms:
        return protocol.TimedOut(outcome.detail)
    return outcome


def answer_to(
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
