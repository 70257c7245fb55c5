"""A store in memory that can be cut off, be slow, and lose its last writes."""

import dataclasses
import typing

from returns import result

from samphiredock.coordination import _pause
from samphiredock import timers
from samphiredock import transport

_Kind = transport.StoreErrorKind


@dataclasses.dataclass(frozen=True, slots=True)
class _Copy:
    """The objects of the store at a time."""

    at_ms: float
    revision: int
    objects: dict[str, transport.StoredObject]


class RollbackStore:
    """Holds objects; ``cut`` are the daemons that do not reach it.

    ``delay_ms`` returns how long each reply is on its way.
    """

    def __init__(self, clock: timers.Timers) -> None:
        self._clock = clock
        self.objects: dict[str, transport.StoredObject] = {}
        self.era = 1
        self.cut: set[str] = set()
        self.delay_ms: typing.Callable[[], float] = lambda: 0.0
        self._revision = 0
        self._copies = [_Copy(clock.now_ms(), 0, {})]

    def client(self, name: str) -> 'RollbackStoreClient':
        """Return the client of one daemon."""
        return RollbackStoreClient(self, name, self._clock)

    def roll_back(self, age_ms: float) -> None:
        """Lose all writes of the last ``age_ms``, and begin a new era."""
        until_ms = self._clock.now_ms() - age_ms
        kept = [copy for copy in self._copies if copy.at_ms <= until_ms]
        self._copies = kept or self._copies[:1]
        copy = self._copies[-1]
        self._revision, self.objects = copy.revision, dict(copy.objects)
        self.era += 1

    def write(
        self, key: str, value: bytes, expected_version: int
    ) -> result.Result[int, transport.StoreError]:
        """Write an object if its version is the expected one."""
        held = self.objects.get(key)
        version = held.version if held else transport.CREATE_ONLY
        if version != expected_version:
            return _failure(_Kind.CONFLICT)
        self._revision += 1
        self.objects[key] = transport.StoredObject(key, self._revision, value)
        self._copies.append(
            _Copy(self._clock.now_ms(), self._revision, dict(self.objects))
        )
        return result.Success(self._revision)


class RollbackStoreClient:
    """One daemon's access to the store."""

    def __init__(
        self, store: RollbackStore, name: str, clock: timers.Timers
    ) -> None:
        self._store = store
        self._name = name
        self._clock = clock
        self._era = 0

    def era(self) -> int:
        """Return the newest era that a reply has shown."""
        return self._era

    async def get(
        self, key: str
    ) -> result.Result[transport.StoredObject, transport.StoreError]:
        """Return an object as it is now; the reply comes after a delay."""
        if self._name in self._store.cut:
            return _failure(_Kind.UNAVAILABLE)
        stored, era = self._store.objects.get(key), self._store.era
        await self._delay()
        self._era = max(self._era, era)
        if stored is None:
            return _failure(_Kind.NOT_FOUND)
        return result.Success(stored)

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> result.Result[int, transport.StoreError]:
        """Write an object if its version is the expected one."""
        if self._name in self._store.cut:
            return _failure(_Kind.LOST)
        await self._delay()
        self._era = max(self._era, self._store.era)
        return self._store.write(key, value, expected_version)

    async def _delay(self) -> None:
        delay_ms = self._store.delay_ms()
        if delay_ms:
            await _pause.pause(self._clock, delay_ms)


def _failure(
    kind: transport.StoreErrorKind,
) -> result.Failure[transport.StoreError]:
    return result.Failure(transport.StoreError(kind, 'by the test'))
