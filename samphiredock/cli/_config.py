"""``samphiredock config``: check, compare, apply and show configurations."""

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

_POLL_INTERVAL_S = 0.2
_PATH_TYPE = click.Path(path_type=pathlib.Path)
_CONFIGURATION_PATH = '/v1/configuration'
_NOT_FOUND = protocol.OperatorErrorKind.NOT_FOUND


@dataclasses.dataclass(frozen=True)
class _ConfigurationFiles:
    """A base configuration, the overlays by site, and their file names."""

    base: dict
    overlays: dict[str, dict]
    base_file: str
    overlay_files: dict[str, str]


class _OverlayOption(click.ParamType):
    """An option value ``SITE=FILE``, converted to a tuple."""

    name = 'SITE=FILE'

    def convert(
        self,
        value: typing.Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> tuple[str, pathlib.Path]:
        site, separator, file = str(value).partition('=')
        if not (site and separator and file):
            self.fail(f'got {value!r}, expected SITE=FILE', param, ctx)
        return site, pathlib.Path(file)


def _with_files(command: typing.Callable) -> typing.Callable:
    """Add the options that name configuration files to a command."""
    options = (
        click.option('--base', type=_PATH_TYPE, help='The base file.'),
        click.option(
            '--overlay',
            'overlays',
            multiple=True,
            type=_OverlayOption(),
            help="A site's overlay; may be given more than once.",
        ),
        click.option(
            '--folder',
            type=_PATH_TYPE,
            help='A folder with base.json and SITE.json files; files '
            'given by --base or --overlay replace them.',
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
    """Validate files without calling a daemon."""
    loaded = _load_checked(context, **files)
    context.show(
        {'type': 'valid'},
        f'{loaded.base_file} and {len(loaded.overlays)} overlays: valid',
    )


@config.command()
@_with_files
@_context.with_context
def diff(context: _context.Context, **files: typing.Any) -> None:
    """Show what files would change in the configuration in force."""
    loaded = _load_checked(context, **files)
    current = _fetch_current(context)
    rows = _difference.compare(current, loaded.base, loaded.overlays)
    _show_difference(context, current, rows)


@config.command()
@_with_files
@click.option('--yes', is_flag=True, help='Do not ask.')
@click.option(
    '--base-revision',
    type=int,
    help='The revision the files were made from; default: the one in force. '
    'If another one is in force, the change is a conflict.',
)
@click.option(
    '--change-id',
    help='The id of an earlier change, to send it again; it is applied once.',
)
@click.option(
    '--author', help='Who makes the change; default: the login name.'
)
@click.option(
    '--no-wait', is_flag=True, help='Do not wait until the sites confirm.'
)
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
    """Apply files as the new configuration of all sites."""
    loaded = _load_checked(context, **files)
    current = _fetch_current(context)
    rows = _difference.compare(current, loaded.base, loaded.overlays)
    if not rows and change_id is None:
        context.show({'type': 'no-difference'}, 'no difference: nothing sent')
        return
    if base_revision is None:
        base_revision = current.revision if current else 0
    if not context.as_json:
        _show_difference(context, current, rows)
    context.note(f'made from revision {base_revision}')
    if not yes and not click.confirm('apply this?', err=True):
        _context.exit_with_code(_exits.Exit.DECLINED)
    change = protocol.ConfigurationChange(
        base_revision,
        change_id or uuid.uuid4().hex,
        author or getpass.getuser(),
        loaded.base,
        loaded.overlays,
        # An earlier attempt at this change may have been accepted, so a
        # daemon that cannot read the store must report an unknown outcome
        # and not that nothing was changed.
        repeated=change_id is not None,
    )
    context.note(f'change id {change.change_id} (--change-id sends it again)')
    outcome = context.ask(
        'PUT', _CONFIGURATION_PATH, protocol.ChangeOutcome, change
    )
    if not isinstance(outcome, protocol.ChangeAccepted):
        context.exit_with_outcome(outcome)
    context.note(f'accepted as revision {outcome.revision}')
    if no_wait:
        context.exit_with_outcome(outcome)
    _wait_for_sites(
        context, outcome.revision, list(loaded.base['sites']), wait_ms
    )


@config.command()
@_context.with_context
def show(context: _context.Context) -> None:
    """Show the configuration in force, as it was written."""
    current = _fetch_current(context)
    if current is None:
        context.exit_with_outcome(
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
    """List the accepted changes, newest first."""
    rows = context.ask(
        'GET', f'{_CONFIGURATION_PATH}/history', list[protocol.ChangeSummary]
    )
    text = _context.table(
        ['revision', 'author', 'accepted', 'change'],
        [
            [
                row.revision,
                row.author,
                _format_time(row.accepted_at_ms),
                row.change_id,
            ]
            for row in rows
        ],
    )
    context.show(rows, text)


def _format_time(wall_ms: int) -> str:
    return time.strftime('%Y-%m-%d %H:%M:%SZ', time.gmtime(wall_ms / 1000))


def _load_checked(
    context: _context.Context,
    base: pathlib.Path | None,
    overlays: tuple[tuple[str, pathlib.Path], ...],
    folder: pathlib.Path | None,
) -> _ConfigurationFiles:
    """Return the files' content; exit the program if it is not valid."""
    paths = dict(overlays)
    if folder is not None:
        base = base or folder / 'base.json'
        for path in sorted(folder.glob('*.json')):
            if path != base:
                paths.setdefault(path.stem, path)
    if base is None:
        raise click.UsageError('got no base file, expected --base or --folder')
    problems: list[state.Problem] = []
    base_content = _load_file(base, problems)
    overlay_contents = {
        site: _load_file(path, problems) for site, path in paths.items()
    }
    overlay_files = {site: str(path) for site, path in paths.items()}
    if not problems:
        source = state.ConfigurationSource(
            0, '', '', 0, base_content, overlay_contents
        )
        compiled = state.compile_source(source, str(base), overlay_files)
        if isinstance(compiled, result.Failure):
            problems += compiled.failure()
    if problems:
        _exit_invalid(context, problems)
    return _ConfigurationFiles(
        base_content, overlay_contents, str(base), overlay_files
    )


def _load_file(
    path: pathlib.Path, problems: list[state.Problem]
) -> typing.Any:
    """Return a file's content; add a problem if it cannot be read."""
    loaded = state.read_json5(path)
    if isinstance(loaded, result.Failure):
        problems.append(loaded.failure())
        return {}
    return loaded.unwrap()


def _exit_invalid(
    context: _context.Context, problems: list[state.Problem]
) -> typing.NoReturn:
    text = '\n'.join(str(row) for row in problems)
    context.show(
        {'type': 'invalid', 'problems': problems},
        f'{text}\ninvalid: {len(problems)} mistakes',
    )
    _context.exit_with_code(_exits.Exit.REFUSED)


def _fetch_current(
    context: _context.Context,
) -> state.ConfigurationSource | None:
    """Return the configuration in force, None if there is none yet."""
    reply = context.call('GET', _CONFIGURATION_PATH)
    found = _context.decode(reply, state.ConfigurationSource)
    if not isinstance(found, protocol.OperatorError):
        return found
    if found.kind is not _NOT_FOUND:
        context.exit_with_outcome(found)
    return None


def _show_difference(
    context: _context.Context,
    current: state.ConfigurationSource | None,
    rows: list[_difference.Difference],
) -> None:
    revision = current.revision if current else 0
    if current is None:
        text = f'the first configuration: {len(rows)} values'
    elif not rows:
        text = f'no difference from revision {revision}'
    else:
        lines = [f'  {row}' for row in rows]
        text = f'difference from revision {revision}:\n' + '\n'.join(lines)
    context.show({'revision': revision, 'differences': rows}, text)


def _wait_for_sites(
    context: _context.Context, revision: int, sites: list[str], wait_ms: int
) -> None:
    """Wait until all sites have confirmed a revision.

    Stops waiting after ``wait_ms``.  Then prints the state of each site and
    exits the program.
    """
    deadline_s = time.monotonic() + wait_ms / 1000.0
    last_progress = ''
    while True:
        confirmations = context.ask(
            'GET',
            f'{_CONFIGURATION_PATH}/confirmations',
            protocol.Confirmations,
        )
        rows = [
            _site_row(site, confirmations.daemons, revision) for site in sites
        ]
        waiting_sites = [row.site for row in rows if row.state == 'waiting']
        progress = f'{len(rows) - len(waiting_sites)} of {len(rows)} sites'
        if waiting_sites:
            progress += ', waiting for ' + ', '.join(waiting_sites)
        if progress != last_progress:
            context.note(progress)
            last_progress = progress
        if not waiting_sites or time.monotonic() > deadline_s:
            break
        time.sleep(_POLL_INTERVAL_S)
    text = _context.table(
        ['site', 'daemons', 'confirmed', 'state'],
        [[row.site, row.daemons, row.confirmed, row.state] for row in rows],
    )
    kind = 'unconfirmed' if waiting_sites else 'confirmed'
    value = {'type': kind, 'revision': revision, 'sites': rows}
    context.show(value, f'revision {revision} {kind}\n{text}')
    exits = _exits.Exit
    _context.exit_with_code(exits.UNCONFIRMED if waiting_sites else exits.OK)


@dataclasses.dataclass(frozen=True)
class _SiteRow:
    """How many daemons a site has, and how many have confirmed a revision."""

    site: str
    daemons: int
    confirmed: int
    state: str


def _site_row(
    site: str, daemons: list[protocol.DaemonRevision], revision: int
) -> _SiteRow:
    site_daemons = [row for row in daemons if row.site == site]
    confirmed = sum(row.revision >= revision for row in site_daemons)
    if not site_daemons:
        # No daemon can confirm.  A daemon that starts here later loads the
        # newest revision before it becomes ready.
        return _SiteRow(site, 0, 0, 'no daemon')
    state_ = 'in force' if confirmed == len(site_daemons) else 'waiting'
    return _SiteRow(site, len(site_daemons), confirmed, state_)
