"""``samphiredock explain``: one request's story from the daemons' logs."""

import dataclasses
import json
import typing

import click

_Row = dict[str, typing.Any]

_COORDINATORS = ['coordinators']
"""What a daemon that handed a request over names as without an answer."""

_REFUSED_BECAUSE = {
    'not-ready': 'the daemon had no routing table yet',
    'unknown-route': 'no route of the version in force fits its path',
    'no-target': 'too few services had a target that could be reached',
    'overloaded': 'every target refused it as too much, or no retry budget '
    'was left',
    'quarantined': 'its content had crashed targets before',
}

_FAILED_BECAUSE = {
    'broken': 'broke off, or failed, while it may have been running it',
    'silent': 'gave no answer in time',
    'bad-answer': 'sent bytes that are no whole answer to it',
    'unreachable': 'took no connection',
    'shed': 'refused it as too much',
    'not-owner': 'has the address of another target',
    'draining': 'was leaving',
    'expired': 'had no time left for it',
    'not-ordered': 'was to be asked by a daemon of its site that did not',
    'order-lost': 'was to be asked by a daemon of its site that was lost, '
    'so it may have run it',
}


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log line; ``source`` is what stood before the object."""

    source: str
    row: _Row

    @property
    def time(self) -> str:
        """When it was written, by the daemon's own clock."""
        return str(self.row.get('time', ''))

    @property
    def event(self) -> str:
        """What happened."""
        return str(self.row.get('event', ''))


def read_lines(rows: typing.Iterable[str]) -> list[Line]:
    """Return the log lines among others; collectors may put text before.

    Lines that hold no object are passed over: a log may begin or end in
    the middle of one.
    """
    found = []
    for text in rows:
        before, brace, rest = text.partition('{')
        if not brace:
            continue
        try:
            row = json.loads(brace + rest)
        except ValueError:
            continue
        words = before.split()
        if isinstance(row, dict) and 'event' in row:
            found.append(Line(words[-1] if words else '', row))
    return found


def story_of(lines: list[Line], request_id: str) -> list[Line]:
    """Return a request's lines in order, across daemons."""
    own = [line for line in lines if line.row.get('request') == request_id]
    return sorted(own, key=lambda line: line.time)


def cause_of(story: list[Line]) -> str:
    """Return in a sentence why a request ended as it did."""
    ends = [line.row for line in story if line.event == 'request ended']
    if not ends:
        return 'no end is in these logs: a daemon was lost, or lines are'
    # Where it was handed over, the coordinator's end tells more.
    own = [row for row in ends if row.get('unanswered') != _COORDINATORS]
    bad = [row for row in [*own, *ends] if _went_badly(row)]
    end = bad[0] if bad else ends[-1]
    failed = [line.row for line in story if line.event == 'failed']
    return _CAUSES[end['outcome']](end, failed) + _late_orders(story)


def _late_orders(story: list[Line]) -> str:
    """Name the daemons that asked targets of their site and said nothing."""
    late = {
        str(line.row.get('by')) for line in story if line.event == 'order late'
    }
    if not late:
        return ''
    return f'; nothing came in time from {", ".join(sorted(late))}'


def _went_badly(row: _Row) -> bool:
    return bool(
        row['outcome'] not in ('passed', 'gathered')
        or row.get('missing')
        or (row.get('status') or 200) >= 300
        or row['took_ms'] > row.get('aim_ms', row['took_ms'])
    )


def _of_targets(failed: list[_Row]) -> str:
    texts = [
        f'target {row["target"]} of {row["shard"]} '
        f'{_FAILED_BECAUSE.get(row["status"], row["status"])} '
        f'({row.get("why", "")})'
        for row in failed[:4]
    ]
    more = len(failed) - len(texts)
    return '; '.join(texts) + (f'; and {more} more' if more > 0 else '')


def _refused(end: _Row, failed: list[_Row]) -> str:
    because = _REFUSED_BECAUSE.get(end.get('reason', ''), 'see why')
    return f'refused, and it has not run: {because} ({end.get("why", "")})'


def _notrun(end: _Row, failed: list[_Row]) -> str:
    return f'not run: {end.get("why", "")}; {_of_targets(failed)}'


def _unknown(end: _Row, failed: list[_Row]) -> str:
    return (
        'it may have run, and was not sent again: '
        + (_of_targets(failed) or end.get('why', ''))
        + _denied(end)
    )


