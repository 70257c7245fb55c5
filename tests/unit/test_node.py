"""The start of a daemon that cannot listen."""

import contextlib
import gc
import socket
import unittest
import warnings

import zmq

from samphiredock.daemon import _node
from samphiredock import state
from standins import cluster


class NodeTest(unittest.IsolatedAsyncioTestCase):
    """One node, one of whose addresses is taken."""

    def setUp(self) -> None:
        """Choose its addresses."""
        self.ports = cluster.free_ports(3)

    def make(self) -> _node.Node:
        """Return a node that listens there."""
        caller, operator, peer = self.ports
        return _node.Node(
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

    async def test_failed_start_leaves_nothing_open(self) -> None:
        """Whoever starts it again finds the other addresses free."""
        caller, operator, peer = self.ports
        with contextlib.closing(socket.create_server(('127.0.0.1', operator))):
            node = self.make()
            with self.assertRaises(OSError):
                await node.start()
        for port in (caller, peer):
            with contextlib.closing(socket.create_server(('127.0.0.1', port))):
                pass

    async def test_taken_peer_address_leaves_nothing_open(self) -> None:
        """No session is left behind to be collected unclosed."""
        taken = socket.create_server(('127.0.0.1', self.ports[2]))
        with contextlib.closing(taken):
            with warnings.catch_warnings(record=True) as seen:
                warnings.simplefilter('always')
                with self.assertRaises(zmq.ZMQError):
                    self.make()
                gc.collect()
        self.assertEqual([], [str(row.message) for row in seen])
