"""What must hold of a run, judged from callers' and targets' side."""

import collections
import dataclasses
import math
import typing

RECORD_BYTES = 16
PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run and never will."""


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """One request as its caller saw it; status 0 for no whole answer.

    ``start`` counts the starts of its daemon; times are of one clock.
    ``version`` is the configuration that adds the route of a probe.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """A daemon was asked to stop, and was gone by itself."""

    daemon: str
    start: int
    from_s: float
    to_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
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
    that a search asks.
    """

    asked: tuple[Asked, ...]
    runs: tuple[Run, ...]
    shards: tuple[str, ...]
    records: typing.Mapping[str, bytes]
    least_share: float
    top: int
    attempts: int
    stops: tuple[Stop, ...] = ()


def check_at_most_once(history: History) -> list[str]:
    """A payment runs at most once."""
    payments = {row.request_id for row in history.asked if row.kind == 'pay'}
    counts = collections.Counter(
        run.request_id for run in history.runs if run.request_id in payments
    )
    return [
        f'{request_id}: got {count} runs, expected at most one'
        for request_id, count in counts.items()
        if count > 1
    ]


def check_not_run(history: History) -> list[str]:
    """What was refused as not run has not run."""
    began = {run.request_id for run in history.runs}
    return [
        f'{row.request_id}: got status {row.status}, but it ran'
        for row in history.asked
        if row.kind == 'pay'
        and row.status in PROMISES
        and row.request_id in began
    ]


def check_own_answer(history: History) -> list[str]:
    """A success is the whole answer of targets that ran this request."""
    return [
        f'{row.request_id}: {problem}'
        for row in history.asked
        if row.status == 200
        for problem in _problems_of(row, history)
    ]


def _problems_of(row: Asked, history: History) -> typing.Iterator[str]:
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
    if row.body != _merged(services, history):
        yield 'got a body that is not the greatest records of its parts'


def _merged(services: list[str], history: History) -> bytes:
    every = b''.join(history.records[service] for service in services)
    rows = [
        every[at : at + RECORD_BYTES]
        for at in range(0, len(every), RECORD_BYTES)
    ]
    return b''.join(sorted(rows, reverse=True)[: history.top])


def check_attempts(history: History) -> list[str]:
    """No more targets of a service run a request than its route allows."""
    targets = collections.defaultdict(set)
    for run in history.runs:
        targets[run.request_id, run.service].add(run.target)
    return [
        f'{request_id}: got {len(found)} targets of {service}, expected at '
        f'most {history.attempts}'
        for (request_id, service), found in targets.items()
        if len(found) > history.attempts
    ]


def check_routes(history: History) -> list[str]:
    """Every route was configured all the time: none is unknown."""
    return [
        f'{row.request_id}: got 404, its route is in every version'
        for row in history.asked
        if row.status == 404 and row.kind != 'probe'
    ]


def check_stops(history: History) -> list[str]:
    """A graceful stop cuts no request that a target has begun."""
    began = {run.request_id for run in history.runs}
    cut = [
        row
        for row in history.asked
        if row.status == 0 and row.request_id in began
    ]
    return [
        f'{row.request_id}: got no answer of {stop.daemon}, which was stopping'
        for stop in history.stops
        for row in cut
        if (row.daemon, row.start) == (stop.daemon, stop.start)
        and stop.from_s <= row.ended_s <= stop.to_s
    ]


def check_versions(history: History) -> list[str]:
    """A daemon that has served a new route does not forget it.

    Routes are only added, so a later refusal as unknown can only come from
    an older version.
    """
    known: dict[tuple[str, int], list[tuple[float, int]]] = {}
    wrong = []
    probes = [row for row in history.asked if row.kind == 'probe']
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
    'stops cut nothing': check_stops,
    'versions never go back': check_versions,
}
