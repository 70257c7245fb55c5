"""Callers that send requests on kept-alive HTTP/1.1 connections."""

import asyncio
import collections
import dataclasses
import itertools
import random
import typing

from soak import _checks
from standins import prepared_system
from standins import scripted_target

_PAUSE_S = 0.02
_ROUND_COUNTS = (1, 10, 1_000)
"""How many rounds a caller sends before it closes its connection."""

_PIPELINE_DEPTHS = (1, 1, 1, 2, 3)
"""How many requests a caller pipelines in one round."""

_SPLIT_SHARE = 0.2
_DELAYED_BYTES = 3
"""``_SPLIT_SHARE`` of the sends hold back this many last bytes for a pause."""

LONG_MS = 10_000
"""Deadline longer than ``_run.STOP_LIMIT_S``, so that a daemon must end its
stop while the request is pending."""

_DEADLINES_MS = (1_500, 1_500, LONG_MS)

KINDS = {'search': 6, 'fetch': 2, 'pay': 2, 'probe': 2}
_PATHS = {'search': '/search/x', 'fetch': '/fetch/x', 'pay': '/pay/x'}
_METHODS = {'pay': 'POST'}


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request.

    ``version`` is the configuration version that adds the route of a probe.
    """

    kind: str
    request_id: str
    deadline_ms: int
    version: int = 0

    def encode(self) -> bytes:
        """Return the request as the bytes to send."""
        path = _PATHS.get(self.kind, f'/added-{self.version}/x')
        return (
            f'{_METHODS.get(self.kind, "GET")} {path} HTTP/1.1\r\n'
            f'Host: {prepared_system.HOST}\r\n'
            f'Request-Id: {self.request_id}\r\n'
            f'Deadline-Ms: {self.deadline_ms}\r\n'
            f'Content-Length: 0\r\n\r\n'
        ).encode()


class Callers:
    """Send requests to daemons and record the outcome of each.

    The callers read responses themselves: HTTP client libraries retry
    silently when a reused connection closes without a response, which would
    hide a lost request.

    Parameters
    ----------
    rng
        Source of all random choices.
    system
        The system whose daemons get the requests.

    Attributes
    ----------
    records
        One record for each request.
    starts
        Number of starts of each daemon.
    unavailable
        Daemons that get no new connections now.
    version
        The latest configuration version.
    """

    def __init__(
        self, rng: random.Random, system: prepared_system.PreparedSystem
    ) -> None:
        self.records: list[_checks.RequestRecord] = []
        self.starts: collections.Counter[str] = collections.Counter()
        self.unavailable: set[str] = set()
        self.version = 1
        self.running = True
        self._rng = rng
        self._system = system
        self._numbers = itertools.count()

    async def run_caller(self) -> None:
        """Use one connection after another while ``running`` is set."""
        while self.running:
            available = [
                name
                for name in self._system.caller_addresses
                if name not in self.unavailable
            ]
            if available:
                rounds = self._rng.choice(_ROUND_COUNTS)
                await self.send_requests(
                    self._rng.choice(available), self._draw_many, rounds
                )
            await asyncio.sleep(_PAUSE_S)

    def draw(self, kind: str, deadline_ms: int = LONG_MS) -> Request:
        """Return a new request with a new id.

        A probe uses the route of one of the last three versions.
        """
        version = 0
        if kind == 'probe':
            version = self._rng.randint(max(1, self.version - 2), self.version)
        request_id = f'{kind}{next(self._numbers)}'
        return Request(kind, request_id, deadline_ms, version)

    def _draw_many(self) -> list[Request]:
        kinds = self._rng.choices(
            list(KINDS),
            list(KINDS.values()),
            k=self._rng.choice(_PIPELINE_DEPTHS),
        )
        return [
            self.draw(kind, self._rng.choice(_DEADLINES_MS)) for kind in kinds
        ]

    async def send_requests(
        self,
        daemon: str,
        draw: typing.Callable[[], list[Request]],
        rounds: int = 1,
    ) -> int:
        """Send rounds of requests to a daemon on one new connection.

        ``draw`` returns the requests of a round.  The next round begins when
        all are answered, and the caller closes the connection only between
        rounds.  Returns the last status, 0 if there was no complete response.
        """
        start = self.starts[daemon]
        try:
            reader, writer = await _connect(
                self._system.caller_addresses[daemon]
            )
        except OSError:
            return 0
        status = 0
        for _ in range(rounds):
            requests = draw()
            sent_s = await self._send(writer, requests)
            for pipeline_index, request in enumerate(requests):
                response = await _read_answer(reader)
                row = _make_record(
                    request, response, daemon, start, sent_s, pipeline_index
                )
                self.records.append(row)
                status = row.status
            if not status or not self.running:
                break
            await asyncio.sleep(_PAUSE_S)
        writer.close()
        return status

    async def _send(
        self, writer: asyncio.StreamWriter, requests: list[Request]
    ) -> float:
        """Send requests; return the time when the last byte was written."""
        data = b''.join(row.encode() for row in requests)
        if self._rng.random() < _SPLIT_SHARE:
            writer.write(data[:-_DELAYED_BYTES])
            await asyncio.sleep(_PAUSE_S)
            data = data[-_DELAYED_BYTES:]
        writer.write(data)
        return asyncio.get_running_loop().time()


class _Reader(asyncio.StreamReader):
    """A reader that keeps the bytes received before a reset.

    They may contain a complete response.
    """

    def set_exception(self, exc: Exception) -> None:
        """Treat a connection error as the end of the stream."""
        self.feed_eof()


async def _connect(address: str) -> tuple[_Reader, asyncio.StreamWriter]:
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    reader = _Reader()
    protocol = asyncio.StreamReaderProtocol(reader)
    transport, _ = await loop.create_connection(
        lambda: protocol, host, int(port)
    )
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


async def _read_answer(
    reader: asyncio.StreamReader,
) -> scripted_target.HttpMessage | None:
    """Read one response; return None if it is incomplete."""
    try:
        return await scripted_target.read_request(reader)
    except (asyncio.IncompleteReadError, OSError):
        return None


def _make_record(
    request: Request,
    response: scripted_target.HttpMessage | None,
    daemon: str,
    start: int,
    sent_s: float,
    pipeline_index: int,
) -> _checks.RequestRecord:
    status, headers, body = 0, {}, b''
    if response is not None:
        status, headers = int(response.line.split()[1]), response.headers
        body = response.body
    receipts = headers.get('part-stamps') or headers.get('answer-stamp', '')
    return _checks.RequestRecord(
        request.kind,
        request.request_id,
        status,
        tuple(row.strip() for row in receipts.split(',') if row),
        int(headers.get('missing-parts', 0)),
        body,
        daemon,
        start,
        sent_s,
        asyncio.get_running_loop().time(),
        request.version,
        pipeline_index,
    )
