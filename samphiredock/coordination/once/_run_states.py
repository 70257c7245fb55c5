"""The state machine of one unrepeatable request."""

import enum

import transitions


class RunState(enum.Enum):
    """The state of a request at this daemon.

    ``ASKING``: another daemon has an open claim on the key and is asked how
    it ended.  ``CLAIMED``: this daemon holds the claim and no order is
    outstanding.  ``SENT``, ``CANCELLING``: an order is outstanding.
    """

    RECEIVED = 'received'
    CLAIMING = 'claiming'
    ASKING = 'asking'
    CLAIMED = 'claimed'
    SENT = 'sent'
    CANCELLING = 'cancelling'
    NOT_RUN = 'not-run'
    COMPLETED = 'completed'
    UNKNOWN = 'unknown'


MAY_ANSWER_NOT_RUN = frozenset(
    {RunState.RECEIVED, RunState.CLAIMING, RunState.CLAIMED}
)
"""The states in which no target can have begun the request.

Not in ``ASKING``: this daemon sent nothing, but the holder of the other
claim may have run the same request.
"""

_TRANSITIONS = (
    # trigger, from, to
    ('claim', RunState.RECEIVED, RunState.CLAIMING),
    ('ask', RunState.CLAIMING, RunState.ASKING),
    ('ask', RunState.ASKING, RunState.ASKING),
    ('reclaim', RunState.ASKING, RunState.CLAIMING),
    ('grant', RunState.CLAIMING, RunState.CLAIMED),
    ('grant', RunState.ASKING, RunState.CLAIMED),
    ('send', RunState.CLAIMED, RunState.SENT),
    ('cancel', RunState.SENT, RunState.CANCELLING),
    # The order was not sent, or a report proves that no target began it.
    ('not_begun', RunState.SENT, RunState.CLAIMED),
    ('not_begun', RunState.CANCELLING, RunState.CLAIMED),
    ('refuse', RunState.RECEIVED, RunState.NOT_RUN),
    ('refuse', RunState.CLAIMING, RunState.NOT_RUN),
    ('refuse', RunState.CLAIMED, RunState.NOT_RUN),
    ('complete', RunState.CLAIMING, RunState.COMPLETED),
    ('complete', RunState.ASKING, RunState.COMPLETED),
    ('complete', RunState.SENT, RunState.COMPLETED),
    ('complete', RunState.CANCELLING, RunState.COMPLETED),
    ('mark_unknown', RunState.CLAIMING, RunState.UNKNOWN),
    ('mark_unknown', RunState.ASKING, RunState.UNKNOWN),
    ('mark_unknown', RunState.SENT, RunState.UNKNOWN),
    ('mark_unknown', RunState.CANCELLING, RunState.UNKNOWN),
)


class RunProgress:
    """The state of one request; the machine adds ``trigger`` to it."""

    state: RunState


_MACHINE = transitions.Machine(
    model=None,
    states=list(RunState),
    initial=RunState.RECEIVED,
    transitions=[list(row) for row in _TRANSITIONS],
    auto_transitions=False,
)
# One machine for all requests: adding a model is cheaper than a new machine.


def new_progress() -> RunProgress:
    """Return the progress of a new request, in state ``RECEIVED``."""
    progress = RunProgress()
    _MACHINE.add_model(progress)
    return progress


def release(progress: RunProgress) -> None:
    """Remove a finished request from the machine."""
    _MACHINE.remove_model(progress)


def step(progress: RunProgress, trigger: str) -> None:
    """Change the state by a trigger.

    Raises ``transitions.MachineError`` if the table has no transition for
    the trigger in the current state.
    """
    progress.trigger(trigger)
