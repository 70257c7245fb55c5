"""The phases of a graceful shutdown.

A pure object: signals and ticks go in, the phase comes out.  A balancer
learns only after its own lag that a daemon is no longer ready, so a daemon
that stopped accepting at once would cut the requests sent meanwhile.
"""

import enum
import typing

import transitions

HURRY_LIMIT_MS = 1_000.0
"""How long a second signal still leaves for requests in flight."""


class Phase(enum.Enum):
    """How far the daemon has gone."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    DRAINING = 'draining'
    CLOSED = 'closed'


_TRANSITIONS = [
    ['signalled', Phase.SERVING, Phase.LEAVING],
    ['signalled', Phase.LEAVING, Phase.DRAINING],
    ['signalled', Phase.DRAINING, Phase.CLOSED],
    ['balancer_knows', Phase.LEAVING, Phase.DRAINING],
    ['idle', Phase.DRAINING, Phase.CLOSED],
    ['limit_passed', Phase.LEAVING, Phase.CLOSED],
    ['limit_passed', Phase.DRAINING, Phase.CLOSED],
]


class Shutdown:
    """Decide when to refuse new requests and when to stop.

    Parameters
    ----------
    balancer_lag_ms
        How long requests may still come after readiness went off; all of
        them are served.
    limit_ms
        Bound on the whole shutdown.
    on_phase
        Called with each phase that is entered.
    early_close_ms
        How long before the limit the daemon closes though it is not idle.
        Callers that keep coming may leave no moment without a request; what
        is read until then can still be answered within the limit.
    """

    state: Phase
    signalled: typing.Callable[[], bool]
    balancer_knows: typing.Callable[[], bool]
    idle: typing.Callable[[], bool]
    limit_passed: typing.Callable[[], bool]

    def __init__(
        self,
        balancer_lag_ms: float,
        limit_ms: float,
        on_phase: typing.Callable[[Phase], None],
        early_close_ms: float = 0.0,
    ) -> None:
        self._early_close_ms = early_close_ms
        self._balancer_lag_ms = balancer_lag_ms
        self._limit_ms = limit_ms
        self._on_phase = on_phase
        self._started_ms = 0.0
        self._ends_ms = 0.0
        self._machine = transitions.Machine(
            self,
            states=Phase,
            transitions=_TRANSITIONS,
            initial=Phase.SERVING,
            auto_transitions=False,
            ignore_invalid_triggers=True,
            after_state_change=self._on_state_change,
        )

    @property
    def phase(self) -> Phase:
        """The phase the daemon is in."""
        return self.state

    def on_signal(self, now_ms: float) -> None:
        """A signal came: the first starts, the next ones hurry."""
        if self.state is Phase.SERVING:
            self._started_ms = now_ms
            self._ends_ms = now_ms + self._limit_ms
        else:
            self._ends_ms = min(self._ends_ms, now_ms + HURRY_LIMIT_MS)
        self.signalled()

    def on_tick(self, now_ms: float, in_flight: int) -> None:
        """Time passed; ``in_flight`` requests have no answer yet."""
        if self.state in (Phase.SERVING, Phase.CLOSED):
            return
        if now_ms >= self._ends_ms:
            self.limit_passed()
            return
        if now_ms >= self._started_ms + self._balancer_lag_ms:
            self.balancer_knows()
        draining = self.state is Phase.DRAINING
        if draining and now_ms >= self._ends_ms - self._early_close_ms:
            self.limit_passed()
        elif not in_flight:
            # Only DRAINING ends on idleness: in LEAVING more may come.
            self.idle()

    def left_ms(self, now_ms: float) -> float:
        """Return what is left of the whole shutdown's time."""
        return max(0.0, self._ends_ms - now_ms)

    def _on_state_change(self) -> None:
        self._on_phase(self.state)
