"""Refuse contents that crash targets, at every daemon."""

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

# A verdict is kept in the store only after this long, in which the news of
# another content lost in the same crash may still withdraw it.
_PUBLISH_DELAY_MS = 2_000.0
_STORE_RETRY_MS = 5_000.0
_MIN_RETRY_MS = 200

_log = logs.logger('quarantine')


class RunMode(enum.Enum):
    """How a content is to be run."""

    NORMAL = 'normal'
    SUSPECT = 'suspect'


class Quarantine:
    """The contents under suspicion and in quarantine.

    Parameters
    ----------
    peers
        Where notices of other daemons come from.
    broadcaster
        How they are told.
    platform
        The store; best effort, refusals work without it.
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

    # What the request paths ask.

    def refusal(self, fingerprint: str) -> protocol.NotRun | None:
        """Return why a content may not run now, None if it may."""
        now_ms = self._clock.now_ms()
        wall_ms = self._clock.wall_ms()
        entry = self._suspects.entry_of(fingerprint, now_ms, wall_ms)
        if entry is not None:
            self._metrics.add('quarantine_refusals')
            return protocol.NotRun(
                protocol.NotRunReason.QUARANTINED,
                f'this request crashed {len(entry.targets)} targets and is '
                f'refused until {entry.until_ms} (ms since the epoch)',
                entry.until_ms - wall_ms,
            )
        case = self._suspects.get(fingerprint, now_ms)
        if case is not None and case.trial_until_ms > now_ms:
            self._metrics.add('suspect_refusals')
            return protocol.NotRun(
                protocol.NotRunReason.QUARANTINED,
                'this request may have crashed a target and is being tried '
                'alone elsewhere',
                max(_MIN_RETRY_MS, int(case.trial_until_ms - now_ms)),
            )
        return None

    def begin_run(self, fingerprint: str, budget_ms: float) -> RunMode:
        """Say how to run a content that :meth:`refusal` lets through.

        For a suspect this starts a trial: until it ends, this daemon and
        those that hear of it refuse further copies, so that the copies of
        one content lose one target at a time.
        """
        now_ms = self._clock.now_ms()
        case = self._suspects.get(fingerprint, now_ms)
        if case is None:
            return RunMode.NORMAL
        self._announce_trial(case, budget_ms)
        return RunMode.SUSPECT

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether a content is refused."""
        return (
            self._suspects.entry_of(
                fingerprint, self._clock.now_ms(), self._clock.wall_ms()
            )
            is not None
        )

    def is_suspect(self, fingerprint: str) -> bool:
        """Whether a target was lost to a content that is not cleared."""
        now_ms = self._clock.now_ms()
        return self._suspects.get(fingerprint, now_ms) is not None

    def record_loss(
        self, fingerprint: str, target: str, service: str = ''
    ) -> None:
        """Count a target lost while it ran this content alone."""
        self._metrics.add('suspect_losses')
        case = self._count_loss(fingerprint, target, service)
        if not case.losses:
            # An outage explains it; the others learn the loss, so that they
            # can tell the same.
            self._metrics.add('suspects_forgiven')
            self._broadcaster.broadcast(
                protocol.SuspectNotice(
                    fingerprint, case.service, [target], 0.0
                )
            )
            return
        if case.entry is None:
            self._announce_trial(case, _suspects.TRIAL_MS)
            return
        _log.warning(
            'quarantined',
            fingerprint=fingerprint,
            service=case.service,
            targets=case.entry.targets,
        )
        self._metrics.add('quarantines')
        self._broadcaster.broadcast(
            protocol.SuspectNotice(
                fingerprint, case.service, sorted(case.losses), 0.0
            )
        )
        self._clock.after(
            _PUBLISH_DELAY_MS, lambda: self._publish(fingerprint)
        )

    def record_success(self, fingerprint: str) -> None:
        """The content ran alone and its target lives."""
        case = self._suspects.get(fingerprint, self._clock.now_ms())
        if case is None or case.entry is not None:
            return
        self._suspects.clear(fingerprint)
        self._metrics.add('suspects_cleared')
        self._broadcaster.broadcast(protocol.ClearedNotice(fingerprint))

    # What operators ask.

    def entries(self) -> list[protocol.QuarantineEntry]:
        """Return the quarantines in force."""
        return self._suspects.entries(self._clock.wall_ms())

    async def release(
        self, fingerprint: str
    ) -> result.Result[protocol.QuarantineEntry, str]:
        """End a quarantine everywhere; the store's mark keeps it ended."""
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        entry = self._suspects.entry_of(fingerprint, now_ms, wall_ms)
        if entry is None:
            return result.Failure(f'got {fingerprint!r}, not in quarantine')
        self._suspects.clear(fingerprint)
        self._broadcaster.broadcast(protocol.ClearedNotice(fingerprint, True))
        _log.notice('quarantine released', fingerprint=fingerprint)
        mark = protocol.StoredQuarantine(entry, released=True)
        kept = await self._put(fingerprint, mark)
        if isinstance(kept, result.Failure):
            return result.Failure(
                f'released at the daemons that can be reached, but the store '
                f'was not told: {kept.failure().detail}; repeat it'
            )
        return result.Success(entry)

    def close(self) -> None:
        """Stop writing to the store."""
        for task in self._tasks:
            task.cancel()

    # News from elsewhere.

    def on_stored(self, stored: transport.StoredObject) -> None:
        """Take an object below :data:`QUARANTINE_PREFIX` in."""
        try:
            kept = _STORED.decode(stored.value)
        except msgspec.DecodeError:
            self._metrics.add('quarantine_unreadable')
            return
        fingerprint = kept.entry.fingerprint
        if stored.version <= self._versions.get(fingerprint, 0):
            return
        self._versions[fingerprint] = stored.version
        if kept.released:
            self._suspects.clear(fingerprint)
        else:
            self._add_entry(kept.entry)

    def _on_suspect(self, sender: str, news: protocol.SuspectNotice) -> None:
        case = None
        for target in news.targets:
            case = self._count_loss(news.fingerprint, target, news.service)
        if case is not None:
            until_ms = self._clock.now_ms() + news.trial_ms
            case.trial_until_ms = max(case.trial_until_ms, until_ms)

    def _on_quarantined(
        self, sender: str, news: protocol.QuarantineNotice
    ) -> None:
        self._add_entry(news.entry)

    def _on_cleared(self, sender: str, news: protocol.ClearedNotice) -> None:
        if news.released or not self.is_quarantined(news.fingerprint):
            self._suspects.clear(news.fingerprint)

    def _add_entry(self, entry: protocol.QuarantineEntry) -> None:
        if entry.until_ms > self._clock.wall_ms():
            self._suspects.put_entry(entry, self._clock.now_ms())

    # Telling the others.

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
        self, case: _suspects.Suspect, trial_ms: float
    ) -> None:
        case.trial_until_ms = self._clock.now_ms() + trial_ms
        self._broadcaster.broadcast(
            protocol.SuspectNotice(
                case.fingerprint, case.service, sorted(case.losses), trial_ms
            )
        )

    def _publish(self, fingerprint: str) -> None:
        """Make a verdict last: tell the daemons, and keep it in the store."""
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
        kept = await self._put(
            entry.fingerprint, protocol.StoredQuarantine(entry)
        )
        if isinstance(kept, result.Failure):
            self._metrics.add('quarantine_not_stored')
            self._clock.after(
                _STORE_RETRY_MS, lambda: self._publish(entry.fingerprint)
            )

    async def _put(
        self, fingerprint: str, value: protocol.StoredQuarantine
    ) -> result.Result[int, transport.StoreError]:
        """Write over whatever version is there, by one conditional put."""
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
