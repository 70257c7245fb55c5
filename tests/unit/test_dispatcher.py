"""The dispatcher: which answer each attempt gets, and when it is sent."""

import typing
import unittest

from returns import result

from samphiredock.coordination.targets import _dispatcher
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import timers
from samphiredock import transport
from standins import memory_link
from standins import memory_peers
from tests.unit import dispatching

_KIND = transport.LinkErrorKind


class DispatcherTest(unittest.IsolatedAsyncioTestCase):
    """A dispatcher with fake peers, a fake link and a manual clock."""

    def setUp(self) -> None:
        self.clock = timers.ManualTimers()
        self.peers = memory_peers.RecordingPeers()
        self.counters = metrics.Metrics('test')
        self.addCleanup(self.counters.close)
        self.links: dict[str, memory_link.MemoryLink] = {}
        self.quarantined: set[str] = set()
        self.dispatcher = _dispatcher.Dispatcher(
            self.peers,
            self.clock,
            self.counters,
            self._make_link,
            self.quarantined.__contains__,
        )
        self.dispatcher.configure(
            dispatching.configuration(dispatching.target(slots=1))
        )

    def _make_link(self, target: typing.Any) -> memory_link.MemoryLink:
        link = memory_link.MemoryLink(target)
        self.links[target.name] = link
        return link

    @property
    def link(self) -> memory_link.MemoryLink:
        return self.links['t1']

    async def _deliver(self, *messages: typing.Any) -> None:
        for message in messages:
            self.peers.deliver(message)
        await dispatching.settle()

    def _assert_answered(self, **expected: str) -> None:
        answered = {name: [status] for name, status in expected.items()}
        self.assertEqual(answered, self.peers.statuses())
        self.assertEqual(0, self.dispatcher.in_flight())

    async def test_jobs_of_one_loop_iteration_share_an_exchange(self) -> None:
        first = dispatching.batch(dispatching.item('1'), dispatching.item('2'))
        await self._deliver(first, dispatching.batch(dispatching.item('3')))
        self.assertEqual(1, len(self.link.batches))
        self.link.answer()
        await dispatching.settle()
        self._assert_answered(**dict.fromkeys('123', 'answered'))

    async def test_broken_batch_reports_whether_the_attempt_ran_alone(
        self,
    ) -> None:
        for names, healthy in (('1', True), ('2', False), ('34', False)):
            self.setUp()
            self.dispatcher.scheduler('t1')
            self.link.healthy = healthy
            items = [dispatching.item(name) for name in names]
            await self._deliver(dispatching.batch(*items))
            self.link.batches[0][1].set_result(
                memory_link.failure(_KIND.BROKEN)
            )
            await dispatching.settle()
            self._assert_answered(**dict.fromkeys(names, 'broken'))
            for answer in self.peers.of_type(protocol.SubAnswerBatch)[
                0
            ].answers:
                self.assertEqual(len(names) == 1, answer.ran_alone)
                self.assertEqual(not healthy, answer.target_lost)

    async def test_unreachable_target_is_not_reported_as_lost(
        self,
    ) -> None:
        """An unreachable target is not reported as lost during the attempt.

        Otherwise the loss of a site would quarantine the content of every
        search that is tried at two of its targets.
        """
        self.dispatcher.scheduler('t1')
        self.link.healthy = False
        await self._deliver(dispatching.batch(dispatching.item('1')))
        self.link.batches[0][1].set_result(
            memory_link.failure(_KIND.UNREACHABLE)
        )
        await dispatching.settle()
        (answered,) = self.peers.of_type(protocol.SubAnswerBatch)
        self.assertIs(
            protocol.SubStatus.UNREACHABLE, answered.answers[0].status
        )
        self.assertFalse(answered.answers[0].target_lost)

    async def test_queued_work_of_a_lost_target_goes_back(self) -> None:
        await self._deliver(dispatching.batch(dispatching.item('1')))
        await self._deliver(dispatching.batch(dispatching.item('2')))
        self.link.batches[0][1].set_result(
            memory_link.failure(_KIND.UNREACHABLE)
        )
        await dispatching.settle()
        self._assert_answered(**dict.fromkeys('12', 'unreachable'))

    async def test_cancel_of_a_queued_run_is_proven(self) -> None:
        await self._deliver(dispatching.order('1'), dispatching.order('2'))
        await self._deliver(protocol.CancelAttempts('', ['2']))
        self.assertEqual({'2': ['cancelled']}, self.peers.statuses())
        self.assertEqual([], self.link.cancels)
        self.assertEqual(1, len(self.link.runs))

    async def test_cancel_of_a_sent_run_claims_only_what_is_proven(
        self,
    ) -> None:
        await self._deliver(dispatching.order('1'))
        cancel = protocol.CancelAttempts('', ['1'])
        await self._deliver(cancel)
        self.assertEqual({}, self.peers.statuses())
        self.link.cancel_answer = protocol.TargetCancelAnswer(['1'])
        await self._deliver(cancel)
        self.assertEqual({'1': ['cancelled']}, self.peers.statuses())
        self.link.runs[0][1].set_result(
            result.Success(
                protocol.TargetRunAnswer('1', protocol.TargetStatus.CANCELLED)
            )
        )
        await dispatching.settle()
        self._assert_answered(**{'1': 'cancelled'})

    async def test_run_read_after_a_freeze_is_refused(self) -> None:
        """The sender may have given up on it meanwhile.

        The order is read before or after the timer notices the freeze.
        """
        self.clock.unseen_gap_ms = 4_000.0
        await self._deliver(dispatching.order('1'))
        self.clock.unseen_gap_ms = 0.0
        self.clock.freeze(4_000.0)
        await self._deliver(dispatching.order('2'))
        self._assert_answered(**dict.fromkeys('12', 'cancelled'))
        self.clock.advance(1_000.0)
        await self._deliver(dispatching.order('3'))
        self.assertEqual(1, len(self.link.runs))

    async def test_search_read_after_a_freeze_is_too_late(self) -> None:
        self.clock.freeze(4_000.0)
        await self._deliver(dispatching.batch(dispatching.item('1')))
        self._assert_answered(**{'1': 'expired'})

    async def test_work_queued_before_a_freeze_is_not_sent_after_it(
        self,
    ) -> None:
        """Its budget is left, but another daemon owns the target by now.

        The open exchange may end before or after the timer notices the gap.
        """
        for seen_by_timer in (True, False):
            self.setUp()
            for name in '12':
                item = dispatching.item(name)
                await self._deliver(dispatching.batch(item, budget_ms=30_000))
            if seen_by_timer:
                self.clock.freeze(4_000.0)
            self.clock.unseen_gap_ms = 0.0 if seen_by_timer else 4_000.0
            self.link.answer()
            await dispatching.settle()
            self._assert_answered(**{'1': 'answered', '2': 'expired'})
            self.assertEqual(1, len(self.link.batches))

    async def test_expired_work_is_answered_without_the_target(self) -> None:
        await self._deliver(dispatching.batch(dispatching.item('1')))
        await self._deliver(
            dispatching.batch(dispatching.item('2'), budget_ms=50.0)
        )
        self.clock.advance(51.0)
        await dispatching.settle()
        self.assertEqual({'2': ['expired']}, self.peers.statuses())

    async def test_budget_at_the_target_is_what_is_left(self) -> None:
        await self._deliver(dispatching.batch(dispatching.item('1')))
        await self._deliver(dispatching.batch(dispatching.item('2')))
        self.clock.advance(100.0)
        self.link.answer()
        await dispatching.settle()
        sent = self.link.batches[1][0].items[0]
        self.assertEqual(300, sent.deadline_ms)
        self.link.answer()
        await dispatching.settle()
        answers = self.peers.of_type(protocol.SubAnswerBatch)
        self.assertEqual(100.0, answers[1].answers[0].waited_ms)

    async def test_unknown_target_is_not_owned(self) -> None:
        await self._deliver(dispatching.batch(dispatching.item('1', 't9')))
        self._assert_answered(**{'1': 'not-owner'})

    async def test_order_after_the_drain_is_refused(self) -> None:
        """A peer may send an order to a daemon whose connections close.

        Started, it would have an unknown outcome; refused, it is retried at
        another daemon.
        """
        await self.dispatcher.drain()
        self.dispatcher.stop()
        await self._deliver(dispatching.order('r'))
        self._assert_answered(r='not-owner')
        self.assertEqual({}, self.links)

    async def test_quarantined_content_is_refused(self) -> None:
        self.quarantined.add('f')
        await self._deliver(
            dispatching.batch(dispatching.item('1')), dispatching.order('2')
        )
        self._assert_answered(**dict.fromkeys('12', 'quarantined'))

    async def test_drain_waits_for_what_was_sent(self) -> None:
        await self._deliver(dispatching.batch(dispatching.item('1')))
        self.assertEqual(1, self.dispatcher.in_flight())
        self.link.answer()
        await self.dispatcher.drain()
        self._assert_answered(**{'1': 'answered'})

    async def test_drain_waits_for_unsent_answers(self) -> None:
        """They are sent in the next iteration of the event loop."""
        self.peers.deliver(dispatching.batch(dispatching.item('1', 't9')))
        await self.dispatcher.drain()
        self._assert_answered(**{'1': 'not-owner'})
