"""Conversion between the messages of peers and those of targets."""

import typing

from returns import result

from samphiredock.coordination.targets import _scheduler_types
from samphiredock import protocol
from samphiredock import transport

LINK_STATUS = {
    transport.LinkErrorKind.UNREACHABLE: protocol.SubStatus.UNREACHABLE,
    transport.LinkErrorKind.BROKEN: protocol.SubStatus.BROKEN,
    transport.LinkErrorKind.SILENT: protocol.SubStatus.SILENT,
    transport.LinkErrorKind.BAD_ANSWER: protocol.SubStatus.BAD_ANSWER,
}

TARGET_STATUS = {
    protocol.TargetStatus.OK: protocol.SubStatus.ANSWERED,
    protocol.TargetStatus.SNAPSHOT_GONE: protocol.SubStatus.SNAPSHOT_GONE,
    protocol.TargetStatus.NOT_LOADED: protocol.SubStatus.NOT_LOADED,
    protocol.TargetStatus.SHED: protocol.SubStatus.SHED,
    protocol.TargetStatus.DRAINING: protocol.SubStatus.DRAINING,
    protocol.TargetStatus.EXPIRED: protocol.SubStatus.EXPIRED,
    protocol.TargetStatus.CANCELLED: protocol.SubStatus.CANCELLED,
}


def target_query(
    job: _scheduler_types.Job, now_ms: float
) -> protocol.TargetQuery:
    """Return a batch item, its deadline as the ms left from ``now_ms``."""
    request = typing.cast(protocol.SubQueryBatch, job.request)
    item = typing.cast(protocol.SubQuery, job.item)
    return protocol.TargetQuery(
        item.attempt_id,
        request.service,
        request.search,
        request.terms,
        request.limit,
        item.index,
        item.index_version,
        item.snapshot_id,
        item.shard_id,
        int(job.expires_at_ms - now_ms),
        request.fingerprint,
    )


def target_run(order: protocol.RunOrder, left_ms: float) -> protocol.TargetRun:
    """Return the target's message for an unrepeatable request."""
    return protocol.TargetRun(
        order.attempt_id,
        order.service,
        order.operation,
        order.idempotency_key,
        order.body,
        int(left_ms),
    )


def sub_answer(
    target: str, answer: protocol.TargetAnswer, waited_ms: float
) -> protocol.SubAnswer:
    """Return the coordinator's message for a target's answer."""
    return protocol.SubAnswer(
        answer.attempt_id,
        target,
        TARGET_STATUS[answer.status],
        answer.snapshot_id,
        answer.ranges,
        answer.truncated,
        answer.records,
        answer.service_ms,
        waited_ms,
        answer.retry_after_ms,
    )


def failed_answer(
    target: str,
    attempt_id: str,
    error: transport.LinkError,
    ran_alone: bool,
    target_lost: bool,
) -> protocol.SubAnswer:
    """Return the coordinator's message for a failed exchange."""
    return protocol.SubAnswer(
        attempt_id,
        target,
        LINK_STATUS[error.kind],
        ran_alone=ran_alone,
        target_lost=target_lost,
        detail=error.detail,
    )


def run_report(
    attempt_id: str,
    target: str,
    reply: result.Result[protocol.TargetRunAnswer, transport.LinkError],
    target_lost: bool,
) -> protocol.RunReport:
    """Return the origin's message for the end of an unrepeatable request."""
    if isinstance(reply, result.Failure):
        error = reply.failure()
        return protocol.RunReport(
            attempt_id,
            target,
            LINK_STATUS[error.kind],
            target_lost=target_lost,
            detail=error.detail,
        )
    answer = reply.unwrap()
    return protocol.RunReport(
        attempt_id,
        target,
        TARGET_STATUS[answer.status],
        answer.accepted,
        answer.result,
        retry_after_ms=answer.retry_after_ms,
    )


def refusal_message(
    target: str, refusal: _scheduler_types.Refuse
) -> protocol.SubAnswer | protocol.RunReport:
    """Return the origin's message for a job that was refused here."""
    job = refusal.job
    kind = protocol.RunReport if job.item is None else protocol.SubAnswer
    return kind(
        job.attempt_id,
        target,
        refusal.status,
        detail=refusal.detail,
        retry_after_ms=refusal.retry_after_ms,
    )
