"""How many daemons there are, by an object of each in the store.

The daemons share the retry budget.  One that counts too few would use more
than its part, so an object that was left behind by a lost daemon does no
harm: it only makes the parts smaller.
"""

import asyncio

import msgspec
from returns import result

from samphiredock.coordination import _pause
from samphiredock import logs
from samphiredock import timers
from samphiredock import transport

DAEMONS_PREFIX = 'samphiredock-daemons/'

COUNT_EVERY_MS = 5_000.0
"""How soon a daemon that was added gets its part of the budget."""

_RETRY_MS = 1_000.0

_log = logs.logger('presence')


class _Entry(msgspec.Struct, frozen=True):
    site: str


class Presence:
    """Registers this daemon and counts the others.

    Parameters
    ----------
    name, site
        This daemon; a restart has the same name.
    store
        Where the objects are.
    clock
        The timers of this daemon.
    """

    def __init__(
        self,
        name: str,
        site: str,
        store: transport.Objects,
        clock: timers.Timers,
    ) -> None:
        self._key = DAEMONS_PREFIX + name
        self._value = msgspec.json.encode(_Entry(site))
        self._store = store
        self._clock = clock
        self._count: int | None = None
        self._version = 0
        self._task: asyncio.Task | None = None

    def daemons(self) -> int | None:
        """Return how many daemons there are, None while it is not known."""
        return self._count

    def start(self) -> None:
        """Register and count in the background."""
        self._task = asyncio.create_task(self._run())

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
        while not await self._register():
            await _pause.pause(self._clock, _RETRY_MS)
        while True:
            await self._recount()
            await _pause.pause(self._clock, COUNT_EVERY_MS)

    async def _register(self) -> bool:
        reply = await self._store.put(
            self._key, self._value, transport.CREATE_ONLY
        )
        if isinstance(reply, result.Success):
            self._version = reply.unwrap()
            return True
        # A conflict is this daemon's own object, from before a restart.
        return reply.failure().kind is transport.StoreErrorKind.CONFLICT

    async def _recount(self) -> None:
        reply = await self._store.scan(DAEMONS_PREFIX, may_be_stale=True)
        if isinstance(reply, result.Failure):
            return
        versions = {row.key: row.version for row in reply.unwrap()}
        self._version = versions.get(self._key, self._version)
        found = versions.keys() | {self._key}
        if len(found) != self._count:
            _log.info('daemons counted', now=len(found), before=self._count)
        self._count = len(found)
