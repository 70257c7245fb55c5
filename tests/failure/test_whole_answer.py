"""A caller gets all records of its own search, each of them once."""

import unittest

from samphiredock import protocol
from standins import memory_searches
from standins import search_desk

Status = protocol.SubStatus


class WholeAnswerTest(unittest.TestCase):
    """Answers arrive late, twice or under another attempt's id."""

    def test_duplicates_change_nothing(self) -> None:
        """A second answer to the same attempt is dropped and counted."""
        desk = search_desk.Desk()
        first, *others = desk.waiting.values()
        answer = desk.good(first)
        desk.give(answer)
        desk.give(answer, answer)
        desk.give(*[desk.good(item) for item in others])
        self.assertIsInstance(desk.outcome, protocol.Answered)
        keys = [record.key for record in desk.outcome.records]
        self.assertEqual(['k-s0', 'k-s1', 'k-s2', 'k-s3'], sorted(keys))
        self.assertEqual(2, desk.scatter.tally.late_answers)

    def test_record_of_two_replicas_is_given_once(self) -> None:
        """A record that two replicas return must not appear twice.

        The first replica's answer is truncated, so the other is queried.
        """
        desk = search_desk.Desk()
        first, *others = desk.waiting.values()
        desk.give(*[desk.good(item) for item in others])
        (again,) = desk.give(desk.good(first, truncated=True))
        desk.give(desk.good(again))
        self.assertIsInstance(desk.outcome, protocol.Answered)
        keys = [record.key for record in desk.outcome.records]
        self.assertEqual(['k-s0', 'k-s1', 'k-s2', 'k-s3'], sorted(keys))

    def test_late_answer_of_a_lost_dispatcher_is_dropped(self) -> None:
        """An answer of a dispatcher that was taken for lost is dropped.

        Its shards have been retried elsewhere by then.
        """
        desk = search_desk.Desk()
        first = next(iter(desk.waiting.values()))
        lost = desk.owner(first.target)
        held = [
            item
            for item in desk.waiting.values()
            if desk.owner(item.target) == lost
        ]
        again = desk.take(desk.scatter.on_member_lost(lost, 0.0))
        self.assertEqual(len(held), len(again))
        for item in held:
            del desk.waiting[item.attempt_id]
        late = [protocol.Record('late', 9.0, {})]
        desk.give(*[desk.good(item, records=late) for item in held])
        desk.give_rest()
        self.assertIsInstance(desk.outcome, protocol.Answered)
        self.assertNotIn(
            'late', [record.key for record in desk.outcome.records]
        )
        self.assertEqual(len(held), desk.scatter.tally.late_answers)

    def test_answer_of_another_target_is_dropped(self) -> None:
        """An answer of another target must not settle an attempt.

        The attempt stays pending until its own answer arrives.
        """
        desk = search_desk.Desk()
        first, second = list(desk.waiting.values())[:2]
        mismatched = protocol.SubAnswer(
            first.attempt_id, second.target, Status.ANSWERED, 1
        )
        desk.take(desk.scatter.on_answers([mismatched], 0.0))
        self.assertEqual(1, desk.scatter.tally.mismatched_answers)
        desk.give_rest()
        self.assertIsInstance(desk.outcome, protocol.Answered)

    def test_limit_over_all_shards_is_exact(self) -> None:
        """A limit of three returns the best three records of all shards."""
        desk = search_desk.Desk(search=memory_searches.make_search(limit=3))
        items = list(desk.waiting.values())
        for number, item in enumerate(items):
            records = [
                protocol.Record(f'{number}-{rank}', 10.0 * rank + number, {})
                for rank in (3, 2, 1)
            ]
            desk.give(desk.good(item, records=records))
        keys = [record.key for record in desk.outcome.records]
        self.assertEqual(['3-3', '2-3', '1-3'], keys)


class NotRunTest(unittest.TestCase):
    """The outcome is ``NotRun`` only if no target began the search."""

    def test_only_refusals_give_not_run(self) -> None:
        """A search that every replica sheds is ``NotRun`` with a retry time.

        Each replica is queried twice at most.
        """
        desk = search_desk.Desk()
        while desk.outcome is None:
            items = list(desk.waiting.values())
            shed = [
                desk.failed(item, Status.SHED, retry_after_ms=15)
                for item in items
            ]
            desk.give(*shed) if items else desk.tick(5.0)
        self.assertIsInstance(desk.outcome, protocol.NotRun)
        self.assertIs(protocol.NotRunReason.OVERLOADED, desk.outcome.reason)
        self.assertEqual(15, desk.outcome.retry_after_ms)
        self.assertEqual(4 * 2 * 2, len(desk.sent))

    def test_anything_that_may_have_begun_gives_unknown(self) -> None:
        """One attempt that a target may have begun rules out ``NotRun``.

        All other attempts are refused.
        """
        for status in (None, Status.BROKEN, Status.SILENT, Status.BAD_ANSWER):
            desk = search_desk.Desk()
            first = next(iter(desk.waiting.values()))
            if status is not None:
                desk.give(desk.failed(first, status))
            while desk.outcome is None:
                items = [
                    item for item in desk.waiting.values() if item is not first
                ]
                shed = [desk.failed(item, Status.SHED) for item in items]
                desk.give(*shed) if items else desk.tick(5.0)
            with self.subTest(status=status):
                self.assertIsInstance(desk.outcome, protocol.Unknown)

    def test_settled_search_is_answered_at_once(self) -> None:
        """A search without usable replicas must not wait for its deadline."""
        desk = search_desk.Desk()
        desk.unusable = {f't{number}' for number in range(8)}
        desk.begin()
        self.assertIsInstance(desk.outcome, protocol.NotRun)
        self.assertIs(protocol.NotRunReason.NO_TARGET, desk.outcome.reason)
