"""Signs that targets are leaving or back."""

import random
import unittest

from returns import result

from samphiredock.coordination.targets import _target_signs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import timers
from samphiredock import transport
from standins import memory_peers
from standins import memory_platform
from tests.unit import dispatching


class SignsCase(unittest.IsolatedAsyncioTestCase):
    """One daemon with a store in memory."""

    def setUp(self) -> None:
        self.clock = timers.ManualTimers()
        self.peers = memory_peers.RecordingPeers()
        self.counters = metrics.Metrics('test')
        self.addCleanup(self.counters.close)
        self.store = memory_platform.MemoryStore(random.Random(1))
        self.is_watcher = True
        self.signs = self._make(self.peers)

    def _make(
        self, peers: memory_peers.RecordingPeers
    ) -> _target_signs.TargetSigns:
        return _target_signs.TargetSigns(
            memory_platform.MemoryPlatform(self.store, self.clock),
            peers,
            peers,
            self.clock,
            self.counters,
            random.Random(1),
            lambda: ['d2'],
            lambda: self.is_watcher,
        )

    def _object(self, leaving: bool, at_ms: int) -> None:
        value = b'{"leaving":%s,"at_ms":%d}' % (
            str(leaving).lower().encode(),
            at_ms,
        )
        self.signs.on_object(transport.StoredObject('targets/t1', 1, value))

    def _hosts(self, leaving: bool) -> None:
        self.signs.on_hosts([transport.Host('t1', leaving)])

    def _assert_usable(self, usable: bool) -> None:
        self.assertEqual(usable, self.signs.is_usable('t1'))


class TargetSignsTest(SignsCase):
    """Which sign of which source decides."""

    def test_newest_object_wins_in_any_order(self) -> None:
        self._object(True, 20)
        self._object(False, 10)
        self._assert_usable(False)
        self._object(False, 30)
        self._assert_usable(True)

    def test_unreadable_object_is_counted(self) -> None:
        stored = transport.StoredObject('targets/t1', 1, b'{"leaving":1}')
        self.signs.on_object(stored)
        self.assertEqual(1, self.counters.total('target_objects_unreadable'))
        self._assert_usable(True)

    def test_outdated_host_list_does_not_undo_the_targets_own_sign(
        self,
    ) -> None:
        self.signs.on_target_report('t1', True)
        self._hosts(False)
        self._assert_usable(False)
        self.assertEqual(['t1'], self.signs.targets_to_probe())

    def test_return_in_the_list_needs_a_probe(self) -> None:
        self._hosts(True)
        self.assertEqual([], self.signs.targets_to_probe())
        self.clock.advance(1_000.0)
        self._hosts(False)
        self._assert_usable(False)
        self.assertEqual(['t1'], self.signs.targets_to_probe())
        self.clock.advance(1.0)
        self.signs.on_target_report('t1', False)
        self._assert_usable(True)

    def test_new_sign_is_broadcast_and_an_older_return_ignored(
        self,
    ) -> None:
        self.signs.on_target_report('t1', True)
        sign = self.peers.of_type(protocol.TargetSign)[0]
        self.peers.deliver(protocol.TargetSign('t1', False, sign.at_ms - 1))
        self._assert_usable(False)
        self.peers.deliver(protocol.TargetSign('t1', False, sign.at_ms + 1))
        self._assert_usable(True)
        self.signs.on_target_report('t1', True)
        self._assert_usable(False)
        self.assertGreater(
            self.peers.of_type(protocol.TargetSign)[1].at_ms, sign.at_ms + 1
        )

    def test_answer_requested_before_the_sign_is_no_return(self) -> None:
        asked_at_ms = self.clock.wall_ms()
        self.clock.advance(5.0)
        self.signs.on_target_report('t1', True)
        self.signs.on_target_report('t1', False, asked_at_ms)
        self._assert_usable(False)
        sent_signs = [
            row.leaving for row in self.peers.of_type(protocol.TargetSign)
        ]
        self.assertEqual([True], sent_signs)
        self.signs.on_target_report('t1', False, asked_at_ms + 6)
        self._assert_usable(True)

    def test_peer_that_asks_gets_the_known_signs(self) -> None:
        self.signs.on_target_report('t1', True)
        self.peers.sent.clear()
        self.peers.deliver(protocol.TargetSignsWanted(), 'd3')
        self.assertEqual('d3', self.peers.sent[0][0])
        self.assertTrue(self.peers.sent[0][1].leaving)

    async def test_operator_writes_and_settles_the_targets_own_sign(
        self,
    ) -> None:
        self.signs.on_target_report('t1', True)
        self.clock.advance(5.0)
        reply = await self.signs.set_leaving('t1', False)
        self.assertEqual(1, reply.unwrap())
        self._assert_usable(True)

    async def test_store_that_is_down_is_an_error_value(self) -> None:
        self.store.outage = True
        reply = await self.signs.set_leaving('t1', True)
        self.assertIsInstance(reply, result.Failure)
        self._assert_usable(True)


class HostListTest(SignsCase):
    """A few daemons read the platform's host list for all."""

    def setUp(self) -> None:
        super().setUp()
        self.other_peers = memory_peers.RecordingPeers()
        self.other = self._make(self.other_peers)

    async def _run(self, seconds: int) -> None:
        for _ in range(seconds):
            await dispatching.settle()
            self.clock.advance(1_000.0)
        await dispatching.settle()

    async def test_only_watchers_read_it_again(self) -> None:
        """Reads of the list must not grow with the number of daemons."""
        for is_watcher, reads in ((False, 1), (True, 11)):
            with self.subTest(is_watcher=is_watcher):
                self.is_watcher = is_watcher
                self.store.calls.clear()
                signs = self._make(memory_peers.RecordingPeers())
                signs.start()
                await self._run(10)
                signs.close()
                self.assertEqual(reads, self.store.calls['hosts'])

    async def test_other_daemons_apply_what_a_watcher_reads(self) -> None:
        """Leaving and return, with the first broadcast of each lost."""
        for leaving in (True, False):
            self.clock.advance(1_000.0)
            self._hosts(leaving)
            self._exchange()
            self.assertEqual(self._view(self.signs), self._view(self.other))
        self.assertEqual(['t1'], self.other.targets_to_probe())
        self._assert_usable(False)

    def _view(self, signs: _target_signs.TargetSigns) -> tuple:
        return signs.leaving(), signs.targets_to_probe()

    def _exchange(self) -> int:
        """Let the other daemon ask; return how many signs it was sent."""
        self.other._ask_peer()
        request = self.other_peers.of_type(protocol.TargetSignsWanted)[-1]
        self.peers.sent.clear()
        self.peers.deliver(request)
        sent_signs = self.peers.of_type(protocol.TargetSign)
        for sign in sent_signs:
            self.other_peers.deliver(sign)
        return len(sent_signs)

    def test_peer_with_the_same_signs_gets_none(self) -> None:
        """Sending all signs each time would use much bandwidth."""
        names = [f't{number}' for number in range(50)]
        self.signs.on_hosts([transport.Host(name, True) for name in names])
        self.assertEqual([50, 0], [self._exchange(), self._exchange()])
        self._hosts(False)
        self.assertLess(0, self._exchange())
        self.assertEqual(0, self._exchange())
