"""Whether a coordinator may serve what other daemons hand over."""

import asyncio
import unittest

from returns import result

from samphiredock.daemon import _entry_knowledge
from samphiredock import metrics
from samphiredock import state
from samphiredock import timers
from samphiredock import transport
from standins import memory_links


class _Store:
    """Answers watches until it is lost to this daemon."""

    def __init__(self, clock: timers.ManualTimers) -> None:
        self._clock = clock
        self.is_lost = False

    async def put(self, *words: object) -> result.Result:
        """Register a daemon."""
        return result.Success(7)

    async def scan(self, *words: object, **more: object) -> result.Result:
        """List no other daemon."""
        return result.Success(())

    async def get(self, key: str) -> result.Result:
        """Have nothing newer."""
        return self._lost()

    async def watch(
        self, prefix: str, position: int, timeout_ms: int
    ) -> result.Result:
        """Tell that nothing has changed."""
        waiting = asyncio.get_running_loop().create_future()
        self._clock.after(500.0, lambda: waiting.set_result(None))
        await waiting
        if self.is_lost:
            return self._lost()
        return result.Success(transport.WatchPage((), (), position + 1))

    def _lost(self) -> result.Result:
        kind = transport.StoreErrorKind.LOST
        return result.Failure(transport.StoreError(kind, 'by the test'))


class _Adapter:
    routing_prefix = 'config/'
    routing_key = 'config/main'
    targets_prefix = 'servers/'


class EntryKnowledgeTest(unittest.IsolatedAsyncioTestCase):
    """One daemon that coordinates."""

    async def asyncSetUp(self) -> None:
        """Let it follow the store for a second."""
        self.clock = timers.ManualTimers()
        self.store = _Store(self.clock)
        self.counters = metrics.Metrics('test')
        self.addCleanup(self.counters.close)
        address = '127.0.0.1:1'
        self.knowledge = _entry_knowledge.EntryKnowledge(
            state.EntrySettings('me', 'a', address, address, address, address),
            _Adapter(),
            self.store,
            self.clock,
            self.counters,
        )
        self.knowledge.start()
        self.addCleanup(self.knowledge.close)
        await self._advance(1_000.0)

    async def _advance(self, span_ms: float) -> None:
        for _ in range(int(span_ms / 100.0)):
            await memory_links.settle()
            self.clock.advance(100.0)
        await memory_links.settle()

    async def test_one_that_lost_the_store_does_not_serve_others(
        self,
    ) -> None:
        """A caller of another daemon is refused a route that was added.

        The store turns this coordinator away and serves the others; a
        version is accepted meanwhile, and a request is handed over to it.
        """
        self.assertTrue(await self.knowledge.knows(0, False))
        self.store.is_lost = True
        await self._advance(3_000.0)
        self.assertTrue(await self.knowledge.knows(0, False))
        await self._advance(1_000.0)
        self.assertFalse(await self.knowledge.knows(0, False))

    async def test_it_serves_when_all_have_lost_the_store(self) -> None:
        """Else an outage of the store would be one of everything."""
        self.store.is_lost = True
        await self._advance(10_000.0)
        self.assertTrue(await self.knowledge.knows(0, True))
        self.store.is_lost = False
        await self._advance(1_000.0)
        self.assertTrue(await self.knowledge.knows(0, False))
