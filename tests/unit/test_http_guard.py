"""Which connections a stopping daemon must not close yet."""

import types
import unittest

from samphiredock import transport


class BusyTest(unittest.TestCase):
    """Each state of a connection."""

    def test_busy(self) -> None:
        """Closing a busy connection would lose a response."""
        for name, in_progress, queued, unsent, expected in (
            ('idle', False, [], 0, False),
            ('being served', True, [], 0, True),
            ('request queued', False, ['request'], 0, True),
            ('response not sent', False, [], 1, True),
            ('closed', False, [], None, False),
        ):
            fake_transport = None
            if unsent is not None:
                fake_transport = types.SimpleNamespace(
                    get_write_buffer_size=lambda unsent=unsent: unsent
                )
            connection = types.SimpleNamespace(
                _request_in_progress=in_progress,
                _messages=queued,
                transport=fake_transport,
            )
            with self.subTest(name):
                self.assertIs(expected, transport.is_busy(connection))
