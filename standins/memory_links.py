"""Links to targets whose requests a test answers, and a forwarder on them."""

import asyncio
import dataclasses
import math
import os
import random
import typing

from returns import result

from samphiredock import coordination
from samphiredock.coordination import forwarding
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

SEED = int(os.environ.get('SAMPHIREDOCK_SEED', '20261202'))

Reply = result.Result[protocol.HttpReply, transport.LinkError]


@dataclasses.dataclass(eq=False)
class SentRequest:
    """One exchange that waits until the test ends it."""

    target: str
    request: protocol.HttpRequest
    done: asyncio.Future[Reply]
    cancelled: bool = False

    def answer(self, body: bytes, receipt: str = '') -> None:
        """End the exchange with a success."""
        headers = (('Receipt', receipt or f'receipt-{self.target}'),)
        self.end(result.Success(protocol.HttpReply(200, headers, body)))

    def refuse(self, status: int = 503) -> None:
        """End the exchange with a refusal: the request has not run."""
        headers = (('Refused', '1'),)
        self.end(result.Success(protocol.HttpReply(status, headers)))

    def fail(self, status: int = 500) -> None:
        """End the exchange with a failure reported by the target."""
        headers = (('Receipt', f'receipt-{self.target}'),)
        self.end(result.Success(protocol.HttpReply(status, headers, b'no')))

    def lose(self, kind: transport.LinkErrorKind) -> None:
        """End the exchange with a link error."""
        self.end(result.Failure(transport.LinkError(kind, 'by the test')))

    def end(self, reply: Reply) -> None:
        """End the exchange, unless it has ended."""
        if not self.done.done():
            self.done.set_result(reply)


class ManualLinks:
    """Links of a forwarder whose exchanges wait in ``open`` for the test.

    Targets in ``dead`` do not listen, ``full`` ones have no free connection,
    and exchanges with ``busy`` ones wait until the target is removed.
    ``is_listening`` takes ``listening_check_turns`` turns of the event loop.
    """

    def __init__(self) -> None:
        self.sent: list[SentRequest] = []
        self.dead: set[str] = set()
        self.full: set[str] = set()
        self.busy: set[str] = set()
        self.listening_check_turns = 0

    @property
    def open(self) -> list[SentRequest]:
        """Exchanges that have not ended."""
        return [row for row in self.sent if not row.done.done()]

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
    ) -> Reply:
        """Record the request and wait until the test ends the exchange."""
        future = asyncio.get_running_loop().create_future()
        while target.target_id in self.busy:
            await asyncio.sleep(0)
        if not is_wanted():
            kind = transport.LinkErrorKind.NO_CONNECTION
            return result.Failure(transport.LinkError(kind, 'not wanted'))
        on_send()
        sent = SentRequest(target.target_id, request, future)
        self.sent.append(sent)
        try:
            return await future
        except asyncio.CancelledError:
            sent.cancelled = True
            raise

    def has_room(self, target: state.LiveTarget) -> bool:
        """Return whether the target is not in ``full``."""
        return target.target_id not in self.full

    async def is_listening(self, target: state.LiveTarget) -> bool:
        """Return whether the target is not in ``dead``."""
        for _ in range(self.listening_check_turns):
            await asyncio.sleep(0)
        return target.target_id not in self.dead


class PlainDialect:
    """A minimal dialect between forwarder and targets."""

    def target_request(
        self,
        request: protocol.ForwardRequest,
        target: state.LiveTarget,
        left_ms: float,
    ) -> protocol.HttpRequest:
        """Return the request with the remaining time as header ``Left``."""
        headers = (*request.headers, ('Left', str(int(left_ms))))
        return protocol.HttpRequest(
            request.method, request.path, headers, request.body
        )

    def is_reply_to(
        self, request: protocol.ForwardRequest, reply: protocol.HttpReply
    ) -> bool:
        """Return True: replies are never mixed up."""
        return True

    def read_reply(
        self, request: protocol.ForwardRequest, reply: protocol.HttpReply
    ) -> protocol.TargetReply:
        """Read a reply: status 200 or 421, a refusal, or a failure."""
        receipt = reply.header('Receipt')
        status = protocol.SubStatus.BROKEN
        if reply.status == 200:
            status = protocol.SubStatus.ANSWERED
        elif reply.status == 421:
            status = protocol.SubStatus.NOT_OWNER
        elif reply.header('Refused'):
            status = protocol.SubStatus.SHED
        return protocol.TargetReply(
            status, reply, receipt, is_forwardable=reply.status == 500
        )


