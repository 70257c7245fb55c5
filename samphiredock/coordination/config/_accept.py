"""Acceptance of a configuration change by one conditional update.

A change made from revision *b* can only ever be stored as revision *b* + 1,
and the object lists its last changes.  So whoever reads the object later
can tell whether the change was accepted by looking at that one row, also
when the answer to the write was lost and others have changed it since.
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
_ATTEMPTS = 5
_PAUSE_MS = 100.0
_RETRY_AFTER_MS = 1_000

_SOURCE = msgspec.json.Decoder(state.ConfigurationSource)
_log = logs.logger('accept')


class Standing(enum.Enum):
    """Where a change stands against the stored object."""

    OPEN = 'open'
    ACCEPTED = 'accepted'
    BEATEN = 'beaten'
    FORGOTTEN = 'forgotten'
    BEHIND = 'behind'


def standing_of(
    change: protocol.ConfigurationChange,
    revision: int,
    recent: list[protocol.ChangeSummary],
) -> Standing:
    """Tell where ``change`` stands when ``revision`` is the newest known.

    ``BEHIND`` means that what was read is older than the change's base:
    a stale read, which proves nothing.  ``FORGOTTEN`` means that the row
    that would tell is no longer listed.
    """
    if change.base_revision > revision:
        return Standing.BEHIND
    if change.base_revision == revision:
        return Standing.OPEN
    for row in recent:
        if row.revision == change.base_revision + 1:
            mine = row.change_id == change.change_id
            return Standing.ACCEPTED if mine else Standing.BEATEN
    return Standing.FORGOTTEN


def _recent_of(
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
    """Bring operators' changes into the store, and tell them truly.

    Parameters
    ----------
    platform
        The object service.
    current_state
        What is in force here; an accepted change is offered to it at once.
    clock, counters
        The timer service and the metrics of this daemon.
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
        # Changes whose write may have taken effect: a later call for the
        # same change must not be told that nothing was changed.
        self._unsure: set[str] = set()

    async def apply(
        self, change: protocol.ConfigurationChange
    ) -> protocol.ChangeOutcome:
        """Accept a change, or say why not."""
        draft = self._draft(change, [])
        compiled = state.compile_source(draft)
        if isinstance(compiled, result.Failure):
            problems = [str(row) for row in compiled.failure()]
            return protocol.ChangeInvalid(problems)
        outcome = await self._try(change)
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
        """Return the last changes, newest first, from store or memory."""
        found = await self._read()
        held = self._current_state.source
        rows = [source for source in (found.value_or(None), held) if source]
        if not rows:
            return []
        newest = max(rows, key=lambda source: source.revision)
        return list(reversed(_recent_of(newest)))

    async def _try(
        self, change: protocol.ConfigurationChange
    ) -> protocol.ChangeOutcome:
        detail = ''
        for attempt in range(_ATTEMPTS):
            if attempt:
                await _pause.pause(self._clock, _PAUSE_MS)
            step = await self._attempt(change)
            if not isinstance(step, str):
                return step
            detail = step
        return self.abandoned_outcome(change, detail)

    def abandoned_outcome(
        self, change: protocol.ConfigurationChange, detail: str
    ) -> protocol.ChangeOutcome:
        """Return what is true of a change that is not tried any more."""
        if change.repeated or change.change_id in self._unsure:
            return protocol.ChangeUnknown(detail, _RETRY_AFTER_MS)
        return protocol.ChangeUnavailable(detail, _RETRY_AFTER_MS)

    async def _attempt(
        self, change: protocol.ConfigurationChange
    ) -> protocol.ChangeOutcome | str:
        """Read, judge and write once; a text means: try again."""
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
        recent = _recent_of(newest) if newest else []
        standing = standing_of(change, revision, recent)
        if standing is Standing.OPEN:
            return await self._write(change, version, recent)
        return self._judge(change, standing, newest)

    def _newest(
        self, stored: state.ConfigurationSource | None
    ) -> state.ConfigurationSource | None:
        # A store restored from a backup shows an older revision than is in
        # force.  Numbering on from it would give two changes one number,
        # and daemons would ignore the second for ever.
        held = self._current_state.source
        rows = [source for source in (stored, held) if source]
        return max(rows, key=lambda row: row.revision, default=None)

    def _judge(
        self,
        change: protocol.ConfigurationChange,
        standing: Standing,
        newest: state.ConfigurationSource | None,
    ) -> protocol.ChangeOutcome | str:
        if standing is Standing.ACCEPTED:
            self._current_state.offer_source(newest)
            return protocol.ChangeAccepted(change.base_revision + 1)
        if standing is Standing.BEATEN:
            return protocol.ChangeConflict(newest.revision, newest.author)
        if standing is Standing.FORGOTTEN:
            return protocol.ChangeUnknown(
                f'revision {change.base_revision + 1} is no longer listed', 0
            )
        self._unsure.add(change.change_id)
        revision = newest.revision if newest else 0
        return (
            f'the store shows revision {revision}, expected at least '
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
        # A daemon that stops may give the call up while the write is out.
        was_unsure = change.change_id in self._unsure
        self._unsure.add(change.change_id)
        put = await self._platform.put(
            _current_state.CONFIGURATION_KEY, value, version
        )
        if isinstance(put, result.Success):
            self._unsure.discard(change.change_id)
            self._current_state.offer_source(source, value)
            return protocol.ChangeAccepted(source.revision)
        error = put.failure()
        if error.kind is not transport.StoreErrorKind.LOST and not was_unsure:
            self._unsure.discard(change.change_id)
        if error.kind is transport.StoreErrorKind.REFUSED:
            return protocol.ChangeInvalid([error.detail])
        # After a lost answer, writing again under the same expected version
        # is safe: of the two writes at most one can take effect.
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
        return msgspec.structs.replace(source, recent=_recent_of(source))

    async def _read(
        self,
    ) -> result.Result[state.ConfigurationSource, object]:
        found = await self._platform.get(_current_state.CONFIGURATION_KEY)
        return found.bind(lambda stored: _decode(stored.value))


def _decode(value: bytes) -> result.Result[state.ConfigurationSource, str]:
    try:
        return result.Success(_SOURCE.decode(value))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return result.Failure(f'the stored object is unreadable: {error}')
