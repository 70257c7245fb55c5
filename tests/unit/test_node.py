"""Tests of the start of a daemon that cannot listen on an address."""

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
    """A node with one address already in use."""

    def setUp(self) -> None:
        """Choose its addresses."""
        self.ports = cluster.free_ports(3)

    def make(self) -> _node.Node:
        """Return a node with these addresses."""
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
        """The other addresses must be free for another start."""
        caller, operator, peer = self.ports
        with contextlib.closing(socket.create_server(('127.0.0.1', operator))):
            node = self.make()
            with self.assertRaises(OSError):
                await node.start()
        for port in (caller, peer):
            with contextlib.closing(socket.create_server(('127.0.0.1', port))):
                pass

    async def test_taken_peer_address_leaves_nothing_open(self) -> None:
        """An unclosed HTTP session would cause a ResourceWarning."""
        taken = socket.create_server(('127.0.0.1', self.ports[2]))
        with contextlib.closing(taken):
            with warnings.catch_warnings(record=True) as seen:
                warnings.simplefilter('always')
                with self.assertRaises(zmq.ZMQError):
                    self.make()
                gc.collect()
        self.assertEqual([], [str(row.message) for row in seen])
