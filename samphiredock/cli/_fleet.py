"""``samphiredock status``, ``target`` and ``quarantine``."""

import time
import typing
import urllib.parse

import click
import msgspec

from samphiredock.cli import _context
from samphiredock import protocol
from samphiredock import state


@click.command()
@_context.with_context
def status(context: _context.Context) -> None:
    """Show daemons, sites, revisions in force, and targets."""
    body = context.ask('GET', '/v1/status', dict)
    context.show(body, _format_status(body))


def _format_status(body: dict[str, typing.Any]) -> str:
    members = msgspec.convert(body['members'], list[state.Member])
    targets = msgspec.convert(body['target_rows'], list[protocol.TargetRow])
    revisions = body['revisions']
    daemons = _context.table(
        ['daemon', 'site', 'region', 'revision', 'callers', 'operators'],
        [
            [
                row.name,
                row.site,
                row.region,
                revisions.get(row.name, '?'),
                row.caller_address,
                row.operator_address,
            ]
            for row in sorted(members, key=lambda row: (row.site, row.name))
        ],
    )
    rows = _context.table(
        ['target', 'site', 'dispatcher', 'slots', 'connections', 'new work'],
        [
            [
                row.name,
                row.site,
                row.dispatcher or '(none)',
                row.slots,
                row.connections,
                'yes' if row.usable else 'no',
            ]
            for row in targets
        ],
    )
    head = (
        f'seen by {body["name"]}: revision {body["revision"]}, '
        f'snapshot {body["snapshot_id"]}'
    )
    return f'{head}\n\n{daemons}\n\n{rows}'


@click.group()
def target() -> None:
    """Drain targets and undrain them."""


@target.command()
@click.argument('name')
@_context.with_context
def drain(context: _context.Context, name: str) -> None:
    """Send a target no new work; running work finishes."""
    _set_draining(context, name, 'drain')


@target.command()
@click.argument('name')
@_context.with_context
def undrain(context: _context.Context, name: str) -> None:
    """Send a drained target new work again."""
    _set_draining(context, name, 'undrain')


def _set_draining(context: _context.Context, name: str, verb: str) -> None:
    quoted = urllib.parse.quote(name, safe='')
    path = f'/v1/targets/{quoted}/{verb}'
    context.exit_with_outcome(context.ask('POST', path, protocol.OperatorDone))


@click.group()
def quarantine() -> None:
    """List and release request contents that crashed targets."""


@quarantine.command('list')
@_context.with_context
def list_entries(context: _context.Context) -> None:
    """List the request contents in quarantine, since when and until when."""
    rows = context.ask('GET', '/v1/quarantine', list[protocol.QuarantineEntry])
    text = _context.table(
        ['fingerprint', 'service', 'targets lost', 'since', 'until'],
        [
            [
                row.fingerprint,
                row.service,
                ', '.join(row.targets),
                _format_time(row.since_ms),
                _format_time(row.until_ms),
            ]
            for row in rows
        ],
    )
    context.show(rows, text)


@quarantine.command()
@click.argument('fingerprint')
@_context.with_context
def release(context: _context.Context, fingerprint: str) -> None:
    """Remove a request content from quarantine, so that it can run again."""
    quoted = urllib.parse.quote(fingerprint, safe='')
    path = f'/v1/quarantine/{quoted}'
    context.exit_with_outcome(
        context.ask('DELETE', path, protocol.OperatorDone)
    )


def _format_time(wall_ms: int) -> str:
    return time.strftime('%Y-%m-%d %H:%M:%SZ', time.gmtime(wall_ms / 1000))
