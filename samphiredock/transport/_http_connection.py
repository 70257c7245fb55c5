"""One HTTP connection to a target, on which one exchange runs at a time.

The HTTP library's client hides three things that decide whether an answer
is whole and belongs to its request: whether a body without a length ended
with its connection or was reset, what came after an answer, and what came
while nothing was asked.  So the connection is kept here, around the
library's kin that only parses.
"""

import asyncio
import dataclasses
import socket
import typing

import httptools

from samphiredock import protocol
from samphiredock.transport import _link_errors

_REPLY_LIMIT_BYTES = 16 * 1024 * 1024
"""Answers of targets are some kilobytes; more would fill the memory."""

_LEAST_WAIT_MS = 1.0

_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
"""A peer that lost power never closes its connections.  Probes of the
kernel find that within about 4 s, before the connection is used again."""

_Kind = _link_errors.LinkErrorKind


@dataclasses.dataclass(frozen=True, slots=True)
class Exchanged:
    """One answer, and whether its connection may carry another request.

    ``keep_ms`` is how long the target keeps an idle connection, None if it
    does not say.
    """

    reply: protocol.HttpReply
    reusable: bool
    keep_ms: float | None


OnChunk = typing.Callable[[bytes], None]
"""Takes each chunk of an answer that is sent in chunks, when it has come."""


class _ReplyReader:
    """Callbacks of the parser: the answers on one connection, in order."""

    def __init__(
        self,
        method: str,
        is_reply: typing.Callable[[protocol.HttpReply], bool],
        on_chunk: OnChunk | None,
    ) -> None:
        self._method = method
        self._is_reply = is_reply
        self._on_chunk = on_chunk
        self._parser = httptools.HttpResponseParser(self)
        self._size = 0
        self._begin()
        self.found: protocol.HttpReply | None = None
        self.reusable = True
        self.others = 0

    def _begin(self) -> None:
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._framed = False
        self._in_body = False

    def feed(self, data: bytes) -> None:
        """Take in bytes; raises what the parser raises."""
        self._size += len(data)
        if self._size > _REPLY_LIMIT_BYTES:
            raise httptools.HttpParserError('the answer is too large')
        self._parser.feed_data(data)

    def feed_end(self) -> None:
        """The target has closed the connection in order."""
        self.reusable = False
        if self._in_body and not self._framed and self.found is None:
            self._complete()

    def on_message_begin(self) -> None:
        """Part of the parser's interface."""
        if self.found is not None:
            # Nobody asked for this one: the connection is out of step.
            self.reusable = False
        self._begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Part of the parser's interface."""
        key = name.decode('latin-1')
        self._headers.append((key, value.decode('latin-1')))
        if key.lower() in ('content-length', 'transfer-encoding'):
            self._framed = True

    def on_headers_complete(self) -> None:
        """Part of the parser's interface."""
        self._in_body = True
        if self._method == 'HEAD':
            # The parser would wait for the body that the length announces.
            self.reusable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Part of the parser's interface."""
        self._body.append(body)

    def on_chunk_complete(self) -> None:
        """Part of the parser's interface."""
        if self._on_chunk is None or self.found is not None or not self._body:
            return
        chunk = b''.join(self._body)
        self._body = []
        head = protocol.HttpReply(
            self._parser.get_status_code(), tuple(self._headers)
        )
        if self._is_reply(head):
            self._on_chunk(chunk)

    def on_message_complete(self) -> None:
        """Part of the parser's interface."""
        self._complete()

    def _complete(self) -> None:
        self._in_body = False
        if self.found is not None:
            return
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            return
        reply = protocol.HttpReply(
            status, tuple(self._headers), b''.join(self._body)
        )
        if not self._is_reply(reply):
            # The late answer to an earlier request; ours follows it.
            self.others += 1
            return
        self.found = reply
        if not self._parser.should_keep_alive():
            self.reusable = False


