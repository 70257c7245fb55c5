"""The faults that a soak run injects, by name.

Each is a coroutine function of the soak and a duration in seconds, which
faults without a duration ignore.
"""

import asyncio
import contextlib
import random
import signal
import typing

from soak import _links
from standins import endless_bytes
from standins import prepared_system


class SoakControl(typing.Protocol):
    """The part of a running soak that faults use."""

    rng: random.Random
    system: prepared_system.PreparedSystem
    links: _links.Links
    version: int

    def publish_version(self, version: int) -> None:
        """Write a new version of the configuration."""

    def draw_running(self) -> str | None:
        """Return a running daemon to disturb, or None."""

    def draw_target(self) -> prepared_system.PreparedTarget:
        """Return a random target."""

    async def kill_daemon(self) -> None:
        """Kill a daemon with SIGKILL and restart it."""

    async def stop_daemon(self) -> None:
        """Stop a daemon gracefully and restart it."""

    async def freeze(self, for_s: float) -> None:
        """Suspend a daemon for a time in seconds."""


NEVER_S = 3_600.0
"""A service time longer than any run: the target never answers."""

_BLOCK_BYTES = 65_536

_SILENT_S = (4.0, NEVER_S)
"""Service times longer than ``_run.STOP_LIMIT_S``."""

Fault = typing.Callable[[SoakControl, float], typing.Awaitable[None]]

_INVALID_ENTRIES: tuple[object, ...] = (
    {'State': 'parked'},
    {'Service': 'shard-1', 'Addr': 'nowhere', 'State': 'ready'},
    ['no', 'entry'],
    'text',
    b'{"Version":' + b'[' * 2_000 + b']' * 2_000 + b'}',
    b'{"Version":"\xff"}',
    b'[NaN, 01]',
    b'"cut off in a text',
    b'\\"' * 32_768,
)
"""Invalid entries that another writer may leave in the target registry; those
in bytes are not JSON, or nested too deeply for its decoders."""


async def _kill(soak: SoakControl, for_s: float) -> None:
    await soak.kill_daemon()


async def _stop(soak: SoakControl, for_s: float) -> None:
    await soak.stop_daemon()


async def _stop_series(soak: SoakControl, for_s: float) -> None:
    """Stop daemons while others are stopping or have just restarted."""
    stops: list[asyncio.Task[None]] = []
    for _ in range(soak.rng.randint(2, 4)):
        stops.append(asyncio.create_task(soak.stop_daemon()))
        await asyncio.wait(stops[-1:], timeout=soak.rng.choice((0.0, for_s)))
    await asyncio.gather(*stops)


async def _freeze(soak: SoakControl, for_s: float) -> None:
    await soak.freeze(for_s)


async def _lose_answers(soak: SoakControl, for_s: float) -> None:
    target = soak.draw_target()
    target.lose_answers = True
    await asyncio.sleep(for_s)
    target.lose_answers = False


async def _endless_bytes(soak: SoakControl, for_s: float) -> None:
    """Let targets write bytes without end."""
    ways = [way for way in endless_bytes.REPLIES.values() if way[1]]
    targets = [soak.draw_target() for _ in range(soak.rng.randint(1, 3))]
    for target in targets:
        target.endless = soak.rng.choice(ways)
    await asyncio.sleep(for_s)
    for target in targets:
        target.endless = None


