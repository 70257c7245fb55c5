"""Estimates the time a caller has spent before its request is read.

Callers of a route start with the same total time and state what is left of it.
On a new connection less is left, because of the handshake; also if another
daemon had the request before, or on a retry.  The difference to the greatest
time stated recently is the time already spent.
"""

import collections

MAX_SAMPLES = 64
"""Requests of a route whose stated times are compared."""

MAX_SPENT_SHARE = 0.5
"""Share of a route's aim up to which a difference counts as time spent.
Beyond, the caller is late anyway, or has a shorter total time than others.
Connecting takes 6 to 12 ms of an aim of 57 to 120 ms."""


MAX_ROUTES = 256
"""Bounds the memory, since renamed routes leave their old names behind; 256
routes take 0.2 MB."""


class CallerTimeEstimator:
    """Estimates the time spent from the times left that callers state."""

    def __init__(self) -> None:
        self._samples: dict[str, collections.deque[float]] = {}

    def spent_ms(
        self, route: str, left_ms: float | None, aim_ms: float
    ) -> float:
        """Return the time that a caller has already spent; 0 if unknown.

        Parameters
        ----------
        route
            The route's name; callers of one route are compared.
        left_ms
            The time left that the caller states, None if it does not.
        aim_ms
            The route's aim.
        """
        if left_ms is None:
            return 0.0
        samples = self._route_samples(route)
        samples.append(left_ms)
        spent = max(samples) - left_ms
        return spent if spent <= aim_ms * MAX_SPENT_SHARE else 0.0

    def _route_samples(self, route: str) -> collections.deque[float]:
        """Return a route's samples, and mark them as most recently used."""
        samples = self._samples.pop(route, None)
        if samples is None:
            samples = collections.deque(maxlen=MAX_SAMPLES)
        self._samples[route] = samples
        if len(self._samples) > MAX_ROUTES:
            del self._samples[next(iter(self._samples))]
        return samples
