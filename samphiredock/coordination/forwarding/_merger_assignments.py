"""Chooses the daemons that ask the targets of other sites for a search.

Asked directly, each shard at another site costs request and response headers
across sites, and a rarely used connection.  A daemon at the targets' site has
warm connections to them and sends one merged part across.
"""

import collections
import typing

from samphiredock.coordination.forwarding import _live_targets
from samphiredock.coordination.targets import _replica_selector
from samphiredock import state

MIN_PARTS = 4
"""Least parts expected from a site to send it an order.  With fewer, the bytes
saved do not outweigh the wait for one more daemon, which may be busy or
fail.  An order costs some 700 bytes of headers, and 25 bytes out and 30 back
for each part; a part that travels alone costs 600 bytes of headers and up to
1,000 of records."""


class MergerAssignments:
    """Which daemon asks each target of one search.

    Implements the ``TargetView`` of a scatter.

    Parameters
    ----------
    targets
        The registered targets.
    mergers
        By site, the daemon that asks its targets (the merger); other sites'
        targets are asked directly.
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
        """Return the daemon that asks a target, None if it is not registered.

        For a target that is asked directly this is the target itself.
        """
        found = self._targets.get(target)
        if found is None:
            return None
        if target in self._direct:
            return target
        return self._mergers.get(found.site, target)

    def ask_directly(self, target: str) -> None:
        """Ask a target directly, since its merger has refused to."""
        self._direct.add(target)

    def drop_merger(self, merger: str) -> None:
        """Ask the targets assigned to a merger directly from now on."""
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
    """Return the other sites from which a search expects many parts.

    A shard with targets at several sites counts as a fraction for each.

    Parameters
    ----------
    site
        This daemon's own; a shard with a target there needs no other site.
    shards
        The targets of each shard.
    targets
        The registered targets.
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
    """Return the least loaded daemon of each site that has one.

    Parameters
    ----------
    sites
        The sites whose targets are asked by order.
    peers
        The coordinating daemons.
    loads
        Their observed load.
    """
    by_site: dict[str, list[str]] = collections.defaultdict(list)
    for peer in peers.all():
        if peers.is_usable(peer.target_id):
            by_site[peer.site].append(peer.target_id)
    return {
        site: loads.choose(by_site[site]) for site in sites if by_site[site]
    }
