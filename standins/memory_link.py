"""A link to a target in memory, whose exchanges end when told to."""

import asyncio

from returns import result

from samphiredock import protocol
from samphiredock import state
from samphiredock import transport


class MemoryLink:
    """A ``transport.TargetLink`` whose exchanges the test ends."""

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
        """Wait for the test; an empty one is answered at once."""
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
        """Answer as the test set it."""
        self.cancels.append(body.attempt_ids)
        return result.Success(self.cancel_answer)

    async def health(self, timeout_ms: float) -> result.Result:
        """Answer, or not."""
        if self.healthy:
            return result.Success(protocol.TargetHealth(True, False, 0, 0.0))
        return failure(transport.LinkErrorKind.UNREACHABLE)

    async def resize(self, connections: int) -> None:
        """Keep no connections."""

    async def close(self) -> None:
        """Close nothing."""

    def answer(
        self,
        number: int = -1,
        status: protocol.TargetStatus = protocol.TargetStatus.OK,
        draining: bool = False,
    ) -> None:
        """Answer one batch well."""
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
