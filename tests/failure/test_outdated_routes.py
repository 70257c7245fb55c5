"""Routing tables that may be outdated: what a daemon denies, and what not."""

import asyncio
import json
import pathlib
import sys
import unittest

from returns import result

from samphiredock.coordination import forwarding
from samphiredock.daemon import _entry_forwarding
from samphiredock.daemon import _entry_state
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport
from standins import memory_links

_FOLDER = pathlib.Path(__file__).parents[2] / 'platform'
sys.path.append(str(_FOLDER))

import prepared_hosts  # noqa: E402

_HOST = 'h.example'
_LOST_MS = 4_500.0
"""Time after which the contact with the store counts as lost."""


def table_value(version: int, *paths: str) -> bytes:
    """Return a stored routing table with a route for each path."""
    routes = [
        {
            'Name': path,
            'Host': _HOST,
            'PathPrefix': path,
            'Service': 'desk',
            'Kind': 'idempotent',
            'TimeoutMs': 3_000,
            'MaxAttempts': 2,
            'TargetLatencyMs': 100,
        }
        for path in paths
    ]
    services = [{'Name': 'desk', 'HealthPath': '/healthz', 'MaxConns': 9}]
    return json.dumps(
        {'Version': version, 'Routes': routes, 'Services': services}
    ).encode()


class _Store:
    """A store with one routing table, until the test cuts it off."""

    def __init__(self, clock: timers.ManualTimers) -> None:
        self._clock = clock
        self.is_unreachable = False
        self.table = table_value(2, '/old/')

    def era(self) -> int:
        """Return the era of a store that has lost no writes."""
        return 1

    async def put(self, *arguments: object) -> result.Result:
        """Accept the registration of a daemon."""
        return result.Success(7)

    async def scan(
        self, *arguments: object, **options: object
    ) -> result.Result:
        """Return an empty list."""
        return result.Success(())

    async def get(self, key: str) -> result.Result:
        """Return the routing table, or fail."""
        if self.is_unreachable:
            return self._lost()
        return result.Success(self._stored())

    async def watch(
        self, prefix: str, position: int, timeout_ms: int
    ) -> result.Result:
        """Return the routing table in the first page, later no changes."""
        if position or not prefix.startswith('config'):
            waiting = asyncio.get_running_loop().create_future()
            self._clock.after(500.0, lambda: waiting.set_result(None))
            await waiting
        if self.is_unreachable:
            return self._lost()
        changed = ()
        if prefix.startswith('config') and not position:
            changed = (self._stored(),)
        page = transport.WatchPage(changed, (), position + 1, not position)
        return result.Success(page)

    def _stored(self) -> transport.StoredObject:
        return transport.StoredObject('config/main', 3, self.table)

    def _lost(self) -> result.Result:
        kind = transport.StoreErrorKind.LOST
        return result.Failure(transport.StoreError(kind, 'by the test'))


