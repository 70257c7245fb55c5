"""Follow objects of the platform's store.

A daemon that watches waits at the store for changes; one that does not asks
seldom for what has changed, which costs the store a short call.
"""

import asyncio
import typing

from returns import result

from samphiredock.coordination import _pause
from samphiredock.coordination import background
from samphiredock import logs
from samphiredock import metrics
from samphiredock import timers
from samphiredock import transport

_WATCH_MS = 30_000
_PAUSE_MS = 200.0
_LONGEST_PAUSE_MS = 400.0
"""Between calls while the store does not answer: the first pause, then twice
that.  60 daemons that start without the store made 1,100 calls in 6 s at the
first pause alone (one played day).  A longer one would save more, and keep the
callers of a small system waiting once the store is back."""

_POLL_MS = 20_000.0
_CHECK_MS = 500.0
_SIZE_OF_POLL = 8

ObjectHandler = typing.Callable[[transport.StoredObject], None]
PageHandler = typing.Callable[[transport.WatchPage], None]

_log = logs.logger('watcher')


class Watcher:
    """Follow objects of the platform's store for the parts of a daemon.

    Parameters
    ----------
    platform
        The object service.
    clock, counters
        The timers and metrics of this daemon.
    watch_ms
        How long one watch waits for a change.
    collect_ms
        By prefix, how long to let changes gather after one: when many
        targets start at once, each would end a watch of every daemon.
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
        self._followed_ms: dict[str, float] = {}
        self._heard_ms: dict[str, float] = {}
        self._polled_ms: dict[str, float] = {}
        self._stale_period_ms: typing.Callable[[str], float | None] | None = (
            None
        )
        self._platform = platform
        self._clock = clock
        self._metrics = counters
        self._handlers: dict[str, ObjectHandler] = {}
        self._tasks: list[asyncio.Task] = []
        self._unread: set[str] = set()
        self._on_first_read: list[typing.Callable[[], None]] = []
        self._is_watcher: typing.Callable[[], bool] = lambda: True
        self._size: typing.Callable[[], int] = lambda: 1
        self._share: ObjectHandler = lambda stored: None

    def follow(self, prefix: str, handler: ObjectHandler) -> None:
        """Call ``handler`` with each object below ``prefix`` that changes.

        To be called before :meth:`start`.  An object may be shown more
        than once, and an older version after a newer one: handlers keep
        the newest by their own rule.
        """
        self._handlers[prefix] = handler

    def follow_pages(self, prefix: str, handler: PageHandler) -> None:
        """Call ``handler`` with each page of changes below ``prefix``.

        For parts to which it matters that an object is gone.  To be called
        before :meth:`start`.
        """
        self._page_handlers[prefix] = handler

    def poll_stale(
        self, period_ms: typing.Callable[[str], float | None]
    ) -> None:
        """Read by polls that may be stale while not watching.

        ``period_ms`` gives the time between polls of a prefix, None for
        none.  For parts that need to know roughly only.
        """
        self._stale_period_ms = period_ms

    async def _poll_stale(self, prefix: str) -> None:
        period_ms = self._stale_period_ms(prefix)
        waited_ms = self._clock.now_ms() - self._polled_ms.get(prefix, -1e12)
        if period_ms is None or waited_ms < period_ms:
            await _pause.pause(self._clock, _CHECK_MS)
            return
        self._polled_ms[prefix] = self._clock.now_ms()
        reply = await self._platform.scan(prefix, may_be_stale=True)
        self._note_read(prefix)
        if isinstance(reply, result.Failure):
            self._note_failure(prefix, reply.failure())
            return
        self._note_success(prefix, None)
        page = transport.WatchPage(reply.unwrap(), (), 0, whole=True)
        self._page_handlers[prefix](page)

    def has_followed_since(self, since_ms: float) -> bool:
        """Whether a watch of every prefix that began later has answered.

        What is known is then as new as the store had it at that time.
        """
        prefixes = [*self._handlers, *self._page_handlers]
        return all(
            self._followed_ms.get(prefix, -1.0) >= since_ms
            for prefix in prefixes
        )

    def has_heard_within(self, span_ms: float) -> bool:
        """Whether a watch of every prefix has answered not long ago."""
        since_ms = self._clock.now_ms() - span_ms
        prefixes = [*self._handlers, *self._page_handlers]
        return all(
            self._heard_ms.get(prefix, -1.0) >= since_ms for prefix in prefixes
        )

    def on_outage(self, callback: typing.Callable[[], None]) -> None:
        """Call back at each call that the store did not answer."""
        self._on_outage.append(callback)

    def watch_only_while(
        self,
        is_watcher: typing.Callable[[], bool],
        size: typing.Callable[[], int],
        share: ObjectHandler,
    ) -> None:
        """Watch only while ``is_watcher()``; ``share`` what is found."""
        self._is_watcher = is_watcher
        self._size = size
        self._share = share

    def on_first_read(self, callback: typing.Callable[[], None]) -> None:
        """Call back when every prefix has been asked for once."""
        self._on_first_read.append(callback)

    def take(self, stored: transport.StoredObject) -> None:
        """Show an object, from the store or from a peer, to its handlers."""
        for prefix, handler in self._handlers.items():
            if stored.key.startswith(prefix):
                handler(stored)

    def start(self) -> None:
        """Watch in the background."""
        prefixes = [*self._handlers, *self._page_handlers]
        self._unread = set(prefixes)
        for prefix in prefixes:
            task = background.start(self._follow(prefix), f'watch {prefix}')
            self._tasks.append(task)

    def close(self) -> None:
        """Stop watching."""
        for task in self._tasks:
            task.cancel()

    async def _follow(self, prefix: str) -> None:
        position = 0
        pause_ms = _PAUSE_MS
        polled_ms = self._clock.now_ms()
        while True:
            watching = self._is_watcher()
            if not watching and self._stale_period_ms is not None:
                position = 0
                await self._poll_stale(prefix)
                continue
            if position and not watching:
                waited_ms = self._clock.now_ms() - polled_ms
                if waited_ms < self._poll_ms():
                    await _pause.pause(self._clock, _CHECK_MS)
                    continue
            polled_ms = self._clock.now_ms()
            timeout_ms = self._watch_ms if watching else 0
            reply = await self._platform.watch(prefix, position, timeout_ms)
            self._note_read(prefix)
            if isinstance(reply, result.Failure):
                if self._note_failure(prefix, reply.failure()):
                    position = 0
                await _pause.pause(self._clock, pause_ms)
                pause_ms = min(pause_ms * 2.0, _LONGEST_PAUSE_MS)
                continue
            pause_ms = _PAUSE_MS
            self._note_success(prefix, polled_ms if watching else None)
            page = reply.unwrap()
            if prefix in self._page_handlers:
                self._page_handlers[prefix](page)
            for stored in page.changed:
                self.take(stored)
                if position and watching:
                    self._share(stored)
            if not page.changed and position == 0:
                await _pause.pause(self._clock, _PAUSE_MS)
            position = page.position
            if prefix in self._collect_ms and (page.changed or page.gone):
                await _pause.pause(self._clock, self._collect_ms[prefix]())

    def _note_failure(self, prefix: str, error: transport.StoreError) -> bool:
        """Tell of a failed call; True if all must be read anew."""
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
        return False

    def _note_success(self, prefix: str, asked_ms: float | None) -> None:
        if asked_ms is not None:
            self._followed_ms[prefix] = asked_ms
            self._heard_ms[prefix] = self._clock.now_ms()
        if prefix in self._failing:
            self._failing.discard(prefix)
            _log.notice('store regained', prefix=prefix)

    def _poll_ms(self) -> float:
        return _POLL_MS * max(1.0, self._size() / _SIZE_OF_POLL)

    def _note_read(self, prefix: str) -> None:
        if prefix not in self._unread:
            return
        self._unread.discard(prefix)
        if not self._unread:
            for callback in self._on_first_read:
                callback()
