"""A harness for merge orders: real mergers, targets answered by the test."""

import asyncio
import contextlib
import dataclasses
import math
import random
import typing

from returns import result

from samphiredock import coordination
from samphiredock.coordination import forwarding
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport
from standins import memory_links

SITES = ('here', 'b', 'c')
Kind = transport.LinkErrorKind


@dataclasses.dataclass(slots=True)
class ReceivedOrder:
    """An order that a merger received; ``lost`` cuts its connection.

    ``on_the_way`` are its reports that have not arrived, the oldest first.
    """

    merger: str
    order: protocol.MergeOrder
    on_chunk: typing.Callable[[bytes], None]
    lost: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    on_the_way: list[bytes] = dataclasses.field(default_factory=list)
    all_arrived: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )

    def send_report(self, chunk: bytes) -> None:
        """Put a report on the way."""
        self.on_the_way.append(chunk)
        self.all_arrived.clear()

    def deliver_report(self) -> None:
        """Let the oldest report arrive that is on the way."""
        self.on_chunk(self.on_the_way.pop(0))
        if not self.on_the_way:
            self.all_arrived.set()


class OrderLinks:
    """Links that carry orders to mergers in memory.

    Mergers in ``dead`` accept no connection, those in ``frozen`` never
    report, those in ``without_orders`` refuse orders with 503, and those in
    ``corrupting`` send an undecodable first report.  :meth:`lose` cuts the
    open orders of one merger.  With ``holds_reports`` each report waits until
    the test delivers it.
    """

    def __init__(self, mergers: dict[str, forwarding.Merger]) -> None:
        self._mergers = mergers
        self.seen: list[ReceivedOrder] = []
        self.dead: set[str] = set()
        self.frozen: set[str] = set()
        self.without_orders: set[str] = set()
        self.corrupting: set[str] = set()
        self.holds_reports = False

    def lose(self, merger: str) -> None:
        """Break the connections of all orders at one merger."""
        for row in self.seen:
            if row.merger == merger:
                row.lost.set()

    async def exchange(
        self,
        target: state.LiveTarget,
        request: protocol.HttpRequest,
        timeout_ms: float,
        is_reply: typing.Callable[[protocol.HttpReply], bool],
        max_idle_ms: float = math.inf,
        is_wanted: typing.Callable[[], bool] = lambda: True,
        on_chunk: typing.Callable[[bytes], None] | None = None,
        on_send: typing.Callable[[], None] = lambda: None,
    ) -> memory_links.Reply:
        """Deliver an order and return its reports as chunks."""
        name = target.target_id
        if name in self.dead:
            return _failure(Kind.UNREACHABLE)
        if name in self.without_orders:
            return result.Success(protocol.HttpReply(503))
        order = protocol.decode_order(request.body).unwrap()
        assert on_chunk is not None
        seen = ReceivedOrder(name, order, on_chunk)
        self.seen.append(seen)
        if name in self.frozen:
            await asyncio.Event().wait()
        carrying = asyncio.ensure_future(self._carry(seen))
        lost = asyncio.ensure_future(seen.lost.wait())
        try:
            await asyncio.wait((carrying, lost), return_when='FIRST_COMPLETED')
        finally:
            lost.cancel()
            carrying.cancel()
            await asyncio.gather(lost, carrying, return_exceptions=True)
        if seen.lost.is_set():
            return _failure(Kind.BROKEN)
        return result.Success(protocol.HttpReply(200))

    async def _carry(self, seen: ReceivedOrder) -> None:
        reports = self._mergers[seen.merger].reports(seen.order)
        corrupts = seen.merger in self.corrupting
        async with contextlib.aclosing(reports) as rows:
            async for report in rows:
                chunk = protocol.encode_merge_message(report)
                seen.send_report(b'\xc1' if corrupts else chunk)
                corrupts = False
                if not self.holds_reports:
                    seen.deliver_report()
        if seen.on_the_way:
            await seen.all_arrived.wait()

    def has_room(self, target: state.LiveTarget) -> bool:
        """Return True: connections to mergers are not limited."""
        return True

    async def is_listening(self, target: state.LiveTarget) -> bool:
        """Return whether a merger accepts connections."""
        return target.target_id not in self.dead


def _failure(kind: transport.LinkErrorKind) -> memory_links.Reply:
    return result.Failure(transport.LinkError(kind, 'by the test'))


class OrderHarness(memory_links.ForwarderHarness):
    """A forwarder at one of three sites, with two mergers at each other site.

    The targets ``s<n>-0`` and ``s<n>-1`` of shard ``s<n>`` are at two
    consecutive sites of ``SITES``; ``far_only`` leaves out the site of the
    forwarder.
    """

    def __init__(self, shards: int = 36, far_only: bool = False) -> None:
        clock = timers.ManualTimers()
        self.peers = forwarding.LiveTargets(clock)
        self.mergers: dict[str, forwarding.Merger] = {}
        self.order_links = OrderLinks(self.mergers)
        self._sites = SITES[1:] if far_only else SITES
        super().__init__(shards, clock=clock)
        for site in SITES[1:]:
            for number in range(2):
                self._add_merger(f'{site}-{number}', site)

    def put(self, name: str, service: str, **changes: typing.Any) -> None:
        """Register a target at the site derived from its name."""
        shard, _, number = name.rpartition('-')
        site = 'here'
        if shard != 'p':
            site_index = int(shard[1:]) + int(number)
            site = self._sites[site_index % len(self._sites)]
        self.targets.put(
            state.LiveTarget(name, service, '127.0.0.1:1', site, 2, **changes)
        )

    def make_replicas(self) -> coordination.ReplicaSelector:
        """Return a replica selector that prefers targets of this site."""
        return coordination.ReplicaSelector(
            random.Random(memory_links.SEED),
            lambda name: self.targets.get(name).site == 'here',
            3.0,
            self.clock.now_ms,
        )

    def make_order_client(self) -> forwarding.OrderClient:
        """Return the client that sends this forwarder's merge orders."""
        loads = coordination.ReplicaSelector(
            random.Random(memory_links.SEED),
            lambda name: True,
            now_ms=self.clock.now_ms,
        )
        return forwarding.OrderClient(
            'here',
            self.targets,
            self.peers,
            self.order_links,
            loads,
            self.clock,
            self.counters,
        )

    def _add_merger(self, name: str, site: str) -> None:
        self.peers.put(
            state.LiveTarget(name, 'coordinators', '127.0.0.1:1', site, 1)
        )
        target_client = forwarding.TargetClient(
            self.targets, memory_links.PlainDialect(), self.links, self.clock
        )
        self.mergers[name] = forwarding.Merger(
            target_client, self.clock, self.counters
        )

    def move_target(self, name: str, site: str) -> None:
        """Register a target again at another site."""
        target = self.targets.get(name)
        assert target is not None
        self.targets.put(dataclasses.replace(target, site=site))

    def make_merger_without_targets(self, name: str) -> None:
        """Replace a merger by one that knows no targets yet."""
        target_client = forwarding.TargetClient(
            forwarding.LiveTargets(self.clock),
            memory_links.PlainDialect(),
            self.links,
            self.clock,
        )
        self.mergers[name] = forwarding.Merger(
            target_client, self.clock, self.counters
        )

    def asked_targets(self) -> dict[str, list[str]]:
        """Return the targets that got a request, by shard."""
        found: dict[str, list[str]] = {}
        for sent in self.links.sent:
            shard = sent.target.rpartition('-')[0]
            found.setdefault(shard, []).append(sent.target)
        return found
