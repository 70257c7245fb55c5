"""Checks of a soak run, by what callers and targets observed."""

import collections
import dataclasses
import math
import signal
import typing

from standins import memory_fleet

RECORD_BYTES = 16
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses which state that a request has not run and never will."""

_STOP_SIGNAL_STATUSES = frozenset({-signal.SIGTERM, -signal.SIGHUP})
"""Exit statuses of a process that one of the stop signals killed."""

_SINGLE_TARGET_KINDS = frozenset({'probe'})
"""Kinds of request whose routes allow a single target."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRecord:
    """One request as its caller saw it.

    ``status`` is 0 if there was no complete response.  ``start`` is the
    number of the daemon's start.  Times are in seconds of the event loop's
    clock.  ``version`` is the configuration version that adds the route of a
    probe.  ``pipeline_index`` is the number of requests sent before this one
    in the same round.
    """

    kind: str
    request_id: str
    status: int
    receipts: tuple[str, ...] = ()
    missing: int = 0
    body: bytes = b''
    daemon: str = ''
    start: int = 0
    sent_s: float = 0.0
    ended_s: float = 0.0
    version: int = 0
    pipeline_index: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """One stop of a daemon.

    ``signals`` is the number of signals sent, ``status`` the exit status.
    ``ready`` is False if the daemon was still starting at the first signal.
    """

    daemon: str
    start: int
    from_s: float
    to_s: float
    status: int = 0
    signals: int = 1
    ready: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """One target began to run a request."""

    request_id: str
    target: str

    @property
    def service(self) -> str:
        """The service of the target."""
        return self.target.rpartition('-')[0]


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """Everything observed in a run.

    ``shards`` are the services that a search is sent to, ``records`` the
    concatenated records of each service, ``top`` the number of records that
    a search returns, ``least_share`` the least share of shards that must
    answer it, and
    ``attempts`` the number of targets that a route allows.  ``killed`` holds
    the daemon starts that ended by SIGKILL, as ``(daemon, start)``, and
    ``logged`` the ids of the requests in each daemon's log.
    ``arrivals`` holds the time in ms, the service and the id of each request
    that reached a target.  ``budget`` are the ratio, the slack and the length
    in ms of the windows of the retry budget.
    """

    requests: tuple[RequestRecord, ...]
    executions: tuple[Execution, ...]
    shards: tuple[str, ...]
    records: typing.Mapping[str, bytes]
    least_share: float
    top: int
    attempts: int
    stops: tuple[Stop, ...] = ()
    killed: frozenset[tuple[str, int]] = frozenset()
    logged: typing.Mapping[str, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )
    arrivals: tuple[tuple[float, str, str], ...] = ()
    budget: tuple[float, float, float] = (0.0, math.inf, 1.0)


def check_at_most_once(history: History) -> list[str]:
    """Return the payments that ran more than once."""
    payments = {
        row.request_id for row in history.requests if row.kind == 'pay'
    }
    counts = collections.Counter(
        run.request_id
        for run in history.executions
        if run.request_id in payments
    )
    return [
        f'{request_id}: got {count} runs, expected at most one'
        for request_id, count in counts.items()
        if count > 1
    ]


def check_not_run(history: History) -> list[str]:
    """Return the requests that ran although they were refused as not run."""
    began = {run.request_id for run in history.executions}
    return [
        f'{row.request_id}: got status {row.status}, but it ran'
        for row in history.requests
        if row.status in NOT_RUN_STATUSES and row.request_id in began
    ]


def check_own_answer(history: History) -> list[str]:
    """Return the successes with a wrong, partial or foreign answer."""
    return [
        f'{row.request_id}: {problem}'
        for row in history.requests
        if row.status == 200
        for problem in _problems_of(row, history)
    ]


def _problems_of(row: RequestRecord, history: History) -> typing.Iterator[str]:
    parts = [receipt.rpartition('.') for receipt in row.receipts]
    if any(request_id != row.request_id for request_id, _, _ in parts):
        yield f'got receipts {row.receipts[:3]}, expected its own'
        return
    services = [target.rpartition('-')[0] for _, _, target in parts]
    if row.kind != 'search':
        if len(services) != 1 or row.body != history.records[services[0]]:
            yield 'got another body than its target sent'
        return
    if len(set(services)) != len(services):
        yield f'got a shard twice in {services}'
    if len(services) + row.missing != len(history.shards):
        yield f'got {len(services)} parts and {row.missing} missing'
    least_parts = math.ceil(history.least_share * len(history.shards) - 1e-6)
    if len(services) < least_parts:
        yield f'got {len(services)} parts, expected at least {least_parts}'
    if row.body != _expected_body(services, history):
        yield 'got a body that is not the greatest records of its parts'


def _expected_body(services: list[str], history: History) -> bytes:
    all_records = b''.join(history.records[service] for service in services)
    rows = [
        all_records[at : at + RECORD_BYTES]
        for at in range(0, len(all_records), RECORD_BYTES)
    ]
    return b''.join(sorted(rows, reverse=True)[: history.top])


