"""The task that holds the connections to the targets a daemon owns."""

import asyncio
import collections
import dataclasses
import typing

from returns import result

from samphiredock.coordination import _freshness
from samphiredock.coordination import _handover
from samphiredock.coordination import _lane
from samphiredock.coordination import _ownership
from samphiredock.coordination import _shares
from samphiredock.coordination import _target_answers
from samphiredock.coordination import _target_signs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

_PROBE_MS = 300.0
_CANCEL_MS = 500.0
_LEAST_CANCEL_MS = 10.0
_RETURN_PROBE_PERIOD_MS = 500.0
_DRAIN_POLL_MS = 20.0
_SAMPLE_EVERY = 8
"""Of the exchanges one in so many is recorded in the histogram."""


def _never(fingerprint: str) -> bool:
    return False


@dataclasses.dataclass(slots=True)
class _Post:
    """One target's lane, its link and the timer that wakes the lane."""

    lane: _lane.Lane
    link: transport.TargetLink
    target: state.Target
    wake_at_ms: float = 0.0
    timer: timers.Subscription | None = None


@dataclasses.dataclass(slots=True)
class _Place:
    """Where an attempt is: queued in a lane, or in an exchange."""

    target: str
    work: _lane.Work
    ticket: int | None = None


class Dispatcher:
    """Run lanes against their targets and report to the coordinators.

    Parameters
    ----------
    peers
        Where sub-queries come from and answers go.
    clock
        The timer service.
    counters
        Metrics of this daemon.
    make_link
        Builds the adapter to a target.
    is_quarantined
        Whether a request content is refused because it crashed targets.
    signs
        Which targets are leaving; None in tests of other things.
    """

    def __init__(
        self,
        peers: transport.Peers,
        clock: timers.Timers,
        counters: metrics.Metrics,
        make_link: typing.Callable[
            [state.Target], transport.TargetLink
        ] = transport.HttpTargetLink,
        is_quarantined: typing.Callable[[str], bool] = _never,
        signs: _target_signs.TargetSigns | None = None,
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._metrics = counters
        self._make_link = make_link
        self._is_quarantined = is_quarantined
        self._signs = signs
        self._freshness = _freshness.Freshness(clock)
        self._configuration: state.Configuration | None = None
        self._shares = _shares.NO_SHARES
        self._handover: _handover.Handover | None = None
        self._owns: typing.Callable[[str], bool] | None = None
        self._posts: dict[str, _Post] = {}
        self._places: dict[str, _Place] = {}
        self._ready: set[str] = set()
        self._tasks: set[asyncio.Task] = set()
        self._exchanges = 0
        self._replies: dict[tuple[str, str], list[protocol.SubAnswer]] = (
            collections.defaultdict(list)
        )
        peers.subscribe(protocol.SubQueryBatch, self._on_batch)
        peers.subscribe(protocol.RunOrder, self._on_run)
        peers.subscribe(protocol.CancelAttempts, self._on_cancel)
        if signs is not None:
            signs.subscribe(self._on_sign)
            clock.every(_RETURN_PROBE_PERIOD_MS, self._probe_leaving)

    def follow_ownership(
        self,
        name: str,
        table: _ownership.OwnershipTable,
        lives: typing.Callable[[str], bool],
    ) -> None:
        """Take over and give up targets as the table of owners says."""
        self._handover = _handover.Handover(
            name, self, self._peers, self._clock, self._metrics, lives
        )
        table.subscribe(self._handover.on_changes)
        self._owns = lambda target: table.owner(target) == name

    def configure(self, configuration: state.Configuration) -> None:
        """Apply a new revision."""
        self._configuration = configuration
        self._shares = _shares.shares_of(configuration)
        for name, post in self._posts.items():
            target = configuration.targets.get(name, post.target)
            if target != post.target:
                old_link, post.link = post.link, self._make_link(target)
                self._spawn(old_link.close())
                post.target = target
            post.lane.reconfigure(target, configuration.limits, self._shares)
            self._make_ready(name)

    async def close(self) -> None:
        """Stop every exchange and close every connection."""
        for task in self._tasks:
            task.cancel()
        for post in self._posts.values():
            await post.link.close()

    async def drain(self) -> None:
        """Return when everything taken in has been answered.

        The caller has left the membership before, so that by the table of
        owners every target goes to another daemon: queued work is given
        back as ``NOT_OWNER``, which proves that it was never sent.
        """
        while self.in_flight():
            await asyncio.sleep(_DRAIN_POLL_MS / 1000.0)

    def in_flight(self) -> int:
        """Return what is queued or sent and not answered.

        Answers that leave in the next turn of the event loop count too.
        """
        return len(self._places) + len(self._replies)

    # What the handover does with lanes and targets.

    def lane(self, target: str) -> _lane.Lane | None:
        """Return the lane of a target, None if there is no such target."""
        post = self._post(target)
        return post.lane if post is not None else None

    def existing_lane(self, target: str) -> _lane.Lane | None:
        """Return the lane of a target if there has been work for it."""
        post = self._posts.get(target)
        return post.lane if post is not None else None

    def target(self, name: str) -> state.Target | None:
        """Return a target of the configuration in force."""
        if self._configuration is None:
            return None
        return self._configuration.targets.get(name)

    def longest_deadline_ms(self) -> float:
        """Return the longest deadline of any service."""
        if self._configuration is None:
            return float(state.Limits().deadline_limit_ms)
        services = self._configuration.services.values()
        deadlines = [
            row.deadline_ms
            for service in services
            for row in (
                *service.searches.values(),
                *service.operations.values(),
            )
        ]
        return float(max(deadlines, default=0))

    def probe(self, target: str) -> None:
        """Ask a target, by an empty batch, how many exchanges run there."""
        post = self._post(target)
        if post is not None:
            self._spawn(self._probe(target, post))

    def carry_out(self, target: str, effects: list[_lane.Effect]) -> None:
        """Carry out what a lane decided, and let it start more."""
        for effect in effects:
            if isinstance(effect, _lane.Refuse):
                self._refuse(target, effect)
            else:
                for work in effect.works:
                    self._places[work.attempt_id].ticket = effect.ticket
                self._spawn(self._exchange(target, effect))
        self._make_ready(target)

    # Work that comes in.

    def _on_batch(self, sender: str, batch: protocol.SubQueryBatch) -> None:
        now_ms = self._clock.now_ms()
        expires_at_ms = now_ms + batch.budget_ms - self._freshness.age_ms()
        flow = _shares.Flow(batch.service, batch.site)
        for item in batch.items:
            work = _lane.Work(
                sender,
                batch.query_id,
                item.attempt_id,
                expires_at_ms,
                batch,
                item,
                flow,
                now_ms,
            )
            self._submit(item.target, work, now_ms)

    def _on_run(self, sender: str, order: protocol.RunOrder) -> None:
        now_ms = self._clock.now_ms()
        work = _lane.Work(
            sender,
            '',
            order.attempt_id,
            now_ms + order.budget_ms,
            order,
            None,
            _shares.Flow(order.service, order.site),
            now_ms,
        )
        if self._freshness.age_ms() > 0.0:
            # The order may have waited in the socket while this process was
            # frozen, and its sender has perhaps given it up since.
            self._metrics.add('runs_refused_after_freeze')
            refusal = _lane.Refuse(
                work, protocol.SubStatus.CANCELLED, 'read after a freeze'
            )
            self._refuse(order.target, refusal)
            return
        self._submit(order.target, work, now_ms)

    def _submit(self, target: str, work: _lane.Work, now_ms: float) -> None:
        post = self._post(target)
        if post is None:
            refusal = _lane.Refuse(
                work, protocol.SubStatus.NOT_OWNER, 'unknown target'
            )
            self._refuse(target, refusal)
            return
        self._places[work.attempt_id] = _Place(target, work)
        effects = post.lane.submit(work, now_ms)
        if effects:
            self.carry_out(target, effects)
        else:
            self._make_ready(target)

    def _on_cancel(self, sender: str, cancel: protocol.CancelAttempts) -> None:
        sent: dict[str, list[_Place]] = collections.defaultdict(list)
        for attempt_id in cancel.attempt_ids:
            place = self._places.get(attempt_id)
            if place is None:
                continue
            if place.ticket is not None:
                if self._worth_cancelling(place.work):
                    sent[place.target].append(place)
                continue
            self._posts[place.target].lane.cancel(attempt_id)
            self._cancelled(place)
        for target, places in sent.items():
            self._spawn(self._cancel_sent(target, places))

    def _worth_cancelling(self, work: _lane.Work) -> bool:
        """Whether a cancel would save the target anything.

        Callers drop many attempts just at the deadline, at which the target
        stops by itself; a cancel costs both sides an exchange.
        """
        left_ms = work.expires_at_ms - self._clock.now_ms()
        return work.item is None or left_ms > _LEAST_CANCEL_MS

    async def _cancel_sent(self, target: str, places: list[_Place]) -> None:
        """Ask the target; only its word proves that it never began."""
        post = self._posts[target]
        order = protocol.TargetCancel(
            [place.work.attempt_id for place in places]
        )
        reply = await post.link.cancel(order, _CANCEL_MS)
        if isinstance(reply, result.Failure):
            self._metrics.add('cancels_unconfirmed', len(places))
            return
        answer = reply.unwrap()
        never = set(answer.never_started)
        ended = never.union(answer.stopped)
        for place in places:
            attempt_id = place.work.attempt_id
            if place.ticket is not None and attempt_id in ended:
                post.lane.settled(place.ticket, [attempt_id])
            if attempt_id in never and attempt_id in self._places:
                self._cancelled(place)

    def _cancelled(self, place: _Place) -> None:
        refusal = _lane.Refuse(
            place.work, protocol.SubStatus.CANCELLED, 'never started'
        )
        self._refuse(place.target, refusal)

    # Lanes.

    def _post(self, name: str) -> _Post | None:
        post = self._posts.get(name)
        if post is not None:
            return post
        target = self.target(name)
        if target is None or self._configuration is None:
            return None
        lane = _lane.Lane(
            target,
            self._configuration.limits,
            self._shares,
            self._is_quarantined,
        )
        if self._signs is not None and not self._signs.is_usable(name):
            lane.set_leaving(True)
        post = _Post(lane, self._make_link(target), target)
        self._posts[name] = post
        if self._handover is not None:
            self._handover.on_new_lane(name, lane)
        return post

    def _make_ready(self, target: str) -> None:
        """Pump the lane once at the end of this turn of the event loop.

        What arrived in one turn, from several queries, then goes to the
        target in one exchange.
        """
        if not self._ready:
            asyncio.get_running_loop().call_soon(self._pump)
        self._ready.add(target)

    def _pump(self) -> None:
        ready, self._ready = self._ready, set()
        now_ms = self._clock.now_ms()
        for target in ready:
            post = self._posts.get(target)
            if post is None:
                continue
            effects = post.lane.pump(now_ms)
            if effects:
                self.carry_out(target, effects)
            self._arm(target, post, now_ms)

    def _arm(self, target: str, post: _Post, now_ms: float) -> None:
        wake_at_ms = post.lane.wake_at_ms(now_ms)
        if wake_at_ms is None:
            return
        if post.timer is not None:
            if now_ms < post.wake_at_ms <= wake_at_ms:
                return
            post.timer.cancel()
        post.wake_at_ms = wake_at_ms
        post.timer = self._clock.after(
            wake_at_ms - now_ms, lambda: self._make_ready(target)
        )

    def _spawn(self, work: typing.Coroutine) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Answers that go out; each attempt gets exactly one.

    def _refuse(self, target: str, refusal: _lane.Refuse) -> None:
        self._metrics.add('dispatch_refused', status=refusal.status.value)
        message = _target_answers.refusal_message(target, refusal)
        self._places.setdefault(
            refusal.work.attempt_id, _Place(target, refusal.work)
        )
        self._answer(refusal.work, message)

    def _answer(
        self,
        work: _lane.Work,
        answer: protocol.SubAnswer | protocol.RunReport,
    ) -> None:
        if self._places.pop(work.attempt_id, None) is None:
            return
        if isinstance(answer, protocol.RunReport):
            self._peers.send(work.origin, answer)
            return
        if not self._replies:
            asyncio.get_running_loop().call_soon(self._flush_answers)
        self._replies[work.origin, work.query_id].append(answer)

    def _flush_answers(self) -> None:
        replies = dict(self._replies)
        self._replies.clear()
        for (origin, query_id), answers in replies.items():
            self._peers.send(
                origin, protocol.SubAnswerBatch(query_id, answers)
            )

    # Exchanges with targets.

    async def _exchange(self, target: str, start: _lane.StartExchange) -> None:
        post = self._posts[target]
        ending = _lane.Ending.LOST
        try:
            if start.works[0].item is None:
                ending = await self._run(target, post, start)
            else:
                ending = await self._batch(target, post, start)
        finally:
            now_ms = self._clock.now_ms()
            if ending is _lane.Ending.LOST:
                self._metrics.add('slots_held_after_loss')
            effects = post.lane.ended(start.ticket, ending, now_ms)
            effects += post.lane.lost_contact(now_ms)
            self.carry_out(target, effects)

    async def _batch(
        self, target: str, post: _Post, start: _lane.StartExchange
    ) -> _lane.Ending:
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
            return await self._batch_failed(
                target, post, works, reply.failure()
            )
        answers = reply.unwrap().answers
        for work, answer in zip(works, answers):
            self._answer(
                work,
                _target_answers.sub_answer(
                    target, answer, started_ms - work.arrived_ms
                ),
            )
        self._sample(works[0], started_ms)
        return self._learn(target, post, reply.unwrap(), answers)

    def _learn(
        self,
        target: str,
        post: _Post,
        reply: protocol.TargetBatchAnswer,
        answers: list[protocol.TargetAnswer],
    ) -> _lane.Ending:
        """Take in what a batch's answer says of the target itself."""
        statuses = {answer.status for answer in answers}
        if post.lane.foreign_slots(self._clock.now_ms()):
            post.lane.observe_running(reply.running)
        if reply.draining or protocol.TargetStatus.DRAINING in statuses:
            self._target_leaves(target)
            return _lane.Ending.FREE
        if protocol.TargetStatus.OK in statuses:
            return _lane.Ending.ANSWERED
        if statuses == {protocol.TargetStatus.NOT_LOADED}:
            post.lane.record.on_unloaded(self._clock.now_ms())
        return _lane.Ending.FREE

    async def _batch_failed(
        self,
        target: str,
        post: _Post,
        works: tuple[_lane.Work, ...],
        error: transport.LinkError,
    ) -> _lane.Ending:
        lost = await self._after_failure(post, error)
        for work in works:
            answer = _target_answers.failed_answer(
                target, work.attempt_id, error, len(works) == 1, lost
            )
            self._answer(work, answer)
        return _ending_of(error)

    async def _run(
        self, target: str, post: _Post, start: _lane.StartExchange
    ) -> _lane.Ending:
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
                self._target_leaves(target)
            ending = _lane.Ending.FREE
            if status is protocol.TargetStatus.OK:
                ending = _lane.Ending.ANSWERED
        report = _target_answers.run_report(
            order.attempt_id, target, reply, lost
        )
        self._answer(work, report)
        return ending

    async def _after_failure(
        self, post: _Post, error: transport.LinkError
    ) -> bool:
        """Return whether the target is lost; a new connection tells."""
        self._metrics.add('target_errors', kind=error.kind.value)
        lost = error.kind is transport.LinkErrorKind.UNREACHABLE
        if error.kind is transport.LinkErrorKind.BROKEN and not error.ended:
            health = await post.link.health(_PROBE_MS)
            lost = isinstance(health, result.Failure)
        post.lane.record.on_failure(lost, self._clock.now_ms())
        return lost

    def _silent_after_ms(self) -> float:
        if self._configuration is None:
            return float(state.Limits().silent_after_ms)
        return float(self._configuration.limits.silent_after_ms)

    def _sample(self, work: _lane.Work, started_ms: float) -> None:
        self._exchanges += 1
        if self._exchanges % _SAMPLE_EVERY:
            return
        self._metrics.observe(
            'target_service_ms',
            self._clock.now_ms() - started_ms,
            service=work.flow.service,
            request_class=work.request.request_class,
        )

    # Signs of leaving.

    def _target_leaves(self, target: str) -> None:
        if self._signs is not None:
            self._signs.on_target_word(target, True)

    def _on_sign(self, target: str, leaving: bool) -> None:
        post = self._posts.get(target)
        if post is not None:
            self.carry_out(target, post.lane.set_leaving(leaving))

    def _probe_leaving(self) -> None:
        if self._signs is None:
            return
        for target in self._signs.to_probe():
            if self._owns is not None and self._owns(target):
                self.probe(target)

    async def _probe(self, target: str, post: _Post) -> None:
        asked_at_ms = self._clock.wall_ms()
        reply = await post.link.batch(protocol.TargetBatch([]), _PROBE_MS)
        if isinstance(reply, result.Failure):
            return
        answer = reply.unwrap()
        post.lane.observe_running(answer.running)
        if self._signs is not None:
            self._signs.on_target_word(target, answer.draining, asked_at_ms)
        self._make_ready(target)


def _ending_of(error: transport.LinkError) -> _lane.Ending:
    if error.ended or error.kind is transport.LinkErrorKind.UNREACHABLE:
        return _lane.Ending.FREE
    return _lane.Ending.LOST
