"""The HTTP server for callers whose requests are passed on."""

import asyncio
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

_log = logs.logger('entry')

Outcome = protocol.HttpReply


class Entry(typing.Protocol):
    """What is behind the server."""

    async def handle(
        self,
        method: str,
        path: str,
        headers: protocol.Headers,
        body: bytes,
    ) -> protocol.HttpReply:
        """Answer one request; cancelled when its caller leaves."""

    def is_closing(self) -> bool:
        """Whether connections should end after the current answer."""

    def limits(self) -> state.CallerLimits:
        """What callers may send now."""


def entry_server(entry: Entry, counters: metrics.Metrics) -> web.Server:
    """Return a server that answers every request by ``entry``."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        reply = await _reply_to(request, entry, counters)
        response = web.Response(
            status=reply.status,
            headers=multidict.CIMultiDict(reply.headers),
            body=reply.body,
        )
        if entry.is_closing():
            response.force_close()
        return response

    return web.Server(
        handle,
        access_log=None,
        handler_cancellation=True,
        keepalive_timeout=KEEP_IDLE_S,
        request_factory=functools.partial(_make_request, entry),
    )


def _make_request(
    entry: Entry,
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
        client_max_size=entry.limits().body_bytes,
    )


async def _reply_to(
    request: web.BaseRequest, entry: Entry, counters: metrics.Metrics
) -> protocol.HttpReply:
    try:
        body = await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        counters.add('http_errors', interface='entry', status=error.status)
        limit = entry.limits().body_bytes
        return protocol.HttpReply(
            error.status, body=f'expected at most {limit} bytes'.encode()
        )
    headers = tuple(
        (name.decode('latin-1'), value.decode('latin-1'))
        for name, value in request.raw_headers
    )
    try:
        return await entry.handle(
            request.method, request.raw_path, headers, body
        )
    except Exception as error:
        # One broken request must not take the daemon with it; what it had
        # started is not known here, so nothing is promised.
        counters.add('http_handler_failures', interface='entry')
        _log.error('handler failed', path=request.path, why=repr(error))
        return protocol.HttpReply(500, body=b'internal error, see the log')
