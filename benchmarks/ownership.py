"""Ways to give a site's targets to its daemons, on a skewed load.

Run as ``python -m benchmarks.ownership``.  A site of the planned size: 61
daemons, five indexes of 55 targets, searched with a skew; each query touches
all targets of one index.  Only pure functions run, so the figures repeat.
"""

import bisect
import collections
import itertools
import json
import pathlib
import random
import statistics
import typing

import click
import xxhash

from samphiredock import coordination
from samphiredock import protocol
from samphiredock import state

_DAEMONS = 61
_INDEXES = 5
_SHARDS = 55
_SITE = 'bole-a'
_SITES = {_SITE: state.Site(_SITE, 'addis', 1.0, 1.0, {})}
_RESULTS = pathlib.Path(__file__).resolve().parent / 'results'

# A daemon may be given this much of the mean load, in the bounded way.
_BOUND = 1.25

Owners = dict[str, str]
Demand = typing.Mapping[str, float]


class Strategy(typing.Protocol):
    """Gives each target an owner."""

    def __call__(self, members: list[state.Member], demand: Demand) -> Owners:
        """Return the owner of each target, given the load observed."""


def _member(number: int) -> state.Member:
    return state.Member(f'd{number}', _SITE, 'addis', '', '', '', 1)


def _targets() -> dict[str, state.Target]:
    names = [f'i{i}-t{n}' for i in range(_INDEXES) for n in range(_SHARDS)]
    return {
        name: state.Target(name, _SITE, 'http://t', 2, 25, 6) for name in names
    }


def _snapshot() -> state.Snapshot:
    indexes = {}
    for index in range(_INDEXES):
        shards = [
            state.Shard(
                f's{number}',
                protocol.KeyRange(number, number + 1),
                [f'i{index}-t{number}'],
            )
            for number in range(_SHARDS)
        ]
        indexes[f'i{index}'] = state.IndexSnapshot(1, shards)
    return state.Snapshot(1, indexes)


_TARGETS = _targets()
_SNAPSHOT = _snapshot()
_GROUPS = coordination.ownership_groups(_TARGETS, _SNAPSHOT)


def by_target(members: list[state.Member], demand: Demand) -> Owners:
    """Plain rendezvous hashing of each target."""
    owners = {}
    for name, target in _TARGETS.items():
        owner = coordination.owner_of(target, members, _SITES)
        if owner is not None:
            owners[name] = owner
    return owners


def by_group(members: list[state.Member], demand: Demand) -> Owners:
    """Rendezvous hashing of groups, as the daemons do it."""
    return coordination.owners_of(_TARGETS, _SNAPSHOT, members, _SITES)


def by_bounded_group(members: list[state.Member], demand: Demand) -> Owners:
    """Rendezvous of groups that passes over daemons with enough load."""
    most = _BOUND * sum(demand.values()) / len(members)
    heaviest = sorted(
        _GROUPS, key=lambda group: (-_weight(group, demand), group[0])
    )
    taken = {member.name: 0.0 for member in members}
    owners: Owners = {}
    for group in heaviest:
        ranked = sorted(taken, key=lambda name: _hash(group[0], name))
        weight = _weight(group, demand)
        owner = next(
            (name for name in ranked if taken[name] + weight <= most),
            min(ranked, key=taken.__getitem__),
        )
        taken[owner] += weight
        owners.update(dict.fromkeys(group, owner))
    return owners


def by_even_group(members: list[state.Member], demand: Demand) -> Owners:
    """Rendezvous of groups, at most the mean number of them a daemon."""
    return _even(members, len(_GROUPS))


