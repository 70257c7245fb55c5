"""A caller gets all records of its own search, each of them once."""

import unittest

from samphiredock import protocol
from standins import memory_searches
from standins import scatter_harness

Status = protocol.SubStatus


class WholeAnswerTest(unittest.TestCase):
    """Answers arrive late, twice or under another attempt's id."""

    def test_duplicates_change_nothing(self) -> None:
        """A second answer to the same attempt is dropped and counted."""
        harness = scatter_harness.ScatterHarness()
        first, *others = harness.pending.values()
        answer = harness.good_answer(first)
        harness.deliver(answer)
        harness.deliver(answer, answer)
        harness.deliver(*[harness.good_answer(item) for item in others])
        self.assertIsInstance(harness.outcome, protocol.Answered)
        keys = [record.key for record in harness.outcome.records]
        self.assertEqual(['k-s0', 'k-s1', 'k-s2', 'k-s3'], sorted(keys))
        self.assertEqual(2, harness.scatter.tally.late_answers)

    def test_record_of_two_replicas_is_given_once(self) -> None:
        """A record that two replicas return must not appear twice.

        The first replica's answer is truncated, so the other is queried.
        """
        harness = scatter_harness.ScatterHarness()
        first, *others = harness.pending.values()
        harness.deliver(*[harness.good_answer(item) for item in others])
        (again,) = harness.deliver(harness.good_answer(first, truncated=True))
        harness.deliver(harness.good_answer(again))
        self.assertIsInstance(harness.outcome, protocol.Answered)
        keys = [record.key for record in harness.outcome.records]
        self.assertEqual(['k-s0', 'k-s1', 'k-s2', 'k-s3'], sorted(keys))

    def test_late_answer_of_a_lost_dispatcher_is_dropped(self) -> None:
        """An answer of a dispatcher that was taken for lost is dropped.

        Its shards have been retried elsewhere by then.
        """
        harness = scatter_harness.ScatterHarness()
        first = next(iter(harness.pending.values()))
        lost = harness.owner(first.target)
        held = [
            item
            for item in harness.pending.values()
            if harness.owner(item.target) == lost
        ]
        again = harness.apply_effects(
            harness.scatter.on_member_lost(lost, 0.0)
        )
        self.assertEqual(len(held), len(again))
        for item in held:
            del harness.pending[item.attempt_id]
        late = [protocol.Record('late', 9.0, {})]
        harness.deliver(
            *[harness.good_answer(item, records=late) for item in held]
        )
        harness.deliver_rest()
        self.assertIsInstance(harness.outcome, protocol.Answered)
        self.assertNotIn(
            'late', [record.key for record in harness.outcome.records]
        )
        self.assertEqual(len(held), harness.scatter.tally.late_answers)

    def test_answer_of_another_target_is_dropped(self) -> None:
        """An answer of another target must not settle an attempt.

        The attempt stays pending until its own answer arrives.
        """
        harness = scatter_harness.ScatterHarness()
        first, second = list(harness.pending.values())[:2]
        mismatched = protocol.SubAnswer(
            first.attempt_id, second.target, Status.ANSWERED, 1
        )
        harness.apply_effects(harness.scatter.on_answers([mismatched], 0.0))
        self.assertEqual(1, harness.scatter.tally.mismatched_answers)
        harness.deliver_rest()
        self.assertIsInstance(harness.outcome, protocol.Answered)

    def test_limit_over_all_shards_is_exact(self) -> None:
        """A limit of three returns the best three records of all shards."""
        harness = scatter_harness.ScatterHarness(
            search=memory_searches.make_search(limit=3)
        )
        items = list(harness.pending.values())
        for number, item in enumerate(items):
            records = [
                protocol.Record(f'{number}-{rank}', 10.0 * rank + number, {})
                for rank in (3, 2, 1)
            ]
            harness.deliver(harness.good_answer(item, records=records))
        keys = [record.key for record in harness.outcome.records]
        self.assertEqual(['3-3', '2-3', '1-3'], keys)


class NotRunTest(unittest.TestCase):
    """The outcome is ``NotRun`` only if no target began the search."""

    def test_only_refusals_give_not_run(self) -> None:
        """A search that every replica sheds is ``NotRun`` with a retry time.

        Each replica is queried twice at most.
        """
        harness = scatter_harness.ScatterHarness()
        while harness.outcome is None:
            items = list(harness.pending.values())
            shed = [
                harness.failed_answer(item, Status.SHED, retry_after_ms=15)
                for item in items
            ]
            harness.deliver(*shed) if items else harness.tick(5.0)
        self.assertIsInstance(harness.outcome, protocol.NotRun)
        self.assertIs(protocol.NotRunReason.OVERLOADED, harness.outcome.reason)
        self.assertEqual(15, harness.outcome.retry_after_ms)
        self.assertEqual(4 * 2 * 2, len(harness.sent))

    def test_anything_that_may_have_begun_gives_unknown(self) -> None:
        """One attempt that a target may have begun rules out ``NotRun``.

        All other attempts are refused.
        """
        for status in (None, Status.BROKEN, Status.SILENT, Status.BAD_ANSWER):
            harness = scatter_harness.ScatterHarness()
            first = next(iter(harness.pending.values()))
            if status is not None:
                harness.deliver(harness.failed_answer(first, status))
            while harness.outcome is None:
                items = [
                    item
                    for item in harness.pending.values()
                    if item is not first
                ]
                shed = [
                    harness.failed_answer(item, Status.SHED) for item in items
                ]
                harness.deliver(*shed) if items else harness.tick(5.0)
            with self.subTest(status=status):
                self.assertIsInstance(harness.outcome, protocol.Unknown)

    def test_settled_search_is_answered_at_once(self) -> None:
        """A search without usable replicas must not wait for its deadline."""
        harness = scatter_harness.ScatterHarness()
        harness.unusable = {f't{number}' for number in range(8)}
        harness.start_search()
        self.assertIsInstance(harness.outcome, protocol.NotRun)
        self.assertIs(protocol.NotRunReason.NO_TARGET, harness.outcome.reason)
