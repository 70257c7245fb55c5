"""Turn a request that is passed on into the plan of a scatter.

A route to one service is a scatter over one shard whose replicas are the
service's targets; a route to many has one shard a service.  Each shard
stands for an equal part of the key space, so that coverage is the share of
the shards that answered.
"""

import dataclasses
import math
import typing

from samphiredock.coordination.search import _planner
from samphiredock import protocol
from samphiredock import state

MERGE_MS = 4.0
"""What is left for the merge and the way to the socket when an answer is
due: 20 parts merge in about 1 ms, the rest is for a busy loop."""


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardPlan:
    """What one passed-on request is, fixed when it comes.

    ``key_ranges`` are those of the shards, by service.
    """

    request: protocol.ForwardRequest
    route: state.Route
    services: tuple[str, ...]
    scatter: _planner.Plan
    key_ranges: typing.Mapping[str, protocol.KeyRange]

    @property
    def is_gather(self) -> bool:
        """Whether the answers of several services are merged."""
        return bool(self.route.shards)


def shards_of(
    services: tuple[str, ...], targets: dict[str, list[str]]
) -> list[state.Shard]:
    """Return equal parts of the key space, one a service."""
    count = len(services)
    bounds = [state.KEY_SPACE_SIZE * at // count for at in range(count + 1)]
    return [
        state.Shard(
            service,
            protocol.KeyRange(bounds[at], bounds[at + 1]),
            targets[service],
        )
        for at, service in enumerate(services)
    ]


def least_shards(route: state.Route) -> int:
    """Return how many shards an answer needs at least."""
    # 0.85 * 20 is 17.000000000000004 in floating point.
    return max(1, math.ceil(route.least_share * len(route.shards) - 1e-6))


def make_forward_plan(
    request: protocol.ForwardRequest,
    route: state.Route,
    version: int,
    services: tuple[str, ...],
    targets: dict[str, list[str]],
    query_id: str,
    site: str,
    now_ms: float,
    caller_way_ms: float,
    first_hedge_ms: float,
) -> ForwardPlan:
    """Fix deadline, shards and least coverage of one request.

    Parameters
    ----------
    services, targets
        The services to ask, and the targets of each.
    caller_way_ms
        What the caller has spent of the route's aim, and the way back
        to it will take.
    first_hedge_ms
        When to hedge while no latencies are known.
    """
    limit_ms = route.timeout_ms
    if request.deadline_ms is not None:
        limit_ms = min(limit_ms, request.deadline_ms)
    answer_by_ms = math.inf
    least = 1.0
    if route.shards:
        answer_by_ms = now_ms + route.aim_ms - caller_way_ms - MERGE_MS
        # Half a shard less: the parts of the key space are rounded.
        least = (least_shards(route) - 0.5) / len(services)
    shards = shards_of(services, targets)
    snapshot = state.Snapshot(
        version, {route.name: state.IndexSnapshot(version, shards)}
    )
    search = state.Search(
        route.name,
        route.name,
        int(limit_ms),
        least,
        state.REQUEST_CLASSES[0],
        False,
        state.MergeKind.BY_KEY,
        route.top,
    )
    plan = _planner.Plan(
        query_id,
        route.name,
        site,
        search,
        {},
        route.top,
        request.request_id,
        snapshot,
        now_ms + limit_ms,
        answer_by_ms,
        route.attempts,
        route.repeatable,
        may_restart=False,
        initial_hedge_delay_ms=first_hedge_ms,
        uses_orders=bool(route.shards),
    )
    key_ranges = {shard.shard_id: shard.key_range for shard in shards}
    return ForwardPlan(request, route, services, plan, key_ranges)


def merge_parts(bodies: list[bytes], top: int, floor: bytes = b'') -> bytes:
    """Return the greatest ``top`` records of all parts, greatest first.

    A remainder shorter than a record is none.  Equal records all count.
    Those that are not greater than ``floor`` are left out.
    """
    size = state.RECORD_BYTES
    records = [
        body[at : at + size]
        for body in bodies
        for at in range(0, len(body) - size + 1, size)
    ]
    if floor:
        records = [record for record in records if record > floor]
    records.sort(reverse=True)
    return b''.join(records[:top])
