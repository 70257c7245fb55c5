"""The compiled configuration that a daemon applies.

Operators write one base file and an overlay for each site; the compiler
(:mod:`samphiredock.state._compiler`) turns them into these types.
"""

import dataclasses
import enum
import typing

REQUEST_CLASSES = ('interactive', 'batch')
"""Classes of requests; an overloaded daemon refuses ``batch`` first."""


class MergeKind(enum.Enum):
    """How the records of several shards are ordered in one answer.

    ``BY_SCORE``: the highest score first.  ``BY_KEY``: the lowest key first.
    """

    BY_SCORE = 'by-score'
    BY_KEY = 'by-key'


@dataclasses.dataclass(frozen=True, slots=True)
class Search:
    """One search that a service may run.

    ``deadline_ms`` is the deadline of a request that states none.
    ``least_coverage`` is the smallest fraction of the key space with which an
    answer is given; below it the caller gets no records.  ``canary`` says that
    one shard is asked before the others, so that a content that crashes
    targets costs few of them.  ``limit`` is the largest number of records.
    ``fields`` are the names that a request's terms may have; empty allows
    every name.
    """

    name: str
    index: str
    deadline_ms: int
    least_coverage: float
    request_class: str
    canary: bool
    merge: MergeKind
    limit: int
    fields: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """One unrepeatable operation and the targets that can run it.

    ``deadline_ms`` is the deadline of a request that states none.
    """

    name: str
    deadline_ms: int
    request_class: str
    targets: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A customer: its searches, operations and limits.

    ``weight`` is its proportion of a target's throughput among the services
    that have work queued there; ``max_in_flight`` bounds its requests in
    progress at one daemon.
    """

    name: str
    searches: typing.Mapping[str, Search]
    operations: typing.Mapping[str, Operation]
    weight: float
    max_in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """A data centre: its region and its share of the targets' capacity.

    All shares and caps are fractions of the capacity, 0.0 to 1.0.  ``share``
    is guaranteed to requests that came in at the site; ``share_cap`` is the
    most they may use while other sites leave capacity idle.
    ``service_caps`` are lower caps for single services, set by the site's
    overlay.
    """

    name: str
    region: str
    share: float
    share_cap: float
    service_caps: typing.Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A back end and what it allows from all daemons together.

    ``slots`` is how many exchanges it works on at once, ``connections`` how
    many connections it accepts, ``connect_ms`` the expected time to connect.
    """

    name: str
    site: str
    url: str
    slots: int
    connections: int
    connect_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits and delays that are common to all daemons.

    ``deadline_limit_ms`` is the longest deadline, ``body_limit_bytes`` the
    largest body and ``terms_limit`` the largest number of terms of a
    request.  ``key_retention_ms`` is the age up to which idempotency keys
    are accepted.  ``queue_per_target`` bounds the attempts queued for one
    target, ``in_flight_per_daemon`` the requests in progress at one daemon.

    ``hedge_budget`` is the allowed number of hedges and retries for each
    first attempt.  A hedge is sent after ``hedge_after_ms`` or, if that is 0,
    after the quantile ``hedge_quantile`` of measured latencies.

    ``batch_window_ms`` is how long a dispatcher waits for further items of a
    batch, ``batch_items`` the most items of one.  ``silent_after_ms`` is when
    an exchange without a response is given up.
    """

    deadline_limit_ms: int = 30_000
    body_limit_bytes: int = 65_536
    terms_limit: int = 16
    key_retention_ms: int = 86_400_000
    queue_per_target: int = 200
    in_flight_per_daemon: int = 2_000
    hedge_budget: float = 0.05
    hedge_quantile: float = 0.98
    hedge_after_ms: float = 0.0
    batch_window_ms: float = 0.0
    batch_items: int = 32
    silent_after_ms: int = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted revision; a daemon replaces it only by a higher one."""

    revision: int
    services: typing.Mapping[str, Service]
    sites: typing.Mapping[str, Site]
    indexes: tuple[str, ...]
    targets: typing.Mapping[str, Target]
    limits: Limits
