"""What the HTTP interfaces share: typed bodies for every failure."""

import typing

from aiohttp import web

from samphiredock import logs
from samphiredock import metrics

JSON_TYPE = 'application/json'

_JSON_TYPES = (JSON_TYPE, 'application/octet-stream')
"""``application/octet-stream`` stands for a type that was not stated."""

_DISCONNECTS = (ConnectionError, web.RequestPayloadError)
_CLIENT_CLOSED_STATUS = 400
_INTERNAL_STATUS = 500

_log = logs.logger('http')

ErrorBody = typing.Callable[[int, str], bytes]
_Handler = typing.Callable[[web.Request], typing.Awaitable[web.StreamResponse]]


def guard(
    counters: metrics.Metrics, interface: str, error_body: ErrorBody
) -> typing.Callable:
    """Return a middleware that gives each failure a typed body.

    Parameters
    ----------
    counters
        Where failures are counted, by interface and status.
    interface
        ``callers`` or ``operators``.
    error_body
        Makes the body from a status and a detail.
    """

    def answer(status: int, detail: str) -> web.Response:
        counters.add('http_errors', interface=interface, status=status)
        return web.Response(
            status=status,
            body=error_body(status, detail),
            content_type=JSON_TYPE,
        )

    @web.middleware
    async def guarded(
        request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        try:
            return await handler(request)
        except web.HTTPException as error:
            return answer(error.status, _detail(request, error))
        except _DISCONNECTS:
            # The body never came whole, so nothing was started; there is
            # nobody left to read this answer.
            counters.add('http_disconnects', interface=interface)
            return answer(_CLIENT_CLOSED_STATUS, 'the body came cut short')
        except Exception as error:
            # One broken request must not take the daemon with it; what
            # it had started is not known here.
            counters.add('http_handler_failures', interface=interface)
            _log.error('handler failed', path=request.path, why=repr(error))
            return answer(_INTERNAL_STATUS, 'internal error, see the log')

    return guarded


def is_busy(connection: web.RequestHandler) -> bool:
    """Whether a request was read and its answer has not left.

    A caller that reads slowly leaves part of the answer in this process,
    where it would end with it.
    """
    if connection._request_in_progress or waits_behind(connection):
        return True
    open_transport = connection.transport
    return (
        open_transport is not None
        and open_transport.get_write_buffer_size() > 0
    )


def waits_behind(connection: web.RequestHandler) -> bool:
    """Whether another request was read behind the one that is served.

    The library has no public word for it, and drops what waits as soon as
    the answer before it closes the connection.
    """
    return bool(connection._messages)


def has_json_type(request: web.Request) -> bool:
    """Whether the body is, or may be, JSON by its stated type."""
    return request.content_type in _JSON_TYPES


def _detail(request: web.Request, error: web.HTTPException) -> str:
    details = {
        404: f'got path {request.path[:200]!r}, expected one that exists',
        405: f'got method {request.method}, expected another',
        413: 'got a body over the limit: ' + str(error.text),
    }
    return details.get(error.status, error.reason)
