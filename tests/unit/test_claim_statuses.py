"""A holder's answers on the status of its claims."""

import asyncio
import random
import unittest

from samphiredock.coordination.once import _claim_statuses
from samphiredock import metrics
from samphiredock import protocol
from standins import memory_hosts
from standins import memory_peers

_Status = protocol.ClaimStatus
_TOKEN = 'entry-1/1/1'
_DONE = protocol.Completed({'receipt': 'r-1'}, True, False)


class ClaimStatusesTest(unittest.IsolatedAsyncioTestCase):
    """Two daemons, of which one holds a claim."""

    def setUp(self) -> None:
        """Connect both daemons."""
        self.clock = memory_hosts.SteppedTimers()
        self.hub = memory_peers.MemoryNetwork(self.clock, random.Random(1))
        self.metrics = metrics.Metrics('test')
        self.holder = self.start_daemon('entry-1')
        self.asker = self.start_daemon('entry-2')

    def start_daemon(self, name: str) -> _claim_statuses.ClaimStatuses:
        """Return one daemon's statuses."""
        endpoint = self.hub.join(name)
        return _claim_statuses.ClaimStatuses(
            endpoint, self.clock, self.metrics
        )

    async def test_end_is_pushed_to_waiting_peers(self) -> None:
        """A waiting peer is told of the end at once, not at its next ask."""
        self.holder.track(_TOKEN)
        ask = asyncio.create_task(self.asker.ask(_TOKEN, 60_000))
        await self.clock.pass_ms(3_000)
        self.assertFalse(ask.done())
        self.holder.update(_TOKEN, _Status.DONE, _DONE)
        await self.clock.pass_ms(5)
        self.assertEqual(_DONE, ask.result().outcome)

    async def test_silent_and_restarted_holders(self) -> None:
        """Neither a silent nor a restarted holder frees a claim."""
        self.holder.track(_TOKEN)
        self.hub.loss = 1.0
        ask = asyncio.create_task(self.asker.ask(_TOKEN, 60_000))
        await self.clock.pass_ms(_claim_statuses.SILENT_MS + 300)
        self.assertIsNone(ask.result())
        self.hub.loss = 0.0
        self.start_daemon('entry-1')
        ask = asyncio.create_task(self.asker.ask(_TOKEN, 60_000))
        await self.clock.pass_ms(10)
        self.assertIs(_Status.UNTRACKED, ask.result().status)

    async def test_answer_of_another_member_is_ignored(self) -> None:
        """An answer that is not from the holder is ignored."""
        self.hub.join('entry-9')
        self.holder.track(_TOKEN)
        ask = asyncio.create_task(self.asker.ask(_TOKEN, 60_000))
        await self.clock.pass_ms(1)
        self.hub.send(
            'entry-9',
            'entry-2',
            protocol.ClaimAnswer(_TOKEN, _Status.NEVER_SENT),
        )
        await self.clock.pass_ms(100)
        self.assertEqual(1, self.metrics.total('claim_answers_refused'))
        self.assertFalse(ask.done())
        self.holder.update(_TOKEN, _Status.DONE, _DONE)
        await self.clock.pass_ms(10)
        self.assertIs(_Status.DONE, ask.result().status)

    def test_final_statuses_never_change(self) -> None:
        """A change away from a final status raises."""
        for final in (_Status.DONE, _Status.NEVER_SENT):
            for status in _Status:
                token = f'entry-1/{final.value}/{status.value}'
                self.holder.track(token)
                self.holder.update(token, final)
                with self.assertRaises(AssertionError):
                    self.holder.update(token, status)

    def test_unsettled_claims_are_bounded(self) -> None:
        """The oldest unsettled claim is dropped; its status is untracked."""
        for number in range(_claim_statuses.UNSETTLED_LIMIT + 1):
            self.holder.track(f'entry-1/1/{number}')
            self.holder.update(f'entry-1/1/{number}', _Status.UNSETTLED)
        self.assertIs(_Status.UNTRACKED, self.holder.status('entry-1/1/0'))
        self.assertIs(_Status.UNSETTLED, self.holder.status('entry-1/1/1'))
