"""An outcome holds records of a single snapshot only."""

import unittest

from samphiredock import coordination
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from standins import memory_searches
from standins import scatter_harness

Status = protocol.SubStatus


class OneSnapshotTest(unittest.TestCase):
    """The snapshot changes while a search runs."""

    def test_answer_at_another_snapshot_is_not_merged(self) -> None:
        """An answer at a newer snapshot must not be merged.

        It is rejected and counted, and the other replica is queried.
        """
        harness = scatter_harness.ScatterHarness()
        first = next(iter(harness.pending.values()))
        ahead = harness.good_answer(
            first, snapshot_id=2, records=[protocol.Record('new', 9.0, {})]
        )
        (again,) = harness.deliver(ahead)
        self.assertNotEqual(first.target, again.target)
        harness.deliver_rest()
        self.assertIsInstance(harness.outcome, protocol.Answered)
        self.assertEqual(1, harness.outcome.snapshot_id)
        self.assertNotIn(
            'new', [record.key for record in harness.outcome.records]
        )
        self.assertEqual(1, harness.scatter.tally.wrong_snapshot_answers)

    def test_gone_everywhere_restarts_whole_on_the_newer(self) -> None:
        """A search whose snapshot is gone restarts on the newer one.

        Three shards have answered when both replicas of the fourth no longer
        have the snapshot; all shards are queried again.
        """
        harness = scatter_harness.ScatterHarness()
        first, *others = harness.pending.values()
        harness.deliver(*[harness.good_answer(item) for item in others])
        (second,) = harness.deliver(
            harness.failed_answer(first, Status.SNAPSHOT_GONE)
        )
        harness.deliver(harness.failed_answer(second, Status.SNAPSHOT_GONE))
        self.assertIsNone(harness.outcome)
        harness.snapshot = memory_searches.make_snapshot(2, 6)
        again = harness.tick(10.0)
        self.assertEqual(6, len(again))
        self.assertEqual({2}, {item.snapshot_id for item in again})
        self.assertEqual(6, len({item.shard_id for item in again}))
        harness.deliver_rest()
        self.assertIsInstance(harness.outcome, protocol.Answered)
        self.assertEqual(2, harness.outcome.snapshot_id)

    def test_no_newer_snapshot_gives_the_old_answer_in_time(self) -> None:
        """Without a newer snapshot, the old answers are returned in time.

        The search waits for half of its time left, not until the deadline.
        """
        harness = scatter_harness.ScatterHarness()
        first, *others = harness.pending.values()
        harness.deliver(*[harness.good_answer(item) for item in others])
        (second,) = harness.deliver(
            harness.failed_answer(first, Status.SNAPSHOT_GONE)
        )
        harness.deliver(harness.failed_answer(second, Status.SNAPSHOT_GONE))
        harness.tick(79.0)
        self.assertIsNone(harness.outcome)
        harness.tick(2.0)
        self.assertIsInstance(harness.outcome, protocol.Partial)
        self.assertEqual(1, harness.outcome.snapshot_id)
        self.assertEqual(0.75, harness.outcome.coverage)

    def test_restarts_are_bounded(self) -> None:
        """Snapshots that vanish again and again must not loop a search."""
        harness = scatter_harness.ScatterHarness()
        sent = 0
        for _ in range(10):
            newer = harness.scatter.tally.search_restarts + 2
            harness.snapshot = memory_searches.make_snapshot(newer)
            items = list(harness.pending.values())
            sent += len(items)
            harness.deliver(
                *[
                    harness.failed_answer(item, Status.SNAPSHOT_GONE)
                    for item in items
                ]
            )
        self.assertEqual(2, harness.scatter.tally.search_restarts)
        self.assertLessEqual(sent, 3 * 4 * 2)
        self.assertIsInstance(harness.outcome, protocol.NotRun)
        self.assertIs(
            protocol.NotRunReason.NO_SNAPSHOT, harness.outcome.reason
        )

    def test_malformed_snapshot_leaves_the_older_in_force(self) -> None:
        """A malformed snapshot is counted, and the older one stays in force.

        A snapshot that names an unknown target is accepted once the
        configuration has the target.
        """
        counters = metrics.Metrics('test')
        self.addCleanup(counters.close)
        validator = coordination.SnapshotValidator(counters)
        configuration = memory_searches.make_configuration(
            memory_searches.make_search()
        )
        old = memory_searches.make_snapshot(1)
        self.assertIs(old, validator.current(old, configuration))
        shards = (
            memory_searches.make_snapshot(2)
            .indexes[memory_searches.INDEX]
            .shards
        )
        first, second, *rest = shards
        low = second.key_range.low
        broken = {
            'gap': [first, *rest],
            'overlap': [
                first,
                _changed(second, key_range=protocol.KeyRange(low - 1, low)),
                second,
                *rest,
            ],
            'none': [_changed(first, replicas=[]), second, *rest],
            'unknown': [_changed(first, replicas=['t99']), second, *rest],
        }
        for name, broken_shards in broken.items():
            index = {
                memory_searches.INDEX: state.IndexSnapshot(2, broken_shards)
            }
            offered = state.Snapshot(2, index)
            with self.subTest(name):
                self.assertIs(old, validator.current(offered, configuration))
        self.assertEqual(4, counters.total('snapshots_refused'))
        wider = memory_searches.make_configuration(
            memory_searches.make_search(), 100
        )
        self.assertIs(offered, validator.current(offered, wider))


def _changed(shard: state.Shard, **changes: object) -> state.Shard:
    values = {
        'shard_id': shard.shard_id,
        'key_range': shard.key_range,
        'replicas': shard.replicas,
    }
    return state.Shard(**{**values, **changes})
