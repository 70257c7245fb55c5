"""A platform store in memory whose faults follow a manual clock."""

import dataclasses
import random

from returns import result

from samphiredock.coordination import _pause
from samphiredock import timers
from samphiredock import transport

_Kind = transport.StoreErrorKind
_WATCH_STEP_MS = 100.0


@dataclasses.dataclass
class StoreFaults:
    """Switches; probabilities are of each call."""

    down: bool = False
    lose_answer: float = 0.0
    stale_read: float = 0.0


class FakeStore:
    """The objects, shared by all daemons of a test."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.faults = StoreFaults()
        self.position = 0
        self.objects: dict[str, transport.StoredObject] = {}
        self.previous: dict[str, transport.StoredObject] = {}
        self.calls = 0
        self.waiting = 0
        self.bitten = {'down': 0, 'lose_answer': 0, 'stale_read': 0}

    def bites(self, name: str) -> bool:
        """Whether a fault hits this call; counted."""
        value = getattr(self.faults, name)
        hit = value is True or (value and self.rng.random() < value)
        self.bitten[name] += bool(hit)
        return bool(hit)

    def write(self, key: str, value: bytes) -> int:
        """Store a value whatever is there."""
        self.position += 1
        if key in self.objects:
            self.previous[key] = self.objects[key]
        self.objects[key] = transport.StoredObject(key, self.position, value)
        return self.position


class FakePlatform:
    """One daemon's client of a :class:`FakeStore`."""

    def __init__(
        self, store: FakeStore, clock: timers.Timers, delay_ms: float = 2.0
    ) -> None:
        self._store = store
        self._clock = clock
        self._delay_ms = delay_ms

    async def _call(self) -> result.Failure | None:
        self._store.calls += 1
        await _pause.pause(self._clock, self._delay_ms)
        if self._store.bites('down'):
            return _failure(_Kind.UNAVAILABLE)
        return None

    async def get(self, key: str) -> result.Result:
        """Read one object, perhaps its version before the last."""
        if failed := await self._call():
            return failed
        found = self._store.objects.get(key)
        if key in self._store.previous and self._store.bites('stale_read'):
            found = self._store.previous[key]
        await _pause.pause(self._clock, self._delay_ms)
        return result.Success(found) if found else _failure(_Kind.NOT_FOUND)

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> result.Result:
        """Write under a condition, perhaps losing the answer."""
        if failed := await self._call():
            return failed
        found = self._store.objects.get(key)
        if expected_version != (found.version if found else 0):
            return _failure(_Kind.CONFLICT)
        version = self._store.write(key, value)
        lost = self._store.bites('lose_answer')
        await _pause.pause(self._clock, self._delay_ms)
        return _failure(_Kind.LOST) if lost else result.Success(version)

    async def delete(self, key: str, expected_version: int) -> result.Result:
        """Delete under a condition."""
        if failed := await self._call():
            return failed
        found = self._store.objects.get(key)
        if found is None or found.version != expected_version:
            return _failure(_Kind.CONFLICT)
        del self._store.objects[key]
        return result.Success(found.version)

    async def scan(self, prefix: str) -> result.Result:
        """Read all objects below a prefix."""
        if failed := await self._call():
            return failed
        return result.Success(self._below(prefix, 0, False))

    async def watch(
        self, prefix: str, position: int, timeout_ms: int
    ) -> result.Result:
        """Wait for changes below a prefix."""
        if failed := await self._call():
            return failed
        stale = position == 0 and self._store.bites('stale_read')
        self._store.waiting += timeout_ms > 0
        try:
            return await self._wait(prefix, position, timeout_ms, stale)
        finally:
            self._store.waiting -= timeout_ms > 0

    async def _wait(
        self, prefix: str, position: int, timeout_ms: int, stale: bool
    ) -> result.Result:
        until_ms = self._clock.now_ms() + timeout_ms
        while True:
            changed = self._below(prefix, position, stale)
            late = self._clock.now_ms() >= until_ms
            if changed or position == 0 or late:
                break
            seen = self._store.position
            while self._store.position == seen and not late:
                await _pause.pause(self._clock, _WATCH_STEP_MS)
                late = self._clock.now_ms() >= until_ms
                if self._store.faults.down:
                    return _failure(_Kind.LOST)
        page = transport.WatchPage(changed, (), self._store.position)
        return result.Success(page)

    def _below(
        self, prefix: str, position: int, stale: bool
    ) -> tuple[transport.StoredObject, ...]:
        rows = [
            (self._store.previous.get(row.key, row) if stale else row)
            for row in self._store.objects.values()
            if row.key.startswith(prefix) and row.version > position
        ]
        return tuple(rows)


def _failure(kind: transport.StoreErrorKind) -> result.Failure:
    return result.Failure(transport.StoreError(kind, kind.value))
