"""Calls to an object service over HTTP, and what their ends prove."""

import asyncio
import typing

import aiohttp
import msgspec
from returns import result

from samphiredock.transport import _platform

STORE_CALL_TIMEOUT_MS = 3_000
STORE_WATCH_SLACK_MS = 3_000

_SUCCESSES = (200, 201, 304)
_WRITES = ('POST', 'PUT', 'DELETE')

_STATUS_KINDS = {
    404: _platform.StoreErrorKind.NOT_FOUND,
    409: _platform.StoreErrorKind.CONFLICT,
    410: _platform.StoreErrorKind.FORGOTTEN,
    413: _platform.StoreErrorKind.REFUSED,
    429: _platform.StoreErrorKind.UNAVAILABLE,
    503: _platform.StoreErrorKind.UNAVAILABLE,
}

StoreReply = tuple[int, bytes, typing.Mapping[str, str]]
"""Status, content and headers of an answer."""


class _AnswerLost(aiohttp.ClientError):
    """The connection closed under a write, which may have taken effect."""


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep the HTTP library from sending a write a second time.

    It repeats an idempotent method once when a kept-alive connection
    closes.  The copy of a conditional write that had taken effect is
    answered with a conflict, and the caller would be told that its change
    was beaten though it is in force.  The library repeats only after the
    two errors mapped here, so another error type is enough.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise _AnswerLost(type(error).__name__) from error


class StoreCalls:
    """The calls of one client.

    Parameters
    ----------
    session
        The HTTP session, owned by the caller.
    base_url
        For example ``http://127.0.0.1:7100``.
    timeout_ms
        Bound on a call that states none.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        timeout_ms: int = STORE_CALL_TIMEOUT_MS,
    ) -> None:
        self._session = session
        self._base_url = base_url.rstrip('/')
        self._timeout_ms = timeout_ms

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: typing.Mapping[str, str] | None = None,
        timeout_ms: int | None = None,
    ) -> result.Result[StoreReply, _platform.StoreError]:
        """Make one call; a write is sent once."""
        limit = aiohttp.ClientTimeout(
            total=(timeout_ms or self._timeout_ms) / 1000.0
        )
        try:
            async with self._session.request(
                method,
                self._base_url + path,
                data=body,
                headers=headers,
                timeout=limit,
                middlewares=(_send_once,) if method in _WRITES else (),
            ) as response:
                content = await response.read()
        except aiohttp.ClientConnectorError as error:
            # No connection was made, so the call cannot have taken effect.
            return _failure(_platform.StoreErrorKind.UNAVAILABLE, str(error))
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            return _failure(
                _platform.StoreErrorKind.LOST, f'{type(error).__name__}'
            )
        if response.status in _SUCCESSES:
            return result.Success((response.status, content, response.headers))
        kind = _STATUS_KINDS.get(
            response.status, _platform.StoreErrorKind.LOST
        )
        text = content[:200].decode('utf-8', 'replace')
        return _failure(kind, f'{method} {path}: {response.status} {text}')


_T = typing.TypeVar('_T')


def parse_store_reply(
    reply: result.Result[StoreReply, _platform.StoreError],
    read: typing.Callable[[StoreReply], _T],
) -> result.Result[_T, _platform.StoreError]:
    """Read an answer; one that cannot be read counts as lost.

    A raised error would end the task that polls or watches, and the daemon
    would silently learn nothing more.
    """
    if isinstance(reply, result.Failure):
        return reply
    try:
        return result.Success(read(reply.unwrap()))
    except (msgspec.DecodeError, LookupError, ValueError) as error:
        return _failure(
            _platform.StoreErrorKind.LOST, f'unreadable answer: {error!r}'
        )


def _failure(
    kind: _platform.StoreErrorKind, detail: str
) -> result.Failure[_platform.StoreError]:
    return result.Failure(_platform.StoreError(kind, detail))