class HttpConnection(asyncio.Protocol):
    """One connection; made by :func:`open_connection`."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._reader: _ReplyReader | None = None
        self._waiter: asyncio.Future | None = None
        self._closed = False

    @property
    def is_open(self) -> bool:
        """Whether another exchange may be tried."""
        return not self._closed

    # Part of asyncio's interface.

    def connection_made(self, connection: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = typing.cast(asyncio.Transport, connection)
        _set_keepalive(connection.get_extra_info('socket'))

    def data_received(self, data: bytes) -> None:
        """Take in a part of an answer, or bytes that nobody asked for."""
        if self._reader is None:
            self.close()
            return
        try:
            self._reader.feed(data)
        except httptools.HttpParserError as error:
            self._reader.reusable = False
            if self._reader.found is None:
                self._fail(_Kind.BAD_ANSWER, str(error) or repr(error))
                return
        if self._reader.found is not None:
            self._succeed()

    def eof_received(self) -> bool:
        """The target has closed its side in order."""
        if self._reader is not None:
            self._reader.feed_end()
            if self._reader.found is not None:
                self._succeed()
        self._closed = True
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is gone; a body without a length is not whole."""
        self._closed = True
        self._fail(_Kind.BROKEN, type(error).__name__ if error else 'closed')

    # Exchanges.

    async def exchange(
        self,
        request: protocol.HttpRequest,
        is_reply: typing.Callable[[protocol.HttpReply], bool],
        timeout_ms: float,
        on_chunk: OnChunk | None = None,
    ) -> Exchanged | _link_errors.LinkError:
        """Send a request and wait for its answer; cancelling closes.

        With ``on_chunk`` the chunks of the answer are given to it, and are
        not in the body of what is returned.
        """
        transport = self._transport
        if transport is None or self._closed:
            return _link_errors.LinkError(_Kind.UNREACHABLE, 'closed before')
        self._reader = _ReplyReader(request.method, is_reply, on_chunk)
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        transport.write(_encode(request))
        # A timer of its own: a context of asyncio around each of thousands
        # of exchanges a second costs several times as much.
        timer = loop.call_later(
            max(_LEAST_WAIT_MS, timeout_ms) / 1000.0,
            self._fail,
            _Kind.SILENT,
            f'no answer in {timeout_ms:.0f} ms',
        )
        ended = False
        try:
            outcome = await self._waiter
            ended = isinstance(outcome, Exchanged) and outcome.reusable
            return outcome
        finally:
            timer.cancel()
            self._reader = None
            self._waiter = None
            if not ended:
                self.close()

    def close(self) -> None:
        """Close the connection, and with it what runs on it."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    def _succeed(self) -> None:
        reader, transport = self._reader, self._transport
        if self._waiter is None or self._waiter.done():
            # More came with or after the answer, before it was taken.
            return
        assert reader is not None and transport is not None
        # A rest of the request that is still unsent would be read by the
        # target in front of the next one.
        flushed = transport.get_write_buffer_size() == 0
        reply = reader.found
        self._waiter.set_result(
            Exchanged(reply, reader.reusable and flushed, _keep_ms(reply))
        )

    def _fail(self, kind: _link_errors.LinkErrorKind, detail: str) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(_link_errors.LinkError(kind, detail))


async def open_connection(address: str) -> HttpConnection:
    """Connect to ``IP:port``; raises ``OSError``."""
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    _, channel = await loop.create_connection(HttpConnection, host, int(port))
    return channel


def _set_keepalive(connection: socket.socket) -> None:
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    )
    for level, option, value in options:
        connection.setsockopt(level, option, value)


def _encode(request: protocol.HttpRequest) -> bytes:
    lines = [f'{request.method} {request.path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in request.headers]
    if request.body or request.method not in ('GET', 'HEAD', 'DELETE'):
        lines.append(f'Content-Length: {len(request.body)}')
    head = '\r\n'.join(lines) + '\r\n\r\n'
    return head.encode('latin-1') + request.body


def _keep_ms(reply: protocol.HttpReply) -> float | None:
    """Return the timeout that a ``Keep-Alive`` header states."""
    value = reply.header('Keep-Alive') or ''
    for item in value.split(','):
        key, _, text = item.strip().partition('=')
        if key.lower() == 'timeout' and text.isdigit():
            return float(text) * 1000.0
    return None
