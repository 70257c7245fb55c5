"""A small deployment for the cases: daemons as processes, stand-ins beside.

The daemons are started with the command of ``deploy/system.toml`` and with
settings filled in from ``platform/settings.json5``.  The platform's store is
the project's own stand-in; servers and consumers are in this module.  Every
address is a loopback address.
"""

import asyncio
import collections
import dataclasses
import itertools
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import typing

import httptools

from standins import cluster
from standins import prepared_store
from standins import scripted_target

ROOT = pathlib.Path(__file__).resolve().parent.parent

HOST = 'claims.example'
DRAIN_MS = 3_000
STABLE_WINDOW_MS = 4_000
GRACE_S = 6
BACK_AFTER_CRASH_S = 3.0
METRICS_PORT = 9464

_START_LIMIT_S = 30.0
_CASE_LIMIT_S = 110.0
_BROKEN_STATUS = 10
_CANNOT_RUN_STATUS = 2
_STOP_LIMIT_S = GRACE_S + 1.0
_READY_POLL_S = 0.05
_PLACEHOLDER = re.compile(r'\{\{([A-Za-z0-9.]+)(\|json)?\}\}')


class Record:
    """Writes what happened to a file, with times since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._started_s = time.monotonic()

    def now_ms(self) -> float:
        """Return the time since the start."""
        return (time.monotonic() - self._started_s) * 1_000.0

    def add(self, event: str, **fields: object) -> float:
        """Write one line; return its time."""
        now_ms = self.now_ms()
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{now_ms:10.1f} {event} {text}\n')
        return now_ms

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A server began to work on a request."""

    at_ms: float
    request_id: str
    server_id: str


