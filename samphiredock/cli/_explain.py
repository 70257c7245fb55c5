"""``samphiredock explain``: why a request ended as it did.

Reads the log lines of daemons that forward requests.  Events, field names and
values are those that the daemons log.
"""

import dataclasses
import json
import typing

import click

_Row = dict[str, typing.Any]

_UNANSWERED_COORDINATORS = ['coordinators']
"""The ``unanswered`` field in the log of a daemon that handed a request over.

Such a daemon waits for a coordinator and not for targets.
"""

_REFUSAL_REASONS = {
    'not-ready': 'the daemon had no routing table yet',
    'unknown-route': 'no route of the version in force fits its path',
    'routes-outdated': 'the daemon lacked its route, and could not know '
    'whether a newer routing table has it',
    'no-target': 'too few services had a target that could be reached',
    'overloaded': 'every target refused it as overloaded, or no retry budget '
    'was left',
    'quarantined': 'its content had crashed targets before',
}

_FAILURE_REASONS = {
    'broken': 'broke off the exchange or failed, and may have run it',
    'silent': 'gave no answer in time',
    'bad-answer': 'sent something that is not a complete answer to it',
    'unreachable': 'accepted no connection',
    'shed': 'refused it as overloaded',
    'not-owner': 'was not asked: another target answered at its address',
    'draining': 'was draining',
    'expired': 'had no time left for it',
    'not-ordered': 'was assigned to a daemon of its site, which did not '
    'ask it',
    'order-lost': 'was assigned to a daemon of its site, which was lost; '
    'the target may have run it',
}


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One log line.

    ``row`` is its JSON object.  ``source`` is the last word before the object,
    where log collectors add the name of the daemon.
    """

    source: str
    row: _Row

    @property
    def time(self) -> str:
        """When the event happened, by the daemon's clock, in ISO format."""
        return str(self.row.get('time', ''))

    @property
    def event(self) -> str:
        """The text of the event."""
        return str(self.row.get('event', ''))


def read_lines(texts: typing.Iterable[str]) -> list[LogLine]:
    """Return the log lines among lines of text.

    A line may have text before its JSON object.  Lines without a complete
    object are skipped: a log may begin or end in the middle of a line.
    """
    found = []
    for text in texts:
        before, brace, rest = text.partition('{')
        if not brace:
            continue
        try:
            row = json.loads(brace + rest)
        except ValueError:
            continue
        words = before.split()
        if isinstance(row, dict) and 'event' in row:
            found.append(LogLine(words[-1] if words else '', row))
    return found


def select_request_lines(
    lines: list[LogLine], request_id: str
) -> list[LogLine]:
    """Return the lines of a request from all daemons, sorted by time."""
    own_lines = [
        line for line in lines if line.row.get('request') == request_id
    ]
    return sorted(own_lines, key=lambda line: line.time)


def find_cause(lines: list[LogLine]) -> str:
    """Return a sentence that says why a request ended as it did."""
    ends = [line.row for line in lines if line.event == 'request ended']
    if not ends:
        return (
            "no line 'request ended' in these logs: "
            'a daemon or lines were lost'
        )
    # After a handover both daemons log an end; the coordinator's is preferred
    # because it names the targets.
    coordinator_ends = [
        row
        for row in ends
        if row.get('unanswered') != _UNANSWERED_COORDINATORS
    ]
    bad_ends = [
        row for row in [*coordinator_ends, *ends] if _is_failure_or_late(row)
    ]
    end = bad_ends[0] if bad_ends else ends[-1]
    failed = [line.row for line in lines if line.event == 'failed']
    return _EXPLAINERS[end['outcome']](end, failed) + _describe_late_orders(
        lines
    )


def _describe_late_orders(lines: list[LogLine]) -> str:
    """Return the daemons that did not report on their merge orders in time."""
    late_daemons = {
        str(line.row.get('by')) for line in lines if line.event == 'order late'
    }
    if not late_daemons:
        return ''
    return f'; nothing came in time from {", ".join(sorted(late_daemons))}'


def _is_failure_or_late(row: _Row) -> bool:
    return bool(
        row['outcome'] not in ('passed', 'gathered')
        or row.get('missing')
        or (row.get('status') or 200) >= 300
        or row['took_ms'] > row.get('aim_ms', row['took_ms'])
    )


def _describe_target_failures(failed: list[_Row]) -> str:
    texts = [
        f'target {row["target"]} of {row["shard"]} '
        f'{_FAILURE_REASONS.get(row["status"], row["status"])} '
        f'({row.get("why", "")})'
        for row in failed[:4]
    ]
    more = len(failed) - len(texts)
    return '; '.join(texts) + (f'; and {more} more' if more > 0 else '')


def _explain_refused(end: _Row, failed: list[_Row]) -> str:
    reason = _REFUSAL_REASONS.get(
        end.get('reason', ''), 'see the field "reason"'
    )
    return f'refused, and it has not run: {reason} ({end.get("why", "")})'


def _explain_not_run(end: _Row, failed: list[_Row]) -> str:
    return (
        f'not run: {end.get("why", "")}; {_describe_target_failures(failed)}'
    )


def _explain_unknown(end: _Row, failed: list[_Row]) -> str:
    return (
        'it may have run, and was not sent again: '
        + (_describe_target_failures(failed) or end.get('why', ''))
        + _describe_denied_attempts(end)
    )


