"""A dispatcher's HTTP calls to one target."""

import asyncio
import collections
import math
import typing

import msgspec
from returns import result

from samphiredock import protocol
from samphiredock import state
from samphiredock.transport import _http_connection
from samphiredock.transport import _link_errors
from samphiredock.transport import _origin

_KEEPALIVE_S = 30.0
"""How long an idle connection may be reused."""

_TIMEOUT_SLACK_MS = 20.0
_CONNECT_TIMEOUT_MS = 1_000.0

_BATCH_DECODER = msgspec.json.Decoder(protocol.TargetBatchAnswer)
_RUN_DECODER = msgspec.json.Decoder(protocol.TargetRunAnswer)
_CANCEL_DECODER = msgspec.json.Decoder(protocol.TargetCancelAnswer)
_HEALTH_DECODER = msgspec.json.Decoder(protocol.TargetHealth)


class TargetLink(typing.Protocol):
    """The calls that the dispatcher makes to one target.

    Each returns ``Failure`` with a :class:`LinkError` if there is no usable
    answer.
    """

    async def batch(
        self, body: protocol.TargetBatch, timeout_ms: float
    ) -> result.Result[protocol.TargetBatchAnswer, _link_errors.LinkError]:
        """Run the sub-queries of a batch, which together take one slot.

        An empty batch takes no slot and shows whether the target drains.
        """

    async def run(
        self, body: protocol.TargetRun, timeout_ms: float
    ) -> result.Result[protocol.TargetRunAnswer, _link_errors.LinkError]:
        """Run a request that must not be repeated; it is sent at most once."""

    async def cancel(
        self, body: protocol.TargetCancel, timeout_ms: float
    ) -> result.Result[protocol.TargetCancelAnswer, _link_errors.LinkError]:
        """Cancel attempts; the answer lists those that had not begun."""

    async def health(
        self, timeout_ms: float
    ) -> result.Result[protocol.TargetHealth, _link_errors.LinkError]:
        """Return the target's report on its health, over a new connection."""

    async def resize(self, connections: int) -> None:
        """Set the limit of connections; idle ones above it are closed."""

    async def close(self) -> None:
        """Close idle connections; the others close after their exchange."""


