"""What the system asks of the platform's object service.

Every call returns a value: ``Success`` or ``Failure`` with a
:class:`StoreError`.  The difference between *unavailable* (not applied) and
*lost* (perhaps applied) matters to the claims and to ``config apply``, so
it is part of the type.
"""

import dataclasses
import enum
import typing

from returns import result

CREATE_ONLY = 0
"""``expected_version`` of a put that must not find the object."""

VALUE_LIMIT_BYTES = 1_000_000


class StoreErrorKind(enum.Enum):
    """Why a call gave no value.

    ``FORGOTTEN``: the store has dropped the changes after the position of
    a watch; reading everything anew is the only way on.
    """

    NOT_FOUND = 'not-found'
    CONFLICT = 'conflict'
    UNAVAILABLE = 'unavailable'
    LOST = 'lost'
    REFUSED = 'refused'
    FORGOTTEN = 'forgotten'


@dataclasses.dataclass(frozen=True, slots=True)
class StoreError:
    """A failed call; after ``LOST`` a write may have taken effect."""

    kind: StoreErrorKind
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object and the version that a conditional update must name."""

    key: str
    version: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class WatchPage:
    """Objects changed after ``position``; ``gone`` lists deleted keys.

    A ``whole`` page holds everything there is: what it lacks is gone too.
    """

    changed: tuple[StoredObject, ...]
    gone: tuple[str, ...]
    position: int
    whole: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """One row of the platform's lagging list."""

    name: str
    leaving: bool


class Objects(typing.Protocol):
    """The object service, as the coordination layer uses it."""

    async def get(self, key: str) -> result.Result[StoredObject, StoreError]:
        """Read one object."""

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> result.Result[int, StoreError]:
        """Write if the stored version is as expected; return the new one.

        ``CREATE_ONLY`` expects that there is no such object.
        """

    async def delete(
        self, key: str, expected_version: int
    ) -> result.Result[int, StoreError]:
        """Delete if the stored version is as expected."""

    async def scan(
        self, prefix: str, may_be_stale: bool = False
    ) -> result.Result[tuple[StoredObject, ...], StoreError]:
        """Read all objects below a prefix.

        With ``may_be_stale`` the answer may be some seconds old, which
        costs the store less.
        """

    async def watch(
        self, prefix: str, position: int, timeout_ms: int
    ) -> result.Result[WatchPage, StoreError]:
        """Wait for changes below a prefix after ``position``.

        Position 0 returns everything there is at once.
        """


class Platform(Objects, typing.Protocol):
    """The object service with the platform's list of hosts."""

    async def hosts(
        self,
    ) -> result.Result[tuple[Host, ...], StoreError]:
        """Read the lagging list of live and leaving hosts."""
