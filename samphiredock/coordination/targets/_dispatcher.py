"""The dispatcher: sends sub-queries and orders to the targets it owns."""

import asyncio
import collections
import typing

from returns import result

from samphiredock.coordination.fleet import _message_age
from samphiredock.coordination.fleet import _ownership
from samphiredock.coordination.targets import _exchanges
from samphiredock.coordination.targets import _handover
from samphiredock.coordination.targets import _outbox
from samphiredock.coordination.targets import _scheduler
from samphiredock.coordination.targets import _scheduler_types
from samphiredock.coordination.targets import _shares
from samphiredock.coordination.targets import _target_signs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

_CANCEL_TIMEOUT_MS = 500.0
_MIN_LEFT_TO_CANCEL_MS = 10.0
_RETURN_PROBE_PERIOD_MS = 500.0
_DRAIN_POLL_MS = 20.0


def _never_quarantined(fingerprint: str) -> bool:
    return False


class Dispatcher:
    """Holds the connections to targets and runs a scheduler for each.

    Coordinators, in this daemon or others, send it sub-queries and orders
    and get one answer for each attempt.

    Parameters
    ----------
    peers
        Delivers messages from coordinators and sends the answers.
    clock
        The timer service.
    counters
        Metrics of this daemon.
    make_link
        Builds the client of a target.
    is_quarantined
        Returns whether the request content with a fingerprint is refused
        because it crashed targets.
    signs
        Which targets are leaving; without it, leaving targets are sent
        requests until they refuse them.
    """

    def __init__(
        self,
        peers: transport.Peers,
        clock: timers.Timers,
        counters: metrics.Metrics,
        make_link: typing.Callable[
            [state.Target], transport.TargetLink
        ] = transport.HttpTargetLink,
        is_quarantined: typing.Callable[[str], bool] = _never_quarantined,
        signs: _target_signs.TargetSigns | None = None,
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._metrics = counters
        self._make_link = make_link
        self._is_quarantined = is_quarantined
        self._signs = signs
        self._message_age = _message_age.MessageAge(clock)
        self._configuration: state.Configuration | None = None
        self._shares = _shares.NO_SHARES
        self._handover: _handover.Handover | None = None
        self._name: str | None = None
        self._owns: typing.Callable[[str], bool] | None = None
        self._managed: dict[str, _exchanges.ManagedTarget] = {}
        self._outbox = _outbox.Outbox(peers, counters)
        self._to_pump: set[str] = set()
        self._stopped = False
        self._tasks: set[asyncio.Task] = set()
        self._exchanges = _exchanges.Exchanges(
            clock, counters, signs, self._outbox.answer, self._silent_after_ms
        )
        clock.on_gap(lambda gap_ms: self._expire_queued())
        peers.subscribe(protocol.SubQueryBatch, self._on_batch)
        peers.subscribe(protocol.RunOrder, self._on_run)
        peers.subscribe(protocol.CancelAttempts, self._on_cancel)
        if signs is not None:
            signs.subscribe(self._on_leaving_changed)
            clock.every(_RETURN_PROBE_PERIOD_MS, self._probe_leaving)

    def follow_ownership(
        self,
        name: str,
        table: _ownership.OwnershipTable,
        is_live: typing.Callable[[str], bool],
    ) -> None:
        """Take over and give up targets as their owner changes.

        Parameters
        ----------
        name
            This daemon's member name.
        table
            The owner of each target.
        is_live
            Returns whether a member is live.
        """
        self._handover = _handover.Handover(
            name, self, self._peers, self._clock, self._metrics, is_live
        )
        table.subscribe(self._handover.on_changes)
        self._name = name
        self._owns = lambda target: table.owner(target) == name

    def configure(self, configuration: state.Configuration) -> None:
        """Apply a new revision of the configuration."""
        self._configuration = configuration
        self._shares = _shares.shares_of(configuration)
        for name, managed in self._managed.items():
            target = configuration.targets.get(name, managed.target)
            if target.url != managed.target.url:
                old_link, managed.link = managed.link, self._make_link(target)
                self._spawn(old_link.close())
            elif target.connections != managed.target.connections:
                self._spawn(managed.link.resize(target.connections))
            managed.target = target
            managed.scheduler.reconfigure(
                target, configuration.limits, self._shares
            )
            self._schedule_pump(name)

    async def close(self) -> None:
        """Cancel every exchange and close every connection."""
        for task in self._tasks:
            task.cancel()
        for managed in self._managed.values():
            await managed.link.close()

    async def drain(self) -> None:
        """Return when every accepted attempt has been answered.

        The caller must have left the membership: every target then gets
        another owner, and queued attempts are answered ``NOT_OWNER``, which
        proves that they were never sent.
        """
        while self.in_flight():
            await asyncio.sleep(_DRAIN_POLL_MS / 1000.0)

    def stop(self) -> None:
        """Refuse new attempts: the connections are about to be closed."""
        self._stopped = True

    def in_flight(self) -> int:
        """Return the number of attempts queued or sent but not answered.

        Answers to be sent in the next iteration of the event loop count.
        """
        return self._outbox.in_flight()

    # Implements _handover.Schedulers.

    def scheduler(self, target: str) -> _scheduler.TargetScheduler | None:
        """Return a target's scheduler, None if it is not configured."""
        managed = self._managed_target(target)
        return managed.scheduler if managed is not None else None

    def existing_scheduler(
        self, target: str
    ) -> _scheduler.TargetScheduler | None:
        """Return a target's scheduler, None if it was never used."""
        managed = self._managed.get(target)
        return managed.scheduler if managed is not None else None

    def target(self, name: str) -> state.Target | None:
        """Return a target of the configuration in force, None if missing."""
        if self._configuration is None:
            return None
        return self._configuration.targets.get(name)

    def longest_deadline_ms(self) -> float:
        """Return the longest deadline of any search or operation."""
        return _handover.longest_deadline_ms(self._configuration)

    def probe(self, target: str) -> None:
        """Ask a target for the number of exchanges that run there."""
        managed = self._managed_target(target)
        if managed is not None:
            self._spawn(self._probe(target, managed))

    async def _probe(
        self, target: str, managed: _exchanges.ManagedTarget
    ) -> None:
        await self._exchanges.probe(managed)
        self._schedule_pump(target)

    def _silent_after_ms(self) -> float:
        if self._configuration is None:
            return float(state.Limits().silent_after_ms)
        return float(self._configuration.limits.silent_after_ms)

    def execute(
        self, target: str, effects: list[_scheduler_types.Effect]
    ) -> None:
        """Execute the effects that a scheduler returned, then pump it."""
        for effect in effects:
            if isinstance(effect, _scheduler_types.Refuse):
                self._outbox.refuse(target, effect)
            else:
                self._outbox.mark_sent(effect)
                self._spawn(self._exchange(target, effect))
        self._schedule_pump(target)

    # Messages from coordinators.

    def _on_batch(self, sender: str, batch: protocol.SubQueryBatch) -> None:
        now_ms = self._clock.now_ms()
        expires_at_ms = now_ms + batch.budget_ms - self._max_age_ms(sender)
        for job in _scheduler_types.jobs_of(
            sender, batch, expires_at_ms, now_ms
        ):
            self._submit(job.item.target, job, now_ms)

    def _max_age_ms(self, sender: str) -> float:
        # A message from this daemon to itself waits in no socket, so after
        # the timer has noticed a freeze its budget needs no correction.
        if sender == self._name and not self._message_age.has_unnoticed_gap():
            return 0.0
        return self._message_age.max_age_ms()

    def _on_run(self, sender: str, order: protocol.RunOrder) -> None:
        now_ms = self._clock.now_ms()
        job = _scheduler_types.job_of_run(sender, order, now_ms)
        if self._max_age_ms(sender) > 0.0:
            # The order may have waited in the socket while this process was
            # frozen, and its sender may have given up on it meanwhile.
            self._metrics.add('runs_refused_after_freeze')
            refusal = _scheduler_types.Refuse(
                job, protocol.SubStatus.CANCELLED, 'read after a freeze'
            )
            self._outbox.refuse(order.target, refusal)
            return
        self._submit(order.target, job, now_ms)

    def _submit(
        self, target: str, job: _scheduler_types.Job, now_ms: float
    ) -> None:
        managed = None if self._stopped else self._managed_target(target)
        if managed is None:
            refusal = _scheduler_types.Refuse(
                job, protocol.SubStatus.NOT_OWNER, 'not served by this daemon'
            )
            self._outbox.refuse(target, refusal)
            return
        self._outbox.track(target, job)
        effects = managed.scheduler.submit(job, now_ms)
        if effects:
            self.execute(target, effects)
        else:
            self._schedule_pump(target)

    def _on_cancel(self, sender: str, cancel: protocol.CancelAttempts) -> None:
        sent: dict[str, list[_outbox.PendingAttempt]] = (
            collections.defaultdict(list)
        )
        for attempt_id in cancel.attempt_ids:
            pending = self._outbox.pending(attempt_id)
            if pending is None:
                continue
            if pending.ticket is not None:
                if self._is_worth_cancelling(pending.job):
                    sent[pending.target].append(pending)
                continue
            self._managed[pending.target].scheduler.cancel(attempt_id)
            self._refuse_cancelled(pending)
        for target, attempts in sent.items():
            self._spawn(self._cancel_sent(target, attempts))

    def _is_worth_cancelling(self, job: _scheduler_types.Job) -> bool:
        """Whether a cancel is worth the exchange that it costs.

        Coordinators cancel many attempts right at the deadline, when the
        target stops by itself.  A run is always cancelled, since only the
        target can prove that it never started.
        """
        left_ms = job.expires_at_ms - self._clock.now_ms()
        return job.item is None or left_ms > _MIN_LEFT_TO_CANCEL_MS

    async def _cancel_sent(
        self, target: str, attempts: list[_outbox.PendingAttempt]
    ) -> None:
        """Cancel at the target; only its answer proves what never started."""
        managed = self._managed[target]
        order = protocol.TargetCancel(
            [pending.job.attempt_id for pending in attempts]
        )
        reply = await managed.link.cancel(order, _CANCEL_TIMEOUT_MS)
        if isinstance(reply, result.Failure):
            self._metrics.add('cancels_unconfirmed', len(attempts))
            return
        answer = reply.unwrap()
        never_started = set(answer.never_started)
        ended = never_started.union(answer.stopped)
        for pending in attempts:
            attempt_id = pending.job.attempt_id
            if pending.ticket is not None and attempt_id in ended:
                managed.scheduler.confirm_ended(pending.ticket, [attempt_id])
            if attempt_id in never_started and self._outbox.pending(
                attempt_id
            ):
                self._refuse_cancelled(pending)

    def _refuse_cancelled(self, pending: _outbox.PendingAttempt) -> None:
        refusal = _scheduler_types.Refuse(
            pending.job, protocol.SubStatus.CANCELLED, 'never started'
        )
        self._outbox.refuse(pending.target, refusal)

    # Schedulers.

    def _managed_target(self, name: str) -> _exchanges.ManagedTarget | None:
        managed = self._managed.get(name)
        if managed is not None:
            return managed
        target = self.target(name)
        if target is None or self._configuration is None:
            return None
        scheduler = _scheduler.TargetScheduler(
            target,
            self._configuration.limits,
            self._shares,
            self._is_quarantined,
        )
        if self._signs is not None and not self._signs.is_usable(name):
            scheduler.set_leaving(True)
        managed = _exchanges.ManagedTarget(
            scheduler, self._make_link(target), target
        )
        self._managed[name] = managed
        if self._handover is not None:
            self._handover.on_new_scheduler(name, scheduler)
        return managed

    def _schedule_pump(self, target: str) -> None:
        """Pump the scheduler once, at the end of this event loop iteration.

        Jobs that arrive in one iteration, from several queries, are then
        sent to the target in one exchange.
        """
        if not self._to_pump:
            asyncio.get_running_loop().call_soon(self._pump)
        self._to_pump.add(target)

    def _expire_queued(self) -> None:
        """Refuse the jobs that were queued when this process was frozen.

        Other daemons have taken the targets over meanwhile and may use all
        their slots, so nothing may be sent on the state before the freeze.
        """
        for target, managed in self._managed.items():
            self.execute(target, managed.scheduler.expire_queued())

    def _pump(self) -> None:
        if self._message_age.has_unnoticed_gap():
            self._expire_queued()
        to_pump, self._to_pump = self._to_pump, set()
        now_ms = self._clock.now_ms()
        for target in to_pump:
            managed = self._managed.get(target)
            if managed is None:
                continue
            effects = managed.scheduler.pump(now_ms)
            if effects:
                self.execute(target, effects)
            self._set_wake_timer(target, managed, now_ms)

    def _set_wake_timer(
        self, target: str, managed: _exchanges.ManagedTarget, now_ms: float
    ) -> None:
        wake_at_ms = managed.scheduler.wake_at_ms(now_ms)
        if wake_at_ms is None:
            return
        if managed.timer is not None:
            if now_ms < managed.wake_at_ms <= wake_at_ms:
                return
            managed.timer.cancel()
        managed.wake_at_ms = wake_at_ms
        managed.timer = self._clock.after(
            wake_at_ms - now_ms, lambda: self._schedule_pump(target)
        )

    def _spawn(self, coroutine: typing.Coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Exchanges with targets.

    async def _exchange(
        self, target: str, start: _scheduler_types.StartExchange
    ) -> None:
        managed = self._managed[target]
        exchange_end = _scheduler_types.ExchangeEnd.LOST
        try:
            exchange_end = await self._exchanges.run(managed, start)
        finally:
            if self._message_age.has_unnoticed_gap():
                self._expire_queued()
            now_ms = self._clock.now_ms()
            effects = managed.scheduler.end_exchange(
                start.ticket, exchange_end, now_ms
            )
            effects += managed.scheduler.refuse_if_lost(now_ms)
            self.execute(target, effects)

    # Leaving targets.

    def _on_leaving_changed(self, target: str, leaving: bool) -> None:
        managed = self._managed.get(target)
        if managed is not None:
            self.execute(target, managed.scheduler.set_leaving(leaving))

    def _probe_leaving(self) -> None:
        if self._signs is None:
            return
        for target in self._signs.targets_to_probe():
            if self._owns is not None and self._owns(target):
                self.probe(target)
