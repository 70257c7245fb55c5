"""The platform's object service in memory, with its faults.

A :class:`MemoryStore` holds the objects and the fault switches; each daemon
of a test accesses it through a :class:`MemoryPlatform`.  Time comes from the
test's clock and randomness is seeded, so that runs are reproducible.
"""

import asyncio
import collections
import enum
import random
import typing

from returns import result

from samphiredock.coordination import _pause
from samphiredock import timers
from samphiredock import transport

_Kind = transport.StoreErrorKind
_WATCH_STEP_MS = 100.0
_SILENT_STEP_MS = 10.0


class Fault(enum.Enum):
    """A fault of one call."""

    CONFLICT = 'conflict'
    CONFLICT_AFTER = 'conflict with the own effect'
    OUTAGE_AFTER = 'refused, with the own effect'
    LOST_BEFORE = 'lost before the effect'
    LOST_AFTER = 'lost after the effect'
    LATE = 'lost, with the effect some time later'
    STALE = 'stale read'
    OUTAGE = 'outage'


_PUT_FAULTS = tuple(
    fault for fault in Fault if fault not in (Fault.STALE, Fault.OUTAGE)
)

# An HTTP client that retries a PUT after a lost connection conflicts with
# its own first attempt, or meets an outage.
_ANSWERS_AFTER_EFFECT = {
    Fault.CONFLICT_AFTER: _Kind.CONFLICT,
    Fault.OUTAGE_AFTER: _Kind.UNAVAILABLE,
    Fault.LOST_AFTER: _Kind.LOST,
}


class Host(typing.Protocol):
    """A machine that may be frozen or dead when a response arrives."""

    async def wait_until_running(self) -> None:
        """Wait until the machine is running."""


class MemoryStore:
    """Objects and fault switches, shared by all clients of a test.

    ``chances`` holds the probability per call of each fault; ``script``
    holds the faults of the next puts, used before any are drawn; ``outage``
    refuses every call, ``silent`` answers none.  ``faults`` counts the faults
    that took effect, ``calls`` the calls by name, and ``waiting`` the
    watches that wait now.
    """

    def __init__(self, randomness: random.Random) -> None:
        self.random = randomness
        self.objects: dict[str, transport.StoredObject] = {}
        self.previous: dict[str, transport.StoredObject] = {}
        self.deleted: dict[str, int] = {}
        self.position = 0
        self.chances: dict[Fault, float] = {}
        self.script: collections.deque[Fault | None] = collections.deque()
        self.outage = False
        self.silent = False
        self.calls: collections.Counter[str] = collections.Counter()
        self.faults: collections.Counter[Fault] = collections.Counter()
        self.waiting = 0

    def write(self, key: str, value: bytes) -> int:
        """Store a value unconditionally; return its version."""
        self.position += 1
        if key in self.objects:
            self.previous[key] = self.objects[key]
        self.objects[key] = transport.StoredObject(key, self.position, value)
        return self.position

    def write_if(
        self, key: str, value: bytes, expected_version: int
    ) -> int | None:
        """Store a value if the version matches; return the new version."""
        found = self.objects.get(key)
        version = found.version if found else transport.CREATE_ONLY
        return self.write(key, value) if version == expected_version else None

    def remove(self, key: str) -> None:
        """Delete an object."""
        self.position += 1
        self.deleted[key] = self.position
        del self.objects[key]

    def is_out(self) -> bool:
        """Return whether an outage refuses this call, and count it."""
        self.faults[Fault.OUTAGE] += self.outage
        return self.outage

    def draw(self, fault: Fault) -> bool:
        """Draw whether a fault hits this call, and count it."""
        chance = self.chances.get(fault, 0.0)
        drawn = chance > 0.0 and self.random.random() < chance
        self.faults[fault] += drawn
        return drawn

    def next_put_fault(self) -> Fault | None:
        """Return the scripted fault of this put, or a drawn one."""
        if not self.script:
            return next(filter(self.draw, _PUT_FAULTS), None)
        fault = self.script.popleft()
        if fault is not None:
            self.faults[fault] += 1
        return fault


