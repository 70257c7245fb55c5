"""The HTTP interface for operators, served on a separate address."""

import asyncio
import hmac
import typing

from aiohttp import web
import msgspec
from returns import result

from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock.transport import _http_guard

_BODY_LIMIT_BYTES = 2_000_000

_Kind = protocol.OperatorErrorKind

_KIND_STATUS = {
    _Kind.BAD_REQUEST: 400,
    _Kind.WRONG_TOKEN: 401,
    _Kind.NOT_FOUND: 404,
    _Kind.TOO_LARGE: 413,
    _Kind.WRONG_CONTENT_TYPE: 415,
    _Kind.INTERNAL: 500,
    _Kind.NOT_OFFERED: 501,
    _Kind.UNAVAILABLE: 503,
    _Kind.UNKNOWN: 504,
}
_STATUS_KIND = {status: kind for kind, status in _KIND_STATUS.items()}

_CHANGE_STATUS = {
    protocol.ChangeAccepted: 200,
    protocol.ChangeConflict: 409,
    protocol.ChangeInvalid: 422,
    protocol.ChangeUnavailable: 503,
    protocol.ChangeUnknown: 504,
}

_CHANGE_DECODER = msgspec.json.Decoder(protocol.ConfigurationChange)


class Operations(typing.Protocol):
    """The part of the daemon that executes the calls of operators."""

    def status(self) -> dict[str, typing.Any]:
        """Return this daemon's view of members, sites and targets."""

    def configuration_source(self) -> state.ConfigurationSource | None:
        """Return the configuration in force here, as operators wrote it."""

    async def apply(
        self, change: protocol.ConfigurationChange
    ) -> protocol.ChangeOutcome:
        """Apply a configuration change to all daemons."""

    async def history(
        self,
    ) -> result.Result[
        typing.Sequence[protocol.ChangeSummary], protocol.OperatorError
    ]:
        """Return the accepted configuration changes, newest first."""

    def confirmations(self) -> protocol.Confirmations:
        """Return the configuration revision that each live daemon reported."""

    async def set_leaving(
        self, target: str, leaving: bool
    ) -> result.Result[None, protocol.OperatorError]:
        """Set whether a target is draining, that is, gets no new work."""

    def quarantined(
        self,
    ) -> result.Result[
        typing.Sequence[protocol.QuarantineEntry], protocol.OperatorError
    ]:
        """Return the quarantined request contents."""

    async def release(
        self, fingerprint: str
    ) -> result.Result[None, protocol.OperatorError]:
        """Remove one request content from the quarantine."""


def operator_application(
    operations: Operations, counters: metrics.Metrics, token: str | None
) -> web.Application:
    """Return the application that serves operators.

    With a token, each call must have the header ``Authorization: Bearer
    TOKEN``; without one, all calls are served.
    """
    handlers = _Handlers(operations, counters)
    app = web.Application(
        client_max_size=_BODY_LIMIT_BYTES,
        middlewares=[
            _http_guard.error_middleware(counters, 'operators', _error_body),
            _token_check(token, counters),
        ],
    )
    routes = (
        ('GET', '/v1/status', handlers.status),
        ('GET', '/v1/configuration', handlers.configuration),
        ('PUT', '/v1/configuration', handlers.apply),
        ('GET', '/v1/configuration/history', handlers.history),
        ('GET', '/v1/configuration/confirmations', handlers.confirmations),
        ('POST', '/v1/targets/{name}/drain', handlers.drain),
        ('POST', '/v1/targets/{name}/undrain', handlers.undrain),
        ('GET', '/v1/quarantine', handlers.quarantined),
        ('DELETE', '/v1/quarantine/{fingerprint}', handlers.release),
        ('GET', '/metrics', handlers.metrics),
    )
    for method, path, handler in routes:
        app.router.add_route(method, path, handler)
    return app


