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


class CallerTimes:
    """The times that callers have stated lately, by route."""

    def __init__(self) -> None:
        self._stated: dict[str, collections.deque[float]] = (
            collections.defaultdict(
                lambda: collections.deque(maxlen=REMEMBERED)
            )
        )

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
        stated = self._stated[route]
        stated.append(left_ms)
        spent = max(stated) - left_ms
        return spent if spent <= aim_ms * BELIEVED_SHARE else 0.0
