"""One budget for the sub-queries that are sent beyond the needed ones."""

import typing

from samphiredock import protocol

_BURST_TOKENS = 20.0
_DEBT_TOKENS = 100.0


class RetryBudget:
    """A token bucket filled by needed sub-queries, drained by extra ones.

    Hedges and retries draw from the same bucket, so that a fault which
    causes both cannot multiply the load.  The last part of the bucket is
    kept for retries: without one a key range is lost, without a hedge an
    answer is only late.
    """

    def __init__(self, burst: float = _BURST_TOKENS) -> None:
        self._burst = burst
        self._reserve = burst / 4.0
        self._tokens = burst

    charged_refusals: frozenset[protocol.SubStatus] = frozenset()

    @property
    def tokens(self) -> float:
        """What is left."""
        return self._tokens

    def record_first_attempts(
        self, shards: typing.Sequence[str], share: float
    ) -> None:
        """Earn ``share`` of a token for each shard's first sub-query."""
        self.deposit(len(shards), share)

    def deposit(self, needed: int, share: float) -> None:
        """Earn ``share`` of a token for each needed sub-query sent."""
        self._tokens = min(self._burst, self._tokens + needed * share)

    def spend_hedge(self, shard: str = '') -> bool:
        """Take a token for a hedge, if more than the reserve is left."""
        if self._tokens - 1.0 < self._reserve:
            return False
        self._tokens -= 1.0
        return True

    def spend_retry(self, shard: str = '') -> bool:
        """Take a token for a retry, if there is one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def charge(self, shard: str = '') -> None:
        """Take a token that cannot be refused, down to a bounded debt.

        For the retries after a lost dispatcher or target: each happens at
        most once per attempt, and refusing them would lose coverage.
        """
        self._tokens = max(-_DEBT_TOKENS, self._tokens - 1.0)

    def refund(self, shard: str = '') -> None:
        """Give back the token of a hedge that no target began."""
        self._tokens = min(self._burst, self._tokens + 1.0)
