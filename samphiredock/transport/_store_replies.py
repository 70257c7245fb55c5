"""Replies of an object store, as results or errors, for all its clients."""

import typing

from returns import result

from samphiredock import protocol
from samphiredock.transport import _platform

STORE_CALL_TIMEOUT_MS = 3_000
STORE_WATCH_SLACK_MS = 3_000
"""A watch call's timeout above the time that it waits at the store."""

WRITE_METHODS = frozenset({'POST', 'PUT', 'DELETE'})
"""Methods of calls that may have been applied although no reply came."""

_SUCCESSES = (200, 201, 304)

_STATUS_KINDS = {
    404: _platform.StoreErrorKind.NOT_FOUND,
    409: _platform.StoreErrorKind.CONFLICT,
    410: _platform.StoreErrorKind.FORGOTTEN,
    413: _platform.StoreErrorKind.REFUSED,
    429: _platform.StoreErrorKind.UNAVAILABLE,
    503: _platform.StoreErrorKind.UNAVAILABLE,
}

StoreReply = tuple[int, bytes, typing.Mapping[str, str]]
"""Status, body and headers of a reply."""


def header_of(headers: typing.Mapping[str, str], name: str) -> str | None:
    """Return the value of a header, None if there is none."""
    for key, value in headers.items():
        if key.lower() == name.lower():
            return value
    return None


class StoreCaller(typing.Protocol):
    """Makes HTTP calls to an object store."""

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: typing.Mapping[str, str] | None = None,
        timeout_ms: int | None = None,
    ) -> result.Result[StoreReply, _platform.StoreError]:
        """Make one call; a write is sent at most once.

        ``timeout_ms`` replaces the default timeout of this object.
        """

    def on_reply(
        self, callback: typing.Callable[[typing.Mapping[str, str]], None]
    ) -> None:
        """Call ``callback`` with the headers of every reply."""


def classify_reply(
    call: str, reply: StoreReply
) -> result.Result[StoreReply, _platform.StoreError]:
    """Return the reply as a success, or the failure that its status means.

    ``call`` names the call in the error, for example ``GET /hosts``.
    """
    status, content, _ = reply
    if status in _SUCCESSES:
        return result.Success(reply)
    kind = _STATUS_KINDS.get(status, _platform.StoreErrorKind.LOST)
    text = content[:200].decode('utf-8', 'replace')
    return failure(kind, f'{call}: {status} {text}')


_T = typing.TypeVar('_T')

_UNREADABLE_ERRORS = (*protocol.DECODE_ERRORS, LookupError)


def parse_store_reply(
    reply: result.Result[StoreReply, _platform.StoreError],
    read: typing.Callable[[StoreReply], _T],
) -> result.Result[_T, _platform.StoreError]:
    """Parse a reply with ``read``; an unreadable one counts as ``LOST``.

    Raising instead would end the task that polls or watches the store, and
    the daemon would get no further updates.
    """
    if isinstance(reply, result.Failure):
        return reply
    try:
        return result.Success(read(reply.unwrap()))
    except _UNREADABLE_ERRORS as error:
        return _unreadable(error)


async def parse_store_reply_in_turns(
    reply: result.Result[StoreReply, _platform.StoreError],
    read: typing.Callable[[StoreReply], typing.Awaitable[_T]],
) -> result.Result[_T, _platform.StoreError]:
    """Parse a reply with ``read``, which may let other tasks run meanwhile.

    Otherwise like :func:`parse_store_reply`.
    """
    if isinstance(reply, result.Failure):
        return reply
    try:
        return result.Success(await read(reply.unwrap()))
    except _UNREADABLE_ERRORS as error:
        return _unreadable(error)


def _unreadable(error: Exception) -> result.Failure[_platform.StoreError]:
    return failure(
        _platform.StoreErrorKind.LOST, f'unreadable reply: {error!r}'
    )


def failure(
    kind: _platform.StoreErrorKind, detail: str
) -> result.Failure[_platform.StoreError]:
    """Return a ``Failure`` with a :class:`StoreError`."""
    return result.Failure(_platform.StoreError(kind, detail))
