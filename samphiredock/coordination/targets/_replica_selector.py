"""Which replica of a shard gets an attempt."""

import collections
import random
import typing

_SMOOTHING = 0.2
_START_MS = 1.0

_FAILURE_FACTOR = 6.0
"""How much longer the wait at a target looks that fails every request.  A
target that refuses, breaks or spoils a part of its work is quick with it,
and looks as good as its latency; each failure costs a retry of a budget
that is soon used up.  With 6, one failure alone does not outweigh another
site's factor of 3, a share of 40 % does.  Without it a day on which 20 of 40
targets refused 6 of 10 requests lost 0.056 to 0.088 of its worth (played
days, one seed each)."""

OTHER_SITE_FACTOR = 1.05
_EXPLORE_SHARE = 0.01

_FORGET_HALF_MS = 5_000.0
"""Half-life of a latency that is not measured any more.  A target that was
slow for some seconds is asked again about so long after, and not only by
the small share that goes anywhere."""


class _TargetLoad:
    __slots__ = (
        'started_ms',
        'latency_ms',
        'measured_ms',
        'failing',
        'judged_ms',
        'factor',
    )

    def __init__(self, factor: float) -> None:
        self.started_ms: collections.deque[float] = collections.deque()
        self.latency_ms = _START_MS
        self.measured_ms = 0.0
        self.failing = 0.0
        self.judged_ms = 0.0
        self.factor = factor

    def expected_ms(self, now_ms: float) -> float:
        """Return the smoothed latency, or the age of what is overdue.

        An exchange that hangs has no latency yet, and work would be sent
        after it until it ends.
        """
        left = _left_of_age(now_ms - self.measured_ms)
        smoothed_ms = _START_MS + (self.latency_ms - _START_MS) * left
        oldest_ms = now_ms - self.started_ms[0] if self.started_ms else 0.0
        return max(smoothed_ms, oldest_ms)

    def failing_share(self, now_ms: float) -> float:
        """Return the share of its work that failed lately."""
        return self.failing * _left_of_age(now_ms - self.judged_ms)

    def judge(self, failed: bool, now_ms: float) -> None:
        """Take one end in, good or failed."""
        share = self.failing_share(now_ms)
        self.failing = share + _SMOOTHING * (failed - share)
        self.judged_ms = now_ms


def _left_of_age(age_ms: float) -> float:
    """Return what is left of a record that is not renewed."""
    return 0.5 ** (age_ms / _FORGET_HALF_MS)


class ReplicaSelector:
    """Least expected wait among two replicas drawn at random.

    The wait is the target's smoothed latency times what this coordinator
    has in flight there, and more if it fails part of its work.  A small
    share of attempts goes to a replica whatever its record, so that one
    which was slow once is seen to recover.

    Parameters
    ----------
    rng
        Seeded source of randomness.
    is_near
        Whether a target is in this daemon's site.
    now_ms
        The monotonic clock; without one nothing is forgotten.
    other_site_factor
        How much longer a target at another site may look before it is
        passed over: 1.05 decides between equals only.
    near_only
        Take one of another site only if none of this one is a candidate.
        For daemons that requests are handed to: one that was never asked
        looks quick, so that without it 76 of 173 hand-overs crossed sites
        and took 9.3 ms in place of 2.7 ms (median, log of one played day
        of 195 daemons).
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
        """Return one of ``candidates``, which may not be empty."""
        if self._near_only:
            near = [name for name in candidates if self._is_near(name)]
            candidates = near or candidates
        count = len(candidates)
        if count == 1:
            return candidates[0]
        draw = self._rng.random()
        if draw < _EXPLORE_SHARE:
            return candidates[int(draw / _EXPLORE_SHARE * count)]
        first = self._first(candidates, draw)
        second = (first + 1) % count
        if count > 2:
            second = (first + 1 + int(self._rng.random() * (count - 1))) % (
                count
            )
        one, other = candidates[first], candidates[second]
        return one if self._wait(one) <= self._wait(other) else other

    def _first(self, candidates: typing.Sequence[str], draw: float) -> int:
        """Return the place of the first candidate, a near one if any is.

        Where another site counts much worse, two candidates at random
        would leave the only near one out a third of the time.
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

    def _wait(self, target: str) -> float:
        load = self._load(target)
        now_ms = self._now_ms()
        latency_ms = load.expected_ms(now_ms) * load.factor
        failures = 1.0 + _FAILURE_FACTOR * load.failing_share(now_ms)
        return (len(load.started_ms) + 1) * latency_ms * failures

    def record_sent(self, target: str) -> None:
        """Count an attempt as in flight."""
        self._load(target).started_ms.append(self._now_ms())

    def record_ended(self, target: str, took_ms: float | None) -> None:
        """Count an attempt as ended; ``took_ms`` None leaves the record."""
        load = self._load(target)
        load.started_ms.popleft()
        if took_ms is not None:
            self.record_latency(target, took_ms)

    def keep_in_flight(self, target: str, sent_ms: float) -> None:
        """Count an attempt as in flight that was ended here, but runs on.

        :meth:`ended` follows when its exchange has ended.
        """
        started_ms = self._load(target).started_ms
        started_ms.append(sent_ms)
        if len(started_ms) > 1 and started_ms[-2] > sent_ms:
            self._load(target).started_ms = collections.deque(
                sorted(started_ms)
            )

    def record_latency(self, target: str, took_ms: float) -> None:
        """Take in a latency; also of an attempt that was ended before."""
        load = self._load(target)
        load.latency_ms += _SMOOTHING * (took_ms - load.latency_ms)
        load.measured_ms = self._now_ms()
        load.judge(False, load.measured_ms)

    def record_failure(self, target: str) -> None:
        """Take in that a target refused, broke or spoilt an attempt."""
        self._load(target).judge(True, self._now_ms())

    def forget(self, target: str) -> None:
        """Drop the record of a target that is gone."""
        load = self._loads.get(target)
        if load is not None and not load.started_ms:
            del self._loads[target]