class Server:
    """One server, as the pages describe them.

    It works on ``slots`` requests at a time and queues ``queue`` more; beyond
    that it answers 503 with ``Not-Run``.  It resets connections beyond
    ``max_conns``, drops a request when its connection closes, and rejects
    one that expects another instance with 421.

    Parameters
    ----------
    record
        Gets a line for each request that arrives, runs or is rejected.
    server_id, service, zone
        Its id, its service and where it stands.
    slots, queue, max_conns
        Its limits.
    work_ms
        Returns how long it works on a request.
    make_body
        Returns the body of the answer to a request.
    """

    def __init__(
        self,
        record: Record,
        server_id: str,
        service: str,
        zone: str,
        slots: int = 3,
        queue: int = 12,
        max_conns: int = 40,
        work_ms: typing.Callable[[], float] = lambda: 20.0,
        make_body: typing.Callable[[str], bytes] = lambda request_id: b'ok',
    ) -> None:
        self.server_id = server_id
        self.on_back: typing.Callable[[Server], None] = lambda server: None
        self.service = service
        self.zone = zone
        self.work_ms = work_ms
        self.address = ''
        self.runs: list[Run] = []
        self.arrivals: list[Run] = []
        self.seq = 0
        self.born_ms = 0
        self.state = 'ready'
        self.slots = slots
        self.crashing_paths: set[str] = set()
        self.crashes: list[Run] = []
        self.record = record
        self._queue = queue
        self._max_conns = max_conns
        self._make_body = make_body
        self._free = asyncio.Semaphore(slots)
        self._taken = 0
        self._back: asyncio.Task[None] | None = None
        self.connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._stamps = itertools.count(1)

    async def start(self, address: str = '127.0.0.1:0') -> None:
        """Listen and set ``address``."""
        host, _, port = address.rpartition(':')
        self.born_ms = int(time.time() * 1_000)
        self.seq = 0
        self.state = 'ready'
        self._free = asyncio.Semaphore(self.slots)
        self._taken = 0
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(self), host, int(port), backlog=256
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        """End at once, as a crashed process: every connection is reset."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.abort()

    async def close(self) -> None:
        """End for good."""
        if self._back is not None:
            self._back.cancel()
        await self.stop()

    async def _crash(self, request_id: str) -> None:
        """End while a request runs; be back later under the same id."""
        self._note(self.crashes, 'crashed', request_id)
        self.state = 'gone'
        await self.stop()
        await asyncio.sleep(BACK_AFTER_CRASH_S)
        await self.start(self.address)
        self.record.add('back', server=self.server_id)
        self.on_back(self)

    def entry(self) -> dict[str, object]:
        """Return what the server writes to the store."""
        self.seq += 1
        return {
            'Service': self.service,
            'Addr': self.address,
            'Zone': self.zone,
            'Version': 'v1',
            'Slots': self.slots,
            'State': self.state,
            'WarmupLeftMs': 0,
            'Seq': self.seq,
            'born': self.born_ms,
        }

    def connect(self, connection: 'ServerConnection') -> bool:
        """Take in a new connection; return False beyond ``max_conns``."""
        if len(self.connections) >= self._max_conns:
            return False
        self.connections.add(connection)
        return True

    async def respond(
        self,
        request: scripted_target.HttpMessage,
        connection: 'ServerConnection',
    ) -> None:
        """Run or reject one request and write the answer."""
        request_id = request.headers.get('request-id', '')
        self._note(self.arrivals, 'arrived', request_id)
        if request.headers.get('expect-instance') != self.server_id:
            self.write(connection, request_id, 421, {'Instance-Id': 'other'})
            return
        ends_ms = self.record.now_ms() + float(
            request.headers.get('deadline-ms', 60_000)
        )
        if self._taken >= self.slots + self._queue:
            self.reject(connection, request_id)
            return
        self._taken += 1
        try:
            left_s = (ends_ms - self.record.now_ms()) / 1_000.0
            try:
                await asyncio.wait_for(self._free.acquire(), left_s)
            except TimeoutError:
                self.reject(connection, request_id)
                return
            try:
                self._note(self.runs, 'ran', request_id)
                if request.line.split()[1] in self.crashing_paths:
                    self._back = asyncio.create_task(self._crash(request_id))
                    return
                await self._work(connection, request_id, ends_ms)
            finally:
                self._free.release()
        finally:
            self._taken -= 1

    async def _work(
        self, connection: 'ServerConnection', request_id: str, ends_ms: float
    ) -> None:
        stamp = f'{self.server_id}.{next(self._stamps)}.{request_id}'
        headers = {'Answer-Stamp': stamp}
        left_ms = ends_ms - self.record.now_ms()
        work_ms = self.work_ms()
        await asyncio.sleep(min(work_ms, left_ms) / 1_000.0)
        if work_ms > left_ms:
            self.write(connection, request_id, 504, headers)
            return
        self.write(
            connection, request_id, 200, headers, self._make_body(stamp)
        )

    def reject(self, connection: 'ServerConnection', request_id: str) -> None:
        """Reject a request: it has not run and never will."""
        self.record.add('rejected', id=request_id, server=self.server_id)
        self.write(connection, request_id, 503, {'Not-Run': '1'})

    def write(
        self,
        connection: 'ServerConnection',
        request_id: str,
        status: int,
        headers: typing.Mapping[str, str],
        body: bytes = b'',
    ) -> None:
        """Write one answer."""
        connection.write(
            scripted_target.answer(request_id, body, status, headers)
        )

    def _note(self, rows: list[Run], event: str, request_id: str) -> None:
        at_ms = self.record.add(event, id=request_id, server=self.server_id)
        rows.append(Run(at_ms, request_id, self.server_id))


class ServerConnection(asyncio.Protocol):
    """One connection to a server, which serves one request at a time."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._waiting: collections.deque[scripted_target.HttpMessage] = (
            collections.deque()
        )
        self._task: asyncio.Task[None] | None = None
        self._last_answer = b''
        self._late_answer = b''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the connection, or reset it beyond the server's limit."""
        self._transport = typing.cast(asyncio.Transport, transport)
        if not self._server.connect(self):
            self._transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Drop the request that runs."""
        self._server.connections.discard(self)
        self._waiting.clear()
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Read what has come."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._url = b''
        self._headers: dict[str, str] = {}
        self._body = b''

    def on_url(self, part: bytes) -> None:
        """Read a part of the path."""
        self._url += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Read a header."""
        self._headers[name.decode('latin-1').lower()] = value.decode('latin-1')

    def on_body(self, part: bytes) -> None:
        """Read a part of the body."""
        self._body += part

    def on_message_complete(self) -> None:
        """Answer the request once those before it are answered."""
        method = self._parser.get_method().decode('latin-1')
        line = f'{method} {self._url.decode("latin-1")} HTTP/1.1'
        self._waiting.append(
            scripted_target.HttpMessage(line, self._headers, self._body)
        )
        if self._task is None:
            self._task = asyncio.create_task(self._answer())

    async def _answer(self) -> None:
        while self._waiting:
            request = self._waiting.popleft()
            if self._late_answer:
                self._write(self._late_answer)
                self._late_answer = b''
            await self._server.respond(request, self)
        self._task = None

    def write(self, answer: bytes) -> None:
        """Write an answer."""
        self._last_answer = answer
        self._write(answer)

    def repeat_last(self) -> None:
        """Write the last answer again where the next one is expected."""
        self._late_answer = self._last_answer

    def _write(self, data: bytes) -> None:
        assert self._transport is not None
        self._transport.write(data)

    def abort(self) -> None:
        """Reset the connection."""
        assert self._transport is not None
        self._transport.abort()


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a consumer got; ``status`` is 0 if no complete answer came."""

    status: int
    headers: dict[str, str]
    body: bytes = b''


class Deployment:
    """Store, servers and daemons; use as an async context manager.

    Parameters
    ----------
    record
        Gets what is sent, answered and run.
    beat_ms
        How often each server writes to the store.
    """

    def __init__(self, record: Record, beat_ms: float = 1_200.0) -> None:
        self.record = record
        self.store = prepared_store.PreparedStore()
        self.servers: dict[str, Server] = {}
        self.fronts: dict[str, str] = {}
        self.sent_ms: dict[str, float] = {}
        self._beat_ms = beat_ms
        self._ready: dict[str, str] = {}
        self._files: dict[str, pathlib.Path] = {}
        self._fields: dict[str, dict[str, object]] = {}
        self._commands: dict[str, list[str]] = {}
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._folder = tempfile.TemporaryDirectory()
        self._store_address = ''
        self._beats: asyncio.Task[None] | None = None
        self._deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
        )['roles']['entry']

    async def __aenter__(self) -> 'Deployment':
        self._store_address = await self.store.start()
        self._beats = asyncio.create_task(self._beat())
        return self

    async def __aexit__(self, *error: object) -> None:
        assert self._beats is not None
        self._beats.cancel()
        for name in list(self._processes):
            await self.end(name, signal.SIGKILL)
        for server in self.servers.values():
            await server.close()
        await self.store.stop()
        self._folder.cleanup()

    # Servers and the operator.

    async def add_server(self, server: Server) -> None:
        """Start a server and register it."""
        await server.start()
        server.on_back = self.beat
        self.servers[server.server_id] = server
        self.beat(server)

    def beat(self, server: Server) -> None:
        """Write a server's entry to the store."""
        self.store.put('servers', server.server_id, server.entry())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(self._beat_ms / 1_000.0)
            for server in self.servers.values():
                if server.state != 'gone':
                    self.beat(server)

    def configure(
        self,
        version: int,
        routes: list[dict[str, object]],
        max_conns: int = 40,
    ) -> None:
        """Write a configuration; the store's acknowledgement is immediate."""
        names = sorted({row.service for row in self.servers.values()})
        services = [
            {
                'Name': name,
                'HealthPath': '/healthz',
                'MaxConns': max_conns,
                'Protocol': 'h1',
                'Tls': False,
            }
            for name in names
        ]
        limits = {
            'MaxHeaderBytes': 16_384,
            'MaxBodyBytes': 262_144,
            'HeaderTimeoutMs': 3_000,
            'IdleTimeoutMs': 15_000,
        }
        spec = {
            'Version': version,
            'Routes': routes,
            'Services': services,
            'Limits': limits,
        }
        self.store.put('config', 'main', spec)
        self.record.add('configured', version=version)

    # Daemons.

    def prepare(self, name: str, zone: str, first_start: bool = True) -> None:
        """Choose a daemon's addresses and write its settings file."""
        ip = _free_ip()
        front, ready, peer = cluster.free_ports(3)
        fields: dict[str, object] = {
            'Node': name,
            'Zone': zone,
            'Ip': ip,
            'Listen.Front': f'{ip}:{front}',
            'Listen.Ready': f'{ip}:{ready}',
            'InternalPortRange.0': peer,
            'Limits.Cores': 2,
            'Limits.CpuShare': 0.537,
            'platform.Addr': self._store_address,
            'Bounds.RetryRatio': 0.2,
            'Bounds.RetrySlack': 56,
            'Bounds.RetryWindowS': 10,
            'Bounds.GraceS': GRACE_S,
        }
        self.fronts[name] = f'{ip}:{front}'
        self._ready[name] = f'{ip}:{ready}'
        self._files[name] = pathlib.Path(self._folder.name) / f'{name}.json5'
        self._fields[name] = fields
        self._write_settings(name, first_start)
        words = self._deploy['run'].split()
        words[words.index('--settings') + 1] = str(self._files[name])
        self._commands[name] = [_fill_in(word, fields) for word in words]

    def _write_settings(self, name: str, first_start: bool) -> None:
        template = (ROOT / self._deploy['template']).read_text('utf-8')
        fields = {**self._fields[name], 'Bootstrap': first_start}
        self._files[name].write_text(_fill_in(template, fields), 'utf-8')

    def launch(self, name: str) -> None:
        """Start the process of a daemon that was prepared."""
        kept = ('PATH', 'HOME', 'LANG')
        environment = {
            key: os.environ[key] for key in kept if key in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self.log_path(name).open('ab') as log:
            self._processes[name] = subprocess.Popen(
                self._commands[name],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record.add('started', daemon=name)

    def log_path(self, name: str) -> pathlib.Path:
        """Return the file that a daemon logs to."""
        return pathlib.Path(self._folder.name) / f'{name}.log'

    async def start(self, names: typing.Iterable[str]) -> None:
        """Start daemons and wait until all are ready."""
        for name in names:
            self.launch(name)
        for name in names:
            await self.wait_ready(name)

    async def restart(self, name: str) -> None:
        """Stop a daemon as planned, start it again, wait until it is ready."""
        await self.end(name, signal.SIGTERM)
        self._write_settings(name, False)
        self.launch(name)
        await self.wait_ready(name)

    async def wait_ready(self, name: str) -> None:
        """Wait until a daemon answers its readiness question with 200."""
        ends_s = time.monotonic() + _START_LIMIT_S
        while time.monotonic() < ends_s:
            got = await send(self._ready[name], 'GET', '/readyz', {}, b'', 1.0)
            if got.status == 200:
                self.record.add('ready', daemon=name)
                return
            await asyncio.sleep(_READY_POLL_S)
        raise TimeoutError(
            f'{name}\n{self.log_path(name).read_text()[-4000:]}'
        )

    async def end(self, name: str, number: signal.Signals) -> None:
        """Signal a daemon, wait for its end; kill it after the grace time."""
        process = self._processes.pop(name)
        self.record.add('signalled', daemon=name, signal=number.name)
        process.send_signal(number)
        try:
            await asyncio.to_thread(process.wait, _STOP_LIMIT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            await asyncio.to_thread(process.wait)

    # Consumers.

    async def ask(
        self,
        daemon: str,
        method: str,
        path: str,
        request_id: str,
        deadline_ms: int,
        body: bytes = b'',
    ) -> Answer:
        """Send a request on a new connection, as a consumer."""
        self.sent_ms[request_id] = self.record.add(
            'sent', id=request_id, daemon=daemon, path=path
        )
        headers = {
            'Host': HOST,
            'Request-Id': request_id,
            'Deadline-Ms': str(deadline_ms),
        }
        got = await send(
            self.fronts[daemon],
            method,
            path,
            headers,
            body,
            deadline_ms / 1_000.0,
        )
        self.record.add('answered', id=request_id, status=got.status)
        return got

    def runs(self) -> list[Run]:
        """Return every run of every server, in order of time."""
        rows = [run for server in self.servers.values() for run in server.runs]
        return sorted(rows, key=lambda run: run.at_ms)

    def runs_by_request(self) -> collections.Counter[str]:
        """Return how often each request ran."""
        return collections.Counter(run.request_id for run in self.runs())


async def send(
    address: str,
    method: str,
    path: str,
    headers: typing.Mapping[str, str],
    body: bytes,
    limit_s: float,
) -> Answer:
    """Send one request on a new connection and return what comes."""
    host, _, port = address.rpartition(':')
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            rows = ''.join(
                f'{key}: {value}\r\n' for key, value in headers.items()
            )
            if body:
                rows += f'Content-Length: {len(body)}\r\n'
            head = f'{method} {path} HTTP/1.1\r\n{rows}\r\n'
            writer.write(head.encode() + body)
            got = await scripted_target.read_request(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Answer(0, {})
    finally:
        if writer is not None:
            writer.close()
    if got is None:
        return Answer(0, {})
    return Answer(int(got.line.split()[1]), got.headers, got.body)


def run(
    case: typing.Callable[[Deployment], typing.Awaitable[bool]],
    folder: pathlib.Path,
) -> typing.NoReturn:
    """Play a case and exit with the status that ``case.sh`` expects.

    Parameters
    ----------
    case
        Plays the case on a deployment; returns whether a rule was broken.
    folder
        Where ``record.txt`` is written.
    """
    try:
        is_broken = asyncio.run(_play(case, folder))
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        sys.exit(_CANNOT_RUN_STATUS)
    sys.exit(_BROKEN_STATUS if is_broken else 0)


async def _play(
    case: typing.Callable[[Deployment], typing.Awaitable[bool]],
    folder: pathlib.Path,
) -> bool:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    record = Record(folder / 'record.txt')
    try:
        async with asyncio.timeout(_CASE_LIMIT_S):
            async with Deployment(record) as system:
                is_broken = await case(system)
        record.add('verdict', broken=is_broken)
        return is_broken
    finally:
        record.close()


def is_troubled() -> bool:
    """Return whether the disruption is wanted: not with ``TROUBLE=0``."""
    return os.environ.get('TROUBLE', '1') != '0'


def _fill_in(text: str, fields: typing.Mapping[str, object]) -> str:
    """Return a template with its placeholders replaced by values."""

    def value(match: re.Match[str]) -> str:
        found = fields[match[1]]
        return json.dumps(found) if match[2] else str(found)

    return _PLACEHOLDER.sub(value, text)


def _free_ip() -> str:
    """Return a loopback address of its own, free on the metrics port."""
    while True:
        low, high = os.urandom(2)
        ip = f'127.{100 + low % 100}.{high}.{1 + low % 250}'
        with socket.socket() as probe:
            try:
                probe.bind((ip, METRICS_PORT))
            except OSError:
                continue
        return ip
