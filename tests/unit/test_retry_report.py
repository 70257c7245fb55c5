"""Tests of the report about extra requests."""

import unittest

import logbook

from samphiredock import coordination
from samphiredock.coordination import forwarding
from samphiredock.coordination.forwarding import _retry_report
from samphiredock import metrics
from samphiredock import timers


class RetryReportTest(unittest.TestCase):
    """What an operator sees of one interval."""

    def setUp(self) -> None:
        """Record the log."""
        self.clock = timers.ManualTimers()
        self.counters = metrics.Metrics('test')
        self.report = forwarding.RetryReport(self.clock, self.counters)
        self.handler = logbook.TestHandler()
        self.handler.push_application()
        self.addCleanup(self.handler.pop_application)

    def _extra(
        self, service: str, request: str, cause: str
    ) -> coordination.ExtraAttempt:
        return coordination.ExtraAttempt(service, request, cause, 0.0)

    def test_line_names_causes_requests_and_allowance(self) -> None:
        """Each extra request leads to the caller's request that it repeats."""
        self.report.on_requests(['p', 'q', 'p'])
        self.report.on_extra(self._extra('p', 'r1', 'hedge'))
        self.report.on_extra(self._extra('p', 'r2', 'broken'))
        self.report.on_denied(self._extra('p', 'r3', 'shed'))
        self.clock.advance(5_000.0)
        self.report.write(_retry_report.Allowance(0.125, 8))
        (record,) = self.handler.records
        self.assertEqual('extra requests', record.message)
        self.assertEqual(
            {
                'for_ms': 5_000,
                'share': 0.125,
                'sharers': 8,
                'services': {
                    'p': {
                        'requests': 2,
                        'hedge': 1,
                        'broken': 1,
                        'denied': 1,
                        'ids': ['r1', 'r2'],
                    }
                },
                'services_more': 0,
            },
            dict(record.kwargs),
        )
        self.assertEqual(2, self.counters.total('extra_requests'))
        self.assertEqual(1, self.counters.total('extra_requests_denied'))

    def test_interval_without_extra_requests_has_no_line(self) -> None:
        """Nor are the requests of one interval counted in the next."""
        self.report.on_requests(['p'])
        self.report.write(_retry_report.Allowance(0.0, None))
        self.assertEqual([], self.handler.records)
        self.report.on_extra(self._extra('p', 'r1', 'hedge'))
        self.report.write(_retry_report.Allowance(0.0, None))
        (record,) = self.handler.records
        self.assertEqual(0, record.kwargs['services']['p']['requests'])


if __name__ == '__main__':
    unittest.main()
