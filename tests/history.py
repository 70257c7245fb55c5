"""What a process run records, and the checkers that judge it.

Each checker is a pure function over the recorded history.  It returns how
many operations it judged and every violation in words, so that a run whose
faults kept it from judging anything cannot pass for a good one.
"""

import collections
import dataclasses
import typing

from standins import data

_EPSILON = 1e-9


@dataclasses.dataclass(frozen=True)
class Call:
    """One request of a caller and what came back.

    ``status`` and ``outcome`` are None when the connection broke or the
    caller stopped waiting.
    """

    number: int
    kind: str
    daemon: str
    name: str
    terms: typing.Mapping[str, str]
    idempotency_key: str
    invoked_ms: float
    answered_ms: float
    status: int | None
    outcome: typing.Mapping[str, typing.Any] | None

    @property
    def outcome_type(self) -> str:
        """The outcome's tag, ``none`` without an answer."""
        return self.outcome['type'] if self.outcome else 'none'


@dataclasses.dataclass(frozen=True)
class Execution:
    """One piece of work that a target began."""

    target: str
    kind: str
    attempt_id: str
    idempotency_key: str
    started_ms: float


@dataclasses.dataclass(frozen=True)
class RevisionSample:
    """The revision that one life of a daemon had in force at a time."""

    daemon: str
    incarnation: int
    at_ms: float
    revision: int
    ready: bool


@dataclasses.dataclass(frozen=True)
class AcceptedChange:
    """A configuration change that an operator was told is accepted."""

    revision: int
    at_ms: float


@dataclasses.dataclass(frozen=True)
class Verdict:
    """How many operations were judged, and what was wrong."""

    judged: int
    violations: tuple[str, ...]


def check_at_most_once(
    calls: typing.Iterable[Call], executions: typing.Iterable[Execution]
) -> Verdict:
    """No idempotency key is executed twice; repeats agree."""
    by_key = collections.defaultdict(list)
    for execution in executions:
        if execution.kind == 'run':
            by_key[execution.idempotency_key].append(execution)
    violations = [
        f'{key}: executed {len(rows)} times: {rows}'
        for key, rows in by_key.items()
        if len(rows) > 1
    ]
    results = collections.defaultdict(set)
    judged = 0
    for call in calls:
        if call.kind != 'run':
            continue
        judged += 1
        if call.outcome_type == 'completed':
            key = call.idempotency_key
            results[key].add(str(sorted(call.outcome['result'].items())))
            if key not in by_key:
                violations.append(f'{key}: completed, never executed')
    violations += [
        f'{key}: callers were told different results {sorted(told)}'
        for key, told in results.items()
        if len(told) > 1
    ]
    return Verdict(judged, tuple(violations))


def check_not_run(
    calls: typing.Iterable[Call], executions: typing.Iterable[Execution]
) -> Verdict:
    """A key whose every request was told "not run" was never executed."""
    told = collections.defaultdict(list)
    for call in calls:
        if call.kind == 'run':
            told[call.idempotency_key].append(call)
    executed = collections.defaultdict(list)
    for execution in executions:
        if execution.kind == 'run':
            executed[execution.idempotency_key].append(execution)
    violations = []
    judged = 0
    for key, rows in told.items():
        not_run = [row for row in rows if row.outcome_type == 'not-run']
        judged += len(not_run)
        others = [row for row in rows if row not in not_run]
        for execution in executed.get(key, ()):
            explained = any(
                row.invoked_ms <= execution.started_ms + _EPSILON
                for row in others
            )
            if not explained:
                violations.append(
                    f'{key}: told not run, yet executed: {execution}, '
                    f'calls {rows}'
                )
    return Verdict(judged, tuple(violations))


def check_one_snapshot(
    calls: typing.Iterable[Call], versions: typing.Mapping[int, int]
) -> Verdict:
    """Every record of an answer was read at the answer's snapshot.

    ``versions`` gives the index version of each published snapshot.
    """
    violations = []
    judged = 0
    for call in answers(calls):
        judged += 1
        expected = str(versions[call.outcome['snapshot_id']])
        read_at = {
            record['fields'][data.VERSION_FIELD]
            for record in call.outcome['records']
        }
        if read_at - {expected}:
            violations.append(
                f'call {call.number}: snapshot '
                f'{call.outcome["snapshot_id"]} has version {expected}, '
                f'records were read at {sorted(read_at)}'
            )
    return Verdict(judged, tuple(violations))


def check_coverage(
    calls: typing.Iterable[Call], index: str, limit: int
) -> Verdict:
    """An answer holds every record of the ranges it covers, each once.

    Of a range that it reports as missing it may hold some: a target that
    stopped early gives true records, and proves no coverage by them.
    """
    violations = []
    judged = 0
    for call in answers(calls):
        judged += 1
        missing = [tuple(row) for row in call.outcome.get('missing', ())]
        if call.outcome_type == 'answered' and missing:
            violations.append(f'call {call.number}: whole, yet missing')
        gap = sum(high - low for low, high in missing)
        stated = call.outcome['coverage']
        if abs(stated - (1 - gap / 2**32)) > 1e-6:
            violations.append(
                f'call {call.number}: coverage {stated}, missing {missing}'
            )
        expected = set(_expected_keys(index, call.terms, missing))
        there = set(_expected_keys(index, call.terms, ()))
        found = [record['key'] for record in call.outcome['records']]
        lost = sorted(expected - set(found))[:3]
        extra = sorted(set(found) - there)[:3]
        doubled = len(found) - len(set(found))
        if len(there) <= limit and (lost or extra or doubled):
            violations.append(
                f'call {call.number}: {len(found)} records, '
                f'{len(expected)} expected; lost {lost}, extra {extra}, '
                f'{doubled} doubled'
            )
    return Verdict(judged, tuple(violations))


