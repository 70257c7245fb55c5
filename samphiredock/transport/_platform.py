"""The interface of the platform's object store and host list.

Calls do not raise: they return ``Success``, or ``Failure`` with a
:class:`StoreError`.  Its kind tells whether a failed write was certainly not
applied (``UNAVAILABLE``) or may have been (``LOST``), which claims and
``config apply`` have to know.
"""

import dataclasses
import enum
import typing

from returns import result

CREATE_ONLY = 0
"""``expected_version`` of a put for an object that must not exist yet."""

VALUE_LIMIT_BYTES = 1_000_000


class StoreErrorKind(enum.Enum):
    """Why a call failed.

    ``CONFLICT``: the stored version is not the expected one.
    ``UNAVAILABLE``: the call was not applied.  ``LOST``: it may have been
    applied.  ``REFUSED``: the value is too large.  ``FORGOTTEN``: the store
    no longer has the changes after the position of a watch, so the caller
    must read everything again from position 0.  ``ROLLED_BACK``: so must it,
    since the store has lost writes, and gives their positions again.
    ``UNREADABLE``: the reply to a read is no reply or over the limits; the
    same watch would get it again, so everything must be read again, too.
    """

    NOT_FOUND = 'not-found'
    CONFLICT = 'conflict'
    UNAVAILABLE = 'unavailable'
    LOST = 'lost'
    REFUSED = 'refused'
    FORGOTTEN = 'forgotten'
    ROLLED_BACK = 'rolled-back'
    UNREADABLE = 'unreadable'


@dataclasses.dataclass(frozen=True, slots=True)
class StoreError:
    """A failed call; after ``LOST`` a write may have been applied."""

    kind: StoreErrorKind
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object with its version, which a conditional write must state."""

    key: str
    version: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class WatchPage:
    """Result of a watch: changed objects and the keys of deleted ones.

    ``position`` is where the next watch continues, 0 if the store did not
    say so in a readable way: then everything must be read again.  A page with
    ``whole`` lists all objects below the prefix: one that it does not list
    does not exist any more.
    """

    changed: tuple[StoredObject, ...]
    gone: tuple[str, ...]
    position: int
    whole: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """One host in the platform's host list, which may be out of date.

    A host that is ``leaving`` should get no new work.
    """

    name: str
    leaving: bool


class Objects(typing.Protocol):
    """The object store, as the coordination layer uses it."""

    async def get(self, key: str) -> result.Result[StoredObject, StoreError]:
        """Return one object."""

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> result.Result[int, StoreError]:
        """Write if the stored version is ``expected_version``.

        Returns the new version.  ``CREATE_ONLY`` requires that the object
        does not exist.
        """

    async def delete(
        self, key: str, expected_version: int
    ) -> result.Result[int, StoreError]:
        """Delete if the stored version is ``expected_version``.

        Returns a version, whose meaning depends on the store.
        """

    async def scan(
        self, prefix: str, may_be_stale: bool = False
    ) -> result.Result[tuple[StoredObject, ...], StoreError]:
        """Return all objects below a prefix.

        With ``may_be_stale`` the result may be some seconds old, which
        allows the store to serve it at a lower cost.
        """

    async def watch(
        self, prefix: str, position: int, timeout_ms: int
    ) -> result.Result[WatchPage, StoreError]:
        """Wait for changes below a prefix after ``position``.

        Position 0 returns all objects at once.
        """

    def era(self) -> int:
        """Return the newest era that a reply of the store has shown.

        It rises when the store has come back without its last writes.
        Nothing that was read or written in an earlier era may still hold.
        """


class Platform(Objects, typing.Protocol):
    """The object store together with the platform's host list."""

    async def hosts(
        self,
    ) -> result.Result[tuple[Host, ...], StoreError]:
        """Return live and leaving hosts; the list may be out of date."""
