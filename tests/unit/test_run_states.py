"""The states of one unrepeatable request."""

import unittest

import transitions

from samphiredock.coordination.once import _run_request
from samphiredock.coordination.once import _run_states
from samphiredock import protocol

State = _run_states.RunState

_PATHS = {
    State.RECEIVED: (),
    State.CLAIMING: ('claim',),
    State.ASKING: ('claim', 'ask'),
    State.CLAIMED: ('claim', 'grant'),
    State.SENT: ('claim', 'grant', 'send'),
    State.CANCELLING: ('claim', 'grant', 'send', 'cancel'),
    State.NOT_RUN: ('refuse',),
    State.COMPLETED: ('claim', 'complete'),
    State.UNKNOWN: ('claim', 'mark_unknown'),
}


class _FakeClaims:
    """Stands for the claim registry and statuses; records its calls."""

    def __init__(self) -> None:
        self.calls: list[object] = []

    def update(self, token: str, status: protocol.ClaimStatus) -> None:
        self.calls.append(status)

    def forget(self, token: str) -> None:
        self.calls.append('forget')


class RunStatesTest(unittest.TestCase):
    """Which answers and triggers each state allows."""

    def test_not_run_is_answered_only_from_its_table(self) -> None:
        """Answering "not run" raises in all but the listed states."""
        refusal = protocol.NotRun(protocol.NotRunReason.NO_TARGET, '', 0)
        allowed = set()
        for state, path in _PATHS.items():
            run = _run_request.Run(None, 'a/1/1', _run_states.new_progress())
            for trigger in path:
                run.step(trigger)
            self.assertIs(state, run.progress.state)
            fake_claims = _FakeClaims()
            recorder = _run_request.OutcomeRecorder(
                fake_claims, fake_claims, None, None
            )
            try:
                recorder.refuse(run, refusal)
            except AssertionError:
                self.assertEqual([], fake_claims.calls)
                continue
            allowed.add(state)
            self.assertIs(State.NOT_RUN, run.progress.state)
            self.assertEqual(
                [protocol.ClaimStatus.NEVER_SENT, 'forget'], fake_claims.calls
            )
        self.assertEqual(set(State), set(_PATHS))
        self.assertEqual(
            {State.RECEIVED, State.CLAIMING, State.CLAIMED}, allowed
        )

    def test_ended_requests_take_no_step(self) -> None:
        """A finished request accepts no trigger, so nothing is sent for it."""
        triggers = {row[0] for row in _run_states._TRANSITIONS}
        for state in (State.NOT_RUN, State.COMPLETED, State.UNKNOWN):
            for trigger in triggers:
                progress = _run_states.new_progress()
                for step in _PATHS[state]:
                    _run_states.step(progress, step)
                with self.assertRaises(transitions.MachineError):
                    _run_states.step(progress, trigger)

    def test_sending_needs_the_claim(self) -> None:
        """Only a claimed request can be sent."""
        for state, path in _PATHS.items():
            progress = _run_states.new_progress()
            for step in path:
                _run_states.step(progress, step)
            if state is State.CLAIMED:
                _run_states.step(progress, 'send')
                continue
            with self.assertRaises(transitions.MachineError):
                _run_states.step(progress, 'send')
