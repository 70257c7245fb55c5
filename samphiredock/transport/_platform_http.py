"""The platform's object service over HTTP."""

import asyncio
import typing
import urllib.parse

import aiohttp
import msgspec
from returns import result

from samphiredock.transport import _platform

_VERSION_HEADER = 'X-Object-Version'
_CALL_TIMEOUT_MS = 3_000
_WATCH_SLACK_MS = 3_000
_OK = 200
_NOT_MODIFIED = 304

_STATUS_KINDS = {
    404: _platform.StoreErrorKind.NOT_FOUND,
    409: _platform.StoreErrorKind.CONFLICT,
    413: _platform.StoreErrorKind.REFUSED,
    429: _platform.StoreErrorKind.UNAVAILABLE,
    503: _platform.StoreErrorKind.UNAVAILABLE,
}


class ObjectRow(msgspec.Struct, frozen=True):
    """One object as the list and watch calls show it."""

    key: str
    version: int
    value: str


class ObjectPage(msgspec.Struct, frozen=True):
    """Answer of the list and watch calls."""

    objects: list[ObjectRow]
    gone: list[str] = []
    position: int = 0


class HostRow(msgspec.Struct, frozen=True):
    """One row of the host list."""

    name: str
    leaving: bool = False


_PAGE = msgspec.json.Decoder(ObjectPage)
_HOSTS = msgspec.json.Decoder(list[HostRow])

_WRITES = ('PUT', 'DELETE')

_Reply = tuple[int, bytes, typing.Mapping[str, str]]


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


class HttpPlatform:
    """Client of the object service.

    Parameters
    ----------
    session
        The HTTP session, owned by the caller.
    base_url
        For example ``http://127.0.0.1:7100``.
    timeout_ms
        Bound on each call but a watch.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        timeout_ms: int = _CALL_TIMEOUT_MS,
    ) -> None:
        self._session = session
        self._base_url = base_url.rstrip('/')
        self._timeout_ms = timeout_ms
        self._hosts: tuple[_platform.Host, ...] = ()
        self._hosts_tag: str | None = None

    async def get(
        self, key: str
    ) -> result.Result[_platform.StoredObject, _platform.StoreError]:
        """Read one object."""
        reply = await self._call('GET', self._path(key))
        return _parsed(
            reply,
            lambda got: _platform.StoredObject(
                key, int(got[2][_VERSION_HEADER]), got[1]
            ),
        )

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> result.Result[int, _platform.StoreError]:
        """Write if the stored version is as expected."""
        if len(value) > _platform.VALUE_LIMIT_BYTES:
            return result.Failure(
                _platform.StoreError(
                    _platform.StoreErrorKind.REFUSED,
                    f'{key}: got {len(value)} bytes, expected at most '
                    f'{_platform.VALUE_LIMIT_BYTES}',
                )
            )
        reply = await self._call(
            'PUT', self._path(key), value, expected_version
        )
        return _parsed(reply, lambda got: int(got[2][_VERSION_HEADER]))

    async def delete(
        self, key: str, expected_version: int
    ) -> result.Result[int, _platform.StoreError]:
        """Delete if the stored version is as expected."""
        reply = await self._call(
            'DELETE', self._path(key), None, expected_version
        )
        return _parsed(reply, lambda got: int(got[2][_VERSION_HEADER]))

    async def scan(
        self, prefix: str
    ) -> result.Result[
        tuple[_platform.StoredObject, ...], _platform.StoreError
    ]:
        """Read all objects below a prefix."""
        query = urllib.parse.urlencode({'prefix': prefix})
        reply = await self._call('GET', f'/objects?{query}')
        return _parsed(reply, lambda got: _page(got[1]).changed)

    async def watch(
        self, prefix: str, position: int, timeout_ms: int
    ) -> result.Result[_platform.WatchPage, _platform.StoreError]:
        """Wait for changes below a prefix after ``position``."""
        query = urllib.parse.urlencode(
            {'prefix': prefix, 'since': position, 'timeout_ms': timeout_ms}
        )
        reply = await self._call(
            'GET',
            f'/watch?{query}',
            timeout_ms=timeout_ms + _WATCH_SLACK_MS,
        )
        return _parsed(reply, lambda got: _page(got[1]))

    async def hosts(
        self,
    ) -> result.Result[tuple[_platform.Host, ...], _platform.StoreError]:
        """Read the lagging list of live and leaving hosts."""
        reply = await self._call('GET', '/hosts', tag=self._hosts_tag)
        return _parsed(reply, self._read_hosts)

    def _read_hosts(self, got: _Reply) -> tuple[_platform.Host, ...]:
        # A list of thousands of hosts each second would be more than all
        # other control traffic, so it is sent only when it has changed.
        status, content, headers = got
        if status != _NOT_MODIFIED:
            self._hosts = tuple(
                _platform.Host(row.name, row.leaving)
                for row in _HOSTS.decode(content)
            )
            self._hosts_tag = headers.get('ETag')
        return self._hosts

    def _path(self, key: str) -> str:
        return '/objects/' + urllib.parse.quote(key)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        expected_version: int | None = None,
        timeout_ms: int | None = None,
        tag: str | None = None,
    ) -> result.Result[_Reply, _platform.StoreError]:
        headers = {}
        if expected_version is not None:
            headers['If-Match'] = str(expected_version)
        if tag is not None:
            headers['If-None-Match'] = tag
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
        if response.status in (_OK, _NOT_MODIFIED):
            return result.Success((response.status, content, response.headers))
        kind = _STATUS_KINDS.get(
            response.status, _platform.StoreErrorKind.LOST
        )
        text = content[:200].decode('utf-8', 'replace')
        return _failure(kind, f'{method} {path}: {response.status} {text}')


def _failure(
    kind: _platform.StoreErrorKind, detail: str
) -> result.Failure[_platform.StoreError]:
    return result.Failure(_platform.StoreError(kind, detail))


_T = typing.TypeVar('_T')


def _parsed(
    reply: result.Result[_Reply, _platform.StoreError],
    read: typing.Callable[[_Reply], _T],
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


def _page(content: bytes) -> _platform.WatchPage:
    page = _PAGE.decode(content)
    objects = tuple(
        _platform.StoredObject(row.key, row.version, row.value.encode())
        for row in page.objects
    )
    return _platform.WatchPage(objects, tuple(page.gone), page.position)
