"""The exchanges of one dispatcher with its targets."""

import dataclasses
import typing

from returns import result

from samphiredock.coordination.targets import _lane
from samphiredock.coordination.targets import _lane_types
from samphiredock.coordination.targets import _target_answers
from samphiredock.coordination.targets import _target_signs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

_PROBE_MS = 300.0
_SAMPLE_EVERY = 8
"""Of the exchanges one in so many is recorded in the histogram."""

Answer = typing.Callable[
    [_lane_types.Work, protocol.SubAnswer | protocol.RunReport], None
]


@dataclasses.dataclass(slots=True)
class Post:
    """One target's lane, its link and the timer that wakes the lane."""

    lane: _lane.Lane
    link: transport.TargetLink
    target: state.Target
    wake_at_ms: float = 0.0
    timer: timers.Subscription | None = None


class Exchanges:
    """Send what lanes decided and take in what targets answer.

    Parameters
    ----------
    clock, counters
        The timer service and the metrics.
    signs
        Where a target's own word that it leaves goes, if anywhere.
    answer
        Tells the origin of some work how it ended.
    silent_after_ms
        Reads after how long without an answer a connection is silent.
    """

    def __init__(
        self,
        clock: timers.Timers,
        counters: metrics.Metrics,
        signs: _target_signs.TargetSigns | None,
        answer: Answer,
        silent_after_ms: typing.Callable[[], float],
    ) -> None:
        self._clock = clock
        self._metrics = counters
        self._signs = signs
        self._answer = answer
        self._silent_after_ms = silent_after_ms
        self._count = 0

    async def run(
        self, post: Post, start: _lane_types.StartExchange
    ) -> _lane_types.Ending:
        """Do one exchange and answer its work; return what became of it."""
        if start.works[0].item is None:
            ending = await self._run(post, start)
        else:
            ending = await self._batch(post, start)
        if ending is _lane_types.Ending.LOST:
            self._metrics.add('slots_held_after_loss')
        return ending

    async def probe(self, post: Post) -> None:
        """Ask a target, by an empty batch, what runs there and if it drains.

        An empty batch takes no slot, and unlike the health endpoint it goes
        the way that work goes.
        """
        asked_at_ms = self._clock.wall_ms()
        reply = await post.link.batch(protocol.TargetBatch([]), _PROBE_MS)
        if isinstance(reply, result.Failure):
            return
        answer = reply.unwrap()
        post.lane.observe_running(answer.running)
        if self._signs is not None:
            self._signs.on_target_word(
                post.target.name, answer.draining, asked_at_ms
            )

    async def _batch(
        self, post: Post, start: _lane_types.StartExchange
    ) -> _lane_types.Ending:
        started_ms = self._clock.now_ms()
        works = start.works
        items = [
            _target_answers.target_query(work, started_ms) for work in works
        ]
        self._metrics.add('target_batches')
        self._metrics.add('target_items', len(items))
        reply = await post.link.batch(
            protocol.TargetBatch(items),
            min(start.deadline_at_ms - started_ms, self._silent_after_ms()),
        )
        if isinstance(reply, result.Failure):
            return await self._batch_failed(post, works, reply.failure())
        answers = reply.unwrap().answers
        for work, answer in zip(works, answers):
            self._answer(
                work,
                _target_answers.sub_answer(
                    post.target.name, answer, started_ms - work.arrived_ms
                ),
            )
        self._sample(works[0], started_ms)
        return self._learn(post, reply.unwrap(), answers)

    def _learn(
        self,
        post: Post,
        reply: protocol.TargetBatchAnswer,
        answers: list[protocol.TargetAnswer],
    ) -> _lane_types.Ending:
        """Take in what a batch's answer says of the target itself."""
        statuses = {answer.status for answer in answers}
        if post.lane.foreign_slots(self._clock.now_ms()):
            post.lane.observe_running(reply.running)
        if reply.draining or protocol.TargetStatus.DRAINING in statuses:
            self._target_leaves(post.target.name)
            return _lane_types.Ending.FREE
        if protocol.TargetStatus.OK in statuses:
            return _lane_types.Ending.ANSWERED
        if statuses == {protocol.TargetStatus.NOT_LOADED}:
            post.lane.record.on_unloaded(self._clock.now_ms())
        elif statuses == {protocol.TargetStatus.SHED}:
            post.lane.record.on_shed(self._clock.now_ms())
        return _lane_types.Ending.FREE

    async def _batch_failed(
        self,
        post: Post,
        works: tuple[_lane_types.Work, ...],
        error: transport.LinkError,
    ) -> _lane_types.Ending:
        lost = await self._after_failure(post, error)
        for work in works:
            answer = _target_answers.failed_answer(
                post.target.name, work.attempt_id, error, len(works) == 1, lost
            )
            self._answer(work, answer)
        return _ending_of(error)

    async def _run(
        self, post: Post, start: _lane_types.StartExchange
    ) -> _lane_types.Ending:
        work = start.works[0]
        order = typing.cast(protocol.RunOrder, work.request)
        # A run waits for its whole budget: giving up earlier would only
        # turn an outcome that is still to come into an unknown one.
        left_ms = work.expires_at_ms - self._clock.now_ms()
        reply = await post.link.run(
            _target_answers.target_run(order, left_ms), left_ms
        )
        lost = False
        if isinstance(reply, result.Failure):
            lost = await self._after_failure(post, reply.failure())
            ending = _ending_of(reply.failure())
        else:
            status = reply.unwrap().status
            if reply.unwrap().draining:
                self._target_leaves(post.target.name)
            ending = _lane_types.Ending.FREE
            if status is protocol.TargetStatus.OK:
                ending = _lane_types.Ending.ANSWERED
        report = _target_answers.run_report(
            order.attempt_id, post.target.name, reply, lost
        )
        self._answer(work, report)
        return ending

    async def _after_failure(
        self, post: Post, error: transport.LinkError
    ) -> bool:
        """Return whether the target was lost under the exchange.

        A new connection tells. A target that could not be reached in the
        first place began nothing: if it counted, the loss of a site would
        put every search that was tried at two of its targets in quarantine.
        """
        self._metrics.add('target_errors', kind=error.kind.value)
        lost_under = False
        if error.kind is transport.LinkErrorKind.BROKEN and not error.ended:
            health = await post.link.health(_PROBE_MS)
            lost_under = isinstance(health, result.Failure)
        unreachable = error.kind is transport.LinkErrorKind.UNREACHABLE
        post.lane.record.on_failure(
            unreachable or lost_under, self._clock.now_ms()
        )
        return lost_under

    def _sample(self, work: _lane_types.Work, started_ms: float) -> None:
        self._count += 1
        if self._count % _SAMPLE_EVERY:
            return
        self._metrics.observe(
            'target_service_ms',
            self._clock.now_ms() - started_ms,
            service=work.flow.service,
            request_class=work.request.request_class,
        )

    def _target_leaves(self, target: str) -> None:
        if self._signs is not None:
            self._signs.on_target_word(target, True)


def _ending_of(error: transport.LinkError) -> _lane_types.Ending:
    if error.ended or error.kind is transport.LinkErrorKind.UNREACHABLE:
        return _lane_types.Ending.FREE
    return _lane_types.Ending.LOST
