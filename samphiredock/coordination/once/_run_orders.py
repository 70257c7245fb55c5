"""Sends orders to dispatchers and matches their reports."""

import asyncio
import collections
import dataclasses
import typing

from samphiredock.coordination.once import _claim_bucket
from samphiredock.coordination.once import _cutoff
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import timers
from samphiredock import transport

CANCEL_WAIT_MS = 300.0
"""How long to wait for a dispatcher to confirm a cancelled order."""

OUTSTANDING_LIMIT = 10_000
"""How many orders without a final report are kept."""

LateReportHandler = typing.Callable[[str, protocol.RunReport], None]


@dataclasses.dataclass(slots=True)
class _Outstanding:
    """An order without a final report.

    ``owner`` is the dispatcher it was sent to, ``unread`` the report that
    the next wait returns, ``waker`` the future of a wait in progress.
    """

    token: str
    owner: str
    target: str
    unread: protocol.RunReport | None = None
    waker: asyncio.Future | None = None
    is_abandoned: bool = False


def proves_not_begun(report: protocol.RunReport) -> bool:
    """Return whether a report proves that no target began the order."""
    return report.status in protocol.NEVER_STARTED


def is_final(report: protocol.RunReport) -> bool:
    """Return whether a report proves that the order ran or never began."""
    ran = report.status is protocol.SubStatus.ANSWERED
    return ran or proves_not_begun(report)


class Orders:
    """Sends orders and matches reports to them.

    Parameters
    ----------
    on_late
        Called with the token and the final report of an abandoned order,
        whose caller was answered "unknown".
    """

    def __init__(
        self,
        peers: transport.Peers,
        clock: timers.Timers,
        counters: metrics.Metrics,
        on_late: LateReportHandler,
        cutoff: _cutoff.Cutoff | None = None,
    ) -> None:
        self._cutoff = cutoff or _cutoff.Cutoff(clock)
        self._peers = peers
        self._clock = clock
        self._metrics = counters
        self._on_late = on_late
        self._outstanding: collections.OrderedDict[str, _Outstanding] = (
            collections.OrderedDict()
        )
        peers.subscribe(protocol.RunReport, self._on_report)

    def send(self, token: str, owner: str, order: protocol.RunOrder) -> bool:
        """Send an order to ``owner``, the target's dispatcher.

        ``token`` is the request's claim token.  Returns False if the order
        was certainly not sent.
        """
        self._outstanding[order.attempt_id] = _Outstanding(
            token, owner, order.target
        )
        if self._peers.send(owner, order):
            self._metrics.add('run_orders_sent')
            return True
        del self._outstanding[order.attempt_id]
        self._metrics.add('run_orders_unsent')
        return False

    async def wait_report(
        self, attempt_id: str, until_ms: float
    ) -> protocol.RunReport | None:
        """Return the next report on an order, None without one in time.

        The cutoff ends the wait early; the caller then cancels the order,
        as at its deadline.
        """
        return await self._next_report(
            attempt_id,
            lambda waker: self._cutoff.wait_until(waker, until_ms),
        )

    async def _next_report(
        self,
        attempt_id: str,
        wait: typing.Callable[
            [asyncio.Future], typing.Coroutine[typing.Any, typing.Any, bool]
        ],
    ) -> protocol.RunReport | None:
        outstanding = self._outstanding[attempt_id]
        if outstanding.unread is None:
            waker = asyncio.get_running_loop().create_future()
            outstanding.waker = waker
            await wait(waker)
            outstanding.waker = None
        report, outstanding.unread = outstanding.unread, None
        return report

    async def cancel(
        self, attempt_id: str, until_ms: float
    ) -> protocol.RunReport | None:
        """Ask the dispatcher to cancel; return a final report if one comes.

        Returns None without a final report: the order may have run.  The
        wait is at most ``CANCEL_WAIT_MS``.  The cutoff does not shorten it,
        since most cancels of orders that were not begun are confirmed
        within it.
        """
        owner = self._outstanding[attempt_id].owner
        until_ms = min(until_ms, self._clock.now_ms() + CANCEL_WAIT_MS)
        self._metrics.add('run_cancels')
        # Only searches have a query id.
        if not self._peers.send(
            owner, protocol.CancelAttempts('', [attempt_id])
        ):
            return None
        while self._clock.now_ms() < until_ms:
            report = await self._next_report(
                attempt_id,
                lambda waker: _claim_bucket.wait_until(
                    self._clock, waker, until_ms
                ),
            )
            if report is not None and is_final(report):
                return report
        return None

    def forget(self, attempt_id: str) -> None:
        """Forget an order that has its final report."""
        self._outstanding.pop(attempt_id, None)

    def abandon(self, attempt_id: str) -> None:
        """Stop waiting for an order; a final report goes to ``on_late``."""
        outstanding = self._outstanding[attempt_id]
        outstanding.is_abandoned = True
        if outstanding.unread is not None:
            self._handle_late_report(
                attempt_id, outstanding, outstanding.unread
            )
        while len(self._outstanding) > OUTSTANDING_LIMIT:
            self._outstanding.popitem(last=False)
            self._metrics.add('run_orders_dropped')

    def _on_report(self, sender: str, report: protocol.RunReport) -> None:
        outstanding = self._outstanding.get(report.attempt_id)
        if outstanding is None:
            self._metrics.add('run_reports_unmatched')
            return
        if (sender, report.target) != (outstanding.owner, outstanding.target):
            self._metrics.add('run_reports_refused')
            return
        if outstanding.is_abandoned:
            self._handle_late_report(report.attempt_id, outstanding, report)
            return
        # A later report does not replace a final one that is unread yet.
        if outstanding.unread is None or is_final(report):
            outstanding.unread = report
        waker = outstanding.waker
        if waker is not None and not waker.done():
            waker.set_result(None)

    def _handle_late_report(
        self,
        attempt_id: str,
        outstanding: _Outstanding,
        report: protocol.RunReport,
    ) -> None:
        if is_final(report):
            self.forget(attempt_id)
            self._metrics.add('run_reports_late')
            self._on_late(outstanding.token, report)
