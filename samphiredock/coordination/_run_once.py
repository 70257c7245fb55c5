"""Run an unrepeatable request at most once."""

import asyncio
import itertools
import typing

import msgspec
from returns import result
import xxhash

from samphiredock.coordination import _planner
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport


class View(typing.Protocol):
    """What the runner reads of the daemon's knowledge."""

    @property
    def configuration(self) -> state.Configuration | None:
        """The revision in force here."""

    def owner(self, target: str) -> str | None:
        """The daemon that dispatches for a target."""

    def is_usable(self, target: str) -> bool:
        """Whether a target may get new work."""


class _Claim(msgspec.Struct, frozen=True):
    holder: str
    outcome: protocol.Completed | None = None


class Runner:
    """Claim a key in the platform's store, run it, record the outcome."""

    def __init__(
        self,
        name: str,
        site: str,
        incarnation: int,
        view: View,
        peers: transport.Peers,
        platform: transport.Platform,
        clock: timers.Timers,
        counters: metrics.Metrics,
    ) -> None:
        self._holder = f'{name}-{incarnation}'
        self._site = site
        self._view = view
        self._peers = peers
        self._platform = platform
        self._clock = clock
        self._metrics = counters
        self._numbers = itertools.count(1)
        self._waiting: dict[str, asyncio.Future] = {}
        peers.subscribe(protocol.RunReport, self._on_report)

    def in_flight(self) -> int:
        """Return how many requests are not answered yet."""
        return len(self._waiting)

    async def run(
        self, request: protocol.RunRequest, idempotency_key: str
    ) -> protocol.RunOutcome:
        """Run one unrepeatable request to its outcome."""
        configuration = self._view.configuration
        if configuration is None:
            return protocol.NotRun(
                protocol.NotRunReason.NOT_READY, 'no configuration yet', 500
            )
        service = configuration.services.get(request.service)
        if service is None:
            return protocol.NotRun(
                protocol.NotRunReason.UNKNOWN_SERVICE,
                f'got service {request.service!r}',
                0,
            )
        operation = service.operations.get(request.operation)
        if operation is None:
            return protocol.NotRun(
                protocol.NotRunReason.UNKNOWN_OPERATION,
                f'got operation {request.operation!r}',
                0,
            )
        digest = xxhash.xxh3_128_hexdigest(
            f'{request.service}\0{idempotency_key}'.encode()
        )
        path = f'claims/{digest}'
        claim = await self._platform.put(
            path,
            msgspec.json.encode(_Claim(self._holder)),
            transport.CREATE_ONLY,
        )
        if isinstance(claim, result.Failure):
            return await self._explain(path, claim.failure())
        return await self._send(
            request, idempotency_key, operation, path, claim.unwrap()
        )

    async def _explain(
        self, path: str, error: transport.StoreError
    ) -> protocol.RunOutcome:
        if error.kind is not transport.StoreErrorKind.CONFLICT:
            return protocol.NotRun(
                protocol.NotRunReason.PLATFORM_UNAVAILABLE,
                error.detail,
                1_000,
            )
        found = await self._platform.get(path)
        if isinstance(found, result.Failure):
            return protocol.Unknown(found.failure().detail, 1_000)
        claim = msgspec.json.decode(found.unwrap().value, type=_Claim)
        if claim.outcome is None:
            return protocol.Unknown('claimed, no outcome recorded', 1_000)
        return msgspec.structs.replace(claim.outcome, replayed=True)

    async def _send(
        self,
        request: protocol.RunRequest,
        idempotency_key: str,
        operation: state.Operation,
        path: str,
        version: int,
    ) -> protocol.RunOutcome:
        usable = [
            name for name in operation.targets if self._view.is_usable(name)
        ]
        deadline_ms = request.deadline_ms or operation.deadline_ms
        target = usable[0] if usable else operation.targets[0]
        owner = self._view.owner(target)
        order = protocol.RunOrder(
            f'{self._holder}-run-{next(self._numbers)}',
            request.service,
            self._site,
            operation.request_class,
            request.operation,
            target,
            idempotency_key,
            request.body,
            _planner.fingerprint_of(
                request.service, request.operation, request.body
            ),
            deadline_ms,
        )
        future = asyncio.get_running_loop().create_future()
        self._waiting[order.attempt_id] = future
        if owner is None or not self._peers.send(owner, order):
            future.cancel()
            return protocol.Unknown('no dispatcher can be reached', 1_000)
        try:
            report: protocol.RunReport = await asyncio.wait_for(
                future, deadline_ms / 1000.0
            )
        except asyncio.TimeoutError:
            return protocol.Unknown('no answer in time', 1_000)
        finally:
            self._waiting.pop(order.attempt_id, None)
        if report.status is not protocol.SubStatus.ANSWERED:
            return protocol.Unknown(
                f'{report.status.value}: {report.detail}', 1_000
            )
        outcome = protocol.Completed(report.result, report.accepted, False)
        await self._platform.put(
            path,
            msgspec.json.encode(_Claim(self._holder, outcome)),
            version,
        )
        return outcome

    def _on_report(self, sender: str, report: protocol.RunReport) -> None:
        future = self._waiting.get(report.attempt_id)
        if future is not None and not future.done():
            future.set_result(report)
