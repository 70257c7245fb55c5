"""The phases of a graceful shutdown.

:class:`Shutdown` does no input or output: it is told of signals and ticks, and
decides on the phase.  The balancer notices only after some lag that a daemon
is no longer ready, and sends requests until then, so a daemon goes on
accepting them for that long.
"""

import enum
import typing

import transitions

SECOND_SIGNAL_LIMIT_MS = 1_000.0
"""Time that a second signal leaves for requests in flight."""


class Phase(enum.Enum):
    """The phases of a shutdown, in order.

    SERVING: no shutdown yet.  LEAVING: not ready, but the balancer may not
    know yet.  DRAINING: the balancer knows; requests in flight are finished.
    CLOSED: the servers close.
    """

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
    """Decides on the phase of a shutdown.

    Parameters
    ----------
    balancer_lag_ms
        How long the balancer may send requests after readiness turned false;
        all of them are served.
    limit_ms
        Limit on the duration of the whole shutdown.
    on_phase
        Called with each phase when it is entered.
    early_close_ms
        How long before the limit the daemon closes even if it is not idle.
        Callers that keep sending may leave it no idle moment, and requests
        read by then can still be answered within the limit.
    """

    # Set by transitions.Machine: the state, and a method for each trigger.
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
        """The current phase."""
        return self.state

    def on_signal(self, now_ms: float) -> None:
        """Start the shutdown, or shorten it if it has already started."""
        if self.state is Phase.SERVING:
            self._started_ms = now_ms
            self._ends_ms = now_ms + self._limit_ms
        else:
            self._ends_ms = min(self._ends_ms, now_ms + SECOND_SIGNAL_LIMIT_MS)
        self.signalled()

    def on_tick(self, now_ms: float, in_flight: int) -> None:
        """Update the phase; ``in_flight`` requests have no reply yet."""
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
            # Has no effect in LEAVING, when more requests may arrive.
            self.idle()

    def left_ms(self, now_ms: float) -> float:
        """Return the time left until the limit."""
        return max(0.0, self._ends_ms - now_ms)

    def _on_state_change(self) -> None:
        self._on_phase(self.state)
