"""A stand-in of the object store on the users' platform.

Serves objects by kind and name over HTTP, with revisions, conditional
writes, watches, and switches for the platform's documented faults.  It can
come back from an older copy of its data.
"""

import asyncio
import dataclasses
import json
import typing

from aiohttp import web

_Json = dict[str, typing.Any]


@dataclasses.dataclass
class StoreFaults:
    """Fault switches of the store.

    ``status`` is the status of every response if not 0; ``silent`` leaves
    all calls unanswered.  ``lose_writes`` is a number of writes to apply
    before aborting their connections, ``resets`` a number of calls to abort
    without effect.  ``stale`` is not used.
    """

    status: int = 0
    silent: bool = False
    lose_writes: int = 0
    resets: int = 0
    stale: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Copy:
    """The data of the store at a time."""

    objects: dict[tuple[str, str], _Json]
    events: list[tuple[int, str, _Json, bool]]
    revision: int


class PreparedStore:
    """The store; ``put`` and ``remove`` act for operators and targets."""

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.calls = 0
        self.era = 1
        self._objects: dict[tuple[str, str], _Json] = {}
        self._events: list[tuple[int, str, _Json, bool]] = []
        self._revision = 1
        self._oldest = 1
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self._cut = asyncio.Event()
        # By the placeholder for them in the JSON of objects.
        self._raw_values: dict[bytes, bytes] = {}

    async def start(self) -> str:
        """Start listening; return ``IP:port``."""
        app = web.Application(middlewares=[self._add_era])
        app.router.add_route('*', '/objects/{kind}', self._handle_kind)
        app.router.add_route(
            '*', '/objects/{kind}/{name}', self._handle_object
        )
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        return f'{host}:{port}'

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    # Direct access for tests.

    def put(self, kind: str, name: str, spec: typing.Any) -> None:
        """Write an object unconditionally."""
        self._revision += 1
        meta = {'Name': name, 'Revision': self._revision}
        row = {'meta': meta, 'spec': spec, 'status': None}
        self._store_row(kind, name, row)

    def put_row(self, kind: str, name: str, row: typing.Any) -> None:
        """Store an invalid row, as another writer might leave it."""
        self._revision += 1
        self._store_row(kind, name, row)

    def put_raw(self, kind: str, name: str, spec: bytes) -> None:
        """Write an object whose value is sent as it is, also if not JSON."""
        token = f'raw value {len(self._raw_values)}'
        self._raw_values[json.dumps(token).encode()] = spec
        self.put(kind, name, token)

    def _store_row(self, kind: str, name: str, row: typing.Any) -> None:
        self._objects[kind, name] = row
        self._record_event(kind, row, False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        row = self._objects.pop((kind, name), None)
        if row is not None:
            self._revision += 1
            self._record_event(kind, row, True)

    def names(self, kind: str) -> set[str]:
        """Return the names of all objects of a kind."""
        return {name for held, name in self._objects if held == kind}

    def forget_history(self) -> None:
        """Drop the event history: watches from earlier revisions get 410."""
        self._oldest = self._revision + 1
        self._events.clear()
        self.cut_watches()

    def copy(self) -> '_Copy':
        """Return a copy of the data, for :meth:`roll_back`."""
        return _Copy(dict(self._objects), list(self._events), self._revision)

    def roll_back(self, copy: '_Copy') -> None:
        """Come back from a copy: later writes are lost, a new era begins."""
        self._objects = dict(copy.objects)
        self._events = list(copy.events)
        self._revision = copy.revision
        self.era += 1
        self.cut_watches()

    def cut_watches(self) -> None:
        """Abort the connection of every waiting watch."""
        cut, self._cut = self._cut, asyncio.Event()
        cut.set()

    def _record_event(self, kind: str, row: _Json, removed: bool) -> None:
        self._events.append((self._revision, kind, row, removed))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    # HTTP handlers.

    @web.middleware
    async def _add_era(
        self, request: web.Request, handler: typing.Any
    ) -> web.StreamResponse:
        response = await handler(request)
        response.headers['Store-Era'] = str(self.era)
        return response

    def _json_response(
        self, body: typing.Any, status: int = 200
    ) -> web.Response:
        content = json.dumps(body).encode()
        for token, value in self._raw_values.items():
            content = content.replace(token, value)
        return web.Response(
            body=content, status=status, content_type='application/json'
        )

    async def _apply_fault(self, request: web.Request) -> web.Response | None:
        self.calls += 1
        if self.faults.silent:
            await asyncio.sleep(3_600)
        if self.faults.resets:
            self.faults.resets -= 1
            return _abort(request)
        if self.faults.status:
            return web.Response(status=self.faults.status)
        return None

    async def _handle_kind(self, request: web.Request) -> web.StreamResponse:
        kind = request.match_info['kind']
        fault = await self._apply_fault(request)
        if fault is not None:
            return fault
        if request.method == 'POST':
            return await self._create(request, kind)
        if 'Watch' in request.query:
            return await self._watch(request, kind)
        after = request.query.get('after', '')
        rows = sorted(
            (name, row)
            for (held, name), row in self._objects.items()
            if held == kind and name > after
        )
        page = [row for _, row in rows[:50]]
        body = {
            'items': page,
            'HasMore': len(rows) > len(page),
            'CurrentRev': self._revision,
        }
        return self._json_response(body)

    async def _watch(
        self, request: web.Request, kind: str
    ) -> web.StreamResponse:
        position = int(request.query['Watch'])
        if position + 1 < self._oldest or position > self._revision:
            return web.Response(status=410)
        cut = self._cut
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + int(request.query['WaitMs']) / 1000.0
        while True:
            found = [
                {'Object': row, 'Tombstone': removed}
                for revision, held, row, removed in self._events
                if revision > position and held == kind
            ]
            left_s = ends_s - loop.time()
            if found or left_s <= 0:
                return self._json_response(
                    {'events': found, 'CurrentRev': self._revision}
                )
            waits = [
                asyncio.ensure_future(event.wait())
                for event in (self._changed, cut)
            ]
            await asyncio.wait(
                waits,
                timeout=left_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for wait in waits:
                wait.cancel()
            if cut.is_set():
                return _abort(request)

    async def _create(
        self, request: web.Request, kind: str
    ) -> web.StreamResponse:
        body = json.loads(await request.read())
        name = body['meta']['Name']
        if (kind, name) in self._objects:
            return self._json_response(self._objects[kind, name], status=409)
        self.put(kind, name, body['spec'])
        return self._write_response(request, kind, name)

    async def _handle_object(self, request: web.Request) -> web.StreamResponse:
        kind, name = request.match_info['kind'], request.match_info['name']
        fault = await self._apply_fault(request)
        if fault is not None:
            return fault
        held = self._objects.get((kind, name))
        if held is None:
            return web.Response(status=404)
        if request.method == 'GET':
            return self._json_response(held)
        if request.method == 'DELETE':
            wanted = int(request.query.get('Revision', 0))
        else:
            body = json.loads(await request.read())
            wanted = body['meta'].get('Revision', 0)
        if wanted and wanted != held['meta']['Revision']:
            return self._json_response(held, status=409)
        if request.method == 'DELETE':
            self.remove(kind, name)
            return self._json_response(held)
        self.put(kind, name, body['spec'])
        return self._write_response(request, kind, name)

    def _write_response(
        self, request: web.Request, kind: str, name: str
    ) -> web.StreamResponse:
        if self.faults.lose_writes:
            self.faults.lose_writes -= 1
            return _abort(request)
        return self._json_response(self._objects[kind, name])


def _abort(request: web.Request) -> web.Response:
    """Abort the connection; the returned response is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
