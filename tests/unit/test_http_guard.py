"""Which connections a daemon that stops has yet to answer."""

import types
import unittest

from samphiredock import transport


class BusyTest(unittest.TestCase):
    """One row for each state of a connection."""

    def test_busy(self) -> None:
        """Closed now, each busy one would cut an answer."""
        for what, in_progress, behind, unsent, expected in (
            ('idle', False, [], 0, False),
            ('being served', True, [], 0, True),
            ('one waits behind', False, ['request'], 0, True),
            ('its caller reads slowly', False, [], 1, True),
            ('gone', False, [], None, False),
        ):
            carrier = None
            if unsent is not None:
                carrier = types.SimpleNamespace(
                    get_write_buffer_size=lambda unsent=unsent: unsent
                )
            connection = types.SimpleNamespace(
                _request_in_progress=in_progress,
                _messages=behind,
                transport=carrier,
            )
            with self.subTest(what):
                self.assertIs(expected, transport.is_busy(connection))
