"""The start of a daemon that cannot listen."""

import contextlib
import socket
import unittest

from samphiredock.daemon import _node
from samphiredock import state
from standins import cluster


class NodeTest(unittest.IsolatedAsyncioTestCase):
    """One node, one of whose addresses is taken."""

    async def test_failed_start_leaves_nothing_open(self) -> None:
        """Whoever starts it again finds the other addresses free."""
        caller, operator, peer = cluster.free_ports(3)
        with contextlib.closing(socket.create_server(('127.0.0.1', operator))):
            node = _node.Node(
                state.Settings(
                    'entry-1',
                    'bole-a',
                    'addis',
                    f'127.0.0.1:{caller}',
                    f'127.0.0.1:{operator}',
                    f'tcp://127.0.0.1:{peer}',
                    'http://127.0.0.1:1',
                )
            )
            with self.assertRaises(OSError):
                await node.start()
        for port in (caller, peer):
            with contextlib.closing(socket.create_server(('127.0.0.1', port))):
                pass
