"""Tests of which daemons coordinate, and of handing requests over to them."""

import dataclasses
import math
import unittest

from samphiredock.coordination import forwarding
from samphiredock import protocol
from samphiredock import state


def daemons(**sites: int) -> list[forwarding.Daemon]:
    """Return the given number of daemons per site, largest first."""
    return [
        forwarding.Daemon(
            f'{site}-{number}', site, f'10.0.0.{number}:1', 2.0 - number / 50
        )
        for site, count in sites.items()
        for number in range(count)
    ]


class RolesTest(unittest.TestCase):
    """The choice, which must be the same at every daemon."""

    def test_daemons_far_from_targets_do_not_coordinate(self) -> None:
        """Otherwise each part of an answer would cross between sites."""
        targets = {'a': 21, 'b': 21, 'c': 2}
        rows = [
            dataclasses.replace(
                row, near=forwarding.is_near_targets(row.site, targets)
            )
            for row in daemons(a=3, b=3, c=2)
        ]
        chosen = forwarding.coordinators_of(rows, 3)
        self.assertEqual({'a', 'b'}, {name[0] for name in chosen})
        self.assertEqual(6, len(chosen))

    def test_largest_daemons_of_a_site_coordinate(self) -> None:
        """The other daemons keep no connections to targets."""
        chosen = forwarding.coordinators_of(daemons(a=20, b=20), 2)
        self.assertEqual({'a-0', 'a-1', 'b-0', 'b-1'}, chosen)

    def test_a_small_host_does_not_coordinate_beside_large_ones(self) -> None:
        """Its searches would take twice as long."""
        rows = [
            forwarding.Daemon(f'd{n}', 'a', '10.0.0.1:1', cores)
            for n, cores in enumerate((2.15, 0.5, 2.15, 0.5))
        ]
        chosen = forwarding.coordinators_of(rows, 3)
        self.assertEqual({'d0', 'd2'}, chosen)
        chosen = forwarding.coordinators_of(rows[1::2], 3)
        self.assertEqual({'d1', 'd3'}, chosen)

    def test_connections_leave_room_for_those_of_a_lost_daemon(self) -> None:
        """A target resets connections beyond its limit.

        One of the daemons loses power and restarts, while the target still
        counts its old connections.
        """
        for most, count in ((26, 8), (40, 8), (110, 8), (53, 6), (58, 8)):
            each = forwarding.connections_per_daemon(most, count)
            self.assertLessEqual(each * (count + 1), most)
        self.assertEqual(1, forwarding.connections_per_daemon(26, 100))

    def test_ranking_does_not_depend_on_list_order(
        self,
    ) -> None:
        """Daemons that list each other in another order must agree."""
        rows = [
            forwarding.Daemon(f'd{n}', 'a', '10.0.0.1:1', 1.0)
            for n in range(9)
        ]
        one = forwarding.coordinators_of(rows, 3)
        other = forwarding.coordinators_of(rows[::-1], 3)
        self.assertEqual(one, other)

    def test_someone_coordinates_if_no_daemon_is_near(self) -> None:
        """All targets are at a site that has no daemons."""
        rows = [dataclasses.replace(row, near=False) for row in daemons(c=2)]
        self.assertEqual(2, len(forwarding.coordinators_of(rows, 3)))

    def test_daemon_coordinates_temporarily(self) -> None:
        """Otherwise its callers are refused until the list is updated."""
        role = forwarding.Role('c-0', 3)
        rows = [
            dataclasses.replace(row, near=row.site == 'a')
            for row in daemons(a=3, c=2)
        ]
        self.assertTrue(role.update(rows, 1_000.0))
        self.assertFalse(role.coordinates)
        role.coordinate_temporarily(2_000.0, 20_000.0)
        self.assertTrue(role.coordinates)
        self.assertEqual(2_000.0, role.since_ms)
        self.assertFalse(role.update(rows, 21_000.0))
        self.assertTrue(role.update(rows, 22_001.0))
        self.assertFalse(role.coordinates)


