"""The log of what the target stand-in ran, for checks of tests."""

import os
import time

import msgspec

from samphiredock import protocol


class Execution(msgspec.Struct):
    """One sub-query or unrepeatable request that a target began to run."""

    kind: str
    attempt_id: str
    idempotency_key: str
    service: str
    started_ms: float
    connection: int
    ended_ms: float = 0.0


class ExecutionLog:
    """Executions of one target, in memory and optionally in a file.

    Parameters
    ----------
    name
        The target's name, the first item of each line in the file.
    keeps_sub_queries
        Whether sub-queries are kept in memory; unrepeatable requests
        always are.
    """

    def __init__(self, name: str, keeps_sub_queries: bool) -> None:
        self._name = name
        self._keeps_sub_queries = keeps_sub_queries
        self._file: int | None = None
        self.executions: list[Execution] = []

    def write_to(self, path: str) -> None:
        """Append each execution to a file when it starts."""
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._file = os.open(path, flags)

    def start(
        self,
        kind: str,
        item: protocol.TargetQuery | protocol.TargetRun,
        connection: int,
        idempotency_key: str = '',
    ) -> Execution:
        """Record the start of an execution."""
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
            # Written before the work, so that it survives SIGKILL.
            row = msgspec.json.encode([self._name, execution])
            os.write(self._file, row + b'\n')
        return execution


def now_ms() -> float:
    """Return the monotonic time in ms."""
    return time.monotonic() * 1000.0
