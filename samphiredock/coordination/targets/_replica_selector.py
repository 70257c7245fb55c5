"""Selection of the replica that gets an attempt."""

import collections
import random
import typing

_SMOOTHING = 0.2
_INITIAL_LATENCY_MS = 1.0

_FAILURE_PENALTY = 6.0
"""How much the expected wait grows for a target that fails every request.
Failures are often fast, so by latency alone a failing target would be
preferred, and each failure costs a retry.  A single failure must not
outweigh an ``other_site_factor`` of 3, but a share of 40 % does.  Without it,
a day on which 20 of 40 targets refused 6 of 10 requests lost 0.056 to 0.088
of its worth."""

OTHER_SITE_FACTOR = 1.05
_EXPLORE_SHARE = 0.01

_HALF_LIFE_MS = 5_000.0
"""Half-life of a recorded latency or failure rate, so that a target which
gets no attempts because it was slow or failing is tried again."""


class _TargetLoad:
    """Attempts in flight at one target, its latency and failure rate.

    ``started_ms`` has the start of each attempt in flight, oldest first.
    ``factor`` multiplies the expected wait; it is 1.0 in this site.
    """

    __slots__ = (
        'started_ms',
        'latency_ms',
        'measured_at_ms',
        'failure_rate',
        'result_at_ms',
        'factor',
    )

    def __init__(self, factor: float) -> None:
        self.started_ms: collections.deque[float] = collections.deque()
        self.latency_ms = _INITIAL_LATENCY_MS
        self.measured_at_ms = 0.0
        self.failure_rate = 0.0
        self.result_at_ms = 0.0
        self.factor = factor

    def expected_ms(self, now_ms: float) -> float:
        """Return the latency, or the age of the oldest attempt if greater.

        An attempt that hangs gives no latency until it ends; without its
        age, more attempts would be sent after it.
        """
        weight = _decay(now_ms - self.measured_at_ms)
        smoothed_ms = (
            _INITIAL_LATENCY_MS
            + (self.latency_ms - _INITIAL_LATENCY_MS) * weight
        )
        oldest_ms = now_ms - self.started_ms[0] if self.started_ms else 0.0
        return max(smoothed_ms, oldest_ms)

    def recent_failure_rate(self, now_ms: float) -> float:
        """Return the smoothed share of attempts that failed, decayed."""
        return self.failure_rate * _decay(now_ms - self.result_at_ms)

    def record_result(self, failed: bool, now_ms: float) -> None:
        """Record that an attempt failed or succeeded."""
        share = self.recent_failure_rate(now_ms)
        self.failure_rate = share + _SMOOTHING * (failed - share)
        self.result_at_ms = now_ms


def _decay(age_ms: float) -> float:
    """Return the weight, 0 to 1, of a measurement of that age."""
    return 0.5 ** (age_ms / _HALF_LIFE_MS)


