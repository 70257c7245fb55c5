"""Encoding of replies to callers as HTTP/1.1."""

import http

from samphiredock import protocol
from samphiredock.transport import _caller_request

LAST_CHUNK = b'0\r\n\r\n'

_BODILESS = frozenset({204, 304})


def _head_lines(
    reply: protocol.HttpReply | protocol.StreamedReply,
) -> list[str]:
    lines = [f'HTTP/1.1 {reply.status} {_phrase(reply.status)}']
    return lines + [f'{name}: {value}' for name, value in reply.headers]


def encode_stream_head(reply: protocol.StreamedReply) -> bytes:
    """Return the head of a reply whose body is sent in chunks."""
    lines = [*_head_lines(reply), 'Transfer-Encoding: chunked']
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n'


def encode(
    request: _caller_request.CallerRequest,
    reply: protocol.HttpReply,
    is_last: bool,
) -> bytes:
    """Return a whole reply; ``is_last`` says that its connection ends."""
    lines = _head_lines(reply)
    body = reply.body
    if request.method == 'HEAD' or reply.status in _BODILESS:
        body = b''
    else:
        lines.append(f'Content-Length: {len(body)}')
    if is_last:
        lines.append('Connection: close')
    elif request.version == '1.0':
        lines.append('Connection: keep-alive')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


def encode_chunk(piece: bytes) -> bytes:
    """Return one chunk of a reply."""
    return b'%x\r\n%b\r\n' % (len(piece), piece)


def _phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'
