"""Pending attempts of a dispatcher, and their answers: exactly one each."""

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
    """An attempt that has not been answered.

    ``ticket`` is the exchange it was sent in, None while it is queued.
    """

    target: str
    job: _scheduler_types.Job
    ticket: int | None = None


class Outbox:
    """Tracks pending attempts and sends each attempt's answer once.

    Answers of one query are collected for one iteration of the event loop
    and sent to the coordinator in one message.

    Parameters
    ----------
    peers
        Sends the answers to the coordinators.
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
        """Return the number of pending attempts and of unsent messages."""
        return len(self._pending) + len(self._replies)

    def track(self, target: str, job: _scheduler_types.Job) -> None:
        """Add an attempt that was accepted for a target."""
        self._pending[job.attempt_id] = PendingAttempt(target, job)

    def pending(self, attempt_id: str) -> PendingAttempt | None:
        """Return a pending attempt, None if it has been answered."""
        return self._pending.get(attempt_id)

    def mark_sent(self, start: _scheduler_types.StartExchange) -> None:
        """Record that these jobs are in an exchange now."""
        for job in start.jobs:
            self._pending[job.attempt_id].ticket = start.ticket

    def refuse(self, target: str, refusal: _scheduler_types.Refuse) -> None:
        """Answer that the target never got the job."""
        job = refusal.job
        self._metrics.add('dispatch_refused', status=refusal.status.value)
        self._pending.setdefault(job.attempt_id, PendingAttempt(target, job))
        self.answer(job, _target_answers.refusal_message(target, refusal))

    def answer(
        self,
        job: _scheduler_types.Job,
        answer: protocol.SubAnswer | protocol.RunReport,
    ) -> None:
        """Send the answer on a job to its origin, unless already answered."""
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
