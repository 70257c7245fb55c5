"""Requests that are under way when a stop's time is up."""

import asyncio
import signal
import unittest
import urllib.parse

import msgspec

from tests import history
from tests.process import system as systems

_DAEMON = 'entry-1'
_OTHER = 'entry-2'
_LIMIT_MS = 1_500
_LONG_MS = 60_000
"""Deadlines, and silence before a target counts as lost: far past the
limit, so that nothing but the stop ends a request."""

_DESKS = {'desk-1', 'desk-2'}
_TERMS = {'claimant': 'household-1'}
_POLL_S = 0.02
_WAIT_S = 15.0
"""For what takes a second or two; a test that waits longer has failed."""


class _System(systems.System):
    """Requests that may last long, at a daemon with a short stop."""

    def write_settings(self, name: str, **extra: object) -> object:
        """Bound the stop."""
        extra.setdefault('balancer_lag_ms', 100)
        extra.setdefault('shutdown_limit_ms', _LIMIT_MS)
        return super().write_settings(name, **extra)

    def _base(self) -> dict[str, object]:
        base = super()._base()
        base['limits'] = {
            'deadline_limit_ms': _LONG_MS,
            'silent_after_ms': _LONG_MS,
        }
        for service in base['services'].values():
            for kind in ('searches', 'operations'):
                for row in service.get(kind, {}).values():
                    row['deadline_ms'] = _LONG_MS
        return base


