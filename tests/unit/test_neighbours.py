"""The graph of neighbours: which member probes which."""

import unittest

from samphiredock.coordination.fleet import _member_table
from samphiredock.coordination.fleet import _neighbours
from samphiredock import protocol


def table_of(name: str, count: int) -> _member_table.MemberTable:
    """Return one daemon's table of ``count`` live members."""
    rows = [
        protocol.MemberRow(f'entry-{n}', 's', 'r', '', '', '', 1)
        for n in range(count)
    ]
    table = _member_table.MemberTable(
        next(row for row in rows if row.name == name)
    )
    for row in rows:
        table.set(row)
    return table


def graph_of(count: int) -> dict[str, list[str]]:
    """Return each daemon's neighbours."""
    names = [f'entry-{n}' for n in range(count)]
    table = table_of(names[0], count)
    return {name: _neighbours.Neighbours(name).names(table) for name in names}


class NeighboursTest(unittest.TestCase):
    """A large fleet, and one in which all probe each other."""

    def test_small_fleet_probes_every_member(self) -> None:
        """Up to 33 daemons the graph of probes is a full mesh."""
        sizes = {len(names) for names in graph_of(33).values()}
        self.assertEqual({32}, sizes)

    def test_large_fleet_probes_every_member_and_is_connected(self) -> None:
        """Otherwise a failure would go undetected or not be known to all."""
        graph = graph_of(490)
        self.assertEqual(
            {_neighbours.NEIGHBOUR_COUNT},
            {len(names) for names in graph.values()},
        )
        probed = [name for names in graph.values() for name in names]
        least = min(probed.count(name) for name in graph)
        self.assertGreaterEqual(least, 8)
        reached, edge = {'entry-0'}, ['entry-0']
        while edge:
            new = [n for n in graph[edge.pop()] if n not in reached]
            reached.update(new)
            edge.extend(new)
        self.assertEqual(set(graph), reached)

    def test_follows_the_live_members(self) -> None:
        """A lost neighbour is replaced, the others stay."""
        table = table_of('entry-0', 100)
        neighbours = _neighbours.Neighbours('entry-0')
        before = set(neighbours.names(table))
        lost = min(before)
        row = table.get(lost)
        table.set(_member_table.with_state(row, protocol.MemberState.DEAD))
        after = set(neighbours.names(table))
        self.assertEqual({lost}, before - after)
        self.assertEqual(1, len(after - before))
