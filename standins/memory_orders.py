"""Searches that cross to each site once: real mergers, targets by hand."""

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
    """An order as the daemon that it was sent to got it."""

    merger: str
    order: protocol.MergeOrder
    lost: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class OrderLinks:
    """Carries orders to mergers in memory.

    Mergers in ``dead`` accept no connection, those in ``frozen`` never
    report, those in ``without_orders`` refuse orders with 503, and those in
    ``corrupting`` send an undecodable first report.  :meth:`lose` cuts the
    open orders of one merger.
    """

    def __init__(self, mergers: dict[str, forwarding.Merger]) -> None:
        self._mergers = mergers
        self.seen: list[ReceivedOrder] = []
        self.dead: set[str] = set()
        self.frozen: set[str] = set()
        self.without_orders: set[str] = set()
        self.corrupting: set[str] = set()

    def lose(self, merger: str) -> None:
        """End all orders of one daemon, as its death would."""
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
        """Carry an order, and its reports back."""
        name = target.target_id
        if name in self.dead:
            return _failure(Kind.UNREACHABLE)
        if name in self.without_orders:
            return result.Success(protocol.HttpReply(503))
        order = protocol.decode_order(request.body).unwrap()
        seen = ReceivedOrder(name, order)
        self.seen.append(seen)
        assert on_chunk is not None
        if name in self.frozen:
            await asyncio.Event().wait()
        carrying = asyncio.ensure_future(self._carry(name, order, on_chunk))
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

    async def _carry(
        self,
        name: str,
        order: protocol.MergeOrder,
        on_chunk: typing.Callable[[bytes], None],
    ) -> None:
        reports = self._mergers[name].reports(order)
        spoils = name in self.corrupting
        async with contextlib.aclosing(reports) as rows:
            async for report in rows:
                chunk = protocol.encode_merge_message(report)
                on_chunk(b'\xc1' if spoils else chunk)
                spoils = False

    def has_room(self, target: state.LiveTarget) -> bool:
        """Daemons take many connections."""
        return True

    async def is_listening(self, target: state.LiveTarget) -> bool:
        """Whether a daemon takes connections."""
        return target.target_id not in self.dead


def _failure(kind: transport.LinkErrorKind) -> memory_links.Reply:
    return result.Failure(transport.LinkError(kind, 'by the test'))


class OrderHarness(memory_links.ForwarderHarness):
    """A search desk at one of three sites, with two mergers at each other.

    Shard ``s<n>`` has its targets ``s<n>-0`` and ``s<n>-1`` at two sites, in
    turn; ``far_only`` puts all of them at the two other sites.
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
        """Register a target at the site that its name gives."""
        shard, _, number = name.rpartition('-')
        site = 'here'
        if shard != 'p':
            place = int(shard[1:]) + int(number)
            site = self._sites[place % len(self._sites)]
        self.targets.put(
            state.LiveTarget(name, service, '127.0.0.1:1', site, 2, **changes)
        )

    def make_replicas(self) -> coordination.ReplicaSelector:
        """Return the records of targets; those of this site come first."""
        return coordination.ReplicaSelector(
            random.Random(memory_links.SEED),
            lambda name: self.targets.get(name).site == 'here',
            3.0,
            self.clock.now_ms,
        )

    def make_order_client(self) -> forwarding.OrderClient:
        """Return what sends this desk's orders."""
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
        asker = forwarding.TargetClient(
            self.targets, memory_links.PlainDialect(), self.links, self.clock
        )
        self.mergers[name] = forwarding.Merger(
            asker, self.clock, self.counters
        )

    def move_target(self, name: str, site: str) -> None:
        """Have a target at a site."""
        target = self.targets.get(name)
        assert target is not None
        self.targets.put(dataclasses.replace(target, site=site))

    def make_merger_without_targets(self, name: str) -> None:
        """Have a daemon that knows no targets yet."""
        asker = forwarding.TargetClient(
            forwarding.LiveTargets(self.clock),
            memory_links.PlainDialect(),
            self.links,
            self.clock,
        )
        self.mergers[name] = forwarding.Merger(
            asker, self.clock, self.counters
        )

    def asked_targets(self) -> dict[str, list[str]]:
        """Return the targets that were asked, by shard."""
        found: dict[str, list[str]] = {}
        for sent in self.links.sent:
            shard = sent.target.rpartition('-')[0]
            found.setdefault(shard, []).append(sent.target)
        return found
