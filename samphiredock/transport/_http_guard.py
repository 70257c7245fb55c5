"""Error handling and checks shared by the caller and operator interfaces."""

import typing

from aiohttp import web

from samphiredock import logs
from samphiredock import metrics

JSON_TYPE = 'application/json'

_JSON_TYPES = (JSON_TYPE, 'application/octet-stream')
"""aiohttp reports ``application/octet-stream`` if no type is stated."""

_DISCONNECTS = (ConnectionError, web.RequestPayloadError)
_CLIENT_CLOSED_STATUS = 400
_INTERNAL_STATUS = 500

_log = logs.logger('http')

ErrorBody = typing.Callable[[int, str], bytes]
_Handler = typing.Callable[[web.Request], typing.Awaitable[web.StreamResponse]]


def error_middleware(
    counters: metrics.Metrics, interface: str, error_body: ErrorBody
) -> typing.Callable:
    """Return a middleware that answers each error with a JSON body.

    Parameters
    ----------
    counters
        Counts errors by interface and status.
    interface
        ``callers`` or ``operators``.
    error_body
        Returns the response body for an HTTP status and a description of
        the error.
    """

    def error_response(status: int, detail: str) -> web.Response:
        counters.add('http_errors', interface=interface, status=status)
        return web.Response(
            status=status,
            body=error_body(status, detail),
            content_type=JSON_TYPE,
        )

    @web.middleware
    async def handle_errors(
        request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        try:
            return await handler(request)
        except web.HTTPException as error:
            return error_response(error.status, _detail(request, error))
        except _DISCONNECTS:
            # The body is incomplete, so nothing was started.  The caller is
            # gone and will not read this response.
            counters.add('http_disconnects', interface=interface)
            return error_response(
                _CLIENT_CLOSED_STATUS, 'the body ended early'
            )
        except Exception as error:
            # A failed handler must not stop the daemon.
            counters.add('http_handler_failures', interface=interface)
            _log.error('handler failed', path=request.path, why=repr(error))
            return error_response(
                _INTERNAL_STATUS, 'internal error, see the log'
            )

    return handle_errors


def is_busy(connection: web.RequestHandler) -> bool:
    """Return whether a connection has a request without a full response.

    Part of a response to a caller that reads slowly is still in this
    process and would be lost with it.
    """
    if connection._request_in_progress or has_queued_request(connection):
        return True
    open_transport = connection.transport
    return (
        open_transport is not None
        and open_transport.get_write_buffer_size() > 0
    )


def has_queued_request(connection: web.RequestHandler) -> bool:
    """Return whether a pipelined request waits behind the one being served.

    aiohttp has no public attribute for it, and drops such requests once a
    response closes the connection.
    """
    return bool(connection._messages)


def has_json_type(request: web.Request) -> bool:
    """Return whether the content type is JSON or not stated."""
    return request.content_type in _JSON_TYPES


def _detail(request: web.Request, error: web.HTTPException) -> str:
    details = {
        404: f'got path {request.path[:200]!r}, expected one that exists',
        405: f'got method {request.method}, expected another',
        413: 'got a body over the limit: ' + str(error.text),
    }
    return details.get(error.status, error.reason)
