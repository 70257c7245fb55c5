"""What the ends of calls to an object service prove, for every client."""

import typing

import msgspec
from returns import result

from samphiredock.transport import _platform

STORE_CALL_TIMEOUT_MS = 3_000
STORE_WATCH_SLACK_MS = 3_000

WRITES = frozenset({'POST', 'PUT', 'DELETE'})
"""Methods whose call may have taken effect though its answer is lost."""

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
"""Status, content and headers of an answer."""


class StoreCaller(typing.Protocol):
    """Makes the calls of one store client."""

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: typing.Mapping[str, str] | None = None,
        timeout_ms: int | None = None,
    ) -> result.Result[StoreReply, _platform.StoreError]:
        """Make one call; a write is sent once."""


def judge(
    call: str, reply: StoreReply
) -> result.Result[StoreReply, _platform.StoreError]:
    """Return what an answer proves; ``call`` names it in the error."""
    status, content, _ = reply
    if status in _SUCCESSES:
        return result.Success(reply)
    kind = _STATUS_KINDS.get(status, _platform.StoreErrorKind.LOST)
    text = content[:200].decode('utf-8', 'replace')
    return failure(kind, f'{call}: {status} {text}')


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
        return failure(
            _platform.StoreErrorKind.LOST, f'unreadable answer: {error!r}'
        )


def failure(
    kind: _platform.StoreErrorKind, detail: str
) -> result.Failure[_platform.StoreError]:
    """Return the failure of a call."""
    return result.Failure(_platform.StoreError(kind, detail))
