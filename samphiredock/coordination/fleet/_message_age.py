"""The age of messages that are read after this process was frozen."""

from samphiredock import timers

_AFTER_GAP_MS = 500.0
"""Messages that waited in the sockets are read within this time."""


class MessageAge:
    """Bounds the age of messages that are read just after a freeze.

    A process that was frozen (stopped, swapped out, its host paused) reads
    messages that were sent at any time during the freeze.  Their budgets
    count from when they are read, so without a correction expired requests
    would be served.
    """

    def __init__(self, clock: timers.Timers) -> None:
        self._clock = clock
        self._gap_ms = 0.0
        self._gap_at_ms = float('-inf')
        clock.on_gap(self._on_gap)

    def has_unnoticed_gap(self) -> bool:
        """Whether a freeze ended that the timer has not noticed yet."""
        return self._clock.frozen_for_ms() > timers.GAP_MS

    def max_age_ms(self) -> float:
        """Return how long a message read now may have waited at most."""
        # The socket may be read before the timer that notices the gap.
        if self.has_unnoticed_gap():
            return self._clock.frozen_for_ms()
        if self._clock.now_ms() - self._gap_at_ms <= _AFTER_GAP_MS:
            return self._gap_ms
        return 0.0

    def _on_gap(self, gap_ms: float) -> None:
        self._gap_ms = gap_ms
        self._gap_at_ms = self._clock.now_ms()
