"""The HTTP interface for callers."""

import dataclasses
import typing

from aiohttp import web
import msgspec

from samphiredock import metrics
from samphiredock import protocol
from samphiredock.transport import _http_guard

IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'
_SHOWN_KEY_CHARS = 64
"""How much of an invalid idempotency key an error message shows."""

_UNKNOWN_RETRY_AFTER_MS = 1_000
_INTERNAL_STATUS = 500

_SEARCH_DECODER = msgspec.json.Decoder(protocol.SearchRequest)
_RUN_DECODER = msgspec.json.Decoder(protocol.RunBody)

_REASON_STATUS = {
    protocol.NotRunReason.BAD_REQUEST: 400,
    protocol.NotRunReason.UNKNOWN_SERVICE: 404,
    protocol.NotRunReason.UNKNOWN_SEARCH: 404,
    protocol.NotRunReason.UNKNOWN_OPERATION: 404,
    protocol.NotRunReason.STALE_KEY: 410,
    protocol.NotRunReason.KEY_REUSED: 422,
    protocol.NotRunReason.OVERLOADED: 503,
    protocol.NotRunReason.SHARE_EXCEEDED: 429,
    protocol.NotRunReason.DEADLINE_TOO_SHORT: 400,
    protocol.NotRunReason.QUARANTINED: 403,
    protocol.NotRunReason.PLATFORM_UNAVAILABLE: 503,
    protocol.NotRunReason.NO_TARGET: 503,
    protocol.NotRunReason.NO_SNAPSHOT: 503,
    protocol.NotRunReason.SHUTTING_DOWN: 503,
    protocol.NotRunReason.NOT_READY: 503,
    protocol.NotRunReason.UNKNOWN_ROUTE: 404,
    protocol.NotRunReason.ROUTES_OUTDATED: 503,
}

_OUTCOME_STATUS = {
    protocol.Answered: 200,
    protocol.Partial: 200,
    protocol.Completed: 200,
    protocol.Unknown: 504,
}


class RequestExecutor(typing.Protocol):
    """The part of the daemon that executes the requests of callers."""

    async def search(
        self, request: protocol.SearchRequest
    ) -> protocol.SearchOutcome:
        """Run one search and return its outcome."""

    async def run(
        self, request: protocol.RunRequest, idempotency_key: str
    ) -> protocol.RunOutcome:
        """Run a request at most once for its idempotency key."""

    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests here."""

    def is_closing(self) -> bool:
        """Return whether connections should end after the current response."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusal:
    """Why a request was refused before anything was started."""

    status: int
    detail: str

    def response(self) -> web.Response:
        """Return the refusal as a response with a ``NotRun`` body."""
        return _outcome_response(_bad_request(self.detail), self.status)


def caller_application(
    executor: RequestExecutor,
    body_limit_bytes: int,
    counters: metrics.Metrics | None = None,
    limit_in_force: typing.Callable[[], int] | None = None,
) -> web.Application:
    """Return the application that serves callers and the load balancer.

    A body may have at most ``body_limit_bytes``, and at most what
    ``limit_in_force`` returns, which may be lower and change with the
    configuration.

    A request is read completely before anything is started.  If a handler
    fails, the outcome is ``Unknown``: it may have started something.
    """
    limit = limit_in_force or (lambda: body_limit_bytes)
    handlers = _Handlers(executor, limit)
    counters = counters or metrics.Metrics('callers')
    app = web.Application(
        client_max_size=body_limit_bytes,
        middlewares=[
            _close_connections(executor),
            _http_guard.error_middleware(counters, 'callers', _error_body),
        ],
    )
    app.router.add_post('/v1/search', handlers.search)
    app.router.add_post('/v1/run', handlers.run)
    app.router.add_get('/live', handlers.live)
    app.router.add_get('/ready', handlers.ready)
    return app


def _close_connections(executor: RequestExecutor) -> typing.Callable:
    """Return a middleware that closes connections while the daemon stops.

    A connection ends with the response to the last request that was read
    from it: aiohttp would drop pipelined requests without a response.
    """

    @web.middleware
    async def closing(
        request: web.Request, handler: typing.Callable
    ) -> web.StreamResponse:
        response = await handler(request)
        if executor.is_closing() and not _http_guard.has_queued_request(
            request.protocol
        ):
            response.force_close()
        return response

    return closing


