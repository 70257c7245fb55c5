"""What must hold of a run, judged from callers' and targets' side."""

import collections
import dataclasses
import math
import signal
import typing

RECORD_BYTES = 16
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run and never will."""

_STOP_SIGNAL_STATUSES = frozenset({-signal.SIGTERM, -signal.SIGHUP})
"""Exit statuses of a process that ends by a signal which a stop sends."""

_SINGLE_TARGET_KINDS = frozenset({'probe'})
"""Kinds whose routes allow one target only."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRecord:
    """One request as its caller saw it; status 0 for no whole answer.

    ``start`` counts the starts of its daemon; times are of one clock.
    ``version`` is the configuration that adds the route of a probe,
    ``pipeline_index`` how many requests were sent before it without a wait.
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
    """A daemon got some ``signals`` to stop, and ended with a status.

    ``ready`` is False if it was still starting at the first of them.
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
    """A target began a request."""

    request_id: str
    target: str

    @property
    def service(self) -> str:
        """The service of the target."""
        return self.target.rpartition('-')[0]


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """All that was seen in a run.

    ``records`` are those of each service's targets, ``shards`` the services
    that a search asks, ``killed`` the starts of daemons that were killed,
    ``logged`` the requests that the log of each daemon tells of.
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


def check_at_most_once(history: History) -> list[str]:
    """A payment runs at most once."""
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
    """What was refused as not run has not run."""
    began = {run.request_id for run in history.executions}
    return [
        f'{row.request_id}: got status {row.status}, but it ran'
        for row in history.requests
        if row.status in NOT_RUN_STATUSES and row.request_id in began
    ]


def check_own_answer(history: History) -> list[str]:
    """A success is the whole answer of targets that ran this request."""
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
    least = math.ceil(history.least_share * len(history.shards) - 1e-6)
    if len(services) < least:
        yield f'got {len(services)} parts, expected at least {least}'
    if row.body != _expected_body(services, history):
        yield 'got a body that is not the greatest records of its parts'


def _expected_body(services: list[str], history: History) -> bytes:
    every = b''.join(history.records[service] for service in services)
    rows = [
        every[at : at + RECORD_BYTES]
        for at in range(0, len(every), RECORD_BYTES)
    ]
    return b''.join(sorted(rows, reverse=True)[: history.top])


def check_attempts(history: History) -> list[str]:
    """No more targets of a service run a request than its route allows."""
    alone = {
        row.request_id
        for row in history.requests
        if row.kind in _SINGLE_TARGET_KINDS
    }
    targets = collections.defaultdict(set)
    for run in history.executions:
        targets[run.request_id, run.service].add(run.target)
    return [
        f'{request_id}: got {len(found)} targets of {service}, expected at '
        f'most {1 if request_id in alone else history.attempts}'
        for (request_id, service), found in targets.items()
        if len(found) > (1 if request_id in alone else history.attempts)
    ]


def check_routes(history: History) -> list[str]:
    """Every route was configured all the time: none is unknown."""
    return [
        f'{row.request_id}: got 404, its route is in every version'
        for row in history.requests
        if row.status == 404 and row.kind != 'probe'
    ]


def check_answered(history: History) -> list[str]:
    """What a daemon has read or a target begun is answered to its caller.

    Callers do not leave, so that only the kill of the daemon that was asked
    excuses it.  A stop does not, whatever the targets and the other daemons
    do: what is open at its end is answered as unknown, or refused.
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
    """Return what ended without answer at a daemon that was not killed."""
    return [
        row
        for row in history.requests
        if row.status == 0 and (row.daemon, row.start) not in history.killed
    ]


def check_refused(history: History) -> list[str]:
    """What a daemon had before its stop began is answered or refused.

    Whether its log tells of it or not.  One that is sent later may cross
    the close, and one behind another is told by the other's answer that its
    connection ends.  A daemon that was not ready has not read what waits
    for it.
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
    """A stop ends with status 0.

    A signal of the stop may find a program that handles none yet, or none
    any more; any other end is a crash.
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
    """A daemon that has served a new route does not forget it.

    Routes are only added, so a later refusal as unknown can only come from
    an older version.
    """
    known: dict[tuple[str, int], list[tuple[float, int]]] = {}
    wrong = []
    probes = [row for row in history.requests if row.kind == 'probe']
    for row in sorted(probes, key=lambda row: row.ended_s):
        place = (row.daemon, row.start)
        seen = known.setdefault(place, [])
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


CHECKS: typing.Mapping[str, typing.Callable[[History], list[str]]] = {
    'at most once': check_at_most_once,
    'not run is true': check_not_run,
    'own whole answer': check_own_answer,
    'attempts': check_attempts,
    'routes': check_routes,
    'stops cut nothing': check_answered,
    'stops refuse by word': check_refused,
    'stops end in order': check_exits,
    'versions never go back': check_versions,
}
