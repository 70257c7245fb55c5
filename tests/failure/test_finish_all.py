"""Requests still pending when a daemon's shutdown time is over."""

import asyncio
import unittest

from samphiredock.coordination import forwarding
from samphiredock import protocol
from standins import memory_links

RECORD = b'0123456789abcdef'


class FinishAllTest(unittest.IsolatedAsyncioTestCase):
    """A daemon shuts down while requests wait for silent targets.

    Without an outcome, callers would see a closed connection and not know
    whether they may retry.  Each must get the outcome that is true at that
    moment.
    """

    def setUp(self) -> None:
        """Set up ten shards, eight required, and a service of 3 targets."""
        self.harness = memory_links.ForwarderHarness()

    async def _ask(self, path: str) -> asyncio.Task[protocol.ForwardOutcome]:
        task = self.harness.ask(path)
        await memory_links.settle()
        return task

    async def _finish(
        self, task: asyncio.Task[protocol.ForwardOutcome]
    ) -> protocol.ForwardOutcome:
        """Finish all requests; the outcome is there without delay."""
        self.harness.forwarder.finish_all()
        await memory_links.settle()
        self.assertTrue(task.done())
        return task.result()

    async def test_sent_request_is_unknown(self) -> None:
        """Neither "done" nor "not run" would be true."""
        for path in ('/one/x', '/once/x', '/all/x'):
            with self.subTest(path):
                self.setUp()
                task = await self._ask(path)
                outcome = await self._finish(task)
                self.assertIsInstance(outcome, protocol.Unknown)

    async def test_refused_request_has_not_run(self) -> None:
        """It was waiting for a retry; the caller may go elsewhere at once."""
        task = await self._ask('/once/x')
        while self.harness.links.open:
            self.harness.links.open[0].refuse()
            await memory_links.settle()
        outcome = await self._finish(task)
        self.assertIsInstance(outcome, protocol.NotRun)
        self.assertGreater(outcome.retry_after_ms, 0)

    async def test_request_without_connection_has_not_run(self) -> None:
        """No target has seen it, and none will.

        All connections to its target are in use when the daemon shuts down.
        """
        for path in ('/one/x', '/once/x'):
            with self.subTest(path):
                self.setUp()
                self.harness.links.busy = {f'p-{n}' for n in range(3)}
                outcome = await self._finish(await self._ask(path))
                self.assertIsInstance(outcome, protocol.NotRun)
                self.harness.links.busy.clear()
                await self.harness.advance(200.0)
                self.assertEqual([], self.harness.links.sent)

    async def test_sufficient_parts_are_delivered(self) -> None:
        """A sufficient answer is not discarded for one late part."""
        task = await self._ask('/all/x')
        for sent in self.harness.links.open[1:]:
            sent.answer(RECORD)
        await memory_links.settle()
        outcome = await self._finish(task)
        self.assertIsInstance(outcome, protocol.Gathered)
        self.assertEqual(1, outcome.missing)

    async def test_exchanges_are_cancelled(self) -> None:
        """The targets must not go on working for nobody."""
        task = await self._ask('/one/x')
        await self._finish(task)
        await self.harness.advance(200.0)
        self.assertTrue(all(row.cancelled for row in self.harness.links.sent))

    async def test_later_request_is_refused(self) -> None:
        """It is refused at once; another daemon can run it."""
        self.harness.forwarder.finish_all()
        outcome = await self.harness.ask('/one/x')
        self.assertIsInstance(outcome, protocol.NotRun)
        self.assertIs(protocol.NotRunReason.SHUTTING_DOWN, outcome.reason)
        self.assertEqual([], self.harness.links.sent)

    async def test_refused_handover_can_be_retried(self) -> None:
        """The refusal is not passed on as the caller's final answer."""
        self.harness.forwarder.finish_all()
        outcome = await self.harness.ask('/one/x')
        self.assertTrue(forwarding.can_retry_elsewhere(outcome))

    async def test_unknown_outcome_is_not_retried(
        self,
    ) -> None:
        """The daemon that handed it over passes the outcome on."""
        outcome = await self._finish(await self._ask('/once/x'))
        self.assertFalse(forwarding.can_retry_elsewhere(outcome))


class PendingSummaryTest(unittest.IsolatedAsyncioTestCase):
    """How requests that delay a shutdown are logged."""

    async def test_request_without_connection_names_no_target(
        self,
    ) -> None:
        """A request waiting for a connection must not blame its target.

        Its target has been chosen but has not seen the request.
        """
        harness = memory_links.ForwarderHarness()
        harness.links.busy = {'p-0'}
        tasks = [harness.ask('/one/x', f'id-{number}') for number in range(3)]
        await memory_links.settle()
        rows = harness.forwarder.pending_requests()
        self.assertEqual(
            [('p-1',), ('p-2',)],
            sorted(row.at for row in rows if row.at),
        )
        self.assertEqual(
            [('p-0',)],
            [row.no_connection for row in rows if row.no_connection],
        )
        harness.forwarder.finish_all()
        await asyncio.gather(*tasks)
