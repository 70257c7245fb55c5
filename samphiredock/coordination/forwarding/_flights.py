"""One request that is passed on, from its plan to what its caller is told."""

import asyncio
import dataclasses
import math

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
class Flight:
    """One request that has no outcome yet."""

    plan: _route_plans.ForwardPlan
    scatter: _scatter.Scatter
    done: asyncio.Future
    trail: _request_log.Trail
    timer: timers.Subscription | None = None
    armed_ms: float = math.inf
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
        parts = [flight.replies[row.attempt_id] for row in finish.accepted]
        if not plan.is_gather:
            return protocol.Passed(parts[0].reply)
        return protocol.Gathered(
            tuple(part.receipt or '' for part in parts),
            len(plan.services) - len(parts),
            _route_plans.merge_parts(
                [part.reply.body for part in parts], plan.route.top
            ),
        )
    if isinstance(outcome, protocol.NotRun):
        return outcome
    if flight.failure is not None and not plan.is_gather:
        return protocol.Passed(flight.failure.reply)
    if now_ms >= plan.scatter.deadline_at_ms:
        return protocol.TimedOut(outcome.detail)
    return outcome
