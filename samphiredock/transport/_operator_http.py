"""The HTTP interface for operators, on an address of its own."""

import hmac
import typing

from aiohttp import web
import msgspec

from samphiredock import metrics


class Operations(typing.Protocol):
    """What the interface asks of the daemon."""

    def status(self) -> dict[str, typing.Any]:
        """Return the daemon's view of members, sites and targets."""


def operator_application(
    operations: Operations, counters: metrics.Metrics, token: str | None
) -> web.Application:
    """Return the application that serves operators.

    With a token, every call needs ``Authorization: Bearer TOKEN``.
    """

    @web.middleware
    async def with_token(
        request: web.Request, handler: typing.Callable
    ) -> web.StreamResponse:
        given = request.headers.get('Authorization', '')
        if token is not None and not hmac.compare_digest(
            given.encode(), f'Bearer {token}'.encode()
        ):
            counters.add('operator_calls_refused')
            return web.json_response({'error': 'wrong token'}, status=401)
        return await handler(request)

    async def status(request: web.Request) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(operations.status()),
            content_type='application/json',
        )

    async def render(request: web.Request) -> web.Response:
        return web.Response(body=counters.render(), content_type='text/plain')

    app = web.Application(middlewares=[with_token])
    app.router.add_get('/v1/status', status)
    app.router.add_get('/metrics', render)
    return app