class ReplicaSelector:
    """Selects the better of two random replicas (power of two choices).

    The better one has the shorter expected wait: the target's smoothed
    latency times this daemon's attempts in flight there, increased by the
    target's failure rate.  A small share of attempts goes to any
    replica at random, so that the recovery of a slow one is noticed.

    Parameters
    ----------
    rng
        Seeded random source.
    is_near
        Returns whether a target is in this daemon's site.
    other_site_factor
        Factor on the expected wait of targets at other sites; the default
        only decides between equals.
    now_ms
        The monotonic clock; without one, measurements do not decay.
    near_only
        Select a target of another site only if no candidate is in this
        site.  Otherwise a target that was never used would look fast and
        draw attempts to other sites: 76 of 173 handovers crossed sites and
        took 9.3 instead of 2.7 ms.
    """

    def __init__(
        self,
        rng: random.Random,
        is_near: typing.Callable[[str], bool],
        other_site_factor: float = OTHER_SITE_FACTOR,
        now_ms: typing.Callable[[], float] = lambda: 0.0,
        near_only: bool = False,
    ) -> None:
        self._near_only = near_only
        self._now_ms = now_ms
        self._rng = rng
        self._other_site_factor = other_site_factor
        self._is_near = is_near
        self._loads: dict[str, _TargetLoad] = {}

    def _load(self, target: str) -> _TargetLoad:
        load = self._loads.get(target)
        if load is None:
            near = self._is_near(target)
            factor = 1.0 if near else self._other_site_factor
            load = self._loads[target] = _TargetLoad(factor)
        return load

    def choose(self, candidates: typing.Sequence[str]) -> str:
        """Return one of ``candidates``, which must not be empty."""
        if self._near_only:
            near = [name for name in candidates if self._is_near(name)]
            candidates = near or candidates
        count = len(candidates)
        if count == 1:
            return candidates[0]
        draw = self._rng.random()
        if draw < _EXPLORE_SHARE:
            return candidates[int(draw / _EXPLORE_SHARE * count)]
        first = self._first_index(candidates, draw)
        second = (first + 1) % count
        if count > 2:
            second = (first + 1 + int(self._rng.random() * (count - 1))) % (
                count
            )
        one, other = candidates[first], candidates[second]
        return (
            one
            if self._expected_wait(one) <= self._expected_wait(other)
            else other
        )

    def _first_index(
        self, candidates: typing.Sequence[str], draw: float
    ) -> int:
        """Return the index of the first of the two candidates.

        If ``other_site_factor`` is above its default, a near candidate is
        preferred: with two of three drawn at random, a single near one
        would be left out a third of the time.
        """
        if self._other_site_factor > OTHER_SITE_FACTOR:
            near = [
                at
                for at, name in enumerate(candidates)
                if self._load(name).factor == 1.0
            ]
            if near:
                return near[int(draw * len(near))]
        return int(draw * len(candidates))

    def _expected_wait(self, target: str) -> float:
        load = self._load(target)
        now_ms = self._now_ms()
        latency_ms = load.expected_ms(now_ms) * load.factor
        penalty = 1.0 + _FAILURE_PENALTY * load.recent_failure_rate(now_ms)
        return (len(load.started_ms) + 1) * latency_ms * penalty

    def record_sent(self, target: str) -> None:
        """Record that an attempt was sent to a target."""
        self._load(target).started_ms.append(self._now_ms())

    def record_ended(self, target: str, took_ms: float | None) -> None:
        """Record that an attempt ended.

        ``took_ms`` is its latency, None to leave the latency as it is.  The
        oldest start is removed, whichever attempt ended.
        """
        load = self._load(target)
        load.started_ms.popleft()
        if took_ms is not None:
            self.record_latency(target, took_ms)

    def keep_in_flight(self, target: str, sent_ms: float) -> None:
        """Count an attempt in flight that ended here but runs at the target.

        ``sent_ms`` is when it was sent.  :meth:`record_ended` must follow
        when its exchange ends.
        """
        started_ms = self._load(target).started_ms
        started_ms.append(sent_ms)
        if len(started_ms) > 1 and started_ms[-2] > sent_ms:
            self._load(target).started_ms = collections.deque(
                sorted(started_ms)
            )

    def record_latency(self, target: str, took_ms: float) -> None:
        """Record the latency of a successful attempt."""
        load = self._load(target)
        load.latency_ms += _SMOOTHING * (took_ms - load.latency_ms)
        load.measured_at_ms = self._now_ms()
        load.record_result(False, load.measured_at_ms)

    def record_failure(self, target: str) -> None:
        """Record that a target refused an attempt or failed it."""
        self._load(target).record_result(True, self._now_ms())

    def forget(self, target: str) -> None:
        """Drop the data of a removed target, unless attempts are in flight."""
        load = self._loads.get(target)
        if load is not None and not load.started_ms:
            del self._loads[target]
