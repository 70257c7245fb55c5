"""The checker of unrepeatable requests finds each violation."""

import unittest

from samphiredock import protocol
from tests import history_runs as history

_CALL = history.Called(1, 'a/1', 'key', 'body')
_ORDER = history.Ordered('a/1', 'key', 'body', 'a/1/1/1')
_RUN = history.Executed('key', 'a/1/1/1', 'r-1')
_NOT_RUN = history.Answered(
    1, protocol.NotRun(protocol.NotRunReason.OVERLOADED, '', 0)
)


def _completed(call: int, receipt: str) -> history.Answered:
    return history.Answered(
        call, protocol.Completed({'receipt': receipt}, True, False)
    )


class HistoryRunsTest(unittest.TestCase):
    """Good histories pass, bad ones do not."""

    def test_good_histories_pass(self) -> None:
        """A run with its answers, and a refusal without a run."""
        again = history.Called(2, 'b/1', 'key', 'body')
        good = [_CALL, _ORDER, _RUN, _completed(1, 'r-1'), again]
        self.assertEqual([], history.violations(good))
        self.assertEqual([], history.violations([*good, _completed(2, 'r-1')]))
        self.assertEqual([], history.violations([_CALL, _ORDER, _NOT_RUN]))

    def test_bad_histories_fail(self) -> None:
        """Each violation is found once, with its text."""
        second = history.Executed('key', 'b/1/1/1', 'r-2')
        bad = {
            'executions': [_CALL, _ORDER, _RUN, second],
            'was answered': [_CALL, _ORDER, _NOT_RUN, _RUN],
            'no call was open': [_CALL, _NOT_RUN, _ORDER, _RUN],
            'got receipt r-2': [_CALL, _ORDER, _RUN, _completed(1, 'r-2')],
            'got receipt r-1': [_CALL, _completed(1, 'r-1')],
        }
        for text, events in bad.items():
            with self.subTest(text):
                found = history.violations(events)
                self.assertEqual(1, len(found), found)
                self.assertIn(text, found[0])
