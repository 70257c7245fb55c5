"""HTTP client of the platform's object store and host list."""

import urllib.parse

import msgspec
from returns import result

from samphiredock.transport import _platform
from samphiredock.transport import _store_replies

_VERSION_HEADER = 'X-Object-Version'
_NOT_MODIFIED = 304


class ObjectRow(msgspec.Struct, frozen=True):
    """One object in the JSON of list and watch replies."""

    key: str
    version: int
    value: str


class ObjectPage(msgspec.Struct, frozen=True):
    """JSON body of list and watch replies."""

    objects: list[ObjectRow]
    gone: list[str] = []
    position: int = 0


class HostRow(msgspec.Struct, frozen=True):
    """One host in the JSON of the host list."""

    name: str
    leaving: bool = False


_PAGE_DECODER = msgspec.json.Decoder(ObjectPage)
_HOSTS_DECODER = msgspec.json.Decoder(list[HostRow])


class HttpPlatform:
    """Client of the object store and host list; implements :class:`Platform`.

    Parameters
    ----------
    calls
        Makes the HTTP calls.
    """

    def __init__(self, calls: _store_replies.StoreCaller) -> None:
        self._calls = calls
        self._hosts: tuple[_platform.Host, ...] = ()
        self._hosts_etag: str | None = None

    async def get(
        self, key: str
    ) -> result.Result[_platform.StoredObject, _platform.StoreError]:
        """Return one object."""
        reply = await self._calls.call('GET', self._path(key))
        return _store_replies.parse_store_reply(
            reply,
            lambda got: _platform.StoredObject(key, _version_of(got), got[1]),
        )

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> result.Result[int, _platform.StoreError]:
        """Write if the stored version is ``expected_version``."""
        if len(value) > _platform.VALUE_LIMIT_BYTES:
            return result.Failure(
                _platform.StoreError(
                    _platform.StoreErrorKind.REFUSED,
                    f'{key}: got {len(value)} bytes, expected at most '
                    f'{_platform.VALUE_LIMIT_BYTES}',
                )
            )
        reply = await self._calls.call(
            'PUT', self._path(key), value, _if_match(expected_version)
        )
        return _store_replies.parse_store_reply(
            reply, lambda got: _version_of(got)
        )

    async def delete(
        self, key: str, expected_version: int
    ) -> result.Result[int, _platform.StoreError]:
        """Delete if the stored version is ``expected_version``."""
        reply = await self._calls.call(
            'DELETE', self._path(key), None, _if_match(expected_version)
        )
        return _store_replies.parse_store_reply(
            reply, lambda got: _version_of(got)
        )

    async def scan(
        self, prefix: str, may_be_stale: bool = False
    ) -> result.Result[
        tuple[_platform.StoredObject, ...], _platform.StoreError
    ]:
        """Return all objects below a prefix.

        ``may_be_stale`` is ignored: all scans are made in the same way.
        """
        query = urllib.parse.urlencode({'prefix': prefix})
        reply = await self._calls.call('GET', f'/objects?{query}')
        return _store_replies.parse_store_reply(
            reply, lambda got: _page(got[1]).changed
        )

    async def watch(
        self, prefix: str, position: int, timeout_ms: int
    ) -> result.Result[_platform.WatchPage, _platform.StoreError]:
        """Wait for changes below a prefix after ``position``."""
        query = urllib.parse.urlencode(
            {'prefix': prefix, 'since': position, 'timeout_ms': timeout_ms}
        )
        reply = await self._calls.call(
            'GET',
            f'/watch?{query}',
            timeout_ms=timeout_ms + _store_replies.STORE_WATCH_SLACK_MS,
        )
        return _store_replies.parse_store_reply(
            reply, lambda got: _page(got[1], position == 0)
        )

    def era(self) -> int:
        """Return 0: this store keeps every write that it acknowledges."""
        return 0

    async def hosts(
        self,
    ) -> result.Result[tuple[_platform.Host, ...], _platform.StoreError]:
        """Return live and leaving hosts; the list may be out of date."""
        etag = self._hosts_etag
        headers = {'If-None-Match': etag} if etag is not None else None
        reply = await self._calls.call('GET', '/hosts', headers=headers)
        return _store_replies.parse_store_reply(reply, self._read_hosts)

    def _read_hosts(
        self, got: _store_replies.StoreReply
    ) -> tuple[_platform.Host, ...]:
        # The list is polled often and may have thousands of hosts, so the
        # store sends it only if its ETag has changed.
        status, content, headers = got
        if status != _NOT_MODIFIED:
            self._hosts = tuple(
                _platform.Host(row.name, row.leaving)
                for row in _HOSTS_DECODER.decode(content)
            )
            self._hosts_etag = _store_replies.header_of(headers, 'ETag')
        return self._hosts

    def _path(self, key: str) -> str:
        return '/objects/' + urllib.parse.quote(key)


def _version_of(reply: _store_replies.StoreReply) -> int:
    return int(_store_replies.header_of(reply[2], _VERSION_HEADER) or '')


def _page(content: bytes, whole: bool = True) -> _platform.WatchPage:
    page = _PAGE_DECODER.decode(content)
    objects = tuple(
        _platform.StoredObject(row.key, row.version, row.value.encode())
        for row in page.objects
    )
    return _platform.WatchPage(objects, tuple(page.gone), page.position, whole)


def _if_match(expected_version: int) -> dict[str, str]:
    return {'If-Match': str(expected_version)}