class _Connection:
    """One place of a link's limit, with at most one open HTTP connection.

    ``generation`` is that of the link when the place was taken; a connection
    of an earlier generation is not reused.
    """

    def __init__(self, origin: _origin.Origin, generation: int) -> None:
        self.generation = generation
        self._origin = origin
        self._http: _http_connection.HttpConnection | None = None
        self._usable_until_s = -math.inf

    async def exchange(
        self, method: str, path: str, content: bytes | None, total_ms: float
    ) -> protocol.HttpReply | _link_errors.LinkError:
        """Connect if necessary, send a request and return its reply."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + total_ms / 1000.0
        connection = await self._open(total_ms)
        if isinstance(connection, _link_errors.LinkError):
            return connection
        headers = (
            ('Host', self._origin.authority),
            ('Content-Type', 'application/json'),
        )
        outcome = await connection.exchange(
            protocol.HttpRequest(
                method,
                self._origin.path_prefix + path,
                headers,
                content or b'',
            ),
            lambda reply: True,
            (ends_s - loop.time()) * 1000.0,
        )
        if isinstance(outcome, _link_errors.LinkError):
            return outcome
        idle_s = _KEEPALIVE_S
        if outcome.keepalive_ms is not None:
            idle_s = min(idle_s, outcome.keepalive_ms / 1000.0)
        self._usable_until_s = loop.time() + idle_s
        return outcome.reply

    async def _open(
        self, total_ms: float
    ) -> _http_connection.HttpConnection | _link_errors.LinkError:
        now_s = asyncio.get_running_loop().time()
        if self._http is not None:
            if self._http.is_open and now_s < self._usable_until_s:
                return self._http
            await self.close()
        limit_s = min(total_ms * 0.9, _CONNECT_TIMEOUT_MS) / 1000.0
        try:
            async with asyncio.timeout(limit_s):
                self._http = await _http_connection.open_connection(
                    self._origin.host, self._origin.port, self._origin.tls
                )
        except OSError as error:
            # TimeoutError is an OSError, too.
            return _link_errors.LinkError(
                _link_errors.LinkErrorKind.UNREACHABLE, repr(error)
            )
        return self._http

    async def close(self) -> None:
        if self._http is None:
            return
        self._http.close()
        self._http = None
        # The transport closes its socket in a later turn of the event loop;
        # until then the target still counts the connection.
        await asyncio.sleep(0)
        await asyncio.sleep(0)


class HttpTargetLink:
    """HTTP connections to one target, never more than the target allows.

    A timeout closes all idle connections while other exchanges still run;
    each connection counts here until it is closed.
    """

    def __init__(self, target: state.Target) -> None:
        self._origin = _origin.Origin.of_url(target.url)
        self._set_limit(target.connections)
        self._idle: list[_Connection] = []
        self._open = 0
        self._generation = 0
        self._waiters: collections.deque[asyncio.Future] = collections.deque()

    @property
    def open_connections(self) -> int:
        """Return how many connections count towards the target's limit."""
        return self._open

    async def batch(
        self, body: protocol.TargetBatch, timeout_ms: float
    ) -> result.Result[protocol.TargetBatchAnswer, _link_errors.LinkError]:
        """Run the sub-queries of a batch and check that the answers match.

        The target answers in the order of the items and echoes each one's
        attempt and fingerprint.  On any mismatch, all answers are rejected
        and the connection is closed: its later replies could be wrong too.
        """
        expected = [(item.attempt_id, item.fingerprint) for item in body.items]

        def check(answer: protocol.TargetBatchAnswer) -> str:
            got = [
                (item.attempt_id, item.fingerprint) for item in answer.answers
            ]
            return _mismatch(got, expected)

        return await self._call(
            '/batch', body, timeout_ms, _BATCH_DECODER, check
        )

    async def run(
        self, body: protocol.TargetRun, timeout_ms: float
    ) -> result.Result[protocol.TargetRunAnswer, _link_errors.LinkError]:
        """Run a request that must not be repeated; it is sent at most once."""

        def check(answer: protocol.TargetRunAnswer) -> str:
            return _mismatch(
                [(answer.attempt_id, '')], [(body.attempt_id, '')]
            )

        return await self._call('/run', body, timeout_ms, _RUN_DECODER, check)

    async def cancel(
        self, body: protocol.TargetCancel, timeout_ms: float
    ) -> result.Result[protocol.TargetCancelAnswer, _link_errors.LinkError]:
        """Cancel attempts; the answer lists those that had not begun."""
        content = msgspec.json.encode(body)
        return await self._control_call(
            'POST', '/cancel', content, timeout_ms, _CANCEL_DECODER, False
        )

    async def health(
        self, timeout_ms: float
    ) -> result.Result[protocol.TargetHealth, _link_errors.LinkError]:
        """Return the target's report on its health, over a new connection."""
        return await self._control_call(
            'GET', '/health', None, timeout_ms, _HEALTH_DECODER, True
        )

    async def resize(self, connections: int) -> None:
        """Set the limit of connections; idle ones above it are closed."""
        self._set_limit(connections)
        while self._open > self._limit and self._idle:
            await self._drop(self._idle.pop(0))
        self._wake_waiters()

    def _set_limit(self, connections: int) -> None:
        self._limit = max(1, connections)
        # One connection is reserved for cancels and health probes.
        self._work_limit = max(1, self._limit - 1)

    async def close(self) -> None:
        """Close idle connections; the others close after their exchange."""
        self._generation += 1
        await self._close_outdated()

    async def _call(
        self,
        path: str,
        body: msgspec.Struct,
        timeout_ms: float,
        decoder: msgspec.json.Decoder,
        check: typing.Callable[[typing.Any], str],
    ) -> result.Result[typing.Any, _link_errors.LinkError]:
        content = msgspec.json.encode(body)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        connection = await self._acquire(self._work_limit, timeout_ms)
        timeout_ms -= (loop.time() - started_s) * 1000.0
        if connection is None:
            return _failure(
                _link_errors.LinkErrorKind.UNREACHABLE, 'no free connection'
            )
        reply: result.Result[typing.Any, _link_errors.LinkError] | None = None
        try:
            reply = await self._exchange(
                connection, 'POST', path, content, timeout_ms, decoder
            )
            if isinstance(reply, result.Success):
                mismatch = check(reply.unwrap())
                if mismatch:
                    reply = _failure(
                        _link_errors.LinkErrorKind.BAD_ANSWER, mismatch
                    )
        finally:
            usable = isinstance(reply, result.Success)
            await self._release(connection, usable)
        if (
            not usable
            and reply.failure().kind is _link_errors.LinkErrorKind.SILENT
        ):
            # A middlebox that dropped the state of this connection has
            # probably dropped that of the idle ones too.
            self._generation += 1
            await self._close_outdated()
        return reply

    async def _control_call(
        self,
        method: str,
        path: str,
        content: bytes | None,
        timeout_ms: float,
        decoder: msgspec.json.Decoder,
        new_only: bool,
    ) -> result.Result[typing.Any, _link_errors.LinkError]:
        """Make a call that may use the connection reserved for control calls.

        With ``new_only`` a new connection is opened for it and closed
        afterwards.
        """
        connection = await self._acquire(self._limit, timeout_ms, new_only)
        if connection is None:
            return _failure(
                _link_errors.LinkErrorKind.UNREACHABLE, 'no free connection'
            )
        reply: result.Result[typing.Any, _link_errors.LinkError] | None = None
        try:
            reply = await self._exchange(
                connection, method, path, content, timeout_ms, decoder
            )
            return reply
        finally:
            keep = isinstance(reply, result.Success) and not new_only
            await self._release(connection, keep)

    async def _acquire(
        self, limit: int, timeout_ms: float, new_only: bool = False
    ) -> _Connection | None:
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + timeout_ms / 1000.0
        while True:
            if self._idle and not new_only:
                return self._idle.pop()
            if self._open >= limit and self._idle:
                await self._drop(self._idle.pop(0))
                continue
            if self._open < limit:
                self._open += 1
                return _Connection(self._origin, self._generation)
            left_s = ends_s - loop.time()
            waiter = loop.create_future()
            self._waiters.append(waiter)
            try:
                await asyncio.wait_for(waiter, max(0.0, left_s))
            except asyncio.TimeoutError:
                return None

    async def _release(self, connection: _Connection, usable: bool) -> None:
        if usable and connection.generation == self._generation:
            self._idle.append(connection)
            self._wake_waiters()
            return
        # Shielded, since a connection counts until it is closed, also if
        # its exchange is cancelled.
        await asyncio.shield(self._drop(connection))

    async def _drop(self, connection: _Connection) -> None:
        await connection.close()
        self._open -= 1
        self._wake_waiters()

    async def _close_outdated(self) -> None:
        outdated = [
            connection
            for connection in self._idle
            if connection.generation < self._generation
        ]
        self._idle = [
            connection
            for connection in self._idle
            if connection not in outdated
        ]
        for connection in outdated:
            await self._drop(connection)

    def _wake_waiters(self) -> None:
        waiters, self._waiters = self._waiters, collections.deque()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def _exchange(
        self,
        connection: _Connection,
        method: str,
        path: str,
        content: bytes | None,
        timeout_ms: float,
        decoder: msgspec.json.Decoder,
    ) -> result.Result[typing.Any, _link_errors.LinkError]:
        reply = await connection.exchange(
            method, path, content, timeout_ms + _TIMEOUT_SLACK_MS
        )
        if isinstance(reply, _link_errors.LinkError):
            return result.Failure(reply)
        if reply.status != 200:
            text = reply.body[:200].decode('utf-8', 'replace')
            return _failure(
                _link_errors.LinkErrorKind.BROKEN,
                f'{reply.status} {text}',
                True,
            )
        try:
            return result.Success(decoder.decode(reply.body))
        except protocol.DECODE_ERRORS as error:
            return _failure(_link_errors.LinkErrorKind.BAD_ANSWER, str(error))


def _mismatch(
    got: list[tuple[str, str]], expected: list[tuple[str, str]]
) -> str:
    if got == expected:
        return ''
    return f'got answers to {got[:3]}, expected to {expected[:3]}'


def _failure(
    kind: _link_errors.LinkErrorKind, detail: str, ended: bool = False
) -> result.Failure[_link_errors.LinkError]:
    return result.Failure(_link_errors.LinkError(kind, detail, ended))