def check_attempts(history: History) -> list[str]:
    """Return the requests that ran at more targets than their route allows."""
    single_target_ids = {
        row.request_id
        for row in history.requests
        if row.kind in _SINGLE_TARGET_KINDS
    }
    targets = collections.defaultdict(set)
    for run in history.executions:
        targets[run.request_id, run.service].add(run.target)
    return [
        f'{request_id}: got {len(found)} targets of {service}, expected at '
        f'most {1 if request_id in single_target_ids else history.attempts}'
        for (request_id, service), found in targets.items()
        if len(found)
        > (1 if request_id in single_target_ids else history.attempts)
    ]


def check_routes(history: History) -> list[str]:
    """Return the 404s for routes that every configuration version has.

    Only the routes of probes are added during a run.
    """
    return [
        f'{row.request_id}: got 404, its route is in every version'
        for row in history.requests
        if row.status == 404 and row.kind != 'probe'
    ]


def check_answered(history: History) -> list[str]:
    """Return the accepted requests that got no response.

    A request is accepted once its daemon has logged it or a target has begun
    it.  Callers wait for every response, so only SIGKILL of the daemon
    excuses a missing one.  A graceful stop does not: requests still pending
    at its end are answered as unknown, or refused.
    """
    began = {run.request_id for run in history.executions}
    return [
        f'{row.request_id}: got no answer of {row.daemon}, start {row.start}, '
        f'{row.ended_s - row.sent_s:.3f} s after it was sent'
        for row in _unanswered(history)
        if row.request_id in began
        or row.request_id in history.logged.get(row.daemon, ())
    ]


def _unanswered(history: History) -> list[RequestRecord]:
    """Return the requests without response at daemons that were not killed."""
    return [
        row
        for row in history.requests
        if row.status == 0 and (row.daemon, row.start) not in history.killed
    ]


def check_refused(history: History) -> list[str]:
    """Return the requests sent before a stop that got no response.

    These must be answered or refused whether or not the daemon logged them.
    Excused are requests sent after the stop began, which may cross the close
    of the connection, and pipelined requests after the first: an earlier
    response tells their caller that the connection closes.  So are requests
    to a daemon that was not ready, as it has not read them.
    """
    stops = {(stop.daemon, stop.start): stop for stop in history.stops}
    return [
        f'{row.request_id}: got no answer, its connection to {row.daemon}, '
        f'start {row.start}, ended {row.ended_s - stop.from_s:.3f} s after '
        f'the first of {stop.signals} signals'
        for row in _unanswered(history)
        if (stop := stops.get((row.daemon, row.start)))
        and stop.ready
        and row.sent_s < stop.from_s
        and not row.pipeline_index
    ]


def check_exits(history: History) -> list[str]:
    """Return the stops that did not exit with status 0.

    A stop signal may kill the process before its signal handlers are
    installed or after they are removed; any other exit status is a fault.
    """
    return [
        f'{stop.daemon}: got exit status {stop.status} after {stop.signals} '
        f'signals, expected 0'
        for stop in history.stops
        if stop.status and not _ends_by_signal(stop)
    ]


def _ends_by_signal(stop: Stop) -> bool:
    return stop.status in _STOP_SIGNAL_STATUSES and (
        stop.signals > 1 or not stop.ready
    )


def check_versions(history: History) -> list[str]:
    """Return the probes that show a daemon going back to an older version.

    Routes are only added, so a 404 for a route that the daemon has served
    before means that it uses an older configuration.
    """
    known: dict[tuple[str, int], list[tuple[float, int]]] = {}
    wrong = []
    probes = [row for row in history.requests if row.kind == 'probe']
    for row in sorted(probes, key=lambda row: row.ended_s):
        process = (row.daemon, row.start)
        seen = known.setdefault(process, [])
        newer = [
            version
            for at_s, version in seen
            if version >= row.version and at_s < row.sent_s
        ]
        if row.status == 404 and newer:
            wrong.append(
                f'{row.request_id}: got 404 of {row.daemon} for the route of '
                f'version {row.version}, it had served that of {max(newer)}'
            )
        if row.status == 200:
            seen.append((row.ended_s, row.version))
    return wrong


def check_retry_budget(history: History) -> list[str]:
    """Return the services that got more extra arrivals than allowed.

    Counts all daemons together, by the caller's request.
    """
    extra = collections.defaultdict(list)
    seen = set()
    for at_ms, service, request_id in sorted(history.arrivals):
        if (service, request_id) in seen:
            extra[service].append(at_ms)
        seen.add((service, request_id))
    wrong = []
    for service, times_ms in extra.items():
        is_shard = service in history.shards
        sent_ms = [
            row.sent_s * 1000.0
            for row in history.requests
            if (row.kind == 'search') == is_shard
        ]
        worst = memory_fleet.worst_window(
            service, times_ms, sent_ms, history.budget
        )
        if worst is not None and worst.extra > worst.allowed:
            wrong.append(
                f'{service}: got {worst.extra} extra arrivals in a window, '
                f'expected at most {worst.allowed:.1f}'
            )
    return wrong


CHECKS: typing.Mapping[str, typing.Callable[[History], list[str]]] = {
    'at most once': check_at_most_once,
    'not run is true': check_not_run,
    'own whole answer': check_own_answer,
    'attempts': check_attempts,
    'retry budget': check_retry_budget,
    'routes': check_routes,
    'stops cut nothing': check_answered,
    'stops refuse by word': check_refused,
    'stops end in order': check_exits,
    'versions never go back': check_versions,
}
