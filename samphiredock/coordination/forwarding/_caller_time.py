"""How much of its time a caller has spent before its request is read here.

Callers of a route give the same time in all, and state what is left of it:
less on a new connection, whose packets went back and forth before, less if
another daemon had the request, and less for a second try.  What one states
below the most that was samples lately has been spent.
"""

import collections

MAX_SAMPLES = 64
"""Requests of a route whose samples times are compared."""

MAX_SPENT_SHARE = 0.5
"""Part of a route's aim up to which a difference is taken for time spent.
Connecting takes 6 to 12 ms of an aim of 57 to 120 ms; a caller that has
spent half of the aim is late anyhow, or has other times than the rest."""


MAX_ROUTES = 256
"""Routes are renamed for good; 256 of them take 0.2 MB."""


class CallerTimeEstimator:
    """The times that callers have samples lately, by route."""

    def __init__(self) -> None:
        self._samples: dict[str, collections.deque[float]] = {}

    def spent_ms(
        self, route: str, left_ms: float | None, aim_ms: float
    ) -> float:
        """Return what a caller has spent already; 0 if that is not known.

        Parameters
        ----------
        route
            Callers of one route are compared.
        left_ms
            What the caller states as left, None if it does not.
        aim_ms
            The route's.
        """
        if left_ms is None:
            return 0.0
        samples = self._route_samples(route)
        samples.append(left_ms)
        spent = max(samples) - left_ms
        return spent if spent <= aim_ms * MAX_SPENT_SHARE else 0.0

    def _route_samples(self, route: str) -> collections.deque[float]:
        """Return what was samples on a route, which is the newest now."""
        samples = self._samples.pop(route, None)
        if samples is None:
            samples = collections.deque(maxlen=MAX_SAMPLES)
        self._samples[route] = samples
        if len(self._samples) > MAX_ROUTES:
            del self._samples[next(iter(self._samples))]
        return samples
