"""In-memory services behind the HTTP interfaces of a daemon."""

import typing

from returns import result

from samphiredock import protocol
from samphiredock import state


class MemoryService:
    """A ``RequestExecutor`` that records requests and returns ``outcome``.

    ``error``, if set, is raised instead.
    """

    def __init__(self) -> None:
        self.outcome: protocol.Outcome = protocol.Answered([], 1, 1.0)
        self.error: Exception | None = None
        self.closing = False
        self.asked: list[object] = []
        self.issued_at_ms: set[int] = set()

    async def search(self, request: protocol.SearchRequest) -> typing.Any:
        """Record the request and return the outcome."""
        return self._answer(request)

    async def run(
        self, request: protocol.RunRequest, idempotency_key: str
    ) -> typing.Any:
        """Record the key and return the outcome."""
        self.issued_at_ms.add(request.issued_at_ms)
        return self._answer(idempotency_key)

    def is_ready(self) -> bool:
        """Return True."""
        return True

    def is_closing(self) -> bool:
        """Return ``closing``."""
        return self.closing

    def _answer(self, asked: object) -> typing.Any:
        self.asked.append(asked)
        if self.error is not None:
            raise self.error
        return self.outcome


class MemoryOperations:
    """A ``transport.Operations`` whose results the test sets.

    ``outcome`` is returned for each change; ``error``, if set, is raised by
    ``status``.  Only the target ``desk-1`` exists.
    """

    def __init__(self, source: state.ConfigurationSource) -> None:
        self._source = source
        self.outcome: protocol.ChangeOutcome = protocol.ChangeAccepted(2)
        self.changes: list[protocol.ConfigurationChange] = []
        self.leaving: dict[str, bool] = {}
        self.error: Exception | None = None

    def status(self) -> dict[str, typing.Any]:
        """Return a short status, or raise ``error``."""
        if self.error is not None:
            raise self.error
        return {'name': 'entry-1'}

    def configuration_source(self) -> state.ConfigurationSource:
        """Return the source passed to the constructor."""
        return self._source

    async def apply(self, change: protocol.ConfigurationChange) -> typing.Any:
        """Record the change and return ``outcome``."""
        self.changes.append(change)
        return self.outcome

    async def history(self) -> typing.Any:
        """Return a history of one change."""
        return result.Success([protocol.ChangeSummary(1, 'a', 'c', 0)])

    def confirmations(self) -> protocol.Confirmations:
        """Return the confirmation of one daemon."""
        row = protocol.DaemonRevision('entry-1', 'bole-a', 2)
        return protocol.Confirmations(2, [row])

    async def set_leaving(self, target: str, leaving: bool) -> typing.Any:
        """Record the flag; fail for targets other than ``desk-1``."""
        if target != 'desk-1':
            kind = protocol.OperatorErrorKind.NOT_FOUND
            return result.Failure(protocol.OperatorError(kind, target))
        self.leaving[target] = leaving
        return result.Success(None)

    def quarantined(self) -> typing.Any:
        """Return an empty list."""
        return result.Success([])

    async def release(self, fingerprint: str) -> typing.Any:
        """Fail: the store is unavailable."""
        kind = protocol.OperatorErrorKind.UNAVAILABLE
        return result.Failure(protocol.OperatorError(kind, 'store', 1_000))
