"""The options and functions that all commands share."""

import dataclasses
import functools
import pathlib
import sys
import typing

import click
import msgspec
from returns import result
import tabulate

from samphiredock.cli import _client
from samphiredock.cli import _exits
from samphiredock import protocol
from samphiredock import state

_OPERATOR_ERROR = msgspec.json.Decoder(protocol.OperatorError)


def exit_with_code(code: _exits.Exit) -> typing.NoReturn:
    """Exit the program with an exit code."""
    sys.exit(int(code))


@dataclasses.dataclass(frozen=True)
class Context:
    """Values of the shared options, and calls and output that use them."""

    daemons: tuple[str, ...]
    token_file: pathlib.Path | None
    as_json: bool

    @functools.cached_property
    def token(self) -> str | None:
        """The operator token, None without ``--token-file``.

        The file contains just the token, or is a daemon's keys file.
        Raises ``click.UsageError`` if it cannot be read.
        """
        if self.token_file is None:
            return None
        try:
            text = self.token_file.read_text(encoding='utf-8').strip()
        except (OSError, UnicodeDecodeError) as error:
            raise click.UsageError(f'{self.token_file}: {error}') from None
        # A keys file is JSON with comments: it begins with "{" or a comment.
        if not text.startswith(('{', '/')):
            return text
        loaded = state.load_keys(self.token_file)
        if isinstance(loaded, result.Failure):
            rows = '\n'.join(str(row) for row in loaded.failure())
            raise click.UsageError(rows)
        return loaded.unwrap().operator_token

    def ask(
        self,
        method: str,
        path: str,
        reply_type: typing.Any,
        body: object = None,
    ) -> typing.Any:
        """Call an operator address and return the decoded reply.

        Exits the program if no daemon replies or if the reply is an error.
        """
        return self.decode_or_exit(self.call(method, path, body), reply_type)

    def call(
        self, method: str, path: str, body: object = None
    ) -> _client.Reply:
        """Return a daemon's reply; exit the program if no daemon replies."""
        if not self.daemons:
            raise click.UsageError(
                'got no daemon, expected --daemon URL or SAMPHIREDOCK_DAEMON'
            )
        headers = {}
        if self.token:
            headers['Authorization'] = f'Bearer {self.token}'
        data = None if body is None else msgspec.json.encode(body)
        call = _client.Call(method, path, data, headers)
        reply = _client.send(self.daemons, call)
        if isinstance(reply, _client.NoReply):
            self.exit_unreachable(reply, is_read_only=method == 'GET')
        return reply

    def exit_unreachable(
        self, reply: _client.NoReply, is_read_only: bool
    ) -> typing.NoReturn:
        """Print that no daemon replied, and exit the program.

        A request that may have been received and is not read-only has an
        unknown outcome.
        """
        unknown = reply.may_be_received and not is_read_only
        error_type = 'unknown' if unknown else 'unreachable'
        self.show(
            {'type': error_type, 'detail': reply.detail},
            f'{error_type}: {reply.detail}',
        )
        exits = _exits.Exit
        exit_with_code(exits.UNKNOWN if unknown else exits.UNREACHABLE)

    def decode_or_exit(
        self, reply: _client.Reply, reply_type: typing.Any
    ) -> typing.Any:
        """Return a decoded reply; exit the program if it is an error."""
        value = decode(reply, reply_type)
        if isinstance(value, protocol.OperatorError):
            self.exit_with_outcome(value)
        return value

    def exit_with_outcome(self, outcome: object) -> typing.NoReturn:
        """Print an outcome and exit with its exit code."""
        self.show(outcome, describe(outcome))
        exit_with_code(_exits.exit_code_for(outcome))

    def show(self, value: object, text: str) -> None:
        """Print ``value`` as JSON if ``--json`` is given, else ``text``."""
        if self.as_json:
            click.echo(msgspec.json.encode(value).decode())
        else:
            click.echo(text)

    def note(self, text: str) -> None:
        """Print progress to standard error, separate from the result."""
        click.echo(text, err=True)


def decode(reply: _client.Reply, reply_type: typing.Any) -> typing.Any:
    """Return a reply decoded as ``reply_type``, or an ``OperatorError``.

    A reply that cannot be decoded becomes an error of kind ``UNKNOWN``.
    """
    try:
        return _OPERATOR_ERROR.decode(reply.body)
    except protocol.DECODE_ERRORS:
        pass
    try:
        return msgspec.json.decode(reply.body, type=reply_type)
    except protocol.DECODE_ERRORS as error:
        return protocol.OperatorError(
            protocol.OperatorErrorKind.UNKNOWN,
            f'{reply.url} answered {reply.status} with a body that cannot '
            f'be read: {error}',
        )


def table(
    headers: typing.Sequence[str], rows: typing.Iterable[typing.Sequence]
) -> str:
    """Return rows formatted as a text table."""
    return tabulate.tabulate(list(rows), headers, disable_numparse=True)


def describe(outcome: typing.Any) -> str:
    """Return an outcome as text.

    The first line is the outcome's type; a line for each field that is not
    empty follows.
    """
    fields = msgspec.to_builtins(outcome)
    kind = fields.pop('type')
    lines = [f'{kind.replace("-", " ")}']
    retry_after_ms = fields.pop('retry_after_ms', 0)
    for name, value in fields.items():
        if value not in ('', None, [], {}):
            lines.append(f'  {name}: {_format_value(value)}')
    if retry_after_ms:
        lines.append(f'  ask again after {retry_after_ms} ms')
    return '\n'.join(lines)


def _format_value(value: object) -> str:
    if isinstance(value, dict):
        return ', '.join(f'{key}={item}' for key, item in value.items())
    if isinstance(value, list):
        return ''.join(f'\n    {item}' for item in value)
    return str(value)


def with_context(command: typing.Callable) -> typing.Callable:
    """Add the shared options to a command, which gets a :class:`Context`."""

    @click.option(
        '--daemon',
        'daemons',
        multiple=True,
        envvar='SAMPHIREDOCK_DAEMON',
        metavar='URL',
        help='Operator address of a daemon; if given more than once, '
        'the next is tried when one cannot be reached.',
    )
    @click.option(
        '--token-file',
        type=click.Path(path_type=pathlib.Path),
        envvar='SAMPHIREDOCK_TOKEN_FILE',
        help='File with the operator token, or a keys file.',
    )
    @click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
    @functools.wraps(command)
    def wrapped(
        daemons: tuple[str, ...],
        token_file: pathlib.Path | None,
        as_json: bool,
        **options: typing.Any,
    ) -> typing.Any:
        return command(Context(daemons, token_file, as_json), **options)

    return wrapped
