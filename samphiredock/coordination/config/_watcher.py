"""Follows objects of the platform's store.

A watching daemon holds long polls for changes.  Other daemons ask for the
changes at long intervals, each a short call for the store.
"""

import asyncio
import functools
import typing

from returns import result

from samphiredock.coordination import _pause
from samphiredock.coordination import background
from samphiredock import logs
from samphiredock import metrics
from samphiredock import timers
from samphiredock import transport

_WATCH_MS = 30_000
_RETRY_DELAY_MS = 200.0
_RETRY_DELAY_LIMIT_MS = 400.0
"""Delays between calls to a store that fails: the first one and the limit.

A higher limit spares the store, but delays the recovery once it is back.
With the first delay alone, 60 daemons that started without the store made
1,100 calls in 6 s.
"""

_POLL_MS = 20_000.0
_CHECK_MS = 500.0
"""Interval between checks whether to watch or poll now."""

_POLL_BASE_DAEMONS = 8
"""With more daemons, each polls less often, which bounds the store's load."""

_NO_POSITION = transport.StoreError(
    transport.StoreErrorKind.LOST, 'the reply states no position'
)

_READ_AGAIN = frozenset(
    {
        transport.StoreErrorKind.ROLLED_BACK,
        transport.StoreErrorKind.UNREADABLE,
    }
)
"""Errors after which a watch from the same position cannot succeed."""

ObjectHandler = typing.Callable[[transport.StoredObject], None]
PageHandler = typing.Callable[[transport.WatchPage], None]

_log = logs.logger('watcher')


