"""Registers this daemon in the store and lists the other daemons.

The daemons share the retry budget.  An entry left behind by a lost daemon only
makes each daemon's part smaller; one that is missing would let the others
exceed the budget.
"""

import asyncio
import dataclasses
import itertools
import typing

import msgspec
from returns import result

from samphiredock.coordination import _pause
from samphiredock.coordination import background
from samphiredock.coordination.forwarding import _roles
from samphiredock import logs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import timers
from samphiredock import transport

DAEMONS_PREFIX = 'samphiredock-daemons/'

LIST_INTERVAL_MS = 5_000.0
"""Interval at which the daemons are listed in a small system, and so the time
until a new daemon gets its part of the budget."""

FIRST_INTERVAL_MS = 1_000.0
"""Interval between the first and the second listing after a start.  It doubles
for the next ones, while daemons that start together register."""

_FULL_RATE_DAEMONS = 30
"""Number of daemons beyond which the interval grows.  At a constant interval
the traffic of all listings would grow with the square of the number: 62
daemons read 115 KB/s, two thirds of it from other sites."""

_STARTUP_LISTS = 3
_STARTUP_FACTOR = 2
_RETRY_MS = 1_000.0

_log = logs.logger('presence')


class _Entry(msgspec.Struct, frozen=True):
    site: str
    address: str
    cores: float
    near: bool = True


_decode = msgspec.json.Decoder(_Entry).decode


