"""An in-memory link to a target whose exchanges a test ends."""

import asyncio

from returns import result

from samphiredock import protocol
from samphiredock import state
from samphiredock import transport


class MemoryLink:
    """A ``transport.TargetLink`` whose exchanges the test ends.

    ``batches``, ``runs`` and ``cancels`` hold what was sent; ``healthy``,
    ``draining`` and ``running`` are what the target reports.
    """

    def __init__(self, of_target: state.Target) -> None:
        self.target = of_target
        self.batches: list[tuple[protocol.TargetBatch, asyncio.Future]] = []
        self.runs: list[tuple[protocol.TargetRun, asyncio.Future]] = []
        self.cancels: list[list[str]] = []
        self.cancel_answer = protocol.TargetCancelAnswer([])
        self.healthy = True
        self.draining = False
        self.running = 0

    async def batch(
        self, body: protocol.TargetBatch, timeout_ms: float
    ) -> result.Result:
        """Wait for the test; an empty batch is answered at once."""
        if not body.items:
            return result.Success(
                protocol.TargetBatchAnswer([], self.draining, self.running)
            )
        future = asyncio.get_running_loop().create_future()
        self.batches.append((body, future))
        return await future

    async def run(
        self, body: protocol.TargetRun, timeout_ms: float
    ) -> result.Result:
        """Wait for the test."""
        future = asyncio.get_running_loop().create_future()
        self.runs.append((body, future))
        return await future

    async def cancel(
        self, body: protocol.TargetCancel, timeout_ms: float
    ) -> result.Result:
        """Return ``cancel_answer``."""
        self.cancels.append(body.attempt_ids)
        return result.Success(self.cancel_answer)

    async def health(self, timeout_ms: float) -> result.Result:
        """Return the target's health, or an error if not ``healthy``."""
        if self.healthy:
            return result.Success(protocol.TargetHealth(True, False, 0, 0.0))
        return failure(transport.LinkErrorKind.UNREACHABLE)

    async def resize(self, connections: int) -> None:
        """Do nothing: there are no connections."""

    async def close(self) -> None:
        """Do nothing: there are no connections."""

    def answer(
        self,
        number: int = -1,
        status: protocol.TargetStatus = protocol.TargetStatus.OK,
        draining: bool = False,
    ) -> None:
        """Answer one batch, by default with success for each item."""
        body, future = self.batches[number]
        answers = [
            protocol.TargetAnswer(row.attempt_id, status, row.snapshot_id)
            for row in body.items
        ]
        future.set_result(
            result.Success(protocol.TargetBatchAnswer(answers, draining))
        )


def failure(kind: transport.LinkErrorKind) -> result.Result:
    """Return a failed exchange."""
    return result.Failure(transport.LinkError(kind, 'test'))
