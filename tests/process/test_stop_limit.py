"""Scattered and unrepeatable requests pending at the stop limit."""

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
"""Deadline and silence limit of targets, far beyond the stop limit, so that
only the stop ends a request."""

_DESKS = {'desk-1', 'desk-2'}
_TERMS = {'claimant': 'household-1'}
_POLL_S = 0.02
_WAIT_S = 15.0
"""Limit of each wait, far above the usual time."""


class _System(systems.System):
    """A system with long deadlines and a short stop limit."""

    def write_settings(self, name: str, **extra: object) -> object:
        """Write settings with a short stop limit."""
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
    """A daemon is stopped while targets or the store do not respond.

    Guards against connections that are closed at the stop limit without a
    response to their pending requests.
    """

    async def asyncSetUp(self) -> None:
        """Start two daemons and send work to all targets."""
        self.system = await _System().__aenter__()
        self.addAsyncCleanup(self.system.__aexit__, None, None, None)
        await self.system.build(2)
        # Content known to be harmless is not tried alone at a target.
        call = await self.system.search(_DAEMON, _TERMS)
        self.assertEqual('answered', call.outcome_type)
        # A target gets no work until it has answered a probe.
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
        """Send the daemon a number of SIGTERMs."""
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
        """Check that requests begun by targets end as unknown."""
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
        """Requests are answered at the limit, then the daemon exits."""
        await self._assert_begun_ends_unknown(1)

    async def test_a_second_signal_cuts_no_request(self) -> None:
        """A second signal shortens the limit; requests are still answered."""
        await self._assert_begun_ends_unknown(2)

    async def test_a_third_signal_cuts_no_request(self) -> None:
        """A third signal ends the stop; requests are still answered."""
        await self._assert_begun_ends_unknown(3)

    async def test_search_ends_with_what_was_answered(self) -> None:
        """Only shards whose replicas are both silent are missing."""
        await self._silence('shard-1', 'shard-2')
        search = asyncio.create_task(self.system.search(_DAEMON, _TERMS))
        await asyncio.sleep(_POLL_S)
        await self._stop()
        call = await search
        self.assertEqual((200, 'partial'), (call.status, call.outcome_type))
        await self._assert_ended()

    async def test_request_without_a_claim_is_not_run(self) -> None:
        """Without a claim nothing is sent to targets, so "not run" is true."""
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
        """An operator's change that waits for a store read is refused."""
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
        """The second of two pipelined requests is refused at a stop."""
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
        """A request with an incomplete body does not delay the exit."""
        _, writer = await self._connect()
        writer.write(_search_bytes()[:-1])
        await asyncio.sleep(_POLL_S)
        await self._stop()
        await self._assert_ended()

    async def test_request_on_a_kept_connection_is_refused(self) -> None:
        """A request on a kept-alive connection during a stop is refused."""
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
        """Callers of two daemons that stop at once are all answered.

        Only a run or a search of which all is still queued at dispatchers may
        be refused as not run, and it must never run.
        """
        runs = len(self._executed('run'))
        searches = len(self._executed('sub-query'))
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
        sub_queries = self._executed('sub-query')[searches:]
        for call in ended:
            truths = {(504, 'unknown')}
            key = call.idempotency_key
            is_begun = key in begun
            if not key:
                is_begun = any(
                    row.attempt_id.startswith(f'{call.daemon}-')
                    for row in sub_queries
                )
            if not is_begun:
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
