"""``samphiredock config``: check, diff, apply, show, history."""

import dataclasses
import getpass
import pathlib
import time
import typing
import uuid

import click
import msgspec
from returns import result

from samphiredock.cli import _context
from samphiredock.cli import _difference
from samphiredock.cli import _exits
from samphiredock import protocol
from samphiredock import state

_POLL_S = 0.2
_PATH = click.Path(path_type=pathlib.Path)
_CONFIGURATION = '/v1/configuration'
_NOT_FOUND = protocol.OperatorErrorKind.NOT_FOUND


@dataclasses.dataclass(frozen=True)
class _Files:
    """Base and overlays as read from files."""

    base: dict
    overlays: dict[str, dict]
    base_file: str
    overlay_files: dict[str, str]


class _OverlayOption(click.ParamType):
    """``SITE=FILE``."""

    name = 'SITE=FILE'

    def convert(
        self,
        value: typing.Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> tuple[str, pathlib.Path]:
        site, found, file = str(value).partition('=')
        if not (site and found and file):
            self.fail(f'got {value!r}, expected SITE=FILE', param, ctx)
        return site, pathlib.Path(file)


def _with_files(command: typing.Callable) -> typing.Callable:
    options = (
        click.option('--base', type=_PATH, help='The base file.'),
        click.option(
            '--overlay',
            'overlays',
            multiple=True,
            type=_OverlayOption(),
            help="A site's overlay; may be given more than once.",
        ),
        click.option(
            '--folder',
            type=_PATH,
            help='Instead: a folder with base.json and SITE.json files.',
        ),
    )
    for option in reversed(options):
        command = option(command)
    return command


@click.group()
def config() -> None:
    """Check, compare, apply and show the configuration."""


@config.command()
@_with_files
@_context.with_context
def check(context: _context.Context, **files: typing.Any) -> None:
    """Check files without asking any daemon."""
    read = _read_checked(context, **files)
    context.show(
        {'type': 'valid'},
        f'{read.base_file} and {len(read.overlays)} overlays: valid',
    )


@config.command()
@_with_files
@_context.with_context
def diff(context: _context.Context, **files: typing.Any) -> None:
    """Show what files would change of the configuration in force."""
    read = _read_checked(context, **files)
    current = _current(context)
    rows = _difference.between(current, read.base, read.overlays)
    _show_difference(context, current, rows)


@config.command()
@_with_files
@click.option('--yes', is_flag=True, help='Do not ask.')
@click.option(
    '--base-revision',
    type=int,
    help='The revision the files were made from; the one in force if not '
    'stated. Another one in force is a conflict.',
)
@click.option('--change-id', help='Send an earlier change again, safely.')
@click.option('--author', help='Who makes the change; the login name if not.')
@click.option('--no-wait', is_flag=True, help='Do not wait for the sites.')
@click.option(
    '--wait-ms',
    default=10_000,
    show_default=True,
    type=click.IntRange(1),
    help='How long to wait until each site has confirmed.',
)
@_context.with_context
def apply(
    context: _context.Context,
    yes: bool,
    base_revision: int | None,
    change_id: str | None,
    author: str | None,
    no_wait: bool,
    wait_ms: int,
    **files: typing.Any,
) -> None:
    """Bring files into force at every site."""
    read = _read_checked(context, **files)
    current = _current(context)
    rows = _difference.between(current, read.base, read.overlays)
    if not rows and change_id is None:
        context.show({'type': 'no-difference'}, 'no difference: nothing sent')
        return
    if base_revision is None:
        base_revision = current.revision if current else 0
    if not context.as_json:
        _show_difference(context, current, rows)
    context.note(f'made from revision {base_revision}')
    if not yes and not click.confirm('apply this?', err=True):
        _context.finish(_exits.Exit.DECLINED)
    change = protocol.ConfigurationChange(
        base_revision,
        change_id or uuid.uuid4().hex,
        author or getpass.getuser(),
        read.base,
        read.overlays,
        # A change sent again may have been accepted: a daemon that cannot
        # read the store then must not say that nothing was changed.
        repeated=change_id is not None,
    )
    context.note(f'change id {change.change_id} (--change-id sends it again)')
    outcome = context.ask(
        'PUT', _CONFIGURATION, protocol.ChangeOutcome, change
    )
    if not isinstance(outcome, protocol.ChangeAccepted):
        context.end_with(outcome)
    context.note(f'accepted as revision {outcome.revision}')
    if no_wait:
        context.end_with(outcome)
    _wait(context, outcome.revision, list(read.base['sites']), wait_ms)


@config.command()
@_context.with_context
def show(context: _context.Context) -> None:
    """Show the configuration in force, as it was written."""
    current = _current(context)
    if current is None:
        context.end_with(
            protocol.OperatorError(_NOT_FOUND, 'no configuration yet')
        )
    body = {'base': current.base, 'overlays': current.overlays}
    text = msgspec.json.format(msgspec.json.encode(body), indent=2).decode()
    head = (
        f'// revision {current.revision} by {current.author}, '
        f'change {current.change_id}'
    )
    context.show(current, f'{head}\n{text}')


@config.command()
@_context.with_context
def history(context: _context.Context) -> None:
    """List the accepted changes, the newest first."""
    rows = context.ask(
        'GET', f'{_CONFIGURATION}/history', list[protocol.ChangeSummary]
    )
    words = _context.table(
        ['revision', 'author', 'accepted', 'change'],
        [
            [
                row.revision,
                row.author,
                _time(row.accepted_at_ms),
                row.change_id,
            ]
            for row in rows
        ],
    )
    context.show(rows, words)


def _time(wall_ms: int) -> str:
    return time.strftime('%Y-%m-%d %H:%M:%SZ', time.gmtime(wall_ms / 1000))


def _read_checked(
    context: _context.Context,
    base: pathlib.Path | None,
    overlays: tuple[tuple[str, pathlib.Path], ...],
    folder: pathlib.Path | None,
) -> _Files:
    paths = dict(overlays)
    if folder is not None:
        base = base or folder / 'base.json'
        for path in sorted(folder.glob('*.json')):
            if path != base:
                paths.setdefault(path.stem, path)
    if base is None:
        raise click.UsageError('got no base file, expected --base or --folder')
    problems: list[state.Problem] = []
    read_base = _read(base, problems)
    read_overlays = {
        site: _read(path, problems) for site, path in paths.items()
    }
    names = {site: str(path) for site, path in paths.items()}
    if not problems:
        source = state.ConfigurationSource(
            0, '', '', 0, read_base, read_overlays
        )
        compiled = state.compile_source(source, str(base), names)
        if isinstance(compiled, result.Failure):
            problems += compiled.failure()
    if problems:
        _invalid(context, problems)
    return _Files(read_base, read_overlays, str(base), names)


def _read(path: pathlib.Path, problems: list[state.Problem]) -> typing.Any:
    read = state.read_json5(path)
    if isinstance(read, result.Failure):
        problems.append(read.failure())
        return {}
    return read.unwrap()


def _invalid(
    context: _context.Context, problems: list[state.Problem]
) -> typing.NoReturn:
    words = '\n'.join(str(row) for row in problems)
    context.show(
        {'type': 'invalid', 'problems': problems},
        f'{words}\ninvalid: {len(problems)} mistakes',
    )
    _context.finish(_exits.Exit.REFUSED)


def _current(context: _context.Context) -> state.ConfigurationSource | None:
    reply = context.call('GET', _CONFIGURATION)
    found = _context.decode(reply, state.ConfigurationSource)
    if not isinstance(found, protocol.OperatorError):
        return found
    if found.kind is not _NOT_FOUND:
        context.end_with(found)
    return None


def _show_difference(
    context: _context.Context,
    current: state.ConfigurationSource | None,
    rows: list[_difference.Difference],
) -> None:
    revision = current.revision if current else 0
    if current is None:
        words = f'the first configuration: {len(rows)} values'
    elif not rows:
        words = f'no difference from revision {revision}'
    else:
        lines = [f'  {row}' for row in rows]
        words = f'difference from revision {revision}:\n' + '\n'.join(lines)
    context.show({'revision': revision, 'differences': rows}, words)


def _wait(
    context: _context.Context, revision: int, sites: list[str], wait_ms: int
) -> None:
    end = time.monotonic() + wait_ms / 1000.0
    told = ''
    while True:
        found = context.ask(
            'GET', f'{_CONFIGURATION}/confirmations', protocol.Confirmations
        )
        rows = [_site_row(site, found.daemons, revision) for site in sites]
        lacking = [row.site for row in rows if row.state == 'waiting']
        progress = f'{len(rows) - len(lacking)} of {len(rows)} sites'
        if lacking:
            progress += ', waiting for ' + ', '.join(lacking)
        if progress != told:
            context.note(progress)
            told = progress
        if not lacking or time.monotonic() > end:
            break
        time.sleep(_POLL_S)
    words = _context.table(
        ['site', 'daemons', 'confirmed', 'state'],
        [[row.site, row.daemons, row.confirmed, row.state] for row in rows],
    )
    kind = 'unconfirmed' if lacking else 'confirmed'
    value = {'type': kind, 'revision': revision, 'sites': rows}
    context.show(value, f'revision {revision} {kind}\n{words}')
    exits = _exits.Exit
    _context.finish(exits.UNCONFIRMED if lacking else exits.OK)


@dataclasses.dataclass(frozen=True)
class _SiteRow:
    site: str
    daemons: int
    confirmed: int
    state: str


def _site_row(
    site: str, daemons: list[protocol.DaemonRevision], revision: int
) -> _SiteRow:
    here = [row for row in daemons if row.site == site]
    confirmed = sum(row.revision >= revision for row in here)
    if not here:
        # Nobody is there to confirm; its next daemon starts with the
        # newest revision before it is ready.
        return _SiteRow(site, 0, 0, 'no daemon')
    state_ = 'in force' if confirmed == len(here) else 'waiting'
    return _SiteRow(site, len(here), confirmed, state_)
