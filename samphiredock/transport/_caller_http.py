"""The HTTP interface for callers."""

import typing

from aiohttp import web
import msgspec

from samphiredock import protocol

IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'

_SEARCH = msgspec.json.Decoder(protocol.SearchRequest)
_RUN = msgspec.json.Decoder(protocol.RunRequest)

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
}

_TYPE_STATUS = {
    protocol.Answered: 200,
    protocol.Partial: 200,
    protocol.Completed: 200,
    protocol.Unknown: 504,
}


class Service(typing.Protocol):
    """What the interface asks of the daemon."""

    async def search(
        self, request: protocol.SearchRequest
    ) -> protocol.SearchOutcome:
        """Run one search."""

    async def run(
        self, request: protocol.RunRequest, idempotency_key: str
    ) -> protocol.RunOutcome:
        """Run one unrepeatable request."""

    def is_ready(self) -> bool:
        """Whether the balancer should send requests here."""

    def is_closing(self) -> bool:
        """Whether connections should end after the current answer."""


def caller_application(
    service: Service, body_limit_bytes: int
) -> web.Application:
    """Return the application that serves callers and the balancer."""

    async def search(request: web.Request) -> web.Response:
        body = _decode(_SEARCH, await _read(request))
        if isinstance(body, protocol.NotRun):
            return _respond(service, body)
        return _respond(service, await service.search(body))

    async def run(request: web.Request) -> web.Response:
        body = _decode(_RUN, await _read(request))
        if isinstance(body, protocol.NotRun):
            return _respond(service, body)
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER, '')
        if not key:
            return _respond(
                service,
                _bad(f'got no {IDEMPOTENCY_KEY_HEADER} header, expected one'),
            )
        return _respond(service, await service.run(body, key))

    async def live(request: web.Request) -> web.Response:
        return web.Response(text='live\n')

    async def ready(request: web.Request) -> web.Response:
        if service.is_ready():
            return web.Response(text='ready\n')
        return web.Response(status=503, text='not ready\n')

    app = web.Application(client_max_size=body_limit_bytes)
    app.router.add_post('/v1/search', search)
    app.router.add_post('/v1/run', run)
    app.router.add_get('/live', live)
    app.router.add_get('/ready', ready)
    return app


async def _read(request: web.Request) -> bytes | protocol.NotRun:
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        return _bad(f'body too large: {error.text}')


def _decode(
    decoder: msgspec.json.Decoder, body: bytes | protocol.NotRun
) -> typing.Any:
    if isinstance(body, protocol.NotRun):
        return body
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return _bad(str(error))


def _bad(detail: str) -> protocol.NotRun:
    return protocol.NotRun(protocol.NotRunReason.BAD_REQUEST, detail, 0)


def _respond(service: Service, outcome: protocol.Outcome) -> web.Response:
    headers = {}
    if isinstance(outcome, protocol.NotRun):
        status = _REASON_STATUS[outcome.reason]
    else:
        status = _TYPE_STATUS[type(outcome)]
    retry_after_ms = getattr(outcome, 'retry_after_ms', 0)
    if retry_after_ms:
        headers['Retry-After'] = str(-(-retry_after_ms // 1000))
    response = web.Response(
        status=status,
        body=msgspec.json.encode(outcome),
        content_type='application/json',
        headers=headers,
    )
    if service.is_closing():
        response.force_close()
    return response
