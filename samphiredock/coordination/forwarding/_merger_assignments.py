"""Which daemons ask the targets of other sites for a search.

Each part of a search that crosses sites costs its own head and body there
and back, and a connection that this daemon seldom uses.  A daemon of the
targets' site has warm ones, and sends one merged part across.
"""

import collections
import typing

from samphiredock.coordination.forwarding import _live_targets
from samphiredock.coordination.targets import _replica_selector
from samphiredock import state

MIN_PARTS = 4
"""Parts of one site from which on an order is worth its hop.  An order costs
some 700 bytes of heads, and 25 bytes out and 30 back a part; a part of a
shard that travels alone costs 600 bytes of heads and up to 1,000 of records.
Bytes are saved from two parts on; with few of them a search still waits for
one daemon more, which may be busy or die."""


class MergerAssignments:
    """Routes of one search: through whom each target is asked.

    Parameters
    ----------
    targets
        The targets that are known.
    mergers
        For each site whose targets are asked by order: by which daemon.
    """

    def __init__(
        self,
        targets: _live_targets.LiveTargets,
        mergers: typing.Mapping[str, str],
    ) -> None:
        self._targets = targets
        self._mergers = dict(mergers)
        self._direct: set[str] = set()
        self.is_usable = targets.is_usable

    @property
    def snapshot(self) -> state.Snapshot | None:
        """The newest snapshot known here."""
        return self._targets.snapshot

    def owner(self, target: str) -> str | None:
        """Return who asks a target: a merging daemon, or this one."""
        found = self._targets.get(target)
        if found is None:
            return None
        if target in self._direct:
            return target
        return self._mergers.get(found.site, target)

    def ask_directly(self, target: str) -> None:
        """A daemon that was to ask a target does not know it, or not yet."""
        self._direct.add(target)

    def drop_merger(self, merger: str) -> None:
        """Ask directly what a daemon was to ask that does not."""
        self._mergers = {
            site: name
            for site, name in self._mergers.items()
            if name != merger
        }


def sites_for_orders(
    site: str,
    shards: typing.Iterable[typing.Sequence[str]],
    targets: _live_targets.LiveTargets,
) -> list[str]:
    """Return the other sites that a search asks for many parts.

    Parameters
    ----------
    site
        This daemon's own; a shard with a target there needs no other.
    shards
        The targets of each shard.
    targets
        Where they are.
    """
    expected: collections.Counter[str] = collections.Counter()
    for names in shards:
        rows = [targets.get(name) for name in names]
        sites = [row.site for row in rows if row is not None]
        if site in sites:
            continue
        for other in sites:
            expected[other] += 1.0 / len(sites)
    return [name for name, parts in expected.items() if parts >= MIN_PARTS]


def choose_mergers(
    sites: typing.Iterable[str],
    peers: _live_targets.LiveTargets,
    loads: _replica_selector.ReplicaSelector,
) -> dict[str, str]:
    """Return a daemon for each site that has one; the least loaded.

    Parameters
    ----------
    sites
        Whose targets are asked by order.
    peers
        The daemons that coordinate: they follow the store.
    loads
        What was observed of them.
    """
    by_site: dict[str, list[str]] = collections.defaultdict(list)
    for peer in peers.all():
        if peers.is_usable(peer.target_id):
            by_site[peer.site].append(peer.target_id)
    return {
        site: loads.choose(by_site[site]) for site in sites if by_site[site]
    }
