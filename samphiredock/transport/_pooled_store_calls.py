"""Calls to an object store over pooled connections.

aiohttp's client is not used: its import would slow down the start of an entry
daemon (see ``docs/design/start.md``), and it sets no limit on what a server
sends.
"""

import math
import typing

from returns import result

from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock.transport import _connection_pool
from samphiredock.transport import _http_connection
from samphiredock.transport import _link_errors
from samphiredock.transport import _origin
from samphiredock.transport import _platform
from samphiredock.transport import _store_replies

_CONNECTIONS = 100
"""Covers a pending watch of each prefix and the short calls beside them."""

_Kind = _link_errors.LinkErrorKind

_NOT_SENT = frozenset({_Kind.UNREACHABLE, _Kind.NO_CONNECTION})
"""Errors after which the store has certainly not seen the call."""


class PooledStoreCalls:
    """Makes calls over a connection pool; implements :class:`StoreCaller`.

    Parameters
    ----------
    clock
        The timers of this daemon.
    base_url
        For example ``http://127.0.0.1:7100``.
    """

    def __init__(self, clock: timers.Timers, base_url: str) -> None:
        origin = _origin.Origin.of_url(base_url)
        self._authority = origin.authority
        self._path_prefix = origin.path_prefix
        # The pool connects to targets, so the store is described as one.
        self._store = state.LiveTarget(base_url, '', base_url, '', slots=1)
        self._pool = _connection_pool.ConnectionPool(
            clock,
            lambda store: _CONNECTIONS,
            lambda address: _http_connection.open_connection(
                origin.host, origin.port, origin.tls
            ),
        )
        self._on_reply: list[
            typing.Callable[[typing.Mapping[str, str]], None]
        ] = []

    def on_reply(
        self, callback: typing.Callable[[typing.Mapping[str, str]], None]
    ) -> None:
        """Call ``callback`` with the headers of every reply."""
        self._on_reply.append(callback)

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: typing.Mapping[str, str] | None = None,
        timeout_ms: int | None = None,
    ) -> result.Result[_store_replies.StoreReply, _platform.StoreError]:
        """Make one call; a write is sent at most once.

        A read whose connection breaks is sent once more on a new one, so
        that a reset of a pooled connection does not look like an outage of
        the store.
        """
        limit_ms = timeout_ms or _store_replies.STORE_CALL_TIMEOUT_MS
        request = self._request(method, path, body, headers)
        reply = await self._send(request, limit_ms, math.inf)
        if method not in _store_replies.WRITE_METHODS and _is_broken(reply):
            reply = await self._send(request, limit_ms, 0.0)
        if isinstance(reply, result.Failure):
            return _failure(reply.failure(), method)
        got = reply.unwrap()
        received_headers = dict(got.headers)
        for callback in self._on_reply:
            callback(received_headers)
        return _store_replies.classify_reply(
            f'{method} {path}', (got.status, got.body, received_headers)
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
        all_headers = (('Host', self._authority), *(headers or {}).items())
        return protocol.HttpRequest(
            method, self._path_prefix + path, all_headers, body or b''
        )

    async def _send(
        self,
        request: protocol.HttpRequest,
        limit_ms: float,
        max_idle_ms: float,
    ) -> result.Result[protocol.HttpReply, _link_errors.LinkError]:
        reply = await self._pool.exchange(
            self._store, request, limit_ms, lambda got: True, max_idle_ms
        )
        if _kind_of(reply) is _Kind.SILENT:
            # Other idle connections may have gone silent too, and each would
            # cost a call its full timeout.
            self._pool.forget(self._store)
        return reply


def _kind_of(
    reply: result.Result[protocol.HttpReply, _link_errors.LinkError],
) -> _link_errors.LinkErrorKind | None:
    """Return the kind of a failed call's error, None if it succeeded."""
    if isinstance(reply, result.Failure):
        return reply.failure().kind
    return None


def _is_broken(
    reply: result.Result[protocol.HttpReply, _link_errors.LinkError],
) -> bool:
    return _kind_of(reply) is _Kind.BROKEN


def _failure(
    error: _link_errors.LinkError, method: str
) -> result.Failure[_platform.StoreError]:
    kind = _platform.StoreErrorKind.LOST
    if error.kind in _NOT_SENT:
        kind = _platform.StoreErrorKind.UNAVAILABLE
    elif (
        error.kind is _Kind.BAD_ANSWER
        and method not in _store_replies.WRITE_METHODS
    ):
        kind = _platform.StoreErrorKind.UNREADABLE
    return _store_replies.failure(kind, f'{error.kind.value}: {error.detail}')