class _Handlers:
    """The request handlers, one for each route."""

    def __init__(
        self,
        executor: RequestExecutor,
        body_limit_bytes: typing.Callable[[], int],
    ) -> None:
        self._executor = executor
        self._body_limit_bytes = body_limit_bytes

    async def search(self, request: web.Request) -> web.Response:
        body = await _read_body(
            request, _SEARCH_DECODER, self._body_limit_bytes()
        )
        if isinstance(body, _Refusal):
            return body.response()
        return _outcome_response(await self._executor.search(body))

    async def run(self, request: web.Request) -> web.Response:
        body = await _read_body(
            request, _RUN_DECODER, self._body_limit_bytes()
        )
        if isinstance(body, _Refusal):
            return body.response()
        key = _idempotency_key(request)
        if isinstance(key, _Refusal):
            return key.response()
        run_request = protocol.RunRequest(
            body.service,
            body.operation,
            body.body,
            protocol.issue_time_ms(key),
            body.deadline_ms,
        )
        return _outcome_response(await self._executor.run(run_request, key))

    async def live(self, request: web.Request) -> web.Response:
        return web.Response(text='live\n')

    async def ready(self, request: web.Request) -> web.Response:
        if self._executor.is_ready():
            return web.Response(text='ready\n')
        return web.Response(status=503, text='not ready\n')


async def _read_body(
    request: web.Request,
    decoder: msgspec.json.Decoder,
    body_limit_bytes: int,
) -> typing.Any:
    if not _http_guard.has_json_type(request):
        return _Refusal(
            415,
            f'got content type {request.content_type}, '
            f'expected {_http_guard.JSON_TYPE}',
        )
    content = await request.read()
    if len(content) > body_limit_bytes:
        return _Refusal(
            413,
            f'got a body of {len(content)} bytes, '
            f'expected at most {body_limit_bytes}',
        )
    try:
        body = decoder.decode(content)
    except msgspec.ValidationError as error:
        return _Refusal(422, f'wrong field: {error}')
    except protocol.DECODE_ERRORS as error:
        return _Refusal(400, f'got a body that is not JSON: {error}')
    if body.deadline_ms is not None and body.deadline_ms < 1:
        return _Refusal(
            400,
            f'deadline_ms: got {body.deadline_ms}, expected 1 or more (ms)',
        )
    return body


def _idempotency_key(request: web.Request) -> str | _Refusal:
    keys = request.headers.getall(IDEMPOTENCY_KEY_HEADER, [])
    expected = (
        f'expected one {IDEMPOTENCY_KEY_HEADER} header with a UUID of '
        'version 7, generated once per request and reused for its retries'
    )
    if not keys:
        return _Refusal(428, f'got none, {expected}')
    if len(keys) > 1:
        return _Refusal(400, f'got {len(keys)}, {expected}')
    key = protocol.canonical_key(keys[0])
    if key is None:
        got = ascii(keys[0][:_SHOWN_KEY_CHARS])
        return _Refusal(400, f'got {got}, {expected}')
    return key


def _bad_request(detail: str) -> protocol.NotRun:
    return protocol.NotRun(protocol.NotRunReason.BAD_REQUEST, detail, 0)


def _error_body(status: int, detail: str) -> bytes:
    if status >= _INTERNAL_STATUS:
        # The handler may have started work before it failed; after "not
        # run" the caller might have it done a second time.
        return msgspec.json.encode(
            protocol.Unknown(detail, _UNKNOWN_RETRY_AFTER_MS)
        )
    return msgspec.json.encode(_bad_request(detail))


def _outcome_response(
    outcome: protocol.Outcome, status: int | None = None
) -> web.Response:
    headers = {}
    if status is None:
        status = _status_of(outcome)
    retry_after_ms = getattr(outcome, 'retry_after_ms', 0)
    if retry_after_ms:
        headers['Retry-After'] = str(-(-retry_after_ms // 1000))
    return web.Response(
        status=status,
        body=msgspec.json.encode(outcome),
        content_type=_http_guard.JSON_TYPE,
        headers=headers,
    )


def _status_of(outcome: protocol.Outcome) -> int:
    if isinstance(outcome, protocol.NotRun):
        return _REASON_STATUS[outcome.reason]
    return _OUTCOME_STATUS[type(outcome)]