class StopLimitTest(unittest.IsolatedAsyncioTestCase):
    """What a daemon waits for stays silent, and it is stopped.

    A caller sees its connection closed, with no answer and no refusal.
    Targets and store have read what the daemon sent and answer nothing, so
    that each request is open until its deadline, long after the stop's
    limit.  The daemon does not end what is open when its time is up.
    """

    async def asyncSetUp(self) -> None:
        """Start two daemons, one of which is stopped; use all targets."""
        self.system = await _System().__aenter__()
        self.addAsyncCleanup(self.system.__aexit__, None, None, None)
        await self.system.build(2)
        # The content is known to harm no target: no shard is tried alone.
        call = await self.system.search(_DAEMON, _TERMS)
        self.assertEqual('answered', call.outcome_type)
        # A target gets its first work only when it has answered a probe.
        async with asyncio.timeout(_WAIT_S):
            while {row.target for row in self._executed('run')} != _DESKS:
                await self.system.pay(_DAEMON, self.system.new_key())

    async def _silence(self, *routes: str) -> None:
        for route in routes:
            await self.system.relay_mode(systems.RELAY, route, 'hold-answers')

    async def _until_executed(self, kind: str, count: int) -> None:
        async with asyncio.timeout(_WAIT_S):
            while len(self._executed(kind)) < count:
                await asyncio.sleep(_POLL_S)

    def _executed(self, kind: str) -> list[history.Execution]:
        rows = self.system.executions()
        return [row for row in rows if row.kind == kind]

    async def _stop(self, signals: int = 1) -> None:
        """Stop the daemon by so many signals, and wait for its end."""
        for _ in range(signals):
            self.system.kill(_DAEMON, signal.SIGTERM)
            await asyncio.sleep(_POLL_S)

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        place = self.system.daemons[_DAEMON]
        url = urllib.parse.urlsplit(place.caller_url)
        reader, writer = await asyncio.open_connection(url.hostname, url.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def _assert_ended(self, daemon: str = _DAEMON) -> None:
        process = self.system.processes[daemon]
        async with asyncio.timeout(_WAIT_S):
            while process.poll() is None:
                await asyncio.sleep(_POLL_S)
        self.assertEqual(0, process.returncode)

    async def _assert_begun_ends_unknown(self, signals: int) -> None:
        """A target has begun each: the answer promises nothing."""
        before = len(self._executed('sub-query'))
        await self._silence(*self.system.target_urls)
        key = self.system.new_key()
        runs = len(self._executed('run'))
        calls = [
            asyncio.create_task(self.system.search(_DAEMON, _TERMS)),
            asyncio.create_task(self.system.pay(_DAEMON, key)),
        ]
        await self._until_executed('run', runs + 1)
        await self._until_executed('sub-query', before + 1)
        await self._stop(signals)
        ended = await asyncio.gather(*calls)
        self.assertEqual([504, 504], [call.status for call in ended])
        self.assertEqual(
            ['unknown', 'unknown'], [call.outcome_type for call in ended]
        )
        await self._assert_ended()
        self.assertEqual(runs + 1, len(self._executed('run')))

    async def test_begun_requests_end_unknown_at_the_limit(self) -> None:
        """The answers come when the time is up, then the daemon ends."""
        await self._assert_begun_ends_unknown(1)

    async def test_a_second_signal_cuts_no_request(self) -> None:
        """It shortens the limit and no more."""
        await self._assert_begun_ends_unknown(2)

    async def test_a_third_signal_cuts_no_request(self) -> None:
        """The time is up at once; the answers still come."""
        await self._assert_begun_ends_unknown(3)

    async def test_search_ends_with_what_was_answered(self) -> None:
        """Two neighbours are silent: only their common shards are missing."""
        await self._silence('shard-1', 'shard-2')
        search = asyncio.create_task(self.system.search(_DAEMON, _TERMS))
        await asyncio.sleep(_POLL_S)
        await self._stop()
        call = await search
        self.assertEqual((200, 'partial'), (call.status, call.outcome_type))
        await self._assert_ended()

    async def test_request_without_a_claim_is_not_run(self) -> None:
        """The store is silent, so nothing was sent, and nothing will be."""
        runs = len(self._executed('run'))
        await self._silence('store')
        pay = asyncio.create_task(
            self.system.pay(_DAEMON, self.system.new_key())
        )
        await asyncio.sleep(_POLL_S)
        await self._stop(2)
        call = await pay
        self.assertEqual((503, 'not-run'), (call.status, call.outcome_type))
        await self._assert_ended()
        self.assertEqual(runs, len(self._executed('run')))

    async def test_change_that_was_not_written_says_so(self) -> None:
        """An operator's call waits for the store's answer to a read."""
        await self._silence('store')
        url = self.system.daemons[_DAEMON].operator_url
        change = {
            'base_revision': 1,
            'change_id': 'second',
            'author': 'test',
            'base': self.system.base,
            'overlays': {},
        }
        call = asyncio.create_task(
            self.system.call('PUT', f'{url}/v1/configuration', change)
        )
        await asyncio.sleep(_POLL_S)
        await self._stop(2)
        async with asyncio.timeout(_WAIT_S):
            status, outcome = await call
        self.assertEqual((503, 'unavailable'), (status, outcome['type']))
        await self._assert_ended()

    async def test_request_behind_another_is_refused(self) -> None:
        """Two on one connection: the second was read and waits."""
        before = len(self._executed('sub-query'))
        await self._silence(*self.system.target_urls)
        reader, writer = await self._connect()
        writer.write(_search_bytes() * 2)
        await self._until_executed('sub-query', before + 1)
        await self._stop()
        async with asyncio.timeout(_WAIT_S):
            read = await reader.read()
        answers = read.split(b'HTTP/1.1 ')[1:]
        self.assertEqual([b'504', b'503'], [row[:3] for row in answers])
        self.assertIn(b'shutting-down', answers[1])
        await self._assert_ended()

    async def test_half_a_request_does_not_hold_the_daemon(self) -> None:
        """Its body never comes whole; the daemon ends all the same."""
        _, writer = await self._connect()
        writer.write(_search_bytes()[:-1])
        await asyncio.sleep(_POLL_S)
        await self._stop()
        await self._assert_ended()

    async def test_request_on_a_kept_connection_is_refused(self) -> None:
        """It comes when new ones are refused and old ones are open."""
        reader, writer = await self._connect()
        writer.write(_search_bytes())
        head = await reader.readuntil(b'\r\n\r\n')
        self.assertIn(b'200 OK', head)
        length = head.lower().partition(b'content-length: ')[2]
        await reader.readexactly(int(length.split(b'\r\n')[0]))
        before = len(self._executed('sub-query'))
        await self._silence(*self.system.target_urls)
        search = asyncio.create_task(self.system.search(_DAEMON, _TERMS))
        await self._until_executed('sub-query', before + 1)
        await self._stop(2)
        writer.write(_search_bytes())
        async with asyncio.timeout(_WAIT_S):
            answer = await reader.read()
        self.assertIn(b'503 Service Unavailable', answer)
        self.assertIn(b'Connection: close', answer)
        self.assertIn(b'shutting-down', answer)
        self.assertEqual('unknown', (await search).outcome_type)
        await self._assert_ended()

    async def test_two_daemons_stopped_at_once(self) -> None:
        """Each waits for the other as well; callers of both are answered.

        One run may still wait in a dispatcher's queue: only such a one may
        be told "not run", and it never runs.
        """
        runs = len(self._executed('run'))
        await self._silence(*self.system.target_urls)
        keys = [self.system.new_key() for _ in range(2)]
        calls = []
        for daemon, key in zip((_DAEMON, _OTHER), keys):
            calls += [
                asyncio.create_task(self.system.search(daemon, _TERMS)),
                asyncio.create_task(self.system.pay(daemon, key)),
            ]
        await self._until_executed('run', runs + 1)
        self.system.kill(_OTHER, signal.SIGTERM)
        await self._stop()
        ended = await asyncio.gather(*calls)
        await self._assert_ended(_OTHER)
        await self._assert_ended()
        begun = {row.idempotency_key for row in self._executed('run')}
        for call in ended:
            truths = {(504, 'unknown')}
            key = call.idempotency_key
            if key and key not in begun:
                truths.add((503, 'not-run'))
            self.assertIn((call.status, call.outcome_type), truths)
        self.assertLessEqual(len(self._executed('run')), runs + 2)


def _search_bytes() -> bytes:
    body = msgspec.json.encode(
        {
            'service': 'field-claims',
            'search': 'claimant-history',
            'terms': _TERMS,
        }
    )
    head = (
        'POST /v1/search HTTP/1.1\r\nHost: daemon\r\n'
        f'Content-Type: application/json\r\nContent-Length: {len(body)}\r\n'
        '\r\n'
    )
    return head.encode() + body
