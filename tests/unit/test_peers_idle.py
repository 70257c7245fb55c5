"""Sockets between daemons: idle close, reset and held answers."""

import asyncio
import unittest

from samphiredock import protocol
from samphiredock import transport
from standins import cluster
from standins import memory_daemons

_CODEC = protocol.Codec(protocol.CONTROL_MESSAGES)


class _Counters(memory_daemons.Counters):
    def add_bulk(self, name: str, amount: float, **labels: object) -> None:
        """Count like ``Metrics.add_bulk``."""
        self.add(name, amount)


class PeerSocketsTest(unittest.IsolatedAsyncioTestCase):
    """Two peer hubs on loopback."""

    async def asyncSetUp(self) -> None:
        self.addresses = [
            f'tcp://127.0.0.1:{port}' for port in cluster.free_ports(2)
        ]
        self.got: asyncio.Queue = asyncio.Queue()
        self.sender = self._hub(0)
        self.sender.set_address('entry-1', self.addresses[1])

    def _hub(self, number: int) -> transport.PeerHub:
        hub = transport.PeerHub(
            f'entry-{number}', self.addresses[number], _CODEC, _Counters()
        )
        hub.subscribe(
            protocol.RevisionHeld,
            lambda sender, held: self.got.put_nowait(held.revision),
        )
        self.addCleanup(hub.close)
        return hub

    def _send(self, revision: int) -> None:
        self.sender.send('entry-1', protocol.RevisionHeld(revision))

    async def _receive(self) -> int:
        return await asyncio.wait_for(self.got.get(), 10)

    async def test_an_idle_socket_is_closed_and_reopened(self) -> None:
        """Idle connections take memory at both ends; a send reopens one."""
        self._hub(1)
        open_sockets = []
        for revision in (1, 2):
            self._send(revision)
            self.assertEqual(revision, await self._receive())
            for _ in range(2):
                self.sender.close_idle()
                open_sockets.append(len(self.sender._outgoing))
        self.assertEqual([1, 0, 1, 0], open_sockets)

    async def test_an_answer_waits_for_an_unknown_address(
        self,
    ) -> None:
        """A search would lose the results of a daemon that just started.

        The answer is ready before that daemon knows the address of the one
        that asked.  Other messages are not held: ``send`` returns False.
        """
        other = self._hub(1)
        held = protocol.RevisionHeld(7)
        self.assertFalse(other.send('entry-0', protocol.RevisionHeld(6)))
        other.answer('entry-0', held)
        other.set_address('entry-0', self.addresses[0])
        other.answer('entry-0', protocol.RevisionHeld(8))
        self.assertEqual([7, 8], [await self._receive() for _ in range(2)])

    async def test_reset_keeps_queued_messages(self) -> None:
        """The socket to a restarting peer is reset while an order is queued.

        If the order was lost, its caller would get an unknown outcome.
        """
        self._send(1)
        await asyncio.sleep(0)
        self.sender.reset('entry-1')
        self._send(2)
        self._hub(1)
        got = {await self._receive(), await self._receive()}
        self.assertEqual({1, 2}, got)
