"""Tests of merging the parts of a search."""

import os
import random
import unittest

from samphiredock.coordination.forwarding import _collected_parts
from samphiredock.coordination.forwarding import _route_plans

SEED = int(os.environ.get('SAMPHIREDOCK_SEED', '20261202'))
SIZE = 16


def _body(*values: int) -> bytes:
    return b''.join(f'{value:>{SIZE}}'.encode() for value in values)


class CollectedPartsTest(unittest.TestCase):
    """A search for the three greatest records."""

    def setUp(self) -> None:
        """Start without parts."""
        self.parts = _collected_parts.CollectedParts(3)

    def test_merged_part_replaces_parts_of_its_shards(self) -> None:
        """A hedge's part comes before the merged part of the same shard."""
        self.parts.expect_merged(['a', 'b'])
        self.parts.add('a', 'hedge', _body(9, 8))
        self.assertEqual(('hedge',), self.parts.receipts())
        self.assertEqual(_body(9, 8), self.parts.body())
        self.parts.add_merged({'a': 'ra', 'b': 'rb'}, _body(7, 6, 5))
        self.assertEqual({'ra', 'rb'}, set(self.parts.receipts()))
        self.assertEqual(_body(7, 6, 5), self.parts.body())

    def test_first_part_of_a_shard_is_kept(self) -> None:
        """Both parts together would count its records twice."""
        self.parts.add('a', 'one', _body(9))
        self.parts.add('a', 'two', _body(9))
        self.assertEqual(('one',), self.parts.receipts())
        self.assertEqual(_body(9), self.parts.body())

    def test_floor_ignores_replaceable_parts(self) -> None:
        """A replaceable part must not keep other records out of the answer."""
        self.parts.expect_merged(['a'])
        self.parts.add('a', 'hedge', _body(9, 8, 7))
        self.assertEqual(b'', self.parts.floor())
        self.parts.add('b', 'rb', _body(3, 2))
        self.assertEqual(b'', self.parts.floor())
        self.parts.add('c', 'rc', _body(1))
        self.assertEqual(_body(1), self.parts.floor())
        self.parts.expect_no_merged(['a'])
        self.assertEqual(_body(7), self.parts.floor())

    def test_any_order_gives_the_greatest_records(self) -> None:
        """Random parts, some cut at an earlier floor, give the same answer."""
        for number in range(300):
            rng = random.Random(SEED + number)
            with self.subTest(seed=SEED + number):
                self._check(rng)

    def _check(self, rng: random.Random) -> None:
        parts = _collected_parts.CollectedParts(3)
        held = {
            shard: [rng.randrange(60) for _ in range(rng.randrange(4))]
            for shard in 'abcdefgh'
        }
        merged = rng.sample('abcdefgh', rng.randrange(5))
        parts.expect_merged(merged)
        steps = [*'abcdefgh'] + ['merged'] * bool(merged)
        rng.shuffle(steps)
        asked = []
        for step in steps:
            if step == 'merged' and rng.random() < 0.7:
                bodies = [_body(*held[shard]) for shard in merged]
                records = _route_plans.merge_parts(bodies, 3)
                parts.add_merged(dict(zip(merged, merged)), records)
            elif step == 'merged':
                parts.expect_no_merged(merged)
            else:
                asked.append((step, parts.floor()))
            if asked and rng.random() < 0.5:
                shard, floor = asked.pop(rng.randrange(len(asked)))
                body = _route_plans.merge_parts(
                    [_body(*held[shard])], 3, floor
                )
                parts.add(shard, shard, body)
        receipts = parts.receipts()
        self.assertEqual(len(set(receipts)), len(receipts))
        bodies = [_body(*held[shard]) for shard in receipts]
        self.assertEqual(_route_plans.merge_parts(bodies, 3), parts.body())
