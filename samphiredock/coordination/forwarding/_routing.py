"""Holds the routing table in force."""

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
