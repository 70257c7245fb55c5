"""What this daemon has itself observed of one target.

Own observations rank above the target's health endpoint, which lags or
misleads.
"""

import transitions

_ANSWERS_TO_SERVE = 4
_UNLOADED_PAUSE_MS = 50.0
_SHED_PAUSE_MS = 20.0
_LOST_PAUSE_MS = 200.0
_MAX_LOST_PAUSE_MS = 2_000.0
_STALE_MS = 1_000.0
_MEDIAN_STEP = 0.05

_INITIAL = 'unknown'
TARGET_STATES = ('unknown', 'warming', 'serving', 'suspect', 'leaving', 'lost')

_LIVE = ['unknown', 'warming', 'serving', 'suspect', 'lost']

TARGET_TRANSITIONS = (
    ('answered', ['unknown', 'lost'], 'warming'),
    ('answered', 'suspect', 'serving'),
    ('warmed', 'warming', 'serving'),
    ('unloaded', _LIVE, 'warming'),
    ('failed', ['unknown', 'warming', 'serving'], 'suspect'),
    ('gone', _LIVE, 'lost'),
    ('leave', _LIVE, 'leaving'),
    ('come_back', 'leaving', 'warming'),
)
"""Trigger, sources, destination; any other pair changes nothing."""


class ObservedHealth:
    """The life of one target and its service time.

    The machine is triggered only when something changes: an event costs
    more than the rest of a sub-query's way through the dispatcher.  It is
    made with the first event: 700 machines take 50 ms, for which the
    callers of a daemon that starts would wait.
    """

    def __init__(self) -> None:
        self.state = _INITIAL
        self._good_answers = 0
        self._failures = 0
        self._resume_at_ms = 0.0
        self._lost_at_ms = 0.0
        self._item_ms: float | None = None
        self._item_at_ms = 0.0
        self._items_per_ms = 0.0
        self._last_answer_at_ms: float | None = None
        self._machine: transitions.Machine | None = None

    def _trigger(self, event: str) -> None:
        if self._machine is None:
            self._machine = transitions.Machine(
                self,
                states=list(TARGET_STATES),
                transitions=[list(row) for row in TARGET_TRANSITIONS],
                initial=self.state,
                auto_transitions=False,
                ignore_invalid_triggers=True,
            )
        self.trigger(event)

    def on_answer(self, items: int, busy_ms: float, now_ms: float) -> None:
        """Take in an exchange that the target answered well."""
        self._measure(items, busy_ms, now_ms)
        if self.state == 'serving':
            return
        self._failures = 0
        self._resume_at_ms = 0.0
        self._trigger('answered')
        self._good_answers += 1
        if self._good_answers >= _ANSWERS_TO_SERVE:
            self._trigger('warmed')

    def on_unloaded(self, now_ms: float) -> None:
        """The target holds none of what it was asked for."""
        self._good_answers = 0
        self._resume_at_ms = now_ms + _UNLOADED_PAUSE_MS
        self._trigger('unloaded')

    def on_shed(self, now_ms: float) -> None:
        """The target refused a whole exchange; asking on only adds load."""
        self._resume_at_ms = now_ms + _SHED_PAUSE_MS

    def on_failure(self, lost: bool, now_ms: float) -> None:
        """An exchange gave no answer; ``lost``: nor did a new connection."""
        self._good_answers = 0
        self._failures += 1
        if lost and self.state != 'lost':
            self._lost_at_ms = now_ms
        self._trigger('gone' if lost else 'failed')
        if self.state == 'lost':
            pause_ms = _LOST_PAUSE_MS * 2 ** min(self._failures - 1, 8)
            self._resume_at_ms = now_ms + min(pause_ms, _MAX_LOST_PAUSE_MS)

    def set_leaving(self, leaving: bool) -> None:
        """Follow the signs; a target that returns ramps up."""
        if leaving:
            self._trigger('leave')
            return
        if self.state == 'leaving':
            self._good_answers = 0
            self._trigger('come_back')

    def allowed_slots(self, slots: int, now_ms: float) -> int:
        """Return how many of the target's slots may be used now."""
        if now_ms < self._resume_at_ms:
            return 0
        return {
            'unknown': 1,
            'warming': min(slots, 1 + self._good_answers // 2),
            'serving': slots,
            'suspect': max(1, slots // 2),
            'leaving': 0,
            'lost': 1,
        }[self.state]

    def resume_at_ms(self) -> float:
        """Return until when nothing is to be sent, 0.0 for no pause."""
        return self._resume_at_ms

    def lost_for_ms(self, now_ms: float) -> float:
        """Return how long the target has been lost, 0.0 if it is not."""
        return now_ms - self._lost_at_ms if self.state == 'lost' else 0.0

    def is_lost(self, now_ms: float) -> bool:
        """Whether sending would be in vain; a trial follows the pause."""
        return self.state == 'lost' and now_ms < self._resume_at_ms

    def expected_item_ms(self, now_ms: float) -> float:
        """Return the median time of an item, 0.0 while it is not known.

        An old figure is forgotten: if it refused all work as too late, no
        answer would ever correct it.
        """
        if self._item_ms is None or now_ms - self._item_at_ms > _STALE_MS:
            return 0.0
        return self._item_ms

    def queue_wait_ms(self, items: int) -> float:
        """Return how long a queue of that many items takes to empty."""
        if not self._items_per_ms:
            return 100.0
        return items / self._items_per_ms

    def _measure(self, items: int, busy_ms: float, now_ms: float) -> None:
        if not items:
            return
        each_ms = busy_ms / items
        if self._item_ms is None or now_ms - self._item_at_ms > _STALE_MS:
            self._item_ms = each_ms
        # Steps towards the median: one straggler of ten times the usual
        # must not make work look too late that is not.
        step_ms = max(self._item_ms * _MEDIAN_STEP, 0.01)
        error_ms = each_ms - self._item_ms
        self._item_ms += max(-step_ms, min(step_ms, error_ms))
        self._item_at_ms = now_ms
        if self._last_answer_at_ms is not None:
            since_ms = max(now_ms - self._last_answer_at_ms, 0.1)
            rate = items / since_ms
            self._items_per_ms += (rate - self._items_per_ms) * 0.1
        self._last_answer_at_ms = now_ms
