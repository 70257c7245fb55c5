"""Decides which daemons coordinate searches and which hand requests over.

A target accepts few connections, a rarely used connection is cold, and
transferring every part between sites costs more than one merged answer.  So
in a large system, or if no targets are near, only a few daemons near the
targets coordinate: they follow the store, keep connections warm, and merge.
The others hand whole requests over to them.
"""

import collections
import dataclasses
import typing

import xxhash

NEAR_SHARE = 0.5
"""A site is near if it has at least this share of the targets of the best
site.  With fewer, most parts would come from other sites."""


CONNECTION_SHARE = 0.8
"""Share of a target's connections that the daemons use.  The rest allows for
those of a daemon that lost power, which stay open at the target for a while
beside those of its successor.  Without this room, targets reset 114
connections beyond their limit in one recorded day."""

MIN_CORES_SHARE = 0.5
"""A daemon coordinates only if it has at least this share of the cores of the
largest one at its site, since smaller hosts answer searches more slowly.
Sending a search to 90 shards takes some 20 ms of a core; on a host of a
quarter of that, the answer took 97 ms, on the large ones 57 ms."""


@dataclasses.dataclass(frozen=True, slots=True)
class Daemon:
    """A daemon as the others know it.

    ``address`` is where its peers connect, ``cores`` its host's capacity in
    cores, ``near`` whether its site has enough targets to coordinate.
    """

    name: str
    site: str
    address: str
    cores: float
    near: bool = True


def candidates_of(
    daemons: typing.Iterable[Daemon], per_site: int
) -> list[Daemon]:
    """Return the daemons that may coordinate: the largest ones of each site.

    Parameters
    ----------
    daemons
        The daemons not known to be down.
    per_site
        How many to return per site at most.
    """
    by_site: dict[str, list[Daemon]] = collections.defaultdict(list)
    for daemon in daemons:
        by_site[daemon.site].append(daemon)
    chosen = []
    for rows in by_site.values():
        ranked = sorted(rows, key=_rank)
        min_cores = ranked[0].cores * MIN_CORES_SHARE
        chosen += [
            daemon for daemon in ranked[:per_site] if daemon.cores >= min_cores
        ]
    return chosen


def coordinators_of(
    daemons: typing.Iterable[Daemon], per_site: int
) -> frozenset[str]:
    """Return the names of the daemons that coordinate.

    These are the candidates near the targets, or all of them if none is near.
    """
    candidates = candidates_of(daemons, per_site)
    near = [daemon for daemon in candidates if daemon.near]
    return frozenset(daemon.name for daemon in near or candidates)


def is_near_targets(
    site: str, targets_by_site: typing.Mapping[str, int]
) -> bool:
    """Whether a site has enough of the targets to coordinate."""
    most = max(targets_by_site.values(), default=0)
    return targets_by_site.get(site, 0) >= NEAR_SHARE * most


def connections_per_daemon(target_limit: int, daemons: int) -> int:
    """Return how many connections to one target a daemon may have.

    Parameters
    ----------
    target_limit
        How many connections the target accepts in total.
    daemons
        How many daemons share them.
    """
    return max(1, int(target_limit * CONNECTION_SHARE) // daemons)


def _rank(daemon: Daemon) -> tuple[float, int]:
    """Return the sort key: largest first, then by a hash of the name."""
    return -daemon.cores, xxhash.xxh64_intdigest(daemon.name.encode())


class Role:
    """Whether this daemon coordinates, and since when.

    ``coordinates`` is true until a list of daemons says otherwise;
    ``since_ms`` is when it last changed.  ``is_candidate`` says that this
    daemon is one of the largest of its site, which coordinate if the site is
    near the targets.  ``coordinators`` are the names of the daemons that
    coordinate.

    Parameters
    ----------
    name
        This daemon.
    per_site
        How many daemons of a site coordinate at most.
    """

    def __init__(self, name: str, per_site: int) -> None:
        self._name = name
        self._per_site = per_site
        self._temporary_until_ms = 0.0
        self.coordinators: frozenset[str] = frozenset()
        self.is_candidate = False
        self.coordinates = True
        self.since_ms = 0.0

    def update(
        self, daemons: typing.Collection[Daemon], now_ms: float
    ) -> bool:
        """Update the role from a list of daemons; return if it changed."""
        if not daemons:
            return False
        candidates = candidates_of(daemons, self._per_site)
        self.is_candidate = any(row.name == self._name for row in candidates)
        self.coordinators = coordinators_of(daemons, self._per_site)
        coordinates = (
            self._name in self.coordinators
            or now_ms < self._temporary_until_ms
        )
        if coordinates == self.coordinates:
            return False
        self.coordinates = coordinates
        self.since_ms = now_ms
        return True

    def coordinate_temporarily(self, now_ms: float, for_ms: float) -> None:
        """Coordinate for some time, since no coordinator can be reached."""
        self._temporary_until_ms = now_ms + for_ms
        if not self.coordinates:
            self.coordinates = True
            self.since_ms = now_ms
