"""Commits claims in batches to one bucket object of the platform's store.

A bucket object holds the claims of many idempotency keys, so concurrent
claims share reads and writes.
"""

import asyncio
import dataclasses
import random
import typing

from returns import result

from samphiredock.coordination import background
from samphiredock.coordination.once import _store_health
from samphiredock import metrics
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

CACHE_MS = 200.0
"""How long the object of a successful put is used without a new read."""

READ_BACK_LIMIT = 5
"""How many times to try to read back a claim whose put got no answer."""

_BACKOFF_MS = 4.0
_BACKOFF_LIMIT_MS = 2_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The store could not be used; ``detail`` gives the error."""

    detail: str


@dataclasses.dataclass(slots=True, eq=False)
class OpenChange:
    """A claim to open.

    ``digest`` is the claim's key within the bucket, ``wanted`` the claim to
    write and ``replaces`` the token of a claim that it may replace.
    ``answer`` resolves to a ``state.OpenDecision`` or ``Unavailable``, and
    ``failures`` counts the store errors met so far.

    ``put_sent`` is set once a put with this change has been sent: the claim
    may be in the store then, whatever the answer was.  An HTTP client may
    send a PUT again after a lost connection, and the second PUT meets a
    conflict with the first one, or an outage.  ``answer_lost`` is set if a
    put got no answer: the claim is read back before the request is refused.
    """

    digest: str
    wanted: state.Claim
    replaces: str | None
    answer: asyncio.Future
    put_sent: bool = False
    answer_lost: bool = False
    failures: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class CloseChange:
    """A claim of this daemon to close, retried until it is recorded.

    ``final`` is the closed claim.  ``answer`` resolves to whether it was
    recorded, False if another claim has taken its place.
    """

    digest: str
    final: state.Claim
    answer: asyncio.Future


Change = OpenChange | CloseChange

_Reply = result.Result[typing.Any, transport.StoreError]


async def wait_until(
    clock: timers.Timers, future: asyncio.Future, at_ms: float
) -> bool:
    """Wait for a future until ``at_ms``; return whether it is done.

    Neither the time limit nor a cancelled wait cancels the future.
    """
    if future.done():
        return True
    waker = asyncio.get_running_loop().create_future()
    timer = clock.after(at_ms - clock.now_ms(), lambda: _wake(waker))

    def wake(_: asyncio.Future) -> None:
        _wake(waker)

    future.add_done_callback(wake)
    try:
        await waker
    finally:
        timer.cancel()
        future.remove_done_callback(wake)
    return future.done()


def _is_lost(reply: _Reply) -> bool:
    return (
        isinstance(reply, result.Failure)
        and reply.failure().kind is transport.StoreErrorKind.LOST
    )


def _wake(waker: asyncio.Future) -> None:
    if not waker.done():
        waker.set_result(None)


class BucketWriter:
    """Commits all queued changes of one bucket in one conditional put.

    At most one put is in flight.  After a put whose answer was lost, the
    object is read again; changes that it already contains need no put.

    Parameters
    ----------
    path
        Key of the bucket object.
    randomness
        Spreads the delays between retries.
    health
        Records each call to the store and whether it was answered.
    on_idle
        Called when no change is queued any more.
    """

    def __init__(
        self,
        path: str,
        platform: transport.Platform,
        clock: timers.Timers,
        randomness: random.Random,
        counters: metrics.Metrics,
        health: _store_health.StoreHealth,
        on_idle: typing.Callable[[], None],
    ) -> None:
        self._path = path
        self._platform = platform
        self._clock = clock
        self._random = randomness
        self._metrics = counters
        self._health = health
        self._on_idle = on_idle
        self._queue: list[Change] = []
        self._task: asyncio.Task | None = None
        self._retry_waker: asyncio.Future | None = None
        self._cached: tuple[int, bytes] | None = None
        self._cached_until_ms = 0.0
        self._failed_commits = 0

    @property
    def is_busy(self) -> bool:
        """Whether changes are being committed."""
        return self._task is not None

    def submit(self, change: Change) -> None:
        """Queue a change; its ``answer`` resolves when it has a result."""
        self._queue.append(change)
        if self._task is None:
            self._task = asyncio.create_task(self._commit_queue())
        elif self._retry_waker is not None and isinstance(change, OpenChange):
            # A caller is waiting for this change: retry without delay.
            _wake(self._retry_waker)

    def drop_cache(self) -> None:
        """Make the next commit read the object from the store."""
        self._cached = None

    def close(self) -> None:
        """Stop; changes that are not written yet are dropped."""
        if self._task is not None:
            self._task.cancel()

    async def _commit_queue(self) -> None:
        try:
            while self._queue:
                delay_ms = await self._commit_or_report()
                self._queue = [
                    change
                    for change in self._queue
                    if not change.answer.done()
                ]
                if delay_ms and self._queue:
                    await self._wait_for_retry(delay_ms)
        finally:
            # Even if an exception ends this task, the next change starts a
            # new one, so that the bucket's keys are not blocked forever.
            self._task = None
            self._retry_waker = None
        self._on_idle()

    async def _wait_for_retry(self, delay_ms: float) -> None:
        self._retry_waker = asyncio.get_running_loop().create_future()
        await wait_until(
            self._clock, self._retry_waker, self._clock.now_ms() + delay_ms
        )
        self._retry_waker = None

    async def _commit_or_report(self) -> float:
        try:
            return await self._commit()
        except Exception as error:
            background.report(error, 'claim bucket', self._metrics)
            for change in self._queue:
                if isinstance(change, OpenChange):
                    # What was sent may have been stored.
                    change.answer_lost |= change.put_sent
            return self._on_store_error(
                transport.StoreError(
                    transport.StoreErrorKind.LOST, 'internal error'
                )
            )

    async def _commit(self) -> float:
        """Try one commit.

        Returns the delay before a retry in ms, 0 after a success.
        """
        read = await self._read()
        if isinstance(read, transport.StoreError):
            return self._on_store_error(read)
        version, bucket = read
        batch = [change for change in self._queue if not change.answer.done()]
        bucket.expire(self._clock.wall_ms())
        answers = [self._apply(bucket, change) for change in batch]
        if bucket.changed:
            error = await self._put(version, bucket, batch)
            if error is not None:
                return self._on_put_error(error)
        self._failed_commits = 0
        for change, answer in zip(batch, answers):
            if not change.answer.done():
                change.answer.set_result(answer)
        return 0.0

    def _apply(
        self, bucket: state.Bucket, change: Change
    ) -> state.OpenDecision | bool:
        if isinstance(change, CloseChange):
            return bucket.close(change.digest, change.final)
        return bucket.open(change.digest, change.wanted, change.replaces)

    async def _read(
        self,
    ) -> tuple[int, state.Bucket] | transport.StoreError:
        now_ms = self._clock.now_ms()
        if self._cached is not None and now_ms < self._cached_until_ms:
            version, value = self._cached
        else:
            self._metrics.add('claim_reads')
            reply = await self._monitored(self._platform.get(self._path))
            if isinstance(reply, result.Failure):
                error = reply.failure()
                if error.kind is transport.StoreErrorKind.NOT_FOUND:
                    return transport.CREATE_ONLY, state.Bucket()
                return error
            version, value = reply.unwrap().version, reply.unwrap().value
        bucket = state.decode_bucket(value)
        if bucket is None:
            self._metrics.add('claim_buckets_unreadable')
            return transport.StoreError(
                transport.StoreErrorKind.REFUSED,
                f'bucket {self._path}: got a value that cannot be decoded',
            )
        return version, bucket

    async def _put(
        self, version: int, bucket: state.Bucket, batch: list[Change]
    ) -> transport.StoreError | None:
        opens = [item for item in batch if isinstance(item, OpenChange)]
        for change in opens:
            change.put_sent = True
        value = bucket.encode()
        self._metrics.add('claim_writes')
        self._metrics.add('claim_changes', len(batch))
        reply = await self._monitored(
            self._platform.put(self._path, value, version)
        )
        if isinstance(reply, result.Success):
            self._cached = (reply.unwrap(), value)
            self._cached_until_ms = self._clock.now_ms() + CACHE_MS
            return None
        error = reply.failure()
        self._cached = None
        for change in opens:
            change.answer_lost |= error.kind is transport.StoreErrorKind.LOST
        return error

    async def _monitored(
        self, call: typing.Coroutine[typing.Any, typing.Any, _Reply]
    ) -> _Reply:
        number = self._health.call_started()
        is_answered = False
        try:
            reply = await call
            is_answered = not _is_lost(reply)
            return reply
        finally:
            self._health.call_ended(number, is_answered)

    def _on_put_error(self, error: transport.StoreError) -> float:
        if error.kind is transport.StoreErrorKind.CONFLICT:
            self._metrics.add('claim_conflicts')
            self._failed_commits += 1
            return self._backoff_ms()
        if error.kind is transport.StoreErrorKind.LOST:
            self._metrics.add('claim_answers_lost')
            self._failed_commits += 1
            return self._backoff_ms()
        return self._on_store_error(error)

    def _on_store_error(self, error: transport.StoreError) -> float:
        """Refuse the waiting claims; return the delay before a retry in ms.

        A claim whose put got no answer may be granted, so it is refused only
        after ``READ_BACK_LIMIT`` failed attempts to read it back.
        """
        self._metrics.add('claim_store_errors', kind=error.kind.value)
        self._cached = None
        self._failed_commits += 1
        for change in self._queue:
            if isinstance(change, CloseChange) or change.answer.done():
                continue
            change.failures += 1
            if not change.answer_lost or change.failures >= READ_BACK_LIMIT:
                change.answer.set_result(Unavailable(error.detail))
        return self._backoff_ms()

    def _backoff_ms(self) -> float:
        ceiling_ms = min(
            _BACKOFF_LIMIT_MS, _BACKOFF_MS * 2 ** min(self._failed_commits, 12)
        )
        return ceiling_ms * (0.5 + 0.5 * self._random.random())
