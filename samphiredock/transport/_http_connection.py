"""One HTTP/1.1 connection to a target, for one exchange at a time.

It is built on ``httptools``, which only parses.  aiohttp's client does not
show what decides whether a reply is complete and belongs to its request:
whether a body without a length ended with a close or a reset, and which bytes
arrived after a reply or while no request was pending.
"""

import asyncio
import dataclasses
import socket
import ssl
import struct
import typing

import httptools

from samphiredock import protocol
from samphiredock.transport import _link_errors
from samphiredock.transport import _reply_limits

_buffered = _reply_limits.BufferedBytes()

_MIN_TIMEOUT_MS = 1.0

_PROBE_IDLE_S = 2
_PROBE_INTERVAL_S = 1
_PROBE_COUNT = 2
"""A host that lost power never closes its connections.  The kernel's
keepalive probes detect that within about 4 s and close them here."""

DELIVERY_LIMIT_MS = 1_500
"""Bytes that are not acknowledged within this time are never delivered: the
kernel drops them with their connection.  Otherwise a request could reach its
target when a partition heals, long after its daemon gave it up."""

_LINGER = struct.Struct('ii')
"""The ``struct linger`` of the socket API: whether, and for how many s."""

_Kind = _link_errors.LinkErrorKind


@dataclasses.dataclass(frozen=True, slots=True)
class CompletedExchange:
    """A reply, and whether its connection may carry another request.

    ``keepalive_ms`` is the idle timeout that the target states in its
    ``Keep-Alive`` header, None if it states none.
    """

    reply: protocol.HttpReply
    reusable: bool
    keepalive_ms: float | None


OnChunk = typing.Callable[[bytes], None]
"""Called with each chunk of a reply in chunked encoding as it arrives."""


class _ReplyReader:
    """Parses the bytes received during one exchange and finds its reply.

    ``found`` is that reply once it is complete; ``reusable`` is False if the
    connection must not carry another exchange.  With ``may_be_late`` the
    connection has carried another request before.  The ``on_`` methods are
    called by ``httptools``.
    """

    def __init__(
        self,
        method: str,
        is_reply: typing.Callable[[protocol.HttpReply], bool],
        on_chunk: OnChunk | None,
        may_be_late: bool,
    ) -> None:
        self._method = method
        self._may_be_late = may_be_late
        self._is_reply = is_reply
        self._on_chunk = on_chunk
        self._parser = httptools.HttpResponseParser(self)
        self._meter = _reply_limits.ReplyMeter(_buffered)
        self._begin()
        self.found: protocol.HttpReply | None = None
        self.reusable = True

    def _begin(self) -> None:
        self._meter.begin_reply()
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._has_framing = False
        self._in_body = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises ``httptools.HttpParserError`` if they are not HTTP, or
        ``LimitExceeded``.
        """
        self._meter.on_received(len(data))
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, _reply_limits.LimitExceeded):
                raise error.__context__ from None
            raise

    def close(self) -> None:
        """Drop what was received."""
        self._meter.release()

    def feed_end(self) -> None:
        """Handle EOF: the target closed the connection without a reset."""
        self.reusable = False
        if self._in_body and not self._has_framing and self.found is None:
            self._complete()

    def on_message_begin(self) -> None:
        """Begin a reply."""
        if self.found is not None:
            # A second reply has arrived, which a later request would take
            # for its own.
            self.reusable = False
            raise _reply_limits.LimitExceeded('a second reply')
        self._begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; note whether it delimits the body.

        A trailer, which comes after the body, is dropped: it must not change
        what the headers have said (RFC 9110).
        """
        self._meter.on_header(name, value)
        if self._in_body:
            return
        key = name.decode('latin-1')
        self._headers.append((key, value.decode('latin-1')))
        if key.lower() in ('content-length', 'transfer-encoding'):
            self._has_framing = True

    def on_headers_complete(self) -> None:
        """Begin the body; complete a reply to HEAD, which has none."""
        self._in_body = True
        self._meter.on_headers_complete()
        if self._method == 'HEAD':
            # The parser would wait for the body that the Content-Length of
            # a reply to HEAD announces but that is not sent.
            self.reusable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._meter.on_body(len(body))
        self._body.append(body)

    def on_chunk_header(self) -> None:
        """Count a chunk."""
        self._meter.on_chunk()

    def on_chunk_complete(self) -> None:
        """Pass a chunk of the awaited reply to ``on_chunk``."""
        if self._on_chunk is None or self.found is not None or not self._body:
            return
        chunk = b''.join(self._body)
        self._body = []
        self._meter.release()
        if self._is_reply(self._make_reply(b'')):
            self._on_chunk(chunk)

    def on_message_complete(self) -> None:
        """Complete the reply."""
        self._complete()

    def _make_reply(self, body: bytes) -> protocol.HttpReply:
        return protocol.HttpReply(
            self._parser.get_status_code(),
            tuple(self._headers),
            body,
            self._may_be_late,
        )

    def _complete(self) -> None:
        self._in_body = False
        if self.found is not None:
            return
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            self._meter.on_interim()
            return
        reply = self._make_reply(b''.join(self._body))
        if not self._is_reply(reply):
            # A late reply to an earlier request; the right one follows it.
            self._meter.on_skipped()
            return
        self.found = reply
        if not self._parser.should_keep_alive():
            self.reusable = False


