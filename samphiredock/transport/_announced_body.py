"""Reads the body of a request whose head ended the parser's message.

If the head asks for a change of protocol, the parser takes what follows for
the other protocol, the body included.  None is supported here, so the body
still follows as HTTP/1.1.
"""

import typing

import httptools

from samphiredock import protocol

_FRAMING_HEADERS = ('content-length', 'transfer-encoding')


class BodyCallbacks(typing.Protocol):
    """What the parser of a body calls."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a trailer."""

    def on_chunk_header(self) -> None:
        """Handle the beginning of a chunk."""

    def on_body(self, part: bytes) -> None:
        """Handle a part of the body."""

    def on_message_complete(self) -> None:
        """Handle the end of the body."""


class _BodyReader:
    """Passes on what the parser finds behind a head; called by it."""

    def __init__(self, callbacks: BodyCallbacks) -> None:
        self._callbacks = callbacks
        self._is_in_body = False
        self.on_chunk_header = callbacks.on_chunk_header
        self.on_body = callbacks.on_body
        self.on_message_complete = callbacks.on_message_complete

    def on_headers_complete(self) -> None:
        """Begin the body."""
        self._is_in_body = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Pass on a trailer."""
        if self._is_in_body:
            self._callbacks.on_header(name, value)


def parser_of_body(
    headers: protocol.Headers, callbacks: BodyCallbacks
) -> httptools.HttpRequestParser:
    """Return a parser that goes on where the body of a request begins.

    Raises ``httptools.HttpParserError`` if the headers announce no valid body.
    """
    framing = [
        f'{name}: {value}\r\n'
        for name, value in headers
        if name.lower() in _FRAMING_HEADERS
    ]
    head = f'POST / HTTP/1.1\r\n{"".join(framing)}\r\n'
    parser = httptools.HttpRequestParser(_BodyReader(callbacks))
    parser.feed_data(head.encode('latin-1'))
    return parser