class ForwarderHarness:
    """A forwarder whose replies and time are set by a test.

    Its routes: ``/all/`` searches ``shards`` shards with two targets each,
    ``/one/`` goes to a service with three targets, and ``/once/`` to the
    same service for requests that may not be repeated.
    """

    def __init__(
        self,
        shards: int = 10,
        daemons: int | None = 1,
        clock: timers.ManualTimers | None = None,
        links: ManualLinks | None = None,
        crashes: forwarding.CrashGuard | None = None,
    ) -> None:
        self.clock = clock or timers.ManualTimers()
        self.links = links or ManualLinks()
        self.targets = forwarding.LiveTargets(self.clock)
        self.routing = forwarding.RoutingState()
        self.counters = metrics.Metrics('test')
        self.latencies = coordination.Latencies()
        self.budget = forwarding.WindowBudget(
            self.clock,
            0.2,
            56.0,
            10_000.0,
            lambda: 1.0 / daemons if daemons else 0.0,
        )
        self.shards = tuple(f's{number}' for number in range(shards))
        self.offer(1)
        for service, count in [*((name, 2) for name in self.shards), ('p', 3)]:
            for number in range(count):
                self.put(f'{service}-{number}', service)
        self.replicas = self.make_replicas()
        context = coordination.ScatterContext(
            self.targets,
            self.replicas,
            self.latencies,
            self.budget,
            forwarding.NullCrashTracker(),
        )
        self.forwarder = forwarding.Forwarder(
            forwarding.ForwardSettings(
                'here', 9.0, state.Limits(hedge_quantile=0.85)
            ),
            self.routing,
            self.targets,
            context,
            PlainDialect(),
            self.links,
            self.clock,
            self.counters,
            crashes,
            self.make_order_client(),
        )

    def make_replicas(self) -> coordination.ReplicaSelector:
        """Return a replica selector that prefers no target."""
        return coordination.ReplicaSelector(
            random.Random(SEED),
            lambda target: True,
            now_ms=self.clock.now_ms,
        )

    def make_order_client(self) -> forwarding.OrderClient | None:
        """Return the client of merge orders; None sends no orders."""
        return None

    def offer(self, version: int, **changes: typing.Any) -> None:
        """Offer a routing table to the forwarder."""
        common = {'host': 'h', 'timeout_ms': 600.0, 'aim_ms': 118.0}
        one = (state.WeightedService('p', 1.0),)
        routes = (
            state.Route(
                'all', prefix='/all/', repeatable=True,
                attempts=changes.get('attempts', 2),
                shards=changes.get('shards', self.shards),
                top=changes.get('top', 5),
                least_share=changes.get('least_share', 0.8), **common,
            ),
            state.Route(
                'one', prefix='/one/', repeatable=True, attempts=2,
                services=one, **common,
            ),
            state.Route(
                'slow', prefix='/slow/', repeatable=True, attempts=2,
                services=one, **{**common, 'timeout_ms': 5_000.0},
            ),
            state.Route(
                'once', prefix='/once/', repeatable=False, attempts=2,
                services=one, **common,
            ),
        )  # fmt: skip
        self.routing.offer(
            state.RoutingTable(version, routes, {}, state.CallerLimits())
        )

    def put(self, name: str, service: str, **changes: typing.Any) -> None:
        """Register a target."""
        self.targets.put(
            state.LiveTarget(
                name, service, '127.0.0.1:1', 'here', 2, **changes
            )
        )

    def ask(
        self, path: str, request_id: str = 'id', method: str = 'GET'
    ) -> asyncio.Task[protocol.ForwardOutcome]:
        """Start a request of a caller."""
        request = protocol.ForwardRequest(
            request_id, method, 'h', path, (), b'', 2_000.0
        )
        return asyncio.create_task(self.forwarder.forward(request))

    async def advance(self, delta_ms: float) -> None:
        """Let tasks settle before and after advancing the time."""
        await settle()
        self.clock.advance(delta_ms)
        await settle()


async def settle() -> None:
    """Let every task run until it waits."""
    for _ in range(10):
        await asyncio.sleep(0)
