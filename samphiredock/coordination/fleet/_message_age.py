"""How old a message may be that was read after this process was frozen."""

from samphiredock import timers

_AFTER_GAP_MS = 500.0
"""Messages that waited in the sockets are read within this time."""


class MessageAge:
    """The unknown age of messages read just after a freeze.

    A frozen process (stopped, swapped, its host paused) finds messages
    that were sent at any time since it stopped.  Their budgets count from
    when they are read, so without a correction stale work looks fresh.
    """

    def __init__(self, clock: timers.Timers) -> None:
        self._clock = clock
        self._gap_ms = 0.0
        self._gap_at_ms = float('-inf')
        clock.on_gap(self._on_gap)

    def has_unnoticed_gap(self) -> bool:
        """Whether there was a freeze that the timer has not noticed yet."""
        return self._clock.frozen_for_ms() > timers.GAP_MS

    def max_age_ms(self) -> float:
        """Return the most that a message read now may have waited."""
        # The socket may be read before the timer that notices the gap.
        if self.has_unnoticed_gap():
            return self._clock.frozen_for_ms()
        if self._clock.now_ms() - self._gap_at_ms <= _AFTER_GAP_MS:
            return self._gap_ms
        return 0.0

    def _on_gap(self, gap_ms: float) -> None:
        self._gap_ms = gap_ms
        self._gap_at_ms = self._clock.now_ms()
