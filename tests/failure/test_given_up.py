"""Requests that a stopping daemon can wait for no longer."""

import asyncio
import unittest

from samphiredock.coordination import forwarding
from samphiredock import protocol
from standins import memory_links

RECORD = b'0123456789abcdef'


class GivenUpTest(unittest.IsolatedAsyncioTestCase):
    """The daemon stops, and its time is over.

    A caller's request is at targets that are silent.  Without an outcome its
    connection would be closed as the process ends, and the caller would not
    know whether it may ask again.  Each is told what is true at that moment.
    """

    def setUp(self) -> None:
        """Ten shards, eight are the least; a service with three targets."""
        self.desk = memory_links.ForwardDesk()

    async def _ask(self, path: str) -> asyncio.Task[protocol.ForwardOutcome]:
        task = self.desk.ask(path)
        await memory_links.settle()
        return task

    async def _give_up(
        self, task: asyncio.Task[protocol.ForwardOutcome]
    ) -> protocol.ForwardOutcome:
        """Give up; the outcome is there without any time passing."""
        self.desk.forwarder.finish_all()
        await memory_links.settle()
        self.assertTrue(task.done())
        return task.result()

    async def test_what_a_target_has_may_have_run(self) -> None:
        """Neither "done" nor "not run" would be true."""
        for path in ('/one/x', '/once/x', '/all/x'):
            with self.subTest(path):
                self.setUp()
                task = await self._ask(path)
                outcome = await self._give_up(task)
                self.assertIsInstance(outcome, protocol.Unknown)

    async def test_what_all_targets_refused_has_not_run(self) -> None:
        """It waits to be tried again; the caller may go elsewhere at once."""
        task = await self._ask('/once/x')
        while self.desk.links.open:
            self.desk.links.open[0].refuse()
            await memory_links.settle()
        outcome = await self._give_up(task)
        self.assertIsInstance(outcome, protocol.NotRun)
        self.assertGreater(outcome.retry_after_ms, 0)

    async def test_what_waits_for_a_connection_has_not_run(self) -> None:
        """No target has seen it, and none will; its caller may ask again.

        All connections to its target are in use as the daemon stops.
        """
        for path in ('/one/x', '/once/x'):
            with self.subTest(path):
                self.setUp()
                self.desk.links.busy = {f'p-{n}' for n in range(3)}
                outcome = await self._give_up(await self._ask(path))
                self.assertIsInstance(outcome, protocol.NotRun)
                self.desk.links.busy.clear()
                await self.desk.advance(200.0)
                self.assertEqual([], self.desk.links.sent)

    async def test_parts_that_are_enough_are_delivered(self) -> None:
        """A ready answer is not thrown away for the part that is late."""
        task = await self._ask('/all/x')
        for sent in self.desk.links.open[1:]:
            sent.answer(RECORD)
        await memory_links.settle()
        outcome = await self._give_up(task)
        self.assertIsInstance(outcome, protocol.Gathered)
        self.assertEqual(1, outcome.missing)

    async def test_its_targets_are_freed(self) -> None:
        """Nobody waits for them; they would work on for nothing."""
        task = await self._ask('/one/x')
        await self._give_up(task)
        await self.desk.advance(200.0)
        self.assertTrue(all(row.cancelled for row in self.desk.links.sent))

    async def test_what_comes_later_is_sent_nowhere(self) -> None:
        """It is refused truly and at once; another daemon can run it."""
        self.desk.forwarder.finish_all()
        outcome = await self.desk.ask('/one/x')
        self.assertIsInstance(outcome, protocol.NotRun)
        self.assertIs(protocol.NotRunReason.SHUTTING_DOWN, outcome.reason)
        self.assertEqual([], self.desk.links.sent)

    async def test_a_daemon_that_handed_it_over_may_ask_another(self) -> None:
        """It sees a refusal, and not the final answer of its caller."""
        self.desk.forwarder.finish_all()
        outcome = await self.desk.ask('/one/x')
        self.assertTrue(forwarding.can_retry_elsewhere(outcome))

    async def test_what_may_have_run_is_not_asked_again_elsewhere(
        self,
    ) -> None:
        """The daemon that handed it over passes the outcome on."""
        outcome = await self._give_up(await self._ask('/once/x'))
        self.assertFalse(forwarding.can_retry_elsewhere(outcome))


class SightTest(unittest.IsolatedAsyncioTestCase):
    """What the log tells of requests that a stop waits for."""

    async def test_a_request_without_a_connection_is_at_no_target(
        self,
    ) -> None:
        """Taken for one at a silent target, its cause is sought there.

        Its line says "sent" since its target was chosen; no target has seen
        it, and it waits in this daemon.
        """
        desk = memory_links.ForwardDesk()
        desk.links.busy = {'p-0'}
        tasks = [desk.ask('/one/x', f'id-{number}') for number in range(3)]
        await memory_links.settle()
        rows = desk.forwarder.pending_requests()
        self.assertEqual(
            [('p-1',), ('p-2',)],
            sorted(row.at for row in rows if row.at),
        )
        self.assertEqual(
            [('p-0',)],
            [row.no_connection for row in rows if row.no_connection],
        )
        desk.forwarder.finish_all()
        await asyncio.gather(*tasks)
