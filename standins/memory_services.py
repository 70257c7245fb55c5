"""What stands behind a daemon's HTTP interfaces, in memory."""

import typing

from returns import result

from samphiredock import protocol
from samphiredock import state


class MemoryService:
    """A ``RequestExecutor`` that records requests and returns set outcomes.

    ``error``, if set, is raised instead of answering.
    """

    def __init__(self) -> None:
        self.outcome: protocol.Outcome = protocol.Answered([], 1, 1.0)
        self.error: Exception | None = None
        self.closing = False
        self.asked: list[object] = []
        self.issued_at_ms: set[int] = set()

    async def search(self, request: protocol.SearchRequest) -> typing.Any:
        """Note the request and answer."""
        return self._answer(request)

    async def run(
        self, request: protocol.RunRequest, idempotency_key: str
    ) -> typing.Any:
        """Note the request and answer."""
        self.issued_at_ms.add(request.issued_at_ms)
        return self._answer(idempotency_key)

    def is_ready(self) -> bool:
        """Always ready."""
        return True

    def is_closing(self) -> bool:
        """As the test says."""
        return self.closing

    def _answer(self, asked: object) -> typing.Any:
        self.asked.append(asked)
        if self.error is not None:
            raise self.error
        return self.outcome


class MemoryOperations:
    """A ``transport.Operations`` whose answers the test sets.

    ``outcome`` is that of the next change; ``error`` is raised by the
    status.  Only the target ``desk-1`` is known.
    """

    def __init__(self, source: state.ConfigurationSource) -> None:
        self._source = source
        self.outcome: protocol.ChangeOutcome = protocol.ChangeAccepted(2)
        self.changes: list[protocol.ConfigurationChange] = []
        self.leaving: dict[str, bool] = {}
        self.error: Exception | None = None

    def status(self) -> dict[str, typing.Any]:
        """Fail if told."""
        if self.error is not None:
            raise self.error
        return {'name': 'entry-1'}

    def configuration_source(self) -> state.ConfigurationSource:
        """Return the source that it was made with."""
        return self._source

    async def apply(self, change: protocol.ConfigurationChange) -> typing.Any:
        """Note the change."""
        self.changes.append(change)
        return self.outcome

    async def history(self) -> typing.Any:
        """Return one change."""
        return result.Success([protocol.ChangeSummary(1, 'a', 'c', 0)])

    def confirmations(self) -> protocol.Confirmations:
        """Return one daemon."""
        row = protocol.DaemonRevision('entry-1', 'bole-a', 2)
        return protocol.Confirmations(2, [row])

    async def set_leaving(self, target: str, leaving: bool) -> typing.Any:
        """Note the sign; only desk-1 is known."""
        if target != 'desk-1':
            kind = protocol.OperatorErrorKind.NOT_FOUND
            return result.Failure(protocol.OperatorError(kind, target))
        self.leaving[target] = leaving
        return result.Success(None)

    def quarantined(self) -> typing.Any:
        """Return nothing held."""
        return result.Success([])

    async def release(self, fingerprint: str) -> typing.Any:
        """Say that the store is down."""
        kind = protocol.OperatorErrorKind.UNAVAILABLE
        return result.Failure(protocol.OperatorError(kind, 'store', 1_000))
