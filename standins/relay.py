"""A TCP relay with fault switches, for process tests and the soak.

Run as ``python -m standins.relay --control-port 7900 --route NAME:IN:OUT``;
each route forwards port IN to port OUT on loopback.
``POST /control/routes/NAME`` with ``{"mode": MODE}`` sets the mode of a route:

``pass``
    forward all bytes
``cut``
    close every open and every new connection
``silence-old``
    drop the bytes of open connections for good and forward new connections,
    like a stateful firewall that lost its connection table
``silence-all``
    drop the bytes of all connections until ``pass``; connections opened
    before ``pass`` stay silent
``reset-old``
    reset every open connection and forward new ones
``hold-requests``, ``hold-answers``
    buffer the bytes of one direction until another mode is set, like a
    network partition in one direction whose packets are retransmitted
``delay``
    forward each chunk ``DELAY_S`` later
"""

import asyncio
import socket
import struct

from aiohttp import web
import click
import msgspec

_CHUNK_BYTES = 65_536

DELAY_S = 0.15
"""Longer than the latency aim of a request, shorter than its deadline."""

_REQUESTS, _ANSWERS = 'requests', 'answers'


class Mode(msgspec.Struct, frozen=True):
    """Body of a control request."""

    mode: str


class Route:
    """Forwards one listening port, 0 for any free one, to another port."""

    def __init__(self, name: str, listen_port: int, port: int) -> None:
        self.name = name
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._listen_port = listen_port
        self._port = port
        self._mode = 'pass'
        self._silent: set[int] = set()
        self._open: dict[int, list[asyncio.StreamWriter]] = {}
        self._connection_count = 0

    async def start(self) -> str:
        """Start listening; return ``IP:port``."""
        self._server = await asyncio.start_server(
            self._accept, '127.0.0.1', self._listen_port
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    def stop(self) -> None:
        """Stop listening and reset open connections."""
        if self._server is not None:
            self._server.close()
        self.switch('reset-old')

    def switch(self, mode: str) -> None:
        """Set the mode, one of those in the module's docstring."""
        if mode in ('silence-old', 'silence-all'):
            self._silent |= set(self._open)
        if mode in ('cut', 'reset-old'):
            for writers in self._open.values():
                for writer in writers:
                    if mode == 'cut':
                        writer.close()
                    else:
                        _reset(writer)
        self._mode = 'pass' if mode.endswith('-old') else mode
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _wait(self, direction: str) -> None:
        """Wait while the mode delays a chunk or holds this direction."""
        if self._mode == 'delay':
            await asyncio.sleep(DELAY_S)
        while self._mode == f'hold-{direction}':
            await self._changed.wait()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._mode == 'cut':
            writer.close()
            return
        self._connection_count += 1
        number = self._connection_count
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
            self._pump(number, _REQUESTS, reader, back_writer),
            self._pump(number, _ANSWERS, back_reader, writer),
        )
        self._open.pop(number, None)
        self._silent.discard(number)

    async def _pump(
        self,
        number: int,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while True:
                chunk = await reader.read(_CHUNK_BYTES)
                if not chunk:
                    break
                await self._wait(direction)
                if number not in self._silent:
                    writer.write(chunk)
                    await writer.drain()
        except OSError:
            # After a clean close, a body without length would look complete.
            if number not in self._silent:
                _reset(writer)
            return
        # A silenced connection forwards no end of stream either.
        if number not in self._silent:
            writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Abort a connection so that its peer sees a reset."""
    connection = writer.get_extra_info('socket')
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()


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
