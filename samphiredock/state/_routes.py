"""Routes: to which services or shards requests are passed on."""

import dataclasses
import typing

RECORD_BYTES = 16
"""Length of one record in a target's response, as targets define it."""


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services of a route and its proportion of the requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How requests to one host name and path prefix are passed on.

    Exactly one of ``services`` and ``shards`` is not empty.  Of ``services``
    one is chosen by weight for each request.  Of ``shards`` all are asked,
    and their parts are merged into one response; each is the name of a
    service whose targets hold that shard.

    ``host`` is the name in the ``Host`` header.  ``repeatable`` says that a
    request may run more than once.  ``aim_ms`` is the latency up to which a
    response has its full value to the caller, ``timeout_ms`` the longest
    that a request waits.  ``attempts`` is how many targets may run one
    request, for each shard.  ``rank`` is the priority that the platform
    states; it is not used.  ``least_share`` is the smallest fraction of the
    shards with which a merged response is a success, ``top`` the number of
    its records.
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
    """Limits on callers: sizes of requests and times.

    ``header_ms`` is how long a caller may take to send the header,
    ``idle_ms`` how long its connection may be idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_ms: float = 5_000.0
    idle_ms: float = 60_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of all routes; a daemon replaces it only by a higher one.

    ``connections`` is, for each service, how many connections one of its
    targets accepts from all daemons together.
    """

    version: int
    routes: tuple[Route, ...]
    connections: typing.Mapping[str, int]
    limits: CallerLimits

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``, None if none.

        ``host`` may have a port, ``path`` a query string; both are ignored.
        """
        name = host.partition(':')[0].lower()
        bare_path = path.partition('?')[0]
        matching = [
            route
            for route in self.routes
            if route.host.lower() == name
            and bare_path.startswith(route.prefix)
        ]
        return max(matching, key=lambda route: len(route.prefix), default=None)


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
