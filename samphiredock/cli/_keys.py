"""``samphiredock keys``: create keys files."""

import os
import pathlib
import secrets

import click
import msgspec
import zmq

_TOKEN_BYTES = 32
_OWNER_ONLY = 0o600


@click.group()
def keys() -> None:
    """Create the keys files of daemons."""


@keys.command()
@click.argument('members', nargs=-1, required=True, metavar='MEMBER...')
@click.option(
    '--folder',
    type=click.Path(path_type=pathlib.Path, file_okay=False),
    help='Write MEMBER.keys.json files, readable by their owner only; '
    'needed for more than one member.',
)
def new(members: tuple[str, ...], folder: pathlib.Path | None) -> None:
    """Create keys files for daemons that admit each other.

    All share one operator token; each file has a CURVE key pair of its own
    and the public keys of all members.
    """
    if folder is None and len(members) > 1:
        raise click.UsageError('got several members, expected --folder')
    texts = _make_keys_files(members)
    if folder is None:
        click.echo(texts[members[0]])
        return
    folder.mkdir(parents=True, exist_ok=True)
    for member, text in texts.items():
        _write_new_file(folder / f'{member}.keys.json', text)


def _make_keys_files(members: tuple[str, ...]) -> dict[str, str]:
    pairs = {member: zmq.curve_keypair() for member in members}
    admitted = {member: pair[0].decode() for member, pair in pairs.items()}
    token = secrets.token_urlsafe(_TOKEN_BYTES)
    return {
        member: _format_keys_file(
            token, public.decode(), secret.decode(), admitted
        )
        for member, (public, secret) in pairs.items()
    }


def _format_keys_file(
    token: str, public: str, secret: str, admitted: dict[str, str]
) -> str:
    body = {
        'operator_token': token,
        'curve': {'public': public, 'secret': secret},
        'admitted': admitted,
    }
    return msgspec.json.format(msgspec.json.encode(body), indent=2).decode()


def _write_new_file(path: pathlib.Path, text: str) -> None:
    # The file is created with its final mode, so that no other user can read
    # it at any time.  O_EXCL: an existing file may be in use by a fleet.
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        descriptor = os.open(path, flags, _OWNER_ONLY)
    except OSError as error:
        raise click.UsageError(f'{path}: {error.strerror}') from None
    with os.fdopen(descriptor, 'w', encoding='utf-8') as file:
        file.write(text + '\n')
    click.echo(f'wrote {path}')
