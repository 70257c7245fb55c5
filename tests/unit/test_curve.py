"""CURVE authentication and encryption between daemons."""

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
    """A message for these tests."""

    number: int


class CurveTest(unittest.IsolatedAsyncioTestCase):
    """Peer hubs in one process, connected over loopback."""

    def setUp(self) -> None:
        """Make key pairs for two members and an outsider."""
        pairs = [zmq.curve_keypair() for _ in range(3)]
        self.pairs = [(a.decode(), b.decode()) for a, b in pairs]
        self.admitted = {'a': self.pairs[0][0], 'b': self.pairs[1][0]}
        self.received: list[tuple[str, int]] = []

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
            lambda sender, hello: self.received.append((sender, hello.number)),
        )
        return hub, counters, address

    async def _until(self, condition: object) -> None:
        for _ in range(_POLLS):
            if condition():
                return
            await asyncio.sleep(_POLL_S)
        self.fail(f'condition still false after {_POLLS * _POLL_S} s')

    async def test_only_admitted_keys_are_accepted(
        self,
    ) -> None:
        """A connection with a key that is not admitted is refused.

        The refusal is counted, and messages of admitted peers still arrive.
        """
        first, counters, address = self._hub('a', self.pairs[0])
        second, _, second_address = self._hub('b', self.pairs[1])
        outsider, _, _ = self._hub('c', self.pairs[2])
        outsider.set_address('a', address)
        self.assertTrue(outsider.send('a', Hello(666)))
        await self._until(lambda: counters.total('peer_connections_refused'))
        first.set_address('b', second_address)
        second.set_address('a', address)
        second.send('a', Hello(1))
        first.send('b', Hello(2))
        await self._until(lambda: len(self.received) == 2)
        self.assertEqual({('b', 1), ('a', 2)}, set(self.received))

    async def test_nothing_is_sent_in_the_clear(self) -> None:
        """A message to a peer whose key is unknown is dropped."""
        first, counters, _ = self._hub('a', self.pairs[0])
        _, _, address = self._hub('c', None)
        first.set_address('c', address)
        first.send('c', Hello(1))
        await self._until(lambda: counters.total('peer_messages_dropped'))
        self.assertEqual([], self.received)

    async def test_sender_name_must_match_the_key(self) -> None:
        """A message whose sender name does not match the key is dropped.

        Otherwise a member could report for the holder of a claim that its
        request was never sent, and have the request run a second time.
        """
        _, counters, address = self._hub('a', self.pairs[0])
        impostor, _, _ = self._hub('a', self.pairs[1])
        second, _, _ = self._hub('b', self.pairs[1])
        for hub, number in ((impostor, 666), (second, 1)):
            hub.set_address('x', address)
            hub._keys.admitted['x'] = self.pairs[0][0]
            hub.send('x', Hello(number))
        await self._until(lambda: counters.total('peer_senders_refused'))
        await self._until(lambda: self.received)
        self.assertEqual([('b', 1)], self.received)

    async def test_peer_without_keys_is_ignored(self) -> None:
        """A member with keys receives nothing from a peer without keys."""
        _, counters, address = self._hub('a', self.pairs[0])
        second, _, _ = self._hub('b', self.pairs[1])
        plain, _, _ = self._hub('c', None)
        plain.set_address('a', address)
        plain.send('a', Hello(666))
        second.set_address('a', address)
        second.send('a', Hello(1))
        await self._until(lambda: self.received)
        self.assertEqual([('b', 1)], self.received)
