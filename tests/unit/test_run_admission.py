"""Validation of requests before their keys are claimed."""

import unittest

from samphiredock.coordination.once import _run_admission
from samphiredock import protocol
from standins import memory_runners

_NOW_MS = 1_700_000_000_000
_Reason = protocol.NotRunReason


class RunAdmissionTest(unittest.TestCase):
    """Valid and invalid requests."""

    def admit(
        self, key: str = 'payout-7', **fields: object
    ) -> _run_admission.AdmittedRequest | protocol.NotRun:
        """Validate one request."""
        request = protocol.RunRequest(
            **{
                'service': memory_runners.SERVICE,
                'operation': memory_runners.OPERATION,
                'body': {'household': '7'},
                'issued_at_ms': _NOW_MS,
                **fields,
            }
        )
        configuration = memory_runners.MemoryView().configuration
        return _run_admission.admit(request, key, configuration, 50, _NOW_MS)

    def test_bad_requests(self) -> None:
        """Each mistake gives its own reason."""
        day_ms = 86_400_000
        cases = (
            (_Reason.UNKNOWN_SERVICE, {'service': 'x'}),
            (_Reason.UNKNOWN_OPERATION, {'operation': 'x'}),
            (_Reason.BAD_REQUEST, {'key': ''}),
            (_Reason.BAD_REQUEST, {'key': 'x' * 257}),
            (_Reason.BAD_REQUEST, {'key': 'a\udc80'}),
            (_Reason.BAD_REQUEST, {'key': 'a\nb'}),
            (_Reason.DEADLINE_TOO_SHORT, {'deadline_ms': 0}),
            (_Reason.BAD_REQUEST, {'deadline_ms': 30_001}),
            (_Reason.STALE_KEY, {'issued_at_ms': _NOW_MS - day_ms - 1}),
            (_Reason.STALE_KEY, {'issued_at_ms': _NOW_MS + 300_001}),
        )
        for reason, fields in cases:
            with self.subTest(fields):
                self.assertIs(reason, self.admit(**fields).reason)

    def test_good_request(self) -> None:
        """The deadline is the operation's unless the request has one."""
        self.assertEqual(
            50 + memory_runners.DEADLINE_MS, self.admit().deadline_at_ms
        )
        self.assertEqual(60, self.admit(deadline_ms=10).deadline_at_ms)
