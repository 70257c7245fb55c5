"""How much of its time a caller has spent before its request is read here.

Callers of a route give the same time in all, and state what is left of it:
less on a new connection, whose packets went back and forth before, less if
another daemon had the request, and less for a second try.  What one states
below the most that was stated lately has been spent.
"""

import collections

REMEMBERED = 64
"""Requests of a route whose stated times are compared."""

BELIEVED_SHARE = 0.5
"""Part of a route's aim up to which a difference is taken for time spent.
Connecting takes 6 to 12 ms of an aim of 57 to 120 ms; a caller that has
spent half of the aim is late anyhow, or has other times than the rest."""


ROUTES_REMEMBERED = 256
"""Routes are renamed for good; 256 of them take 0.2 MB."""


class CallerTimes:
    """The times that callers have stated lately, by route."""

    def __init__(self) -> None:
        self._stated: dict[str, collections.deque[float]] = {}

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
        stated = self._stated_on(route)
        stated.append(left_ms)
        spent = max(stated) - left_ms
        return spent if spent <= aim_ms * BELIEVED_SHARE else 0.0

    def _stated_on(self, route: str) -> collections.deque[float]:
        """Return what was stated on a route, which is the newest now."""
        stated = self._stated.pop(route, None)
        if stated is None:
            stated = collections.deque(maxlen=REMEMBERED)
        self._stated[route] = stated
        if len(self._stated) > ROUTES_REMEMBERED:
            del self._stated[next(iter(self._stated))]
        return stated
