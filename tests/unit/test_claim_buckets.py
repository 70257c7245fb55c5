"""Claims within one bucket object."""

import unittest

from samphiredock import state

GRANTED = state.OpenStatus.GRANTED
_SINCE_MS = 1_700_000_000_000


def _open(token: str, content: str = 'body') -> state.Claim:
    return state.Claim(token, content, state.ClaimState.OPEN, _SINCE_MS)


class BucketTest(unittest.TestCase):
    """Opening and closing claims in a working copy."""

    def setUp(self) -> None:
        """Make a bucket with one open claim."""
        self.bucket = state.Bucket()
        self.opened = self.bucket.open('key', _open('a/1/1'), None)

    def close(self, token: str, ended: state.ClaimState) -> bool:
        """Close the claim as one holder."""
        return self.bucket.close(
            'key', state.Claim(token, 'body', ended, _SINCE_MS)
        )

    def test_only_a_holder_that_gave_up_is_replaced(self) -> None:
        """The claim is met by others until its own token is named."""
        self.assertIs(GRANTED, self.opened.status)
        for replaces in (None, 'a/1/2'):
            met = self.bucket.open('key', _open('b/1/1'), replaces)
            self.assertIs(state.OpenStatus.CLAIMED, met.status)
            self.assertEqual('a/1/1', met.claim.token)
        taken = self.bucket.open('key', _open('b/1/1'), 'a/1/1')
        self.assertIs(GRANTED, taken.status)
        self.assertFalse(self.close('a/1/1', state.ClaimState.DONE))
        self.assertIs(state.ClaimState.OPEN, self.bucket.claims['key'].state)

    def test_done_stays_done(self) -> None:
        """Neither a replacement nor a late end changes a recorded run."""
        self.close('a/1/1', state.ClaimState.DONE)
        self.close('a/1/1', state.ClaimState.NOT_RUN)
        met = self.bucket.open('key', _open('b/1/1'), 'a/1/1')
        self.assertIs(state.OpenStatus.CLAIMED, met.status)
        self.assertIs(state.ClaimState.DONE, met.claim.state)

    def test_reopening_the_own_claim_needs_no_write(self) -> None:
        """A put whose answer was lost is recognised by its token."""
        copy = state.decode_bucket(self.bucket.encode())
        self.assertIs(GRANTED, copy.open('key', _open('a/1/1'), None).status)
        self.assertFalse(copy.changed)

    def test_end_of_a_missing_claim_is_written(self) -> None:
        """The write moves the version, so that a late put must fail."""
        empty = state.Bucket()
        ended = state.not_run_claim(_open('a/1/1'))
        self.assertTrue(empty.close('key', ended))
        self.assertTrue(empty.changed)
        again = empty.open('key', _open('b/1/1'), None)
        self.assertIs(GRANTED, again.status)

    def test_other_content_is_refused_even_after_not_run(self) -> None:
        """A key means one request."""
        self.close('a/1/1', state.ClaimState.NOT_RUN)
        reused = self.bucket.open('key', _open('b/1/1', 'other'), None)
        self.assertIs(state.OpenStatus.KEY_REUSED, reused.status)

    def test_every_granted_claim_has_room_for_its_outcome(self) -> None:
        """A bucket is full before its open claims could outgrow it."""
        bucket = state.Bucket()
        tokens = []
        while (
            bucket.open(f'key-{len(tokens)}', _open('a/1/1'), None).status
            is GRANTED
        ):
            tokens.append(f'key-{len(tokens)}')
        result = {'receipt': 'x' * (state.OUTCOME_LIMIT_BYTES - 200)}
        for digest in tokens:
            bucket.close(
                digest, state.done_claim(_open('a/1/1'), True, result)
            )
        self.assertGreater(len(tokens), 100)
        self.assertLess(len(bucket.encode()), 1_000_000)
        self.assertEqual(result, bucket.claims['key-0'].result)

    def test_too_large_result_is_dropped_and_said_so(self) -> None:
        """The outcome is kept, its result is not."""
        large = {'receipt': 'x' * state.OUTCOME_LIMIT_BYTES}
        closed = state.done_claim(_open('a/1/1'), True, large)
        self.assertEqual((True, {}), (closed.result_dropped, closed.result))

    def test_only_claims_past_the_margin_go(self) -> None:
        """Every key that may be accepted anywhere keeps its claim.

        The margin outlasts a clock that is half an hour wrong and the
        longest deadline; the setting of the retention does not matter.
        """
        self.assertGreaterEqual(
            state.CLAIM_RETENTION_MS, state.KEY_RETENTION_LIMIT_MS + 3_600_000
        )
        self.bucket.expire(_SINCE_MS + state.CLAIM_RETENTION_MS)
        self.assertIn('key', self.bucket.claims)
        self.bucket.expire(_SINCE_MS + state.CLAIM_RETENTION_MS + 1)
        self.assertEqual({}, self.bucket.claims)

    def test_unreadable_bucket_is_not_an_empty_one(self) -> None:
        """Neither garbage nor a later format passes for no claims."""
        for value in (b'', b'\xff', b'{"format":2,"claims":{}}'):
            self.assertIsNone(state.decode_bucket(value))

    def test_digests_tell_requests_apart(self) -> None:
        """Joining the parts in another way gives another digest."""
        first = state.locate_claim('a', 'b\0c')
        second = state.locate_claim('a\0b', 'c')
        self.assertNotEqual(first.digest, second.digest)
        self.assertEqual(
            state.content_digest('x', {'a': '1', 'b': '2'}),
            state.content_digest('x', {'b': '2', 'a': '1'}),
        )
