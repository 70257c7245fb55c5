"""Selection of the members that a daemon probes.

Each open connection costs 29 KB in both daemons, so in a large fleet a
daemon probes only some members, selected by a hash of the pair of names.
The selection spreads over all sites and changes little when a member joins
or leaves, and each member is probed by about the same number of others.
Background: docs/design/membership.md.
"""

import xxhash

from samphiredock.coordination.fleet import _member_table

NEIGHBOUR_COUNT = 24
_FULL_MESH_SIZE = 32


class Neighbours:
    """The members that one daemon probes, cached until the members change.

    Parameters
    ----------
    name
        This daemon's name.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._version = -1
        self._names: list[str] = []

    def names(self, table: _member_table.MemberTable) -> list[str]:
        """Return the neighbours among the live members, sorted."""
        if table.version != self._version:
            self._version = table.version
            others = table.names() - {self._name}
            if len(others) > _FULL_MESH_SIZE:
                others = sorted(others, key=self._weight)[:NEIGHBOUR_COUNT]
            self._names = sorted(others)
        return self._names

    def _weight(self, other: str) -> int:
        pair = '/'.join(sorted((self._name, other)))
        return xxhash.xxh64_intdigest(pair.encode())
