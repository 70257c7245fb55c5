"""A target that answers with the bytes that a test writes."""

import asyncio
import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class HttpMessage:
    """One HTTP message; ``line`` is its request or status line."""

    line: str
    headers: dict[str, str]
    body: bytes


Script = typing.Callable[
    [HttpMessage, asyncio.StreamWriter], typing.Awaitable[typing.Any]
]


async def read_request(reader: asyncio.StreamReader) -> HttpMessage | None:
    """Read one HTTP message; return None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *rows = head.decode('latin-1').rstrip().split('\r\n')
    headers = {
        name.lower(): value.strip()
        for name, _, value in (row.partition(':') for row in rows)
    }
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return HttpMessage(line, headers, body)


class ScriptedTarget:
    """A server on its own port that calls ``script`` for each request."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.seen: list[HttpMessage] = []
        self.connections = 0
        self.closed = 0
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> str:
        """Listen; return ``IP:port``."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.append(writer)
        while True:
            seen = await read_request(reader)
            if seen is None:
                break
            self.seen.append(seen)
            await self.script(seen, writer)
            if writer.is_closing():
                break
        self.closed += 1
        writer.close()

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        for writer in self._writers:
            writer.close()
        if self._server is not None:
            self._server.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection at once, dropping unsent bytes."""
    writer.transport.abort()


def answer(
    request_id: str,
    body: bytes = b'',
    status: int = 200,
    headers: typing.Mapping[str, str] = {},
    framed: bool = True,
) -> bytes:
    """Return a response, without ``Content-Length`` unless ``framed``."""
    rows = {'Request-Id': request_id, **headers}
    if framed:
        rows['Content-Length'] = str(len(body))
    text = ''.join(f'{name}: {value}\r\n' for name, value in rows.items())
    return f'HTTP/1.1 {status} Status\r\n{text}\r\n'.encode() + body
