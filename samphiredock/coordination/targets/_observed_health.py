"""The health of one target as this daemon's own exchanges show it.

It decides what is sent; the target's health endpoint does not, since that
may lag or answer while requests fail.
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

_NOT_LEAVING = ['unknown', 'warming', 'serving', 'suspect', 'lost']

TARGET_TRANSITIONS = (
    ('answered', ['unknown', 'lost'], 'warming'),
    ('answered', 'suspect', 'serving'),
    ('warmed', 'warming', 'serving'),
    ('unloaded', _NOT_LEAVING, 'warming'),
    ('failed', ['unknown', 'warming', 'serving'], 'suspect'),
    ('gone', _NOT_LEAVING, 'lost'),
    ('leave', _NOT_LEAVING, 'leaving'),
    ('come_back', 'leaving', 'warming'),
)
"""Trigger, sources, destination; a trigger in another state is ignored."""


class ObservedHealth:
    """State and service time of one target.

    The state machine is created with the first event and triggered only
    when the state may change: creating it for all targets would delay a
    daemon's start, and a trigger is slow compared with the rest of a
    sub-query's path through the dispatcher.
    """

    def __init__(self) -> None:
        self.state = _INITIAL
        self._good_answers = 0
        self._failures = 0
        self._resume_at_ms = 0.0
        self._lost_at_ms = 0.0
        self._job_ms: float | None = None
        self._job_ms_at = 0.0
        self._jobs_per_ms = 0.0
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

    def on_answer(self, jobs: int, busy_ms: float, now_ms: float) -> None:
        """Record that the target answered an exchange.

        ``jobs`` is the number of its jobs, ``busy_ms`` the time it took.
        """
        self._measure(jobs, busy_ms, now_ms)
        if self.state == 'serving':
            return
        self._failures = 0
        self._resume_at_ms = 0.0
        self._trigger('answered')
        self._good_answers += 1
        if self._good_answers >= _ANSWERS_TO_SERVE:
            self._trigger('warmed')

    def on_unloaded(self, now_ms: float) -> None:
        """Record that the target holds none of the requested shards."""
        self._good_answers = 0
        self._resume_at_ms = now_ms + _UNLOADED_PAUSE_MS
        self._trigger('unloaded')

    def on_shed(self, now_ms: float) -> None:
        """Record that the target shed a whole exchange; pause briefly."""
        self._resume_at_ms = now_ms + _SHED_PAUSE_MS

    def on_failure(self, lost: bool, now_ms: float) -> None:
        """Record a failed exchange.

        ``lost`` says that the target could not be reached, or that a health
        request after the failure failed too.
        """
        self._good_answers = 0
        self._failures += 1
        if lost and self.state != 'lost':
            self._lost_at_ms = now_ms
        self._trigger('gone' if lost else 'failed')
        if self.state == 'lost':
            pause_ms = _LOST_PAUSE_MS * 2 ** min(self._failures - 1, 8)
            self._resume_at_ms = now_ms + min(pause_ms, _MAX_LOST_PAUSE_MS)

    def set_leaving(self, leaving: bool) -> None:
        """Record that the target is leaving, or back; then it ramps up."""
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
        """Return when the current pause ends, 0.0 without a pause."""
        return self._resume_at_ms

    def lost_for_ms(self, now_ms: float) -> float:
        """Return how long the target has been lost, 0.0 if it is not."""
        return now_ms - self._lost_at_ms if self.state == 'lost' else 0.0

    def is_lost(self, now_ms: float) -> bool:
        """Whether the target is lost and the pause before a retry not over."""
        return self.state == 'lost' and now_ms < self._resume_at_ms

    def expected_job_ms(self, now_ms: float) -> float:
        """Return the median time of a job, 0.0 while it is not known.

        An old value is ignored: if it caused all jobs to be refused as too
        late, no answer would ever correct it.
        """
        if self._job_ms is None or now_ms - self._job_ms_at > _STALE_MS:
            return 0.0
        return self._job_ms

    def queue_wait_ms(self, jobs: int) -> float:
        """Return the expected time to serve this many queued jobs.

        It is a fixed 100 ms while the target's rate is not known.
        """
        if not self._jobs_per_ms:
            return 100.0
        return jobs / self._jobs_per_ms

    def _measure(self, jobs: int, busy_ms: float, now_ms: float) -> None:
        if not jobs:
            return
        each_ms = busy_ms / jobs
        if self._job_ms is None or now_ms - self._job_ms_at > _STALE_MS:
            self._job_ms = each_ms
        # Fixed steps approximate the median: a mean would follow a single
        # straggler, and jobs would be refused that are not too late.
        step_ms = max(self._job_ms * _MEDIAN_STEP, 0.01)
        error_ms = each_ms - self._job_ms
        self._job_ms += max(-step_ms, min(step_ms, error_ms))
        self._job_ms_at = now_ms
        if self._last_answer_at_ms is not None:
            since_ms = max(now_ms - self._last_answer_at_ms, 0.1)
            rate = jobs / since_ms
            self._jobs_per_ms += (rate - self._jobs_per_ms) * 0.1
        self._last_answer_at_ms = now_ms
