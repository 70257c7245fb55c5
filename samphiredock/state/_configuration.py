"""The compiled configuration: what is in force at a daemon.

Operators write one base file and an overlay for each site; the compiler
(:mod:`samphiredock.state._compiler`) turns them into these types.
"""

import dataclasses
import enum
import typing

REQUEST_CLASSES = ('interactive', 'batch')


class MergeKind(enum.Enum):
    """How sub-answers become one answer."""

    BY_SCORE = 'by-score'
    BY_KEY = 'by-key'


@dataclasses.dataclass(frozen=True, slots=True)
class Search:
    """One search that a service may run.

    ``least_coverage`` is the smallest part of the key space with which the
    service wants an answer at all; below it the outcome is no answer.
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
    """One unrepeatable operation and the targets that can run it."""

    name: str
    deadline_ms: int
    request_class: str
    targets: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A customer: its searches, operations and limits."""

    name: str
    searches: typing.Mapping[str, Search]
    operations: typing.Mapping[str, Operation]
    weight: float
    max_in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """A data centre: its region and its part of the common capacity.

    ``share`` is the guaranteed part, ``share_cap`` the most it may use
    while the others leave capacity idle; ``service_caps`` are this site's
    own tighter caps for single services.
    """

    name: str
    region: str
    share: float
    share_cap: float
    service_caps: typing.Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A back end: where it is and what it allows in total."""

    name: str
    site: str
    url: str
    slots: int
    connections: int
    connect_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Numbers that hold for the whole system.

    ``hedge_after_ms`` is a fixed delay of hedges, in place of the quantile;
    0 leaves the delay to the quantile.
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
    """One accepted revision; a daemon only ever applies a higher one."""

    revision: int
    services: typing.Mapping[str, Service]
    sites: typing.Mapping[str, Site]
    indexes: tuple[str, ...]
    targets: typing.Mapping[str, Target]
    limits: Limits
