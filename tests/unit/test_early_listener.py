import pathlib
import socket
import subprocess
import sys
import unittest

from samphiredock.daemon import early_listener

ROOT = pathlib.Path(__file__).parents[2]

_OTHER_DAEMON_MODULES = (
    'aiohttp',
    'zmq',
    'opentelemetry',
    'samphiredock.cli',
    'samphiredock.coordination.fleet',
    'samphiredock.coordination.once',
    'samphiredock.coordination.quarantine',
    'samphiredock.state._claims',
    'samphiredock.state._compiler',
    'samphiredock.transport._caller_http',
    'samphiredock.transport._peers',
)
"""Libraries and modules that the entry daemon does not need to start."""


class EarlyListenerTest(unittest.TestCase):
    """Callers can connect before the daemon's modules are imported."""

    def _listen(self, *arguments: str) -> socket.socket | None:
        listener = early_listener.listen(arguments, '--callers')
        if listener is not None:
            self.addCleanup(listener.close)
        return listener

    def test_callers_wait_in_the_queue(self) -> None:
        """Refused callers would have no attempt left after the start."""
        listener = self._listen('entry', '--callers', '127.0.0.1:0')
        host, _, port = early_listener.address_of(listener).rpartition(':')
        with socket.create_connection((host, int(port)), 1.0) as caller:
            caller.sendall(b'GET / HTTP/1.1\r\n\r\n')
            accepted, _ = listener.accept()
            with accepted:
                self.assertEqual(b'GET', accepted.recv(3))

    def test_unusable_addresses_are_left_to_the_daemon(self) -> None:
        """The daemon reports the error once it has read its settings."""
        listener = self._listen('entry', '--callers', '127.0.0.1:0')
        for text in (
            early_listener.address_of(listener),
            'nothing',
            '127.0.0.1:x',
            ':99999999',
        ):
            with self.subTest(text):
                self.assertIsNone(self._listen('entry', '--callers', text))

    def test_without_the_option_nothing_is_opened(self) -> None:
        for arguments in ((), ('entry',), ('entry', '--callers')):
            with self.subTest(arguments):
                self.assertIsNone(self._listen(*arguments))

    def test_importing_it_loads_no_large_library(self) -> None:
        """Otherwise it would not listen early."""
        code = (
            'import sys; from samphiredock.daemon import early_listener;'
            'sys.exit("aiohttp" in sys.modules)'
        )
        done = subprocess.run(
            [sys.executable, '-c', code], cwd=ROOT, check=False
        )
        self.assertEqual(0, done.returncode)

    def test_entry_daemon_loads_only_its_own_modules(self) -> None:
        """A needless import breaks nothing, but delays each start.

        Callers wait until all imports are done.
        """
        code = (
            'import sys; sys.path[:0] = ["platform"];'
            'import prepared_hosts; from samphiredock.daemon import entry;'
            'print(*sys.modules)'
        )
        done = subprocess.run(
            [sys.executable, '-c', code],
            cwd=ROOT,
            check=True,
            capture_output=True,
            text=True,
        )
        loaded = set(done.stdout.split())
        unneeded = [
            name for name in loaded if name.startswith(_OTHER_DAEMON_MODULES)
        ]
        self.assertEqual([], unneeded)