class HttpConnection(asyncio.Protocol):
    """One connection; opened by :func:`open_connection`."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._reader: _ReplyReader | None = None
        self._waiter: asyncio.Future | None = None
        self._closed = False
        self._is_used = False
        # By request id: until when another attempt may be made, in s.
        self._carried_until_s: dict[str, float] = {}

    @property
    def is_open(self) -> bool:
        """Whether another exchange may be started."""
        return not self._closed

    def has_carried(self, request_id: str) -> bool:
        """Return whether an earlier attempt of a request was sent here.

        The next reply with this id could be a late second one to the earlier
        attempt.  Ids are kept until the timeout of their exchange, which is
        the deadline of all attempts.
        """
        return request_id in self._carried_until_s

    def _record_carried(self, request_id: str, ends_s: float) -> None:
        now_s = asyncio.get_running_loop().time()
        carried = self._carried_until_s
        while carried:
            oldest = next(iter(carried))
            if carried[oldest] > now_s:
                break
            del carried[oldest]
        if request_id:
            carried[request_id] = ends_s

    # asyncio.Protocol callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the options of its socket."""
        self._transport = typing.cast(asyncio.Transport, transport)
        _set_socket_options(transport.get_extra_info('socket'))

    def data_received(self, data: bytes) -> None:
        """Parse a part of a reply.

        Bytes outside of an exchange close the connection: the next request
        would take them for its reply.
        """
        if self._reader is None:
            self.close()
            return
        try:
            self._reader.feed(data)
        except (
            httptools.HttpParserError,
            # No request asks for another protocol.
            httptools.HttpParserUpgrade,
            _reply_limits.LimitExceeded,
        ) as error:
            self._reader.reusable = False
            if self._reader.found is None:
                self._fail(_Kind.BAD_ANSWER, str(error) or repr(error))
                return
        if self._reader.found is not None:
            self._succeed()

    def eof_received(self) -> bool:
        """Handle the target closing its side without a reset."""
        if self._reader is not None:
            self._reader.feed_end()
            if self._reader.found is not None:
                self._succeed()
        self._closed = True
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the running exchange.

        A body without a length that ended with a reset is incomplete.
        """
        self._closed = True
        self._fail(_Kind.BROKEN, type(error).__name__ if error else 'closed')

    # Exchanges.

    async def exchange(
        self,
        request: protocol.HttpRequest,
        is_reply: typing.Callable[[protocol.HttpReply], bool],
        timeout_ms: float,
        on_chunk: OnChunk | None = None,
    ) -> CompletedExchange | _link_errors.LinkError:
        """Send a request and return its reply.

        ``is_reply`` returns whether a reply belongs to the request; others
        are skipped.  With ``on_chunk``, the chunks of the reply are passed
        to it and are not in the returned body.  The connection is closed if
        the exchange fails or is cancelled.
        """
        transport = self._transport
        if transport is None or self._closed:
            return _link_errors.LinkError(
                _Kind.UNREACHABLE,
                'connection closed before the request was sent',
            )
        self._reader = _ReplyReader(
            request.method, is_reply, on_chunk, self._is_used
        )
        self._is_used = True
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        ends_s = loop.time() + max(_MIN_TIMEOUT_MS, timeout_ms) / 1000.0
        self._record_carried(request.request_id, ends_s)
        transport.write(_encode(request))
        # Cheaper than asyncio.timeout() around each exchange.
        timer = loop.call_at(
            ends_s,
            self._fail,
            _Kind.SILENT,
            f'no reply in {timeout_ms:.0f} ms',
        )
        reusable = False
        try:
            outcome = await self._waiter
            reusable = (
                isinstance(outcome, CompletedExchange) and outcome.reusable
            )
            return outcome
        finally:
            timer.cancel()
            if not reusable:
                self.close()
            self._reader.close()
            self._reader = None
            self._waiter = None

    def close(self) -> None:
        """Abort the connection and the exchange that runs on it."""
        self._closed = True
        if self._transport is not None:
            if self._waiter is not None:
                _reset_on_close(self._transport.get_extra_info('socket'))
            self._transport.abort()

    def _succeed(self) -> None:
        reader, transport = self._reader, self._transport
        if self._waiter is None or self._waiter.done():
            # More bytes arrived before exchange() took the result.
            return
        assert reader is not None and transport is not None
        # If the target replied before it had read the whole request, the
        # unsent rest would precede the next request.
        flushed = transport.get_write_buffer_size() == 0
        reply = reader.found
        self._waiter.set_result(
            CompletedExchange(
                reply, reader.reusable and flushed, _keepalive_ms(reply)
            )
        )

    def _fail(self, kind: _link_errors.LinkErrorKind, detail: str) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(_link_errors.LinkError(kind, detail))


async def open_connection(
    host: str, port: int, tls: ssl.SSLContext | None = None
) -> HttpConnection:
    """Connect to a server; raises ``OSError`` if that fails."""
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(
        HttpConnection, host, port, ssl=tls
    )
    return connection


def _set_socket_options(sock: socket.socket) -> None:
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBE_COUNT),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, DELIVERY_LIMIT_MS),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)


def _reset_on_close(sock: socket.socket) -> None:
    """Drop bytes that the peer has not received when the socket is closed.

    They would otherwise be delivered after the exchange has ended.
    """
    if sock.fileno() >= 0:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _LINGER.pack(1, 0)
        )


def _encode(request: protocol.HttpRequest) -> bytes:
    lines = [f'{request.method} {request.path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in request.headers]
    if request.body or request.method not in ('GET', 'HEAD', 'DELETE'):
        lines.append(f'Content-Length: {len(request.body)}')
    head = '\r\n'.join(lines) + '\r\n\r\n'
    return head.encode('latin-1') + request.body


def _keepalive_ms(reply: protocol.HttpReply) -> float | None:
    """Return the timeout in a reply's ``Keep-Alive`` header, if any."""
    value = reply.header('Keep-Alive') or ''
    for item in value.split(','):
        key, _, text = item.strip().partition('=')
        if key.lower() == 'timeout' and text.isdigit():
            return float(text) * 1000.0
    return None
