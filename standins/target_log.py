"""What the target stand-in ran, kept for the checkers."""

import os
import time

import msgspec

from samphiredock import protocol


class Execution(msgspec.Struct):
    """One item or unrepeatable request that this target began to run."""

    kind: str
    attempt_id: str
    idempotency_key: str
    service: str
    started_ms: float
    connection: int
    ended_ms: float = 0.0


class ExecutionLog:
    """Executions of one target: in memory, and in a file if told so.

    Parameters
    ----------
    name
        The target's name, which each line of the file begins with.
    keeps_sub_queries
        Whether sub-queries are kept in memory; runs always are.
    """

    def __init__(self, name: str, keeps_sub_queries: bool) -> None:
        self._name = name
        self._keeps_sub_queries = keeps_sub_queries
        self._file: int | None = None
        self.executions: list[Execution] = []

    def write_to(self, path: str) -> None:
        """Append a line to a file at the start of each execution."""
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._file = os.open(path, flags)

    def start(
        self,
        kind: str,
        item: protocol.TargetQuery | protocol.TargetRun,
        connection: int,
        idempotency_key: str = '',
    ) -> Execution:
        """Note that an item begins to run."""
        execution = Execution(
            kind,
            item.attempt_id,
            idempotency_key,
            item.service,
            now_ms(),
            connection,
        )
        if self._keeps_sub_queries or kind == 'run':
            self.executions.append(execution)
        if self._file is not None:
            # Written before the work, so that a kill cannot hide it.
            row = msgspec.json.encode([self._name, execution])
            os.write(self._file, row + b'\n')
        return execution


def now_ms() -> float:
    """Return the machine's monotonic milliseconds."""
    return time.monotonic() * 1000.0
