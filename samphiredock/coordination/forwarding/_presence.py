"""Which daemons there are, by an object of each in the store.

The daemons share the retry budget.  One that counts too few would use more
than its part, so an object that was left behind by a lost daemon does no
harm: it only makes the parts smaller.
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
from samphiredock import timers
from samphiredock import transport

DAEMONS_PREFIX = 'samphiredock-daemons/'

LIST_EVERY_MS = 5_000.0
"""How soon a daemon that was added gets its part of the budget.  The list
may be stale, which costs the store a tenth of a call."""

FIRST_LIST_MS = 1_000.0
"""When the list is read again after a start; then in doubling steps, while
daemons that start together register."""

_SIZE_OF_LIST = 30
"""Daemons up to which each lists them at the full pace.  Beyond, the bytes
of all lists would grow with the square: 62 daemons read 115 KB/s of them,
two thirds of it from other sites."""

_STARTING_LISTS = 3
_STARTING_FACTOR = 2
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
        This daemon; a restart has the same name.
    store
        Where the objects are.
    clock
        The timers of this daemon.
    on_list
        Called with the daemons each time that they were listed.
    """

    def __init__(
        self,
        me: _roles.Daemon,
        store: transport.Objects,
        clock: timers.Timers,
        on_list: typing.Callable[[tuple[_roles.Daemon, ...]], None],
    ) -> None:
        self._me = me
        self._key = DAEMONS_PREFIX + me.name
        self._store = store
        self._clock = clock
        self._on_list = on_list
        self._daemons: tuple[_roles.Daemon, ...] = ()
        self._has_listed = False
        self._is_listed = False
        self._is_new = True
        self._task: asyncio.Task | None = None
        self._version = 0
        self._first = asyncio.Event()

    def daemons(self) -> tuple[_roles.Daemon, ...]:
        """Return the daemons of the newest list, empty before the first."""
        return self._daemons

    def on_introduction(self, daemons: tuple[_roles.Daemon, ...]) -> bool:
        """Take what another daemon tells; True if it is of use.

        It is only while the list has not been read: what others have seen
        may be older.
        """
        if self._has_listed:
            return False
        if not self._daemons:
            _log.notice('introduced by another daemon', daemons=len(daemons))
        self._daemons = daemons
        self._on_list(daemons)
        return True

    def start(self) -> None:
        """Register and list in the background."""
        self._task = background.start(self._run(), 'presence')

    async def wait_listed(self) -> None:
        """Wait until the list has been asked for once."""
        await self._first.wait()

    async def leave(self) -> None:
        """Remove this daemon's object."""
        if self._task is not None:
            self._task.cancel()
        if not self._version:
            return
        reply = await self._store.delete(self._key, self._version)
        if isinstance(reply, result.Failure):
            _log.info('object left behind', why=reply.failure().detail)

    async def _run(self) -> None:
        await self._join()
        self._first.set()
        for number in itertools.count():
            starting = number < _STARTING_LISTS
            every_ms = self._every_ms()
            if starting:
                every_ms = FIRST_LIST_MS * _STARTING_FACTOR**number
            await _pause.pause(self._clock, every_ms)
            await self._list(may_be_stale=True)
            if self._is_new:
                await self._register()

    async def _join(self) -> None:
        """Learn of the others, and have an object that tells of this one.

        One that starts among others knows them by a list that may be stale,
        which costs a tenth; its object is there from before if it is not
        new.  Where all are new, the list is empty until they have
        registered.
        """
        while not await self._list(may_be_stale=True) or (
            self._is_new and not await self._register()
        ):
            # The store is away: nobody is known, so this daemon reads for
            # itself.
            self._first.set()
            await _pause.pause(self._clock, _RETRY_MS)
        if len(self._daemons) <= 1:
            await self._list(may_be_stale=False)

    def _every_ms(self) -> float:
        """Return the time between lists; all together read as many rows."""
        return LIST_EVERY_MS * max(1.0, len(self._daemons) / _SIZE_OF_LIST)

    async def _register(self) -> bool:
        expected = transport.CREATE_ONLY
        if self._is_listed:
            expected = self._version
        reply = await self._store.put(self._key, self._value(), expected)
        if isinstance(reply, result.Success):
            self._version = reply.unwrap()
            self._is_new = False
            return True
        # A conflict is this daemon's own object, from before a restart; the
        # next list shows it.
        return reply.failure().kind is transport.StoreErrorKind.CONFLICT

    def _value(self) -> bytes:
        me = self._me
        return msgspec.json.encode(
            _Entry(me.site, me.address, me.cores, me.near)
        )

    def set_near(self, near: bool) -> None:
        """Tell the others whether this daemon is near the targets."""
        if near != self._me.near:
            self._me = dataclasses.replace(self._me, near=near)
            background.start(self._rewrite(), 'presence')

    async def _rewrite(self) -> None:
        reply = await self._store.put(self._key, self._value(), self._version)
        if isinstance(reply, result.Failure):
            # Wrong for a while: it gets requests that others serve nearer.
            _log.info('object not written', why=reply.failure().detail)
            return
        self._version = reply.unwrap()

    async def _list(self, may_be_stale: bool) -> bool:
        reply = await self._store.scan(DAEMONS_PREFIX, may_be_stale)
        if isinstance(reply, result.Failure):
            _log.info('daemons not listed', why=reply.failure().detail)
            return False
        self._has_listed = True
        rows = {row.key: row for row in reply.unwrap()}
        self._is_listed = self._key in rows
        if self._is_listed:
            self._take_own(rows[self._key])
        else:
            # Removed when this daemon stopped before, and shown by an older
            # list since; or not in this one yet, which costs a refused write.
            self._is_new = True
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

    def _take_own(self, stored: transport.StoredObject) -> None:
        """See whether the object from before tells what is so now.

        Where the targets were is kept until they have been listed again.
        """
        self._version = stored.version
        before = _read(stored)
        if before is None:
            return
        self._is_new = before != dataclasses.replace(
            self._me, near=before.near
        )
        if not self._is_new:
            self._me = before


def _read(stored: transport.StoredObject) -> _roles.Daemon | None:
    name = stored.key.removeprefix(DAEMONS_PREFIX)
    try:
        entry = _decode(stored.value)
    except msgspec.DecodeError as error:
        _log.error('object cannot be read', key=stored.key, why=str(error))
        return None
    return _roles.Daemon(
        name, entry.site, entry.address, entry.cores, entry.near
    )
