"""Which daemons ask the targets, and which hand requests over to those.

A target takes few connections, a connection that is seldom used is cold,
and a part that crosses between sites costs more than a merged answer.  So
where there are many daemons, or none of the targets is near, a few daemons
near the targets coordinate: they follow the store, keep warm connections
and merge.  The others hand the whole request over, one hop.
"""

import collections
import dataclasses
import typing

import xxhash

NEAR_SHARE = 0.5
"""A site coordinates if it has at least this part of the targets that the
best site has.  Half: with fewer, most parts come from other sites."""


CONNECTION_SHARE = 0.8
"""Part of a target's connections that is used.  Those of a daemon that lost
power stay open at the target for a while, beside those of its successor; on
a played day targets reset 114 connections beyond their limit."""

LARGE_SHARE = 0.5
"""A daemon coordinates if its host does at least this part of the work of
the site's largest.  Sending a search to 90 shards takes some 20 ms of a
core; on a host of a quarter of that it took 97 ms to the answer, and 57 ms
on the large ones."""


@dataclasses.dataclass(frozen=True, slots=True)
class Daemon:
    """A daemon as the others know it; ``address`` is for its peers.

    ``cores`` is how many cores' worth of work it does, ``near`` whether its
    site has targets enough to coordinate.
    """

    name: str
    site: str
    address: str
    cores: float
    near: bool = True


def candidates_of(
    daemons: typing.Iterable[Daemon], per_site: int
) -> list[Daemon]:
    """Return the daemons that may coordinate: the largest of each site.

    Parameters
    ----------
    daemons
        Those that are known and not known to be down.
    per_site
        How many of a site at most.
    """
    by_site: dict[str, list[Daemon]] = collections.defaultdict(list)
    for daemon in daemons:
        by_site[daemon.site].append(daemon)
    chosen = []
    for rows in by_site.values():
        ranked = sorted(rows, key=_rank)
        least_cores = ranked[0].cores * LARGE_SHARE
        chosen += [
            daemon
            for daemon in ranked[:per_site]
            if daemon.cores >= least_cores
        ]
    return chosen


def coordinators_of(
    daemons: typing.Iterable[Daemon], per_site: int
) -> frozenset[str]:
    """Return the names of the daemons that coordinate.

    Those candidates that are near the targets; all of them if none is.
    """
    candidates = candidates_of(daemons, per_site)
    near = [daemon for daemon in candidates if daemon.near]
    return frozenset(daemon.name for daemon in near or candidates)


def is_near(site: str, targets_by_site: typing.Mapping[str, int]) -> bool:
    """Whether a site has enough of the targets to coordinate."""
    most = max(targets_by_site.values(), default=0)
    return targets_by_site.get(site, 0) >= NEAR_SHARE * most


def connections_per_daemon(most: int, daemons: int) -> int:
    """Return how many connections to a target one daemon may have.

    Parameters
    ----------
    most
        What the target takes from all together.
    daemons
        How many share them.
    """
    return max(1, int(most * CONNECTION_SHARE) // daemons)


def _rank(daemon: Daemon) -> tuple[float, int]:
    """Larger hosts first; equal ones by a hash, the same everywhere."""
    return -daemon.cores, xxhash.xxh64_intdigest(daemon.name.encode())


class Role:
    """What this daemon is, and since when.

    Parameters
    ----------
    name
        This daemon.
    per_site
        How many daemons of a site coordinate.
    """

    def __init__(self, name: str, per_site: int) -> None:
        self._name = name
        self._per_site = per_site
        self._alone_until_ms = 0.0
        self.coordinators: frozenset[str] = frozenset()
        self.is_candidate = False
        self.coordinates = True
        self.since_ms = 0.0

    def update(
        self, daemons: typing.Collection[Daemon], now_ms: float
    ) -> bool:
        """Take in what is known; True if this daemon's part changed."""
        if not daemons:
            return False
        candidates = candidates_of(daemons, self._per_site)
        self.is_candidate = any(row.name == self._name for row in candidates)
        self.coordinators = coordinators_of(daemons, self._per_site)
        coordinates = (
            self._name in self.coordinators or now_ms < self._alone_until_ms
        )
        if coordinates == self.coordinates:
            return False
        self.coordinates = coordinates
        self.since_ms = now_ms
        return True

    def coordinate_temporarily(self, now_ms: float, for_ms: float) -> None:
        """Coordinate for a time, since no coordinator can be reached."""
        self._alone_until_ms = now_ms + for_ms
        if not self.coordinates:
            self.coordinates = True
            self.since_ms = now_ms