def _explain_timed_out(end: _Row, failed: list[_Row]) -> str:
    unanswered = ', '.join(end.get('unanswered', []))
    return (
        f'no answer from {unanswered or "any target"} in {end["took_ms"]} ms'
        + (f'; {_describe_target_failures(failed)}' if failed else '')
        + _describe_denied_attempts(end)
    )


def _explain_caller_left(end: _Row, failed: list[_Row]) -> str:
    unanswered = ', '.join(end.get('unanswered', []))
    return (
        f'the caller left after {end["took_ms"]} ms, while '
        f'{unanswered or "nothing"} had not answered'
        + _describe_denied_attempts(end)
    )


def _explain_gathered(end: _Row, failed: list[_Row]) -> str:
    parts = []
    if end.get('missing'):
        unanswered = ', '.join(end.get('unanswered', []))
        parts.append(
            f'answered without {end["missing"]} of {end["shards"]} shards, '
            f'which had not answered when it was due: {unanswered}'
        )
    if end['took_ms'] > end.get('aim_ms', end['took_ms']):
        parts.append(
            f'late: {end["took_ms"]} ms of {end["aim_ms"]} ms; too few '
            f'shards had answered earlier'
        )
    if failed:
        parts.append(_describe_target_failures(failed))
    return (
        '; '.join(parts) or 'it was answered whole and in time'
    ) + _describe_denied_attempts(end)


def _explain_passed(end: _Row, failed: list[_Row]) -> str:
    status = end.get('status') or 200
    if status >= 300:
        return f'the target answered {status} itself, which is passed on'
    if end['took_ms'] > end.get('aim_ms', end['took_ms']):
        return f'late: {end["took_ms"]} ms of {end["aim_ms"]} ms' + (
            f'; {_describe_target_failures(failed)}' if failed else ''
        )
    return 'it was answered in time'


def _describe_denied_attempts(end: _Row) -> str:
    denied = (end.get('hedges_denied') or 0) + (end.get('retries_denied') or 0)
    if not denied:
        return ''
    return f'; the retry budget refused {denied} more attempts'


_EXPLAINERS: typing.Mapping[str, typing.Callable[[_Row, list[_Row]], str]] = {
    'refused': _explain_refused,
    'notrun': _explain_not_run,
    'unknown': _explain_unknown,
    'timedout': _explain_timed_out,
    'caller left': _explain_caller_left,
    'gathered': _explain_gathered,
    'passed': _explain_passed,
}

_READINESS_EVENTS = frozenset(
    {
        'started',
        'stopped',
        'readiness',
        'shutdown phase',
        'store lost',
        'store regained',
        'routing table in force',
        'object cannot be read',
        'task failed',
        'settings are not valid',
        'daemons listed',
        'introduced by another daemon',
        'role',
    }
)


def _format_line(line: LogLine) -> str:
    fields = {
        key: value
        for key, value in line.row.items()
        if key not in ('time', 'event', 'level', 'part', 'request')
        and value not in (None, '', [], 0)
    }
    words = ' '.join(f'{key}={value}' for key, value in fields.items())
    return f'{line.time} {line.source} {line.event}: {words}'


@click.command()
@click.argument('request_id', required=False)
@click.argument('files', nargs=-1, type=click.File('r', errors='replace'))
@click.option(
    '--since',
    default='',
    help='Ignore lines before this time, written as in the logs.',
)
@click.option(
    '--why-not-ready',
    is_flag=True,
    help='Show the events that decide readiness; '
    'all arguments are files then.',
)
@click.option('--json', 'as_json', is_flag=True, help='Print one JSON value.')
def explain(
    request_id: str | None,
    files: tuple[typing.TextIO, ...],
    since: str,
    why_not_ready: bool,
    as_json: bool,
) -> None:
    """Explain how one request ended, from log FILES or standard input.

    The files may be from any number of daemons. The request's log lines are
    printed in order, then a line with the cause.
    """
    if why_not_ready:
        # The first argument is not a request id here, but a file.
        opened = [open(request_id, errors='replace')] if request_id else []
        lines = _read_files([*opened, *files])
        selected = [
            line
            for line in sorted(lines, key=lambda line: line.time)
            if line.event in _READINESS_EVENTS and line.time >= since
        ]
        cause = (
            _format_line(selected[-1])
            if selected
            else 'no line about readiness in these logs'
        )
    elif not request_id:
        raise click.UsageError('got no REQUEST_ID, expected one')
    else:
        selected = select_request_lines(_read_files(files), request_id)
        selected = [line for line in selected if line.time >= since]
        if not selected:
            raise click.ClickException(
                f'got no line of request {request_id}, expected some; of '
                f'successful requests, the daemons log only a sample'
            )
        cause = find_cause(selected)
    if as_json:
        rows = [{'source': line.source, **line.row} for line in selected]
        click.echo(json.dumps({'cause': cause, 'lines': rows}))
        return
    for line in selected:
        click.echo(_format_line(line))
    click.echo(f'cause: {cause}')


def _read_files(files: typing.Iterable[typing.TextIO]) -> list[LogLine]:
    opened = list(files) or [click.get_text_stream('stdin')]
    return [line for file in opened for line in read_lines(file)]
