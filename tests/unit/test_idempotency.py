"""Idempotency keys: their creation time and canonical form."""

import random
import unittest
import uuid

import hypothesis
from hypothesis import strategies

from samphiredock import protocol


class IdempotencyKeyTest(unittest.TestCase):
    """Only UUIDs of version 7 are keys, each in one canonical form."""

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.integers(0, 2**48 - 1), strategies.integers())
    def test_a_new_key_is_canonical_and_carries_its_time(
        self, wall_ms: int, seed: int
    ) -> None:
        key = protocol.new_idempotency_key(wall_ms, random.Random(seed))
        self.assertEqual(key, protocol.canonical_key(key))
        self.assertEqual(wall_ms, protocol.issue_time_ms(key))
        self.assertEqual(uuid.RFC_4122, uuid.UUID(key).variant)

    def test_other_texts_are_not_keys(self) -> None:
        for text in ('', 'payout-7', str(uuid.uuid4()), 'a' * 500, 'é'):
            self.assertIsNone(protocol.canonical_key(text), text)
