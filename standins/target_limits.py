"""Slot and connection limits of the target stand-in."""

import asyncio
import contextlib
import dataclasses
import typing

from aiohttp import web
import msgspec


class Stats(msgspec.Struct):
    """Counters of a target's load and of breaches of its limits."""

    items: int = 0
    batches: int = 0
    runs: int = 0
    slot_breaches: int = 0
    connection_breaches: int = 0
    peak_running: int = 0
    peak_connections: int = 0
    shed: int = 0
    running: int = 0


@dataclasses.dataclass(frozen=True)
class Capacity:
    """Limits of one target.

    ``connect_ms`` is the time that accepting a connection takes.
    """

    slots: int
    connections: int
    connect_ms: float


class Limits:
    """Counts exchanges and connections against a capacity.

    Exchanges beyond the slots wait, connections beyond the limit are accepted;
    both are counted as breaches.
    """

    def __init__(self, capacity: Capacity, stats: Stats) -> None:
        self._capacity = capacity
        self._stats = stats
        self._slots = asyncio.Semaphore(capacity.slots)
        self._seen: set[int] = set()
        self.server: web.Server | None = None

    @property
    def running(self) -> int:
        """Number of exchanges, including those that wait for a slot."""
        return self._stats.running

    @property
    def load(self) -> float:
        """Exchanges per slot."""
        return self.running / self._capacity.slots

    @contextlib.asynccontextmanager
    async def slot(self) -> typing.AsyncIterator[None]:
        """Hold a slot, waiting until one is free."""
        stats = self._stats
        stats.running += 1
        stats.peak_running = max(stats.peak_running, stats.running)
        if stats.running > self._capacity.slots:
            stats.slot_breaches += 1
        try:
            async with self._slots:
                yield
        finally:
            stats.running -= 1

    async def admit_connection(self, request: web.Request) -> int:
        """Count a connection at its first request; return its client port."""
        transport = request.transport
        if transport is None:
            raise web.HTTPServiceUnavailable()
        number = transport.get_extra_info('peername')[1]
        if number in self._seen:
            return number
        open_now = self._open_connections()
        self._seen = {port for port in self._seen if port in open_now}
        self._seen.add(number)
        peak = max(self._stats.peak_connections, len(open_now))
        self._stats.peak_connections = peak
        if len(open_now) > self._capacity.connections:
            self._stats.connection_breaches += 1
        if self._capacity.connect_ms:
            await asyncio.sleep(self._capacity.connect_ms / 1000.0)
        return number

    def _open_connections(self) -> set[int]:
        handlers = self.server.connections if self.server else []
        transports = [handler.transport for handler in handlers]
        return {
            transport.get_extra_info('peername')[1]
            for transport in transports
            if transport is not None and not transport.is_closing()
        }
