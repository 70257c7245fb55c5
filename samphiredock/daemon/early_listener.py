"""The callers' address, listened on before the libraries are imported.

Importing them takes most of a start.  After a loss of power callers that
connect meanwhile would be refused at once, on every host they try, and have
no attempt left when the daemons are there; so they wait in the queue of the
socket.  This module imports nothing that takes time.
"""

from collections import abc
import signal
import socket

BACKLOG = 1_024
"""Connections that may wait to be accepted; callers come in bursts."""


def ignore_reload() -> None:
    """Have the signal to read the settings again do nothing for now.

    By default it ends the process, and with it the callers that wait.  The
    settings have not been read yet, so that nothing is missed.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def listen(arguments: abc.Sequence[str], option: str) -> socket.socket | None:
    """Listen on the address that an option of the command line states.

    Parameters
    ----------
    arguments
        The command line.
    option
        Whose value is ``IP:port``.

    Returns
    -------
    socket.socket or None
        None if the option is not there or its address cannot be listened
        on: the daemon then tries its settings' address itself, and says
        what is wrong with it.
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
    """Return ``IP:port``."""
    host, port = listening.getsockname()[:2]
    return f'{host}:{port}'
