"""The HTTP server for callers whose requests are passed on."""

import asyncio
import dataclasses
import functools
import typing

from aiohttp import web
import multidict

from samphiredock import logs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state

KEEP_IDLE_S = 75.0
"""How long an idle connection is kept.  Longer than callers reuse one, so
that no request crosses the close of its connection."""

_LINE_LIMIT_BYTES = 1_048_576
"""Bound on a request line or header while it is read; the limit in force is
checked when the head is whole, since it changes with the configuration.  The
library's own bound, 8 KB, would refuse what that limit allows."""

_TOO_LARGE_HEAD_STATUS = 431

_TOO_LARGE_BODY_STATUS = 413

_ASKS_FIRST = '100-continue'
_GO_ON = b'HTTP/1.1 100 Continue\r\n\r\n'

_log = logs.logger('entry')

Handle = typing.Callable[
    [str, str, protocol.Headers, bytes],
    typing.Awaitable[protocol.HttpReply],
]
"""Answers one request, given its method, raw path, headers and body; it is
cancelled when the caller leaves."""


@dataclasses.dataclass(frozen=True, slots=True)
class Door:
    """What is behind one server.

    ``is_closing`` says that connections should end after the current
    answer, ``limits`` what callers may send now.
    """

    handle: Handle
    is_closing: typing.Callable[[], bool]
    limits: typing.Callable[[], state.CallerLimits]


def entry_server(door: Door, counters: metrics.Metrics) -> web.Server:
    """Return a server that answers every request by ``door``."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        reply = await _reply_to(request, door, counters)
        response = web.Response(
            status=reply.status,
            headers=multidict.CIMultiDict(reply.headers),
            body=reply.body,
        )
        if door.is_closing():
            response.force_close()
        return response

    return web.Server(
        handle,
        access_log=None,
        handler_cancellation=True,
        keepalive_timeout=KEEP_IDLE_S,
        max_line_size=_LINE_LIMIT_BYTES,
        max_field_size=_LINE_LIMIT_BYTES,
        auto_decompress=False,
        request_factory=functools.partial(_make_request, door),
    )


def _make_request(
    door: Door,
    message: typing.Any,
    payload: typing.Any,
    server_protocol: typing.Any,
    writer: typing.Any,
    task: asyncio.Task,
) -> web.BaseRequest:
    return web.BaseRequest(
        message,
        payload,
        server_protocol,
        writer,
        task,
        asyncio.get_running_loop(),
        client_max_size=door.limits().body_bytes,
    )


async def _reply_to(
    request: web.BaseRequest, door: Door, counters: metrics.Metrics
) -> protocol.HttpReply:
    limit = door.limits().header_bytes
    size = sum(
        len(name) + len(value) + 4 for name, value in request.raw_headers
    )
    if size + len(request.raw_path) > limit:
        counters.add(
            'http_errors', interface='entry', status=_TOO_LARGE_HEAD_STATUS
        )
        return protocol.HttpReply(
            _TOO_LARGE_HEAD_STATUS,
            body=f'expected a head of at most {limit} bytes'.encode(),
        )
    if request.headers.get('Expect', '').lower() == _ASKS_FIRST:
        if (request.content_length or 0) > door.limits().body_bytes:
            return _too_large(door, counters)
        if request.transport is not None:
            # The caller holds its body back until it is told to go on.
            request.transport.write(_GO_ON)
    try:
        body = await request.read()
    except web.HTTPRequestEntityTooLarge:
        return _too_large(door, counters)
    headers = tuple(
        (name.decode('latin-1'), value.decode('latin-1'))
        for name, value in request.raw_headers
    )
    try:
        return await door.handle(
            request.method, request.raw_path, headers, body
        )
    except Exception as error:
        # One broken request must not take the daemon with it; what it had
        # started is not known here, so nothing is promised.
        counters.add('http_handler_failures', interface='entry')
        _log.error('handler failed', path=request.path, why=repr(error))
        return protocol.HttpReply(500, body=b'internal error, see the log')


def _too_large(door: Door, counters: metrics.Metrics) -> protocol.HttpReply:
    counters.add(
        'http_errors', interface='entry', status=_TOO_LARGE_BODY_STATUS
    )
    limit = door.limits().body_bytes
    return protocol.HttpReply(
        _TOO_LARGE_BODY_STATUS, body=f'expected at most {limit} bytes'.encode()
    )
