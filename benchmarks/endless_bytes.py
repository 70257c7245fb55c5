"""Measures what a peer that writes bytes without end costs a daemon.

``target``: a target writes to the connection of one exchange of the entry
daemon's client; ``caller``: a caller writes to its server.  ``link`` and
``store`` are the clients of our own targets and of the object store.  Each
way runs in a process of its own, and the peer in this one, whose time is not
counted.  ``many`` is the memory with 50 such targets at once.
"""

import asyncio
import contextlib
import gc
import json
import math
import multiprocessing
import pathlib
import resource
import socket
import threading
import time
import typing

import click

from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport
from standins import endless_bytes

_TIMEOUT_MS = 2_000.0
_CALLER_S = 3.0
_MANY = 50
_BLOCK_BYTES = 65_536
_TICK_S = 0.002
_PEAK_RSS_RESET = b'5'


class _Lag:
    """Measures how long the event loop is held."""

    def __init__(self) -> None:
        self.longest_s = 0.0
        self._last_s = time.monotonic()
        self._tick()

    def _tick(self) -> None:
        now_s = time.monotonic()
        self.longest_s = max(self.longest_s, now_s - self._last_s - _TICK_S)
        self._last_s = now_s
        self._handle = asyncio.get_running_loop().call_later(
            _TICK_S, self._tick
        )


def _peak_mb() -> float:
    for line in pathlib.Path('/proc/self/status').read_text().splitlines():
        if line.startswith('VmHWM'):
            return int(line.split()[1]) / 1024.0
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0


def _cpu_ms() -> float:
    return time.process_time() * 1000.0


async def _measure(
    work: typing.Callable[[], typing.Awaitable[object]],
) -> dict[str, object]:
    """Return what one run of ``work`` takes, and how it ended."""
    gc.collect()
    with contextlib.suppress(OSError):
        pathlib.Path('/proc/self/clear_refs').write_bytes(_PEAK_RSS_RESET)
    lag, cpu_ms, peak_mb = _Lag(), _cpu_ms(), _peak_mb()
    began_s = time.monotonic()
    ended = await work()
    return {
        'cpu_ms': round(_cpu_ms() - cpu_ms, 1),
        'held_ms': round(lag.longest_s * 1000.0, 1),
        'above_mb': round(_peak_mb() - peak_mb, 1),
        'took_ms': round((time.monotonic() - began_s) * 1000.0),
        'ended': str(ended)[:90],
    }


def _request() -> protocol.HttpRequest:
    return protocol.HttpRequest('GET', '/', (('Request-Id', 'a'),))


def _is_reply(reply: protocol.HttpReply) -> bool:
    return reply.header('Request-Id') == 'a'


async def _as_pool(address: str, count: int) -> dict[str, object]:
    clock = timers.LoopTimers()
    pool = transport.ConnectionPool(clock, lambda target: 1)

    async def exchange(number: int) -> object:
        target = state.LiveTarget(f't{number}', 's', address, 'here', 2)
        return await pool.exchange(target, _request(), _TIMEOUT_MS, _is_reply)

    async def work() -> object:
        found = await asyncio.gather(*map(exchange, range(count)))
        return found[0]

    await exchange(-1)
    return await _measure(work)


async def _as_link(address: str, count: int) -> dict[str, object]:
    link = transport.HttpTargetLink(
        state.Target('t', 'here', f'http://{address}', 2, 4, 5)
    )
    return await _measure(lambda: link.health(_TIMEOUT_MS))


async def _as_store(address: str, count: int) -> dict[str, object]:
    calls = transport.PooledStoreCalls(
        timers.LoopTimers(), f'http://{address}'
    )
    return await _measure(
        lambda: calls.call('GET', '/objects/x', timeout_ms=int(_TIMEOUT_MS))
    )


_CLIENTS = {'target': _as_pool, 'link': _as_link, 'store': _as_store}


