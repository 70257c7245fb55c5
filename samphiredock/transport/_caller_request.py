"""A caller's request while it is read, and the limits that it must keep."""

import dataclasses

from samphiredock import state

HEAD_SLACK_BYTES = 65_536
"""Tolerance above the limit of the head while bytes are not parsed yet: they
may include the end of the previous request."""

CHUNK_ALLOWANCE = 4_096
"""Number of chunks of a body that may be of any size."""

MIN_MEAN_CHUNK_BYTES = 64
"""Least mean size of further chunks.  Each costs about as much as 1 kB of
data."""

CHUNK_FRAMING_BYTES = 12
"""Size of the framing of one chunk: 8 hexadecimal digits, two line ends."""

_HEADER_FRAMING_BYTES = 4

_BAD_REQUEST = 400
_TOO_LARGE_BODY = 413
_TOO_LARGE_HEAD = 431


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The error status of a request that is not handled, and the reason."""

    status: int
    detail: str


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """One request, from its first byte until it is answered.

    ``head_bytes`` counts the path, the headers and the trailers, ``body``
    holds the ``body_bytes`` received so far of ``announced_bytes``, and
    ``wire_bytes`` counts what was received after the head, framing included.
    ``asks_for_upgrade`` is set for a request that asks for another protocol.
    ``refusal`` is set for a request that is refused.  The connection ends
    after a refusal: where the next request would begin is unknown.
    ``is_pipelined`` says that it came before the request ahead of it was
    answered; ``begun_ms`` is when its first byte came.
    """

    begun_ms: float = 0.0
    method: str = ''
    version: str = '1.1'
    path: bytes = b''
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    head_bytes: int = 0
    body: list[bytes] = dataclasses.field(default_factory=list)
    body_bytes: int = 0
    announced_bytes: int = 0
    is_chunked: bool = False
    chunk_count: int = 0
    wire_bytes: int = 0
    keep_alive: bool = True
    expects_continue: bool = False
    asks_for_upgrade: bool = False
    refusal: Refusal | None = None
    is_pipelined: bool = False

    def add_path(self, part: bytes) -> None:
        """Append a part of the raw path."""
        self.path += part
        self.head_bytes += len(part)

    def add_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self.headers.append((name.decode('latin-1'), value.decode('latin-1')))
        self.count_header(name, value)

    def count_header(self, name: bytes, value: bytes) -> None:
        """Count a header or trailer; trailers are not kept."""
        self.head_bytes += len(name) + len(value) + _HEADER_FRAMING_BYTES

    def add_body(self, part: bytes) -> None:
        """Append a part of the body."""
        self.body.append(part)
        self.body_bytes += len(part)

    def announces_body(self) -> bool:
        """Whether the head says that a body follows."""
        return self.is_chunked or self.announced_bytes > 0


def framing_refusal(request: CallerRequest) -> Refusal | None:
    """Return why a complete request is not the announced one, None if it is.

    Whatever the parser took for the end of a request, no request is passed on
    with another body than its head announces.
    """
    if request.is_chunked:
        is_whole = request.chunk_count > 0
    else:
        is_whole = request.body_bytes == request.announced_bytes
    if is_whole:
        return None
    return Refusal(
        _BAD_REQUEST,
        f'got {request.body_bytes} bytes and {request.chunk_count} chunks, '
        f'expected the body that the head announces',
    )


def size_refusal(
    request: CallerRequest, limits: state.CallerLimits
) -> Refusal | None:
    """Return why a request is refused for its size, None if it is not.

    Without the limits on what is neither head nor body, one connection could
    take any amount of memory and time by trailers or chunk extensions.
    """
    if request.head_bytes > limits.header_bytes:
        return head_refusal(limits)
    if max(request.body_bytes, request.announced_bytes) > limits.body_bytes:
        return Refusal(
            _TOO_LARGE_BODY,
            f'got a larger body, expected at most {limits.body_bytes} bytes',
        )
    further = request.body_bytes // MIN_MEAN_CHUNK_BYTES
    if request.chunk_count > CHUNK_ALLOWANCE + further:
        return Refusal(
            _TOO_LARGE_BODY,
            f'got {request.chunk_count} chunks, expected larger ones',
        )
    framing_bytes = request.chunk_count * CHUNK_FRAMING_BYTES
    unexplained_bytes = request.wire_bytes - request.body_bytes - framing_bytes
    if unexplained_bytes > limits.header_bytes + HEAD_SLACK_BYTES:
        return head_refusal(limits)
    return None


def head_refusal(limits: state.CallerLimits) -> Refusal:
    """Return the refusal of a head, or of trailers, over the limit."""
    return Refusal(
        _TOO_LARGE_HEAD,
        f'got a larger request head, expected at most '
        f'{limits.header_bytes} bytes',
    )


def time_limit_ms(
    stated_ms: float | None, limits: state.CallerLimits
) -> float:
    """Return how long a request may take from its first byte to its last.

    Parameters
    ----------
    stated_ms
        How long the caller waits for the answer, None if it does not say so.
    limits
        A caller may take the time allowed for the head in any case, and never
        longer than a connection may be idle.
    """
    longest_ms = max(limits.header_ms, limits.idle_ms)
    if stated_ms is None:
        return longest_ms
    return min(max(limits.header_ms, stated_ms), longest_ms)
