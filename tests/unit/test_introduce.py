"""Tests of the ring on which daemons send each other the coordinators."""

import unittest

from samphiredock.coordination import forwarding


def _daemon(site: str, number: int) -> forwarding.Daemon:
    return forwarding.Daemon(f'{site}-{number}', site, '127.0.0.1:1', 1.0)


class IntroductionTest(unittest.TestCase):
    """Four daemons at two sites."""

    def setUp(self) -> None:
        self.daemons = [
            _daemon(site, number) for number in (1, 2) for site in ('b', 'a')
        ]

    def test_each_daemon_is_a_first_successor(self) -> None:
        """On the ring every daemon is the first successor of another one."""
        first = [
            forwarding.successors(self.daemons, row.name)[0].name
            for row in self.daemons
        ]
        self.assertEqual({row.name for row in self.daemons}, set(first))

    def test_successor_is_at_the_same_site(self) -> None:
        self.assertEqual(
            'a-2', forwarding.successors(self.daemons, 'a-1')[0].name
        )

    def test_a_daemon_is_not_its_own_successor(self) -> None:
        for row in self.daemons:
            tried = forwarding.successors(self.daemons, row.name)
            self.assertNotIn(row, tried)
            self.assertEqual(3, len(tried))

    def test_unlisted_daemon_has_no_successors(self) -> None:
        self.assertEqual([], forwarding.successors(self.daemons, 'c-1'))

    def test_introduction_round_trip(self) -> None:
        request = forwarding.introduction_request(self.daemons)
        self.assertEqual(
            tuple(self.daemons), forwarding.read_introduction(request.body)
        )

    def test_malformed_introduction(self) -> None:
        for body in (b'', b'{}', b'[{"name": 1}]', b'\xff'):
            self.assertIsNone(forwarding.read_introduction(body))

    def test_traffic_is_bounded_in_large_systems(self) -> None:
        """The list grows with the system; its traffic must stay bounded."""
        self.assertEqual(1_000.0, forwarding.introduction_interval_ms(8))
        for daemons, sites in ((8, 3), (195, 5), (490, 8)):
            coordinators = [
                forwarding.Daemon(
                    f'edge-lideta-d-{number}', 'lideta-d', '10.4.0.9:7380', 2.1
                )
                for number in range(min(daemons, 3 * sites))
            ]
            body = forwarding.introduction_request(coordinators).body
            seconds = forwarding.introduction_interval_ms(daemons) / 1000.0
            # A sixth of a daemon's 6 KB/s for control traffic.
            self.assertLess(len(body) / seconds, 1_000.0, daemons)

    def test_interval_stays_short(self) -> None:
        """A daemon that starts refuses its callers until it has the list."""
        self.assertLess(forwarding.introduction_interval_ms(195), 2_000.0)
        self.assertLess(forwarding.introduction_interval_ms(490), 5_000.0)
