"""The server's side of one HTTP connection of a caller.

It is built on ``httptools``, which only parses: a request must reach its
target byte for byte as the caller sent it, and importing aiohttp would slow
down the start of a daemon (see ``docs/design/start.md``).
"""

import asyncio
import collections
import contextlib
import contextvars
import dataclasses
import typing

import httptools

from samphiredock import logs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock.transport import _announced_body
from samphiredock.transport import _caller_request
from samphiredock.transport import _reply_encoding

LINGER_MS = 500.0
"""How long a connection is still read after its last reply was written.  A
socket that is closed with unread bytes is reset, and the caller loses what it
has not read yet."""

_PIPELINE_LIMIT = 8
"""Number of queued pipelined requests at which reading pauses."""

_PIPELINE_RESUME = 4
"""Queue length at which reading resumes.  It is above 0 so that requests that
are still in the socket are read before the last queued one is answered: the
reply to that one may end the connection."""

DISCARD_LIMIT_BYTES = 4 * 1024 * 1024
"""How many bytes of a connection are read and discarded after its reading has
ended.  The rest stays in the socket, so that the caller is slowed down."""

_BAD_REQUEST = 400
_METHOD_NOT_ALLOWED = 405
_TIMED_OUT = 408

_CONNECT = 'CONNECT'
_EXPECT_CONTINUE = b'100-continue'
_CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'

_log = logs.logger('entry')

EntryHandler = typing.Callable[
    [str, str, protocol.Headers, bytes],
    typing.Awaitable[protocol.HttpReply | protocol.StreamedReply],
]
"""Answers one request, given its method, raw path, headers and body; cancelled
when the caller disconnects."""

