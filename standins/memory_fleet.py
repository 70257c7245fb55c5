"""Several entry daemons in virtual time, and targets that count arrivals.

The check of the retry budget counts what arrives at the targets, by service
and by the caller's request, over all daemons.
"""

import asyncio
import bisect
import collections
import dataclasses
import math
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
from standins import memory_links
from standins import memory_sharers

RATIO = 0.2
SLACK = 56.0
WINDOW_MS = 10_000.0

_GRID_MS = 250.0
"""Distance between the windows that are checked besides those that begin or
end with an extra arrival."""

Reaction = typing.Callable[['Arrival', memory_links.SentRequest], None]
"""Ends an exchange, now or later, as a target does."""


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a target of a service."""

    at_ms: float
    service: str
    request_id: str
    target: str
    daemon: str
    clock: timers.ManualTimers


@dataclasses.dataclass(frozen=True, slots=True)
class Breach:
    """A window in which a service got more extra arrivals than allowed."""

    service: str
    window_start_ms: float
    extra: int
    allowed: float


class ArrivalCounter:
    """Counts arrivals at targets and requests of callers, by service."""

    def __init__(self) -> None:
        self.arrivals: list[Arrival] = []
        self.requests: dict[str, list[float]] = collections.defaultdict(list)

    def extra(self, service: str) -> list[float]:
        """Return the times of arrivals beyond the first of each request."""
        seen: set[str] = set()
        times = []
        for arrival in sorted(self.arrivals, key=lambda row: row.at_ms):
            if arrival.service != service:
                continue
            if arrival.request_id in seen:
                times.append(arrival.at_ms)
            seen.add(arrival.request_id)
        return times

    def breaches(
        self, ratio: float, slack: float, window_ms: float
    ) -> list[Breach]:
        """Return the worst window of each service that breaks the budget."""
        services = {row.service for row in self.arrivals}
        found = [
            worst_window(
                service,
                self.extra(service),
                self.requests[service],
                (ratio, slack, window_ms),
            )
            for service in services
        ]
        return [row for row in found if row and row.extra > row.allowed]


def worst_window(
    service: str,
    extra_ms: list[float],
    requests_ms: list[float],
    bounds: tuple[float, float, float],
) -> Breach | None:
    """Return the window with the most extra arrivals beyond the allowed ones.

    The requests are those of the window, of the one before it, or of the one
    half a window before it, whichever has the most.  ``bounds`` are the ratio,
    the slack and the length of the window.
    """
    ratio, slack, window_ms = bounds
    extra, requests = sorted(extra_ms), sorted(requests_ms)
    if not extra:
        return None
    starts = {*extra, *(at_ms - window_ms + 1e-6 for at_ms in extra)}
    steps = int((extra[-1] - extra[0]) / _GRID_MS) + 1
    starts |= {extra[0] + _GRID_MS * step for step in range(steps)}

    def count(times: list[float], start_ms: float) -> int:
        end = bisect.bisect_left(times, start_ms + window_ms)
        return end - bisect.bisect_left(times, start_ms)

    rows = []
    for start_ms in starts:
        most = max(
            count(requests, start_ms),
            count(requests, start_ms - window_ms),
            count(requests, start_ms - window_ms / 2.0),
        )
        rows.append(
            Breach(
                service,
                start_ms,
                count(extra, start_ms),
                ratio * most + slack + 1e-6,
            )
        )
    return max(rows, key=lambda row: row.extra - row.allowed)


class _CountingLinks(memory_links.ManualLinks):
    """Links of one daemon to targets that react by themselves."""

    def __init__(self, fleet: 'Fleet', daemon: str) -> None:
        super().__init__()
        self._fleet = fleet
        self._daemon = daemon

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
        """Count the arrival and wait for the target, up to the timeout."""
        fleet = self._fleet
        if target.target_id in fleet.unreachable:
            connected = asyncio.get_running_loop().create_future()
            fleet.clock.after(
                fleet.connect_ms, lambda: connected.set_result(None)
            )
            await connected
            return _link_failure(transport.LinkErrorKind.UNREACHABLE)
        if not is_wanted():
            return _link_failure(transport.LinkErrorKind.NO_CONNECTION)
        on_send()
        future = asyncio.get_running_loop().create_future()
        sent = memory_links.SentRequest(target.target_id, request, future)
        arrival = Arrival(
            fleet.clock.now_ms(),
            target.service,
            protocol.HttpReply(0, request.headers).header('Request-Id') or '',
            target.target_id,
            self._daemon,
            fleet.clock,
        )
        fleet.counter.arrivals.append(arrival)
        fleet.clock.after(
            timeout_ms, lambda: sent.lose(transport.LinkErrorKind.SILENT)
        )
        fleet.react(arrival, sent)
        return await future


def answer(arrival: Arrival, sent: memory_links.SentRequest) -> None:
    """React as a sound target: answer at once."""
    sent.answer(b'')


def _link_failure(kind: transport.LinkErrorKind) -> memory_links.Reply:
    return result.Failure(transport.LinkError(kind, 'by the test'))


class FleetDaemon:
    """One coordinating daemon: a forwarder with its own view of the others.

    Parameters
    ----------
    fleet
        The fleet that it belongs to.
    name, site
        This daemon.
    """

    def __init__(self, fleet: 'Fleet', name: str, site: str) -> None:
        self.fleet = fleet
        self.me = forwarding.Daemon(name, site, f'{name}:1', 1.0)
        self.role = forwarding.Role(name, per_site=3)
        self.counters = metrics.Metrics(name)
        self.shares = forwarding.RetryShares(
            name,
            fleet.store.client(name),
            fleet.clock,
            self.counters,
            lambda: self.role.coordinators,
            WINDOW_MS,
        )
        self.budget = forwarding.WindowBudget(
            fleet.clock,
            RATIO,
            fleet.slack,
            WINDOW_MS,
            self.shares.share,
        )
        self.replicas = coordination.ReplicaSelector(
            random.Random(name), lambda target: True, now_ms=fleet.clock.now_ms
        )
        self.forwarder = forwarding.Forwarder(
            forwarding.ForwardSettings(
                site, 9.0, state.Limits(hedge_quantile=0.85)
            ),
            fleet.routing,
            fleet.targets,
            coordination.ScatterContext(
                fleet.targets,
                self.replicas,
                coordination.Latencies(),
                self.budget,
                forwarding.NullCrashTracker(),
            ),
            memory_links.PlainDialect(),
            _CountingLinks(fleet, name),
            fleet.clock,
            self.counters,
        )

    def list_daemons(self, daemons: typing.Iterable['FleetDaemon']) -> None:
        """Take in a list of daemons, which may differ from the others'."""
        rows = [daemon.me for daemon in daemons]
        self.role.update(rows, self.fleet.clock.now_ms())


