"""Ways in which a peer writes bytes without end."""

Way = tuple[bytes, bytes]
"""What a peer writes once, and what it then repeats."""

_OK = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = _OK + b'Request-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n'
_REPLY = _OK + b'Request-Id: a\r\nContent-Length: 2\r\n\r\nok'
_POST = b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'

ORDINARY: Way = (_REPLY, b'')

REPLIES: dict[str, Way] = {
    'an ordinary reply': ORDINARY,
    'header lines': (_OK, b'A: b\r\n'),
    'trailers': (_CHUNKED + b'1\r\nx\r\n0\r\n', b'A: b\r\n'),
    'replies to others': (b'', _REPLY.replace(b'Id: a', b'Id: z')),
    'chunks of one byte': (_CHUNKED, b'1\r\nx\r\n'),
    'a chunk extension': (_CHUNKED + b'1;', b'x'),
    'interim replies': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'one header value': (_OK + b'A: ', b'b'),
    'blank lines': (b'', b'\r\n'),
    'no reply': (b'', b'\x00\xff'),
    'a body without a length': (_OK + b'Request-Id: a\r\n\r\n', b'x'),
    'a body with a length': (
        _OK + b'Request-Id: a\r\nContent-Length: 99999999999\r\n\r\n',
        b'x',
    ),
}
"""Replies to a request with the id ``a``."""

REQUESTS: dict[str, Way] = {
    'an ordinary request': (b'GET / HTTP/1.1\r\nHost: h\r\n\r\n', b''),
    'trailers': (_POST + b'1\r\nx\r\n0\r\n', b'A: b\r\n'),
    'one trailer': (_POST + b'1\r\nx\r\n0\r\nA: ', b'b'),
    'a chunk extension': (_POST + b'1;', b'x'),
    'chunks of one byte': (_POST, b'1\r\nx\r\n'),
    'header lines': (b'GET / HTTP/1.1\r\n', b'A: b\r\n'),
    'one header value': (b'GET / HTTP/1.1\r\nA: ', b'b'),
    'a target': (b'GET /', b'x'),
    'a method': (b'', b'G'),
    'blank lines': (b'', b'\r\n'),
    'a body': (
        b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999999999\r\n\r\n',
        b'x',
    ),
    'chunks of 64 kB': (_POST, b'10000\r\n' + b'x' * 65_536 + b'\r\n'),
}
"""Requests of a caller."""
