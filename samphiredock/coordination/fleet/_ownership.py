"""Ownership: which daemon dispatches for which target.

One owner gives a target one queue and one count of its slots.  It is only an
optimisation: after a membership change two daemons may disagree for a few
seconds, so correctness must not depend on it.

Targets that the same searches use are owned in small groups, so that one
message to a dispatcher carries several sub-queries.
"""

import collections
import dataclasses
import operator
import typing

import xxhash

from samphiredock import state
from samphiredock import timers

GROUP_SIZE = 4
_REFRESH_MS = 20.0

_Sites = typing.Mapping[str, state.Site]
_Targets = typing.Mapping[str, state.Target]
_Group = tuple[str, ...]
_Kind = tuple[str, tuple[str, ...]]
"""A target's site and the indexes of which it holds shards."""


def ownership_groups(
    targets: _Targets, snapshot: state.Snapshot | None
) -> list[tuple[str, ...]]:
    """Return the targets' names in groups that are queried together.

    Targets of one site that hold shards of the same indexes are split into
    groups of at most ``GROUP_SIZE``.  The result is deterministic, so that
    all daemons with the same configuration and snapshot agree.
    """
    kinds = _groups_by_kind(targets, snapshot).values()
    return [group for groups in kinds for group in groups]


def _groups_by_kind(
    targets: _Targets, snapshot: state.Snapshot | None
) -> dict[_Kind, list[_Group]]:
    indexes = snapshot.indexes if snapshot is not None else {}
    holds: dict[str, set[str]] = collections.defaultdict(set)
    for index_name, index in indexes.items():
        for shard in index.shards:
            for replica in shard.replicas:
                holds[replica].add(index_name)
    names_by_kind: dict[_Kind, list[str]] = collections.defaultdict(list)
    for name in sorted(targets):
        held = tuple(sorted(holds.get(name, ())))
        names_by_kind[targets[name].site, held].append(name)
    groups = {}
    for kind, names in names_by_kind.items():
        count = -(-len(names) // GROUP_SIZE)
        groups[kind] = [tuple(names[start::count]) for start in range(count)]
    return groups


def owners_of(
    targets: _Targets,
    snapshot: state.Snapshot | None,
    members: typing.Iterable[state.Member],
    sites: _Sites,
) -> dict[str, str]:
    """Return the owner of each target; targets without one are left out.

    Groups are assigned by rendezvous hashing over the live daemons of their
    site, else of their region, else over all.  The number of groups of each
    daemon is limited: there are so few groups that hashing alone would give
    some daemons several times the mean load.  Background:
    docs/design/ownership.md.
    """
    live = sorted(members, key=lambda member: member.name)
    kinds = _groups_by_kind(targets, snapshot)
    group_counts: collections.Counter[str] = collections.Counter()
    for (site, _), groups in kinds.items():
        group_counts[site] += len(groups)
    nearest = {site: _nearest(site, live, sites) for site in group_counts}
    assignments = {
        site: _SiteAssignment(group_counts[site], nearest[site])
        for site in group_counts
        if nearest[site]
    }
    owners = {}
    for (site, _), groups in kinds.items():
        if site not in assignments:
            continue
        for group, owner in assignments[site].assign(groups):
            owners.update(dict.fromkeys(group, owner))
    return owners


class _SiteAssignment:
    """Assigns the groups of one site to daemons.

    A daemon gets at most its even share, rounded up, of the site's groups
    and of the groups of each kind, which are searched equally often.

    Parameters
    ----------
    groups
        How many groups the site has.
    members
        The daemons to assign them to.
    """

    def __init__(self, groups: int, members: list[state.Member]) -> None:
        self._names = [member.name for member in members]
        self._max_groups = self._even_share(groups)
        self._owned_groups: collections.Counter[str] = collections.Counter()

    def _even_share(self, groups: int) -> int:
        return -(-groups // len(self._names))

    def assign(
        self, groups: list[_Group]
    ) -> typing.Iterator[tuple[_Group, str]]:
        """Yield each group of one kind with its owner."""
        max_of_kind = self._even_share(len(groups))
        owned_of_kind: collections.Counter[str] = collections.Counter()
        for group in groups:
            candidates = [
                name
                for name in self._names
                if self._owned_groups[name] < self._max_groups
                and owned_of_kind[name] < max_of_kind
            ]
            owner = max(
                candidates or self._least_loaded(),
                key=lambda name: _weight(group[0], name),
            )
            self._owned_groups[owner] += 1
            owned_of_kind[owner] += 1
            yield group, owner

    def _least_loaded(self) -> list[str]:
        least = min(self._owned_groups[name] for name in self._names)
        return [
            name for name in self._names if self._owned_groups[name] == least
        ]


def owner_of(
    target: state.Target,
    members: typing.Iterable[state.Member],
    sites: _Sites,
) -> str | None:
    """Return the owner of a target that is a group of its own."""
    owners = owners_of({target.name: target}, None, members, sites)
    return owners.get(target.name)


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerChange:
    """A change of a target's owner; ``old`` and ``new`` None for no owner."""

    target: str
    old: str | None
    new: str | None
    old_is_live: bool


class OwnershipTable:
    """The owner of every target, recomputed when an input changes.

    Parameters
    ----------
    configuration, snapshot
        Return the configuration and snapshot in force.
    live
        Returns the live members, the same tuple until one changes.
    clock
        The timer service.
    """

    def __init__(
        self,
        configuration: typing.Callable[[], state.Configuration | None],
        snapshot: typing.Callable[[], state.Snapshot | None],
        live: typing.Callable[[], tuple[state.Member, ...]],
        clock: timers.Timers,
    ) -> None:
        self._configuration = configuration
        self._snapshot = snapshot
        self._live = live
        self._clock = clock
        self._fresh_until_ms = float('-inf')
        self._last_inputs: tuple[object, ...] = ()
        self._table_key: tuple[int, int, frozenset[tuple[str, str]]] | None = (
            None
        )
        self._owners: dict[str, str] = {}
        self._listeners: list[typing.Callable[[list[OwnerChange]], None]] = []

    def subscribe(
        self, listener: typing.Callable[[list[OwnerChange]], None]
    ) -> None:
        """Call ``listener(changes)`` when owners change."""
        self._listeners.append(listener)

    def owner(self, target: str) -> str | None:
        """Return the name of a target's owner, None if it has none."""
        # Called for each sub-query, so inputs are checked only at intervals.
        if self._clock.now_ms() >= self._fresh_until_ms:
            self.refresh()
        return self._owners.get(target)

    def refresh(self) -> None:
        """Recompute the table if an input changed."""
        self._fresh_until_ms = self._clock.now_ms() + _REFRESH_MS
        configuration = self._configuration()
        if configuration is None:
            return
        snapshot = self._snapshot()
        live = self._live()
        # Called many times a second: iterating over all members is avoided
        # while the inputs are the same objects.
        previous_inputs, self._last_inputs = (
            self._last_inputs,
            (configuration, snapshot, live),
        )
        if previous_inputs and all(
            map(operator.is_, previous_inputs, self._last_inputs)
        ):
            return
        names = frozenset((row.name, row.site) for row in live)
        snapshot_id = snapshot.snapshot_id if snapshot else 0
        table_key = (configuration.revision, snapshot_id, names)
        if table_key == self._table_key:
            return
        self._table_key = table_key
        old, self._owners = (
            self._owners,
            owners_of(
                configuration.targets, snapshot, live, configuration.sites
            ),
        )
        self._notify(old, {row.name for row in live})

    def _notify(self, old: dict[str, str], live: set[str]) -> None:
        changes = []
        for target in sorted(old.keys() | self._owners.keys()):
            before, after = old.get(target), self._owners.get(target)
            if before != after:
                changes.append(
                    OwnerChange(target, before, after, before in live)
                )
        if changes:
            for listener in self._listeners:
                listener(changes)


def _nearest(
    site: str, live: list[state.Member], sites: _Sites
) -> list[state.Member]:
    """Return the members in a site, else in its region, else all."""
    home = sites.get(site)
    region = home.region if home else ''
    return (
        [member for member in live if member.site == site]
        or [member for member in live if member.region == region]
        or live
    )


def _weight(group: str, member: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f'{group}/{member}'.encode()), member
