"""An in-memory platform with the faults that the real one has.

It implements ``transport.Platform``; time comes from the test's timers and
chance from a seeded source, so that a run is the same each time.
"""

import asyncio
import collections
import dataclasses
import enum
import random

from returns import result

from samphiredock import timers
from samphiredock import transport
from tests import fakes_run


class Fault(enum.Enum):
    """What can befall one call."""

    CONFLICT = 'conflict'
    CONFLICT_AFTER = 'conflict with the own effect'
    OUTAGE_AFTER = 'refused, with the own effect'
    LOST_BEFORE = 'lost before the effect'
    LOST_AFTER = 'lost after the effect'
    LATE = 'lost, with the effect some time later'
    STALE = 'stale read'
    OUTAGE = 'outage'


@dataclasses.dataclass(slots=True)
class _Object:
    version: int
    value: bytes


class FakePlatform:
    """Objects in memory.

    ``faults`` are drawn for each call with the given chances; ``script``
    holds faults for the next puts, whatever their chance; ``outage``
    refuses every call, ``silent`` answers none.

    Parameters
    ----------
    latency_ms
        Longest time of a call, drawn evenly from 0; 0 answers in one turn
        of the event loop.
    """

    def __init__(
        self,
        clock: timers.Timers,
        randomness: random.Random,
        latency_ms: float = 0.0,
    ) -> None:
        self._clock = clock
        self._random = randomness
        self._latency_ms = latency_ms
        self.objects: dict[str, _Object] = {}
        self._before: dict[str, _Object] = {}
        self.chances: dict[Fault, float] = {}
        self.script: collections.deque[Fault | None] = collections.deque()
        self.outage = False
        self.silent = False
        self.calls: collections.Counter[str] = collections.Counter()
        self.faults: collections.Counter[Fault] = collections.Counter()

    async def get(
        self, key: str
    ) -> result.Result[transport.StoredObject, transport.StoreError]:
        """Read one object, perhaps as it was before the last write."""
        await self._pass('get')
        if self._is_out():
            return _failed(transport.StoreErrorKind.UNAVAILABLE)
        if self._drawn(Fault.LOST_BEFORE):
            return _failed(transport.StoreErrorKind.LOST)
        found = self.objects.get(key)
        if self._before.get(key) is not None and self._drawn(Fault.STALE):
            found = self._before[key]
        await self._pass('')
        if found is None:
            return _failed(transport.StoreErrorKind.NOT_FOUND)
        return result.Success(
            transport.StoredObject(key, found.version, found.value)
        )

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> result.Result[int, transport.StoreError]:
        """Write if the version is as expected, or as the fault has it."""
        await self._pass('put')
        if self._is_out():
            return _failed(transport.StoreErrorKind.UNAVAILABLE)
        if len(value) > transport.VALUE_LIMIT_BYTES:
            return _failed(transport.StoreErrorKind.REFUSED)
        fault = self._next_fault()
        if fault is Fault.CONFLICT and key in self.objects:
            self.objects[key].version += 1
        if fault is Fault.LOST_BEFORE:
            return _failed(transport.StoreErrorKind.LOST)
        if fault is Fault.LATE:
            self._clock.after(
                self._random.uniform(1, 400),
                lambda: self._write(key, value, expected_version),
            )
            return _failed(transport.StoreErrorKind.LOST)
        version = self._write(key, value, expected_version)
        await self._pass('')
        # An HTTP client that sends a PUT again after a lost connection
        # meets its own first one, or an outage.
        if fault is Fault.CONFLICT_AFTER:
            return _failed(transport.StoreErrorKind.CONFLICT)
        if fault is Fault.OUTAGE_AFTER:
            return _failed(transport.StoreErrorKind.UNAVAILABLE)
        if fault is Fault.LOST_AFTER:
            return _failed(transport.StoreErrorKind.LOST)
        if version is None:
            return _failed(transport.StoreErrorKind.CONFLICT)
        return result.Success(version)

    async def delete(
        self, key: str, expected_version: int
    ) -> result.Result[int, transport.StoreError]:
        """Delete if the version is as expected."""
        await self._pass('delete')
        if self._is_out():
            return _failed(transport.StoreErrorKind.UNAVAILABLE)
        found = self.objects.get(key)
        if found is None:
            return _failed(transport.StoreErrorKind.NOT_FOUND)
        if found.version != expected_version:
            return _failed(transport.StoreErrorKind.CONFLICT)
        del self.objects[key]
        return result.Success(expected_version)

    async def scan(
        self, prefix: str
    ) -> result.Result[
        tuple[transport.StoredObject, ...], transport.StoreError
    ]:
        """Read all objects below a prefix."""
        await self._pass('scan')
        if self._is_out():
            return _failed(transport.StoreErrorKind.UNAVAILABLE)
        return result.Success(
            tuple(
                transport.StoredObject(key, found.version, found.value)
                for key, found in sorted(self.objects.items())
                if key.startswith(prefix)
            )
        )

    async def watch(
        self, prefix: str, position: int, timeout_ms: int
    ) -> result.Result[transport.WatchPage, transport.StoreError]:
        """Return everything below the prefix at once."""
        found = await self.scan(prefix)
        return found.map(
            lambda rows: transport.WatchPage(rows, (), position + 1)
        )

    async def hosts(
        self,
    ) -> result.Result[tuple[transport.Host, ...], transport.StoreError]:
        """Return an empty list."""
        return result.Success(())

    def _write(
        self, key: str, value: bytes, expected_version: int
    ) -> int | None:
        found = self.objects.get(key)
        version = found.version if found else transport.CREATE_ONLY
        if version != expected_version:
            return None
        if found is not None:
            self._before[key] = _Object(found.version, found.value)
        self.objects[key] = _Object(version + 1, value)
        return version + 1

    async def _pass(self, call: str) -> None:
        if call:
            self.calls[call] += 1
        while self.silent:
            await fakes_run.pause(self._clock, 10)
        if not self._latency_ms:
            await asyncio.sleep(0)
            return
        waker = asyncio.get_running_loop().create_future()
        self._clock.after(
            self._random.uniform(0, self._latency_ms / 2),
            lambda: waker.done() or waker.set_result(None),
        )
        await waker

    def _is_out(self) -> bool:
        if self.outage:
            self.faults[Fault.OUTAGE] += 1
        return self.outage

    def _drawn(self, fault: Fault) -> bool:
        drawn = self._random.random() < self.chances.get(fault, 0.0)
        self.faults[fault] += drawn
        return drawn

    def _next_fault(self) -> Fault | None:
        if self.script:
            fault = self.script.popleft()
            if fault is not None:
                self.faults[fault] += 1
            return fault
        kinds = (
            Fault.CONFLICT,
            Fault.CONFLICT_AFTER,
            Fault.OUTAGE_AFTER,
            Fault.LOST_BEFORE,
            Fault.LOST_AFTER,
            Fault.LATE,
        )
        for fault in kinds:
            if self._drawn(fault):
                return fault
        return None


def _failed(
    kind: transport.StoreErrorKind,
) -> result.Failure[transport.StoreError]:
    return result.Failure(transport.StoreError(kind, f'fake: {kind.value}'))
