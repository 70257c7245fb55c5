"""CURVE keys between daemons."""

import asyncio
import unittest

import msgspec
import zmq

from samphiredock import metrics
from samphiredock import protocol
from samphiredock import transport
from standins import cluster

_POLLS = 400
_POLL_S = 0.025


class Hello(msgspec.Struct, frozen=True):
    """A message of these tests."""

    number: int


class CurveTest(unittest.IsolatedAsyncioTestCase):
    """Hubs of one process over loopback."""

    def setUp(self) -> None:
        """Make key pairs for two members and a stranger."""
        pairs = [zmq.curve_keypair() for _ in range(3)]
        self.pairs = [(a.decode(), b.decode()) for a, b in pairs]
        self.admitted = {'a': self.pairs[0][0], 'b': self.pairs[1][0]}
        self.heard: list[tuple[str, int]] = []

    def _hub(
        self, name: str, pair: tuple[str, str] | None
    ) -> tuple[transport.PeerHub, metrics.Metrics, str]:
        (port,) = cluster.free_ports(1)
        address = f'tcp://127.0.0.1:{port}'
        counters = metrics.Metrics(name)
        keys = pair and transport.CurveKeys(*pair, self.admitted)
        codec = protocol.Codec([Hello])
        hub = transport.PeerHub(name, address, codec, counters, keys)
        self.addCleanup(hub.close)
        hub.subscribe(
            Hello,
            lambda sender, hello: self.heard.append((sender, hello.number)),
        )
        return hub, counters, address

    async def _until(self, condition: object) -> None:
        for _ in range(_POLLS):
            if condition():
                return
            await asyncio.sleep(_POLL_S)
        self.fail('the awaited event did not come')

    async def test_admitted_keys_are_heard_and_a_stranger_is_not(
        self,
    ) -> None:
        """A stranger knows the address and the public key of a member.

        It connects with a key pair of its own; the member refuses and
        counts the connection, and goes on to hear its peers.
        """
        first, counters, address = self._hub('a', self.pairs[0])
        second, _, second_address = self._hub('b', self.pairs[1])
        stranger, _, _ = self._hub('c', self.pairs[2])
        stranger.set_address('a', address)
        self.assertTrue(stranger.send('a', Hello(666)))
        await self._until(lambda: counters.total('peer_connections_refused'))
        first.set_address('b', second_address)
        second.set_address('a', address)
        second.send('a', Hello(1))
        first.send('b', Hello(2))
        await self._until(lambda: len(self.heard) == 2)
        self.assertEqual({('b', 1), ('a', 2)}, set(self.heard))

    async def test_nothing_is_sent_in_the_clear(self) -> None:
        """A member whose key is unknown gets no message at all."""
        first, counters, _ = self._hub('a', self.pairs[0])
        _, _, address = self._hub('c', None)
        first.set_address('c', address)
        first.send('c', Hello(1))
        await self._until(lambda: counters.total('peer_messages_dropped'))
        self.assertEqual([], self.heard)

    async def test_a_member_cannot_speak_for_another(self) -> None:
        """Its key is admitted, but under another name.

        Believed, it could say for the holder of a claim that the request
        was never sent, and have it run a second time.
        """
        _, counters, address = self._hub('a', self.pairs[0])
        liar, _, _ = self._hub('a', self.pairs[1])
        second, _, _ = self._hub('b', self.pairs[1])
        for hub, number in ((liar, 666), (second, 1)):
            hub.set_address('x', address)
            hub._keys.admitted['x'] = self.pairs[0][0]
            hub.send('x', Hello(number))
        await self._until(lambda: counters.total('peer_senders_refused'))
        await self._until(lambda: self.heard)
        self.assertEqual([('b', 1)], self.heard)

    async def test_a_plain_peer_is_not_heard(self) -> None:
        """A member with keys takes nothing from a peer without."""
        _, counters, address = self._hub('a', self.pairs[0])
        second, _, _ = self._hub('b', self.pairs[1])
        plain, _, _ = self._hub('c', None)
        plain.set_address('a', address)
        plain.send('a', Hello(666))
        second.set_address('a', address)
        second.send('a', Hello(1))
        await self._until(lambda: self.heard)
        self.assertEqual([('b', 1)], self.heard)
