"""A small TCP relay with fault switches, for the process tests.

Run as ``python -m standins.relay --control-port 7900 --route NAME:IN:OUT``;
each route listens on port IN and passes bytes to port OUT on loopback.
``POST /control/routes/NAME`` with ``{"mode": MODE}`` switches a route:

``pass``
    pass bytes
``cut``
    close every connection and refuse new ones
``silence-old``
    swallow the bytes of connections open now, for good, and pass new ones:
    what a device does that has lost track of them
``silence-all``
    swallow the bytes of every connection until ``pass``; those that were
    open then stay silent
"""

import asyncio

from aiohttp import web
import click
import msgspec

_CHUNK_BYTES = 65_536


class Mode(msgspec.Struct, frozen=True):
    """Body of the control call."""

    mode: str


class Route:
    """One listening port and the port behind it."""

    def __init__(self, name: str, listen_port: int, port: int) -> None:
        self.name = name
        self._listen_port = listen_port
        self._port = port
        self._mode = 'pass'
        self._silent: set[int] = set()
        self._open: dict[int, list[asyncio.StreamWriter]] = {}
        self._numbers = 0

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(
            self._accept, '127.0.0.1', self._listen_port
        )

    def switch(self, mode: str) -> None:
        """Change the mode; see the module's text."""
        if mode in ('silence-old', 'silence-all'):
            self._silent |= set(self._open)
        if mode == 'cut':
            for writers in self._open.values():
                for writer in writers:
                    writer.close()
        self._mode = 'pass' if mode == 'silence-old' else mode

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._mode == 'cut':
            writer.close()
            return
        self._numbers += 1
        number = self._numbers
        if self._mode == 'silence-all':
            self._silent.add(number)
        try:
            back_reader, back_writer = await asyncio.open_connection(
                '127.0.0.1', self._port
            )
        except OSError:
            writer.close()
            return
        self._open[number] = [writer, back_writer]
        await asyncio.gather(
            self._pump(number, reader, back_writer),
            self._pump(number, back_reader, writer),
        )
        self._open.pop(number, None)
        self._silent.discard(number)

    async def _pump(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while True:
                chunk = await reader.read(_CHUNK_BYTES)
                if not chunk:
                    break
                if number not in self._silent:
                    writer.write(chunk)
                    await writer.drain()
        except OSError:
            pass
        # A device that lost a connection passes its end on to nobody.
        if number not in self._silent:
            writer.close()


async def _serve(control_port: int, rows: tuple[str, ...]) -> None:
    routes = {}
    for row in rows:
        name, listen_port, port = row.rsplit(':', 2)
        routes[name] = Route(name, int(listen_port), int(port))
        await routes[name].start()

    async def switch(request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=Mode)
        routes[request.match_info['name']].switch(body.mode)
        return web.json_response({})

    async def health(request: web.Request) -> web.Response:
        return web.json_response({'routes': sorted(routes)})

    app = web.Application()
    app.router.add_post('/control/routes/{name}', switch)
    app.router.add_get('/health', health)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', control_port).start()
    await asyncio.Event().wait()


@click.command()
@click.option('--control-port', required=True, type=int)
@click.option('--route', 'routes', multiple=True, required=True)
def main(control_port: int, routes: tuple[str, ...]) -> None:
    """Run the relay until it is stopped."""
    asyncio.run(_serve(control_port, routes))


if __name__ == '__main__':
    main()
