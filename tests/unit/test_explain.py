"""``samphiredock explain`` finds the cause of a request's end in logs."""

import json
import pathlib
import tempfile
import unittest

from click import testing

from samphiredock.cli import main


def _row(second: int, event: str, **fields: object) -> str:
    row = {'time': f'2026-12-02T10:00:{second:02}.000', 'event': event}
    return json.dumps({**row, 'level': 'info', 'part': 'requests', **fields})


def _end(second: int, outcome: str, **fields: object) -> str:
    common = {'took_ms': 50.0, 'aim_ms': 100.0, 'shards': 4, 'status': 200}
    return _row(
        second, 'request ended', outcome=outcome, **{**common, **fields}
    )


class ExplainTest(unittest.TestCase):
    """The command reads log files that the tests write."""

    def setUp(self) -> None:
        """Create a folder for the log file."""
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        self.path = pathlib.Path(holder.name) / 'log'

    def _explain(self, rows: list[str], *arguments: str) -> str:
        self.path.write_text('\n'.join(rows), encoding='utf-8')
        run = testing.CliRunner().invoke(
            main.main, ['explain', *(arguments or ('r1',)), str(self.path)]
        )
        self.output = run.output
        self.exit_code = run.exit_code
        return run.output.strip().splitlines()[-1]

    def test_a_daemon_that_has_not_reported_is_named(self) -> None:
        """A daemon that is late with a merge order is part of the cause."""
        late = _row(1, 'order late', request='r1', by='edge-b-1', at_ms=60.0)
        end = _end(
            2, 'gathered', request='r1', missing=1, unanswered=['s4']
        )  # fmt: skip
        self.assertIn(
            'nothing came in time from edge-b-1', self._explain([late, end])
        )

    def test_each_failure_has_its_cause(self) -> None:
        """The last line names the cause."""
        failed = _row(
            1, 'failed', request='r1', shard='s1', target='t1',
            status='broken', why='ConnectionResetError', at_ms=3.0,
        )  # fmt: skip
        for rows, words in (
            (
                [_end(2, 'refused', request='r1', reason='no-target')],
                ('refused', 'reached'),
            ),
            ([failed, _end(2, 'unknown', request='r1')], ('t1', 'broke off')),
            (
                [_end(2, 'timedout', request='r1', unanswered=['s2'])],
                ('s2', '50.0 ms'),
            ),
            (
                [_end(2, 'caller left', request='r1', unanswered=['s3'])],
                ('left', 's3'),
            ),
            (
                [
                    _end(
                        2, 'gathered', request='r1', missing=1,
                        unanswered=['s4'], hedges_denied=2,
                    )
                ],
                ('1 of 4', 's4', 'budget refused 2'),
            ),
            (
                [_end(2, 'passed', request='r1', took_ms=180.0)],
                ('late', '180.0 ms of 100.0 ms'),
            ),
            (
                [_end(2, 'passed', request='r1', status=500)],
                ('answered 500 itself',),
            ),
        ):  # fmt: skip
            with self.subTest(words):
                cause = self._explain(rows)
                self.assertEqual(0, self.exit_code, self.output)
                for word in words:
                    self.assertIn(word, cause)

    def test_the_coordinators_end_is_preferred(self) -> None:
        """The daemon that handed over the request logs just the passed 502."""
        rows = [
            f'12.1 entry-2 {_end(3, "passed", request="r1", status=502)}',
            f'12.0 entry-1 {_end(2, "unknown", request="r1", why="lost")}',
        ]
        cause = self._explain(rows)
        self.assertIn('may have run', cause)
        self.assertLess(
            self.output.index('entry-1'), self.output.index('entry-2')
        )

    def test_a_coordinator_without_an_answer_is_no_cause(self) -> None:
        """The coordinator's own end names the target that it waited for."""
        rows = [
            _end(2, 'timedout', request='r1', unanswered=['coordinators']),
            _end(2, 'timedout', request='r1', unanswered=['s7']),
        ]
        self.assertIn('no answer from s7', self._explain(rows))

    def test_other_requests_and_incomplete_lines_are_skipped(self) -> None:
        """A log may begin in the middle of a line, which is skipped."""
        rows = ['"event": "x"}', '{"event": ', _end(2, 'passed', request='r1')]
        self.assertIn('in time', self._explain(rows))
        self._explain(rows, 'r2')
        self.assertEqual(1, self.exit_code)
        self.assertIn('expected some', self.output)

    def test_json_for_programs(self) -> None:
        """``--json`` prints one value with the cause and the lines."""
        self._explain([_end(2, 'passed', request='r1')], '--json', 'r1')
        printed = json.loads(self.output)
        self.assertEqual('request ended', printed['lines'][0]['event'])

    def test_why_a_daemon_is_not_ready(self) -> None:
        """``--why-not-ready`` shows lines about readiness after a time."""
        rows = [
            _row(1, 'started'),
            _row(2, 'sent', request='r1'),
            _row(3, 'store lost', prefix='config/'),
            _row(4, 'readiness', ready=False, table=None),
        ]
        cause = self._explain(
            rows, '--why-not-ready', '--since', '2026-12-02T10:00:02'
        )
        self.assertIn('readiness', cause)
        self.assertNotIn('started', self.output)
        self.assertIn('store lost', self.output)

    def test_a_daemon_introduced_by_another_is_shown(self) -> None:
        """It hands requests over but is not ready without the store."""
        rows = [
            _row(1, 'started'),
            _row(2, 'store lost', kind='unavailable'),
            _row(3, 'introduced by another daemon', daemons=6),
        ]
        cause = self._explain(rows, '--why-not-ready')
        self.assertIn('introduced by another daemon', cause)
        self.assertIn('store lost', self.output)
