"""The scheduler of one target."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from samphiredock.coordination.targets import _scheduler
from samphiredock.coordination.targets import _scheduler_types
from samphiredock import state
from tests.unit import dispatching

_ANSWERED = _scheduler_types.ExchangeEnd.ANSWERED
_LOST = _scheduler_types.ExchangeEnd.LOST


def _scheduler_of(
    slots: int = 2, **limits: object
) -> _scheduler.TargetScheduler:
    """Return a scheduler whose target is serving, so that all slots count."""
    scheduler = _scheduler.TargetScheduler(
        dispatching.target(slots=slots), state.Limits(**limits)
    )
    for _ in range(4):
        scheduler.health.on_answer(0, 0.0, 0.0)
    return scheduler


class SlotsTest(unittest.TestCase):
    """A slot is free after an answer, else at the deadline."""

    def test_lost_exchange_holds_its_slot_until_its_deadline(self) -> None:
        scheduler = _scheduler_of(slots=1)
        scheduler.submit(dispatching.job('1', 300.0), 0.0)
        (start,) = scheduler.pump(0.0)
        scheduler.submit(dispatching.job('2', 900.0), 1.0)
        self.assertEqual([], scheduler.end_exchange(start.ticket, _LOST, 10.0))
        self.assertEqual([], scheduler.pump(310.0))
        wake_ms = scheduler.wake_at_ms(310.0)
        self.assertEqual(331.0, wake_ms)
        self.assertEqual([['2']], dispatching.sent(scheduler.pump(wake_ms)))

    def test_confirmed_cancel_frees_the_slot(self) -> None:
        scheduler = _scheduler_of(slots=1)
        scheduler.submit(dispatching.job('1'), 0.0)
        (start,) = scheduler.pump(0.0)
        scheduler.confirm_ended(start.ticket, ['1'])
        scheduler.end_exchange(start.ticket, _LOST, 10.0)
        self.assertEqual(1, scheduler.idle_slots(10.0))

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(['submit', 'answer', 'lose', 'wait']),
                strategies.integers(1, 80),
            ),
            max_size=60,
        ),
        strategies.integers(1, 3),
    )
    def test_target_never_runs_more_than_its_slots(
        self, steps: list[tuple[str, int]], slots: int
    ) -> None:
        """The modelled target runs lost exchanges until their deadline."""
        scheduler = _scheduler_of(slots=slots)
        now_ms, runs_until, open_tickets = 0.0, {}, []
        for number, (step, amount) in enumerate(steps):
            effects = []
            if step == 'submit':
                expires_ms = now_ms + 10.0 * amount
                effects += scheduler.submit(
                    dispatching.job(str(number), expires_ms), now_ms
                )
            elif step == 'wait':
                now_ms += amount
            elif open_tickets:
                ticket = open_tickets.pop(0)
                exchange_end = _ANSWERED if step == 'answer' else _LOST
                if exchange_end is _ANSWERED:
                    runs_until.pop(ticket)
                effects += scheduler.end_exchange(ticket, exchange_end, now_ms)
            effects += scheduler.pump(now_ms)
            for effect in effects:
                if isinstance(effect, _scheduler_types.StartExchange):
                    runs_until[effect.ticket] = effect.deadline_at_ms
                    open_tickets.append(effect.ticket)
            running = [
                ticket
                for ticket, until_ms in runs_until.items()
                if ticket in open_tickets or until_ms > now_ms
            ]
            self.assertLessEqual(len(running), slots)


class BatchTest(unittest.TestCase):
    """Which jobs share an exchange."""

    def test_jobs_queued_while_busy_share_an_exchange(self) -> None:
        scheduler = _scheduler_of(slots=1, batch_items=3)
        scheduler.submit(dispatching.job('0'), 0.0)
        (start,) = scheduler.pump(0.0)
        for name in '12345':
            scheduler.submit(dispatching.job(name), 0.0)
        effects = scheduler.end_exchange(start.ticket, _ANSWERED, 1.0)
        self.assertEqual([['1', '2', '3']], dispatching.sent(effects))

    def test_job_that_must_be_alone_has_its_own_exchange(self) -> None:
        scheduler = _scheduler_of(slots=1)
        scheduler.submit(dispatching.job('0'), 0.0)
        (start,) = scheduler.pump(0.0)
        scheduler.submit(dispatching.job('1'), 0.0)
        scheduler.submit(dispatching.job('2', alone=True), 0.0)
        scheduler.submit(dispatching.job('3'), 0.0)
        seen = []
        for _ in range(3):
            (start,) = scheduler.end_exchange(start.ticket, _ANSWERED, 1.0)
            seen += dispatching.sent([start])
        self.assertEqual([['1'], ['2'], ['3']], seen)

    def test_window_waits_then_sends(self) -> None:
        scheduler = _scheduler_of(slots=1, batch_window_ms=5.0)
        scheduler.submit(dispatching.job('1'), 10.0)
        self.assertEqual([], scheduler.pump(10.0))
        scheduler.submit(dispatching.job('2'), 12.0)
        self.assertEqual(15.0, scheduler.wake_at_ms(12.0))
        self.assertEqual([['1', '2']], dispatching.sent(scheduler.pump(15.0)))

    def test_hedge_takes_only_an_idle_slot(self) -> None:
        scheduler = _scheduler_of(slots=2)
        scheduler.submit(dispatching.job('1'), 0.0)
        scheduler.pump(0.0)
        idle = scheduler.submit(dispatching.job('2', hedge=True), 0.0)
        busy = scheduler.submit(dispatching.job('3', hedge=True), 0.0)
        self.assertEqual([['2']], dispatching.sent(idle))
        self.assertEqual({'3': 'no-idle-slot'}, dispatching.refused(busy))


class RefusalTest(unittest.TestCase):
    """Jobs that are refused without being sent."""

    def test_expired_work_is_answered_by_the_timer(self) -> None:
        scheduler = _scheduler_of(slots=1)
        for name in '12':
            scheduler.submit(dispatching.job(name, 100.0), 0.0)
            scheduler.pump(0.0)
        self.assertEqual(100.0, scheduler.wake_at_ms(0.0))
        self.assertEqual(
            {'2': 'expired'}, dispatching.refused(scheduler.pump(100.0))
        )

    def test_work_that_cannot_finish_is_not_sent(self) -> None:
        scheduler = _scheduler_of(slots=1)
        scheduler.health.on_answer(1, 50.0, 0.0)
        scheduler.submit(dispatching.job('1', 40.0), 0.0)
        scheduler.submit(dispatching.job('2', 60.0), 0.0)
        effects = scheduler.pump(0.0)
        self.assertEqual({'1': 'expired'}, dispatching.refused(effects))
        self.assertEqual([['2']], dispatching.sent(effects))

    def test_leaving_and_released_targets_get_nothing(self) -> None:
        for close, status in (
            (_scheduler.TargetScheduler.set_leaving, 'draining'),
            (_scheduler.TargetScheduler.set_released, 'not-owner'),
        ):
            scheduler = _scheduler_of(slots=1)
            scheduler.submit(dispatching.job('1'), 0.0)
            scheduler.pump(0.0)
            scheduler.submit(dispatching.job('2'), 0.0)
            queued = close(scheduler, True)
            later = scheduler.submit(dispatching.job('3'), 0.0)
            self.assertEqual({'2': status}, dispatching.refused(queued))
            self.assertEqual({'3': status}, dispatching.refused(later))

    def test_quarantined_while_queued(self) -> None:
        bad: set[str] = set()
        scheduler = _scheduler.TargetScheduler(
            dispatching.target(slots=1),
            state.Limits(),
            is_quarantined=bad.__contains__,
        )
        scheduler.submit(dispatching.job('0'), 0.0)
        (start,) = scheduler.pump(0.0)
        scheduler.submit(dispatching.job('1', fingerprint='bad'), 0.0)
        bad.add('bad')
        effects = scheduler.end_exchange(start.ticket, _ANSWERED, 1.0)
        self.assertEqual({'1': 'quarantined'}, dispatching.refused(effects))

    def test_full_queue_sheds_jobs_that_expire_first(self) -> None:
        scheduler = _scheduler_of(slots=1, queue_per_target=2)
        scheduler.submit(dispatching.job('0', 5_000.0), 0.0)
        scheduler.pump(0.0)
        scheduler.submit(dispatching.job('old', 90.0), 0.0)
        scheduler.submit(dispatching.job('new', 5_000.0), 0.0)
        effects = scheduler.submit(dispatching.job('next', 5_000.0), 0.0)
        self.assertEqual({'old': 'shed'}, dispatching.refused(effects))
        self.assertGreater(effects[0].retry_after_ms, 0)


class ForeignSlotsTest(unittest.TestCase):
    """Slots that exchanges of the previous owner take."""

    def test_foreign_slots_count_until_seen_free(self) -> None:
        scheduler = _scheduler_of(slots=2)
        scheduler.reserve_foreign_slots(2, 500.0)
        scheduler.submit(dispatching.job('1'), 0.0)
        self.assertEqual([], scheduler.pump(0.0))
        scheduler.observe_running(1)
        self.assertEqual([['1']], dispatching.sent(scheduler.pump(1.0)))
        self.assertEqual(0, scheduler.idle_slots(1.0))
        self.assertEqual(1, scheduler.idle_slots(500.0))

    def test_half_of_the_slots_beside_a_living_owner(self) -> None:
        scheduler = _scheduler_of(slots=4)
        scheduler.reserve_foreign_slots(0, 500.0, 2)
        self.assertEqual(2, scheduler.idle_slots(0.0))
        self.assertEqual(4, scheduler.idle_slots(500.0))