class MemoryPlatform:
    """One client of a :class:`MemoryStore`; a ``transport.Platform``.

    Parameters
    ----------
    store
        The objects.
    clock
        Clock of the network, which runs on while a host is frozen.
    way_ms
        Range of the latency of each direction; with ``(0, 0)`` each takes
        one turn of the event loop.
    host
        The client's machine; while it is frozen, responses wait.
    """

    def __init__(
        self,
        store: MemoryStore,
        clock: timers.Timers,
        way_ms: tuple[float, float] = (0.0, 0.0),
        host: Host | None = None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._way_ms = way_ms
        self._host = host

    async def get(
        self, key: str
    ) -> result.Result[transport.StoredObject, transport.StoreError]:
        """Read one object; a stale read returns its previous version."""
        if not await self._arrives('get'):
            return await self._failed(_Kind.UNAVAILABLE)
        if self._store.draw(Fault.LOST_BEFORE):
            return await self._failed(_Kind.LOST)
        found = self._store.objects.get(key)
        if key in self._store.previous and self._store.draw(Fault.STALE):
            found = self._store.previous[key]
        await self._return()
        if found is None:
            return await self._failed(_Kind.NOT_FOUND)
        return result.Success(found)

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> result.Result[int, transport.StoreError]:
        """Write if the version matches, subject to a fault."""
        store = self._store
        if not await self._arrives('put'):
            return await self._failed(_Kind.UNAVAILABLE)
        if len(value) > transport.VALUE_LIMIT_BYTES:
            return await self._failed(_Kind.REFUSED)
        fault = store.next_put_fault()
        if fault is Fault.CONFLICT and key in store.objects:
            store.write(key, store.objects[key].value)
        if fault is Fault.LOST_BEFORE:
            return await self._failed(_Kind.LOST)
        if fault is Fault.LATE:
            self._clock.after(
                store.random.uniform(1, 400),
                lambda: store.write_if(key, value, expected_version),
            )
            return await self._failed(_Kind.LOST)
        version = store.write_if(key, value, expected_version)
        await self._return()
        if fault in _ANSWERS_AFTER_EFFECT:
            return await self._failed(_ANSWERS_AFTER_EFFECT[fault])
        if version is None:
            return await self._failed(_Kind.CONFLICT)
        return result.Success(version)

    async def delete(
        self, key: str, expected_version: int
    ) -> result.Result[int, transport.StoreError]:
        """Delete if the version matches."""
        if not await self._arrives('delete'):
            return await self._failed(_Kind.UNAVAILABLE)
        found = self._store.objects.get(key)
        if found is None:
            return await self._failed(_Kind.NOT_FOUND)
        if found.version != expected_version:
            return await self._failed(_Kind.CONFLICT)
        self._store.remove(key)
        await self._return()
        return result.Success(expected_version)

    async def scan(
        self, prefix: str
    ) -> result.Result[
        tuple[transport.StoredObject, ...], transport.StoreError
    ]:
        """Read all objects with a key prefix."""
        if not await self._arrives('scan'):
            return await self._failed(_Kind.UNAVAILABLE)
        await self._return()
        return result.Success(self._page(prefix, 0, False).changed)

    async def watch(
        self, prefix: str, position: int, timeout_ms: int
    ) -> result.Result[transport.WatchPage, transport.StoreError]:
        """Wait for changes of objects with a key prefix."""
        if not await self._arrives('watch'):
            return await self._failed(_Kind.UNAVAILABLE)
        stale = position == 0 and self._store.draw(Fault.STALE)
        self._store.waiting += timeout_ms > 0
        try:
            page = await self._changes(prefix, position, timeout_ms, stale)
        finally:
            self._store.waiting -= timeout_ms > 0
        await self._return()
        if page is None:
            return await self._failed(_Kind.LOST)
        return result.Success(page)

    async def hosts(
        self,
    ) -> result.Result[tuple[transport.Host, ...], transport.StoreError]:
        """Return an empty list."""
        self._store.calls['hosts'] += 1
        return result.Success(())

    async def _changes(
        self, prefix: str, position: int, timeout_ms: int, stale: bool
    ) -> transport.WatchPage | None:
        """Return the next page, or None if an outage ends the watch."""
        until_ms = self._clock.now_ms() + timeout_ms
        while True:
            page = self._page(prefix, position, stale)
            late = self._clock.now_ms() >= until_ms
            if page.changed or page.gone or position == 0 or late:
                return page
            seen = self._store.position
            while self._store.position == seen and not late:
                await _pause.pause(self._clock, _WATCH_STEP_MS)
                late = self._clock.now_ms() >= until_ms
                if self._store.outage:
                    return None

    def _page(
        self, prefix: str, position: int, stale: bool
    ) -> transport.WatchPage:
        store = self._store
        changed = tuple(
            store.previous.get(key, row) if stale else row
            for key, row in sorted(store.objects.items())
            if key.startswith(prefix) and row.version > position
        )
        gone = tuple(
            key
            for key, at in store.deleted.items()
            if key.startswith(prefix)
            and position < at
            and key not in store.objects
        )
        return transport.WatchPage(
            changed, gone if position else (), store.position
        )

    async def _arrives(self, call: str) -> bool:
        self._store.calls[call] += 1
        await self._travel()
        return not self._store.is_out()

    async def _travel(self) -> None:
        while self._store.silent:
            await _pause.pause(self._clock, _SILENT_STEP_MS)
        least_ms, most_ms = self._way_ms
        if not most_ms:
            await asyncio.sleep(0)
            return
        way_ms = self._store.random.uniform(least_ms, most_ms)
        await _pause.pause(self._clock, way_ms)

    async def _return(self) -> None:
        await self._travel()
        if self._host is not None:
            await self._host.wait_until_running()

    async def _failed(
        self, kind: transport.StoreErrorKind
    ) -> result.Failure[transport.StoreError]:
        if self._host is not None:
            await self._host.wait_until_running()
        return result.Failure(
            transport.StoreError(kind, f'memory: {kind.value}')
        )
