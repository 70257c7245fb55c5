"""Opens and closes this daemon's claims in the platform's object store."""

import asyncio
import dataclasses
import random

from samphiredock.coordination.once import _claim_bucket
from samphiredock.coordination.once import _cutoff
from samphiredock.coordination.once import _store_health
from samphiredock import metrics
from samphiredock import state
from samphiredock import timers
from samphiredock import transport


@dataclasses.dataclass(frozen=True, slots=True)
class OpenResult:
    """The result of an attempt to open a claim.

    ``opened`` is None if the deadline passed first.  ``may_be_stored`` is
    set if the claim is or may be in the store, or may still get there when
    a delayed put arrives.
    """

    opened: state.OpenDecision | _claim_bucket.Unavailable | None
    may_be_stored: bool


class ClaimRegistry:
    """Opens and closes claims, with one writer for each bucket in use."""

    def __init__(
        self,
        platform: transport.Platform,
        clock: timers.Timers,
        randomness: random.Random,
        counters: metrics.Metrics,
        cutoff: _cutoff.Cutoff | None = None,
    ) -> None:
        self._cutoff = cutoff or _cutoff.Cutoff(clock)
        self._platform = platform
        self._clock = clock
        self._random = randomness
        self._metrics = counters
        self._health = _store_health.StoreHealth(clock)
        self._writers: dict[str, _claim_bucket.BucketWriter] = {}
        self._unrecorded: set[asyncio.Future] = set()

    def unrecorded_count(self) -> int:
        """Return how many closed claims are not recorded in the store yet."""
        return len(self._unrecorded)

    async def open(
        self,
        location: state.ClaimLocation,
        wanted: state.Claim,
        deadline_at_ms: float,
        replaces: str | None = None,
        force_read: bool = False,
    ) -> OpenResult:
        """Try to open a claim until a deadline.

        The request may be sent only if the status is ``GRANTED``: the put
        succeeded, or a read shows this claim's token.

        Parameters
        ----------
        location
            Bucket object and digest of the claim.
        wanted
            The claim to write.
        deadline_at_ms
            When to stop waiting, by the clock's ``now_ms()``.
        replaces
            Token of another claim whose holder never sent its request; the
            new claim may take its place.
        force_read
            Read the object from the store even if a recent version is
            cached.
        """
        if self._clock.now_ms() >= self._cutoff.bound(deadline_at_ms):
            return OpenResult(None, False)
        if not self._health.allows_call():
            self._metrics.add('claims_refused_unseen')
            return OpenResult(
                _claim_bucket.Unavailable('store unreachable'), False
            )
        answer = asyncio.get_running_loop().create_future()
        change = _claim_bucket.OpenChange(
            location.digest, wanted, replaces, answer
        )
        writer = self._writer(location.path)
        if force_read:
            writer.drop_cache()
        writer.submit(change)
        await self._cutoff.wait_until(answer, deadline_at_ms)
        if not answer.done():
            answer.cancel()
        opened = None if answer.cancelled() else answer.result()
        granted = _is_granted(opened)
        if granted:
            self._metrics.add('claims_written')
        return OpenResult(opened, granted or change.put_sent)

    def close(
        self, location: state.ClaimLocation, final: state.Claim
    ) -> asyncio.Future[bool]:
        """Record how a claim ended, retrying until it is recorded.

        The returned future resolves to True once it is recorded, to False
        if another claim has taken its place in the store.
        """
        answer = asyncio.get_running_loop().create_future()
        self._unrecorded.add(answer)
        answer.add_done_callback(self._on_recorded)
        change = _claim_bucket.CloseChange(location.digest, final, answer)
        self._writer(location.path).submit(change)
        return answer

    async def wait_recorded(self, until_ms: float) -> bool:
        """Wait for closed claims to be recorded; return whether all are."""
        while self._unrecorded:
            first = next(iter(self._unrecorded))
            if not await _claim_bucket.wait_until(
                self._clock, first, until_ms
            ):
                return False
        return True

    def stop(self) -> None:
        """Stop all writers; changes that are not written yet are dropped."""
        for writer in self._writers.values():
            writer.close()

    def _on_recorded(self, done: asyncio.Future) -> None:
        self._unrecorded.discard(done)
        if done.cancelled():
            return
        self._metrics.add('claims_closed')
        if not done.result():
            self._metrics.add('claims_superseded')

    def _writer(self, path: str) -> _claim_bucket.BucketWriter:
        writer = self._writers.get(path)
        if writer is None:
            writer = _claim_bucket.BucketWriter(
                path,
                self._platform,
                self._clock,
                self._random,
                self._metrics,
                self._health,
                lambda: self._on_idle(path),
            )
            self._writers[path] = writer
        return writer

    def _on_idle(self, path: str) -> None:
        self._clock.after(
            _claim_bucket.CACHE_MS, lambda: self._drop_if_idle(path)
        )

    def _drop_if_idle(self, path: str) -> None:
        # A writer caches the object's value.  Idle writers are dropped, so
        # that memory does not grow with the number of buckets used.
        writer = self._writers.get(path)
        if writer is not None and not writer.is_busy:
            del self._writers[path]


def _is_granted(
    opened: state.OpenDecision | _claim_bucket.Unavailable | None,
) -> bool:
    return (
        isinstance(opened, state.OpenDecision)
        and opened.status is state.OpenStatus.GRANTED
    )
