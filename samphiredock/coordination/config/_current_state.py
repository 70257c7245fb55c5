"""The configuration and snapshot held by this daemon.

Only a higher revision than the one in force is applied, so that a stale
read, a peer that was frozen or a store restored from a backup cannot bring
back an older one.
"""

import typing

import logbook
import msgspec
from returns import result

from samphiredock import logs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state

CONFIGURATION_KEY = 'configuration/current'
SNAPSHOT_KEY = 'snapshots/current'

_SOURCE = msgspec.json.Decoder(state.ConfigurationSource)
_SNAPSHOT = msgspec.json.Decoder(state.Snapshot)

_log: logbook.Logger = logs.logger('spread')


class CurrentState:
    """The configuration in force and the newest snapshot of this daemon."""

    def __init__(self, counters: metrics.Metrics) -> None:
        self._metrics = counters
        self.configuration: state.Configuration | None = None
        self.source: state.ConfigurationSource | None = None
        self.snapshot: state.Snapshot | None = None
        self._values: dict[str, bytes] = {}
        self._lowest_reported = 0
        self._subscribers: list[
            typing.Callable[[state.Configuration], None]
        ] = []
        self._adopted_callbacks: list[typing.Callable[[str, int], None]] = []

    @property
    def revision(self) -> int:
        """The revision in force, 0 before the first."""
        return self.configuration.revision if self.configuration else 0

    @property
    def snapshot_id(self) -> int:
        """The newest snapshot held, 0 before the first."""
        return self.snapshot.snapshot_id if self.snapshot else 0

    def versions(self) -> protocol.HeldVersions:
        """Return the held versions, which probes carry to peers."""
        return protocol.HeldVersions(self.revision, self.snapshot_id)

    def version(self, key: str) -> int:
        """Return the revision or snapshot id held for a store key."""
        return {
            CONFIGURATION_KEY: self.revision,
            SNAPSHOT_KEY: self.snapshot_id,
        }.get(key, 0)

    def value(self, key: str) -> bytes | None:
        """Return the object's bytes as stored, None before the first."""
        return self._values.get(key)

    def subscribe(
        self, callback: typing.Callable[[state.Configuration], None]
    ) -> None:
        """Call ``callback`` with each configuration that comes into force."""
        self._subscribers.append(callback)

    def on_adopted(self, callback: typing.Callable[[str, int], None]) -> None:
        """Call ``callback`` with key and version of each object taken."""
        self._adopted_callbacks.append(callback)

    def offer(self, key: str, value: bytes) -> bool:
        """Decode and take an object if it is newer and valid.

        Returns whether it was taken.
        """
        try:
            if key == CONFIGURATION_KEY:
                return self.offer_source(_SOURCE.decode(value), value)
            if key == SNAPSHOT_KEY:
                return self.offer_snapshot(_SNAPSHOT.decode(value), value)
        except protocol.DECODE_ERRORS as error:
            self._metrics.add('objects_unreadable', key=key)
            _log.error('object unreadable', key=key, why=str(error))
        return False

    def offer_source(
        self, source: state.ConfigurationSource, value: bytes | None = None
    ) -> bool:
        """Apply a configuration if it is newer and valid.

        Returns whether it was applied.
        """
        if source.revision <= self.revision:
            self._report_older(source.revision)
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
        self._lowest_reported = source.revision
        _log.notice('configuration in force', revision=source.revision)
        self._adopt(CONFIGURATION_KEY, source.revision, source, value)
        for callback in self._subscribers:
            callback(self.configuration)
        return True

    def offer_snapshot(
        self, snapshot: state.Snapshot, value: bytes | None = None
    ) -> bool:
        """Take a snapshot if it is newer; return whether it was taken."""
        if snapshot.snapshot_id <= self.snapshot_id:
            return False
        self.snapshot = snapshot
        _log.notice('snapshot received', snapshot_id=snapshot.snapshot_id)
        self._adopt(SNAPSHOT_KEY, snapshot.snapshot_id, snapshot, value)
        return True

    def _adopt(
        self,
        key: str,
        version: int,
        decoded: msgspec.Struct,
        value: bytes | None,
    ) -> None:
        if value is None:
            value = msgspec.json.encode(decoded)
        self._values[key] = value
        for callback in self._adopted_callbacks:
            callback(key, version)

    def _report_older(self, revision: int) -> None:
        if revision == self.revision:
            return
        self._metrics.add('configuration_older_seen')
        if revision < self._lowest_reported:
            # A store restored from a backup returns it at each poll, so only
            # a revision lower than those logged before is logged.
            self._lowest_reported = revision
            _log.warn(
                'older configuration ignored',
                revision=revision,
                in_force=self.revision,
            )
