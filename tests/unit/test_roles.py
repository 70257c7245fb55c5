"""Which daemons coordinate, and how a request is handed over."""

import dataclasses
import unittest

from samphiredock.coordination import forwarding
from samphiredock import protocol
from samphiredock import state


def daemons(**sites: int) -> list[forwarding.Daemon]:
    """Return so many daemons a site; the first of each is the largest."""
    return [
        forwarding.Daemon(
            f'{site}-{number}', site, f'10.0.0.{number}:1', 2.0 - number / 50
        )
        for site, count in sites.items()
        for number in range(count)
    ]


class RolesTest(unittest.TestCase):
    """The choice that every daemon makes alike."""

    def test_daemons_far_from_the_targets_hand_over(self) -> None:
        """Each part of an answer would cross between sites."""
        targets = {'a': 21, 'b': 21, 'c': 2}
        rows = [
            dataclasses.replace(
                row, near=forwarding.is_near(row.site, targets)
            )
            for row in daemons(a=3, b=3, c=2)
        ]
        chosen = forwarding.coordinators_of(rows, 3)
        self.assertEqual({'a', 'b'}, {name[0] for name in chosen})
        self.assertEqual(6, len(chosen))

    def test_the_largest_of_a_site_coordinate(self) -> None:
        """The others of 60 daemons keep no connections to targets."""
        chosen = forwarding.coordinators_of(daemons(a=20, b=20), 2)
        self.assertEqual({'a-0', 'a-1', 'b-0', 'b-1'}, chosen)

    def test_a_small_host_does_not_coordinate_beside_large_ones(self) -> None:
        """Its searches would take twice as long as theirs."""
        rows = [
            forwarding.Daemon(f'd{n}', 'a', '10.0.0.1:1', cores)
            for n, cores in enumerate((2.15, 0.5, 2.15, 0.5))
        ]
        chosen = forwarding.coordinators_of(rows, 3)
        self.assertEqual({'d0', 'd2'}, chosen)
        chosen = forwarding.coordinators_of(rows[1::2], 3)
        self.assertEqual({'d1', 'd3'}, chosen)

    def test_connections_leave_room_for_those_of_a_lost_daemon(self) -> None:
        """A target resets what is beyond its limit.

        One of eight daemons loses power and starts again; the target still
        counts the connections that it had.
        """
        for most, count in ((26, 8), (40, 8), (110, 8), (53, 6), (58, 8)):
            each = forwarding.connections_per_daemon(most, count)
            self.assertLessEqual(each * (count + 1), most)
        self.assertEqual(1, forwarding.connections_per_daemon(26, 100))

    def test_equal_daemons_are_ranked_the_same_whatever_the_order(
        self,
    ) -> None:
        """Two daemons that list them differently must choose alike."""
        rows = [
            forwarding.Daemon(f'd{n}', 'a', '10.0.0.1:1', 1.0)
            for n in range(9)
        ]
        one = forwarding.coordinators_of(rows, 3)
        other = forwarding.coordinators_of(rows[::-1], 3)
        self.assertEqual(one, other)

    def test_a_site_without_daemons_does_not_leave_nobody(self) -> None:
        """All targets are at a site whose daemons are gone."""
        rows = [dataclasses.replace(row, near=False) for row in daemons(c=2)]
        self.assertEqual(2, len(forwarding.coordinators_of(rows, 3)))

    def test_a_daemon_stands_in_when_no_coordinator_is_left(self) -> None:
        """Its callers would be refused until the list is mended."""
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
    """What a hop adds and takes away."""

    def setUp(self) -> None:
        """A daemon that holds version 4."""
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

    def test_a_request_arrives_as_it_was_handed_over(self) -> None:
        """Its own headers are kept, those of the hop are taken off."""
        handed = self._handed()
        self.assertEqual((('X', 'y'),), handed.headers)
        self.assertEqual('id', handed.request_id)
        self.assertEqual(321.5, handed.left_ms)
        self.assertEqual(4, handed.least_version)

    def test_a_version_once_seen_is_the_least_from_then_on(self) -> None:
        """A caller would see a change undone.

        One coordinator answers by version 7; the next request goes to
        another that still holds version 4.
        """
        reply = forwarding.coordinator_reply(
            protocol.HttpReply(200, (('K', 'v'),), b'x'), self._handed(), 7
        )
        self.assertTrue(self.dialect.is_reply_to(self.request, reply))
        read = self.dialect.read_reply(self.request, reply)
        self.assertIs(protocol.SubStatus.ANSWERED, read.status)
        self.assertEqual((('K', 'v'),), read.reply.headers)
        self.assertEqual(7, self._handed().least_version)

    def test_old_knowledge_is_asked_for_only_at_last(self) -> None:
        """A coordinator that lost the store would refuse a new route.

        Another coordinator still hears of changes; only when all have lost
        the store is old knowledge the best there is.
        """
        self.assertFalse(self._handed().stale_ok)
        stale = forwarding.StaleHandoverDialect(self.dialect)
        sent = stale.target_request(self.request, self.target, 321.5)
        handed = forwarding.read_handed_over(sent.headers)
        self.assertTrue(handed.stale_ok)
        self.assertEqual(4, handed.least_version)

    def test_a_coordinators_refusal_is_no_answer(self) -> None:
        """Another one is asked; nothing has run."""
        reply = forwarding.refusal_reply(self._handed(), 'behind')
        read = self.dialect.read_reply(self.request, reply)
        self.assertIs(protocol.SubStatus.SHED, read.status)

    def test_a_failure_of_its_code_is_not_waited_out(self) -> None:
        """Its caller would wait for an answer until the deadline.

        The server behind which the code failed knows nothing of the hop.
        The request may have been sent on: nobody else is asked.
        """
        reply = protocol.HttpReply(500, (), b'internal error, see the log')
        self.assertTrue(self.dialect.is_reply_to(self.request, reply))
        read = self.dialect.read_reply(self.request, reply)
        self.assertIs(protocol.SubStatus.BROKEN, read.status)
        other = protocol.HttpReply(200, (), b'')
        self.assertFalse(self.dialect.is_reply_to(self.request, other))

    def test_its_own_503_is_the_callers_answer(self) -> None:
        """The coordinator has given the request up; it is not tried anew."""
        reply = forwarding.coordinator_reply(
            protocol.HttpReply(503), self._handed(), 4
        )
        read = self.dialect.read_reply(self.request, reply)
        self.assertIs(protocol.SubStatus.ANSWERED, read.status)

    def test_headers_that_are_not_whole(self) -> None:
        """Not from a daemon, or from another version of one."""
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

    def test_a_request_is_not_handed_over_a_second_time(self) -> None:
        """Two coordinators would send it to more targets than allowed.

        The first one is lost with the request; it may have sent it to two
        of three targets, and another one would choose again.
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
