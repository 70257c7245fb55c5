"""Which late attempts of a search get a hedge."""

import math
import typing

from samphiredock.coordination.search import _hedging
from samphiredock.coordination.search import _planner
from samphiredock.coordination.search import _scatter_attempts
from samphiredock.coordination.search import _scatter_round
from samphiredock.coordination.search import _scatter_types
from samphiredock import state

INITIAL_DELAY_SHARE = 0.25
"""Part of the deadline after which a coordinator hedges that knows no
latencies yet.  A message to a dispatcher that died unnoticed is never
answered; without any hedge the first searches of a fresh daemon would wait
for it until their deadline, and a lost canary would leave them empty."""

MAX_HEDGE_REFUSALS = 4
HEDGE_REFUSAL_PAUSE_MS = 8.0
"""A slot is soon free again where service times are tens of ms."""

HEDGE_BATCH_SHARE = 0.2
MIN_HEDGE_BATCH = 2
HEDGE_BATCH_INTERVAL_SHARE = 0.25
"""When many shards of a search are late together, few of them are hedged at
a time: this share of all shards, and the next ones a part of the delay later.
What makes them late together is mostly this daemon, or a load that every
target has: after a loss of all daemons their connections are cold, each first
search hedged all of its 20 shards, and that doubled the work when there was
most.  The others come meanwhile by themselves.  Where a whole site is silent,
all of its shards are hedged within 1.75 delays.  Worth +0.0070 +- 0.0050 of
a day's benefit over 10 pairs of played days of 7 daemons and 20 shards."""

CandidatesOf = typing.Callable[[_scatter_round.ShardState], list[str]]


class Hedges:
    """One timer for all hedges of a search.

    Parameters
    ----------
    context
        Latencies, the budget and the owners of targets.
    index, limits
        An attempt later than the limits' quantile of the index's latency is
        late, or, if they set one, later than a fixed delay.
    first_ms
        The delay while the latency of the index is not known.
    tally
        Where hedges sent and denied are counted.
    """

    def __init__(
        self,
        context: _scatter_types.ScatterContext,
        index: str,
        limits: state.Limits,
        tally: _scatter_types.Tally,
        first_ms: float,
    ) -> None:
        self._context = context
        self._index = index
        self._quantile = limits.hedge_quantile
        self._fixed_ms = limits.hedge_after_ms
        self._tally = tally
        self._initial_delay_ms = first_ms
        self.due_ms = math.inf

    def _delay_ms(self) -> float | None:
        latencies = self._context.latencies
        if not self._fixed_ms:
            return latencies.hedge_delay_ms(
                self._index, self._quantile, self._initial_delay_ms
            )
        # A fixed delay adds to a queue as any other.
        overloaded = latencies.is_overloaded(self._index)
        return None if overloaded else self._fixed_ms

    def gather_ms(self) -> float:
        """Return for how long the parts of an order are to be gathered."""
        return _hedging.gather_ms(self._delay_ms() or self._initial_delay_ms)

    def arm(self, now_ms: float) -> None:
        """Attempts are sent now; an earlier timer covers them too."""
        if self.due_ms < math.inf:
            return
        delay_ms = self._delay_ms()
        self.due_ms = math.inf if delay_ms is None else now_ms + delay_ms

    def on_refused(
        self, shard: _scatter_round.ShardState, now_ms: float
    ) -> None:
        """A hedge found no idle slot: it may go again after a pause.

        Stragglers last for several service times, so that a slot of the
        other replica is likely to be idle before they end; without a second
        try one unlucky moment leaves the search to its straggler.
        """
        shard.hedge_refusals += 1
        if shard.hedge_refusals >= MAX_HEDGE_REFUSALS:
            return
        shard.hedged = False
        shard.next_hedge_ms = now_ms + HEDGE_REFUSAL_PAUSE_MS
        self.due_ms = min(self.due_ms, shard.next_hedge_ms)

    def stop(self) -> None:
        """Send no more."""
        self.due_ms = math.inf

    def take_due(
        self,
        attempts: _scatter_attempts.Attempts,
        open_to: CandidatesOf,
        now_ms: float,
    ) -> list[tuple[_scatter_round.ShardState, list[str]]]:
        """Return the shards to hedge now, each with its candidates.

        A replica at another dispatcher comes first, since the lateness may
        be the dispatcher's and not the target's.
        """
        self.due_ms = math.inf
        delay_ms = self._delay_ms()
        if delay_ms is None:
            return []
        late, self.due_ms = attempts.overdue(delay_ms, now_ms)
        at_once = self._batch_size()
        if len(late) > at_once:
            late = late[:at_once]
            self.due_ms = now_ms + delay_ms * HEDGE_BATCH_INTERVAL_SHARE
        chosen = []
        for attempt in late:
            candidates = open_to(attempt.shard)
            if candidates and self._spend_hedge(attempt.shard):
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
        open_to: CandidatesOf,
    ) -> list[tuple[_scatter_round.ShardState, list[str]]]:
        """Return the shards of a silent daemon's attempts, to hedge now."""
        chosen = []
        for attempt in attempts:
            shard = attempt.shard
            attempt.is_ordered = False
            if shard.hedged or shard.outstanding != 1:
                continue
            candidates = open_to(shard)
            if candidates and self._spend_hedge(shard):
                chosen.append((shard, candidates))
        return chosen

    def _batch_size(self) -> int:
        """Return how many shards may be hedged at one time."""
        shards = self._tally.sub_queries_needed
        return max(MIN_HEDGE_BATCH, math.ceil(shards * HEDGE_BATCH_SHARE))

    def _spend_hedge(self, shard: _scatter_round.ShardState) -> bool:
        shard.hedged = True
        if self._context.budget.spend_hedge(shard.shard.shard_id):
            self._tally.hedges_sent += 1
            return True
        self._tally.hedges_denied += 1
        return False


def initial_delay_ms(plan: _planner.Plan) -> float:
    """Return when to hedge while no latencies are known."""
    if plan.initial_hedge_delay_ms is not None:
        return plan.initial_hedge_delay_ms
    return plan.search.deadline_ms * INITIAL_DELAY_SHARE