def _timed_out(end: _Row, failed: list[_Row]) -> str:
    silent = ', '.join(end.get('unanswered', []))
    return (
        f'no answer from {silent or "any target"} in {end["took_ms"]} ms'
        + (f'; {_of_targets(failed)}' if failed else '')
        + _denied(end)
    )


def _left(end: _Row, failed: list[_Row]) -> str:
    silent = ', '.join(end.get('unanswered', []))
    return (
        f'the caller left after {end["took_ms"]} ms, while '
        f'{silent or "nothing"} had not answered' + _denied(end)
    )


def _gathered(end: _Row, failed: list[_Row]) -> str:
    parts = []
    if end.get('missing'):
        silent = ', '.join(end.get('unanswered', []))
        parts.append(
            f'answered without {end["missing"]} of {end["shards"]} shards, '
            f'which had not answered when it was due: {silent}'
        )
    if end['took_ms'] > end.get('aim_ms', end['took_ms']):
        parts.append(
            f'late: {end["took_ms"]} ms of {end["aim_ms"]} ms; before that '
            f'too few shards had answered'
        )
    if failed:
        parts.append(_of_targets(failed))
    return ('; '.join(parts) or 'it was answered whole and in time') + _denied(
        end
    )


def _passed(end: _Row, failed: list[_Row]) -> str:
    status = end.get('status') or 200
    if status >= 300:
        return f'the target answered {status} itself, which is passed on'
    if end['took_ms'] > end.get('aim_ms', end['took_ms']):
        return f'late: {end["took_ms"]} ms of {end["aim_ms"]} ms' + (
            f'; {_of_targets(failed)}' if failed else ''
        )
    return 'it was answered in time'


def _denied(end: _Row) -> str:
    denied = (end.get('hedges_denied') or 0) + (end.get('retries_denied') or 0)
    if not denied:
        return ''
    return f'; the retry budget refused {denied} more attempts'


_CAUSES: typing.Mapping[str, typing.Callable[[_Row, list[_Row]], str]] = {
    'refused': _refused,
    'notrun': _notrun,
    'unknown': _unknown,
    'timedout': _timed_out,
    'caller left': _left,
    'gathered': _gathered,
    'passed': _passed,
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


def _text(line: Line) -> str:
    facts = {
        key: value
        for key, value in line.row.items()
        if key not in ('time', 'event', 'level', 'part', 'request')
        and value not in (None, '', [], 0)
    }
    words = ' '.join(f'{key}={value}' for key, value in facts.items())
    return f'{line.time} {line.source} {line.event}: {words}'


@click.command()
@click.argument('request_id', required=False)
@click.argument('files', nargs=-1, type=click.File('r', errors='replace'))
@click.option('--since', default='', help='Only lines from this time on.')
@click.option(
    '--why-not-ready',
    is_flag=True,
    help='Show what decides readiness; REQUEST_ID is a file then.',
)
@click.option('--json', 'as_json', is_flag=True, help='One JSON value.')
def explain(
    request_id: str | None,
    files: tuple[typing.TextIO, ...],
    since: str,
    why_not_ready: bool,
    as_json: bool,
) -> None:
    """Tell one request's story from log FILES, or standard input.

    The files may be of any number of daemons; the last line is the cause.
    """
    if why_not_ready:
        opened = [open(request_id, errors='replace')] if request_id else []
        lines = _read([*opened, *files])
        story = [
            line
            for line in sorted(lines, key=lambda line: line.time)
            if line.event in _READINESS_EVENTS and line.time >= since
        ]
        cause = _text(story[-1]) if story else 'no line tells'
    elif not request_id:
        raise click.UsageError('got no REQUEST_ID, expected one')
    else:
        story = story_of(_read(files), request_id)
        story = [line for line in story if line.time >= since]
        if not story:
            raise click.ClickException(
                f'got no line of request {request_id}, expected some; the '
                f'daemons log a sample of the requests that go well'
            )
        cause = cause_of(story)
    if as_json:
        rows = [{'source': line.source, **line.row} for line in story]
        click.echo(json.dumps({'cause': cause, 'lines': rows}))
        return
    for line in story:
        click.echo(_text(line))
    click.echo(f'cause: {cause}')


def _read(files: typing.Iterable[typing.TextIO]) -> list[Line]:
    opened = list(files) or [click.get_text_stream('stdin')]
    return [line for file in opened for line in read_lines(file)]
