"""Sends merge orders to daemons of other sites and reads their reports."""

import math
import typing

from returns import result

from samphiredock.coordination.forwarding import _forward_types
from samphiredock.coordination.forwarding import _live_targets
from samphiredock.coordination.forwarding import _merger_assignments
from samphiredock.coordination.search import _arrival
from samphiredock.coordination.targets import _replica_selector
from samphiredock import logs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

ORDER_PATH = '/samphiredock/orders/1'
"""Path of merge orders, with the version of their format.  A daemon that does
not know the version refuses, and its targets are asked directly."""

_ORDER_ID = 'Samphiredock-Order'

_Status = protocol.SubStatus
_Kind = transport.LinkErrorKind

_log = logs.logger('orders')


class OrderClient:
    """Sends merge orders to mergers, which are daemons of other sites.

    Parameters
    ----------
    site
        This daemon's own site.
    targets
        The targets of searches.
    peers, links
        The coordinating daemons, and the connections to them.
    loads
        The observed load of these daemons.
    clock, counters
        The timers and metrics of this daemon.
    """

    def __init__(
        self,
        site: str,
        targets: _live_targets.LiveTargets,
        peers: _live_targets.LiveTargets,
        links: _forward_types.Links,
        loads: _replica_selector.ReplicaSelector,
        clock: timers.Timers,
        counters: metrics.Metrics,
    ) -> None:
        self._site = site
        self._targets = targets
        self._peers = peers
        self._links = links
        self._loads = loads
        self._clock = clock
        self._metrics = counters

    def assign_mergers(
        self, shards: typing.Sequence[state.Shard]
    ) -> _merger_assignments.MergerAssignments:
        """Return which daemon asks each target of one search."""
        sites = _merger_assignments.sites_for_orders(
            self._site, [row.replicas for row in shards], self._targets
        )
        mergers = _merger_assignments.choose_mergers(
            sites, self._peers, self._loads
        )
        return _merger_assignments.MergerAssignments(self._targets, mergers)

    async def send(
        self,
        merger: str,
        order: protocol.MergeOrder,
        on_report: typing.Callable[[protocol.MergeReport], None],
    ) -> _Status:
        """Send an order; return the status of attempts that no report names.

        ``on_report`` is called with each report as it arrives.
        """
        peer = self._peers.get(merger)
        if peer is None:
            return _Status.NOT_ORDERED
        self._metrics.add('orders_sent')
        began_ms = self._clock.now_ms()
        first_report_ms = math.inf
        broken = False

        def handle_chunk(chunk: bytes) -> None:
            nonlocal first_report_ms, broken
            if broken:
                # Later parts leave out the records that are smaller than those
                # of the unreadable report.
                return
            first_report_ms = min(first_report_ms, self._clock.now_ms())
            read = protocol.decode_report(chunk)
            if isinstance(read, result.Failure):
                broken = True
                _log.error(
                    'order report unreadable',
                    daemon=merger,
                    why=read.failure(),
                )
                return
            on_report(read.unwrap())

        send_by_ms = began_ms + _arrival.SEND_WITHIN_MS
        self._loads.record_sent(merger)
        took_ms: float | None = None
        request = _request_of(order)
        try:
            reply = await self._links.exchange(
                peer,
                request,
                order.left_ms,
                lambda got: _is_reply_to(request.request_id, got),
                is_wanted=lambda: self._clock.now_ms() <= send_by_ms,
                on_chunk=handle_chunk,
            )
            if first_report_ms < math.inf:
                took_ms = first_report_ms - began_ms
        finally:
            self._loads.record_ended(merger, took_ms)
        return self._status_of(merger, reply, broken)

    def _status_of(
        self,
        merger: str,
        reply: result.Result[protocol.HttpReply, transport.LinkError],
        broken: bool,
    ) -> _Status:
        """Return the status of the attempts that no report has named."""
        if isinstance(reply, result.Success):
            if reply.unwrap().status == 200:
                self._on_success(merger)
                return _Status.ORDER_LOST
            self._on_failure(merger, f'refused with {reply.unwrap().status}')
            return _Status.NOT_ORDERED
        error = reply.failure()
        self._on_failure(merger, error.detail)
        if error.kind is _Kind.UNREACHABLE and self._peers.get(merger):
            record = self._peers.record(merger)
            record.on_failure(True, self._clock.now_ms())
        never_sent = error.kind in (_Kind.UNREACHABLE, _Kind.NO_CONNECTION)
        if never_sent and not broken:
            return _Status.NOT_ORDERED
        return _Status.ORDER_LOST

    def _on_success(self, merger: str) -> None:
        """Mark a merger as reachable again, if it was lost."""
        if self._peers.get(merger):
            record = self._peers.record(merger)
            record.on_answer(1, 0.0, self._clock.now_ms())

    def on_late(self, merger: str) -> None:
        """Count a merger that has not reported in time as failed."""
        self._metrics.add('orders_late')
        self._loads.record_failure(merger)

    def _on_failure(self, merger: str, why: str) -> None:
        self._metrics.add('orders_failed')
        self._loads.record_failure(merger)
        _log.info('order failed', daemon=merger, why=why)


def order_reply_headers(headers: protocol.Headers) -> protocol.Headers:
    """Return the headers of the reply to an order, given those of the order.

    They echo the id of the order.
    """
    return tuple(row for row in headers if row[0].lower() == _ORDER_ID.lower())


def _request_of(order: protocol.MergeOrder) -> protocol.HttpRequest:
    # The search's id is shared by all its orders; their items differ.
    order_id = f'{order.request_id}.{order.items[0].number}'
    return protocol.HttpRequest(
        'POST',
        ORDER_PATH,
        (('Host', 'samphiredock'), (_ORDER_ID, order_id)),
        protocol.encode_merge_message(order),
        order_id,
    )


def _is_reply_to(order_id: str, reply: protocol.HttpReply) -> bool:
    """Whether a reply belongs to an order.

    A daemon of an earlier release echoes no id.
    """
    return reply.header(_ORDER_ID) in (None, order_id)