class OutdatedRoutesTest(unittest.IsolatedAsyncioTestCase):
    """A coordinator that holds version 2 and has lost the store."""

    async def asyncSetUp(self) -> None:
        """Let it read version 2, then cut it off from the store."""
        self.clock = timers.ManualTimers()
        self.store = _Store(self.clock)
        self.counters = metrics.Metrics('test')
        self.addCleanup(self.counters.close)
        adapter = prepared_hosts.PreparedHosts()
        address = '127.0.0.1:1'
        settings = state.EntrySettings(
            'me', 'a', address, address, address, address
        )
        self.state = _entry_state.EntryState(
            settings, adapter, self.store, self.clock, self.counters
        )
        self.state.start()
        self.addCleanup(self.state.close)
        self.forwarding = _entry_forwarding.EntryForwarding(
            settings, adapter, self.state, self.clock, self.counters
        )
        self.addCleanup(self.forwarding.close)
        await self._advance(1_000.0)
        self.assertEqual(404, (await self._ask('/new/x')).status)
        self.store.is_unreachable = True
        await self._advance(_LOST_MS)

    async def _advance(self, span_ms: float) -> None:
        for _ in range(int(span_ms / 100.0)):
            await memory_links.settle()
            self.clock.advance(100.0)
        await memory_links.settle()

    def _hear(self, *statuses: forwarding.StoreStatus) -> None:
        """Record what peers answer to a freshness check."""
        self.state.freshness_check.record_round(statuses, self.clock.now_ms())

    async def _ask(self, path: str) -> protocol.HttpReply:
        """Send a request of this daemon's own caller."""
        headers = (('Host', _HOST), ('Request-Id', 'r1'))
        return await self.forwarding.handle('GET', path, headers, b'')

    async def _hand_over(
        self, path: str, stale_ok: bool = True
    ) -> protocol.HttpReply:
        """Hand over a request as a daemon whose callers used version 2."""
        dialect = forwarding.HandoverDialect(self.state.routing)
        if stale_ok:
            dialect = forwarding.StaleHandoverDialect(dialect)
        headers = (('Host', _HOST), ('Request-Id', 'r1'))
        target = state.LiveTarget('me', 's', '10.0.0.1:1', 'a', 1)
        request = protocol.ForwardRequest(
            'r1', 'GET', _HOST, path, headers, b'', 500.0
        )
        sent = dialect.target_request(request, target, 400.0)
        return await self.forwarding.handle_peer(
            'GET', path, sent.headers, b''
        )

    def _assert_refused_for_now(self, reply: protocol.HttpReply) -> None:
        """Check for a refusal that says when to come back."""
        self.assertEqual(503, reply.status)
        self.assertEqual('0.500', reply.header('Retry-After'))

    async def test_stale_handover_does_not_deny_a_newer_route(self) -> None:
        """A caller got 404 for a route in force, by an outdated table."""
        self._hear(forwarding.StoreStatus(13, True))
        reply = await self._hand_over('/new/x')
        self.assertEqual(503, reply.status)
        # Another coordinator may hold the newer table.
        self.assertEqual('1', reply.header('Samphiredock-Refused'))

    async def test_newer_version_is_not_forgotten(self) -> None:
        """A later round in which no peer had contact hid the newer table."""
        self._hear(forwarding.StoreStatus(13, True))
        self._hear(forwarding.StoreStatus(2, False))
        self._assert_refused_for_now(await self._ask('/new/x'))
        self.assertEqual(503, (await self._hand_over('/new/x')).status)
        reply = await self._hand_over('/old/x', stale_ok=False)
        self.assertEqual('1', reply.header('Samphiredock-Refused'))

    async def test_own_caller_is_not_denied_a_newer_route(self) -> None:
        """A coordinator's own caller got 404 by an outdated table.

        The newer version is known from a peer with or without contact, from
        a daemon that hands over, or from a coordinator's reply.
        """
        check = self.state.freshness_check
        sources = (
            lambda: self._hear(forwarding.StoreStatus(3, True)),
            lambda: self._hear(forwarding.StoreStatus(4, False)),
            lambda: check.note_version(5),
        )
        for source in sources:
            source()
            self._assert_refused_for_now(await self._ask('/new/x'))
        await self.state.can_serve_handed_over(9, True)
        self.assertTrue(check.knows_newer_than(8))

    async def test_coordinators_reply_tells_of_a_newer_version(self) -> None:
        """Callers that used version 8 were denied its routes afterwards."""
        check = self.state.freshness_check
        dialect = forwarding.HandoverDialect(
            self.state.routing, check.note_version
        )
        headers = (
            ('Samphiredock-Request', 'r1'),
            ('Samphiredock-Version', '8'),
        )
        request = protocol.ForwardRequest(
            'r1', 'GET', _HOST, '/new/x', (), b'', 500.0
        )
        dialect.read_reply(request, protocol.HttpReply(200, headers, b''))
        self.assertTrue(check.knows_newer_than(7))
        self.assertFalse(check.knows_newer_than(8))

    async def test_unconfirmed_table_denies_nothing(self) -> None:
        """A table that nobody confirmed may lack routes added since.

        All daemons have lost the store; each coordinator would refuse alike,
        so the caller is not passed from one to the next.
        """
        self._assert_refused_for_now(await self._ask('/new/x'))
        self._hear(forwarding.StoreStatus(2, False))
        for stale_ok in (True, False):
            reply = await self._hand_over('/new/x', stale_ok)
            self._assert_refused_for_now(reply)
            self.assertIsNone(reply.header('Samphiredock-Refused'))

    async def test_confirmed_table_denies_an_unknown_route(self) -> None:
        """Callers of a route that never was would retry without end."""
        self._hear(
            forwarding.StoreStatus(2, True), forwarding.StoreStatus(1, False)
        )
        self.assertEqual(404, (await self._ask('/new/x')).status)
        self.assertEqual(404, (await self._hand_over('/new/x')).status)
        await self._advance(2_000.0)
        self._assert_refused_for_now(await self._ask('/new/x'))
        self.store.is_unreachable = False
        await self._advance(2_000.0)
        self.assertEqual(404, (await self._ask('/new/x')).status)

    async def test_old_routes_are_served_on(self) -> None:
        """An outage of the store would otherwise stop all requests.

        The request gets as far as the targets, of which there is none.
        """
        self._hear(forwarding.StoreStatus(13, True))
        for reply in (
            await self._ask('/old/x'),
            await self._hand_over('/old/x'),
        ):
            self.assertIn(b'services', reply.body)

    async def test_table_without_known_targets_is_not_used(self) -> None:
        """A daemon without the store refused what it could serve before.

        The newer table moves a route to a service whose targets registered
        after the store was lost; the old service still serves it.
        """
        self.state.targets.put(
            state.LiveTarget('t', 'desk', '10.0.0.1:1', 'a', 1)
        )
        moved = table_value(3, '/old/').replace(b'"desk"', b'"desk-2"')
        why = self.state.offer_routing_value(moved)
        self.assertIn('no targets known', why)
        self.assertEqual(2, self.state.routing_version())
        self.state.targets.put(
            state.LiveTarget('u', 'desk-2', '10.0.0.2:1', 'a', 1)
        )
        self.assertEqual('', self.state.offer_routing_value(moved))
        self.assertEqual(3, self.state.routing_version())
        self.assertNotEqual('', self.state.offer_routing_value(b'{'))
        self.assertEqual(moved, self.state.routing_value())

    async def test_rolled_back_store_denies_no_newer_route(self) -> None:
        """A store that lost version 3 shows version 2 until it is rewritten.

        Version 3 was acknowledged, so its routes exist.
        """
        self._hear(forwarding.StoreStatus(3, True))
        self.store.is_unreachable = False
        await self._advance(2_000.0)
        self.assertTrue(self.state.has_store_contact())
        self._assert_refused_for_now(await self._ask('/new/x'))
        self.store.table = table_value(3, '/old/', '/new/')
        self.assertTrue(await self.state.can_serve_handed_over(3, False))
        self.assertIn(b'services', (await self._ask('/new/x')).body)
        self.assertEqual(404, (await self._ask('/never/x')).status)
