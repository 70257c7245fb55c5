"""Endless loops of a daemon go on after an unexpected exception."""

import asyncio
import functools
import pathlib
import random
import typing
import unittest
from unittest import mock

from returns import result

from samphiredock import coordination
from samphiredock.coordination import background
from samphiredock.coordination import forwarding
from samphiredock.coordination.once import _claim_bucket
from samphiredock.coordination.once import _store_health
from samphiredock.coordination.targets import _target_signs
from samphiredock.daemon import entry
from samphiredock import metrics
from samphiredock import state
from samphiredock import timers
from samphiredock import transport
from standins import memory_daemons
from standins import memory_links
from standins import memory_peers
from standins import memory_platform

_Reply = result.Result[typing.Any, transport.StoreError]

_ADVANCED_MS = 60_000.0
_STEP_MS = 500.0


class RaisingOnce:
    """Passes calls on to an object, but the first one raises."""

    def __init__(self, inner: object) -> None:
        self._inner = inner
        self.calls = 0

    def __getattr__(self, name: str) -> typing.Any:
        """Return a method of the object, or one that raises."""
        found = getattr(self._inner, name)
        if not asyncio.iscoroutinefunction(found):
            return found

        async def call(*args: typing.Any, **options: typing.Any) -> typing.Any:
            self.calls += 1
            if self.calls == 1:
                raise RuntimeError('by the test')
            return await found(*args, **options)

        return call


class _EmptyStore:
    """A store without objects, which accepts every write."""

    def era(self) -> int:
        """Return 0: nothing was lost."""
        return 0

    async def get(self, key: str) -> _Reply:
        """Return that the object does not exist."""
        kind = transport.StoreErrorKind.NOT_FOUND
        return result.Failure(transport.StoreError(kind, key))

    async def scan(self, prefix: str, may_be_stale: bool = False) -> _Reply:
        """Return no objects."""
        return result.Success(())

    async def put(self, key: str, value: bytes, version: int) -> _Reply:
        """Accept a write."""
        return result.Success(1)

    async def delete(self, key: str, version: int) -> _Reply:
        """Accept a deletion."""
        return result.Success(version)


class _Settings:
    """A settings file whose first check raises."""

    def __init__(self) -> None:
        self.calls = 0

    def has_changed(self) -> bool:
        """Return False, except for the first call."""
        self.calls += 1
        if self.calls == 1:
            raise RuntimeError('by the test')
        return False


