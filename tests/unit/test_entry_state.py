"""Tests of when a coordinator serves requests handed over to it."""

import asyncio
import unittest

from returns import result

from samphiredock.coordination import forwarding
from samphiredock.daemon import _entry_state
from samphiredock import metrics
from samphiredock import state
from samphiredock import timers
from samphiredock import transport
from standins import memory_links


class _Store:
    """A store that answers watches until the test makes it unreachable."""

    def __init__(self, clock: timers.ManualTimers) -> None:
        self._clock = clock
        self.is_unreachable = False
        self.is_silent = False
        self.refuses = False
        self.watches = 0

    async def put(self, *arguments: object) -> result.Result:
        """Accept the registration of a daemon."""
        return result.Success(7)

    async def scan(
        self, *arguments: object, **options: object
    ) -> result.Result:
        """Return an empty list."""
        return result.Success(())

    async def get(self, key: str) -> result.Result:
        """Fail, or never reply if the store is silent."""
        if self.is_silent:
            await asyncio.Event().wait()
        return self._lost_failure()

    async def watch(
        self, prefix: str, position: int, timeout_ms: int
    ) -> result.Result:
        """Return a page without changes, or fail."""
        self.watches += 1
        if self.refuses:
            return self._lost_failure()
        waiting = asyncio.get_running_loop().create_future()
        self._clock.after(500.0, lambda: waiting.set_result(None))
        await waiting
        if self.is_unreachable:
            return self._lost_failure()
        return result.Success(transport.WatchPage((), (), position + 1))

    def _lost_failure(self) -> result.Result:
        kind = transport.StoreErrorKind.LOST
        return result.Failure(transport.StoreError(kind, 'by the test'))


class _Adapter:
    """The store's keys; the test has no object to read."""

    routing_prefix = 'config/'
    routing_key = 'config/main'
    targets_prefix = 'servers/'


class EntryStateTest(unittest.IsolatedAsyncioTestCase):
    """The state of a daemon whose role is coordinator."""

    async def asyncSetUp(self) -> None:
        """Start it and let it follow the store for a second."""
        self.clock = timers.ManualTimers()
        self.store = _Store(self.clock)
        self.counters = metrics.Metrics('test')
        self.addCleanup(self.counters.close)
        address = '127.0.0.1:1'
        self.entry_state = _entry_state.EntryState(
            state.EntrySettings('me', 'a', address, address, address, address),
            _Adapter(),
            self.store,
            self.clock,
            self.counters,
        )
        self.entry_state.start()
        self.addCleanup(self.entry_state.close)
        await self._advance(1_000.0)

    async def _advance(self, span_ms: float) -> None:
        for _ in range(int(span_ms / 100.0)):
            await memory_links.settle()
            self.clock.advance(100.0)
        await memory_links.settle()

    async def test_does_not_serve_others_without_store_contact(
        self,
    ) -> None:
        """Otherwise it would refuse requests for routes added since.

        Only this coordinator loses contact with the store.
        """
        self.assertTrue(await self.entry_state.can_serve_handed_over(0, False))
        self.store.is_unreachable = True
        await self._advance(3_000.0)
        self.assertTrue(await self.entry_state.can_serve_handed_over(0, False))
        await self._advance(1_000.0)
        self.assertFalse(
            await self.entry_state.can_serve_handed_over(0, False)
        )

    async def test_stop_does_not_wait_for_the_store(self) -> None:
        """A request that waits for a read of the store is refused at a stop.

        The daemon that handed it over can then send it to another one.
        """
        self.store.is_silent = True
        serve_task = asyncio.create_task(
            self.entry_state.can_serve_handed_over(9, False)
        )
        await memory_links.settle()
        self.assertFalse(serve_task.done())
        self.entry_state.stop_waiting()
        await memory_links.settle()
        self.assertTrue(serve_task.done())
        self.assertFalse(await serve_task)

    async def test_serves_while_a_peer_confirms_the_version(self) -> None:
        """A peer that has store contact has no newer version than this one."""
        self.store.is_unreachable = True
        await self._advance(4_500.0)
        self.assertFalse(
            await self.entry_state.can_serve_handed_over(0, False)
        )
        self._record_answers(
            forwarding.StoreStatus(0, True), forwarding.StoreStatus(0, False)
        )
        self.assertTrue(await self.entry_state.can_serve_handed_over(0, False))
        await self._advance(2_000.0)
        self.assertFalse(
            await self.entry_state.can_serve_handed_over(0, False)
        )

    async def test_does_not_serve_if_a_peer_has_a_newer_version(self) -> None:
        """Otherwise a caller would see a change undone that it has used."""
        self.store.is_unreachable = True
        await self._advance(4_500.0)
        self._record_answers(
            forwarding.StoreStatus(1, True), forwarding.StoreStatus(0, True)
        )
        self.assertFalse(
            await self.entry_state.can_serve_handed_over(0, False)
        )

    async def test_serves_if_no_peer_has_store_contact(self) -> None:
        """The old routing table is then the best available.

        Otherwise every coordinator would first refuse each request.
        """
        self.store.is_unreachable = True
        await self._advance(4_500.0)
        self.assertTrue(self.entry_state.needs_freshness_check())
        self._record_answers(
            forwarding.StoreStatus(7, False), forwarding.StoreStatus(0, False)
        )
        self.assertTrue(await self.entry_state.can_serve_handed_over(0, False))

    async def test_does_not_serve_if_no_peer_answers(self) -> None:
        """This daemon may be the only one cut off."""
        self.store.is_unreachable = True
        await self._advance(4_500.0)
        self._record_answers()
        self.assertFalse(
            await self.entry_state.can_serve_handed_over(0, False)
        )

    async def test_does_not_serve_with_an_older_table_than_asked(self) -> None:
        """Callers of the other daemon have used version 5 already.

        This holds with store contact, and if stale state is allowed.
        """
        self.assertTrue(await self.entry_state.can_serve_handed_over(0, False))
        self.assertFalse(
            await self.entry_state.can_serve_handed_over(5, False)
        )
        self.assertFalse(await self.entry_state.can_serve_handed_over(5, True))

    async def test_refused_watches_are_rate_limited(
        self,
    ) -> None:
        """Refused calls count against the rate limit shared by all daemons.

        The end of the refusals must still be noticed within a second.
        """
        self.store.refuses = True
        await self._advance(1_000.0)
        self.store.watches = 0
        await self._advance(10_000.0)
        # Two prefixes, each watched again 400 ms after a refusal.
        self.assertLessEqual(self.store.watches, 2 * 26)
        self.store.refuses = False
        await self._advance(1_000.0)
        self.assertTrue(self.entry_state.has_store_contact())

    def _record_answers(self, *answers: forwarding.StoreStatus) -> None:
        self.entry_state.freshness_check.record_round(
            answers, self.clock.now_ms()
        )

    async def test_serves_stale_state_on_request(self) -> None:
        """Otherwise an outage of the store would stop all requests."""
        self.store.is_unreachable = True
        await self._advance(10_000.0)
        self.assertTrue(await self.entry_state.can_serve_handed_over(0, True))
        self.store.is_unreachable = False
        await self._advance(1_000.0)
        self.assertTrue(await self.entry_state.can_serve_handed_over(0, False))
