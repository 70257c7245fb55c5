"""The claims of one daemon in the platform's store."""

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
    """How an attempt to open a claim ended.

    ``opened`` is None if the deadline came first.  ``may_be_stored`` says
    that the claim may be in the store, now or when a put arrives late.
    """

    opened: state.OpenDecision | _claim_bucket.Unavailable | None
    may_be_stored: bool


class ClaimRegistry:
    """Opens and closes claims; one writer a bucket that is in use."""

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
        """Return how many ends of claims are not in the store yet."""
        return len(self._unrecorded)

    async def open(
        self,
        place: state.ClaimLocation,
        wanted: state.Claim,
        deadline_at_ms: float,
        replaces: str | None = None,
        force_read: bool = False,
    ) -> OpenResult:
        """Open a claim before a deadline.

        With ``force_read`` the object is read from the store in any case.
        Only ``GRANTED`` allows to send: the put succeeded, or a read shows
        the own token.
        """
        if self._clock.now_ms() >= self._cutoff.bound(deadline_at_ms):
            return OpenResult(None, False)
        if not self._health.allows_call():
            self._metrics.add('claims_refused_unseen')
            return OpenResult(
                _claim_bucket.Unavailable('the store does not answer'), False
            )
        answer = asyncio.get_running_loop().create_future()
        change = _claim_bucket.OpenChange(
            place.digest, wanted, replaces, answer
        )
        writer = self._writer(place.path)
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
        self, place: state.ClaimLocation, final: state.Claim
    ) -> asyncio.Future[bool]:
        """Record the end of a claim, trying until it is recorded.

        Returns a future of whether the claim was still the token's own.
        """
        answer = asyncio.get_running_loop().create_future()
        self._unrecorded.add(answer)
        answer.add_done_callback(self._on_recorded)
        change = _claim_bucket.CloseChange(place.digest, final, answer)
        self._writer(place.path).submit(change)
        return answer

    async def wait_recorded(self, until_ms: float) -> bool:
        """Wait until every end is recorded, at most until a time."""
        while self._unrecorded:
            first = next(iter(self._unrecorded))
            if not await _claim_bucket.wait_until(
                self._clock, first, until_ms
            ):
                return False
        return True

    def stop(self) -> None:
        """Stop writing."""
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
        self._clock.after(_claim_bucket.CACHE_MS, lambda: self._forget(path))

    def _forget(self, path: str) -> None:
        # A writer keeps the object's last value: it goes when it is idle,
        # so that memory does not grow with the slices of a day.
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
