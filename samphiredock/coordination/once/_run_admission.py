"""Validates an unrepeatable request before its key is claimed."""

import dataclasses

from samphiredock.coordination.search import _planner
from samphiredock import protocol
from samphiredock import state

FUTURE_SKEW_MS = 300_000
"""How far a caller's clock may be ahead of this daemon's."""

KEY_LIMIT_CHARS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A valid request with what is needed to claim and run it.

    ``content_digest`` identifies operation and body; a key may be used again
    only with the same digest.  ``fingerprint`` identifies the content for
    the quarantine.  The claim's retention counts from ``since_ms``, in Unix
    time: when the key was issued or the request arrived, whichever is later.
    """

    request: protocol.RunRequest
    key: str
    operation: state.Operation
    location: state.ClaimLocation
    content_digest: str
    fingerprint: str
    retention_ms: int
    since_ms: int
    deadline_at_ms: float


def admit(
    request: protocol.RunRequest,
    key: str,
    configuration: state.Configuration | None,
    now_ms: float,
    wall_ms: int,
) -> AdmittedRequest | protocol.NotRun:
    """Validate a request against the configuration and the clock.

    ``now_ms`` is monotonic time, ``wall_ms`` is Unix time.  Returns the
    refusal of an invalid request.
    """
    if configuration is None:
        return _not_run(
            protocol.NotRunReason.NOT_READY, 'no configuration yet', 500
        )
    operation = _find_operation(request, configuration)
    if isinstance(operation, protocol.NotRun):
        return operation
    limits = configuration.limits
    problem = _validate(request, key, limits)
    if problem is not None:
        return problem
    retention_ms = min(limits.key_retention_ms, state.KEY_RETENTION_LIMIT_MS)
    stale = refuse_stale_key(request, retention_ms, wall_ms)
    if stale is not None:
        return stale
    deadline_ms = (
        operation.deadline_ms
        if request.deadline_ms is None
        else request.deadline_ms
    )
    return AdmittedRequest(
        request,
        key,
        operation,
        state.locate_claim(request.service, key),
        state.content_digest(request.operation, request.body),
        _planner.fingerprint_of(
            request.service, request.operation, request.body
        ),
        retention_ms,
        max(wall_ms, request.issued_at_ms),
        now_ms + deadline_ms,
    )


def _find_operation(
    request: protocol.RunRequest, configuration: state.Configuration
) -> state.Operation | protocol.NotRun:
    service = configuration.services.get(request.service)
    if service is None:
        return _not_run(
            protocol.NotRunReason.UNKNOWN_SERVICE,
            f'got service {request.service!r}, expected a configured one',
        )
    operation = service.operations.get(request.operation)
    if operation is None:
        return _not_run(
            protocol.NotRunReason.UNKNOWN_OPERATION,
            f'got operation {request.operation!r}, '
            f'expected one of {sorted(service.operations)}',
        )
    return operation


def refuse_stale_key(
    request: protocol.RunRequest, retention_ms: int, wall_ms: int
) -> protocol.NotRun | None:
    """Return a refusal if the key's claim may have been deleted already.

    Returns None for a key within the retention time.
    """
    age_ms = wall_ms - request.issued_at_ms
    if -FUTURE_SKEW_MS <= age_ms <= retention_ms:
        return None
    return _not_run(
        protocol.NotRunReason.STALE_KEY,
        f'issued_at_ms: got a key {age_ms} ms old, '
        f'expected {-FUTURE_SKEW_MS} to {retention_ms} ms; this attempt was '
        'not run, earlier ones with this key may have run',
    )


def _validate(
    request: protocol.RunRequest, key: str, limits: state.Limits
) -> protocol.NotRun | None:
    if not 0 < len(key) <= KEY_LIMIT_CHARS:
        return _not_run(
            protocol.NotRunReason.BAD_REQUEST,
            f'idempotency key: got {len(key)} characters, '
            f'expected 1 to {KEY_LIMIT_CHARS}',
        )
    if not (key.isascii() and key.isprintable()):
        # An HTTP header may hold bytes that cannot be encoded in a message.
        return _not_run(
            protocol.NotRunReason.BAD_REQUEST,
            f'idempotency key: got {ascii(key)}, '
            'expected printable ASCII characters',
        )
    deadline_ms = request.deadline_ms
    if deadline_ms is None:
        return None
    if deadline_ms <= 0:
        return _not_run(
            protocol.NotRunReason.DEADLINE_TOO_SHORT,
            f'deadline_ms: got {deadline_ms}, expected more than 0',
        )
    if deadline_ms > limits.deadline_limit_ms:
        return _not_run(
            protocol.NotRunReason.BAD_REQUEST,
            f'deadline_ms: got {deadline_ms}, '
            f'expected at most {limits.deadline_limit_ms}',
        )
    return None


def _not_run(
    reason: protocol.NotRunReason, detail: str, retry_after_ms: int = 0
) -> protocol.NotRun:
    return protocol.NotRun(reason, detail, retry_after_ms)
