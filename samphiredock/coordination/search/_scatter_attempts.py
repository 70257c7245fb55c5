"""The pending attempts of one search."""

import math
import typing

from samphiredock.coordination.search import _hedging
from samphiredock.coordination.search import _scatter_round
from samphiredock.coordination.search import _scatter_types
from samphiredock import protocol

_Drops = dict[str, list[str]]


class Attempts:
    """Pending attempts by id, and the effects that send or cancel them."""

    def __init__(
        self, query_id: str, index: str, context: _scatter_types.ScatterContext
    ) -> None:
        self._query_id = query_id
        self._index = index
        self._latencies = context.latencies
        self._replicas = context.replicas
        self._outstanding: dict[str, _scatter_round.Attempt] = {}
        self._outbox: dict[
            tuple[str | None, bool], list[protocol.SubQuery]
        ] = {}
        self._drops: _Drops = {}
        self._alone_count = 0
        self.sent = 0

    def __len__(self) -> int:
        return len(self._outstanding)

    def outstanding(self) -> list[_scatter_round.Attempt]:
        """Return the pending attempts."""
        return list(self._outstanding.values())

    def overdue(
        self, delay_ms: float, now_ms: float
    ) -> tuple[list[_scatter_round.Attempt], float]:
        """Return the overdue attempts, and when the next one is overdue.

        ``delay_ms`` is the hedge delay.  Shards with a hedge are left out.
        """
        late = []
        due_ms = math.inf
        for attempt in self._outstanding.values():
            if attempt.shard.hedged or attempt.shard.outstanding != 1:
                continue
            wait_ms = delay_ms
            if attempt.is_ordered:
                wait_ms = _hedging.ordered_delay_ms(delay_ms)
            late_from_ms = max(
                attempt.sent_ms + wait_ms, attempt.shard.next_hedge_ms
            )
            if late_from_ms <= now_ms:
                late.append(attempt)
            else:
                due_ms = min(due_ms, late_from_ms)
        return late, due_ms

    def is_running_alone(self) -> bool:
        """Return whether an attempt that runs alone is pending."""
        return self._alone_count > 0

    def send(
        self,
        shard: _scatter_round.ShardState,
        round_: _scatter_round.Round,
        target: str,
        dispatcher: str | None,
        now_ms: float,
        alone: bool,
        hedge: bool,
        is_ordered: bool = False,
    ) -> None:
        """Add an attempt, which the next :meth:`collect` returns."""
        self.sent += 1
        self._alone_count += alone
        item = protocol.SubQuery(
            f'{self._query_id}.{self.sent}',
            round_.plan.search.index,
            round_.index_version,
            round_.snapshot.snapshot_id,
            shard.shard.shard_id,
            target,
            hedge,
        )
        self._outstanding[item.attempt_id] = _scatter_round.Attempt(
            shard, item, dispatcher, now_ms, alone, is_ordered
        )
        shard.tried.add(target)
        shard.started_on.add(target)
        shard.outstanding += 1
        shard.arrived += 1
        shard.was_ordered = shard.was_ordered or is_ordered
        self._replicas.record_sent(target)
        key = (dispatcher, alone)
        box = self._outbox.get(key)
        if box is None:
            self._outbox[key] = [item]
        else:
            box.append(item)

    def get(self, attempt_id: str) -> _scatter_round.Attempt | None:
        """Return a pending attempt by its id, None if there is none."""
        return self._outstanding.get(attempt_id)

    def remove(
        self, attempt: _scatter_round.Attempt, took_ms: float | None
    ) -> None:
        """Remove an attempt that has ended.

        ``took_ms`` is None if it says nothing about the target's latency.
        """
        item = attempt.item
        del self._outstanding[item.attempt_id]
        self._alone_count -= attempt.alone
        attempt.shard.outstanding -= 1
        self._replicas.record_ended(item.target, took_ms)

    def of_shard(
        self, shard: _scatter_round.ShardState
    ) -> list[_scatter_round.Attempt]:
        """Return the pending attempts of one shard."""
        return [
            attempt
            for attempt in self._outstanding.values()
            if attempt.shard is shard
        ]

    def drop_losers(
        self,
        attempts: typing.Iterable[_scatter_round.Attempt],
        now_ms: float,
    ) -> None:
        """Cancel attempts, and record the time until now as their latency."""
        for attempt in attempts:
            took_ms = now_ms - attempt.sent_ms
            self._latencies.observe(self._index, took_ms)
            self._drop(attempt, took_ms)

    def drop_all(self) -> None:
        """Cancel all attempts, without a latency."""
        for attempt in self.outstanding():
            self._drop(attempt, None)

    def _drop(
        self, attempt: _scatter_round.Attempt, took_ms: float | None
    ) -> None:
        self.remove(attempt, took_ms)
        if attempt.dispatcher is not None:
            self._drops.setdefault(attempt.dispatcher, []).append(
                attempt.item.attempt_id
            )

    def discard_unsent(self) -> None:
        """Drop the attempts that :meth:`collect` has not returned yet."""
        self._outbox.clear()

    def collect(self) -> list[_scatter_types.Effect]:
        """Return the attempts to cancel and to send now, as effects."""
        effects: list[_scatter_types.Effect] = [
            _scatter_types.DropAttempts(name, attempt_ids)
            for name, attempt_ids in self._drops.items()
        ]
        effects += [
            _scatter_types.SendAttempts(dispatcher, items, alone)
            for (dispatcher, alone), items in self._outbox.items()
        ]
        self._drops = {}
        self._outbox = {}
        return effects
