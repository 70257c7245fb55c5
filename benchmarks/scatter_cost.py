"""Measures the CPU time of a scatter's decisions, without sockets or records.

Run as ``python -m benchmarks.scatter_cost``.  Each query covers 55 shards
with two replicas at 12 dispatchers; each dispatcher answers in one message.
The time covers the scatter's decisions, the checks of the answers and the
merge of coverage.  The answers hold no records.
"""

import json
import random
import statistics
import time

import click

from samphiredock import coordination
from samphiredock import protocol
from samphiredock import state
from standins import memory_searches

_SHARDS = 55
_DISPATCHERS = 12
_TARGETS = 110


class _Routes:
    """Routes with fixed owners, in which every target is usable."""

    def __init__(self, snapshot: state.Snapshot) -> None:
        self.snapshot = snapshot
        self._owners = {
            f't{number}': f'd{number % _DISPATCHERS}'
            for number in range(_TARGETS)
        }

    def owner(self, target: str) -> str | None:
        """Return the owner of a target."""
        return self._owners[target]

    def is_usable(self, target: str) -> bool:
        """Return whether a target may get new work."""
        return target in self._owners


class _NullCrashTracker:
    """Crash tracker without any suspect or quarantined request."""

    def record_loss(self, fingerprint: str, target: str, service: str) -> None:
        """Ignore."""

    def record_success(self, fingerprint: str) -> None:
        """Ignore."""

    def is_suspect(self, fingerprint: str) -> bool:
        """Return False."""
        return False

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return False."""
        return False


def _snapshot() -> state.Snapshot:
    return memory_searches.make_snapshot(7, _SHARDS, _TARGETS)


def _plan(snapshot: state.Snapshot, number: int) -> coordination.Plan:
    search = memory_searches.make_search(least_coverage=0.9)
    return coordination.Plan(
        f'q{number}', 'desk', 'site', search, {}, 50, 'f', snapshot, 1e12
    )


def _answers(
    send: coordination.SendAttempts,
    ranges: dict[str, protocol.KeyRange],
) -> list[protocol.SubAnswer]:
    return [
        protocol.SubAnswer(
            item.attempt_id,
            item.target,
            protocol.SubStatus.ANSWERED,
            item.snapshot_id,
            [ranges[item.shard_id]],
            service_ms=3.0,
            waited_ms=0.5,
        )
        for item in send.items
    ]


def _context(
    snapshot: state.Snapshot, seed: int
) -> coordination.ScatterContext:
    return coordination.ScatterContext(
        _Routes(snapshot),
        coordination.ReplicaSelector(random.Random(seed), lambda target: True),
        coordination.Latencies(),
        coordination.RetryBudget(),
        _NullCrashTracker(),
    )


def open_queries(count: int) -> list:
    """Return queries in flight: their plans, scatters and first sends."""
    snapshot = _snapshot()
    context = _context(snapshot, 1)
    rows = []
    for number in range(count):
        plan = _plan(snapshot, number)
        scatter = coordination.Scatter(plan, context, state.Limits())
        rows.append((plan, scatter, scatter.start(0.0)))
    return rows


def measure(queries: int, seed: int) -> float:
    """Return the CPU time per sub-query in microseconds."""
    snapshot = _snapshot()
    shards = snapshot.indexes['claims'].shards
    ranges = {shard.shard_id: shard.key_range for shard in shards}
    context = _context(snapshot, seed)
    limits = state.Limits()
    spent_ns = 0
    for number in range(queries):
        plan = _plan(snapshot, number)
        began_ns = time.process_time_ns()
        scatter = coordination.Scatter(plan, context, limits)
        sends = scatter.start(0.0)
        spent_ns += time.process_time_ns() - began_ns
        for send in sends:
            # Making the answers is the dispatchers' work, so not counted.
            answers = _answers(send, ranges)
            began_ns = time.process_time_ns()
            effects = scatter.on_answers(answers, 4.0)
            scatter.next_due_ms()
            spent_ns += time.process_time_ns() - began_ns
        (finish,) = effects
        if not isinstance(finish.outcome, protocol.Answered):
            raise AssertionError(f'got {finish.outcome}, expected Answered')
    return spent_ns / 1000.0 / queries / _SHARDS


@click.command()
@click.option('--queries', default=400, help='Queries per round.')
@click.option(
    '--rounds', default=5, help='Rounds, of which the median is printed.'
)
@click.option('--seed', default=1)
def main(queries: int, rounds: int, seed: int) -> None:
    """Print the CPU microseconds per sub-query as JSON."""
    rows = [measure(queries, seed + number) for number in range(rounds)]
    print(
        json.dumps(
            {
                'shards': _SHARDS,
                'queries': queries,
                'us_per_sub_query': [round(row, 2) for row in rows],
                'median_us': round(statistics.median(rows), 2),
            }
        )
    )


if __name__ == '__main__':
    main()