def _token_check(
    token: str | None, counters: metrics.Metrics
) -> typing.Callable:
    expected = f'Bearer {token}'.encode()

    @web.middleware
    async def check(
        request: web.Request, handler: typing.Callable
    ) -> web.StreamResponse:
        given = request.headers.get('Authorization', '')
        # Constant time, so that timing does not reveal parts of the token.
        if token is not None and not hmac.compare_digest(
            given.encode('utf-8', 'surrogateescape'), expected
        ):
            counters.add('operator_calls_refused')
            return _error_response(
                _Kind.WRONG_TOKEN,
                'got no token or a wrong one, expected '
                "'Authorization: Bearer TOKEN' from the keys file",
            )
        return await handler(request)

    return check


class _Handlers:
    """The request handlers, one for each route."""

    def __init__(
        self, operations: Operations, counters: metrics.Metrics
    ) -> None:
        self._operations = operations
        self._metrics = counters

    async def status(self, request: web.Request) -> web.Response:
        return _json_response(self._operations.status())

    async def configuration(self, request: web.Request) -> web.Response:
        source = self._operations.configuration_source()
        if source is None:
            return _error_response(_Kind.NOT_FOUND, 'no configuration yet')
        return _json_response(source)

    async def apply(self, request: web.Request) -> web.Response:
        if not _http_guard.has_json_type(request):
            return _error_response(
                _Kind.WRONG_CONTENT_TYPE,
                f'got content type {request.content_type}, '
                'expected application/json',
            )
        try:
            change = _CHANGE_DECODER.decode(await request.read())
        except protocol.DECODE_ERRORS as error:
            return _error_response(_Kind.BAD_REQUEST, str(error))
        outcome = await self._operations.apply(change)
        return _json_response(outcome, _CHANGE_STATUS[type(outcome)])

    async def history(self, request: web.Request) -> web.Response:
        return _from_result(await self._operations.history())

    async def confirmations(self, request: web.Request) -> web.Response:
        return _json_response(self._operations.confirmations())

    async def drain(self, request: web.Request) -> web.Response:
        return await self._set_leaving(request, True)

    async def undrain(self, request: web.Request) -> web.Response:
        return await self._set_leaving(request, False)

    async def _set_leaving(
        self, request: web.Request, leaving: bool
    ) -> web.Response:
        name = request.match_info['name']
        return _from_result(await self._operations.set_leaving(name, leaving))

    async def quarantined(self, request: web.Request) -> web.Response:
        return _from_result(self._operations.quarantined())

    async def release(self, request: web.Request) -> web.Response:
        fingerprint = request.match_info['fingerprint']
        return _from_result(await self._operations.release(fingerprint))

    async def metrics(self, request: web.Request) -> web.Response:
        # With many services the text takes long to format, so that is done
        # in a thread and does not block the event loop.
        self._metrics.flush()
        body = await asyncio.to_thread(self._metrics.text)
        return web.Response(body=body, content_type='text/plain')


def _from_result(
    outcome: result.Result[typing.Any, protocol.OperatorError],
) -> web.Response:
    if isinstance(outcome, result.Failure):
        error = outcome.failure()
        return _json_response(error, _KIND_STATUS[error.kind])
    value = outcome.unwrap()
    return _json_response(protocol.OperatorDone() if value is None else value)


def _error_response(
    kind: protocol.OperatorErrorKind, detail: str
) -> web.Response:
    return _json_response(
        protocol.OperatorError(kind, detail), _KIND_STATUS[kind]
    )


def _error_body(status: int, detail: str) -> bytes:
    kind = _STATUS_KIND.get(status, _Kind.BAD_REQUEST)
    return msgspec.json.encode(protocol.OperatorError(kind, detail))


def _json_response(value: object, status: int = 200) -> web.Response:
    headers = {}
    retry_after_ms = getattr(value, 'retry_after_ms', 0)
    if retry_after_ms:
        headers['Retry-After'] = str(-(-retry_after_ms // 1000))
    return web.Response(
        status=status,
        body=msgspec.json.encode(value),
        content_type=_http_guard.JSON_TYPE,
        headers=headers,
    )
