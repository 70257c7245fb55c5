"""Where each attempt is, and the answers that go out: one each."""

import asyncio
import collections
import dataclasses

from samphiredock.coordination.targets import _scheduler_types
from samphiredock.coordination.targets import _target_answers
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import transport


@dataclasses.dataclass(slots=True)
class PendingAttempt:
    """Where an attempt is: queued in a lane, or in an exchange."""

    target: str
    job: _scheduler_types.Job
    ticket: int | None = None


class Outbox:
    """Attempts taken in and not answered yet, and answers on their way.

    Parameters
    ----------
    peers
        Where answers go.
    counters
        Metrics of this daemon.
    """

    def __init__(
        self, peers: transport.Peers, counters: metrics.Metrics
    ) -> None:
        self._peers = peers
        self._metrics = counters
        self._pending: dict[str, PendingAttempt] = {}
        self._replies: dict[tuple[str, str], list[protocol.SubAnswer]] = (
            collections.defaultdict(list)
        )

    def in_flight(self) -> int:
        """Return what is not answered, or whose answer has yet to leave."""
        return len(self._pending) + len(self._replies)

    def track(self, target: str, job: _scheduler_types.Job) -> None:
        """Take an attempt in."""
        self._pending[job.attempt_id] = PendingAttempt(target, job)

    def pending(self, attempt_id: str) -> PendingAttempt | None:
        """Return where an attempt is, None if it has been answered."""
        return self._pending.get(attempt_id)

    def mark_sent(self, start: _scheduler_types.StartExchange) -> None:
        """Note that these are in an exchange now."""
        for job in start.jobs:
            self._pending[job.attempt_id].ticket = start.ticket

    def refuse(self, target: str, refusal: _scheduler_types.Refuse) -> None:
        """Tell the origin that the target never got it."""
        job = refusal.job
        self._metrics.add('dispatch_refused', status=refusal.status.value)
        self._pending.setdefault(job.attempt_id, PendingAttempt(target, job))
        self.answer(job, _target_answers.refusal_message(target, refusal))

    def answer(
        self,
        job: _scheduler_types.Job,
        answer: protocol.SubAnswer | protocol.RunReport,
    ) -> None:
        """Tell the origin how an attempt ended, unless it was told."""
        if self._pending.pop(job.attempt_id, None) is None:
            return
        if isinstance(answer, protocol.RunReport):
            self._peers.answer(job.origin, answer)
            return
        if not self._replies:
            asyncio.get_running_loop().call_soon(self._flush)
        self._replies[job.origin, job.query_id].append(answer)

    def _flush(self) -> None:
        replies = dict(self._replies)
        self._replies.clear()
        for (origin, query_id), answers in replies.items():
            self._peers.answer(
                origin, protocol.SubAnswerBatch(query_id, answers)
            )
