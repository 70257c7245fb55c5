"""Routes: which service, or which shards, a passed-on request goes to."""

import dataclasses
import typing

RECORD_BYTES = 16
"""Length of a record in a shard's part, fixed by the targets' protocol."""


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services that share a route, and its proportion."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """What one configuration says of the requests below a path.

    Exactly one of ``services`` (one is chosen by weight for each request)
    and ``shards`` (all are asked, and their answers merged) is not empty.
    ``aim_ms`` is when an answer stops being worth its whole value to the
    caller, ``timeout_ms`` the longest that a request may be kept waiting.
    ``attempts`` is how many targets may run one request (of each shard);
    ``least_share`` the smallest part of the shards with which an answer is
    a success, ``top`` how many records it has.
    """

    name: str
    host: str
    prefix: str
    repeatable: bool
    timeout_ms: float
    aim_ms: float
    attempts: int
    rank: int = 0
    services: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    top: int = 0
    least_share: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_ms: float = 5_000.0
    idle_ms: float = 60_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of all routes; a daemon only ever applies a higher one.

    ``connections`` is how many connections a target of a service takes
    from all callers together.
    """

    version: int
    routes: tuple[Route, ...]
    connections: typing.Mapping[str, int]
    limits: CallerLimits

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``."""
        name = host.partition(':')[0].lower()
        plain = path.partition('?')[0]
        fitting = [
            route
            for route in self.routes
            if route.host.lower() == name and plain.startswith(route.prefix)
        ]
        return max(fitting, key=lambda route: len(route.prefix), default=None)


@dataclasses.dataclass(frozen=True, slots=True)
class LiveTarget:
    """One running target, as it has registered itself.

    ``address`` is ``IP:port``; another target may have had it before.
    ``leaving`` asks for no new work.  ``warmup_left_ms`` is how much longer
    the target is slow after its start.  ``started_at_ms`` is the wall-clock
    time of its start in ms since the epoch, by its own clock, 0 if it does
    not say; another value under the same id means that the target has
    restarted and has lost what it held.
    """

    target_id: str
    service: str
    address: str
    site: str
    slots: int
    leaving: bool = False
    warmup_left_ms: float = 0.0
    started_at_ms: int = 0
