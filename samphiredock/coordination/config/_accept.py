"""Accepts configuration changes by conditional updates of one object.

A change based on revision *b* can only be stored as revision *b* + 1, and
the stored object lists its last changes.  Any later read therefore tells
from the row of revision *b* + 1 whether the change was accepted, even if the
answer to the write was lost and other changes have followed.
"""

import enum

import msgspec
from returns import result

from samphiredock.coordination import _pause
from samphiredock.coordination.config import _current_state
from samphiredock import logs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

RECENT_CHANGES = 200
"""How many changes the stored object lists."""

_ATTEMPTS = 5
_RETRY_DELAY_MS = 100.0
_RETRY_AFTER_MS = 1_000

_SOURCE = msgspec.json.Decoder(state.ConfigurationSource)
_log = logs.logger('accept')


class ChangeStatus(enum.Enum):
    """How a change relates to the stored object."""

    APPLICABLE = 'applicable'
    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    NOT_LISTED = 'not-listed'
    STALE_READ = 'stale-read'


def status_of(
    change: protocol.ConfigurationChange,
    revision: int,
    recent: list[protocol.ChangeSummary],
) -> ChangeStatus:
    """Return the status of ``change``, given the newest known revision.

    ``APPLICABLE``: the change can be written.  ``ACCEPTED``: it is stored.
    ``CONFLICT``: another change was stored as the revision after its base.
    ``STALE_READ``: the object that was read is older than the change's base,
    which proves nothing.  ``NOT_LISTED``: the row that would tell has
    dropped out of the list.
    """
    if change.base_revision > revision:
        return ChangeStatus.STALE_READ
    if change.base_revision == revision:
        return ChangeStatus.APPLICABLE
    for row in recent:
        if row.revision == change.base_revision + 1:
            is_own = row.change_id == change.change_id
            return ChangeStatus.ACCEPTED if is_own else ChangeStatus.CONFLICT
    return ChangeStatus.NOT_LISTED


def _recent_changes(
    source: state.ConfigurationSource,
) -> list[protocol.ChangeSummary]:
    rows = list(source.recent)
    if not rows or rows[-1].revision != source.revision:
        rows.append(
            protocol.ChangeSummary(
                source.revision,
                source.author,
                source.change_id,
                source.accepted_at_ms,
            )
        )
    return rows[-RECENT_CHANGES:]


