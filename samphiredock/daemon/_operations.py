"""What operators may ask of this daemon."""

import typing

import msgspec
from returns import result

from samphiredock import coordination
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

_RETRY_AFTER_MS = 1_000

_SOURCE = msgspec.json.Decoder(state.ConfigurationSource)
_ErrorKind = transport.StoreErrorKind


class OperatorDesk:
    """Configuration changes by one conditional write, and confirmations."""

    def __init__(
        self,
        knowledge: coordination.Knowledge,
        membership: coordination.Membership,
        platform: transport.Platform,
        clock: timers.Timers,
    ) -> None:
        self._knowledge = knowledge
        self._membership = membership
        self._platform = platform
        self._clock = clock

    def configuration_source(self) -> state.ConfigurationSource | None:
        """Return what is in force here, as operators wrote it."""
        return self._knowledge.source

    async def apply(
        self, change: protocol.ConfigurationChange
    ) -> protocol.ChangeOutcome:
        """Write a change if nothing was accepted since its base."""
        source = state.ConfigurationSource(
            change.base_revision + 1,
            change.change_id,
            change.author,
            self._clock.wall_ms(),
            change.base,
            change.overlays,
        )
        compiled = state.compile_source(source)
        if isinstance(compiled, result.Failure):
            problems = [str(row) for row in compiled.failure()]
            return protocol.ChangeInvalid(problems)
        stored = await self._stored()
        if isinstance(stored, result.Failure):
            return protocol.ChangeUnavailable(
                stored.failure(), _RETRY_AFTER_MS
            )
        version, held = stored.unwrap()
        decided = _decided(change, held)
        if decided is not None:
            return decided
        return await self._write(change, source, version)

    async def _write(
        self,
        change: protocol.ConfigurationChange,
        source: state.ConfigurationSource,
        version: int,
    ) -> protocol.ChangeOutcome:
        put = await self._platform.put(
            coordination.CONFIGURATION_KEY,
            msgspec.json.encode(source),
            version,
        )
        if isinstance(put, result.Success):
            self._knowledge.offer_source(source)
            return protocol.ChangeAccepted(source.revision)
        error = put.failure()
        if error.kind is _ErrorKind.UNAVAILABLE:
            return protocol.ChangeUnavailable(error.detail, _RETRY_AFTER_MS)
        if error.kind is _ErrorKind.REFUSED:
            return protocol.ChangeInvalid([error.detail])
        # The answer may be lost after the write took effect, and another
        # change may have been written since: what is stored tells.
        stored = await self._stored()
        if isinstance(stored, result.Failure):
            return protocol.ChangeUnknown(error.detail, _RETRY_AFTER_MS)
        decided = _decided(change, stored.unwrap()[1])
        return decided or protocol.ChangeUnknown(error.detail, _RETRY_AFTER_MS)

    async def _stored(
        self,
    ) -> result.Result[tuple[int, state.ConfigurationSource | None], str]:
        found = await self._platform.get(coordination.CONFIGURATION_KEY)
        if isinstance(found, result.Failure):
            error = found.failure()
            if error.kind is _ErrorKind.NOT_FOUND:
                return result.Success((transport.CREATE_ONLY, None))
            return result.Failure(error.detail)
        stored = found.unwrap()
        try:
            source = _SOURCE.decode(stored.value)
        except msgspec.DecodeError as error:
            return result.Failure(f'stored configuration: {error}')
        return result.Success((stored.version, source))

    def confirmations(self) -> protocol.Confirmations:
        """Return the revision that each live daemon reported."""
        revisions = self._membership.revisions()
        daemons = [
            protocol.DaemonRevision(
                member.name, member.site, revisions.get(member.name, 0)
            )
            for member in self._membership.live()
        ]
        return protocol.Confirmations(self._knowledge.revision, daemons)

    async def history(
        self,
    ) -> result.Result[
        typing.Sequence[protocol.ChangeSummary], protocol.OperatorError
    ]:
        """Say that this build keeps no history."""
        return _not_offered('the history of changes')

    async def set_leaving(
        self, target: str, leaving: bool
    ) -> result.Result[None, protocol.OperatorError]:
        """Say that this build cannot mark targets."""
        return _not_offered('draining of targets')

    def quarantined(
        self,
    ) -> result.Result[
        typing.Sequence[protocol.QuarantineEntry], protocol.OperatorError
    ]:
        """Say that this build keeps no quarantine."""
        return _not_offered('the quarantine')

    async def release(
        self, fingerprint: str
    ) -> result.Result[None, protocol.OperatorError]:
        """Say that this build keeps no quarantine."""
        return _not_offered('the quarantine')


def _decided(
    change: protocol.ConfigurationChange,
    held: state.ConfigurationSource | None,
) -> protocol.ChangeOutcome | None:
    if held is not None and held.change_id == change.change_id:
        return protocol.ChangeAccepted(held.revision)
    revision = held.revision if held else 0
    if revision != change.base_revision:
        author = held.author if held else ''
        return protocol.ChangeConflict(revision, author)
    return None


def _not_offered(what: str) -> result.Failure[protocol.OperatorError]:
    return result.Failure(
        protocol.OperatorError(
            protocol.OperatorErrorKind.NOT_OFFERED,
            f'this daemon does not offer {what}',
        )
    )
