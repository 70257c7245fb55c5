"""Exchange of objects between daemons, seen from one daemon."""

import unittest

from samphiredock import coordination
from samphiredock.coordination.config import _exchange
from samphiredock import protocol
from samphiredock import timers
from standins import memory_daemons
from standins import memory_peers
from tests.failure import test_configuration

KEY = coordination.CONFIGURATION_KEY


class ExchangeTest(unittest.TestCase):
    """A daemon that holds no object yet."""

    def setUp(self) -> None:
        """Make the exchange; messages to peers are recorded."""
        self.peers = memory_peers.RecordingPeers()
        self.clock = timers.ManualTimers()
        counters = memory_daemons.Counters()
        self.current_state = coordination.CurrentState(counters)
        _exchange.ObjectExchange(
            'me',
            self.current_state,
            self.peers,
            lambda message, site: None,
            self.clock,
            counters,
        )

    def deliver(self, sender: str, message: object) -> None:
        """Deliver a message."""
        self.peers.deliver(message, sender)

    def test_requests_from_one_peer_at_a_time(self) -> None:
        """Only one of several notices is followed by a request."""
        notice = protocol.ObjectVersion(KEY, 2, 'origin')
        ask = protocol.ObjectAsk(KEY, 2)
        self.deliver('a', notice)
        self.deliver('b', notice)
        self.assertEqual([('a', ask)], self.peers.take())
        self.clock.advance(700)
        self.deliver('b', notice)
        self.assertEqual([('b', ask)], self.peers.take())

    def test_early_request_is_answered_later(self) -> None:
        """A request for a version not held yet is answered when it arrives."""
        value = test_configuration.source(2, 'two')
        self.deliver('a', protocol.ObjectVersion(KEY, 2, 'origin'))
        self.deliver('child', protocol.ObjectAsk(KEY, 2))
        self.peers.take()
        changed = protocol.ObjectChanged(KEY, 2, value)
        self.deliver('a', changed)
        expected = [
            ('child', changed),
            ('origin', protocol.RevisionHeld(2)),
        ]
        self.assertEqual(expected, self.peers.take())

    def test_unreadable_object_is_not_requested_again(self) -> None:
        """A version that cannot be decoded is not requested again."""
        notice = protocol.ObjectVersion(KEY, 2, 'origin')
        self.deliver('a', notice)
        self.deliver('a', protocol.ObjectChanged(KEY, 2, b'{'))
        self.peers.take()
        self.clock.advance(700)
        self.deliver('a', notice)
        self.assertEqual([], self.peers.take())
