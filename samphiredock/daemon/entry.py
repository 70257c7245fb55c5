"""The daemon that passes requests on, run by a platform's adapter."""

import asyncio
import pathlib
import signal
import sys

import click
from returns import result

from samphiredock.daemon import _entry_node
from samphiredock import logs
from samphiredock import state

Adapter = _entry_node.Adapter
EntryNode = _entry_node.EntryNode

_CANNOT_RUN_STATUS = 1
_INVALID_STATUS = 2


def run(settings_path: pathlib.Path, check: bool, adapter: Adapter) -> None:
    """Run one daemon until SIGTERM or SIGINT.

    Exit status: 0 after an orderly stop, 1 if an address cannot be
    listened on, 2 for settings that are not valid; every mistake is
    printed with file, path, what was got and what was expected.
    """
    settings = _read(settings_path)
    if check:
        click.echo(f'{settings_path}: valid')
        return
    stream = logs.BoundedStream(sys.stdout.fileno())
    logs.set_up(settings.log_level, stream)
    try:
        asyncio.run(_serve(settings, adapter, stream))
    except OSError as error:
        click.echo(f'cannot run with {settings_path}: {error}', err=True)
        sys.exit(_CANNOT_RUN_STATUS)


def _read(path: pathlib.Path) -> state.EntrySettings:
    loaded = state.load_entry_settings(path)
    if isinstance(loaded, result.Failure):
        for problem in loaded.failure():
            click.echo(str(problem), err=True)
        sys.exit(_INVALID_STATUS)
    return loaded.unwrap()


async def _serve(
    settings: state.EntrySettings,
    adapter: Adapter,
    stream: logs.BoundedStream,
) -> None:
    loop = asyncio.get_running_loop()
    node = EntryNode(settings, adapter, stream)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.on_signal)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    await node.start()
    await node.wait_stopped()
