"""Builders and fakes for the tests of the dispatcher's parts."""

import asyncio
import collections
import typing

import msgspec
from returns import result

from samphiredock.coordination import _lane_types
from samphiredock.coordination import _shares
from samphiredock import protocol
from samphiredock import state
from samphiredock import transport


def target(name: str = 't1', slots: int = 2, site: str = 'a') -> state.Target:
    """Return a target with some slots."""
    return state.Target(name, site, f'http://{name}', slots, 25, 6)


def configuration(
    *targets: state.Target, revision: int = 1, **limits: typing.Any
) -> state.Configuration:
    """Return a configuration of sites a and b and one service."""
    sites = {
        name: state.Site(name, 'r', share, 1.0, {})
        for name, share in (('a', 0.75), ('b', 0.25))
    }
    search = state.Search(
        's', 'i', 400, 0.5, 'interactive', False, state.MergeKind.BY_KEY, 10
    )
    service = state.Service('svc', {'s': search}, {}, 1.0, 100)
    return state.Configuration(
        revision,
        {'svc': service},
        sites,
        ('i',),
        {row.name: row for row in targets},
        state.Limits(**limits),
    )


def item(
    attempt_id: str, name: str = 't1', hedge: bool = False
) -> protocol.SubQuery:
    """Return one sub-query."""
    return protocol.SubQuery(attempt_id, 'i', 1, 1, 'shard', name, hedge)


def batch(
    *items: protocol.SubQuery,
    budget_ms: float = 400.0,
    alone: bool = False,
    site: str = 'a',
    fingerprint: str = 'f',
) -> protocol.SubQueryBatch:
    """Return a message with sub-queries of one query."""
    return protocol.SubQueryBatch(
        'q',
        'svc',
        site,
        'interactive',
        's',
        {},
        10,
        fingerprint,
        budget_ms,
        list(items),
        alone,
    )


def order(attempt_id: str, budget_ms: float = 400.0) -> protocol.RunOrder:
    """Return an unrepeatable request for t1."""
    return protocol.RunOrder(
        attempt_id,
        'svc',
        'a',
        'interactive',
        'pay',
        't1',
        'key',
        {},
        'f',
        budget_ms,
    )


def work(
    attempt_id: str,
    expires_at_ms: float = 1_000.0,
    hedge: bool = False,
    **fields: typing.Any,
) -> _lane_types.Work:
    """Return a sub-query that waits at a dispatcher."""
    sub_query = item(attempt_id, hedge=hedge)
    request = batch(sub_query, **fields)
    flow = _shares.Flow('svc', request.site)
    return _lane_types.Work(
        'd', 'q', attempt_id, expires_at_ms, request, sub_query, flow
    )


def sent(effects: typing.Iterable[_lane_types.Effect]) -> list[list[str]]:
    """Return the attempts of each exchange that was started."""
    return [
        [row.attempt_id for row in effect.works]
        for effect in effects
        if isinstance(effect, _lane_types.StartExchange)
    ]


def refused(effects: typing.Iterable[_lane_types.Effect]) -> dict[str, str]:
    """Return the status of each refused attempt."""
    return {
        effect.work.attempt_id: effect.status.value
        for effect in effects
        if isinstance(effect, _lane_types.Refuse)
    }


class FakePeers:
    """Peers that keep what is sent; tests deliver by hand."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, msgspec.Struct]] = []
        self._handlers: dict[type, list[transport.Handler]] = (
            collections.defaultdict(list)
        )

    def send(self, member: str, message: msgspec.Struct) -> bool:
        """Keep a message."""
        self.sent.append((member, message))
        return True

    def subscribe(self, kind: type, handler: transport.Handler) -> None:
        """Register a handler."""
        self._handlers[kind].append(handler)

    def broadcast(self, message: msgspec.Struct) -> None:
        """Keep a broadcast."""
        self.send('*', message)

    def deliver(self, message: msgspec.Struct, sender: str = 'd') -> None:
        """Give a message to its handlers."""
        for handler in self._handlers[type(message)]:
            handler(sender, message)

    def of(self, kind: type) -> list[typing.Any]:
        """Return the messages sent of one type."""
        return [row for _, row in self.sent if isinstance(row, kind)]

    def statuses(self) -> dict[str, list[str]]:
        """Return how each attempt was reported, in order."""
        found = collections.defaultdict(list)
        rows = list(self.of(protocol.RunReport))
        for message in self.of(protocol.SubAnswerBatch):
            rows += message.answers
        for row in rows:
            found[row.attempt_id].append(row.status.value)
        return dict(found)


class FakeLink:
    """A link whose exchanges end when the test says so."""

    def __init__(self, of_target: state.Target) -> None:
        self.target = of_target
        self.batches: list[tuple[protocol.TargetBatch, asyncio.Future]] = []
        self.runs: list[tuple[protocol.TargetRun, asyncio.Future]] = []
        self.cancels: list[list[str]] = []
        self.cancel_answer = protocol.TargetCancelAnswer([])
        self.healthy = True
        self.draining = False
        self.running = 0

    async def batch(
        self, body: protocol.TargetBatch, timeout_ms: float
    ) -> result.Result:
        """Wait for the test; an empty one is answered at once."""
        if not body.items:
            return result.Success(
                protocol.TargetBatchAnswer([], self.draining, self.running)
            )
        future = asyncio.get_running_loop().create_future()
        self.batches.append((body, future))
        return await future

    async def run(
        self, body: protocol.TargetRun, timeout_ms: float
    ) -> result.Result:
        """Wait for the test."""
        future = asyncio.get_running_loop().create_future()
        self.runs.append((body, future))
        return await future

    async def cancel(
        self, body: protocol.TargetCancel, timeout_ms: float
    ) -> result.Result:
        """Answer as the test set it."""
        self.cancels.append(body.attempt_ids)
        return result.Success(self.cancel_answer)

    async def health(self, timeout_ms: float) -> result.Result:
        """Answer, or not."""
        if self.healthy:
            return result.Success(protocol.TargetHealth(True, False, 0, 0.0))
        return failure(transport.LinkErrorKind.UNREACHABLE)

    async def resize(self, connections: int) -> None:
        """Keep no connections."""

    async def close(self) -> None:
        """Close nothing."""

    def answer(
        self,
        number: int = -1,
        status: protocol.TargetStatus = protocol.TargetStatus.OK,
        draining: bool = False,
    ) -> None:
        """Answer one batch well."""
        body, future = self.batches[number]
        answers = [
            protocol.TargetAnswer(row.attempt_id, status, row.snapshot_id)
            for row in body.items
        ]
        future.set_result(
            result.Success(protocol.TargetBatchAnswer(answers, draining))
        )


def failure(kind: transport.LinkErrorKind) -> result.Result:
    """Return a failed exchange."""
    return result.Failure(transport.LinkError(kind, 'test'))


async def settle() -> None:
    """Let the tasks of the loop run."""
    for _ in range(20):
        await asyncio.sleep(0)
