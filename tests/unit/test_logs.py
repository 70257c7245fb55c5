"""Tests that writing log lines never blocks the program."""

import json
import os
import unittest

import logbook

from samphiredock.coordination.forwarding import _request_log
from samphiredock import logs
from samphiredock import metrics
from samphiredock import timers


class BoundedStreamTest(unittest.TestCase):
    """A pipe whose reader is slow."""

    def setUp(self) -> None:
        """Open a pipe."""
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)

    def _drain(self) -> bytes:
        os.set_blocking(self.reader, False)
        found = b''
        while True:
            try:
                part = os.read(self.reader, 1 << 20)
            except BlockingIOError:
                return found
            if not part:
                return found
            found += part

    def test_slow_reader_loses_lines_but_does_not_block(self) -> None:
        """Lines left out are counted and reported when the reader goes on."""
        stream = logs.BoundedStream(self.writer, 10_000)
        self.addCleanup(os.close, self.writer)
        line = json.dumps({'event': 'x' * 90}) + '\n'
        for _ in range(5_000):
            stream.write(line)
        self.assertGreater(stream.dropped, 0)
        got = self._drain()
        stream.flush()
        stream.write(line)
        got += self._drain()
        rows = [json.loads(row) for row in got.splitlines()]
        counts = [row['count'] for row in rows if 'count' in row]
        self.assertEqual([stream.dropped], counts)
        written = len([row for row in rows if 'count' not in row])
        self.assertEqual(5_001, written + stream.dropped)

    def test_closed_reader_is_no_error(self) -> None:
        """The daemon continues without its log."""
        reader, writer = os.pipe()
        os.close(reader)
        self.addCleanup(os.close, writer)
        stream = logs.BoundedStream(writer)
        stream.write('a line\n')
        self.assertEqual(1, stream.dropped)


class RequestLogTest(unittest.TestCase):
    """Which requests leave which lines."""

    def setUp(self) -> None:
        """Make a log; its counter tells how many lines were left out."""
        self.clock = timers.ManualTimers()
        self.counters = metrics.Metrics('test')
        self.addCleanup(self.counters.close)
        self.log = _request_log.RequestLog(self.clock, self.counters)

    def _left_out(self) -> float:
        return self.counters.total('request_lines_left_out')

    def _end(self, is_ok: bool) -> None:
        trace = _request_log.RequestTrace(self.clock.now_ms())
        trace.add(self.clock.now_ms(), 'sent', target='t')
        self.log.end('id', trace, is_ok, outcome='x')

    def test_successes_do_not_crowd_out_failures(self) -> None:
        """Thousands succeed within a second, then one fails."""
        for _ in range(10_000):
            self._end(True)
        before = self._left_out()
        self.assertGreater(before, 9_000)
        self._end(False)
        self.assertEqual(before, self._left_out())

    def test_line_rate_is_bounded(self) -> None:
        """The limit holds even if every request fails."""
        for _ in range(10_000):
            self._end(False)
        written = 20_000 - self._left_out()
        self.assertLessEqual(written, _request_log.FAILURE_LINES_PER_S)

    def test_lines_are_written_in_small_batches(self) -> None:
        """Hundreds of lines at once would delay other requests.

        Each line has the time at which its decision was made.
        """
        began_ms = self.clock.wall_ms()
        with logbook.TestHandler() as seen:
            trace = _request_log.RequestTrace(self.clock.now_ms())
            for _ in range(100):
                self.clock.advance(1.0)
                trace.add(self.clock.now_ms(), 'sent', target='t')
            self.log.end('id', trace, False, outcome='x')
            self.assertEqual(0, len(seen.records))
            self.clock.advance(20.0)
            self.assertEqual(12, len(seen.records))
            self.log.write()
        self.assertEqual(101, len(seen.records))
        self.assertEqual(
            logs.time_text(began_ms + 5.0), seen.records[4].kwargs['time']
        )
