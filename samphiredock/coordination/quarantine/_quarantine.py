"""Quarantines request contents that crash targets, at every daemon."""

import asyncio
import enum

import msgspec
from returns import result

from samphiredock.coordination.quarantine import _suspects
from samphiredock import logs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import timers
from samphiredock import transport

QUARANTINE_PREFIX = 'quarantine/'

_STORED = msgspec.json.Decoder(protocol.StoredQuarantine)

# The delay before a new quarantine is published and stored.  If another
# content ran at a target during the same crash, that is reported here in the
# meantime and withdraws the quarantine.
_PUBLISH_DELAY_MS = 2_000.0
_STORE_RETRY_MS = 5_000.0
_MIN_RETRY_MS = 200

_log = logs.logger('quarantine')


class RunMode(enum.Enum):
    """How a content is to be run: at many targets, or alone as a suspect."""

    NORMAL = 'normal'
    SUSPECT = 'suspect'


class Quarantine:
    """Request contents that are suspected of crashing targets, or refused.

    A content is identified by its fingerprint.  It becomes a suspect when a
    target is lost while it runs alone, and runs only alone from then on; it
    is quarantined, and refused at every daemon, after a second loss.

    Parameters
    ----------
    peers
        Delivers the notices of other daemons.
    broadcaster
        Sends notices to all daemons.
    platform
        The store, which daemons that start later read.  Refusals work
        without it.
    clock
        The timer service.
    counters
        Metrics of this daemon.
    """

    def __init__(
        self,
        peers: transport.Peers,
        broadcaster: transport.Broadcaster,
        platform: transport.Platform,
        clock: timers.Timers,
        counters: metrics.Metrics,
    ) -> None:
        self._broadcaster = broadcaster
        self._platform = platform
        self._clock = clock
        self._metrics = counters
        self._suspects = _suspects.Suspects()
        self._versions: dict[str, int] = {}
        self._tasks: set[asyncio.Task] = set()
        peers.subscribe(protocol.SuspectNotice, self._on_suspect)
        peers.subscribe(protocol.QuarantineNotice, self._on_quarantined)
        peers.subscribe(protocol.ClearedNotice, self._on_cleared)

    # For requests.

    def refusal(self, fingerprint: str) -> protocol.NotRun | None:
        """Return why a content may not run now; None if it may."""
        now_ms = self._clock.now_ms()
        wall_ms = self._clock.wall_ms()
        entry = self._suspects.entry_of(fingerprint, now_ms, wall_ms)
        if entry is not None:
            self._metrics.add('quarantine_refusals')
            return protocol.NotRun(
                protocol.NotRunReason.QUARANTINED,
                f'this request crashed {len(entry.targets)} targets and is '
                f'quarantined until {entry.until_ms} (ms since the epoch)',
                entry.until_ms - wall_ms,
            )
        suspect = self._suspects.get(fingerprint, now_ms)
        if suspect is not None and suspect.trial_until_ms > now_ms:
            self._metrics.add('suspect_refusals')
            return protocol.NotRun(
                protocol.NotRunReason.QUARANTINED,
                'this request may have crashed a target, and an identical '
                'one is being tried alone',
                max(_MIN_RETRY_MS, int(suspect.trial_until_ms - now_ms)),
            )
        return None

    def begin_run(self, fingerprint: str, trial_ms: float) -> RunMode:
        """Return how to run a content that :meth:`refusal` did not refuse.

        For a suspect this starts a trial of ``trial_ms``: until it ends,
        all daemons that are notified refuse further requests with this
        content, so that it crashes one target at a time.
        """
        now_ms = self._clock.now_ms()
        suspect = self._suspects.get(fingerprint, now_ms)
        if suspect is None:
            return RunMode.NORMAL
        self._announce_trial(suspect, trial_ms)
        return RunMode.SUSPECT

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a content is in quarantine."""
        return (
            self._suspects.entry_of(
                fingerprint, self._clock.now_ms(), self._clock.wall_ms()
            )
            is not None
        )

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a content that lost a target is not cleared yet."""
        now_ms = self._clock.now_ms()
        return self._suspects.get(fingerprint, now_ms) is not None

    def record_loss(
        self, fingerprint: str, target: str, service: str = ''
    ) -> None:
        """Record that a target was lost while it ran only this content.

        All daemons are notified.
        """
        self._metrics.add('suspect_losses')
        suspect = self._count_loss(fingerprint, target, service)
        if not suspect.losses:
            # The loss is part of an outage of several targets.  The other
            # daemons need it to come to the same conclusion.
            self._metrics.add('suspects_forgiven')
            self._broadcaster.broadcast(
                protocol.SuspectNotice(
                    fingerprint, suspect.service, [target], 0.0
                )
            )
            return
        if suspect.entry is None:
            self._announce_trial(suspect, _suspects.TRIAL_MS)
            return
        _log.warning(
            'content quarantined',
            fingerprint=fingerprint,
            service=suspect.service,
            targets=suspect.entry.targets,
        )
        self._metrics.add('quarantines')
        self._broadcaster.broadcast(
            protocol.SuspectNotice(
                fingerprint, suspect.service, sorted(suspect.losses), 0.0
            )
        )
        self._clock.after(
            _PUBLISH_DELAY_MS, lambda: self._publish(fingerprint)
        )

    def record_success(self, fingerprint: str) -> None:
        """Clear a suspect that ran alone while its target stayed alive."""
        suspect = self._suspects.get(fingerprint, self._clock.now_ms())
        if suspect is None or suspect.entry is not None:
            return
        self._suspects.clear(fingerprint)
        self._metrics.add('suspects_cleared')
        self._broadcaster.broadcast(protocol.ClearedNotice(fingerprint))

    # For operators.

    def entries(self) -> list[protocol.QuarantineEntry]:
        """Return the quarantines in force."""
        return self._suspects.entries(self._clock.wall_ms())

    async def release(
        self, fingerprint: str
    ) -> result.Result[protocol.QuarantineEntry, str]:
        """End a quarantine at every daemon.

        The stored object is marked as released, so that a daemon which reads
        it later does not quarantine the content again.

        Returns
        -------
        The quarantine that was ended, or why that failed.
        """
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        entry = self._suspects.entry_of(fingerprint, now_ms, wall_ms)
        if entry is None:
            return result.Failure(
                f'got {fingerprint!r}, expected a fingerprint in quarantine'
            )
        self._suspects.clear(fingerprint)
        self._broadcaster.broadcast(protocol.ClearedNotice(fingerprint, True))
        _log.notice('quarantine released', fingerprint=fingerprint)
        mark = protocol.StoredQuarantine(entry, released=True)
        written = await self._put(fingerprint, mark)
        if isinstance(written, result.Failure):
            return result.Failure(
                f'released at all reachable daemons, but not in the store: '
                f'{written.failure().detail}; release it again'
            )
        return result.Success(entry)

    def close(self) -> None:
        """Cancel the pending writes to the store."""
        for task in self._tasks:
            task.cancel()

    # Notices of other daemons, and stored quarantines.

    def on_stored(self, stored: transport.StoredObject) -> None:
        """Apply a stored object below :data:`QUARANTINE_PREFIX`."""
        try:
            decoded = _STORED.decode(stored.value)
        except protocol.DECODE_ERRORS:
            self._metrics.add('quarantine_unreadable')
            return
        fingerprint = decoded.entry.fingerprint
        if stored.version <= self._versions.get(fingerprint, 0):
            return
        self._versions[fingerprint] = stored.version
        if decoded.released:
            self._suspects.clear(fingerprint)
        else:
            self._add_entry(decoded.entry)

    def _on_suspect(self, sender: str, notice: protocol.SuspectNotice) -> None:
        suspect = None
        for target in notice.targets:
            suspect = self._count_loss(
                notice.fingerprint, target, notice.service
            )
        if suspect is not None:
            until_ms = self._clock.now_ms() + notice.trial_ms
            suspect.trial_until_ms = max(suspect.trial_until_ms, until_ms)

    def _on_quarantined(
        self, sender: str, notice: protocol.QuarantineNotice
    ) -> None:
        self._add_entry(notice.entry)

    def _on_cleared(self, sender: str, notice: protocol.ClearedNotice) -> None:
        if notice.released or not self.is_quarantined(notice.fingerprint):
            self._suspects.clear(notice.fingerprint)

    def _add_entry(self, entry: protocol.QuarantineEntry) -> None:
        if entry.until_ms > self._clock.wall_ms():
            self._suspects.put_entry(entry, self._clock.now_ms())

    # Notices to other daemons, and writes to the store.

    def _count_loss(
        self, fingerprint: str, target: str, service: str
    ) -> _suspects.Suspect:
        return self._suspects.record_loss(
            fingerprint,
            service,
            target,
            self._clock.now_ms(),
            self._clock.wall_ms(),
        )

    def _announce_trial(
        self, suspect: _suspects.Suspect, trial_ms: float
    ) -> None:
        suspect.trial_until_ms = self._clock.now_ms() + trial_ms
        self._broadcaster.broadcast(
            protocol.SuspectNotice(
                suspect.fingerprint,
                suspect.service,
                sorted(suspect.losses),
                trial_ms,
            )
        )

    def _publish(self, fingerprint: str) -> None:
        """Publish and store a quarantine unless it was withdrawn meanwhile."""
        entry = self._suspects.entry_of(
            fingerprint, self._clock.now_ms(), self._clock.wall_ms()
        )
        if entry is None:
            self._metrics.add('quarantines_withdrawn')
            return
        self._broadcaster.broadcast(protocol.QuarantineNotice(entry))
        task = asyncio.get_running_loop().create_task(self._store_entry(entry))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _store_entry(self, entry: protocol.QuarantineEntry) -> None:
        written = await self._put(
            entry.fingerprint, protocol.StoredQuarantine(entry)
        )
        if isinstance(written, result.Failure):
            self._metrics.add('quarantine_not_stored')
            self._clock.after(
                _STORE_RETRY_MS, lambda: self._publish(entry.fingerprint)
            )

    async def _put(
        self, fingerprint: str, value: protocol.StoredQuarantine
    ) -> result.Result[int, transport.StoreError]:
        """Overwrite the stored object by a put conditional on its version."""
        key = QUARANTINE_PREFIX + fingerprint
        expected = transport.CREATE_ONLY
        found = await self._platform.get(key)
        if isinstance(found, result.Success):
            expected = found.unwrap().version
        elif not _is_not_found(found.failure()):
            return found
        put = await self._platform.put(
            key, msgspec.json.encode(value), expected
        )
        if isinstance(put, result.Success):
            self._versions[fingerprint] = put.unwrap()
        return put


def _is_not_found(error: transport.StoreError) -> bool:
    return error.kind is transport.StoreErrorKind.NOT_FOUND
