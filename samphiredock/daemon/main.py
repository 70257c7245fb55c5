"""The program ``samphiredockd``, which serves searches and runs."""

import asyncio
import pathlib
import signal
import sys
import typing

import click
from returns import result
import zmq

from samphiredock.daemon import _node
from samphiredock import logs
from samphiredock import state

_CANNOT_RUN_STATUS = 1
_INVALID_STATUS = 2


@click.command()
@click.option(
    '--settings',
    'settings_path',
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help='JSON with comments; see docs/CONFIGURATION.md.',
)
@click.option('--check', is_flag=True, help='Validate the file and exit.')
def main(settings_path: pathlib.Path, check: bool) -> None:
    """Run one samphiredock daemon until SIGTERM or SIGINT.

    Exit status: 0 after an orderly stop, 1 if an address cannot be
    listened on, 2 for settings or keys that are not valid; every mistake
    is printed with file, path, what was got and what was expected.
    """
    settings = _read(settings_path, state.load_settings)
    keys = state.Keys()
    if settings.keys_file is not None:
        keys = _read(pathlib.Path(settings.keys_file), state.load_keys)
    if check:
        click.echo(f'{settings_path}: valid')
        return
    logs.set_up(settings.log_level)
    try:
        asyncio.run(_serve(settings, keys))
    except (OSError, zmq.ZMQError) as error:
        click.echo(f'cannot run with {settings_path}: {error}', err=True)
        sys.exit(_CANNOT_RUN_STATUS)


def _read(
    path: pathlib.Path,
    load: typing.Callable[[pathlib.Path], result.Result],
) -> typing.Any:
    loaded = load(path)
    if isinstance(loaded, result.Failure):
        for problem in loaded.failure():
            click.echo(str(problem), err=True)
        sys.exit(_INVALID_STATUS)
    return loaded.unwrap()


async def _serve(settings: state.Settings, keys: state.Keys) -> None:
    loop = asyncio.get_running_loop()
    node = _node.Node(settings, keys)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.on_signal)
    await node.start()
    await node.wait_stopped()


if __name__ == '__main__':
    main()
