"""Calls to an object store by aiohttp's client."""

import asyncio
import typing

import aiohttp
from returns import result

from samphiredock.transport import _platform
from samphiredock.transport import _store_replies


class _ReplyLost(aiohttp.ClientError):
    """The connection closed during a write, which may have been applied."""


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevent aiohttp from sending a write a second time.

    aiohttp repeats an idempotent method once when a kept-alive connection
    closes.  If the first copy of a conditional write was applied, the second
    one gets a conflict, as if the write had not been applied.  aiohttp
    repeats only after the two errors mapped here, so raising another type
    prevents it.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise _ReplyLost(type(error).__name__) from error


class StoreCalls:
    """Makes calls with an aiohttp session; implements :class:`StoreCaller`.

    Parameters
    ----------
    session
        The HTTP session, owned by the caller.
    base_url
        For example ``http://127.0.0.1:7100``.
    timeout_ms
        Timeout of a call that states none.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        timeout_ms: int = _store_replies.STORE_CALL_TIMEOUT_MS,
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
    ) -> result.Result[_store_replies.StoreReply, _platform.StoreError]:
        """Make one call; a write is sent at most once."""
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
                middlewares=(_send_once,)
                if method in _store_replies.WRITE_METHODS
                else (),
            ) as response:
                content = await response.read()
        except aiohttp.ClientConnectorError as error:
            # No connection was made, so nothing was applied.
            return _store_replies.failure(
                _platform.StoreErrorKind.UNAVAILABLE, str(error)
            )
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            return _store_replies.failure(
                _platform.StoreErrorKind.LOST, f'{type(error).__name__}'
            )
        return _store_replies.classify_reply(
            f'{method} {path}', (response.status, content, response.headers)
        )