class HandoverTest(unittest.TestCase):
    """The headers that a hop adds and removes."""

    def setUp(self) -> None:
        """Create a daemon with version 4 of the routing table."""
        self.routing = forwarding.RoutingState()
        self.routing.offer(state.RoutingTable(4, (), {}, state.CallerLimits()))
        self.dialect = forwarding.HandoverDialect(self.routing)
        self.request = protocol.ForwardRequest(
            'id', 'GET', 'h', '/a', (('X', 'y'),), b'', 500.0
        )
        self.target = state.LiveTarget('d', 's', '10.0.0.1:1', 'a', 1)

    def _handed(self) -> object:
        sent = self.dialect.target_request(self.request, self.target, 321.5)
        return forwarding.read_handed_over(sent.headers)

    def test_caller_cannot_set_handover_headers(self) -> None:
        """A caller could ask for service by an outdated routing table."""
        headers = (
            ('X', 'y'),
            ('Samphiredock-Stale-Ok', '1'),
            ('samphiredock-age-ms', '9000'),
        )
        self.request = dataclasses.replace(self.request, headers=headers)
        handed = self._handed()
        self.assertFalse(handed.stale_ok)
        self.assertEqual(0.0, handed.age_ms)
        self.assertEqual((('X', 'y'),), handed.headers)

    def test_age_of_a_request_is_handed_over(self) -> None:
        """A request counts from when its caller sent it, as far as known."""
        table = forwarding.RoutingState()
        table.offer(
            state.RoutingTable(
                1,
                (state.Route('r', 'h', '/a/', True, 3_000.0, 100.0, 2),),
                {},
                state.CallerLimits(),
            )
        )
        for deadline_ms, left_ms, known_ms, age_ms in (
            (2_000.0, 1_900.0, 0.0, 100.0),
            (6_000.0, 2_900.0, 0.0, 100.0),
            (None, 2_900.0, 0.0, 100.0),
            (2_000.0, 1_900.0, math.inf, math.inf),
        ):
            request = protocol.ForwardRequest(
                'r1', 'GET', 'h', '/a/x', (), b'', deadline_ms, known_ms
            )
            dialect = forwarding.HandoverDialect(table)
            target = state.LiveTarget('d', 'coordinators', 'x:1', 'a', 1)
            sent = dialect.target_request(request, target, left_ms)
            handed = forwarding.read_handed_over(sent.headers)
            received = forwarding.as_received(request, handed, table.table)
            self.assertEqual(left_ms, received.deadline_ms)
            self.assertAlmostEqual(age_ms, received.age_ms)

    def test_handover_round_trip(self) -> None:
        """The caller's headers are kept, those of the hop are removed."""
        handed = self._handed()
        self.assertEqual((('X', 'y'),), handed.headers)
        self.assertEqual('id', handed.request_id)
        self.assertEqual(321.5, handed.left_ms)
        self.assertEqual(4, handed.least_version)

    def test_least_version_never_decreases(self) -> None:
        """Otherwise a caller could see a change undone.

        One coordinator replies with version 7; the next request may go to one
        that still has version 4.
        """
        reply = forwarding.coordinator_reply(
            protocol.HttpReply(200, (('K', 'v'),), b'x'), self._handed(), 7
        )
        self.assertTrue(self.dialect.is_reply_to(self.request, reply))
        read = self.dialect.read_reply(self.request, reply)
        self.assertIs(protocol.SubStatus.ANSWERED, read.status)
        self.assertEqual((('K', 'v'),), read.reply.headers)
        self.assertEqual(7, self._handed().least_version)

    def test_stale_table_is_allowed_only_on_request(self) -> None:
        """An old routing table is allowed only if all have lost the store.

        While another coordinator has contact with the store, it may know a
        newer route.
        """
        self.assertFalse(self._handed().stale_ok)
        stale = forwarding.StaleHandoverDialect(self.dialect)
        sent = stale.target_request(self.request, self.target, 321.5)
        handed = forwarding.read_handed_over(sent.headers)
        self.assertTrue(handed.stale_ok)
        self.assertEqual(4, handed.least_version)

    def test_refusal_is_not_passed_on(self) -> None:
        """Nothing has run, so another coordinator is asked."""
        reply = forwarding.refusal_reply(self._handed(), 'behind')
        read = self.dialect.read_reply(self.request, reply)
        self.assertIs(protocol.SubStatus.SHED, read.status)

    def test_internal_error_without_id_ends_the_wait(self) -> None:
        """A reply without the id must not be ignored until the deadline.

        The server reports an internal error without the handover headers.  The
        request may have been forwarded, so no other coordinator is asked.
        """
        reply = protocol.HttpReply(500, (), b'internal error, see the log')
        self.assertTrue(self.dialect.is_reply_to(self.request, reply))
        read = self.dialect.read_reply(self.request, reply)
        self.assertIs(protocol.SubStatus.BROKEN, read.status)
        other = protocol.HttpReply(200, (), b'')
        self.assertFalse(self.dialect.is_reply_to(self.request, other))

    def test_coordinators_own_503_is_passed_on(self) -> None:
        """A coordinator's final 503 is not retried elsewhere."""
        reply = forwarding.coordinator_reply(
            protocol.HttpReply(503), self._handed(), 4
        )
        read = self.dialect.read_reply(self.request, reply)
        self.assertIs(protocol.SubStatus.ANSWERED, read.status)

    def test_incomplete_headers(self) -> None:
        """The sender is no daemon, or one of another version."""
        for headers in (
            (),
            (('Samphiredock-Request', 'a'),),
            (
                ('Samphiredock-Request', 'a'),
                ('Samphiredock-Left-Ms', 'x'),
                ('Samphiredock-Version', '1'),
            ),
        ):
            with self.subTest(headers):
                self.assertIsNone(forwarding.read_handed_over(headers))

    def test_handover_is_not_repeatable(self) -> None:
        """Two coordinators might send it to more targets than allowed.

        The first one is lost with the request and may have sent it to two of
        three targets; another one would choose anew.
        """
        routing = forwarding.HandoverRouting(self.routing)
        self.assertFalse(routing.match('h', '/a').repeatable)
        row = state.Route('r', 'h', '/', True, 300.0, 50.0, 2, shards=('s',))
        self.routing.offer(
            state.RoutingTable(5, (row,), {}, state.CallerLimits())
        )
        route = routing.match('h', '/a')
        self.assertFalse(route.repeatable)
        self.assertEqual((300.0, 50.0), (route.timeout_ms, route.aim_ms))
