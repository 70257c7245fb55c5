"""Turns a forwarded request into the plan of a scatter.

A route to one service is a scatter over one shard whose replicas are the
service's targets; a route to several has one shard per service.  Each shard
stands for an equal part of the key space, so coverage is the share of the
shards that answered.
"""

import dataclasses
import math
import typing

from samphiredock.coordination.search import _planner
from samphiredock import protocol
from samphiredock import state

MERGE_RESERVE_MS = 4.0
"""Time reserved for the merge and the write to the socket before an answer is
due.  20 parts merge in about 1 ms; the rest is for a busy event loop."""


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardPlan:
    """The plan of one forwarded request, fixed when the request arrives.

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
    """Return one shard per service, each an equal part of the key space."""
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
    """Return the least number of shards that an answer needs."""
    # 0.55 * 100 is 55.00000000000001 in floating point.
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
    outside_ms: float,
    initial_hedge_delay_ms: float,
) -> ForwardPlan:
    """Return the plan of a request: deadline, shards and least coverage.

    Parameters
    ----------
    services, targets
        The services to ask, and the targets of each.
    outside_ms
        The part of the route's aim spent outside of this daemon: by the
        caller before its request came, on the network, and by a daemon that
        hands the request over.
    initial_hedge_delay_ms
        When to hedge while no latencies are known.
    """
    limit_ms = route.timeout_ms
    if request.deadline_ms is not None:
        limit_ms = min(limit_ms, request.deadline_ms)
    answer_by_ms = math.inf
    least = 1.0
    if route.shards:
        answer_by_ms = now_ms + route.aim_ms - outside_ms - MERGE_RESERVE_MS
        # Half a shard less, since the key ranges are rounded.
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
        initial_hedge_delay_ms=initial_hedge_delay_ms,
        uses_orders=bool(route.shards),
        age_ms=request.age_ms,
    )
    key_ranges = {shard.shard_id: shard.key_range for shard in shards}
    return ForwardPlan(request, route, services, plan, key_ranges)


def merge_parts(bodies: list[bytes], top: int, floor: bytes = b'') -> bytes:
    """Return the ``top`` greatest records of all parts, greatest first.

    Trailing bytes shorter than a record are ignored.  Equal records are all
    kept.  Records that are not greater than ``floor`` are left out.
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
