"""The directory: the list of daemons in the platform's store.

At its start each daemon writes its entry and reads the others' to find peers
to ask; everything else it learns by gossip.  The list is read again at an
interval that grows with the number of daemons, to bound the store's load.
"""

import random
import typing

import msgspec
from returns import result

from samphiredock.coordination import _pause
from samphiredock.coordination.fleet import _relay
from samphiredock import logs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

MEMBERS_PREFIX = 'members/'

_RETRY_MS = 500.0
_REREAD_INTERVAL_MS = 20_000.0
_MEMBERS_PER_REREAD = 8
_STALE_AFTER_MS = 3 * 3_600_000.0

_MEMBER = msgspec.json.Decoder(state.Member)
_log = logs.logger('directory')


class Directory:
    """Registers this daemon and reads the list.

    Parameters
    ----------
    me
        Returns this daemon's current entry.
    platform, clock, counters, rng
        The store, the timers, the metrics and a seeded random source.
    live
        Returns the live members.
    on_read
        Called after each read with the other members listed, or with None
        if the store could not be read.
    """

    def __init__(
        self,
        me: typing.Callable[[], state.Member],
        platform: transport.Platform,
        clock: timers.Timers,
        counters: metrics.Metrics,
        rng: random.Random,
        live: typing.Callable[[], tuple[state.Member, ...]],
        on_read: typing.Callable[[list[state.Member] | None], None],
    ) -> None:
        self._me = me
        self._platform = platform
        self._clock = clock
        self._metrics = counters
        self._rng = rng
        self._live = live
        self._on_read = on_read
        self._absent_since: dict[str, float] = {}

    async def follow(self) -> None:
        """Register this daemon, then read the list until cancelled."""
        registered = False
        while True:
            if not registered:
                registered = await self._register()
            found = await self._read()
            if found is not None:
                own = MEMBERS_PREFIX + self._me().name
                # Another daemon may have removed the entry as stale while
                # this one was partitioned.
                registered = any(stored.key == own for stored in found)
                await self._remove_stale(found)
            await _pause.pause(self._clock, self._wait_ms(found, registered))

    def _wait_ms(self, found: object, registered: bool) -> float:
        if found is None or not registered:
            return _RETRY_MS * self._rng.uniform(0.8, 1.6)
        scale = max(1.0, len(self._live()) / _MEMBERS_PER_REREAD)
        return _REREAD_INTERVAL_MS * scale * self._rng.uniform(0.75, 1.25)

    async def _read(self) -> tuple[transport.StoredObject, ...] | None:
        found = await self._platform.scan(MEMBERS_PREFIX)
        if isinstance(found, result.Failure):
            self._on_read(None)
            return None
        members = [self._decode(stored) for stored in found.unwrap()]
        name = self._me().name
        self._on_read([row for row in members if row and row.name != name])
        return found.unwrap()

    def _decode(self, stored: transport.StoredObject) -> state.Member | None:
        try:
            return _MEMBER.decode(stored.value)
        except protocol.DECODE_ERRORS:
            self._metrics.add('objects_unreadable', key=MEMBERS_PREFIX)
            return None

    async def _register(self) -> bool:
        me = self._me()
        key = MEMBERS_PREFIX + me.name
        found = await self._platform.get(key)
        version = transport.CREATE_ONLY
        if isinstance(found, result.Success):
            version = found.unwrap().version
        value = msgspec.json.encode(me)
        put = await self._platform.put(key, value, version)
        return isinstance(put, result.Success)

    async def _remove_stale(
        self, found: tuple[transport.StoredObject, ...]
    ) -> None:
        """Remove entries of daemons long absent, if this daemon is elected.

        The first live member in the relay order does it for all.
        """
        live = {member.name for member in self._live()}
        now_ms = self._clock.now_ms()
        listed = {row.key.removeprefix(MEMBERS_PREFIX): row for row in found}
        absent = listed.keys() - live
        self._absent_since = {
            name: self._absent_since.get(name, now_ms) for name in absent
        }
        if _relay.relay_order(live, MEMBERS_PREFIX)[:1] != [self._me().name]:
            return
        for name, since_ms in self._absent_since.items():
            if now_ms - since_ms < _STALE_AFTER_MS:
                continue
            stored = listed[name]
            await self._platform.delete(stored.key, stored.version)
            self._metrics.add('directory_entries_removed')