is_pipelined: contextvars.ContextVar[bool] = contextvars.ContextVar(
    'is_pipelined', default=False
)
"""Whether the request that a handler answers came behind another one on its
connection: then it is unknown when its caller sent it."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryCallbacks:
    """Callbacks of an entry server.

    ``handle`` answers a request, ``is_closing`` returns whether connections
    should end after the current reply, and ``limits`` returns the limits in
    force for callers.  ``stated_ms`` returns how long a caller waits for the
    answer by the headers of its request, None if they do not state it.
    """

    handle: EntryHandler
    is_closing: typing.Callable[[], bool]
    limits: typing.Callable[[], state.CallerLimits]
    stated_ms: typing.Callable[[protocol.Headers], float | None] = (
        lambda headers: None
    )


class _Refused(Exception):
    """Raised in a callback of the parser, to parse no further."""


class EntryConnection(asyncio.Protocol):
    """Reads requests, passes them to a handler one by one, writes replies.

    Parameters
    ----------
    callbacks
        Answer requests and return the state and limits to observe.
    counters
        The metrics of this daemon.
    clock
        The timers of this daemon.
    open_connections
        The connection adds itself when it opens and removes itself when it
        is lost.
    """

    def __init__(
        self,
        callbacks: EntryCallbacks,
        counters: metrics.Metrics,
        clock: timers.Timers,
        open_connections: set['EntryConnection'],
    ) -> None:
        self._callbacks = callbacks
        self._metrics = counters
        self._clock = clock
        self._open_connections = open_connections
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._queued: collections.deque[_caller_request.CallerRequest] = (
            collections.deque()
        )
        self._partial_request: _caller_request.CallerRequest | None = None
        self._in_head = False
        self._unparsed_bytes = 0
        self._discarded_bytes = 0
        self._limits = callbacks.limits()
        self._answer_task: asyncio.Task | None = None
        self._write_paused = False
        self._read_paused = False
        self._reading_ended = False
        self._is_lingering = False
        self._idle_since_ms: float | None = clock.now_ms()
        self._idle_limit_ms = callbacks.limits().idle_ms
        self._head_since_ms: float | None = None

    # asyncio.Protocol callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._open_connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the running request: its caller is gone."""
        self._reading_ended = True
        self._queued.clear()
        if self._answer_task is not None:
            self._answer_task.cancel()
        self._open_connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and start the next request."""
        if self._reading_ended:
            self._discard(len(data))
            return
        self._idle_since_ms = None
        if self._partial_request is None or self._in_head:
            self._unparsed_bytes += len(data)
        else:
            self._partial_request.wire_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            self._read_body_after_upgrade(data[upgrade.args[0] :])
        except httptools.HttpParserError as error:
            detail = str(error) or repr(error)
            self._refuse(_caller_request.Refusal(_BAD_REQUEST, detail))
        if self._partial_request is not None and not self._in_head:
            self._refuse_if_too_large(self._partial_request)
        else:
            self._limit_head()
        self._answer_next()

    def _read_body_after_upgrade(self, data: bytes) -> None:
        """Read the body of a request that asks for another protocol.

        None is supported, so the request is answered as usual.  What follows
        it may be of the other protocol, and is not read.
        """
        request = self._partial_request
        if request is None:
            return
        try:
            self._parser = _announced_body.parser_of_body(
                tuple(request.headers), self
            )
            # A further request that asks for it is not read either.
            with contextlib.suppress(httptools.HttpParserUpgrade):
                self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            detail = str(error) or repr(error)
            self._refuse(_caller_request.Refusal(_BAD_REQUEST, detail))

    def _discard(self, size_bytes: int) -> None:
        """Count bytes that are not parsed; stop reading at the limit."""
        self._discarded_bytes += size_bytes
        if self._discarded_bytes > DISCARD_LIMIT_BYTES:
            self._pause_reading()

    def _pause_reading(self) -> None:
        if not self._read_paused:
            self._read_paused = True
            self._connected_transport().pause_reading()

    def _resume_reading(self) -> None:
        if self._read_paused:
            self._read_paused = False
            self._connected_transport().resume_reading()

    def _is_idle(self) -> bool:
        """Return whether no request is being read, queued or answered."""
        return not (self._answer_task or self._queued or self._partial_request)

    def _limit_head(self) -> None:
        """Limit the size of an incomplete head, and start its time limit.

        Blank lines before a head count as well, also while an earlier request
        is answered.
        """
        is_due = self._in_head or self._is_idle()
        if is_due and self._head_since_ms is None:
            self._head_since_ms = self._clock.now_ms()
        limits = self._callbacks.limits()
        limit = limits.header_bytes + _caller_request.HEAD_SLACK_BYTES
        if self._unparsed_bytes > limit:
            self._refuse(_caller_request.head_refusal(limits))

    def pause_writing(self) -> None:
        """Start no further request: the caller reads too slowly."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Go on with the next request."""
        self._write_paused = False
        self._answer_next()

    # httptools.HttpRequestParser callbacks.

    def on_message_begin(self) -> None:
        """Begin a request, unless reading has ended."""
        if self._reading_ended:
            return
        self._limits = self._callbacks.limits()
        self._partial_request = _caller_request.CallerRequest(
            self._clock.now_ms(),
            is_pipelined=self._answer_task is not None or bool(self._queued),
        )
        self._in_head = True

    def on_url(self, part: bytes) -> None:
        """Append a part of the raw path."""
        if self._partial_request is not None:
            self._partial_request.add_path(part)
            self._stop_at_head_limit(self._partial_request)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; drop a trailer, which comes after the body.

        A trailer must not change what the headers have said (RFC 9110).
        """
        request = self._partial_request
        if request is None:
            return
        if not self._in_head:
            request.count_header(name, value)
            self._stop_at_head_limit(request)
            return
        request.add_header(name, value)
        self._stop_at_head_limit(request)
        if name.lower() == b'expect' and value.lower() == _EXPECT_CONTINUE:
            request.expects_continue = True
        elif name.lower() == b'content-length' and value.isdigit():
            request.announced_bytes = int(value)
        elif name.lower() == b'transfer-encoding':
            request.is_chunked = True

    def on_headers_complete(self) -> None:
        """Refuse a request whose head or announced body is too large."""
        request = self._partial_request
        if request is None:
            return
        self._in_head = False
        self._unparsed_bytes = 0
        self._head_since_ms = None
        request.method = self._parser.get_method().decode('latin-1')
        request.version = self._parser.get_http_version()
        request.keep_alive = self._parser.should_keep_alive()
        request.asks_for_upgrade = self._parser.should_upgrade()
        if request.method == _CONNECT:
            self._refuse(
                _caller_request.Refusal(
                    _METHOD_NOT_ALLOWED,
                    f'the method {_CONNECT} opens a tunnel',
                )
            )
            return
        self._refuse_if_too_large(request)
        self._send_continue()

    def _send_continue(self) -> None:
        """Send ``100 Continue`` to a caller that waits for it.

        It is sent only once all earlier requests are answered, since
        responses are sent in the order of the requests.
        """
        request = self._partial_request
        if request is None or self._in_head or not request.expects_continue:
            return
        if self._answer_task is None and not self._queued:
            request.expects_continue = False
            self._write(_CONTINUE_RESPONSE)

    def on_body(self, part: bytes) -> None:
        """Append a part of the body; refuse a body that is too large."""
        request = self._partial_request
        if request is None:
            return
        request.add_body(part)
        self._stop_if_too_large(request)

    def on_chunk_header(self) -> None:
        """Count a chunk of the body."""
        if self._partial_request is not None:
            self._partial_request.chunk_count += 1
            self._stop_if_too_large(self._partial_request)

    def on_message_complete(self) -> None:
        """Queue a request that has been read completely."""
        request = self._partial_request
        self._unparsed_bytes = 0
        if request is None:
            return
        if request.asks_for_upgrade and self._awaits_body(request):
            return
        self._partial_request = None
        refusal = _caller_request.framing_refusal(request)
        if refusal is not None:
            self._refuse(refusal)
            return
        self._queued.append(request)
        if request.asks_for_upgrade:
            self._end_reading()
        if len(self._queued) >= _PIPELINE_LIMIT:
            self._pause_reading()

    def _awaits_body(self, request: _caller_request.CallerRequest) -> bool:
        """Whether the parser has ended a request before its body."""
        return self._parser.should_upgrade() and request.announces_body()

    # Refusals.

    def _stop_at_head_limit(
        self, request: _caller_request.CallerRequest
    ) -> None:
        # Called for each header, so without the checks of the body.
        if request.head_bytes > self._limits.header_bytes:
            self._stop_if_too_large(request)

    def _stop_if_too_large(
        self, request: _caller_request.CallerRequest
    ) -> None:
        """Refuse a request over the limits, and parse no further.

        Raises ``_Refused``, for use in callbacks of the parser.
        """
        if self._refuse_if_too_large(request):
            raise _Refused

    def _refuse_if_too_large(
        self, request: _caller_request.CallerRequest
    ) -> bool:
        refusal = _caller_request.size_refusal(request, self._limits)
        if refusal is not None:
            self._refuse(refusal)
        return refusal is not None

    def _refuse(self, refusal: _caller_request.Refusal) -> None:
        """Queue an error reply and stop reading."""
        if self._reading_ended:
            return
        self._metrics.add(
            'http_errors', interface='entry', status=refusal.status
        )
        self._queued.append(
            _caller_request.CallerRequest(keep_alive=False, refusal=refusal)
        )
        self._end_reading()

    def _end_reading(self) -> None:
        """Stop reading; requests that are queued are still answered."""
        self._reading_ended = True
        self._partial_request = None

    # Time limits.

    def check(self, now_ms: float) -> None:
        """Close an idle connection; refuse a request that is overdue.

        A lowered idle limit applies from the next reply on: a caller that
        still relies on the earlier one could send a request just as the
        connection is closed, and lose it.
        """
        limits = self._callbacks.limits()
        if self._idle_since_ms is not None:
            limit_ms = max(self._idle_limit_ms, limits.idle_ms)
            if now_ms - self._idle_since_ms > limit_ms:
                self.close_if_idle()
        elif self._is_overdue(now_ms, limits):
            self._refuse(
                _caller_request.Refusal(
                    _TIMED_OUT, 'got no complete request within the time limit'
                )
            )
            self._answer_next()

    def _is_overdue(self, now_ms: float, limits: state.CallerLimits) -> bool:
        """Whether the head, or the whole request, is not received in time."""
        if self._head_since_ms is not None:
            return now_ms - self._head_since_ms > limits.header_ms
        request = self._partial_request
        if request is None:
            return False
        if self._answer_task is not None or self._read_paused:
            # The caller may wait for the reply to an earlier request.
            request.begun_ms = now_ms
            return False
        stated_ms = self._callbacks.stated_ms(tuple(request.headers))
        limit_ms = _caller_request.time_limit_ms(stated_ms, limits)
        return now_ms - request.begun_ms > limit_ms

    def close_if_idle(self) -> None:
        """Close the connection if no request or reply is in progress.

        A connection with unsent bytes stays open: its caller is still
        reading a reply that does not state ``Connection: close``, and may
        send another request.  A lingering connection closes by itself.
        """
        transport = self._connected_transport()
        if self._is_lingering or transport.get_write_buffer_size():
            return
        if self._is_idle():
            transport.close()

    def abort(self) -> bool:
        """Abort the connection and the request that runs on it.

        Returns whether a request had no reply yet, or a reply was not sent
        completely.
        """
        transport = self._connected_transport()
        loses_reply = (
            not self._is_idle() or transport.get_write_buffer_size() > 0
        )
        transport.abort()
        return loses_reply

    # Replies.

    def _connected_transport(self) -> asyncio.Transport:
        assert self._transport is not None
        return self._transport

    def _answer_next(self) -> None:
        """Start the next queued request, unless one is running."""
        if (
            self._answer_task is not None
            or self._write_paused
            or not self._queued
        ):
            return
        request = self._queued.popleft()
        if len(self._queued) <= _PIPELINE_RESUME:
            self._resume_reading()
        self._answer_task = asyncio.create_task(self._answer_request(request))

    async def _answer_request(
        self, request: _caller_request.CallerRequest
    ) -> None:
        reply = await self._make_reply(request)
        if isinstance(reply, protocol.StreamedReply):
            is_complete = await self._write_pieces(request, reply)
            if not is_complete:
                self._answer_task = None
                # The missing last chunk shows that the reply is incomplete;
                # a reset could also destroy earlier replies.
                self._close_after_reply()
                return
        self._answer_task = None
        if self._connected_transport().is_closing():
            return
        is_last = self._is_last_reply(request)
        if isinstance(reply, protocol.HttpReply):
            self._write(_reply_encoding.encode(request, reply, is_last))
        if is_last:
            self._close_after_reply()
            return
        if self._is_idle():
            # A head that has begun is subject to its own limit instead.
            self._idle_since_ms = self._clock.now_ms()
            self._idle_limit_ms = self._callbacks.limits().idle_ms
        self._answer_next()
        self._send_continue()

    def _is_last_reply(self, request: _caller_request.CallerRequest) -> bool:
        """Return whether the connection ends after the reply to this request.

        It does not while another request is queued or partly read: that one
        was sent before the caller could know of the end and must be answered.
        """
        if not request.keep_alive:
            return True
        if self._queued or self._partial_request is not None:
            return False
        # Reading also ends after an Upgrade request.
        return self._reading_ended or self._callbacks.is_closing()

    async def _write_pieces(
        self,
        request: _caller_request.CallerRequest,
        reply: protocol.StreamedReply,
    ) -> bool:
        """Write a streamed reply piece by piece; return False if it failed."""
        self._write(_reply_encoding.encode_stream_head(reply))
        try:
            async with contextlib.aclosing(reply.pieces) as pieces:
                async for piece in pieces:
                    self._write(_reply_encoding.encode_chunk(piece))
        except Exception as error:
            self._metrics.add('http_handler_failures', interface='entry')
            path = request.path.decode('latin-1')
            _log.error('handler failed', path=path, why=repr(error))
            return False
        self._write(_reply_encoding.LAST_CHUNK)
        return True

    async def _make_reply(
        self, request: _caller_request.CallerRequest
    ) -> protocol.HttpReply | protocol.StreamedReply:
        if request.refusal is not None:
            return protocol.HttpReply(
                request.refusal.status, body=request.refusal.detail.encode()
            )
        path = request.path.decode('latin-1')
        is_pipelined.set(request.is_pipelined)
        try:
            return await self._callbacks.handle(
                request.method,
                path,
                tuple(request.headers),
                b''.join(request.body),
            )
        except Exception as error:
            # A failed handler must not stop the daemon.  It may have started
            # work, so the reply does not say that the request did not run.
            self._metrics.add('http_handler_failures', interface='entry')
            _log.error('handler failed', path=path, why=repr(error))
            return protocol.HttpReply(500, body=b'internal error, see the log')

    def _write(self, data: bytes) -> None:
        self._connected_transport().write(data)

    def _close_after_reply(self) -> None:
        """Close after the last reply; discard what still arrives."""
        self._queued.clear()
        self._reading_ended = True
        self._is_lingering = True
        self._discarded_bytes = 0
        self._resume_reading()
        transport = self._connected_transport()
        with contextlib.suppress(OSError):
            # The caller may have reset the connection.
            transport.write_eof()
        self._clock.after(LINGER_MS, self._end_lingering)

    def _end_lingering(self) -> None:
        """Close once everything written has been sent."""
        transport = self._connected_transport()
        if transport.get_write_buffer_size():
            self._clock.after(LINGER_MS, self._end_lingering)
            return
        transport.close()
