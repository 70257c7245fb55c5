"""Requests that are passed on to targets unchanged, and their outcomes.

A request to a route with several shards is sent to one target of each shard.
The response body of one shard is a part; the parts are merged.
"""

import dataclasses
import typing

from samphiredock.protocol import _outcomes
from samphiredock.protocol import _queries

Headers = tuple[tuple[str, str], ...]
"""Header names and values in the order received."""


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """One HTTP request to be sent on a connection.

    ``path`` is the undecoded path with its query string.  ``request_id`` is
    the id that all attempts of a request share, empty if it has none: replies
    to two attempts cannot be told apart by it.
    """

    method: str
    path: str
    headers: Headers
    body: bytes = b''
    request_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """One complete HTTP response.

    ``may_be_late`` says that its connection had carried another request
    before, to which the response may be a late second one.
    """

    status: int
    headers: Headers = ()
    body: bytes = b''
    may_be_late: bool = dataclasses.field(default=False, compare=False)

    def header(self, name: str) -> str | None:
        """Return the first value of a header, None if there is none."""
        wanted = name.lower()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class StreamedReply:
    """An HTTP response whose body is sent while it is produced.

    Each of ``pieces`` is sent as one chunk.  If the generator fails, the
    terminating chunk is not sent, so that the client sees the response as
    incomplete.
    """

    status: int
    headers: Headers
    pieces: typing.AsyncGenerator[bytes, None]


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardRequest:
    """A caller's request that is passed on to targets unchanged.

    ``headers`` are the end-to-end headers, without those that the
    daemon sets itself.  ``path`` is undecoded, with its query string.
    ``deadline_ms`` is how much longer the caller waits, None if the caller
    did not state it.  ``age_ms`` is how long ago a daemon received it, 0 if
    it has just come, infinite if that is not known.
    """

    request_id: str
    method: str
    host: str
    path: str
    headers: Headers
    body: bytes
    deadline_ms: float | None
    age_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReply:
    """A target's HTTP response and how it is interpreted.

    Only a reply with status ``ANSWERED`` may be merged.  ``receipt`` is the
    target's proof that it ran this request.  ``is_forwardable`` says that a
    failure response may be passed on to the caller; it may not if its HTTP
    status would promise that the request has not run, which is not proven.
    """

    status: _queries.SubStatus
    reply: HttpReply
    receipt: str | None = None
    detail: str = ''
    is_forwardable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Passed:
    """A target's own response, a success or not, passed on unchanged."""

    reply: HttpReply


@dataclasses.dataclass(frozen=True, slots=True)
class Gathered:
    """A response merged from the parts of several shards.

    ``receipts`` are those of the merged parts; ``missing`` counts the shards
    whose part was not merged.  ``body`` holds the greatest records of
    all merged parts, the greatest first.
    """

    receipts: tuple[str, ...]
    missing: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TimedOut:
    """No response before the caller's or the route's deadline.

    The request may have run.
    """

    detail: str


ForwardOutcome = (
    Passed | Gathered | TimedOut | _outcomes.NotRun | _outcomes.Unknown
)
