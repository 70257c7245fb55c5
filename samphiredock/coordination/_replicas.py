"""Which replica of a shard gets an attempt."""

import random
import typing

_SMOOTHING = 0.2
_START_MS = 1.0
OTHER_SITE_FACTOR = 1.05
_EXPLORE_SHARE = 0.01


class _TargetLoad:
    __slots__ = ('in_flight', 'latency_ms', 'factor')

    def __init__(self, factor: float) -> None:
        self.in_flight = 0
        self.latency_ms = _START_MS
        self.factor = factor


class Replicas:
    """Least expected wait among two replicas drawn at random.

    The wait is the target's smoothed latency times what this coordinator
    has in flight there.  A small share of attempts goes to a replica
    whatever its record, so that one which was slow once is seen to recover.

    Parameters
    ----------
    rng
        Seeded source of randomness.
    is_near
        Whether a target is in this daemon's site.
    other_site_factor
        How much longer a target at another site may look before it is
        passed over: 1.05 decides between equals only.
    """

    def __init__(
        self,
        rng: random.Random,
        is_near: typing.Callable[[str], bool],
        other_site_factor: float = OTHER_SITE_FACTOR,
    ) -> None:
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
        count = len(candidates)
        if count == 1:
            return candidates[0]
        draw = self._rng.random()
        if draw < _EXPLORE_SHARE:
            return candidates[int(draw / _EXPLORE_SHARE * count)]
        first = int(draw * count)
        second = (first + 1) % count
        if count > 2:
            second = (first + 1 + int(self._rng.random() * (count - 1))) % (
                count
            )
        one, other = candidates[first], candidates[second]
        return one if self._wait(one) <= self._wait(other) else other

    def _wait(self, target: str) -> float:
        load = self._load(target)
        return (load.in_flight + 1) * load.latency_ms * load.factor

    def sent(self, target: str) -> None:
        """Count an attempt as in flight."""
        self._load(target).in_flight += 1

    def ended(self, target: str, took_ms: float | None) -> None:
        """Count an attempt as ended; ``took_ms`` None leaves the record."""
        load = self._load(target)
        load.in_flight -= 1
        if took_ms is not None:
            load.latency_ms += _SMOOTHING * (took_ms - load.latency_ms)
