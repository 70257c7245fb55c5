"""Requests that are passed on as they are, and what comes back."""

import dataclasses
import typing

from samphiredock.protocol import _outcomes
from samphiredock.protocol import _queries

Headers = tuple[tuple[str, str], ...]
"""Names and values in the order in which they came."""


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """One HTTP request as it goes out on a connection.

    ``path`` is the raw path with its query.
    """

    method: str
    path: str
    headers: Headers
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """One whole HTTP answer."""

    status: int
    headers: Headers = ()
    body: bytes = b''

    def header(self, name: str) -> str | None:
        """Return the first value of a header, None if there is none."""
        wanted = name.lower()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class StreamedReply:
    """An answer whose body goes out in pieces while it is made.

    One chunk a piece.  An answer that is cut short has no last chunk, so
    that it does not look whole.
    """

    status: int
    headers: Headers
    pieces: typing.AsyncGenerator[bytes, None]


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardRequest:
    """A caller's request that targets get unchanged.

    ``headers`` are those that concern both ends, without the ones that
    this system sets.  ``deadline_ms`` is what the caller still waits, None
    if it does not say.
    """

    request_id: str
    method: str
    host: str
    path: str
    headers: Headers
    body: bytes
    deadline_ms: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReply:
    """What a target's answer means.

    ``receipt`` proves that the target ran this request; only an answer
    with status ``ANSWERED`` may be merged.  ``is_forwardable`` says that a
    failure may be shown to the caller as it is: its status promises
    nothing that is not known.
    """

    status: _queries.SubStatus
    reply: HttpReply
    receipt: str | None = None
    detail: str = ''
    is_forwardable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Passed:
    """A target's own answer, a success or not, passed on unchanged."""

    reply: HttpReply


@dataclasses.dataclass(frozen=True, slots=True)
class Gathered:
    """The answer merged from the shards' parts.

    ``receipts`` name the parts that are in, ``missing`` counts the shards
    that are not, ``body`` holds the greatest records, greatest first.
    """

    receipts: tuple[str, ...]
    missing: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TimedOut:
    """No answer in the caller's or the route's time; it may have run."""

    detail: str


ForwardOutcome = (
    Passed | Gathered | TimedOut | _outcomes.NotRun | _outcomes.Unknown
)
