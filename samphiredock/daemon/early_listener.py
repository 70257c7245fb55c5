"""Listens on the callers' address before the libraries are imported.

Importing them takes most of the start.  When all daemons start at once, as
after a power loss, callers would be refused on every host and have no attempt
left when the daemons are ready; instead they wait in the listen queue.  This
module imports only what is quick to load.
"""

from collections import abc
import signal
import socket

BACKLOG = 1_024
"""Length of the listen queue, which has to hold bursts of callers."""


def ignore_reload() -> None:
    """Ignore SIGHUP, the signal to reload the settings.

    Its default action would end the process and disconnect waiting callers.
    No reload is missed, as the settings have not been read yet.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def listen(arguments: abc.Sequence[str], option: str) -> socket.socket | None:
    """Listen on the address given by a command-line option.

    Parameters
    ----------
    arguments
        The command line.
    option
        The option whose value is ``IP:port``.

    Returns
    -------
    socket.socket or None
        The listening socket, None if the option is missing or its address
        cannot be listened on.  The daemon then tries the address in its
        settings and reports the error.
    """
    if option not in arguments[:-1]:
        return None
    address = arguments[arguments.index(option) + 1]
    host, _, port = address.rpartition(':')
    try:
        return socket.create_server((host, int(port)), backlog=BACKLOG)
    except (OSError, ValueError, OverflowError):
        return None


def address_of(listening: socket.socket) -> str:
    """Return the address of a listening socket as ``IP:port``."""
    host, port = listening.getsockname()[:2]
    return f'{host}:{port}'