class Acceptor:
    """Writes operators' changes to the store and returns their outcomes.

    Parameters
    ----------
    platform
        The object store.
    current_state
        The configuration in force here; an accepted change is offered to it
        at once.
    clock, counters
        The timers and the metrics of this daemon.
    """

    def __init__(
        self,
        platform: transport.Platform,
        current_state: _current_state.CurrentState,
        clock: timers.Timers,
        counters: metrics.Metrics,
    ) -> None:
        self._platform = platform
        self._current_state = current_state
        self._clock = clock
        self._metrics = counters
        # Ids of changes whose write may have taken effect: a later call for
        # the same change must not answer "unavailable".
        self._possibly_written: set[str] = set()

    async def apply(
        self, change: protocol.ConfigurationChange
    ) -> protocol.ChangeOutcome:
        """Validate and store a change; return its outcome."""
        draft = self._draft(change, [])
        compiled = state.compile_source(draft)
        if isinstance(compiled, result.Failure):
            problems = [str(row) for row in compiled.failure()]
            return protocol.ChangeInvalid(problems)
        outcome = await self._apply_with_retries(change)
        self._metrics.add(
            'configuration_changes', outcome=type(outcome).__name__
        )
        _log.notice(
            'configuration change answered',
            change_id=change.change_id,
            outcome=type(outcome).__name__,
        )
        return outcome

    async def history(self) -> list[protocol.ChangeSummary]:
        """Return the last changes, newest first.

        From the stored object or the one in force here, whichever is newer.
        """
        found = await self._read()
        local = self._current_state.source
        rows = [source for source in (found.value_or(None), local) if source]
        if not rows:
            return []
        newest = max(rows, key=lambda source: source.revision)
        return list(reversed(_recent_changes(newest)))

    async def _apply_with_retries(
        self, change: protocol.ConfigurationChange
    ) -> protocol.ChangeOutcome:
        detail = ''
        for attempt in range(_ATTEMPTS):
            if attempt:
                await _pause.pause(self._clock, _RETRY_DELAY_MS)
            outcome = await self._attempt(change)
            if not isinstance(outcome, str):
                return outcome
            detail = outcome
        return self.abandoned_outcome(change, detail)

    def abandoned_outcome(
        self, change: protocol.ConfigurationChange, detail: str
    ) -> protocol.ChangeOutcome:
        """Return the outcome of a change that is not retried any more.

        "Unknown" if an earlier write may have taken effect, else
        "unavailable".
        """
        if change.repeated or change.change_id in self._possibly_written:
            return protocol.ChangeUnknown(detail, _RETRY_AFTER_MS)
        return protocol.ChangeUnavailable(detail, _RETRY_AFTER_MS)

    async def _attempt(
        self, change: protocol.ConfigurationChange
    ) -> protocol.ChangeOutcome | str:
        """Read the object and write the change if it is applicable.

        Returns the outcome, or the reason as a text if the change should be
        tried again.
        """
        found = await self._platform.get(_current_state.CONFIGURATION_KEY)
        stored, version = None, transport.CREATE_ONLY
        if isinstance(found, result.Success):
            version = found.unwrap().version
            decoded = _decode(found.unwrap().value)
            if isinstance(decoded, result.Failure):
                return protocol.ChangeUnavailable(
                    decoded.failure(), _RETRY_AFTER_MS
                )
            stored = decoded.unwrap()
        elif found.failure().kind is not transport.StoreErrorKind.NOT_FOUND:
            return f'read: {found.failure().detail}'
        newest = self._newest(stored)
        revision = newest.revision if newest else 0
        recent = _recent_changes(newest) if newest else []
        status = status_of(change, revision, recent)
        if status is ChangeStatus.APPLICABLE:
            return await self._write(change, version, recent)
        return self._outcome_of(change, status, newest)

    def _newest(
        self, stored: state.ConfigurationSource | None
    ) -> state.ConfigurationSource | None:
        # A store restored from a backup has an older revision than the one
        # in force.  Counting on from it would give two changes the same
        # number, and daemons would never apply the second.
        local = self._current_state.source
        rows = [source for source in (stored, local) if source]
        return max(rows, key=lambda row: row.revision, default=None)

    def _outcome_of(
        self,
        change: protocol.ConfigurationChange,
        status: ChangeStatus,
        newest: state.ConfigurationSource | None,
    ) -> protocol.ChangeOutcome | str:
        """Return the outcome of a change that cannot be written now.

        Returns the reason as a text if the change should be tried again.
        """
        if status is ChangeStatus.ACCEPTED:
            self._current_state.offer_source(newest)
            return protocol.ChangeAccepted(change.base_revision + 1)
        if status is ChangeStatus.CONFLICT:
            return protocol.ChangeConflict(newest.revision, newest.author)
        if status is ChangeStatus.NOT_LISTED:
            return protocol.ChangeUnknown(
                f'revision {change.base_revision + 1} is no longer listed', 0
            )
        # A stale read does not show whether the change is stored already.
        self._possibly_written.add(change.change_id)
        revision = newest.revision if newest else 0
        return (
            f'stale read: got revision {revision}, expected at least '
            f'{change.base_revision}'
        )

    async def _write(
        self,
        change: protocol.ConfigurationChange,
        version: int,
        recent: list[protocol.ChangeSummary],
    ) -> protocol.ChangeOutcome | str:
        source = self._draft(change, recent)
        value = msgspec.json.encode(source)
        # A stopping daemon may abandon this call while the put is in flight,
        # so the change counts as possibly written from here on.
        was_possibly_written = change.change_id in self._possibly_written
        self._possibly_written.add(change.change_id)
        put = await self._platform.put(
            _current_state.CONFIGURATION_KEY, value, version
        )
        if isinstance(put, result.Success):
            self._possibly_written.discard(change.change_id)
            self._current_state.offer_source(source, value)
            return protocol.ChangeAccepted(source.revision)
        error = put.failure()
        if (
            error.kind is not transport.StoreErrorKind.LOST
            and not was_possibly_written
        ):
            self._possibly_written.discard(change.change_id)
        if error.kind is transport.StoreErrorKind.REFUSED:
            return protocol.ChangeInvalid([error.detail])
        # Retrying with the same expected version after a lost answer is
        # safe: at most one of the two puts can succeed.
        return f'write: {error.kind.value}: {error.detail}'

    def _draft(
        self,
        change: protocol.ConfigurationChange,
        recent: list[protocol.ChangeSummary],
    ) -> state.ConfigurationSource:
        source = state.ConfigurationSource(
            change.base_revision + 1,
            change.change_id,
            change.author,
            self._clock.wall_ms(),
            change.base,
            change.overlays,
            recent,
        )
        return msgspec.structs.replace(source, recent=_recent_changes(source))

    async def _read(
        self,
    ) -> result.Result[state.ConfigurationSource, object]:
        found = await self._platform.get(_current_state.CONFIGURATION_KEY)
        return found.bind(lambda stored: _decode(stored.value))


def _decode(value: bytes) -> result.Result[state.ConfigurationSource, str]:
    try:
        return result.Success(_SOURCE.decode(value))
    except protocol.DECODE_ERRORS as error:
        return result.Failure(
            f'the stored configuration cannot be decoded: {error}'
        )
