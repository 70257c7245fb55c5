"""A caller gets the whole answer to their own request."""

import unittest

from samphiredock import protocol
from standins import memory_searches
from standins import search_desk

Status = protocol.SubStatus


class WholeAnswerTest(unittest.TestCase):
    """Answers come late, twice or crossed."""

    def test_duplicates_change_nothing(self) -> None:
        """One stolen radio is one record, however often it is reported.

        Each dispatcher's answer arrives twice, since a message was sent
        again; the second is dropped and counted.
        """
        desk = search_desk.Desk()
        first, *others = desk.waiting.values()
        answer = desk.good(first)
        desk.give(answer)
        desk.give(answer, answer)
        desk.give(*[desk.good(row) for row in others])
        self.assertIsInstance(desk.outcome, protocol.Answered)
        keys = [row.key for row in desk.outcome.records]
        self.assertEqual(['k-s0', 'k-s1', 'k-s2', 'k-s3'], sorted(keys))
        self.assertEqual(2, desk.scatter.tally.late_answers)

    def test_record_of_two_replicas_is_given_once(self) -> None:
        """One stolen radio is one record though two replicas found it.

        The first replica stopped early but had found it; its shard is
        asked again elsewhere, and that answer has it too.
        """
        desk = search_desk.Desk()
        first, *others = desk.waiting.values()
        desk.give(*[desk.good(row) for row in others])
        (again,) = desk.give(desk.good(first, truncated=True))
        desk.give(desk.good(again))
        self.assertIsInstance(desk.outcome, protocol.Answered)
        keys = [row.key for row in desk.outcome.records]
        self.assertEqual(['k-s0', 'k-s1', 'k-s2', 'k-s3'], sorted(keys))

    def test_late_answer_of_a_given_up_attempt_is_dropped(self) -> None:
        """The records come from the retry, not from the one given up on.

        The dispatcher is lost, the shard is asked elsewhere, and then the
        first dispatcher wakes and sends its answer after all.
        """
        desk = search_desk.Desk()
        first = next(iter(desk.waiting.values()))
        lost = desk.owner(first.target)
        held = [
            row
            for row in desk.waiting.values()
            if desk.owner(row.target) == lost
        ]
        again = desk.take(desk.scatter.on_member_lost(lost, 0.0))
        self.assertEqual(len(held), len(again))
        for row in held:
            del desk.waiting[row.attempt_id]
        late = [protocol.Record('late', 9.0, {})]
        desk.give(*[desk.good(row, records=late) for row in held])
        desk.give_rest()
        self.assertIsInstance(desk.outcome, protocol.Answered)
        self.assertNotIn('late', [row.key for row in desk.outcome.records])
        self.assertEqual(len(held), desk.scatter.tally.late_answers)

    def test_crossed_answers_are_dropped(self) -> None:
        """An answer under another attempt's id does not fill its shard.

        A target crosses two callers' answers; the id is known but belongs
        to another target, so the attempt stays open for its own answer.
        """
        desk = search_desk.Desk()
        first, second = list(desk.waiting.values())[:2]
        crossed = protocol.SubAnswer(
            first.attempt_id, second.target, Status.ANSWERED, 1
        )
        desk.take(desk.scatter.on_answers([crossed], 0.0))
        self.assertEqual(1, desk.scatter.tally.mismatched_answers)
        desk.give_rest()
        self.assertIsInstance(desk.outcome, protocol.Answered)

    def test_limit_over_all_shards_is_exact(self) -> None:
        """The best three of all shards are returned, not of the first."""
        desk = search_desk.Desk(search=memory_searches.make_search(limit=3))
        rows = list(desk.waiting.values())
        for number, row in enumerate(rows):
            records = [
                protocol.Record(f'{number}-{rank}', 10.0 * rank + number, {})
                for rank in (3, 2, 1)
            ]
            desk.give(desk.good(row, records=records))
        keys = [row.key for row in desk.outcome.records]
        self.assertEqual(['3-3', '2-3', '1-3'], keys)


class NotRunTest(unittest.TestCase):
    """A search that says "not run" was begun by no target."""

    def test_only_refusals_give_not_run(self) -> None:
        """Each replica sheds; the caller is told when to come back.

        Every attempt ended before a target began, so "not run" is true;
        each replica was asked twice at most.
        """
        desk = search_desk.Desk()
        while desk.outcome is None:
            rows = list(desk.waiting.values())
            shed = [
                desk.failed(row, Status.SHED, retry_after_ms=15)
                for row in rows
            ]
            desk.give(*shed) if rows else desk.tick(5.0)
        self.assertIsInstance(desk.outcome, protocol.NotRun)
        self.assertIs(protocol.NotRunReason.OVERLOADED, desk.outcome.reason)
        self.assertEqual(15, desk.outcome.retry_after_ms)
        self.assertEqual(4 * 2 * 2, len(desk.sent))

    def test_anything_that_may_have_begun_gives_unknown(self) -> None:
        """One attempt without an end, or broken, forbids "not run".

        All others are refused.  The open one's dispatcher is frozen with
        the batch and may yet run it.
        """
        for status in (None, Status.BROKEN, Status.SILENT, Status.BAD_ANSWER):
            desk = search_desk.Desk()
            first = next(iter(desk.waiting.values()))
            if status is not None:
                desk.give(desk.failed(first, status))
            while desk.outcome is None:
                rows = [r for r in desk.waiting.values() if r is not first]
                shed = [desk.failed(row, Status.SHED) for row in rows]
                desk.give(*shed) if rows else desk.tick(5.0)
            with self.subTest(status=status):
                self.assertIsInstance(desk.outcome, protocol.Unknown)

    def test_settled_search_is_answered_at_once(self) -> None:
        """A search with nothing left to try does not wait for its deadline.

        No replica of any shard is usable.
        """
        desk = search_desk.Desk()
        desk.unusable = {f't{number}' for number in range(8)}
        desk.begin()
        self.assertIsInstance(desk.outcome, protocol.NotRun)
        self.assertIs(protocol.NotRunReason.NO_TARGET, desk.outcome.reason)
