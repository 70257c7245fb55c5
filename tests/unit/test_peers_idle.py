"""Sockets to peers that are not used."""

import asyncio
import unittest

from samphiredock import protocol
from samphiredock import transport
from standins import cluster
from standins import memory_daemons

_CODEC = protocol.Codec(protocol.CONTROL_MESSAGES)


class _Counters(memory_daemons.Counters):
    def add_bulk(self, name: str, amount: float, **labels: object) -> None:
        """Count as the real one does."""
        self.add(name, amount)


class PeersIdleTest(unittest.IsolatedAsyncioTestCase):
    """Two hubs on loopback."""

    async def test_idle_socket_is_closed_and_made_anew(self) -> None:
        """An idle connection costs both ends memory; the next send works."""
        addresses = [
            f'tcp://127.0.0.1:{port}' for port in cluster.free_ports(2)
        ]
        hubs = [
            transport.PeerHub(f'entry-{n}', address, _CODEC, _Counters())
            for n, address in enumerate(addresses)
        ]
        got: asyncio.Queue = asyncio.Queue()
        hubs[1].subscribe(
            protocol.RevisionHeld, lambda sender, held: got.put_nowait(held)
        )
        hubs[0].set_address('entry-1', addresses[1])
        open_sockets = []
        for revision in (1, 2):
            hubs[0].send('entry-1', protocol.RevisionHeld(revision))
            held = await asyncio.wait_for(got.get(), 10)
            self.assertEqual(revision, held.revision)
            hubs[0].close_idle()
            open_sockets.append(len(hubs[0]._outgoing))
            hubs[0].close_idle()
            open_sockets.append(len(hubs[0]._outgoing))
        for hub in hubs:
            hub.close()
        self.assertEqual([1, 0, 1, 0], open_sockets)
