"""The charges of one search for attempts beyond the first of a shard."""

from samphiredock.coordination.search import _arrival
from samphiredock.coordination.search import _planner
from samphiredock.coordination.search import _scatter_round
from samphiredock.coordination.search import _scatter_types
from samphiredock import protocol

NEVER_ARRIVED = frozenset(
    {
        protocol.SubStatus.CANCELLED,
        protocol.SubStatus.UNREACHABLE,
        protocol.SubStatus.NO_IDLE_SLOT,
        protocol.SubStatus.NOT_ORDERED,
    }
)
"""Statuses of attempts that were not written to any target."""


class Charges:
    """Spends the budget for the extra attempts of one search.

    With a budget that counts arrivals, a shard has as many charges as
    attempts that have reached a target, or may have, less one.

    Parameters
    ----------
    plan
        Describes the search.
    budget
        The budget that all searches share.
    """

    def __init__(
        self, plan: _planner.Plan, budget: _scatter_types.Budget
    ) -> None:
        self._plan = plan
        self._budget = budget

    def record_first_attempts(self, shards: list[str], share: float) -> None:
        """Let the budget grow by the first attempts of the search."""
        self._budget.record_first_attempts(shards, share, self._plan.age_ms)

    def needs_charge(
        self, shard: _scatter_round.ShardState, rule_uses_budget: bool
    ) -> bool:
        """Return whether the next attempt for a shard needs a charge.

        ``rule_uses_budget`` is what the rule for the last result says.
        """
        if self._budget.counts_arrivals:
            return shard.arrived > 0
        return rule_uses_budget

    def can_retry(
        self, shard: _scatter_round.ShardState, now_ms: float
    ) -> bool:
        """Return whether another attempt for a shard would be allowed now."""
        if not self.needs_charge(shard, False):
            return True
        return self._budget.can_retry(
            self._extra(shard, shard.last_failure, now_ms)
        )

    def spend_hedge(
        self, shard: _scatter_round.ShardState, now_ms: float
    ) -> bool:
        """Charge a hedge of a shard; return whether the budget allows it."""
        charge = self._budget.spend_hedge(self._extra(shard, 'hedge', now_ms))
        return _add(shard, charge)

    def spend_retry(
        self, shard: _scatter_round.ShardState, now_ms: float
    ) -> bool:
        """Charge a retry of a shard; return whether the budget allows it."""
        charge = self._budget.spend_retry(
            self._extra(shard, shard.last_failure, now_ms)
        )
        return _add(shard, charge)

    def on_lost(self) -> None:
        """Charge the retry after the loss of a dispatcher or a target."""
        if not self._budget.counts_arrivals:
            self._budget.charge_unconditionally()

    def on_ended(
        self,
        attempt: _scatter_round.Attempt,
        status: protocol.SubStatus,
        now_ms: float,
    ) -> None:
        """Refund or settle charges after an attempt has ended."""
        shard = attempt.shard
        if not self._budget.counts_arrivals:
            if attempt.item.hedge and status in protocol.NEVER_STARTED:
                self._refund(shard)
            return
        if status in NEVER_ARRIVED:
            shard.arrived -= 1
            if len(shard.charges) > max(0, shard.arrived - 1):
                self._refund(shard)
        if not shard.outstanding and not shard.was_ordered:
            # Another daemon may go on with an order that is lost here.
            for charge in shard.charges:
                self._budget.settle(charge, now_ms)

    def _refund(self, shard: _scatter_round.ShardState) -> None:
        if shard.charges:
            self._budget.refund(shard.charges.pop())

    def _extra(
        self, shard: _scatter_round.ShardState, cause: str, now_ms: float
    ) -> _scatter_types.ExtraAttempt:
        plan = self._plan
        transit_ms = _arrival.longest_transit_ms(
            plan.deadline_at_ms - now_ms,
            shard.was_ordered or plan.uses_orders,
        )
        return _scatter_types.ExtraAttempt(
            shard.shard.shard_id,
            plan.fingerprint,
            cause,
            now_ms + transit_ms,
        )


def _add(
    shard: _scatter_round.ShardState, charge: _scatter_types.Charge | None
) -> bool:
    if charge is None:
        return False
    shard.charges.append(charge)
    return True
