"""One connection of a caller whose requests are passed on.

Forwarding is this project's own work, so the connection is kept here, around
a library that only parses: what a caller sent must reach a target byte by
byte, and the general HTTP library would cost a daemon 160 to 250 ms of its
start and 14 MB (see ``docs/design/start.md``).
"""

import asyncio
import collections
import contextlib
import dataclasses
import http
import typing

import httptools

from samphiredock import logs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers

LINGER_MS = 500.0
"""How long bytes are still taken after the last answer of a connection has
left this process.  Closed with unread bytes the connection would be reset, and
what the caller has not read yet lost with it."""

_WAITING_LIMIT = 8
"""Requests that may wait on one connection; more are left in the socket."""

_RESUME_WAITING = 4
"""How many wait when reading goes on: read only after the last of them, what
is in the socket would come too late for a connection that ends with it."""

_HEAD_SLACK_BYTES = 65_536
"""What a head may exceed its limit by while it is read: it comes in pieces,
which may also hold the end of the request before it."""

_BAD_REQUEST = 400
_TIMED_OUT = 408
_TOO_LARGE_BODY = 413
_TOO_LARGE_HEAD = 431
_BODILESS = frozenset({204, 304})

_ASKS_FIRST = b'100-continue'
_GO_ON = b'HTTP/1.1 100 Continue\r\n\r\n'

_log = logs.logger('entry')

EntryHandler = typing.Callable[
    [str, str, protocol.Headers, bytes],
    typing.Awaitable[protocol.HttpReply | protocol.StreamedReply],
]
"""Answers one request, given its method, raw path, headers and body; it is
cancelled when the caller leaves."""

_LAST_CHUNK = b'0\r\n\r\n'


@dataclasses.dataclass(frozen=True, slots=True)
class EntryCallbacks:
    """What is behind one server.

    ``is_closing`` says that connections should end after the current
    answer, ``limits`` what callers may send now.
    """

    handle: EntryHandler
    is_closing: typing.Callable[[], bool]
    limits: typing.Callable[[], state.CallerLimits]


@dataclasses.dataclass(slots=True)
class _Request:
    """One request, while it is read and until it is answered.

    ``refusal`` is the status of one that is not handled: its connection
    ends with the answer, since what follows on it cannot be told.
    """

    method: str = ''
    version: str = '1.1'
    path: bytes = b''
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    head_bytes: int = 0
    body: list[bytes] = dataclasses.field(default_factory=list)
    body_bytes: int = 0
    keeps: bool = True
    asks_first: bool = False
    refusal: int = 0
    why: str = ''


