"""Leaving targets get no new requests."""

import random
import unittest

from samphiredock.coordination.fleet import _ownership
from samphiredock.coordination.targets import _dispatcher
from samphiredock.coordination.targets import _target_signs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport
from standins import memory_link
from standins import memory_peers
from tests.unit import dispatching

_MEMBERS = [state.Member('d1', 'a', 'r', '', '', '', 1)]


class LeavingTargetTest(unittest.IsolatedAsyncioTestCase):
    """Daemon d1 owns a target of one slot."""

    def setUp(self) -> None:
        self.clock = timers.ManualTimers()
        self.peers = memory_peers.RecordingPeers()
        self.counters = metrics.Metrics('test')
        self.addCleanup(self.counters.close)
        self.configuration = dispatching.configuration(
            dispatching.target(slots=1)
        )
        self.link = memory_link.MemoryLink(dispatching.target())
        self.signs = self._signs()
        self.dispatcher = self._dispatcher(self.signs)
        self.numbers = iter(range(1, 100))

    def _signs(self) -> _target_signs.TargetSigns:
        return _target_signs.TargetSigns(
            None,
            self.peers,
            self.peers,
            self.clock,
            self.counters,
            random.Random(1),
            lambda: [],
        )

    def _dispatcher(
        self, signs: _target_signs.TargetSigns | None
    ) -> _dispatcher.Dispatcher:
        table = _ownership.OwnershipTable(
            lambda: self.configuration,
            lambda: None,
            lambda: _MEMBERS,
            self.clock,
        )
        made = _dispatcher.Dispatcher(
            self.peers,
            self.clock,
            self.counters,
            lambda _: self.link,
            signs=signs,
        )
        made.configure(self.configuration)
        made.follow_ownership('d1', table, lambda name: False)
        return made

    async def _ask(self) -> str:
        """Send one sub-query and return its attempt id."""
        attempt_id = str(next(self.numbers))
        message = dispatching.batch(dispatching.item(attempt_id))
        self.peers.deliver(message)
        await dispatching.settle()
        return attempt_id

    def _status_of(self, attempt_id: str) -> str:
        return self.peers.statuses()[attempt_id][0]

    async def _assert_sends_nothing(self) -> None:
        before = len(self.link.batches)
        attempt_id = await self._ask()
        self.assertEqual('draining', self._status_of(attempt_id))
        self.assertEqual(before, len(self.link.batches))

    async def test_targets_own_report_overrides_the_host_list(self) -> None:
        """The target reports draining, the host list shows it as live.

        Queued attempts are refused as never started and no new ones sent.
        """
        sent, queued = await self._ask(), await self._ask()
        self.link.draining = True
        self.link.answer(draining=True)
        await dispatching.settle()
        self.assertEqual('answered', self._status_of(sent))
        self.assertEqual('draining', self._status_of(queued))
        self.signs.on_hosts([transport.Host('t1', False)])
        for _ in range(10):
            self.clock.advance(500.0)
            await self._assert_sends_nothing()

    async def test_without_signs_it_is_sent_work_again_and_again(self) -> None:
        """Without signs, every later sub-query still goes to the target."""
        self.dispatcher = self._dispatcher(None)
        self.peers._handlers[protocol.SubQueryBatch].pop(0)
        for _ in range(3):
            await self._ask()
            self.link.answer(status=protocol.TargetStatus.DRAINING)
            await dispatching.settle()
        self.assertEqual(3, len(self.link.batches))

    async def test_drain_survives_a_change_of_dispatcher(self) -> None:
        """A new owner that got the sign from a peer sends nothing."""
        at_ms = self.clock.wall_ms()
        self.link.draining = True
        self.peers.deliver(protocol.TargetSign('t1', True, at_ms), 'd2')
        await self._assert_sends_nothing()

    async def test_return_is_seen_by_the_dispatchers_probe(self) -> None:
        """A restarted target is used again once a probe finds it serving.

        The other daemons get a sign that is newer than the leaving one.
        """
        self.link.draining = True
        self.signs.on_target_report('t1', True)
        await self._assert_sends_nothing()
        self.clock.advance(500.0)
        await dispatching.settle()
        await self._assert_sends_nothing()
        self.link.draining = False
        self.clock.advance(500.0)
        await dispatching.settle()
        await self._ask()
        self.assertEqual(1, len(self.link.batches))
        signs = self.peers.of_type(protocol.TargetSign)
        self.assertEqual([True, False], [sign.leaving for sign in signs])
        self.assertGreater(signs[1].at_ms, signs[0].at_ms)

    async def test_operators_drain_is_not_undone_by_a_probe(self) -> None:
        """A target drained by an operator returns only by a newer object."""
        for leaving, at_ms in ((b'true', 10), (b'false', 20)):
            value = b'{"leaving":%s,"at_ms":%d}' % (leaving, at_ms)
            self.signs.on_object(
                transport.StoredObject('targets/t1', 1, value)
            )
            if leaving == b'true':
                for _ in range(4):
                    self.clock.advance(500.0)
                    await self._assert_sends_nothing()
        await self._ask()
        self.assertEqual(1, len(self.link.batches))
