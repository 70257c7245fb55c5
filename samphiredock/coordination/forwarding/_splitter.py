"""Splits the requests of a route among services by weight."""

import dataclasses

from samphiredock import state


@dataclasses.dataclass(slots=True)
class _Credit:
    """A service's weight, and how far its count lags behind its share."""

    service: str
    weight: float
    credit: float = 0.0


class Splitter:
    """Chooses services by smooth weighted round robin.

    After any number of requests each service's count is off by less than one,
    where random choice may deviate by several per cent over hundreds.
    """

    def __init__(self) -> None:
        self._credits: dict[str, list[_Credit]] = {}

    def choose(self, route: state.Route) -> str:
        """Return the service that gets the next request on ``route``."""
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
