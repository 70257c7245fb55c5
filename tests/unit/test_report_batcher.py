"""What is reported of an order, and when."""

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


def _failed(number: int) -> protocol.EndedItem:
    return protocol.EndedItem(number, protocol.SubStatus.SHED, 1)


class GatheringTest(unittest.TestCase):
    """One order."""

    def test_all_parts_make_one_report(self) -> None:
        """The greatest records of all, greatest first."""
        gathering = _report_batcher.ReportBatcher(_order(3))
        self.assertIsNone(gathering.on_part(_part(1)))
        self.assertIsNone(gathering.on_part(_part(0)))
        report = gathering.on_part(_part(2))
        self.assertEqual([1, 0, 2], [row.number for row in report.merged])
        self.assertEqual(_part(2).body + _part(1).body, report.records)
        self.assertFalse(report.is_late)
        self.assertTrue(gathering.is_done())
        self.assertIsNone(gathering.on_gather_timeout())

    def test_what_is_late_travels_alone(self) -> None:
        """A merged part cannot be taken apart: later ones are not merged."""
        gathering = _report_batcher.ReportBatcher(_order(3))
        gathering.on_part(_part(0))
        report = gathering.on_gather_timeout()
        self.assertEqual([0], [row.number for row in report.merged])
        self.assertTrue(report.is_late)
        for number in (1, 2):
            report = gathering.on_part(_part(number))
            self.assertEqual([number], [row.number for row in report.merged])
        self.assertTrue(gathering.is_done())

    def test_late_records_below_the_merged_ones_are_left_out(self) -> None:
        """They cannot be in the answer, and each crosses sites alone."""
        gathering = _report_batcher.ReportBatcher(_order(5))
        for number in (1, 3):
            gathering.on_part(_part(number))
        self.assertEqual(2 * 16, len(gathering.on_gather_timeout().records))
        self.assertEqual(b'', gathering.on_part(_part(0)).records)
        self.assertEqual(_part(2).body, gathering.on_part(_part(2)).records)

    def test_a_failure_is_told_at_once(self) -> None:
        """The search asks another target meanwhile."""
        gathering = _report_batcher.ReportBatcher(_order(3))
        gathering.on_part(_part(0))
        report = gathering.on_failure(_failed(1))
        self.assertEqual((), report.merged)
        self.assertEqual([1], [row.number for row in report.ended])
        report = gathering.on_failure(_failed(2))
        self.assertEqual([0], [row.number for row in report.merged])
        self.assertTrue(gathering.is_done())

    def test_without_gathering_each_part_is_told_at_once(self) -> None:
        """Hedges and retries."""
        gathering = _report_batcher.ReportBatcher(_order(2, 0.0))
        self.assertEqual(1, len(gathering.on_part(_part(0)).merged))
        self.assertIsNone(gathering.on_gather_timeout())
        self.assertEqual(1, len(gathering.on_part(_part(1)).merged))

    def test_nothing_in_time_is_told_as_well(self) -> None:
        """Else the search would take a slow target for a dead daemon."""
        gathering = _report_batcher.ReportBatcher(_order(1))
        report = gathering.on_gather_timeout()
        self.assertEqual(((), ()), (report.merged, report.ended))
        self.assertTrue(report.is_late)
