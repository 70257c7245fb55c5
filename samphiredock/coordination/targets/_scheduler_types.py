"""What goes into a lane and what comes out of it."""

import dataclasses
import enum

from samphiredock.coordination.targets import _shares
from samphiredock import protocol


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Job:
    """One sub-query or unrepeatable request that waits for a slot."""

    origin: str
    query_id: str
    attempt_id: str
    expires_at_ms: float
    request: protocol.SubQueryBatch | protocol.RunOrder
    item: protocol.SubQuery | None
    flow: _shares.Flow = _shares.Flow('', '')
    arrived_ms: float = 0.0

    @property
    def is_alone(self) -> bool:
        """Whether it may share its exchange with nothing else."""
        return self.item is None or self.request.alone


@dataclasses.dataclass(frozen=True, slots=True)
class StartExchange:
    """Send these to the target; they take one slot until they end."""

    ticket: int
    jobs: tuple[Job, ...]
    deadline_at_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Tell the origin that this was never sent."""

    job: Job
    status: protocol.SubStatus
    detail: str
    retry_after_ms: int = 0


Effect = StartExchange | Refuse


class ExchangeEnd(enum.Enum):
    """What the end of an exchange says about its slot and its target.

    ``FREE`` frees the slot but is no good answer: never sent, or an error
    that the target answered.  Only ``LOST`` leaves the slot taken: the
    target may still be working.
    """

    ANSWERED = 'answered'
    FREE = 'free'
    LOST = 'lost'


def jobs_of(
    sender: str,
    batch: protocol.SubQueryBatch,
    expires_at_ms: float,
    now_ms: float,
) -> list[Job]:
    """Return the sub-queries of a message as work."""
    flow = _shares.Flow(batch.service, batch.site)
    return [
        Job(
            sender,
            batch.query_id,
            item.attempt_id,
            expires_at_ms,
            batch,
            item,
            flow,
            now_ms,
        )
        for item in batch.items
    ]


def job_of_run(sender: str, order: protocol.RunOrder, now_ms: float) -> Job:
    """Return an unrepeatable request as work."""
    return Job(
        sender,
        '',
        order.attempt_id,
        now_ms + order.budget_ms,
        order,
        None,
        _shares.Flow(order.service, order.site),
        now_ms,
    )
