"""Each checker passes a good history and fails a bad one."""

import dataclasses
import unittest

from standins import data
from tests import history

_TERMS = {'kebele': 'bole'}


def _search(**outcome: object) -> history.Call:
    return history.Call(
        1, 'search', 'd1', 'h', _TERMS, '', 0.0, 5.0, 200, outcome
    )


def _run(
    outcome: str, key: str = 'k1', receipt: str = 'r1', at_ms: float = 0.0
) -> history.Call:
    body = {'type': outcome, 'result': {'receipt': receipt}}
    return history.Call(
        1, 'run', 'd1', 'pay', {}, key, at_ms, at_ms + 5.0, 200, body
    )


def _execution(key: str = 'k1', at_ms: float = 1.0) -> history.Execution:
    return history.Execution('t1', 'run', 'a1', key, at_ms)


def _rows(version: str = '3') -> list[dict]:
    return [
        {
            'key': row.record.key,
            'fields': {**row.record.fields, data.VERSION_FIELD: version},
        }
        for row in data.records('claims')
        if row.record.fields['kebele'] == 'bole'
    ]


def _complete_answer(**change: object) -> history.Call:
    outcome = {
        'type': 'answered',
        'snapshot_id': 3,
        'coverage': 1.0,
        'records': _rows(),
    }
    return _search(**{**outcome, **change})


def _rows_above(low: int) -> list[dict]:
    held = {
        row.record.key for row in data.records('claims') if row.place >= low
    }
    return [row for row in _rows() if row['key'] in held]


class CheckersTest(unittest.TestCase):
    """Hand-made good and bad histories."""

    def assert_tells_apart(
        self, good: history.Verdict, bad: history.Verdict
    ) -> None:
        """Assert that the good one passes, the bad one fails, both judged."""
        self.assertEqual((), good.violations)
        self.assertEqual(1, len(bad.violations), bad.violations)
        self.assertGreater(good.judged, 0)
        self.assertGreater(bad.judged, 0)

    def test_second_execution_is_detected(self) -> None:
        calls = [_run('completed'), _run('completed')]
        self.assert_tells_apart(
            history.check_at_most_once(calls, [_execution()]),
            history.check_at_most_once(calls, [_execution()] * 2),
        )

    def test_different_results_are_detected(self) -> None:
        calls = [_run('completed'), _run('completed', receipt='r2')]
        self.assert_tells_apart(
            history.check_at_most_once(calls[:1], [_execution()]),
            history.check_at_most_once(calls, [_execution()]),
        )

    def test_false_not_run_is_detected(self) -> None:
        self.assert_tells_apart(
            history.check_not_run(
                [_run('not-run'), _run('completed')], [_execution()]
            ),
            history.check_not_run(
                [_run('not-run'), _run('completed', at_ms=50.0)],
                [_execution(at_ms=9.0)],
            ),
        )

    def test_mixed_versions_are_detected(self) -> None:
        mixed = _rows()[:-1] + _rows('2')[-1:]
        self.assert_tells_apart(
            history.check_one_snapshot([_complete_answer()], {3: 3}),
            history.check_one_snapshot(
                [_complete_answer(records=mixed)], {3: 3}
            ),
        )

    def test_lost_and_doubled_records_are_detected(self) -> None:
        for rows in (_rows()[1:], _rows() + _rows()[:1]):
            self.assert_tells_apart(
                history.check_coverage([_complete_answer()], 'claims', 5_000),
                history.check_coverage(
                    [_complete_answer(records=rows)], 'claims', 5_000
                ),
            )

    def test_covered_ranges_need_all_records(self) -> None:
        """Incomplete records are allowed in missing ranges only."""
        half = {'type': 'partial', 'missing': [[0, 2**31]], 'coverage': 0.5}
        covered = _rows_above(2**31)
        foreign = {**covered[0], 'key': 'claims-999999'}
        good = [row for row in _rows() if row not in covered][:1] + covered
        for bad in (covered[1:], covered + covered[:1], [*covered, foreign]):
            self.assert_tells_apart(
                history.check_coverage(
                    [_complete_answer(**half, records=good)], 'claims', 5_000
                ),
                history.check_coverage(
                    [_complete_answer(**half, records=bad)], 'claims', 5_000
                ),
            )

    def test_overstated_coverage_is_detected(self) -> None:
        missing = [[0, 2**31]]
        rows = _rows_above(2**31)
        part = _complete_answer(type='partial', missing=missing, records=rows)
        true_part = dataclasses.replace(
            part, outcome={**part.outcome, 'coverage': 0.5}
        )
        self.assert_tells_apart(
            history.check_coverage([true_part], 'claims', 5_000),
            history.check_coverage([part], 'claims', 5_000),
        )

    def test_answer_of_another_caller_is_detected(self) -> None:
        mismatched = dataclasses.replace(
            _complete_answer(), terms={'kebele': 'yeka'}
        )
        self.assert_tells_apart(
            history.check_matching_records([_complete_answer()]),
            history.check_matching_records([mismatched]),
        )

    def test_reverted_and_late_revisions_are_detected(self) -> None:
        def sample(
            at_ms: float,
            revision: int,
            incarnation: int = 1,
            ready: bool = True,
        ) -> history.RevisionSample:
            return history.RevisionSample(
                'd1', incarnation, at_ms, revision, ready
            )

        def check(
            *samples: history.RevisionSample, excused: bool = False
        ) -> history.Verdict:
            accepted = [history.AcceptedChange(2, 100.0)]
            return history.check_revisions(
                samples, accepted, 5_000.0, lambda name, at: excused
            )

        good = check(sample(0, 1), sample(200, 2), sample(9_000, 2))
        self.assert_tells_apart(good, check(sample(0, 2), sample(1, 1)))
        self.assert_tells_apart(good, check(sample(9_000, 1)))
        again = check(sample(0, 2), sample(1, 1, 2, False), sample(2, 2, 2))
        self.assert_tells_apart(again, check(sample(0, 2), sample(1, 1, 2)))
        self.assertEqual((), check(sample(9_000, 1), excused=True).violations)

    def test_work_at_a_draining_target_is_detected(self) -> None:
        self.assert_tells_apart(
            history.check_draining_targets(
                [_execution()], {'t1': 0.0}, 5_000.0
            ),
            history.check_draining_targets(
                [_execution(at_ms=6_000.0)], {'t1': 0.0}, 5_000.0
            ),
        )

    def test_unanswered_request_is_detected(self) -> None:
        unanswered = dataclasses.replace(
            _complete_answer(), status=502, outcome=None
        )
        self.assert_tells_apart(
            history.check_all_answered([_complete_answer()]),
            history.check_all_answered([unanswered]),
        )
