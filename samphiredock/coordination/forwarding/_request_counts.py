"""Counts the requests of each content that ended well."""

import collections
import dataclasses

from samphiredock import timers

PERIOD_MS = 60_000.0
"""Counts cover the current period and the one before."""

_MAX_CONTENTS = 2_000
"""Contents counted in a period; the one not seen for longest is dropped."""


@dataclasses.dataclass(slots=True)
class _Content:
    route: str
    count: int = 0


class _Period:
    """The counts of one period."""

    def __init__(self) -> None:
        self.contents: collections.OrderedDict[str, _Content] = (
            collections.OrderedDict()
        )
        self.routes: collections.Counter[str] = collections.Counter()

    def add(self, fingerprint: str, route: str) -> None:
        content = self.contents.setdefault(fingerprint, _Content(route))
        content.count += 1
        self.contents.move_to_end(fingerprint)
        if len(self.contents) > _MAX_CONTENTS:
            self.contents.popitem(last=False)
        self.routes[route] += 1


class RequestCounts:
    """Requests of the last one to two minutes, by content and by route.

    Parameters
    ----------
    clock
        The timers of this daemon.
    """

    def __init__(self, clock: timers.Timers) -> None:
        self._clock = clock
        self._periods = (_Period(), _Period())
        self._began_ms = clock.now_ms()

    def add(self, fingerprint: str, route: str) -> None:
        """Count a request that ended well."""
        self._turn()
        self._periods[0].add(fingerprint, route)

    def of(self, fingerprint: str) -> tuple[int, int]:
        """Return the requests of a content, and those of its route.

        Both are 0 for a content that is not known.
        """
        self._turn()
        found = [
            period.contents[fingerprint]
            for period in self._periods
            if fingerprint in period.contents
        ]
        if not found:
            return 0, 0
        route = found[0].route
        return (
            sum(content.count for content in found),
            sum(period.routes[route] for period in self._periods),
        )

    def _turn(self) -> None:
        """Begin a new period if the current one is over."""
        passed_ms = self._clock.now_ms() - self._began_ms
        if passed_ms < PERIOD_MS:
            return
        before = self._periods[0] if passed_ms < 2 * PERIOD_MS else _Period()
        self._periods = (_Period(), before)
        self._began_ms = self._clock.now_ms()