def check_matching_records(calls: typing.Iterable[Call]) -> Verdict:
    """Every record of an answer matches the caller's own terms."""
    violations = []
    judged = 0
    for call in answers(calls):
        judged += 1
        for record in call.outcome['records']:
            wrong = {
                name: record['fields'].get(name)
                for name, value in call.terms.items()
                if record['fields'].get(name) != value
            }
            if wrong:
                violations.append(
                    f'call {call.number} asked {dict(call.terms)}, '
                    f'got {record["key"]} with {wrong}'
                )
                break
    return Verdict(judged, tuple(violations))


def check_revisions(
    samples: typing.Iterable[RevisionSample],
    accepted: typing.Iterable[AcceptedChange],
    in_force_within_ms: float,
    excused: typing.Callable[[str, float], bool],
) -> Verdict:
    """Revisions only rise, and an accepted one is soon in force.

    A daemon that was started again shows none older than before, once it
    is ready.
    ``excused(daemon, at_ms)`` tells whether a daemon was unreachable so
    shortly before that the time limit does not hold for it.
    """
    changes = list(accepted)
    highest: dict[tuple[str, int], int] = {}
    shown: dict[str, int] = {}
    violations = []
    judged = 0
    for sample in samples:
        judged += 1
        life = (sample.daemon, sample.incarnation)
        before = highest.get(life, 0)
        if sample.revision < before:
            violations.append(f'{sample} after revision {before}')
        highest[life] = max(before, sample.revision)
        if sample.ready:
            earlier = shown.get(sample.daemon, 0)
            if sample.revision < earlier and sample.revision >= before:
                violations.append(
                    f'{sample} after revision {earlier} of an earlier start'
                )
            shown[sample.daemon] = max(earlier, sample.revision)
        due = max(
            (
                change.revision
                for change in changes
                if change.at_ms + in_force_within_ms < sample.at_ms
            ),
            default=0,
        )
        late = sample.ready and sample.revision < due
        if late and not excused(sample.daemon, sample.at_ms):
            violations.append(f'{sample}: revision {due} should be in force')
    return Verdict(judged, tuple(violations))


def times_in_force_ms(
    samples: typing.Iterable[RevisionSample],
    accepted: typing.Iterable[AcceptedChange],
    excused: typing.Callable[[str, float], bool],
) -> list[float]:
    """Return how long each daemon took to show each accepted change.

    Daemons that were cut off at that time are left out, as are those that
    were not seen again.
    """
    by_daemon = collections.defaultdict(list)
    for sample in samples:
        by_daemon[sample.daemon].append(sample)
    times = []
    for change in accepted:
        for daemon, rows in by_daemon.items():
            if excused(daemon, change.at_ms):
                continue
            seen_ms = [
                row.at_ms
                for row in rows
                if row.revision >= change.revision
                and row.at_ms >= change.at_ms
            ]
            times += [min(seen_ms) - change.at_ms] if seen_ms else []
    return times


def check_draining_targets(
    executions: typing.Iterable[Execution],
    left_at_ms: typing.Mapping[str, float],
    grace_ms: float,
) -> Verdict:
    """A target that is leaving begins no work after the grace."""
    violations = []
    judged = 0
    for execution in executions:
        left_ms = left_at_ms.get(execution.target)
        if left_ms is None:
            continue
        judged += 1
        late_ms = execution.started_ms - left_ms
        if late_ms > grace_ms:
            violations.append(f'{execution}: {late_ms:.0f} ms after leaving')
    return Verdict(judged, tuple(violations))


def check_all_answered(calls: typing.Iterable[Call]) -> Verdict:
    """Every request got an answer from a daemon that speaks for itself.

    The balancer's own 502 and 503 have no outcome, so they count as cut.
    """
    rows = list(calls)
    violations = tuple(
        f'call {row.number} at {row.invoked_ms:.0f}: status {row.status}'
        for row in rows
        if row.outcome is None
    )
    return Verdict(len(rows), violations)


def answers(calls: typing.Iterable[Call]) -> typing.Iterator[Call]:
    """Yield the searches that were answered, whole or in part."""
    for call in calls:
        if call.outcome_type in ('answered', 'partial'):
            yield call


def _expected_keys(
    index: str,
    terms: typing.Mapping[str, str],
    missing: typing.Sequence[tuple[int, int]],
) -> list[str]:
    return [
        row.record.key
        for row in data.records(index)
        if all(row.record.fields[name] == terms[name] for name in terms)
        and not any(low <= row.place < high for low, high in missing)
    ]
