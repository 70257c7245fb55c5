"""Calls to an object service over kept connections.

The client of the daemons that pass requests on: it shares the connections'
code with the targets, so that such a daemon need not load the HTTP library,
160 to 250 ms of its start and 14 MB (see ``docs/design/start.md``).
"""

import math
import typing

from returns import result

from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock.transport import _connection_pool
from samphiredock.transport import _link_errors
from samphiredock.transport import _platform
from samphiredock.transport import _store_replies

_CONNECTIONS = 16
"""A daemon waits in two watches and makes a few short calls beside them."""

_Kind = _link_errors.LinkErrorKind

_UNSENT = frozenset({_Kind.UNREACHABLE, _Kind.NO_CONNECTION})
"""Ends that prove that the service saw nothing of the call."""


class PooledStoreCalls:
    """The calls of one client; implements :class:`StoreCaller`.

    Parameters
    ----------
    clock
        The timers of this daemon.
    address
        ``IP:port`` of the service.
    """

    def __init__(self, clock: timers.Timers, address: str) -> None:
        self._address = address
        self._service = state.LiveTarget(address, '', address, '', slots=1)
        self._pool = _connection_pool.ConnectionPool(
            clock, lambda service: _CONNECTIONS
        )

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: typing.Mapping[str, str] | None = None,
        timeout_ms: int | None = None,
    ) -> result.Result[_store_replies.StoreReply, _platform.StoreError]:
        """Make one call; a write is sent once.

        A read whose kept connection turns out to be closed is sent again
        on a new one: else each reset connection would look like an outage
        of the service.
        """
        limit_ms = timeout_ms or _store_replies.STORE_CALL_TIMEOUT_MS
        request = self._request(method, path, body, headers)
        reply = await self._send(request, limit_ms, math.inf)
        if method not in _store_replies.WRITES and _is_broken(reply):
            reply = await self._send(request, limit_ms, 0.0)
        if isinstance(reply, result.Failure):
            return _failure(reply.failure())
        got = reply.unwrap()
        return _store_replies.judge(
            f'{method} {path}', (got.status, got.body, dict(got.headers))
        )

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    def _request(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: typing.Mapping[str, str] | None,
    ) -> protocol.HttpRequest:
        stated = (('Host', self._address), *(headers or {}).items())
        return protocol.HttpRequest(method, path, stated, body or b'')

    async def _send(
        self,
        request: protocol.HttpRequest,
        limit_ms: float,
        max_idle_ms: float,
    ) -> result.Result[protocol.HttpReply, _link_errors.LinkError]:
        reply = await self._pool.exchange(
            self._service, request, limit_ms, lambda got: True, max_idle_ms
        )
        if _kind_of(reply) is _Kind.SILENT:
            # Its siblings may have gone silent with it, and each would cost
            # a call its whole time.
            self._pool.forget(self._service)
        return reply


def _kind_of(
    reply: result.Result[protocol.HttpReply, _link_errors.LinkError],
) -> _link_errors.LinkErrorKind | None:
    """Return how a call failed, None if it was answered."""
    if isinstance(reply, result.Failure):
        return reply.failure().kind
    return None


def _is_broken(
    reply: result.Result[protocol.HttpReply, _link_errors.LinkError],
) -> bool:
    return _kind_of(reply) is _Kind.BROKEN


def _failure(
    error: _link_errors.LinkError,
) -> result.Failure[_platform.StoreError]:
    kind = _platform.StoreErrorKind.LOST
    if error.kind in _UNSENT:
        kind = _platform.StoreErrorKind.UNAVAILABLE
    return _store_replies.failure(kind, f'{error.kind.value}: {error.detail}')