class Fleet:
    """Daemons, one service ``p`` and its targets, in virtual time.

    ``react`` decides how a target reacts to an arrival.  To connect to a
    target in ``unreachable`` fails after ``connect_ms``.
    """

    def __init__(
        self, react: Reaction, targets: int = 3, slack: float = SLACK
    ) -> None:
        self.react = react
        self.slack = slack
        self.clock = timers.ManualTimers()
        self.store = memory_sharers.RollbackStore(self.clock)
        self.counter = ArrivalCounter()
        self.unreachable: set[str] = set()
        self.connect_ms = 100.0
        self.targets = forwarding.LiveTargets(self.clock)
        self.routing = forwarding.RoutingState()
        self.daemons: dict[str, FleetDaemon] = {}
        self.tasks: list[asyncio.Task] = []
        self._numbers = 0
        route = state.Route(
            'one', 'h', '/one/', True, 600.0, 118.0, attempts=3,
            services=(state.WeightedService('p', 1.0),),
        )  # fmt: skip
        self.routing.offer(
            state.RoutingTable(1, (route,), {}, state.CallerLimits())
        )
        for number in range(targets):
            self.targets.put(
                state.LiveTarget(f'p-{number}', 'p', '127.0.0.1:1', 'a', 2)
            )

    def start(self, name: str, site: str = 'a') -> FleetDaemon:
        """Start a daemon; one of this name is replaced, with all it knew."""
        daemon = FleetDaemon(self, name, site)
        self.daemons[name] = daemon
        daemon.shares.start()
        return daemon

    def ask(self, daemon: FleetDaemon, count: int = 1) -> None:
        """Send new requests of callers to one daemon."""
        for _ in range(count):
            self._numbers += 1
            request_id = f'r{self._numbers}'
            self.counter.requests['p'].append(self.clock.now_ms())
            request = protocol.ForwardRequest(
                request_id, 'GET', 'h', '/one/x',
                (('Request-Id', request_id),), b'', 600.0,
            )  # fmt: skip
            self.tasks.append(
                asyncio.create_task(daemon.forwarder.forward(request))
            )

    def breaches(self) -> list[Breach]:
        """Return the worst window of each service that breaks the budget."""
        return self.counter.breaches(RATIO, self.slack, WINDOW_MS)

    async def advance(self, delta_ms: float, step_ms: float = 10.0) -> None:
        """Advance the time in steps, and let tasks run in between."""
        end_ms = self.clock.now_ms() + delta_ms
        while self.clock.now_ms() < end_ms:
            await memory_links.settle()
            self.clock.advance(min(step_ms, end_ms - self.clock.now_ms()))
        await memory_links.settle()
