"""Encoding of merge orders and reports, and the checks of decoding."""

import unittest

import hypothesis
from hypothesis import strategies
import msgspec
from returns import result

from samphiredock import protocol


def _order(**changes: object) -> protocol.MergeOrder:
    order = protocol.MergeOrder(
        'id', 'GET', 'h', '/p', (('A', 'b'),), b'body', 100.0, 10.0, 5, b'',
        (protocol.OrderedItem(1, 's', 't'),),
    )  # fmt: skip
    return msgspec.structs.replace(order, **changes)


class MergeOrdersTest(unittest.TestCase):
    """Orders and reports, encoded and decoded."""

    def test_an_order_is_decoded_as_encoded(self) -> None:
        """The caller's request is unchanged by encoding and decoding."""
        order = _order()
        read = protocol.decode_order(
            protocol.encode_merge_message(order)
        ).unwrap()
        self.assertEqual(order, read)
        request = read.request()
        self.assertEqual(('id', 'GET', 'h', '/p'), (
            request.request_id, request.method, request.host, request.path,
        ))  # fmt: skip
        self.assertEqual((('A', 'b'),), request.headers)
        self.assertEqual(100.0, request.deadline_ms)

    def test_a_report_is_decoded_as_encoded(self) -> None:
        """Merged and ended items are unchanged as well."""
        report = protocol.MergeReport(
            (protocol.MergedItem(1, 'r', 12_000),),
            (protocol.EndedItem(2, protocol.SubStatus.SHED, 5, 'why'),),
            b'x' * 16,
            True,
        )
        read = protocol.decode_report(protocol.encode_merge_message(report))
        self.assertEqual(report, read.unwrap())

    def test_invalid_orders_are_refused(self) -> None:
        """Values out of range are refused with what was got and expected."""
        item = protocol.OrderedItem(1, 's', 't')
        many = tuple(
            protocol.OrderedItem(number, 's', 't') for number in range(4_097)
        )
        cases = {
            'expected 1 to 4096': _order(items=()),
            'got an order of 4097 items': _order(items=many),
            'two items of one number': _order(items=(item, item)),
            'got left_ms 0.0': _order(left_ms=0.0),
            'got left_ms nan': _order(left_ms=float('nan')),
            'top -1': _order(top=-1),
            'got left_ms inf': _order(left_ms=float('inf')),
            'got gather_ms nan': _order(gather_ms=float('nan')),
            'got gather_ms -1.0': _order(gather_ms=-1.0),
        }
        for words, order in cases.items():
            with self.subTest(words=words):
                read = protocol.decode_order(
                    protocol.encode_merge_message(order)
                )
                self.assertIn(words, read.failure())

    @hypothesis.given(strategies.binary(max_size=200))
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    def test_any_bytes_are_decoded_or_refused(self, body: bytes) -> None:
        """Malformed bytes give a failure value; no exception ends a task."""
        for read in (protocol.decode_order, protocol.decode_report):
            self.assertIsInstance(read(body), result.Result)

    @hypothesis.given(strategies.integers(0, 200), strategies.binary())
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    def test_a_truncated_order_is_refused(
        self, length: int, tail: bytes
    ) -> None:
        """A truncated order is not decoded as a different one."""
        whole = protocol.encode_merge_message(_order())
        cut = whole[: min(length, len(whole) - 1)]
        read = protocol.decode_order(cut)
        self.assertIsInstance(read, result.Failure)
        self.assertIsInstance(protocol.decode_order(cut + tail), result.Result)