class Presence:
    """Registers this daemon and lists the others.

    Parameters
    ----------
    me
        This daemon; its name is the same after a restart.
    store
        The object store.
    clock, counters
        The timers and metrics of this daemon.
    on_list
        Called with all daemons after each list.
    """

    def __init__(
        self,
        me: _roles.Daemon,
        store: transport.Objects,
        clock: timers.Timers,
        counters: metrics.Metrics,
        on_list: typing.Callable[[tuple[_roles.Daemon, ...]], None],
    ) -> None:
        self._me = me
        self._key = DAEMONS_PREFIX + me.name
        self._store = store
        self._clock = clock
        self._metrics = counters
        self._on_list = on_list
        self._daemons: tuple[_roles.Daemon, ...] = ()
        self._has_read_list = False
        self._has_own_object = False
        self._must_register = True
        self._task: asyncio.Task | None = None
        self._version = 0
        self._first_list_done = asyncio.Event()

    def daemons(self) -> tuple[_roles.Daemon, ...]:
        """Return the daemons last listed, empty before the first list."""
        return self._daemons

    def on_introduction(self, daemons: tuple[_roles.Daemon, ...]) -> bool:
        """Use the list that another daemon sent; return whether it was used.

        It is ignored once this daemon has read the list from the store, since
        it may be older.
        """
        if self._has_read_list:
            return False
        if not self._daemons:
            _log.notice('introduced by another daemon', daemons=len(daemons))
        self._daemons = daemons
        self._on_list(daemons)
        return True

    def start(self) -> None:
        """Start to register and list in the background."""
        self._task = background.start_loop(
            self._run, 'presence', self._clock, self._metrics
        )

    async def wait_listed(self) -> None:
        """Wait until the daemons were listed, or a first try failed."""
        await self._first_list_done.wait()

    async def leave(self) -> None:
        """Remove this daemon's object."""
        if self._task is not None:
            self._task.cancel()
        if not self._version:
            return
        reply = await self._store.delete(self._key, self._version)
        if isinstance(reply, result.Failure):
            _log.info('own object not deleted', why=reply.failure().detail)

    async def _run(self) -> None:
        await self._join()
        self._first_list_done.set()
        for number in itertools.count():
            starting = number < _STARTUP_LISTS
            interval_ms = self._interval_ms()
            if starting:
                interval_ms = FIRST_INTERVAL_MS * _STARTUP_FACTOR**number
            await _pause.pause(self._clock, interval_ms)
            await self._list(may_be_stale=True)
            if self._must_register:
                await self._register()

    async def _join(self) -> None:
        """List the other daemons and register this one, until both succeed.

        A conflict counts as success: this daemon's object exists already.
        A stale read is cheaper and usually complete.  Only if it shows no
        other daemon is the newest list read, since daemons that start together
        would each take themselves for the only one.
        """
        while not await self._list(may_be_stale=True) or (
            self._must_register and not await self._register()
        ):
            # The store is unreachable and no daemon is known, so this one
            # goes on without waiting.
            self._first_list_done.set()
            await _pause.pause(self._clock, _RETRY_MS)
        if len(self._daemons) <= 1:
            await self._list(may_be_stale=False)

    def _interval_ms(self) -> float:
        """Return the interval between listings, longer in a large system."""
        return LIST_INTERVAL_MS * max(
            1.0, len(self._daemons) / _FULL_RATE_DAEMONS
        )

    async def _register(self) -> bool:
        expected = transport.CREATE_ONLY
        if self._has_own_object:
            expected = self._version
        reply = await self._store.put(self._key, self._value(), expected)
        if isinstance(reply, result.Success):
            self._version = reply.unwrap()
            self._must_register = False
            return True
        # A conflict means that its object from before a restart exists; the
        # next list reads it.
        return reply.failure().kind is transport.StoreErrorKind.CONFLICT

    def _value(self) -> bytes:
        me = self._me
        return msgspec.json.encode(
            _Entry(me.site, me.address, me.cores, me.near)
        )

    def set_near(self, near: bool) -> None:
        """Publish whether this daemon is near the targets."""
        if near != self._me.near:
            self._me = dataclasses.replace(self._me, near=near)
            background.start(self._rewrite(), 'presence')

    async def _rewrite(self) -> None:
        reply = await self._store.put(self._key, self._value(), self._version)
        if isinstance(reply, result.Failure):
            # Until the next write, requests come here that a daemon nearer
            # to the targets should get.
            _log.info('own object not updated', why=reply.failure().detail)
            return
        self._version = reply.unwrap()

    async def _list(self, may_be_stale: bool) -> bool:
        reply = await self._store.scan(DAEMONS_PREFIX, may_be_stale)
        if isinstance(reply, result.Failure):
            _log.info('daemons not listed', why=reply.failure().detail)
            return False
        self._has_read_list = True
        rows = {row.key: row for row in reply.unwrap()}
        self._has_own_object = self._key in rows
        if self._has_own_object:
            self._adopt_own_object(rows[self._key])
        else:
            # Either an older list still showed the object that this daemon
            # removed when it last stopped, or this stale list does not show
            # the new one yet; then the write is refused, which is harmless.
            self._must_register = True
        found = {self._me.name: self._me}
        for row in rows.values():
            daemon = _read(row)
            if daemon is not None:
                found.setdefault(daemon.name, daemon)
        if len(found) != len(self._daemons):
            _log.info(
                'daemons listed', now=len(found), before=len(self._daemons)
            )
        self._daemons = tuple(found.values())
        self._on_list(self._daemons)
        return True

    def _adopt_own_object(self, stored: transport.StoredObject) -> None:
        """Check whether this daemon's stored object is up to date.

        Its ``near`` is kept until the targets have been listed again.
        """
        self._version = stored.version
        before = _read(stored)
        if before is None:
            return
        self._must_register = before != dataclasses.replace(
            self._me, near=before.near
        )
        if not self._must_register:
            self._me = before


def _read(stored: transport.StoredObject) -> _roles.Daemon | None:
    name = stored.key.removeprefix(DAEMONS_PREFIX)
    try:
        entry = _decode(stored.value)
    except protocol.DECODE_ERRORS as error:
        _log.error('object cannot be read', key=stored.key, why=str(error))
        return None
    return _roles.Daemon(
        name, entry.site, entry.address, entry.cores, entry.near
    )
