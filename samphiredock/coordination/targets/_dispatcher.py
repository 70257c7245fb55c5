"""The task that holds the connections to the targets a daemon owns."""

import asyncio
import collections
import typing

from returns import result

from samphiredock.coordination.fleet import _freshness
from samphiredock.coordination.fleet import _ownership
from samphiredock.coordination.targets import _exchanges
from samphiredock.coordination.targets import _handover
from samphiredock.coordination.targets import _lane
from samphiredock.coordination.targets import _lane_types
from samphiredock.coordination.targets import _outbox
from samphiredock.coordination.targets import _shares
from samphiredock.coordination.targets import _target_signs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

_CANCEL_MS = 500.0
_LEAST_CANCEL_MS = 10.0
_RETURN_PROBE_PERIOD_MS = 500.0
_DRAIN_POLL_MS = 20.0


def _never(fingerprint: str) -> bool:
    return False


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
        self._name: str | None = None
        self._owns: typing.Callable[[str], bool] | None = None
        self._posts: dict[str, _exchanges.Post] = {}
        self._outbox = _outbox.Outbox(peers, counters)
        self._ready: set[str] = set()
        self._stopped = False
        self._tasks: set[asyncio.Task] = set()
        self._exchanges = _exchanges.Exchanges(
            clock, counters, signs, self._outbox.answer, self._silent_after_ms
        )
        clock.on_gap(lambda gap_ms: self._give_back_queued())
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
        self._name = name
        self._owns = lambda target: table.owner(target) == name

    def configure(self, configuration: state.Configuration) -> None:
        """Apply a new revision."""
        self._configuration = configuration
        self._shares = _shares.shares_of(configuration)
        for name, post in self._posts.items():
            target = configuration.targets.get(name, post.target)
            if target.url != post.target.url:
                old_link, post.link = post.link, self._make_link(target)
                self._spawn(old_link.close())
            elif target.connections != post.target.connections:
                self._spawn(post.link.resize(target.connections))
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

    def stop(self) -> None:
        """Refuse what comes after the drain; begun, it would be cut."""
        self._stopped = True

    def in_flight(self) -> int:
        """Return what is queued or sent and not answered.

        Answers that leave in the next turn of the event loop count too.
        """
        return self._outbox.in_flight()

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
        return _handover.longest_deadline_ms(self._configuration)

    def probe(self, target: str) -> None:
        """Ask a target, by an empty batch, how many exchanges run there."""
        post = self._post(target)
        if post is not None:
            self._spawn(self._probe(target, post))

    async def _probe(self, target: str, post: _exchanges.Post) -> None:
        await self._exchanges.probe(post)
        self._make_ready(target)

    def _silent_after_ms(self) -> float:
        if self._configuration is None:
            return float(state.Limits().silent_after_ms)
        return float(self._configuration.limits.silent_after_ms)

    def carry_out(
        self, target: str, effects: list[_lane_types.Effect]
    ) -> None:
        """Carry out what a lane decided, and let it start more."""
        for effect in effects:
            if isinstance(effect, _lane_types.Refuse):
                self._outbox.refuse(target, effect)
            else:
                self._outbox.sent(effect)
                self._spawn(self._exchange(target, effect))
        self._make_ready(target)

    # Work that comes in.

    def _on_batch(self, sender: str, batch: protocol.SubQueryBatch) -> None:
        now_ms = self._clock.now_ms()
        expires_at_ms = now_ms + batch.budget_ms - self._age_ms(sender)
        for work in _lane_types.works_of(sender, batch, expires_at_ms, now_ms):
            self._submit(work.item.target, work, now_ms)

    def _age_ms(self, sender: str) -> float:
        # A message to oneself waits in no socket: once the freeze has been
        # noticed it is as fresh as it says.
        if sender == self._name and not self._freshness.just_woke():
            return 0.0
        return self._freshness.age_ms()

    def _on_run(self, sender: str, order: protocol.RunOrder) -> None:
        now_ms = self._clock.now_ms()
        work = _lane_types.work_of_run(sender, order, now_ms)
        if self._age_ms(sender) > 0.0:
            # The order may have waited in the socket while this process was
            # frozen, and its sender has perhaps given it up since.
            self._metrics.add('runs_refused_after_freeze')
            refusal = _lane_types.Refuse(
                work, protocol.SubStatus.CANCELLED, 'read after a freeze'
            )
            self._outbox.refuse(order.target, refusal)
            return
        self._submit(order.target, work, now_ms)

    def _submit(
        self, target: str, work: _lane_types.Work, now_ms: float
    ) -> None:
        post = None if self._stopped else self._post(target)
        if post is None:
            refusal = _lane_types.Refuse(
                work, protocol.SubStatus.NOT_OWNER, 'not served here'
            )
            self._outbox.refuse(target, refusal)
            return
        self._outbox.track(target, work)
        effects = post.lane.submit(work, now_ms)
        if effects:
            self.carry_out(target, effects)
        else:
            self._make_ready(target)

    def _on_cancel(self, sender: str, cancel: protocol.CancelAttempts) -> None:
        sent: dict[str, list[_outbox.Place]] = collections.defaultdict(list)
        for attempt_id in cancel.attempt_ids:
            place = self._outbox.place(attempt_id)
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

    def _worth_cancelling(self, work: _lane_types.Work) -> bool:
        """Whether a cancel would save the target anything.

        Callers drop many attempts just at the deadline, at which the target
        stops by itself; a cancel costs both sides an exchange.
        """
        left_ms = work.expires_at_ms - self._clock.now_ms()
        return work.item is None or left_ms > _LEAST_CANCEL_MS

    async def _cancel_sent(
        self, target: str, places: list[_outbox.Place]
    ) -> None:
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
            if attempt_id in never and self._outbox.place(attempt_id):
                self._cancelled(place)

    def _cancelled(self, place: _outbox.Place) -> None:
        refusal = _lane_types.Refuse(
            place.work, protocol.SubStatus.CANCELLED, 'never started'
        )
        self._outbox.refuse(place.target, refusal)

    # Lanes.

    def _post(self, name: str) -> _exchanges.Post | None:
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
        post = _exchanges.Post(lane, self._make_link(target), target)
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

    def _give_back_queued(self) -> None:
        """Answer what was queued when this process was frozen.

        Others took its targets over meanwhile and use all their slots, so
        nothing may be sent on the strength of what was known before.
        """
        for target, post in self._posts.items():
            self.carry_out(target, post.lane.give_back())

    def _pump(self) -> None:
        if self._freshness.just_woke():
            self._give_back_queued()
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

    def _arm(self, target: str, post: _exchanges.Post, now_ms: float) -> None:
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

    # Exchanges with targets.

    async def _exchange(
        self, target: str, start: _lane_types.StartExchange
    ) -> None:
        post = self._posts[target]
        ending = _lane_types.Ending.LOST
        try:
            ending = await self._exchanges.run(post, start)
        finally:
            if self._freshness.just_woke():
                self._give_back_queued()
            now_ms = self._clock.now_ms()
            effects = post.lane.ended(start.ticket, ending, now_ms)
            effects += post.lane.lost_contact(now_ms)
            self.carry_out(target, effects)

    # Signs of leaving.

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
