"""Runs the entry daemon with a platform's adapter."""

import asyncio
import functools
import gc
import pathlib
import signal
import socket
import sys

import click
from returns import result

from samphiredock.daemon import _entry_adapter
from samphiredock.daemon import _entry_node
from samphiredock.daemon import early_listener
from samphiredock import logs
from samphiredock import state

Adapter = _entry_adapter.Adapter
EntryNode = _entry_node.EntryNode

_SETTINGS_POLL_S = 2.0
"""Interval of checks whether the settings file has changed."""

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

_CANNOT_RUN_STATUS = 1
_INVALID_STATUS = 2

_log = logs.logger('entry')


class _SettingsFile:
    """The settings file, with its modification time and size when read."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._last_stamp = self._stamp()

    def _stamp(self) -> tuple[int, int]:
        try:
            status = self._path.stat()
        except OSError as error:
            _log.error('settings file inaccessible', why=str(error))
            return 0, 0
        return status.st_mtime_ns, status.st_size

    def has_changed(self) -> bool:
        """Whether the file has changed since it was last read."""
        return self._stamp() != self._last_stamp

    def reload(self, node: EntryNode) -> None:
        """Reload a node's settings; invalid ones are logged and not used."""
        self._last_stamp = self._stamp()
        loaded = state.load_entry_settings(self._path)
        if isinstance(loaded, result.Failure):
            problems = [str(problem) for problem in loaded.failure()]
            _log.error('settings are not valid', problems=problems)
            return
        node.reload(loaded.unwrap())


def run(
    settings_path: pathlib.Path,
    check: bool,
    adapter: Adapter,
    caller_listener: socket.socket | None = None,
) -> None:
    """Run one daemon until SIGTERM or SIGINT.

    ``caller_listener`` already listens on ``caller_address``; see
    :mod:`samphiredock.daemon.early_listener`.

    Exit status: 0 after an orderly stop, 1 if an address cannot be
    listened on, 2 for settings that are not valid; every mistake is
    printed with file, path, what was got and what was expected.
    """
    # Records the file's state before the settings are read, so that a change
    # in between is noticed.
    settings_file = _SettingsFile(settings_path)
    settings = _read(settings_path)
    if check:
        click.echo(f'{settings_path}: valid')
        return
    if caller_listener is not None:
        _check_address(caller_listener, settings)
    stream = logs.BoundedStream(sys.stdout.fileno())
    logs.set_up(settings.log_level, stream)
    try:
        asyncio.run(
            _serve(settings, adapter, stream, settings_file, caller_listener)
        )
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


def _check_address(
    caller_listener: socket.socket, settings: state.EntrySettings
) -> None:
    got, expected = (
        early_listener.address_of(caller_listener),
        settings.caller_address,
    )
    if got != expected:
        click.echo(
            f'listens for callers on {got}, expected {expected} '
            f'(caller_address of the settings)',
            err=True,
        )
        sys.exit(_INVALID_STATUS)


async def _serve(
    settings: state.EntrySettings,
    adapter: Adapter,
    stream: logs.BoundedStream,
    settings_file: _SettingsFile,
    caller_listener: socket.socket | None,
) -> None:
    loop = asyncio.get_running_loop()
    node = EntryNode(settings, adapter, stream, caller_listener)
    for number in _STOP_SIGNALS:
        loop.add_signal_handler(number, node.on_signal)
    loop.add_signal_handler(signal.SIGHUP, lambda: settings_file.reload(node))
    await node.start()
    # The calling program may have disabled the collector for the imports.
    # Imported objects live as long as the process; collections that traversed
    # them would delay requests.
    gc.freeze()
    gc.enable()
    poll_task = node.start_loop(
        functools.partial(_poll_settings, settings_file, node), 'settings'
    )
    await node.wait_stopped()
    poll_task.cancel()
    # Once the loop is closed, a signal would have its default action, which
    # ends the process as if it had failed.
    for number in (*_STOP_SIGNALS, signal.SIGHUP):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


async def _poll_settings(
    settings_file: _SettingsFile, node: EntryNode
) -> None:
    """Reload the settings when the file changes without a signal."""
    while True:
        await asyncio.sleep(_SETTINGS_POLL_S)
        if settings_file.has_changed():
            settings_file.reload(node)
