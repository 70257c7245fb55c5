"""One request that is passed on, from its plan to what its caller is told."""

import asyncio
import dataclasses
import math
import typing

from samphiredock.coordination.forwarding import _merge_ways
from samphiredock.coordination.forwarding import _request_log
from samphiredock.coordination.forwarding import _route_plans
from samphiredock.coordination.search import _scatter
from samphiredock.coordination.search import _scatter_types
from samphiredock import protocol
from samphiredock import timers


@dataclasses.dataclass(slots=True)
class Exchange:
    """One exchange with a target; ``lingers`` after nobody needs it."""

    target: str
    sent_ms: float
    task: asyncio.Task | None = None
    lingers: bool = False


@dataclasses.dataclass(slots=True)
class OrderOut:
    """An order that has not ended.

    ``waiting`` are the attempts that no report has named, ``unwanted``
    those whose end is of no use any more.
    """

    merger: str
    waiting: dict[int, protocol.SubQuery]
    unwanted: set[int] = dataclasses.field(default_factory=set)
    has_reported: bool = False
    task: asyncio.Task | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class MergedPart:
    """Several shards' parts as one; ``receipts`` by shard."""

    receipts: typing.Mapping[str, str]
    records: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class OwnPart:
    """The part of one shard."""

    receipt: str
    body: bytes


@dataclasses.dataclass(slots=True)
class Flight:
    """One request that has no outcome yet.

    ``ways`` says through whom its targets are asked, None if each is asked
    directly.  ``parts`` are what came of attempts alone, by attempt, and
    ``replies`` whole answers that may be passed on.
    """

    plan: _route_plans.ForwardPlan
    scatter: _scatter.Scatter
    done: asyncio.Future
    trail: _request_log.Trail
    timer: timers.Subscription | None = None
    ways: _merge_ways.MergeWays | None = None
    armed_ms: float = math.inf
    parts: dict[str, OwnPart] = dataclasses.field(default_factory=dict)
    merged: list[MergedPart] = dataclasses.field(default_factory=list)
    shard_of: dict[str, str] = dataclasses.field(default_factory=dict)
    orders: dict[str, OrderOut] = dataclasses.field(default_factory=dict)
    replies: dict[str, protocol.TargetReply] = dataclasses.field(
        default_factory=dict
    )
    failure: protocol.TargetReply | None = None
    asked: set[str] = dataclasses.field(default_factory=set)
    answered: set[str] = dataclasses.field(default_factory=set)
    exchanges: dict[str, Exchange] = dataclasses.field(default_factory=dict)

    def unanswered(self) -> list[str]:
        """Return the services that gave no answer."""
        return [
            name for name in self.plan.services if name not in self.answered
        ]


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
        accepted = [row.attempt_id for row in finish.accepted]
        if not plan.is_gather:
            return protocol.Passed(flight.replies[accepted[0]].reply)
        return _gathered(flight, accepted)
    if isinstance(outcome, protocol.NotRun):
        return outcome
    if flight.failure is not None and not plan.is_gather:
        return protocol.Passed(flight.failure.reply)
    if now_ms >= plan.scatter.deadline_at_ms:
        return protocol.TimedOut(outcome.detail)
    return outcome


def _gathered(flight: Flight, accepted: list[str]) -> protocol.Gathered:
    """Merge the parts; a shard that is in a merged part is taken from it.

    Its records cannot be taken out there, and a hedge that was answered as
    well would bring them a second time.
    """
    plan = flight.plan
    receipts: dict[str, str] = {}
    bodies = []
    for merged in flight.merged:
        receipts.update(merged.receipts)
        bodies.append(merged.records)
    for attempt_id in accepted:
        shard = flight.shard_of[attempt_id]
        if shard not in receipts:
            part = flight.parts[attempt_id]
            receipts[shard] = part.receipt
            bodies.append(part.body)
    return protocol.Gathered(
        tuple(receipts.values()),
        len(plan.services) - len(receipts),
        _route_plans.merge_parts(bodies, plan.route.top),
    )
