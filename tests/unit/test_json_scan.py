"""Tests of where values end in text that may be malformed."""

import unittest

from samphiredock.transport import _json_scan


class ScanValueTest(unittest.TestCase):
    """The decoder tells its errors apart in messages only."""

    def test_values_end_before_other_text(self) -> None:
        """Separators and other values may follow."""
        for text, value in (
            (b'{"a":[1]}', b'{"a":[1]}'),
            (b'{"a":1} , {}', b'{"a":1} , {}'[:8]),
            (b'"a]"]', b'"a]"'),
            (b'1}', b'1'),
        ):
            with self.subTest(text):
                scan = _json_scan.scan_value(text)
                self.assertIsNotNone(scan.end)
                self.assertEqual(value.strip(), text[: scan.end].strip())

    def test_unfinished_values(self) -> None:
        """More text could complete them."""
        for text in (b'', b'{"a":', b'[1,', b'"abc', b'{"a":{"b":[]}'):
            with self.subTest(text):
                scan = _json_scan.scan_value(text)
                self.assertIsNone(scan.end)
                self.assertTrue(scan.is_unfinished)

    def test_malformed_values(self) -> None:
        """No text behind them makes them values."""
        deep = b'[' * 10_000
        for text in (b'[1}', b'NaN', b'{"a" 1', b'"a\nb', b'[,', deep):
            with self.subTest(text[:10]):
                scan = _json_scan.scan_value(text)
                self.assertIsNone(scan.end)
                self.assertFalse(scan.is_unfinished)
                self.assertLessEqual(scan.scanned, len(text))


class LeadingMembersTest(unittest.TestCase):
    """The members of an object, of which one may be malformed."""

    def test_members(self) -> None:
        """All values are returned undecoded."""
        self.assertEqual(
            {'a': b'{"b":1}', 'c': b'[1, 2]'},
            _json_scan.leading_members(b'{"a":{"b":1}, "c" : [1, 2]}'),
        )

    def test_malformed_member_takes_in_the_rest(self) -> None:
        """It is not known where it ends."""
        self.assertEqual(
            {'a': b'1', 'b': b'[1},"c":2}'},
            _json_scan.leading_members(b'{"a":1,"b":[1},"c":2}'),
        )

    def test_what_is_no_object_has_no_members(self) -> None:
        """Nothing is raised."""
        for text in (b'', b'[]', b'1', b'{', b'{}', b'{1:2}', b'"a":1'):
            with self.subTest(text):
                self.assertEqual({}, _json_scan.leading_members(text))
