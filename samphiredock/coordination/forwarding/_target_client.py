"""Sends a request to one target and records the result."""

import dataclasses
import math
import typing

from returns import result

from samphiredock.coordination.forwarding import _crash_guard
from samphiredock.coordination.forwarding import _forward_types
from samphiredock.coordination.forwarding import _live_targets
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

_Status = protocol.SubStatus

_LINK_STATUS = {
    transport.LinkErrorKind.UNREACHABLE: _Status.UNREACHABLE,
    transport.LinkErrorKind.NO_CONNECTION: _Status.CANCELLED,
    transport.LinkErrorKind.BROKEN: _Status.BROKEN,
    transport.LinkErrorKind.SILENT: _Status.SILENT,
    transport.LinkErrorKind.BAD_ANSWER: _Status.BAD_ANSWER,
}


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeResult:
    """The result of an exchange; ``reply`` is None if none came."""

    status: _Status
    detail: str = ''
    reply: protocol.TargetReply | None = None


class TargetClient:
    """Sends requests to targets and records the results.

    Parameters
    ----------
    targets
        The registered targets and their observed health.
    dialect, links
        The targets' HTTP protocol, and the connections to them.
    clock
        The timers of this daemon.
    max_idle_once_ms
        Longest idle time of a connection used for a request that must run
        at most once.
    crashes
        Takes the losses of targets; None to look for no crashes.
    """

    def __init__(
        self,
        targets: _live_targets.LiveTargets,
        dialect: _forward_types.Dialect,
        links: _forward_types.Links,
        clock: timers.Timers,
        max_idle_once_ms: float = math.inf,
        crashes: _crash_guard.CrashGuard | None = None,
    ) -> None:
        self._targets = targets
        self._dialect = dialect
        self._links = links
        self._clock = clock
        self._max_idle_once_ms = max_idle_once_ms
        self._crashes = crashes

    async def send(
        self,
        request: protocol.ForwardRequest,
        target_id: str,
        left_ms: float,
        repeatable: bool = True,
        hedge: bool = False,
        is_wanted: typing.Callable[[], bool] = lambda: True,
        on_send: typing.Callable[[], None] = lambda: None,
    ) -> ExchangeResult:
        """Send a request to a target, once.

        Parameters
        ----------
        request, target_id
            What to send, and to which target.
        left_ms
            Time left until the caller's deadline.
        repeatable
            Whether the request may be sent again if it is lost.
        hedge
            Whether this is a hedge.  A hedge is sent only if a connection is
            free: queued, it would be late as well and would delay another
            request's first attempt.
        is_wanted
            Whether the reply is still needed.
        on_send
            Called when the request is written.
        """
        target = self._targets.get(target_id)
        if target is None:
            return ExchangeResult(_Status.UNREACHABLE, 'target not registered')
        if hedge and not self._links.has_room(target):
            return ExchangeResult(_Status.NO_IDLE_SLOT, 'no free connection')
        sent_ms = self._clock.now_ms()
        reply = await self._links.exchange(
            target,
            self._dialect.target_request(request, target, left_ms),
            left_ms,
            lambda got: self._dialect.is_reply_to(request, got),
            math.inf if repeatable else self._max_idle_once_ms,
            is_wanted,
            on_send=on_send,
        )
        took_ms = self._clock.now_ms() - sent_ms
        if isinstance(reply, result.Failure):
            error = reply.failure()
            status = _LINK_STATUS[error.kind]
            self.record_result(target_id, status, took_ms)
            return ExchangeResult(status, error.detail)
        read = self._dialect.read_reply(request, reply.unwrap())
        self.record_result(target_id, read.status, took_ms)
        return ExchangeResult(read.status, read.detail, read)

    def record_result(
        self, target_id: str, status: _Status, took_ms: float
    ) -> None:
        """Record the result of an exchange in the health of its target."""
        if self._targets.get(target_id) is None:
            return
        now_ms = self._clock.now_ms()
        record = self._targets.record(target_id)
        if status is _Status.ANSWERED:
            record.on_answer(1, took_ms, now_ms)
        elif status is _Status.UNREACHABLE:
            record.on_failure(True, now_ms)
        elif status in (_Status.BROKEN, _Status.BAD_ANSWER):
            record.on_failure(False, now_ms)
        elif status is _Status.NOT_OWNER:
            self._targets.mark_misdirected(target_id)

    async def look_for_crash(
        self,
        request: protocol.ForwardRequest,
        target_id: str,
        exchange_result: ExchangeResult,
    ) -> None:
        """Report a loss if a connection broke because its target died.

        A target that has only lost one connection still accepts new ones.
        """
        lost = (
            exchange_result.status is _Status.BROKEN
            and exchange_result.reply is None
        )
        target = self._targets.get(target_id)
        if self._crashes is None or not lost or target is None:
            return
        if await self._links.is_listening(target):
            return
        self.record_result(target_id, _Status.UNREACHABLE, 0.0)
        self._crashes.report_loss(
            _crash_guard.Loss(
                _crash_guard.fingerprint_of(request),
                request.request_id,
                target_id,
                started_at_ms=target.started_at_ms,
            )
        )

    def target(self, target_id: str) -> state.LiveTarget | None:
        """Return a registered target, None if there is none of this id."""
        return self._targets.get(target_id)
