"""Detects that the platform's store leaves calls for claims unanswered."""

import itertools

from samphiredock import timers

SILENT_MS = 1_000.0
"""Without an answer for this long, the store counts as silent."""

PROBE_MS = 250.0
"""Interval between the calls that are let through to a silent store."""


class StoreHealth:
    """A circuit breaker for a store that accepts calls and never answers.

    A store that refuses calls fails each request at once.  A silent one
    would hold every request until its deadline, too late for the caller to
    retry at another daemon.
    """

    def __init__(self, clock: timers.Timers) -> None:
        self._clock = clock
        self._numbers = itertools.count(1)
        # Start times of the calls that have not ended, by number.
        self._begun_ms: dict[int, float] = {}
        self._answered_ms = clock.now_ms()
        self._probed_ms = clock.now_ms()

    def call_started(self) -> int:
        """Record that a call was sent; return its number."""
        number = next(self._numbers)
        self._begun_ms[number] = self._clock.now_ms()
        return number

    def call_ended(self, number: int, is_answered: bool) -> None:
        """Record that a call ended, with or without an answer."""
        self._begun_ms.pop(number, None)
        if is_answered:
            self._answered_ms = self._clock.now_ms()

    def allows_call(self) -> bool:
        """Return whether to call the store; a silent one gets probes only."""
        now_ms = self._clock.now_ms()
        # The dict keeps insertion order, so the first call is the oldest.
        oldest_ms = next(iter(self._begun_ms.values()), now_ms)
        silent_since_ms = max(oldest_ms, self._answered_ms)
        if now_ms - silent_since_ms < SILENT_MS:
            return True
        if now_ms - self._probed_ms < PROBE_MS:
            return False
        self._probed_ms = now_ms
        return True
