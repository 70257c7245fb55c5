"""Which of the services that share a route gets the next request."""

import dataclasses

from samphiredock import state


@dataclasses.dataclass(slots=True)
class _Credit:
    service: str
    weight: float
    credit: float = 0.0


class Splitter:
    """Choose among weighted services so that each gets its proportion.

    Smooth weighted round robin: after any number of requests the shares
    are off by less than one request, where a random choice strays by
    several per cent over some hundreds.
    """

    def __init__(self) -> None:
        self._credits: dict[str, list[_Credit]] = {}

    def choose(self, route: state.Route) -> str:
        """Return the service for one more request on ``route``."""
        if len(route.services) == 1:
            return route.services[0].service
        rows = self._rows(route)
        total = sum(row.weight for row in rows)
        for row in rows:
            row.credit += row.weight
        best = max(rows, key=lambda row: row.credit)
        best.credit -= total
        return best.service

    def _rows(self, route: state.Route) -> list[_Credit]:
        rows = self._credits.get(route.name, [])
        held = [(row.service, row.weight) for row in rows]
        wanted = [(row.service, row.weight) for row in route.services]
        if held != wanted:
            rows = [_Credit(service, weight) for service, weight in wanted]
            self._credits[route.name] = rows
        return rows
