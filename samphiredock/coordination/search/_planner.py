"""Turns a caller's search request into a plan over one snapshot."""

import dataclasses
import math

from returns import result
import xxhash

from samphiredock import protocol
from samphiredock import state


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Everything about one search that is fixed when it starts.

    Times that end in ``_at_ms`` and ``_by_ms`` are on the monotonic clock.

    Parameters
    ----------
    terms
        Field names and the values searched for.
    limit
        The largest number of records in the answer.
    fingerprint
        Identifies the request content; see :func:`fingerprint_of`.
    answer_by_ms
        From then on, an answer that reaches the search's least coverage is
        returned even if shards are missing.
    max_attempts_per_shard
        How many targets may run the search for one shard; 0 for any number.
    repeatable
        Whether another target may be queried after one may have begun.
    may_restart
        Whether the search may start over on a newer snapshot.
    initial_hedge_delay_ms
        The hedge delay while no latencies are known; None for a share of
        the search's deadline.
    uses_orders
        Whether attempts are sent as merge orders, unless this daemon queries
        the target itself.  A merge order asks another daemon to query
        targets and to merge their answers.
    age_ms
        How long ago a daemon received the request, infinite if unknown.
    """

    query_id: str
    service: str
    site: str
    search: state.Search
    terms: dict[str, str]
    limit: int
    fingerprint: str
    snapshot: state.Snapshot
    deadline_at_ms: float
    answer_by_ms: float = math.inf
    max_attempts_per_shard: int = 0
    repeatable: bool = True
    may_restart: bool = True
    initial_hedge_delay_ms: float | None = None
    uses_orders: bool = False
    age_ms: float = 0.0

    @property
    def shards(self) -> list[state.Shard]:
        """The shards of the search's index in the plan's snapshot."""
        return self.snapshot.indexes[self.search.index].shards


def fingerprint_of(service: str, name: str, terms: dict[str, str]) -> str:
    """Return a digest of the request content: service, search and terms."""
    text = '\0'.join(
        [service, name, *(f'{key}\1{terms[key]}' for key in sorted(terms))]
    )
    return xxhash.xxh64_hexdigest(text.encode())


def make_plan(
    request: protocol.SearchRequest,
    configuration: state.Configuration,
    snapshot: state.Snapshot | None,
    query_id: str,
    site: str,
    now_ms: float,
) -> result.Result[Plan, protocol.NotRun]:
    """Validate a search request and plan it over one snapshot.

    A failure holds the reason why the search cannot run.
    """
    found = _find_search(request, configuration)
    if isinstance(found, result.Failure):
        return found
    search = found.unwrap()
    problem = _find_problem(request, search, configuration.limits)
    if problem:
        return _refused(protocol.NotRunReason.BAD_REQUEST, problem)
    chosen = _choose_snapshot(request, search, snapshot)
    if isinstance(chosen, result.Failure):
        return chosen
    deadline_ms = (
        search.deadline_ms
        if request.deadline_ms is None
        else request.deadline_ms
    )
    limit = search.limit if request.limit is None else request.limit
    return result.Success(
        Plan(
            query_id,
            request.service,
            site,
            search,
            request.terms,
            min(limit, search.limit),
            fingerprint_of(request.service, request.search, request.terms),
            chosen.unwrap(),
            now_ms + deadline_ms,
        )
    )


def _find_search(
    request: protocol.SearchRequest, configuration: state.Configuration
) -> result.Result[state.Search, protocol.NotRun]:
    service = configuration.services.get(request.service)
    if service is None:
        return _refused(
            protocol.NotRunReason.UNKNOWN_SERVICE,
            f'got service {request.service!r}, expected a configured one',
        )
    search = service.searches.get(request.search)
    if search is None:
        return _refused(
            protocol.NotRunReason.UNKNOWN_SEARCH,
            f'got search {request.search!r}, '
            f'expected one of {sorted(service.searches)}',
        )
    return result.Success(search)


def _choose_snapshot(
    request: protocol.SearchRequest,
    search: state.Search,
    snapshot: state.Snapshot | None,
) -> result.Result[state.Snapshot, protocol.NotRun]:
    """Return ``snapshot`` if it is new enough and has the index."""
    wanted = request.at_least_snapshot
    if snapshot is None or snapshot.snapshot_id < wanted:
        held = snapshot.snapshot_id if snapshot else None
        return _refused(
            protocol.NotRunReason.NO_SNAPSHOT,
            f'got snapshot {held}, expected snapshot {wanted} or later',
            retry_after_ms=500,
        )
    if search.index not in snapshot.indexes:
        return _refused(
            protocol.NotRunReason.NO_SNAPSHOT,
            f'got snapshot {snapshot.snapshot_id}, '
            f'expected one with index {search.index}',
            retry_after_ms=500,
        )
    return result.Success(snapshot)


def _find_problem(
    request: protocol.SearchRequest,
    search: state.Search,
    limits: state.Limits,
) -> str:
    """Return what is wrong with the request, an empty text if nothing."""
    if request.deadline_ms is not None and not (
        0 < request.deadline_ms <= limits.deadline_limit_ms
    ):
        return (
            f'deadline_ms: got {request.deadline_ms}, '
            f'expected 1 to {limits.deadline_limit_ms}'
        )
    if request.limit is not None and request.limit < 1:
        return f'limit: got {request.limit}, expected 1 or more'
    if len(request.terms) > limits.terms_limit:
        return (
            f'terms: got {len(request.terms)}, '
            f'expected at most {limits.terms_limit}'
        )
    unknown = sorted(set(request.terms) - set(search.fields))
    if search.fields and unknown:
        return f'terms: got {unknown}, expected some of {search.fields}'
    return ''


def _refused(
    reason: protocol.NotRunReason, detail: str, retry_after_ms: int = 0
) -> result.Failure[protocol.NotRun]:
    return result.Failure(protocol.NotRun(reason, detail, retry_after_ms))
