"""Answers the calls of the operators' HTTP interface."""

import asyncio
import typing

from returns import result

from samphiredock.daemon import _components
from samphiredock import protocol
from samphiredock import state
from samphiredock import transport

_RETRY_AFTER_MS = 1_000

_Kind = protocol.OperatorErrorKind
_STORE_ERRORS = {
    transport.StoreErrorKind.NOT_FOUND: _Kind.NOT_FOUND,
    transport.StoreErrorKind.CONFLICT: _Kind.UNAVAILABLE,
    transport.StoreErrorKind.UNAVAILABLE: _Kind.UNAVAILABLE,
    transport.StoreErrorKind.LOST: _Kind.UNKNOWN,
    transport.StoreErrorKind.UNREADABLE: _Kind.UNAVAILABLE,
    transport.StoreErrorKind.REFUSED: _Kind.BAD_REQUEST,
}


_STOPPED_TEXT = 'this daemon stopped; ask another one'

_Outcome = typing.TypeVar('_Outcome')


class OperatorHandler:
    """Answers operators' calls from the components of the daemon.

    Implements ``transport.Operations``.  Calls that wait for the store are
    answered when the daemon stops, even if the store does not reply.
    """

    def __init__(
        self,
        components: _components.Components,
        settings: state.Settings,
        is_ready: typing.Callable[[], bool],
    ) -> None:
        self._components = components
        self._settings = settings
        self._is_ready = is_ready
        self._is_stopped = False
        # One future for each call that waits for the store.
        self._wakers: set[asyncio.Future] = set()

    def open_calls(self) -> int:
        """Return how many calls are waiting for the store."""
        return len(self._wakers)

    def finish_all(self) -> None:
        """Answer every waiting call, as the daemon stops."""
        self._is_stopped = True
        for waker in self._wakers:
            _wake(waker)

    async def _run_until_stop(
        self,
        work: typing.Coroutine[typing.Any, typing.Any, _Outcome],
        outcome_at_stop: typing.Callable[[bool], _Outcome],
    ) -> _Outcome:
        """Await some work; if the daemon stops first, cancel it.

        ``outcome_at_stop`` returns the outcome of cancelled work, given
        whether it had begun.
        """
        if self._is_stopped:
            work.close()
            return outcome_at_stop(False)
        waker = asyncio.get_running_loop().create_future()
        task = asyncio.create_task(work)
        task.add_done_callback(lambda _: _wake(waker))
        self._wakers.add(waker)
        try:
            await waker
            return task.result() if task.done() else outcome_at_stop(True)
        finally:
            self._wakers.discard(waker)
            task.cancel()

    def status(self) -> dict[str, typing.Any]:
        """Return this daemon's view of members and targets, as JSON fields."""
        components = self._components
        configuration = components.configuration
        targets = configuration.targets if configuration else {}
        snapshot = components.snapshot
        return {
            'name': components.member.name,
            'site': components.member.site,
            'incarnation': components.member.incarnation,
            'ready': self._is_ready(),
            'revision': components.current_state.revision,
            'snapshot_id': snapshot.snapshot_id if snapshot else 0,
            'members': components.membership.live(),
            'health': components.membership.health(),
            'revisions': components.membership.revisions(),
            'targets': {name: components.owner(name) for name in targets},
            'target_rows': [self._target_row(row) for row in targets.values()],
            'caller_url': self._caller_url(),
            'counters': components.metrics.totals(),
        }

    def configuration_source(self) -> state.ConfigurationSource | None:
        """Return the configuration in force here, as operators wrote it."""
        return self._components.current_state.source

    async def apply(
        self, change: protocol.ConfigurationChange
    ) -> protocol.ChangeOutcome:
        """Apply a configuration change and announce it to all daemons."""
        return await self._run_until_stop(
            self._apply(change),
            lambda has_begun: self._components.acceptor.abandoned_outcome(
                change, _STOPPED_TEXT
            ),
        )

    async def _apply(
        self, change: protocol.ConfigurationChange
    ) -> protocol.ChangeOutcome:
        outcome = await self._components.acceptor.apply(change)
        if isinstance(outcome, protocol.ChangeAccepted):
            self._components.distribution.announce_configuration()
        return outcome

    async def history(
        self,
    ) -> result.Result[
        typing.Sequence[protocol.ChangeSummary], protocol.OperatorError
    ]:
        """Return the accepted changes, the newest first."""
        return await self._run_until_stop(
            self._history(),
            lambda has_begun: _stopped_error(_Kind.UNAVAILABLE),
        )

    async def _history(
        self,
    ) -> result.Result[
        typing.Sequence[protocol.ChangeSummary], protocol.OperatorError
    ]:
        return result.Success(await self._components.acceptor.history())

    def confirmations(self) -> protocol.Confirmations:
        """Return the configuration revision that each live daemon reported."""
        revisions = self._components.membership.revisions()
        daemons = [
            protocol.DaemonRevision(
                member.name, member.site, revisions.get(member.name, 0)
            )
            for member in self._components.membership.live()
        ]
        return protocol.Confirmations(
            self._components.current_state.revision, daemons
        )

    async def set_leaving(
        self, target: str, leaving: bool
    ) -> result.Result[None, protocol.OperatorError]:
        """Mark a target as leaving, or remove the mark.

        A target that is leaving gets no new work.
        """
        return await self._run_until_stop(
            self._set_leaving(target, leaving), _stopped_write_error
        )

    async def _set_leaving(
        self, target: str, leaving: bool
    ) -> result.Result[None, protocol.OperatorError]:
        configuration = self._components.configuration
        if configuration is None or target not in configuration.targets:
            return result.Failure(
                protocol.OperatorError(
                    _Kind.NOT_FOUND,
                    f'got target {target!r}, expected a configured one',
                )
            )
        put = await self._components.signs.set_leaving(target, leaving)
        if isinstance(put, result.Failure):
            error = put.failure()
            return result.Failure(
                protocol.OperatorError(
                    _STORE_ERRORS[error.kind], error.detail, _RETRY_AFTER_MS
                )
            )
        return result.Success(None)

    def quarantined(
        self,
    ) -> result.Result[
        typing.Sequence[protocol.QuarantineEntry], protocol.OperatorError
    ]:
        """Return the quarantined request contents."""
        return result.Success(self._components.quarantine.entries())

    async def release(
        self, fingerprint: str
    ) -> result.Result[None, protocol.OperatorError]:
        """Release a request content from quarantine."""
        return await self._run_until_stop(
            self._release(fingerprint), _stopped_write_error
        )

    async def _release(
        self, fingerprint: str
    ) -> result.Result[None, protocol.OperatorError]:
        listed = {
            row.fingerprint for row in self._components.quarantine.entries()
        }
        released = await self._components.quarantine.release(fingerprint)
        if isinstance(released, result.Success):
            return result.Success(None)
        kind = _Kind.UNKNOWN if fingerprint in listed else _Kind.NOT_FOUND
        return result.Failure(protocol.OperatorError(kind, released.failure()))

    def _caller_url(self) -> str:
        scheme = 'https' if self._settings.tls else 'http'
        return f'{scheme}://{self._settings.caller_address}'

    def _target_row(self, target: state.Target) -> protocol.TargetRow:
        return protocol.TargetRow(
            target.name,
            target.site,
            self._components.owner(target.name),
            target.slots,
            target.connections,
            self._components.is_usable(target.name),
        )


def _wake(waker: asyncio.Future) -> None:
    if not waker.done():
        waker.set_result(None)


def _stopped_error(
    kind: protocol.OperatorErrorKind,
) -> result.Result[typing.Any, protocol.OperatorError]:
    return result.Failure(
        protocol.OperatorError(kind, _STOPPED_TEXT, _RETRY_AFTER_MS)
    )


def _stopped_write_error(
    has_begun: bool,
) -> result.Result[None, protocol.OperatorError]:
    # A write that has begun may have reached the store.
    return _stopped_error(_Kind.UNKNOWN if has_begun else _Kind.UNAVAILABLE)
