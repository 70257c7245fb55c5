"""Whether the platform's store answers the calls for claims."""

import itertools

from samphiredock import timers

SILENT_MS = 1_000.0
PROBE_MS = 250.0


class StoreHealth:
    """Notices a store that takes calls and answers none.

    A store that refuses calls is noticed by each request itself, at once.
    A silent one would hold every request until its deadline, so that
    callers could not try again elsewhere in time.
    """

    def __init__(self, clock: timers.Timers) -> None:
        self._clock = clock
        self._numbers = itertools.count(1)
        self._begun_ms: dict[int, float] = {}
        self._answered_ms = clock.now_ms()
        self._probed_ms = clock.now_ms()

    def call_started(self) -> int:
        """A call was sent; return its number."""
        number = next(self._numbers)
        self._begun_ms[number] = self._clock.now_ms()
        return number

    def call_ended(self, number: int, is_answered: bool) -> None:
        """A call ended, with or without an answer of the store."""
        self._begun_ms.pop(number, None)
        if is_answered:
            self._answered_ms = self._clock.now_ms()

    def allows_call(self) -> bool:
        """Whether to try a claim; a silent store is tried now and then."""
        now_ms = self._clock.now_ms()
        # Calls keep their order in the dict: the first is the oldest.
        oldest_ms = next(iter(self._begun_ms.values()), now_ms)
        silent_since_ms = max(oldest_ms, self._answered_ms)
        if now_ms - silent_since_ms < SILENT_MS:
            return True
        if now_ms - self._probed_ms < PROBE_MS:
            return False
        self._probed_ms = now_ms
        return True
