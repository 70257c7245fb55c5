"""When a search hedges its overdue attempts, and which of them."""

import math
import typing

from samphiredock.coordination.search import _hedging
from samphiredock.coordination.search import _planner
from samphiredock.coordination.search import _scatter_attempts
from samphiredock.coordination.search import _scatter_charges
from samphiredock.coordination.search import _scatter_round
from samphiredock.coordination.search import _scatter_types
from samphiredock import state

INITIAL_DELAY_SHARE = 0.25
"""The hedge delay while no latencies are known, as a share of the deadline.
Without a hedge, the first searches of a fresh daemon would wait until their
deadline for a dispatcher whose death is not noticed yet."""

MAX_HEDGE_REFUSALS = 4
HEDGE_REFUSAL_PAUSE_MS = 8.0
"""How often the hedge of a shard may be refused because no slot is idle, and
the pause after each refusal; a slot becomes idle within tens of ms."""

HEDGE_BATCH_SHARE = 0.2
MIN_HEDGE_BATCH = 2
HEDGE_BATCH_INTERVAL_SHARE = 0.25
"""Shards that are overdue at the same time are hedged in batches: at most
this share of all shards, and the next batch after a share of the hedge delay.
Many are overdue at once mostly because this daemon or every target is busy;
hedging them all would double the load, and most are answered before their
batch.  After a loss of all daemons, each first search on cold connections
hedged all of its 20 shards, when there was most work.  If a whole site is
silent, all its shards are hedged in two delays."""

CandidatesOf = typing.Callable[[_scatter_round.ShardState], list[str]]


class Hedges:
    """Decides when to hedge; one timer serves all hedges of a search.

    Parameters
    ----------
    context
        Provides latencies and the owners of targets.
    charges
        Spends the budget.
    index, limits
        The hedge delay is the limits' quantile of the index's latency, or
        the fixed delay if the limits set one.
    tally
        Counts the hedges that are sent and denied.
    initial_ms
        The hedge delay while the latency of the index is not known.
    """

    def __init__(
        self,
        context: _scatter_types.ScatterContext,
        charges: _scatter_charges.Charges,
        index: str,
        limits: state.Limits,
        tally: _scatter_types.Tally,
        initial_ms: float,
    ) -> None:
        self._context = context
        self._charges = charges
        self._index = index
        self._quantile = limits.hedge_quantile
        self._fixed_ms = limits.hedge_after_ms
        self._tally = tally
        self._initial_delay_ms = initial_ms
        self.due_ms = math.inf

    def _delay_ms(self) -> float | None:
        latencies = self._context.latencies
        if not self._fixed_ms:
            return latencies.hedge_delay_ms(
                self._index, self._quantile, self._initial_delay_ms
            )
        # Under overload, hedges after a fixed delay are suspended too.
        overloaded = latencies.is_overloaded(self._index)
        return None if overloaded else self._fixed_ms

    def gather_ms(self) -> float:
        """Return for how many ms a daemon gathers the results of an order."""
        return _hedging.gather_ms(self._delay_ms() or self._initial_delay_ms)

    def arm(self, now_ms: float) -> None:
        """Start the timer for attempts that are sent now, unless it runs."""
        if self.due_ms < math.inf:
            return
        delay_ms = self._delay_ms()
        self.due_ms = math.inf if delay_ms is None else now_ms + delay_ms

    def on_refused(
        self, shard: _scatter_round.ShardState, now_ms: float
    ) -> None:
        """Allow another hedge after a pause, because one found no idle slot.

        A straggler takes several service times, so a slot of the other
        replica is likely to become idle before it ends.
        """
        shard.hedge_refusals += 1
        if shard.hedge_refusals >= MAX_HEDGE_REFUSALS:
            return
        shard.hedged = False
        shard.next_hedge_ms = now_ms + HEDGE_REFUSAL_PAUSE_MS
        self.due_ms = min(self.due_ms, shard.next_hedge_ms)

    def stop(self) -> None:
        """Send no more hedges until the timer is armed again."""
        self.due_ms = math.inf

    def take_due(
        self,
        attempts: _scatter_attempts.Attempts,
        candidates_of: CandidatesOf,
        now_ms: float,
    ) -> list[tuple[_scatter_round.ShardState, list[str]]]:
        """Return the shards to hedge now, each with its candidate replicas.

        Replicas behind another dispatcher are preferred, because the delay
        may be the dispatcher's and not the target's.
        """
        self.due_ms = math.inf
        delay_ms = self._delay_ms()
        if delay_ms is None:
            return []
        late, self.due_ms = attempts.overdue(delay_ms, now_ms)
        batch_size = self._batch_size()
        if len(late) > batch_size:
            late = late[:batch_size]
            self.due_ms = now_ms + delay_ms * HEDGE_BATCH_INTERVAL_SHARE
        chosen = []
        for attempt in late:
            candidates = candidates_of(attempt.shard)
            if candidates and self._spend_hedge(attempt.shard, now_ms):
                elsewhere = [
                    name
                    for name in candidates
                    if self._context.targets.owner(name) != attempt.dispatcher
                ]
                chosen.append((attempt.shard, elsewhere or candidates))
        return chosen

    def take_silent(
        self,
        attempts: typing.Iterable[_scatter_round.Attempt],
        candidates_of: CandidatesOf,
        now_ms: float,
    ) -> list[tuple[_scatter_round.ShardState, list[str]]]:
        """Return the shards of a silent daemon's attempts to hedge now.

        Each comes with its candidate replicas.
        """
        chosen = []
        for attempt in attempts:
            shard = attempt.shard
            attempt.is_ordered = False
            if shard.hedged or shard.outstanding != 1:
                continue
            candidates = candidates_of(shard)
            if candidates and self._spend_hedge(shard, now_ms):
                chosen.append((shard, candidates))
        return chosen

    def _batch_size(self) -> int:
        """Return how many shards may be hedged at the same time."""
        shards = self._tally.sub_queries_needed
        return max(MIN_HEDGE_BATCH, math.ceil(shards * HEDGE_BATCH_SHARE))

    def _spend_hedge(
        self, shard: _scatter_round.ShardState, now_ms: float
    ) -> bool:
        shard.hedged = True
        if self._charges.spend_hedge(shard, now_ms):
            self._tally.hedges_sent += 1
            return True
        self._tally.hedges_denied += 1
        return False


def initial_delay_ms(plan: _planner.Plan) -> float:
    """Return the hedge delay of a search while no latencies are known."""
    if plan.initial_hedge_delay_ms is not None:
        return plan.initial_hedge_delay_ms
    return plan.search.deadline_ms * INITIAL_DELAY_SHARE
