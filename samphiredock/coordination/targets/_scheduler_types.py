"""The input and the effects of a :class:`TargetScheduler`."""

import dataclasses
import enum

from samphiredock.coordination.targets import _shares
from samphiredock import protocol


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Job:
    """One sub-query or unrepeatable request (run) that needs a slot.

    ``origin`` is the daemon that gets the answer, ``flow`` decides whose
    share the job counts against.  ``item`` is the sub-query within
    ``request``.  A run has no item (None) and no ``query_id`` (empty).
    """

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
        """Whether the job must have an exchange of its own."""
        return self.item is None or self.request.alone


@dataclasses.dataclass(frozen=True, slots=True)
class StartExchange:
    """Effect: send these jobs to the target in one exchange.

    ``ticket`` is the exchange's number, which the scheduler expects back
    when it ends.
    """

    ticket: int
    jobs: tuple[Job, ...]
    deadline_at_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Effect: answer that this job was never sent to the target."""

    job: Job
    status: protocol.SubStatus
    detail: str
    retry_after_ms: int = 0


Effect = StartExchange | Refuse


class ExchangeEnd(enum.Enum):
    """What the end of an exchange says about its slot and its target.

    ``ANSWERED``: the target served the request; the slot is free.
    ``FREE``: the request was not sent, or the target did not serve it or is
    draining; the slot is free.  ``LOST``: no answer came; the target may
    still use the slot.
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
    """Return one job for each sub-query of a message."""
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
    """Return the job of an unrepeatable request."""
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
