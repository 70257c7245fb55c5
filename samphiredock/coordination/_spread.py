"""Spread of configuration and snapshots to this daemon.

The daemon applies only a higher revision than the one in force, so that a
stale read or a frozen peer can never bring an older one back.
"""

import asyncio
import typing

import logbook
import msgspec
from returns import result

from samphiredock import logs
from samphiredock import metrics
from samphiredock import state
from samphiredock import transport

CONFIGURATION_KEY = 'configuration/current'
SNAPSHOT_KEY = 'snapshots/current'

_WATCH_MS = 30_000
_PAUSE_S = 0.2

_SOURCE = msgspec.json.Decoder(state.ConfigurationSource)
_SNAPSHOT = msgspec.json.Decoder(state.Snapshot)

_log: logbook.Logger = logs.logger('spread')


class Knowledge:
    """The configuration and snapshot in force at this daemon."""

    def __init__(self, counters: metrics.Metrics) -> None:
        self._metrics = counters
        self.configuration: state.Configuration | None = None
        self.source: state.ConfigurationSource | None = None
        self.snapshot: state.Snapshot | None = None
        self._subscribers: list[
            typing.Callable[[state.Configuration], None]
        ] = []

    @property
    def revision(self) -> int:
        """The configuration's revision in force, 0 before the first."""
        return self.configuration.revision if self.configuration else 0

    def subscribe(
        self, callback: typing.Callable[[state.Configuration], None]
    ) -> None:
        """Call back with each configuration that comes into force."""
        self._subscribers.append(callback)

    def offer_source(self, source: state.ConfigurationSource) -> bool:
        """Apply a configuration if it is newer and sound."""
        if source.revision <= self.revision:
            return False
        compiled = state.compile_source(source)
        if isinstance(compiled, result.Failure):
            self._metrics.add('configuration_unreadable')
            _log.error(
                'configuration refused',
                revision=source.revision,
                problems=[str(row) for row in compiled.failure()],
            )
            return False
        self.configuration = compiled.unwrap()
        self.source = source
        _log.notice('configuration in force', revision=source.revision)
        for callback in self._subscribers:
            callback(self.configuration)
        return True

    def offer_snapshot(self, snapshot: state.Snapshot) -> bool:
        """Take a snapshot if it is newer."""
        held = self.snapshot.snapshot_id if self.snapshot else 0
        if snapshot.snapshot_id <= held:
            return False
        self.snapshot = snapshot
        _log.notice('snapshot published', snapshot_id=snapshot.snapshot_id)
        return True


ObjectHandler = typing.Callable[[transport.StoredObject], None]


class Watcher:
    """Follow objects of the platform's store for the parts of a daemon."""

    def __init__(self, platform: transport.Platform) -> None:
        self._platform = platform
        self._handlers: dict[str, ObjectHandler] = {}
        self._tasks: list[asyncio.Task] = []

    def follow(self, prefix: str, handler: ObjectHandler) -> None:
        """Call ``handler`` with each object below ``prefix`` that changes.

        To be called before :meth:`start`.  An object may be shown more
        than once, and an older version after a newer one: handlers keep
        the newest by their own rule.
        """
        self._handlers[prefix] = handler

    def start(self) -> None:
        """Watch in the background."""
        for prefix, handler in self._handlers.items():
            task = asyncio.create_task(self._follow(prefix, handler))
            self._tasks.append(task)

    def close(self) -> None:
        """Stop watching."""
        for task in self._tasks:
            task.cancel()

    async def _follow(self, prefix: str, handler: ObjectHandler) -> None:
        position = 0
        while True:
            reply = await self._platform.watch(prefix, position, _WATCH_MS)
            if isinstance(reply, result.Failure):
                await asyncio.sleep(_PAUSE_S)
                continue
            page = reply.unwrap()
            if not page.changed and position == 0:
                await asyncio.sleep(_PAUSE_S)
                continue
            position = page.position
            for stored in page.changed:
                handler(stored)


def follow_knowledge(watcher: Watcher, knowledge: Knowledge) -> None:
    """Feed the configuration and the snapshots to ``knowledge``."""

    def take(stored: transport.StoredObject) -> None:
        try:
            if stored.key == CONFIGURATION_KEY:
                knowledge.offer_source(_SOURCE.decode(stored.value))
            elif stored.key == SNAPSHOT_KEY:
                knowledge.offer_snapshot(_SNAPSHOT.decode(stored.value))
        except msgspec.DecodeError as error:
            _log.error('object unreadable', key=stored.key, why=str(error))

    watcher.follow(CONFIGURATION_KEY, take)
    watcher.follow(SNAPSHOT_KEY, take)
