"""The budget of hedges and retries."""

import dataclasses
import typing

_BURST_TOKENS = 20.0
_MAX_DEBT_TOKENS = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """The charge for one attempt; all tokens are alike."""


_TOKEN = Token()


class RetryBudget:
    """A token bucket that first attempts fill and hedges and retries drain.

    Hedges and retries share the bucket, so that a fault which causes both
    cannot multiply the load.  A quarter of the bucket is reserved for
    retries: without a retry a key range is missing from the answer, without
    a hedge the answer is only late.  One bucket serves all shards.

    Parameters
    ----------
    burst
        Capacity of the bucket, in tokens.
    """

    def __init__(self, burst: float = _BURST_TOKENS) -> None:
        self._burst = burst
        self._reserve = burst / 4.0
        self._tokens = burst

    counts_arrivals = False
    """The retry rules say which attempts are charged."""

    @property
    def tokens(self) -> float:
        """The tokens left; may be negative."""
        return self._tokens

    def record_first_attempts(
        self,
        shards: typing.Sequence[str],
        share: float,
        age_ms: float = 0.0,
    ) -> None:
        """Add ``share`` of a token for the first attempt at each shard."""
        self.deposit(len(shards), share)

    def deposit(self, first_attempts: int, share: float) -> None:
        """Add ``share`` of a token for each first attempt."""
        self._tokens = min(self._burst, self._tokens + first_attempts * share)

    def can_retry(self, extra: object = None) -> bool:
        """Return whether there is a token for a retry."""
        return self._tokens >= 1.0

    def spend_hedge(self, extra: object = None) -> Token | None:
        """Take a token for a hedge, if more than the reserve is left."""
        if self._tokens - 1.0 < self._reserve:
            return None
        self._tokens -= 1.0
        return _TOKEN

    def spend_retry(self, extra: object = None) -> Token | None:
        """Take a token for a retry, if there is one."""
        if not self.can_retry():
            return None
        self._tokens -= 1.0
        return _TOKEN

    def charge_unconditionally(self) -> None:
        """Take a token even if none is left, down to a bounded debt.

        For retries after the loss of a dispatcher or target: there is at
        most one for each attempt, and refusing it would lose coverage.
        """
        self._tokens = max(-_MAX_DEBT_TOKENS, self._tokens - 1.0)

    def settle(self, charge: Token, latest_arrival_ms: float) -> None:
        """Do nothing: tokens do not depend on when attempts arrive."""

    def refund(self, charge: Token) -> None:
        """Put back the token of a hedge that no target started."""
        self._tokens = min(self._burst, self._tokens + 1.0)