async def _endless_request(soak: SoakControl, for_s: float) -> None:
    """Let a caller write bytes without end to a daemon."""
    name = soak.draw_running()
    if name is None:
        return
    ways = [way for way in endless_bytes.REQUESTS.values() if way[1]]
    first, repeated = soak.rng.choice(ways)
    block = repeated * max(1, _BLOCK_BYTES // len(repeated))
    host, _, port = soak.system.caller_addresses[name].rpartition(':')
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(for_s):
            _, writer = await asyncio.open_connection(host, int(port))
            with contextlib.closing(writer):
                writer.write(first)
                while True:
                    writer.write(block)
                    await writer.drain()


async def _late_answers(soak: SoakControl, for_s: float) -> None:
    target = soak.draw_target()
    target.repeats_late = True
    await asyncio.sleep(for_s)
    target.repeats_late = False


async def _slow_target(soak: SoakControl, for_s: float) -> None:
    target = soak.draw_target()
    target.delay_s = soak.rng.choice((0.1, 0.4, 3.0))
    await asyncio.sleep(for_s)
    target.delay_s = 0.0


async def _silent_service(soak: SoakControl, for_s: float) -> None:
    """Keep requests at some targets of a service past the stop limit."""
    drawn = soak.draw_target()
    service = soak.rng.choice((prepared_system.DESK, drawn.service))
    targets = [
        target
        for target in soak.system.targets.values()
        if target.service == service
    ]
    silent = targets[: soak.rng.randint(1, len(targets))]
    for target in silent:
        target.delay_s = soak.rng.choice(_SILENT_S)
    await asyncio.sleep(for_s)
    for target in silent:
        target.delay_s = 0.0


async def _restart_target(soak: SoakControl, for_s: float) -> None:
    """Drain and stop a target, then restart it at another address."""
    name = soak.draw_target().target_id
    soak.system.register(name, 'draining')
    await asyncio.sleep(for_s)
    await soak.links.restart_target(name)


async def _drain_target(soak: SoakControl, for_s: float) -> None:
    target = soak.draw_target()
    soak.system.register(target.target_id, 'draining')
    await asyncio.sleep(for_s)
    soak.system.register(target.target_id)


async def _expire_entries(soak: SoakControl, for_s: float) -> None:
    names = sorted(soak.system.targets)
    expired = soak.rng.sample(names, 3)
    for name in expired:
        soak.system.store.remove('servers', name)
    await asyncio.sleep(for_s)
    for name in expired:
        soak.system.register(name)


async def _invalid_entry(soak: SoakControl, for_s: float) -> None:
    store = soak.system.store
    entry = soak.rng.choice(_INVALID_ENTRIES)
    if isinstance(entry, bytes):
        store.put_raw('servers', 'foreign', entry)
    else:
        store.put('servers', 'foreign', entry)
    await asyncio.sleep(for_s)
    store.remove('servers', 'foreign')


async def _store_unavailable(soak: SoakControl, for_s: float) -> None:
    faults = soak.system.store.faults
    faults.status = soak.rng.choice((503, 429))
    await asyncio.sleep(for_s)
    faults.status = 0


async def _store_silent(soak: SoakControl, for_s: float) -> None:
    soak.system.store.faults.silent = True
    await asyncio.sleep(for_s)
    soak.system.store.faults.silent = False


async def _cut_watches(soak: SoakControl, for_s: float) -> None:
    soak.system.store.cut_watches()


async def _forget_history(soak: SoakControl, for_s: float) -> None:
    soak.system.store.forget_history()


async def _store_rolled_back(soak: SoakControl, for_s: float) -> None:
    """The store comes back without the writes of daemons in ``for_s``.

    What operators and targets have written is written again.
    """
    store = soak.system.store
    copy = store.copy()
    await asyncio.sleep(for_s)
    store.roll_back(copy)
    soak.publish_version(soak.version)
    for name in soak.system.targets:
        soak.system.register(name)


async def _new_version(soak: SoakControl, for_s: float) -> None:
    soak.publish_version(soak.version + soak.rng.randint(1, 3))


async def _link_to_target(soak: SoakControl, for_s: float) -> None:
    await soak.links.disturb_target(soak.rng, for_s)


async def _link_to_store(soak: SoakControl, for_s: float) -> None:
    await soak.links.disturb_store(soak.rng, for_s)


async def _change_settings(soak: SoakControl, for_s: float) -> None:
    """Change a settings file, with or without a SIGHUP to the daemon."""
    name = soak.draw_running()
    if name is None:
        return
    soak.system.write_settings(name, collect_ms=soak.rng.choice((100, 400)))
    if soak.rng.random() < 0.5:
        soak.system.send(name, signal.SIGHUP)


FAULTS: typing.Mapping[str, Fault] = {
    'kill daemon': _kill,
    'stop daemon': _stop,
    'daemons stop in series': _stop_series,
    'freeze daemon': _freeze,
    'target loses answers': _lose_answers,
    'target writes without end': _endless_bytes,
    'caller writes without end': _endless_request,
    'target answers twice': _late_answers,
    'target slow': _slow_target,
    'service silent': _silent_service,
    'target restarts': _restart_target,
    'target drains': _drain_target,
    'entries lapse': _expire_entries,
    'entry of another writer': _invalid_entry,
    'store away': _store_unavailable,
    'store silent': _store_silent,
    'watches cut': _cut_watches,
    'history forgotten': _forget_history,
    'store rolled back': _store_rolled_back,
    'new version': _new_version,
    'link to a target': _link_to_target,
    'link to the store': _link_to_store,
    'settings change': _change_settings,
}

PLANNED = (
    'stop daemon',
    'daemons stop in series',
    'settings change',
    'new version',
    'service silent',
    'target slow',
    'target drains',
    'target restarts',
    'entries lapse',
)
"""Planned work, and slow or silent targets that may delay it."""
