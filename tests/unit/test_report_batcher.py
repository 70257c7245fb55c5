"""Tests of when the results of a merge order are reported."""

import unittest

from samphiredock.coordination.forwarding import _report_batcher
from samphiredock import protocol


def _order(count: int, gather_ms: float = 30.0) -> protocol.MergeOrder:
    items = tuple(
        protocol.OrderedItem(number, f's{number}', f't{number}')
        for number in range(count)
    )
    return protocol.MergeOrder(
        'id', 'GET', 'h', '/', (), b'', 100.0, gather_ms, 2, b'', items
    )


def _part(number: int) -> _report_batcher.Part:
    body = f'{number:>16}'.encode()
    return _report_batcher.Part(number, f'r{number}', 5.0, body)


def _two_records(number: int) -> _report_batcher.Part:
    """Return a part that is a whole answer, greater than smaller numbers."""
    body = _part(number).body * 2
    return _report_batcher.Part(number, f'r{number}', 5.0, body)


def _failed(number: int) -> protocol.EndedItem:
    return protocol.EndedItem(number, protocol.SubStatus.SHED, 1)


class ReportBatcherTest(unittest.TestCase):
    """A single order."""

    def test_all_parts_make_one_report(self) -> None:
        """It has the greatest records of all parts, greatest first."""
        batcher = _report_batcher.ReportBatcher(_order(3))
        self.assertIsNone(batcher.on_part(_part(1)))
        self.assertIsNone(batcher.on_part(_part(0)))
        report = batcher.on_part(_part(2))
        self.assertEqual([1, 0, 2], [row.number for row in report.merged])
        self.assertEqual(_part(2).body + _part(1).body, report.records)
        self.assertFalse(report.is_late)
        self.assertTrue(batcher.is_done())
        self.assertIsNone(batcher.on_gather_timeout())

    def test_late_parts_are_reported_one_by_one(self) -> None:
        """Later parts are not merged, since they could not be separated."""
        batcher = _report_batcher.ReportBatcher(_order(3))
        batcher.on_part(_part(0))
        report = batcher.on_gather_timeout()
        self.assertEqual([0], [row.number for row in report.merged])
        self.assertTrue(report.is_late)
        for number in (1, 2):
            report = batcher.on_part(_part(number))
            self.assertEqual([number], [row.number for row in report.merged])
        self.assertTrue(batcher.is_done())

    def test_late_records_below_the_floor_are_left_out(self) -> None:
        """They cannot be in the answer and would cross sites for nothing."""
        batcher = _report_batcher.ReportBatcher(_order(5))
        for number in (1, 3):
            batcher.on_part(_part(number))
        self.assertEqual(2 * 16, len(batcher.on_gather_timeout().records))
        self.assertEqual(b'', batcher.on_part(_part(0)).records)
        self.assertEqual(_part(2).body, batcher.on_part(_part(2)).records)

    def test_a_part_reported_alone_cuts_no_others(self) -> None:
        """The coordinator may discard it in favour of a hedge's part.

        Its records would then be missing from the answer, and so would the
        smaller ones that were cut because of them.
        """
        for gather_ms, has_merged_part in ((0.0, False), (30.0, True)):
            batcher = _report_batcher.ReportBatcher(_order(4, gather_ms))
            if has_merged_part:
                batcher.on_part(_part(0))
            batcher.on_gather_timeout()
            with self.subTest(gather_ms=gather_ms):
                alone = batcher.on_part(_two_records(3))
                self.assertEqual(2 * 16, len(alone.records))
                later = batcher.on_part(_part(1))
                self.assertEqual(_part(1).body, later.records)

    def test_the_first_part_after_an_empty_gathering_cuts_no_others(
        self,
    ) -> None:
        """The coordinator has stopped waiting for a merged part by then."""
        batcher = _report_batcher.ReportBatcher(_order(3))
        batcher.on_gather_timeout()
        self.assertEqual(2 * 16, len(batcher.on_part(_two_records(2)).records))
        self.assertEqual(_part(1).body, batcher.on_part(_part(1)).records)

    def test_failure_is_reported_at_once(self) -> None:
        """The coordinator can ask another target meanwhile."""
        batcher = _report_batcher.ReportBatcher(_order(3))
        batcher.on_part(_part(0))
        report = batcher.on_failure(_failed(1))
        self.assertEqual((), report.merged)
        self.assertEqual([1], [row.number for row in report.ended])
        report = batcher.on_failure(_failed(2))
        self.assertEqual([0], [row.number for row in report.merged])
        self.assertTrue(batcher.is_done())

    def test_without_gathering_parts_are_reported_at_once(self) -> None:
        """Orders for hedges and retries do not gather."""
        batcher = _report_batcher.ReportBatcher(_order(2, 0.0))
        self.assertEqual(1, len(batcher.on_part(_part(0)).merged))
        self.assertIsNone(batcher.on_gather_timeout())
        self.assertEqual(1, len(batcher.on_part(_part(1)).merged))

    def test_gather_timeout_without_parts_is_reported(self) -> None:
        """Otherwise a slow target would look like a dead daemon."""
        batcher = _report_batcher.ReportBatcher(_order(1))
        report = batcher.on_gather_timeout()
        self.assertEqual(((), ()), (report.merged, report.ended))
        self.assertTrue(report.is_late)
