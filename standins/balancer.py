"""A stand-in of the platform's load balancer.

Run as ``python -m standins.balancer --port 7000 --daemon URL ...``.  It
polls each daemon's ``/ready`` and forwards requests round robin to the daemons
that were ready at the last poll, over kept-alive connections.  It therefore
continues to use a draining daemon for up to ``--lag-ms``.  It never retries a
request; if a connection breaks, the caller gets a 502.
"""

import asyncio
import itertools

import aiohttp
from aiohttp import web
import click

_POLL_TIMEOUT_S = 1.0


class Balancer:
    """Forwards requests round robin to ready daemons."""

    def __init__(self, urls: tuple[str, ...], lag_ms: int) -> None:
        self._urls = urls
        self._lag_ms = lag_ms
        self._ready: list[str] = []
        self._turn = itertools.count()
        self._session = aiohttp.ClientSession()

    async def poll(self) -> None:
        """Poll readiness until cancelled."""
        while True:
            states = await asyncio.gather(*map(self._is_ready, self._urls))
            self._ready = [
                url for url, ready in zip(self._urls, states) if ready
            ]
            await asyncio.sleep(self._lag_ms / 1000.0)

    async def _is_ready(self, url: str) -> bool:
        limit = aiohttp.ClientTimeout(total=_POLL_TIMEOUT_S)
        try:
            async with self._session.get(
                f'{url}/ready', timeout=limit
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return False

    async def forward(self, request: web.Request) -> web.Response:
        """Forward one request."""
        if not self._ready:
            return web.Response(status=503, text='no daemon is ready')
        url = self._ready[next(self._turn) % len(self._ready)]
        body = await request.read()
        headers = {
            name: value
            for name, value in request.headers.items()
            if name.lower() in ('idempotency-key', 'content-type')
        }
        try:
            async with self._session.request(
                request.method,
                url + request.path_qs,
                data=body,
                headers=headers,
            ) as response:
                return web.Response(
                    status=response.status,
                    body=await response.read(),
                    content_type=response.content_type,
                    headers={'X-Daemon': url},
                )
        except (aiohttp.ClientError, OSError) as error:
            text = f'{url}: {type(error).__name__}'
            return web.Response(status=502, text=text)

    async def health(self, request: web.Request) -> web.Response:
        """Return the URLs of the daemons that get requests."""
        status = 200 if self._ready else 503
        return web.json_response({'ready': self._ready}, status=status)


async def _serve(port: int, urls: tuple[str, ...], lag_ms: int) -> None:
    balancer = Balancer(urls, lag_ms)
    app = web.Application()
    app.router.add_get('/balancer-health', balancer.health)
    app.router.add_route('*', '/{tail:.*}', balancer.forward)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', port).start()
    await balancer.poll()


@click.command()
@click.option('--port', required=True, type=int)
@click.option('--daemon', 'urls', multiple=True, required=True)
@click.option('--lag-ms', default=500)
def main(port: int, urls: tuple[str, ...], lag_ms: int) -> None:
    """Run the balancer stand-in until it is stopped."""
    asyncio.run(_serve(port, urls, lag_ms))


if __name__ == '__main__':
    main()
