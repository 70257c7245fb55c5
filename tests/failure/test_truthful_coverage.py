"""The coverage in an outcome is what the targets really searched."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from samphiredock import protocol
from samphiredock import state
from standins import memory_searches
from standins import scatter_harness

Status = protocol.SubStatus


class TruthfulCoverageTest(unittest.TestCase):
    """Targets search less than they were asked, or state more."""

    def test_a_gap_of_one_key_is_not_rounded_away(self) -> None:
        """A gap of one key in 2**32 must not be rounded to full coverage."""
        harness = scatter_harness.ScatterHarness()
        first, *others = harness.pending.values()
        harness.deliver(*[harness.good_answer(item) for item in others])
        whole = harness.good_answer(first).ranges[0]
        short = [protocol.KeyRange(whole.low, whole.high - 1)]
        (again,) = harness.deliver(harness.good_answer(first, ranges=short))
        harness.deliver(harness.good_answer(again, ranges=short))
        self.assertIsInstance(harness.outcome, protocol.Partial)
        self.assertLess(harness.outcome.coverage, 1.0)
        self.assertEqual(
            [protocol.KeyRange(whole.high - 1, whole.high)],
            harness.outcome.missing,
        )

    def test_a_wider_range_is_rejected(self) -> None:
        """A target's false range must not hide a shard that did not answer.

        One target states the whole key space; another shard has no target.
        """
        harness = scatter_harness.ScatterHarness()
        first, second, *others = harness.pending.values()
        harness.deliver(*[harness.good_answer(item) for item in others])
        everything = [protocol.KeyRange(0, state.KEY_SPACE_SIZE)]
        (again,) = harness.deliver(
            harness.good_answer(first, ranges=everything)
        )
        harness.deliver(harness.good_answer(again))
        (other,) = harness.deliver(
            harness.failed_answer(second, Status.BROKEN)
        )
        harness.deliver(harness.failed_answer(other, Status.BROKEN))
        self.assertIsInstance(harness.outcome, protocol.Partial)
        self.assertEqual(0.75, harness.outcome.coverage)
        self.assertEqual(1, harness.scatter.tally.bad_answers)

    def test_an_empty_answer_is_retried_elsewhere(self) -> None:
        """An answer of a target that has not loaded its shard is retried.

        It is well-formed, but has neither records nor ranges.
        """
        harness = scatter_harness.ScatterHarness()
        first, *others = harness.pending.values()
        harness.deliver(*[harness.good_answer(item) for item in others])
        (again,) = harness.deliver(
            harness.good_answer(first, ranges=[], records=[])
        )
        harness.deliver(harness.good_answer(again))
        self.assertIsInstance(harness.outcome, protocol.Answered)
        self.assertEqual(4, len(harness.outcome.records))

    def test_below_the_least_coverage_there_is_no_answer(self) -> None:
        """With a least coverage of 90 %, 75 % is no answer."""
        search = memory_searches.make_search(least_coverage=0.9)
        harness = scatter_harness.ScatterHarness(search=search)
        first, *others = harness.pending.values()
        harness.deliver(*[harness.good_answer(item) for item in others])
        harness.tick(200.0)
        self.assertIsInstance(harness.outcome, protocol.Unknown)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        strategies.integers(0, 2**32), strategies.sampled_from((0.0, 0.5))
    )
    def test_any_mix_of_faults(self, seed: int, least: float) -> None:
        """Coverage equals an independent count under random faults.

        Answers arrive in random order, twice, truncated, in parts, empty, at
        the wrong snapshot, too wide, broken or not at all.
        """
        rng = random.Random(seed)
        harness = scatter_harness.ScatterHarness(
            snapshot=memory_searches.make_snapshot(1, rng.randint(1, 7)),
            search=memory_searches.make_search(least_coverage=least),
            canary=rng.random() < 0.5,
        )
        searched: list[tuple[int, int]] = []
        while harness.outcome is None:
            if not harness.pending or rng.random() < 0.05:
                harness.tick(20.0)
                continue
            item = rng.choice(list(harness.pending.values()))
            answer, completed = _faulty(harness, item, rng)
            was_pending = harness.outcome is None
            harness.deliver(answer)
            if rng.random() < 0.3:
                harness.deliver(answer)
            if was_pending:
                searched += completed
        _check(self, harness.outcome, searched, least)


def _faulty(
    harness: scatter_harness.ScatterHarness,
    item: protocol.SubQuery,
    rng: random.Random,
) -> tuple[protocol.SubAnswer, list[tuple[int, int]]]:
    """Return a random answer, and the ranges that it searched completely."""
    good = harness.good_answer(item)
    low, high = good.ranges[0].low, good.ranges[0].high
    middle = rng.randint(low + 1, high - 1)
    half = rng.choice([(low, middle), (middle, high)])
    kind = rng.randrange(10)
    if kind == 0:
        return harness.good_answer(item, truncated=True), []
    if kind == 1:
        return harness.good_answer(item, ranges=[protocol.KeyRange(*half)]), [
            half
        ]
    if kind == 2:
        return harness.good_answer(item, snapshot_id=item.snapshot_id + 1), []
    if kind == 3:
        wide = [protocol.KeyRange(low, high + 1)]
        return harness.good_answer(item, ranges=wide), []
    if kind == 4:
        return harness.good_answer(item, ranges=[], records=[]), []
    if kind == 5:
        status = rng.choice(
            [status for status in Status if status.value != 'answered']
        )
        lost = status is Status.BROKEN and rng.random() < 0.5
        alone = item.attempt_id in harness.alone
        return (
            harness.failed_answer(
                item, status, target_lost=lost, ran_alone=alone
            ),
            [],
        )
    parts = [
        protocol.KeyRange(middle, high),
        protocol.KeyRange(low, min(high, middle + 1)),
    ]
    ranges = rng.choice([parts, good.ranges])
    return harness.good_answer(item, ranges=ranges), [(low, high)]


def _check(
    case: unittest.TestCase,
    outcome: protocol.SearchOutcome,
    searched: list[tuple[int, int]],
    least: float,
) -> None:
    """Compare an outcome with the coverage counted from ``searched``."""
    edges = sorted({0, state.KEY_SPACE_SIZE, *sum(searched, ())})
    gaps = [
        (low, high)
        for low, high in zip(edges, edges[1:])
        if not any(a <= low and high <= b for a, b in searched)
    ]
    missing = sum(high - low for low, high in gaps)
    covered = state.KEY_SPACE_SIZE - missing
    if isinstance(outcome, protocol.Answered):
        case.assertEqual((0, 1.0), (missing, outcome.coverage))
    elif isinstance(outcome, protocol.Partial):
        case.assertGreater(missing, 0)
        case.assertEqual(covered / state.KEY_SPACE_SIZE, outcome.coverage)
        case.assertEqual(
            missing, sum(gap.high - gap.low for gap in outcome.missing)
        )
        case.assertGreaterEqual(outcome.coverage, least)
    elif isinstance(outcome, protocol.NotRun):
        case.assertEqual([], searched)
    else:
        case.assertTrue(not searched or covered / 2**32 < least)
    if isinstance(outcome, protocol.Answered | protocol.Partial):
        case.assertEqual(1, outcome.snapshot_id)
        keys = [record.key for record in outcome.records]
        case.assertEqual(len(keys), len(set(keys)))