class LoopsTest(unittest.IsolatedAsyncioTestCase):
    """Each loop with a collaborator that raises once."""

    async def asyncSetUp(self) -> None:
        """Create a store in memory."""
        self.clock = timers.ManualTimers()
        self.counters = metrics.Metrics('test')
        self.addCleanup(self.counters.close)
        store = memory_platform.MemoryStore(random.Random(1))
        self.platform = RaisingOnce(
            memory_platform.MemoryPlatform(store, self.clock)
        )

    async def _check_goes_on(self, raising: typing.Any) -> None:
        """Check that the loop counts the exception and calls again."""
        await memory_links.settle()
        self.assertEqual(1, raising.calls)
        self.assertEqual(1, self.counters.total('background_failures'))
        for _ in range(int(_ADVANCED_MS / _STEP_MS)):
            self.clock.advance(_STEP_MS)
            await memory_links.settle()
        self.assertGreater(raising.calls, 1)
        self.assertEqual(1, self.counters.total('background_failures'))

    async def test_watch(self) -> None:
        """A daemon learned of no change any more."""
        watcher = coordination.Watcher(
            self.platform, self.clock, self.counters
        )
        watcher.follow('p/', lambda stored: None)
        watcher.start()
        self.addCleanup(watcher.close)
        await self._check_goes_on(self.platform)

    async def test_watch_whose_handler_raises(self) -> None:
        """The store looked reachable although its page was not applied."""
        watcher = coordination.Watcher(
            memory_platform.MemoryPlatform(
                memory_platform.MemoryStore(random.Random(1)), self.clock
            ),
            self.clock,
            self.counters,
        )
        calls = 0

        def handle(page: transport.WatchPage) -> None:
            nonlocal calls
            calls += 1
            if calls == 1:
                raise RuntimeError('by the test')

        watcher.follow_pages('p/', handle)
        watcher.start()
        self.addCleanup(watcher.close)
        await memory_links.settle()
        self.assertEqual(1, calls)
        self.assertFalse(watcher.has_heard_within(_STEP_MS))
        self.clock.advance(background.RESTART_DELAY_MS)
        await memory_links.settle()
        self.assertGreater(calls, 1)
        self.assertTrue(watcher.has_heard_within(_STEP_MS))

    async def test_presence(self) -> None:
        """A daemon saw no other one come or go any more."""
        store = RaisingOnce(_EmptyStore())
        presence = forwarding.Presence(
            forwarding.Daemon('me', 'a', 'y:1', 1.0),
            store,
            self.clock,
            self.counters,
            lambda rows: None,
        )
        presence.start()
        await self._check_goes_on(store)
        self.assertEqual(1, len(presence.daemons()))
        await presence.leave()

    async def test_retry_shares(self) -> None:
        """A daemon kept a share of the retry budget that others had too."""
        store = RaisingOnce(_EmptyStore())
        shares = forwarding.RetryShares(
            'me',
            store,
            self.clock,
            self.counters,
            lambda: {'me'},
            10_000.0,
        )
        shares.start()
        self.addCleanup(shares.close)
        await self._check_goes_on(store)

    async def test_host_list(self) -> None:
        """Targets on leaving hosts were still used."""
        peers = memory_peers.RecordingPeers()
        signs = _target_signs.TargetSigns(
            self.platform,
            peers,
            peers,
            self.clock,
            self.counters,
            random.Random(1),
            lambda: [],
            lambda: True,
        )
        signs.start()
        self.addCleanup(signs.close)
        await self._check_goes_on(self.platform)

    async def test_directory(self) -> None:
        """A daemon whose entry was removed did not register again."""
        network = memory_daemons.Network(1)
        self.addCleanup(network.close)
        daemon = network.start('entry-1', 'a', 'r')
        directory = daemon.membership._directory
        raising = RaisingOnce(directory._platform)
        directory._platform = raising
        await network.run(_ADVANCED_MS)
        self.assertGreater(raising.calls, 1)
        self.assertEqual(1, daemon.counters.counts['background_failures'])

    async def test_claim_bucket(self) -> None:
        """Callers waited for claims that were never decided."""
        writer = _claim_bucket.BucketWriter(
            'claims/1',
            self.platform,
            self.clock,
            random.Random(1),
            self.counters,
            _store_health.StoreHealth(self.clock),
            lambda: None,
        )
        loop = asyncio.get_running_loop()
        claim = state.Claim('t', 'body', state.ClaimState.OPEN, 1)
        refused = _claim_bucket.OpenChange(
            'digest', claim, None, loop.create_future()
        )
        writer.submit(refused)
        await memory_links.settle()
        self.assertIsInstance(
            refused.answer.result(), _claim_bucket.Unavailable
        )
        granted = _claim_bucket.OpenChange(
            'digest', claim, None, loop.create_future()
        )
        writer.submit(granted)
        await self._check_granted(granted.answer)
        self.assertEqual(1, self.counters.total('background_failures'))

    async def _check_granted(self, answer: asyncio.Future) -> None:
        await memory_links.settle()
        self.clock.advance(_STEP_MS)
        await memory_links.settle()
        self.assertIs(state.OpenStatus.GRANTED, answer.result().status)

    async def test_settings(self) -> None:
        """Changed settings were not noticed any more."""
        settings = _Settings()
        with mock.patch.object(entry, '_SETTINGS_POLL_S', 0.0):
            task = background.start_loop(
                functools.partial(entry._poll_settings, settings, mock.Mock()),
                'settings',
                self.clock,
                self.counters,
            )
            await self._check_goes_on(settings)
            task.cancel()

    async def test_timers(self) -> None:
        """An exception of a timer was neither counted nor in the log."""
        loop = asyncio.get_running_loop()
        background.report_callback_failures(loop, self.counters)
        clock = timers.LoopTimers()
        self.addCleanup(clock.close)
        calls = 0
        again = asyncio.Event()

        def call() -> None:
            nonlocal calls
            calls += 1
            if calls == 1:
                raise RuntimeError('by the test')
            again.set()

        clock.every(1.0, call)
        await again.wait()
        self.assertEqual(1, self.counters.total('background_failures'))

    def test_no_loop_is_started_in_another_way(self) -> None:
        """A new loop could end for good unnoticed.

        These files hold a ``while True`` that is not the body of a task.
        """
        root = pathlib.Path(background.__file__).parents[1]
        found = {
            path.name
            for path in root.rglob('*.py')
            if 'while True' in path.read_text(encoding='utf-8')
        }
        in_loops = {
            'background.py', '_directory.py', '_retry_shares.py',
            '_target_signs.py', '_watcher.py', 'entry.py',
        }  # fmt: skip
        bounded = {
            '_claim_acquirer.py', '_config.py', '_connection_pool.py',
            '_target_http.py',
        }  # fmt: skip
        self.assertEqual(in_loops | bounded, found)
