"""A stand-in of the platform's object service, with fault switches.

Run as ``python -m standins.store --port 7100``.  Objects are in memory.

``POST /control/faults`` sets the faults, with any of:

``outage_ms``
    refuse every call with 503 for that time
``silent_ms``
    accept calls and answer none for that time
``slow_ms``
    delay each call
``lose_answers``
    apply that many writes and abort their connections
``stale_reads``
    answer that many reads with the previous version
``hosts_lag_ms``
    answer the host list as it was that time ago
"""

import asyncio
import time
import typing

from aiohttp import web
import click
import msgspec

_HISTORY_LIMIT = 100_000


class Faults(msgspec.Struct):
    """Fault switches, described in the module's docstring."""

    outage_ms: float = 0
    silent_ms: float = 0
    slow_ms: float = 0
    lose_answers: int = 0
    stale_reads: int = 0
    hosts_lag_ms: float = 0


class _Object(typing.NamedTuple):
    version: int
    value: bytes


class Store:
    """Objects with versions, conditional writes and long-poll watches."""

    def __init__(self) -> None:
        self._objects: dict[str, _Object] = {}
        self._previous: dict[str, _Object] = {}
        self._log: list[tuple[int, str]] = []
        self._position = 0
        self._changed = asyncio.Event()
        self._hosts: list[tuple[float, list[dict]]] = [(0.0, [])]
        self._faults = Faults()
        self._outage_until = 0.0
        self._silent_until = 0.0
        self._calls: dict[str, int] = {}
        self._writes: list[dict] = []

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(
            client_max_size=2_000_000, middlewares=[self._with_faults]
        )
        app.router.add_get('/objects/{key:.+}', self._get)
        app.router.add_put('/objects/{key:.+}', self._put)
        app.router.add_delete('/objects/{key:.+}', self._delete)
        app.router.add_get('/objects', self._scan)
        app.router.add_get('/watch', self._watch)
        app.router.add_get('/hosts', self._get_hosts)
        app.router.add_put('/control/hosts', self._set_hosts)
        app.router.add_post('/control/faults', self._set_faults)
        app.router.add_get('/control/stats', self._stats)
        app.router.add_get('/control/writes', self._get_writes)
        return app

    @web.middleware
    async def _with_faults(
        self, request: web.Request, handler: typing.Callable
    ) -> web.StreamResponse:
        if request.path.startswith('/control/'):
            return await handler(request)
        name = f'{request.method} {request.path.split("/")[1]}'
        self._calls[name] = self._calls.get(name, 0) + 1
        if time.monotonic() < self._outage_until:
            return web.Response(status=503, text='outage')
        while time.monotonic() < self._silent_until:
            await asyncio.sleep(0.05)
        if self._faults.slow_ms:
            await asyncio.sleep(self._faults.slow_ms / 1000.0)
        response = await handler(request)
        write = request.method in ('PUT', 'DELETE')
        if write and self._faults.lose_answers and response.status == 200:
            self._faults.lose_answers -= 1
            # The write has taken effect, but the client gets no response.
            request.transport.abort()
        return response

    async def _get(self, request: web.Request) -> web.Response:
        key = request.match_info['key']
        found = self._objects.get(key)
        if self._faults.stale_reads and key in self._previous:
            self._faults.stale_reads -= 1
            found = self._previous[key]
        if found is None:
            return web.Response(status=404, text=f'no object {key}')
        return web.Response(body=found.value, headers=_version(found.version))

    async def _put(self, request: web.Request) -> web.Response:
        key = request.match_info['key']
        value = await request.read()
        if len(value) > 1_000_000:
            return web.Response(status=413, text='value over 1 MB')
        found = self._objects.get(key)
        current = found.version if found else 0
        expected = request.headers.get('If-Match')
        if expected is not None and int(expected) != current:
            return web.Response(status=409, text=f'version is {current}')
        self._position += 1
        if found:
            self._previous[key] = found
        self._objects[key] = _Object(self._position, value)
        self._record_change(key, value)
        return web.Response(headers=_version(self._position))

    async def _delete(self, request: web.Request) -> web.Response:
        key = request.match_info['key']
        found = self._objects.get(key)
        if found is None:
            return web.Response(status=404, text=f'no object {key}')
        expected = request.headers.get('If-Match')
        if expected is not None and int(expected) != found.version:
            return web.Response(status=409, text=f'version {found.version}')
        self._position += 1
        del self._objects[key]
        self._record_change(key, b'')
        return web.Response(headers=_version(self._position))

    def _record_change(self, key: str, value: bytes) -> None:
        self._log.append((self._position, key))
        if len(self._writes) < _HISTORY_LIMIT:
            self._writes.append(
                {
                    'key': key,
                    'version': self._position,
                    'bytes': len(value),
                    'at_ms': time.monotonic() * 1000.0,
                }
            )
        self._changed.set()
        self._changed = asyncio.Event()

    def _rows(self, keys: typing.Iterable[str]) -> list[dict]:
        return [
            {
                'key': key,
                'version': self._objects[key].version,
                'value': self._objects[key].value.decode(),
            }
            for key in keys
        ]

    async def _scan(self, request: web.Request) -> web.Response:
        prefix = request.query.get('prefix', '')
        keys = sorted(key for key in self._objects if key.startswith(prefix))
        return _json({'objects': self._rows(keys), 'position': self._position})

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query.get('prefix', '')
        since = int(request.query.get('since', '0'))
        wait_s = int(request.query.get('timeout_ms', '1000')) / 1000.0
        end = time.monotonic() + wait_s
        while True:
            keys = {
                key
                for position, key in self._log
                if position > since and key.startswith(prefix)
            }
            left = end - time.monotonic()
            if keys or since == 0 or left <= 0:
                break
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        there = sorted(key for key in keys if key in self._objects)
        gone = sorted(key for key in keys if key not in self._objects)
        return _json(
            {
                'objects': self._rows(there),
                'gone': gone,
                'position': self._position,
            }
        )

    async def _get_hosts(self, request: web.Request) -> web.Response:
        seen_until = time.monotonic() - self._faults.hosts_lag_ms / 1000.0
        rows = [hosts for at, hosts in self._hosts if at <= seen_until]
        tag = f'"{len(rows)}"'
        if request.headers.get('If-None-Match') == tag:
            return web.Response(status=304, headers={'ETag': tag})
        answer = _json(rows[-1] if rows else [])
        answer.headers['ETag'] = tag
        return answer

    async def _set_hosts(self, request: web.Request) -> web.Response:
        self._hosts.append((time.monotonic(), await request.json()))
        return _json({})

    async def _set_faults(self, request: web.Request) -> web.Response:
        self._faults = msgspec.json.decode(await request.read(), type=Faults)
        now = time.monotonic()
        self._outage_until = now + self._faults.outage_ms / 1000.0
        self._silent_until = now + self._faults.silent_ms / 1000.0
        return _json({})

    async def _stats(self, request: web.Request) -> web.Response:
        return _json({'calls': self._calls, 'position': self._position})

    async def _get_writes(self, request: web.Request) -> web.Response:
        return _json(self._writes)


def _version(version: int) -> dict[str, str]:
    return {'X-Object-Version': str(version)}


def _json(value: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type='application/json'
    )


async def _serve(host: str, port: int) -> None:
    runner = web.AppRunner(Store().application(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    await asyncio.Event().wait()


@click.command()
@click.option('--host', default='127.0.0.1')
@click.option('--port', default=7100)
def main(host: str, port: int) -> None:
    """Run the platform stand-in until it is stopped."""
    asyncio.run(_serve(host, port))


if __name__ == '__main__':
    main()
