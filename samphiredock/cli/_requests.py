"""``samphiredock search`` and ``run``: send requests as a caller."""

import random
import time
import typing

import click
import msgspec

from samphiredock.cli import _client
from samphiredock.cli import _context
from samphiredock import protocol
from samphiredock import transport

_REPLY_MARGIN_MS = 5_000
"""How long after a request's deadline its reply may still arrive."""

_ASSUMED_DEADLINE_MS = 30_000
"""Assumed for a request whose deadline the configuration decides."""


class _Pair(click.ParamType):
    """An argument ``NAME=VALUE``, converted to a tuple."""

    name = 'NAME=VALUE'

    def convert(
        self,
        value: typing.Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> tuple[str, str]:
        key, separator, text = str(value).partition('=')
        if not (key and separator):
            self.fail(f'got {value!r}, expected NAME=VALUE', param, ctx)
        return key, text


_CALLER_OPTION = click.option(
    '--caller',
    'callers',
    multiple=True,
    envvar='SAMPHIREDOCK_CALLER',
    metavar='URL',
    help='Caller address of a daemon; default: those that a daemon reports.',
)
_DEADLINE_OPTION = click.option(
    '--deadline-ms',
    type=click.IntRange(1),
    help='Deadline in milliseconds; default: as configured.',
)


@click.command()
@click.argument('service')
@click.argument('search_name', metavar='SEARCH')
@click.argument('terms', nargs=-1, type=_Pair(), metavar='[FIELD=VALUE]...')
@click.option(
    '--limit', type=click.IntRange(1), help='Maximum number of records.'
)
@_DEADLINE_OPTION
@_CALLER_OPTION
@_context.with_context
def search(
    context: _context.Context,
    service: str,
    search_name: str,
    terms: tuple[tuple[str, str], ...],
    limit: int | None,
    deadline_ms: int | None,
    callers: tuple[str, ...],
) -> None:
    """Run a search and print its records, snapshot and coverage."""
    request = protocol.SearchRequest(
        service, search_name, dict(terms), deadline_ms, limit
    )
    call = _client.Call(
        'POST',
        '/v1/search',
        msgspec.json.encode(request),
        timeout_ms=_timeout_ms(deadline_ms),
    )
    reply = _client.send(_caller_urls(context, callers), call)
    if isinstance(reply, _client.NoReply):
        context.exit_unreachable(reply, is_read_only=True)
    outcome = context.decode_or_exit(reply, protocol.SearchOutcome)
    if not context.as_json and hasattr(outcome, 'records'):
        click.echo(_records_table(outcome.records))
        outcome = msgspec.structs.replace(outcome, records=[])
    context.exit_with_outcome(outcome)


@click.command()
@click.argument('service')
@click.argument('operation')
@click.argument('body', nargs=-1, type=_Pair(), metavar='[NAME=VALUE]...')
@click.option(
    '--key', help='Idempotency key (UUID version 7); default: a new one.'
)
@_DEADLINE_OPTION
@_CALLER_OPTION
@_context.with_context
def run(
    context: _context.Context,
    service: str,
    operation: str,
    body: tuple[tuple[str, str], ...],
    key: str | None,
    deadline_ms: int | None,
    callers: tuple[str, ...],
) -> None:
    """Run a request that is executed at most once per idempotency key."""
    key = key or protocol.new_idempotency_key(
        int(time.time() * 1000), random.SystemRandom()
    )
    urls = _caller_urls(context, callers)
    retry_option = f'--key {key}'
    # Printed before the request is sent, so that the user has the key to
    # retry with even if this program is killed.
    context.note(f'idempotency key {key}')
    request = protocol.RunBody(service, operation, dict(body), deadline_ms)
    call = _client.Call(
        'POST',
        '/v1/run',
        msgspec.json.encode(request),
        {transport.IDEMPOTENCY_KEY_HEADER: key},
        is_repeatable=False,
        timeout_ms=_timeout_ms(deadline_ms),
    )
    reply = _client.send(urls, call)
    if isinstance(reply, _client.NoReply):
        if reply.may_be_received:
            _print_retry_hint(context, retry_option)
        context.exit_unreachable(reply, is_read_only=False)
    outcome = _decode_run_outcome(reply)
    if isinstance(outcome, protocol.Unknown):
        _print_retry_hint(context, retry_option)
    context.exit_with_outcome(outcome)


def _decode_run_outcome(reply: _client.Reply) -> protocol.RunOutcome:
    try:
        return msgspec.json.decode(reply.body, type=protocol.RunOutcome)
    except protocol.DECODE_ERRORS as error:
        # The reply is not a daemon's, perhaps a load balancer's, which may
        # have passed the request on before it failed.
        return protocol.Unknown(
            f'{reply.url} answered {reply.status}, not readable: {error}', 0
        )


def _print_retry_hint(context: _context.Context, retry_option: str) -> None:
    context.note(
        'it may or may not have run; the same request is safe to send '
        f'again with: {retry_option}'
    )


def _timeout_ms(deadline_ms: int | None) -> int:
    return (deadline_ms or _ASSUMED_DEADLINE_MS) + _REPLY_MARGIN_MS


def _caller_urls(
    context: _context.Context, stated_urls: tuple[str, ...]
) -> list[str]:
    """Return the stated URLs, else those that a daemon reports.

    The URL of the daemon that reports them comes first.
    """
    if stated_urls:
        return list(stated_urls)
    status = context.ask('GET', '/v1/status', dict)
    own = status['caller_url']
    scheme = own.partition(':')[0]
    others = [
        f'{scheme}://{member["caller_address"]}'
        for member in status['members']
    ]
    return [own, *(url for url in others if url != own)]


def _records_table(records: list[protocol.Record]) -> str:
    names = sorted({name for row in records for name in row.fields})
    return _context.table(
        ['key', 'score', *names],
        [
            [
                row.key,
                f'{row.score:.3f}',
                *(row.fields.get(n, '') for n in names),
            ]
            for row in records
        ],
    )
