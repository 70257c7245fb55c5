"""Where each attempt is, and the answers that go out: one each."""

import asyncio
import collections
import dataclasses

from samphiredock.coordination.targets import _lane_types
from samphiredock.coordination.targets import _target_answers
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import transport


@dataclasses.dataclass(slots=True)
class Place:
    """Where an attempt is: queued in a lane, or in an exchange."""

    target: str
    work: _lane_types.Work
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
        self._places: dict[str, Place] = {}
        self._replies: dict[tuple[str, str], list[protocol.SubAnswer]] = (
            collections.defaultdict(list)
        )

    def in_flight(self) -> int:
        """Return what is not answered, or whose answer has yet to leave."""
        return len(self._places) + len(self._replies)

    def track(self, target: str, work: _lane_types.Work) -> None:
        """Take an attempt in."""
        self._places[work.attempt_id] = Place(target, work)

    def place(self, attempt_id: str) -> Place | None:
        """Return where an attempt is, None if it has been answered."""
        return self._places.get(attempt_id)

    def sent(self, start: _lane_types.StartExchange) -> None:
        """Note that these are in an exchange now."""
        for work in start.works:
            self._places[work.attempt_id].ticket = start.ticket

    def refuse(self, target: str, refusal: _lane_types.Refuse) -> None:
        """Tell the origin that the target never got it."""
        work = refusal.work
        self._metrics.add('dispatch_refused', status=refusal.status.value)
        self._places.setdefault(work.attempt_id, Place(target, work))
        self.answer(work, _target_answers.refusal_message(target, refusal))

    def answer(
        self,
        work: _lane_types.Work,
        answer: protocol.SubAnswer | protocol.RunReport,
    ) -> None:
        """Tell the origin how an attempt ended, unless it was told."""
        if self._places.pop(work.attempt_id, None) is None:
            return
        if isinstance(answer, protocol.RunReport):
            self._peers.answer(work.origin, answer)
            return
        if not self._replies:
            asyncio.get_running_loop().call_soon(self._flush)
        self._replies[work.origin, work.query_id].append(answer)

    def _flush(self) -> None:
        replies = dict(self._replies)
        self._replies.clear()
        for (origin, query_id), answers in replies.items():
            self._peers.answer(
                origin, protocol.SubAnswerBatch(query_id, answers)
            )
