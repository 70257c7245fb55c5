"""Compares strategies that assign a site's targets to its daemons.

Run as ``python -m benchmarks.ownership``.  The site has 61 daemons and five
indexes of 55 targets, some of which are searched more often than others.
Each query goes to all targets of one index.  Only pure functions run, so the
figures are reproducible.
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

# Highest load of a daemon, as a multiple of the mean (bounded loads only).
_LOAD_BOUND = 1.25

Owners = dict[str, str]
Demand = typing.Mapping[str, float]


class Strategy(typing.Protocol):
    """Assigns an owner to each target."""

    def __call__(self, members: list[state.Member], demand: Demand) -> Owners:
        """Return the owner of each target, given the load per target."""


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
    """Assign each target by rendezvous hashing."""
    owners = {}
    for name, target in _TARGETS.items():
        owner = coordination.owner_of(target, members, _SITES)
        if owner is not None:
            owners[name] = owner
    return owners


def by_group(members: list[state.Member], demand: Demand) -> Owners:
    """Assign groups by rendezvous hashing, as the daemons do."""
    return coordination.owners_of(_TARGETS, _SNAPSHOT, members, _SITES)


def by_bounded_group(members: list[state.Member], demand: Demand) -> Owners:
    """Assign groups by rendezvous hashing with bounded loads."""
    limit = _LOAD_BOUND * sum(demand.values()) / len(members)
    heaviest = sorted(
        _GROUPS, key=lambda group: (-_weight(group, demand), group[0])
    )
    assigned = {member.name: 0.0 for member in members}
    owners: Owners = {}
    for group in heaviest:
        ranked = sorted(assigned, key=lambda name: _hash(group[0], name))
        weight = _weight(group, demand)
        owner = next(
            (name for name in ranked if assigned[name] + weight <= limit),
            min(ranked, key=assigned.__getitem__),
        )
        assigned[owner] += weight
        owners.update(dict.fromkeys(group, owner))
    return owners


def by_even_group(members: list[state.Member], demand: Demand) -> Owners:
    """Assign groups by rendezvous hashing, at most the mean per daemon."""
    return _even(members, len(_GROUPS))


def by_even_index(members: list[state.Member], demand: Demand) -> Owners:
    """Assign as ``by_even_group``, and spread each index evenly too."""
    return _even(members, len(_GROUPS) // _INDEXES)


def _even(members: list[state.Member], groups_per_index: int) -> Owners:
    limit = -(-len(_GROUPS) // len(members))
    index_limit = -(-groups_per_index // len(members))
    assigned: collections.Counter[typing.Hashable] = collections.Counter()
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
                if assigned[name] < limit
                and assigned[name, index] < index_limit
            ),
            min(ranked, key=assigned.__getitem__),
        )
        assigned[owner] += 1
        assigned[owner, index] += 1
        owners.update(dict.fromkeys(group, owner))
    return owners


def by_quantile(members: list[state.Member], demand: Demand) -> Owners:
    """Order targets by group and cut the order at quantiles of demand.

    Each daemon gets a range of targets with an equal part of the demand.
    """
    order = list(itertools.chain.from_iterable(_GROUPS))
    sums = list(itertools.accumulate(demand[name] for name in order))
    demand_per_member = sums[-1] / len(members)
    cuts = [demand_per_member * number for number in range(1, len(members))]
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
    """Return the demand of each target; indexes follow a power law."""
    rng = random.Random(seed)
    ranks = list(range(1, _INDEXES + 1))
    rng.shuffle(ranks)
    return {
        f'i{index}-t{number}': rank**-skew
        for index, rank in enumerate(ranks)
        for number in range(_SHARDS)
    }


def jain(loads: typing.Sequence[float]) -> float:
    """Return Jain's fairness index: 1 if equal, 1/n if one has all."""
    squares = len(loads) * sum(load * load for load in loads)
    return sum(loads) ** 2 / squares


def evaluate(strategy: Strategy, seed: int, skew: float) -> dict[str, float]:
    """Return fairness and stability measures of one strategy."""
    # Names that differ by seed give other hashes.
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
    removed = _DAEMONS // 2
    owners_without_one = strategy(
        members[:removed] + members[removed + 1 :], demand
    )
    owners_new_demand = strategy(members, demand_of(seed + 1, skew))
    mean_load = statistics.fmean(loads.values())
    return {
        'items_per_message': _SHARDS * queries / dispatchers,
        'jain': jain(list(loads.values())),
        'most_over_mean': max(loads.values()) / mean_load,
        'moved_by_one_daemon': _count_moved(owners, owners_without_one),
        'moved_by_new_demand': _count_moved(owners, owners_new_demand),
    }


def _count_moved(before: Owners, after: Owners) -> int:
    return sum(before[name] != after[name] for name in before)


@click.command()
@click.option('--seeds', default=5)
@click.option('--skew', default=1.0, help='Exponent of the power law.')
def main(seeds: int, skew: float) -> None:
    """Print medians over the seeds; write them to results/ownership.json."""
    rows = {}
    for name, strategy in STRATEGIES.items():
        runs = [evaluate(strategy, seed, skew) for seed in range(1, seeds + 1)]
        rows[name] = {
            key: round(statistics.median(run[key] for run in runs), 3)
            for key in runs[0]
        }
        print(name, rows[name])
    path = _RESULTS / 'ownership.json'
    path.write_text(json.dumps(rows, indent=1) + '\n', encoding='utf-8')


if __name__ == '__main__':
    main()
