"""Holds the routing table in force, and compares it with another one."""

import typing

from samphiredock import logs
from samphiredock import state

_log = logs.logger('routing')


class RoutingState:
    """The newest routing table seen; older ones are ignored.

    A stale read or a reordered reply may deliver an older version after a
    newer one.  If it were used, a caller would lose a route that it has just
    used.
    """

    def __init__(self) -> None:
        self._table: state.RoutingTable | None = None
        self._subscribers: list[
            typing.Callable[[state.RoutingTable], None]
        ] = []

    @property
    def table(self) -> state.RoutingTable | None:
        """The table in force, None before the first."""
        return self._table

    def subscribe(
        self, callback: typing.Callable[[state.RoutingTable], None]
    ) -> None:
        """Call ``callback`` with each table that is put in force."""
        self._subscribers.append(callback)

    def offer(self, table: state.RoutingTable) -> bool:
        """Put a table in force if it is newer; return whether it was."""
        held = self._table.version if self._table else None
        if held is not None and table.version <= held:
            return False
        self._table = table
        _log.notice(
            'routing table in force',
            version=table.version,
            before=held,
            routes=len(table.routes),
        )
        for callback in self._subscribers:
            callback(table)
        return True


def routes_without_targets(
    offered: state.RoutingTable,
    held: state.RoutingTable,
    has_target: typing.Callable[[str], bool],
) -> list[str]:
    """Return the routes that an offered table would serve worse than another.

    A daemon without the store does not know the targets that have registered
    since.  If a newer table names their services, the daemon would refuse
    requests that it can serve by the table it holds.

    Parameters
    ----------
    offered, held
        The newer table, and the one in force.
    has_target
        Whether a target of a service is known here.
    """

    def missing(route: state.Route) -> int:
        services = route.shards or tuple(row.service for row in route.services)
        return sum(not has_target(service) for service in services)

    before = {(row.host, row.prefix): row for row in held.routes}
    return [
        route.name
        for route in offered.routes
        if (route.host, route.prefix) in before
        and missing(route) > missing(before[route.host, route.prefix])
    ]
