"""Claims within one bucket object."""

import unittest

from samphiredock import state

GRANTED = state.OpenStatus.GRANTED
_SINCE_MS = 1_700_000_000_000


def _open(token: str, content: str = 'body') -> state.Claim:
    return state.Claim(token, content, state.ClaimState.OPEN, _SINCE_MS)


class BucketTest(unittest.TestCase):
    """Opens and closes claims in a decoded bucket."""

    def setUp(self) -> None:
        """Make a bucket with one open claim."""
        self.bucket = state.Bucket()
        self.opened = self.bucket.open('key', _open('a/1/1'), None)

    def close(self, token: str, ended: state.ClaimState) -> bool:
        """Close the claim as the holder of ``token``."""
        return self.bucket.close(
            'key', state.Claim(token, 'body', ended, _SINCE_MS)
        )

    def test_an_open_claim_is_replaced_only_by_its_token(self) -> None:
        """Another daemon gets an open claim only by naming its token."""
        self.assertIs(GRANTED, self.opened.status)
        for replaces in (None, 'a/1/2'):
            decision = self.bucket.open('key', _open('b/1/1'), replaces)
            self.assertIs(state.OpenStatus.CLAIMED, decision.status)
            self.assertEqual('a/1/1', decision.claim.token)
        taken = self.bucket.open('key', _open('b/1/1'), 'a/1/1')
        self.assertIs(GRANTED, taken.status)
        self.assertFalse(self.close('a/1/1', state.ClaimState.DONE))
        self.assertIs(state.ClaimState.OPEN, self.bucket.claims['key'].state)

    def test_a_done_claim_stays_done(self) -> None:
        """No replacement or later close changes a completed claim."""
        self.close('a/1/1', state.ClaimState.DONE)
        self.close('a/1/1', state.ClaimState.NOT_RUN)
        decision = self.bucket.open('key', _open('b/1/1'), 'a/1/1')
        self.assertIs(state.OpenStatus.CLAIMED, decision.status)
        self.assertIs(state.ClaimState.DONE, decision.claim.state)

    def test_reopening_with_the_same_token_needs_no_write(self) -> None:
        """A write whose response was lost is recognised by its token."""
        copy = state.decode_bucket(self.bucket.encode())
        self.assertIs(GRANTED, copy.open('key', _open('a/1/1'), None).status)
        self.assertFalse(copy.changed)

    def test_closing_a_missing_claim_is_written(self) -> None:
        """The write changes the version, so that a delayed one fails."""
        empty = state.Bucket()
        ended = state.not_run_claim(_open('a/1/1'))
        self.assertTrue(empty.close('key', ended))
        self.assertTrue(empty.changed)
        again = empty.open('key', _open('b/1/1'), None)
        self.assertIs(GRANTED, again.status)

    def test_other_content_is_refused_even_after_not_run(self) -> None:
        """A key stays bound to one content, even if that was not run."""
        self.close('a/1/1', state.ClaimState.NOT_RUN)
        reused = self.bucket.open('key', _open('b/1/1', 'other'), None)
        self.assertIs(state.OpenStatus.KEY_REUSED, reused.status)

    def test_every_open_claim_has_space_for_its_outcome(self) -> None:
        """A bucket is full before its claims' outcomes could exceed it."""
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

    def test_a_dropped_result_is_marked(self) -> None:
        """The closed claim says that its result was too large to store."""
        large = {'receipt': 'x' * state.OUTCOME_LIMIT_BYTES}
        closed = state.done_claim(_open('a/1/1'), True, large)
        self.assertEqual((True, {}), (closed.result_dropped, closed.result))

    def test_claims_outlive_their_keys(self) -> None:
        """A claim is kept as long as any daemon may accept its key.

        The margin covers clocks that are half an hour off and the longest
        deadline, whatever retention is configured.
        """
        self.assertGreaterEqual(
            state.CLAIM_RETENTION_MS, state.KEY_RETENTION_LIMIT_MS + 3_600_000
        )
        self.bucket.expire(_SINCE_MS + state.CLAIM_RETENTION_MS)
        self.assertIn('key', self.bucket.claims)
        self.bucket.expire(_SINCE_MS + state.CLAIM_RETENTION_MS + 1)
        self.assertEqual({}, self.bucket.claims)

    def test_an_unreadable_bucket_is_not_decoded(self) -> None:
        """Neither garbage nor a later format decodes to an empty bucket."""
        for value in (b'', b'\xff', b'{"format":2,"claims":{}}'):
            self.assertIsNone(state.decode_bucket(value))

    def test_digests_of_different_requests_differ(self) -> None:
        """Service and key are delimited; the order of fields is ignored."""
        first = state.locate_claim('a', 'b\0c')
        second = state.locate_claim('a\0b', 'c')
        self.assertNotEqual(first.digest, second.digest)
        self.assertEqual(
            state.content_digest('x', {'a': '1', 'b': '2'}),
            state.content_digest('x', {'b': '2', 'a': '1'}),
        )
