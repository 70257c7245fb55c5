"""The history that a run of real processes records, and its checkers.

Each checker is a pure function over the recorded history. It returns the
violations it found and how many operations it judged, since a run in which
faults left nothing to judge must not pass.
"""

import collections
import dataclasses
import typing

from standins import data

_EPSILON = 1e-9


@dataclasses.dataclass(frozen=True)
class Call:
    """One request of a caller and its answer.

    ``kind`` is ``'search'`` or ``'run'``, ``name`` the search or operation.
    ``status`` and ``outcome`` are None if the connection broke or the caller
    stopped waiting.
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
        """The outcome's tag, ``'none'`` without an answer."""
        return self.outcome['type'] if self.outcome else 'none'


@dataclasses.dataclass(frozen=True)
class Execution:
    """One request or sub-request that a target began."""

    target: str
    kind: str
    attempt_id: str
    idempotency_key: str
    started_ms: float


@dataclasses.dataclass(frozen=True)
class RevisionSample:
    """The revision that one process of a daemon had in force at a time."""

    daemon: str
    incarnation: int
    at_ms: float
    revision: int
    ready: bool


@dataclasses.dataclass(frozen=True)
class AcceptedChange:
    """A configuration change that was answered as accepted."""

    revision: int
    at_ms: float


@dataclasses.dataclass(frozen=True)
class Verdict:
    """How many operations were judged, and the violations found."""

    judged: int
    violations: tuple[str, ...]


def check_at_most_once(
    calls: typing.Iterable[Call], executions: typing.Iterable[Execution]
) -> Verdict:
    """Check that no key is executed twice and all callers get one result."""
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
                violations.append(f'{key}: completed, but never executed')
    violations += [
        f'{key}: callers got different results {sorted(found)}'
        for key, found in results.items()
        if len(found) > 1
    ]
    return Verdict(judged, tuple(violations))


def check_not_run(
    calls: typing.Iterable[Call], executions: typing.Iterable[Execution]
) -> Verdict:
    """Check that a request answered "not run" was not executed.

    An execution needs a call of its key, sent before it, that was answered
    otherwise or not at all.
    """
    calls_by_key = collections.defaultdict(list)
    for call in calls:
        if call.kind == 'run':
            calls_by_key[call.idempotency_key].append(call)
    executed = collections.defaultdict(list)
    for execution in executions:
        if execution.kind == 'run':
            executed[execution.idempotency_key].append(execution)
    violations = []
    judged = 0
    for key, rows in calls_by_key.items():
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
                    f'{key}: answered "not run" but executed: {execution}, '
                    f'calls {rows}'
                )
    return Verdict(judged, tuple(violations))


def check_one_snapshot(
    calls: typing.Iterable[Call], versions: typing.Mapping[int, int]
) -> Verdict:
    """Check that every record of an answer was read at its snapshot.

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
    """Check that an answer holds every record of the ranges it covers, once.

    Of a range that is reported missing an answer may hold some records: a
    target that stopped early returns correct ones without covering its range.
    Answers that may exceed ``limit`` records are checked for coverage only.
    """
    violations = []
    judged = 0
    for call in answers(calls):
        judged += 1
        missing = [tuple(row) for row in call.outcome.get('missing', ())]
        if call.outcome_type == 'answered' and missing:
            violations.append(
                f'call {call.number}: answered whole, with missing ranges'
            )
        gap = sum(high - low for low, high in missing)
        stated = call.outcome['coverage']
        if abs(stated - (1 - gap / 2**32)) > 1e-6:
            violations.append(
                f'call {call.number}: coverage {stated}, missing {missing}'
            )
        expected = set(_expected_keys(index, call.terms, missing))
        matching = set(_expected_keys(index, call.terms, ()))
        found = [record['key'] for record in call.outcome['records']]
        lost = sorted(expected - set(found))[:3]
        extra = sorted(set(found) - matching)[:3]
        doubled = len(found) - len(set(found))
        if len(matching) <= limit and (lost or extra or doubled):
            violations.append(
                f'call {call.number}: {len(found)} records, '
                f'{len(expected)} expected; lost {lost}, extra {extra}, '
                f'{doubled} doubled'
            )
    return Verdict(judged, tuple(violations))


def check_matching_records(calls: typing.Iterable[Call]) -> Verdict:
    """Check that every record of an answer matches the caller's terms."""
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
    """Check that revisions only rise and are in force in time.

    A restarted daemon that is ready shows no older revision than before.
    ``excused(daemon, at_ms)`` tells whether a daemon was unreachable so
    recently that the time limit does not apply to it.
    """
    changes = list(accepted)
    highest: dict[tuple[str, int], int] = {}
    shown: dict[str, int] = {}
    violations = []
    judged = 0
    for sample in samples:
        judged += 1
        process = (sample.daemon, sample.incarnation)
        before = highest.get(process, 0)
        if sample.revision < before:
            violations.append(f'{sample} after revision {before}')
        highest[process] = max(before, sample.revision)
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

    Daemons that were unreachable at the time of the change, or not sampled
    after it, are left out.
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
    """Check that a draining target begins nothing after the grace period.

    ``left_at_ms`` gives when each target began to drain.
    """
    violations = []
    judged = 0
    for execution in executions:
        left_ms = left_at_ms.get(execution.target)
        if left_ms is None:
            continue
        judged += 1
        late_ms = execution.started_ms - left_ms
        if late_ms > grace_ms:
            violations.append(
                f'{execution}: {late_ms:.0f} ms after the drain began'
            )
    return Verdict(judged, tuple(violations))


def check_all_answered(calls: typing.Iterable[Call]) -> Verdict:
    """Check that every request was answered by a daemon.

    The balancer's own 502 and 503 have no outcome and count as unanswered.
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
