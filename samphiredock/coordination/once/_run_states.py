"""The states of one unrepeatable request."""

import enum

import transitions


class RunState(enum.Enum):
    """How far a request has come.

    ``ASKING`` has found another's claim whose fate is not known;
    ``CLAIMED`` holds the claim and has no order out; ``SENT`` and
    ``CANCELLING`` have one out.
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

``ASKING`` is not among them: this daemon sent nothing, but the holder of
the claim that is in the way may have run the same request.
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
    # The order never left, or a report proves that it was not begun.
    ('not_begun', RunState.SENT, RunState.CLAIMED),
    ('not_begun', RunState.CANCELLING, RunState.CLAIMED),
    ('refuse', RunState.RECEIVED, RunState.NOT_RUN),
    ('refuse', RunState.CLAIMING, RunState.NOT_RUN),
    ('refuse', RunState.CLAIMED, RunState.NOT_RUN),
    ('complete', RunState.CLAIMING, RunState.COMPLETED),
    ('complete', RunState.ASKING, RunState.COMPLETED),
    ('complete', RunState.SENT, RunState.COMPLETED),
    ('complete', RunState.CANCELLING, RunState.COMPLETED),
    ('lose_track', RunState.CLAIMING, RunState.UNKNOWN),
    ('lose_track', RunState.ASKING, RunState.UNKNOWN),
    ('lose_track', RunState.SENT, RunState.UNKNOWN),
    ('lose_track', RunState.CANCELLING, RunState.UNKNOWN),
)


class RunProgress:
    """The state of one request; a step that is not in the table raises."""

    state: RunState


_MACHINE = transitions.Machine(
    model=None,
    states=list(RunState),
    initial=RunState.RECEIVED,
    transitions=[list(row) for row in _TRANSITIONS],
    auto_transitions=False,
)
# One machine serves all requests: making one costs five times as much as
# adding a model to it.


def new_progress() -> RunProgress:
    """Return the progress of a request just received."""
    progress = RunProgress()
    _MACHINE.add_model(progress)
    return progress


def release(progress: RunProgress) -> None:
    """Let the machine forget a request that has ended."""
    _MACHINE.remove_model(progress)


def step(progress: RunProgress, trigger: str) -> None:
    """Take one step.

    Raises ``transitions.MachineError`` for a step that is not in the
    table, which is a broken invariant.
    """
    progress.trigger(trigger)