class EntryConnection(asyncio.Protocol):
    """Reads requests, has each answered in turn, and writes the answers.

    Parameters
    ----------
    door
        What answers.
    counters
        The metrics of this daemon.
    clock
        The timers of this daemon.
    open_connections
        Holds this connection from when it is open until it is gone.
    """

    def __init__(
        self,
        door: EntryCallbacks,
        counters: metrics.Metrics,
        clock: timers.Timers,
        open_connections: set['EntryConnection'],
    ) -> None:
        self._door = door
        self._metrics = counters
        self._clock = clock
        self._open_connections = open_connections
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._waiting: collections.deque[_Request] = collections.deque()
        self._reading: _Request | None = None
        self._in_head = False
        self._unread_head = 0
        self._task: asyncio.Task | None = None
        self._write_paused = False
        self._read_paused = False
        self._ending = False
        self._lingers = False
        self._idle_since_ms: float | None = clock.now_ms()
        self._idle_limit_ms = door.limits().idle_ms
        self._head_since_ms: float | None = None

    # Part of asyncio's interface.

    def connection_made(self, connection: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = typing.cast(asyncio.Transport, connection)
        self._open_connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """The caller has left: nobody wants what is under way."""
        self._ending = True
        self._waiting.clear()
        if self._task is not None:
            self._task.cancel()
        self._open_connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Take in what the caller sends."""
        if self._ending:
            return
        self._idle_since_ms = None
        self._unread_head += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Other protocols are not spoken; what was asked is answered,
            # and what follows it belongs to none.
            self._end_reading()
        except httptools.HttpParserError as error:
            self._refuse(_BAD_REQUEST, str(error) or repr(error))
        if self._in_head or self._is_idle():
            self._await_head()
        self._next()

    def _is_idle(self) -> bool:
        """Whether no request is read, waits or is answered."""
        return not (self._task or self._waiting or self._reading)

    def _await_head(self) -> None:
        """The rest of a head is to come: bound its size and its time."""
        if self._head_since_ms is None:
            self._head_since_ms = self._clock.now_ms()
        limit = self._door.limits().header_bytes + _HEAD_SLACK_BYTES
        if self._unread_head > limit:
            self._refuse_head()

    def pause_writing(self) -> None:
        """The caller reads more slowly than it is answered."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """The caller has read enough of its answers."""
        self._write_paused = False
        self._next()

    # Part of the parser's interface.

    def on_message_begin(self) -> None:
        """A request begins; after a refusal none is taken."""
        if self._ending:
            return
        self._reading = _Request()
        self._in_head = True

    def on_url(self, part: bytes) -> None:
        """A part of the path, as it was sent."""
        if self._reading is not None:
            self._reading.path += part
            self._reading.head_bytes += len(part)

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        request = self._reading
        if request is None:
            return
        request.headers.append(
            (name.decode('latin-1'), value.decode('latin-1'))
        )
        request.head_bytes += len(name) + len(value) + 4
        if name.lower() == b'expect' and value.lower() == _ASKS_FIRST:
            request.asks_first = True
        elif name.lower() == b'content-length' and value.isdigit():
            request.body_bytes = int(value)

    def on_headers_complete(self) -> None:
        """The head is whole: refuse at once what is too large."""
        request = self._reading
        if request is None:
            return
        self._in_head = False
        self._unread_head = 0
        self._head_since_ms = None
        limits = self._door.limits()
        request.method = self._parser.get_method().decode('latin-1')
        request.version = self._parser.get_http_version()
        request.keeps = self._parser.should_keep_alive()
        if request.head_bytes > limits.header_bytes:
            self._refuse_head()
        elif request.body_bytes > limits.body_bytes:
            self._refuse_body()
        request.body_bytes = 0
        self._let_go_on()

    def _let_go_on(self) -> None:
        """Have a caller that holds its body back send it.

        Not before what came first is answered: the answers go in order.
        """
        request = self._reading
        if request is None or self._in_head or not request.asks_first:
            return
        if self._task is None and not self._waiting:
            request.asks_first = False
            self._write(_GO_ON)

    def on_body(self, part: bytes) -> None:
        """A part of the body."""
        request = self._reading
        if request is None:
            return
        request.body.append(part)
        request.body_bytes += len(part)
        if request.body_bytes > self._door.limits().body_bytes:
            self._refuse_body()

    def on_message_complete(self) -> None:
        """The request has been read whole."""
        request, self._reading = self._reading, None
        self._unread_head = 0
        if request is None:
            return
        self._waiting.append(request)
        if len(self._waiting) >= _WAITING_LIMIT and not self._read_paused:
            self._read_paused = True
            self._open_transport().pause_reading()

    # Refusals.

    def _refuse_head(self) -> None:
        limit = self._door.limits().header_bytes
        self._refuse(
            _TOO_LARGE_HEAD, f'expected a head of at most {limit} bytes'
        )

    def _refuse_body(self) -> None:
        limit = self._door.limits().body_bytes
        self._refuse(_TOO_LARGE_BODY, f'expected at most {limit} bytes')

    def _refuse(self, status: int, why: str) -> None:
        """Answer with an error, after what came before; read no more."""
        if self._ending:
            return
        self._metrics.add('http_errors', interface='entry', status=status)
        self._waiting.append(_Request(keeps=False, refusal=status, why=why))
        self._end_reading()

    def _end_reading(self) -> None:
        """Take no further request; those that came whole are answered."""
        self._ending = True
        self._reading = None

    # Time.

    def check(self, now_ms: float) -> None:
        """End a connection that is idle, or a head that does not come.

        An idle limit that has just become shorter does not hold for a
        caller that was answered before: its next request would cross the
        close.
        """
        limits = self._door.limits()
        if self._idle_since_ms is not None:
            limit_ms = max(self._idle_limit_ms, limits.idle_ms)
            if now_ms - self._idle_since_ms > limit_ms:
                self.close_if_idle()
        elif self._head_since_ms is not None:
            if now_ms - self._head_since_ms > limits.header_ms:
                self._refuse(_TIMED_OUT, 'the head did not come in time')
                self._next()

    def close_if_idle(self) -> None:
        """Close the connection unless something is under way on it.

        Until the caller has read an answer that did not say that it is the
        last one, it may send its next request.  One whose last answer is on
        its way closes by itself.
        """
        transport = self._open_transport()
        if self._lingers or transport.get_write_buffer_size():
            return
        if self._is_idle():
            transport.close()

    def abort(self) -> bool:
        """Close the connection, and with it what runs on it.

        Returns whether anything is lost: a request without an answer, or an
        answer that is not out yet.
        """
        transport = self._open_transport()
        loses = not self._is_idle() or transport.get_write_buffer_size() > 0
        transport.abort()
        return loses

    # Answers.

    def _open_transport(self) -> asyncio.Transport:
        assert self._transport is not None
        return self._transport

    def _next(self) -> None:
        """Answer the next request, unless one is being answered."""
        if self._task is not None or self._write_paused or not self._waiting:
            return
        request = self._waiting.popleft()
        if self._read_paused and len(self._waiting) <= _RESUME_WAITING:
            self._read_paused = False
            self._open_transport().resume_reading()
        self._task = asyncio.create_task(self._answer(request))

    async def _answer(self, request: _Request) -> None:
        reply = await self._reply_to(request)
        if isinstance(reply, protocol.StreamedReply):
            whole = await self._write_pieces(request, reply)
            if not whole:
                self._task = None
                # The last chunk is missing, so that it does not look whole;
                # a reset would take the answers before it as well.
                self._finish()
                return
        self._task = None
        if self._open_transport().is_closing():
            return
        ends = self._ends_with(request)
        if isinstance(reply, protocol.HttpReply):
            self._write(_encode(request, reply, ends))
        if ends:
            self._finish()
            return
        if self._is_idle():
            # Else a head that has begun would be under the idle limit.
            self._idle_since_ms = self._clock.now_ms()
            self._idle_limit_ms = self._door.limits().idle_ms
        self._next()
        self._let_go_on()

    def _ends_with(self, request: _Request) -> bool:
        """Whether this answer is the last one of its connection.

        What waits or is half read came before the caller could learn of the
        end, and would be left without an answer.
        """
        if not request.keeps:
            return True
        if self._waiting or self._reading is not None:
            return False
        # After a change of protocol nothing more is read.
        return self._ending or self._door.is_closing()

    async def _write_pieces(
        self, request: _Request, reply: protocol.StreamedReply
    ) -> bool:
        """Write an answer while it is made; False if it broke off."""
        self._write(_encode_stream_head(reply))
        try:
            async with contextlib.aclosing(reply.pieces) as pieces:
                async for piece in pieces:
                    self._write(b'%x\r\n%b\r\n' % (len(piece), piece))
        except Exception as error:
            self._metrics.add('http_handler_failures', interface='entry')
            path = request.path.decode('latin-1')
            _log.error('handler failed', path=path, why=repr(error))
            return False
        self._write(_LAST_CHUNK)
        return True

    async def _reply_to(
        self, request: _Request
    ) -> protocol.HttpReply | protocol.StreamedReply:
        if request.refusal:
            return protocol.HttpReply(
                request.refusal, body=request.why.encode()
            )
        path = request.path.decode('latin-1')
        try:
            return await self._door.handle(
                request.method,
                path,
                tuple(request.headers),
                b''.join(request.body),
            )
        except Exception as error:
            # One broken request must not take the daemon with it; what it
            # had started is not known here, so nothing is promised.
            self._metrics.add('http_handler_failures', interface='entry')
            _log.error('handler failed', path=path, why=repr(error))
            return protocol.HttpReply(500, body=b'internal error, see the log')

    def _write(self, data: bytes) -> None:
        self._open_transport().write(data)

    def _finish(self) -> None:
        """Close once the answer is out, and what still comes is dropped."""
        self._waiting.clear()
        self._ending = True
        self._lingers = True
        transport = self._open_transport()
        if self._read_paused:
            self._read_paused = False
            transport.resume_reading()
        with contextlib.suppress(OSError):
            # The caller may have reset the connection a moment ago.
            transport.write_eof()
        self._clock.after(LINGER_MS, self._end_lingering)

    def _end_lingering(self) -> None:
        """Close, unless the caller still reads what was written."""
        transport = self._open_transport()
        if transport.get_write_buffer_size():
            self._clock.after(LINGER_MS, self._end_lingering)
            return
        transport.close()


def _head_lines(
    reply: protocol.HttpReply | protocol.StreamedReply,
) -> list[str]:
    lines = [f'HTTP/1.1 {reply.status} {_phrase(reply.status)}']
    return lines + [f'{name}: {value}' for name, value in reply.headers]


def _encode_stream_head(reply: protocol.StreamedReply) -> bytes:
    lines = [*_head_lines(reply), 'Transfer-Encoding: chunked']
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n'


def _encode(request: _Request, reply: protocol.HttpReply, ends: bool) -> bytes:
    lines = _head_lines(reply)
    body = reply.body
    if request.method == 'HEAD' or reply.status in _BODILESS:
        body = b''
    else:
        lines.append(f'Content-Length: {len(body)}')
    if ends:
        lines.append('Connection: close')
    elif request.version == '1.0':
        lines.append('Connection: keep-alive')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


def _phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'