class Watcher:
    """Follows objects of the platform's store for one daemon.

    Parameters
    ----------
    platform
        The object store.
    clock, counters
        The timers and metrics of this daemon.
    watch_ms
        How long one long poll waits for a change.
    collect_ms
        By prefix, how long to wait after a change before the next watch, so
        that the changes of many targets that start together are read at once
        instead of ending a long poll each.
    """

    def __init__(
        self,
        platform: transport.Objects,
        clock: timers.Timers,
        counters: metrics.Metrics,
        watch_ms: int = _WATCH_MS,
        collect_ms: typing.Mapping[str, typing.Callable[[], float]] = {},
    ) -> None:
        self._watch_ms = watch_ms
        self._collect_ms = collect_ms
        self._page_handlers: dict[str, PageHandler] = {}
        self._on_outage: list[typing.Callable[[], None]] = []
        self._failing: set[str] = set()
        self._last_watch_sent_ms: dict[str, float] = {}
        self._last_answer_ms: dict[str, float] = {}
        self._last_stale_poll_ms: dict[str, float] = {}
        self._stale_period_ms: typing.Callable[[str], float | None] | None = (
            None
        )
        self._platform = platform
        self._clock = clock
        self._metrics = counters
        self._handlers: dict[str, ObjectHandler] = {}
        self._tasks: list[asyncio.Task] = []
        self._unread_prefixes: set[str] = set()
        self._on_first_read: list[typing.Callable[[], None]] = []
        self._is_watcher: typing.Callable[[], bool] = lambda: True
        self._daemon_count: typing.Callable[[], int] = lambda: 1
        self._relay: ObjectHandler = lambda stored: None

    def follow(self, prefix: str, handler: ObjectHandler) -> None:
        """Call ``handler`` with each object below ``prefix`` that changes.

        To be called before :meth:`start`.  An object may be delivered more
        than once, and an older version after a newer one: handlers decide
        which one is newer.
        """
        self._handlers[prefix] = handler

    def follow_pages(self, prefix: str, handler: PageHandler) -> None:
        """Call ``handler`` with each page of changes below ``prefix``.

        For callers that need to know of deleted objects.  To be called
        before :meth:`start`.
        """
        self._page_handlers[prefix] = handler

    def poll_stale(
        self, period_ms: typing.Callable[[str], float | None]
    ) -> None:
        """While not watching, poll with reads that may be stale.

        ``period_ms`` returns the interval between polls of a prefix, None
        for no polls.  For callers that can use slightly outdated objects.
        """
        self._stale_period_ms = period_ms

    async def _poll_stale(self, prefix: str) -> None:
        period_ms = self._stale_period_ms(prefix)
        waited_ms = self._clock.now_ms() - self._last_stale_poll_ms.get(
            prefix, -1e12
        )
        if period_ms is None or waited_ms < period_ms:
            await _pause.pause(self._clock, _CHECK_MS)
            return
        self._last_stale_poll_ms[prefix] = self._clock.now_ms()
        reply = await self._platform.scan(prefix, may_be_stale=True)
        self._on_read(prefix)
        if isinstance(reply, result.Failure):
            self._on_failure(prefix, reply.failure())
            return
        page = transport.WatchPage(reply.unwrap(), (), 0, whole=True)
        self._page_handlers[prefix](page)
        self._on_success(prefix, None)

    def has_followed_since(self, since_ms: float) -> bool:
        """Return whether the store answered watches sent since a time.

        True if for every prefix such a watch was answered: what is known
        here is then at least as new as the store was at that time.
        """
        prefixes = [*self._handlers, *self._page_handlers]
        return all(
            self._last_watch_sent_ms.get(prefix, -1.0) >= since_ms
            for prefix in prefixes
        )

    def has_heard_within(self, span_ms: float) -> bool:
        """Return whether the store has answered lately.

        True if a watch of every prefix was answered in the last ``span_ms``.
        """
        since_ms = self._clock.now_ms() - span_ms
        prefixes = [*self._handlers, *self._page_handlers]
        return all(
            self._last_answer_ms.get(prefix, -1.0) >= since_ms
            for prefix in prefixes
        )

    def on_outage(self, callback: typing.Callable[[], None]) -> None:
        """Call ``callback`` after each failed call.

        Not after the error ``FORGOTTEN``, for which the store is reachable.
        """
        self._on_outage.append(callback)

    def watch_only_while(
        self,
        is_watcher: typing.Callable[[], bool],
        daemon_count: typing.Callable[[], int],
        relay: ObjectHandler,
    ) -> None:
        """Watch only while ``is_watcher()``; otherwise poll.

        ``relay`` is called with each changed object that a watch finds.
        The poll interval grows with ``daemon_count()``.
        """
        self._is_watcher = is_watcher
        self._daemon_count = daemon_count
        self._relay = relay

    def on_first_read(self, callback: typing.Callable[[], None]) -> None:
        """Call ``callback`` once a first read of every prefix has ended."""
        self._on_first_read.append(callback)

    def deliver(self, stored: transport.StoredObject) -> None:
        """Pass an object, from the store or from a peer, to its handlers."""
        for prefix, handler in self._handlers.items():
            if stored.key.startswith(prefix):
                handler(stored)

    def start(self) -> None:
        """Start to follow all prefixes in the background."""
        prefixes = [*self._handlers, *self._page_handlers]
        self._unread_prefixes = set(prefixes)
        for prefix in prefixes:
            task = background.start_loop(
                functools.partial(self._watch_loop, prefix),
                f'watch {prefix}',
                self._clock,
                self._metrics,
            )
            self._tasks.append(task)

    def close(self) -> None:
        """Stop following."""
        for task in self._tasks:
            task.cancel()

    async def _watch_loop(self, prefix: str) -> None:
        position = 0
        retry_delay_ms = _RETRY_DELAY_MS
        called_ms = self._clock.now_ms()
        while True:
            is_watching = self._is_watcher()
            if not is_watching and self._stale_period_ms is not None:
                position = 0
                await self._poll_stale(prefix)
                continue
            if position and not is_watching:
                waited_ms = self._clock.now_ms() - called_ms
                if waited_ms < self._poll_ms():
                    await _pause.pause(self._clock, _CHECK_MS)
                    continue
            called_ms = self._clock.now_ms()
            timeout_ms = self._watch_ms if is_watching else 0
            reply = await self._platform.watch(prefix, position, timeout_ms)
            self._on_read(prefix)
            if isinstance(reply, result.Failure):
                if self._on_failure(prefix, reply.failure()):
                    position = 0
                await _pause.pause(self._clock, retry_delay_ms)
                retry_delay_ms = min(
                    retry_delay_ms * 2.0, _RETRY_DELAY_LIMIT_MS
                )
                continue
            page = reply.unwrap()
            # A read from position 0 returns all objects, not changes.
            self._handle_page(prefix, page, bool(position) and is_watching)
            if not page.position and (page.changed or page.gone):
                self._on_failure(prefix, _NO_POSITION)
                position = 0
                await _pause.pause(self._clock, retry_delay_ms)
                continue
            retry_delay_ms = _RETRY_DELAY_MS
            self._on_success(prefix, called_ms if is_watching else None)
            # The store answers a read from position 0 at once.
            if not page.changed and position == 0:
                await _pause.pause(self._clock, _RETRY_DELAY_MS)
            position = page.position
            if prefix in self._collect_ms and (page.changed or page.gone):
                await _pause.pause(self._clock, self._collect_ms[prefix]())

    def _handle_page(
        self, prefix: str, page: transport.WatchPage, relays: bool
    ) -> None:
        if prefix in self._page_handlers:
            self._page_handlers[prefix](page)
        for stored in page.changed:
            self.deliver(stored)
            if relays:
                self._relay(stored)

    def _on_failure(self, prefix: str, error: transport.StoreError) -> bool:
        """Report a failed call; return whether to read all objects again."""
        self._metrics.add('store_watch_failures', kind=error.kind.value)
        if prefix not in self._failing:
            self._failing.add(prefix)
            _log.warning(
                'store lost',
                prefix=prefix,
                kind=error.kind.value,
                why=error.detail[:200],
            )
        if error.kind is transport.StoreErrorKind.FORGOTTEN:
            return True
        for callback in self._on_outage:
            callback()
        return error.kind in _READ_AGAIN

    def _on_success(self, prefix: str, sent_ms: float | None) -> None:
        if sent_ms is not None:
            self._last_watch_sent_ms[prefix] = sent_ms
            self._last_answer_ms[prefix] = self._clock.now_ms()
        if prefix in self._failing:
            self._failing.discard(prefix)
            _log.notice('store regained', prefix=prefix)

    def _poll_ms(self) -> float:
        return _POLL_MS * max(1.0, self._daemon_count() / _POLL_BASE_DAEMONS)

    def _on_read(self, prefix: str) -> None:
        if prefix not in self._unread_prefixes:
            return
        self._unread_prefixes.discard(prefix)
        if not self._unread_prefixes:
            for callback in self._on_first_read:
                callback()