async def _as_server(pipe: typing.Any) -> dict[str, object]:
    async def handle(*request: object) -> protocol.HttpReply:
        return protocol.HttpReply(200)

    clock = timers.LoopTimers()
    counters = metrics.Metrics('benchmark')
    callbacks = transport.EntryCallbacks(
        handle, lambda: False, state.CallerLimits
    )
    server = transport.EntryServer(callbacks, counters, clock)
    await server.start('127.0.0.1:0', 16)
    pipe.send(server.address())

    async def work() -> object:
        await asyncio.sleep(_CALLER_S)
        return ''

    return await _measure(work)


def _run_client(
    pipe: typing.Any, client: str, address: str, count: int
) -> None:
    pipe.send(asyncio.run(_CLIENTS[client](address, count)))


def _run_server(pipe: typing.Any) -> None:
    pipe.send(asyncio.run(_as_server(pipe)))


def _write_endless(
    peer: socket.socket, way: endless_bytes.Way, ends_s: float
) -> int:
    """Write until the other end closes; return how many bytes were sent."""
    first, repeated = way
    block = repeated * max(1, _BLOCK_BYTES // max(1, len(repeated)))
    sent = 0
    with contextlib.suppress(OSError):
        peer.sendall(first)
        while repeated and time.monotonic() < ends_s:
            sent += peer.send(block)
    return sent


class _EndlessTarget:
    """Writes ``way`` to each connection after an ordinary first exchange."""

    def __init__(self, way: endless_bytes.Way) -> None:
        self._way = way
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=64)
        self._accepted = 0
        self.address = '127.0.0.1:%d' % self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                peer, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(peer,), daemon=True
                ).start()

    def _serve(self, peer: socket.socket) -> None:
        with peer, contextlib.suppress(OSError):
            while peer.recv(65_536):
                self._accepted += 1
                way = (
                    self._way if self._accepted > 1 else endless_bytes.ORDINARY
                )
                _write_endless(peer, way, time.monotonic() + math.inf)

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()


def _play_target(
    client: str, way: endless_bytes.Way, count: int = 1
) -> dict[str, object]:
    target = _EndlessTarget(way)
    if client != 'target':
        # These clients make no exchange before the measured one.
        target._accepted = 1
    context = multiprocessing.get_context('spawn')
    here, there = context.Pipe()
    process = context.Process(
        target=_run_client, args=(there, client, target.address, count)
    )
    process.start()
    found = here.recv()
    process.join()
    target.close()
    return found


def _play_caller(way: endless_bytes.Way) -> dict[str, object]:
    context = multiprocessing.get_context('spawn')
    here, there = context.Pipe()
    process = context.Process(target=_run_server, args=(there,))
    process.start()
    host, _, port = here.recv().rpartition(':')
    with socket.create_connection((host, int(port))) as peer:
        peer.settimeout(_CALLER_S)
        began_s = time.monotonic()
        sent = _write_endless(peer, way, began_s + _CALLER_S)
        open_s = time.monotonic() - began_s
        found = here.recv()
    process.join()
    found |= {'sent_mb': round(sent / 1e6, 1), 'open_s': round(open_s, 2)}
    return found


@click.command()
@click.option(
    '--only',
    type=click.Choice(['target', 'caller', 'link', 'store', 'many']),
    multiple=True,
)
def main(only: tuple[str, ...]) -> None:
    """Print a line of JSON for each way that bytes come without end."""
    parts = only or ('target', 'caller', 'link', 'store', 'many')
    for part in parts:
        ways = (
            endless_bytes.REQUESTS
            if part == 'caller'
            else endless_bytes.REPLIES
        )
        for name, way in ways.items():
            if part == 'caller':
                found = _play_caller(way)
            elif part == 'many':
                found = _play_target('target', way, _MANY)
            else:
                found = _play_target(part, way)
            print(json.dumps({'part': part, 'way': name} | found), flush=True)


if __name__ == '__main__':
    main()