def by_even_index(members: list[state.Member], demand: Demand) -> Owners:
    """As even groups, and no daemon gets more of one index than its part."""
    return _even(members, len(_GROUPS) // _INDEXES)


def _even(members: list[state.Member], alike: int) -> Owners:
    most = -(-len(_GROUPS) // len(members))
    most_alike = -(-alike // len(members))
    taken: collections.Counter[typing.Hashable] = collections.Counter()
    owners: Owners = {}
    for group in _GROUPS:
        index = group[0].partition('-')[0]
        ranked = sorted(
            (member.name for member in members),
            key=lambda name: _hash(group[0], name),
        )
        owner = next(
            (
                name
                for name in ranked
                if taken[name] < most and taken[name, index] < most_alike
            ),
            min(ranked, key=taken.__getitem__),
        )
        taken[owner] += 1
        taken[owner, index] += 1
        owners.update(dict.fromkeys(group, owner))
    return owners


def by_quantile(members: list[state.Member], demand: Demand) -> Owners:
    """Targets in the order of their groups, cut at quantiles of demand.

    The "touches" of the demand-aware heuristic: equal parts of what was
    asked for, not of the space.
    """
    order = list(itertools.chain.from_iterable(_GROUPS))
    sums = list(itertools.accumulate(demand[name] for name in order))
    part = sums[-1] / len(members)
    cuts = [part * number for number in range(1, len(members))]
    return {
        name: members[bisect.bisect_left(cuts, total - demand[name] / 2)].name
        for name, total in zip(order, sums)
    }


STRATEGIES: dict[str, Strategy] = {
    'rendezvous of targets': by_target,
    'rendezvous of groups': by_group,
    'even groups': by_even_group,
    'even groups of an index': by_even_index,
    'groups, bounded load': by_bounded_group,
    'quantiles of demand': by_quantile,
}


def _hash(group: str, member: str) -> int:
    return xxhash.xxh64_intdigest(f'{group}/{member}'.encode())


def _weight(group: typing.Iterable[str], demand: Demand) -> float:
    return sum(demand[name] for name in group)


def demand_of(seed: int, skew: float) -> dict[str, float]:
    """Return queries at each target; index ranks by a power law."""
    rng = random.Random(seed)
    ranks = list(range(1, _INDEXES + 1))
    rng.shuffle(ranks)
    return {
        f'i{index}-t{number}': rank**-skew
        for index, rank in enumerate(ranks)
        for number in range(_SHARDS)
    }


def jain(loads: typing.Sequence[float]) -> float:
    """Return Jain's fairness index: 1 if all are equal, 1/n if one has all."""
    squares = len(loads) * sum(load * load for load in loads)
    return sum(loads) ** 2 / squares


def judge(strategy: Strategy, seed: int, skew: float) -> dict[str, float]:
    """Return the measures of one strategy."""
    # Other names by seed give other hashes.
    members = [_member(100 * seed + number) for number in range(_DAEMONS)]
    demand = demand_of(seed, skew)
    owners = strategy(members, demand)
    loads = dict.fromkeys((member.name for member in members), 0.0)
    for name, owner in owners.items():
        loads[owner] += demand[name]
    dispatchers = 0.0
    for index in range(_INDEXES):
        asked = {owners[f'i{index}-t{n}'] for n in range(_SHARDS)}
        dispatchers += len(asked) * demand[f'i{index}-t0']
    queries = sum(demand[f'i{index}-t0'] for index in range(_INDEXES))
    middle = _DAEMONS // 2
    without = strategy(members[:middle] + members[middle + 1 :], demand)
    shifted = strategy(members, demand_of(seed + 1, skew))
    mean = statistics.fmean(loads.values())
    return {
        'items_per_message': _SHARDS * queries / dispatchers,
        'jain': jain(list(loads.values())),
        'most_over_mean': max(loads.values()) / mean,
        'moved_by_one_daemon': _moved(owners, without),
        'moved_by_new_demand': _moved(owners, shifted),
    }


def _moved(before: Owners, after: Owners) -> int:
    return sum(before[name] != after[name] for name in before)


@click.command()
@click.option('--seeds', default=5)
@click.option('--skew', default=1.0, help='Power of the rank of an index.')
def main(seeds: int, skew: float) -> None:
    """Print medians over seeds, and write them to results/ownership.json."""
    rows = {}
    for name, strategy in STRATEGIES.items():
        runs = [judge(strategy, seed, skew) for seed in range(1, seeds + 1)]
        rows[name] = {
            key: round(statistics.median(run[key] for run in runs), 3)
            for key in runs[0]
        }
        print(name, rows[name])
    path = _RESULTS / 'ownership.json'
    path.write_text(json.dumps(rows, indent=1) + '\n', encoding='utf-8')


if __name__ == '__main__':
    main()
