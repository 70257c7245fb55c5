import unittest

from samphiredock.coordination import forwarding


def _daemon(site: str, number: int) -> forwarding.Daemon:
    return forwarding.Daemon(f'{site}-{number}', site, '127.0.0.1:1', 1.0)


class IntroductionTest(unittest.TestCase):
    """Who is told, and what."""

    def setUp(self) -> None:
        self.daemons = [
            _daemon(site, number) for number in (1, 2) for site in ('b', 'a')
        ]

    def test_each_daemon_is_told_by_one_other(self) -> None:
        """A ring: nobody is left out, whatever the order of the list."""
        first = [
            forwarding.successors(self.daemons, row.name)[0].name
            for row in self.daemons
        ]
        self.assertEqual({row.name for row in self.daemons}, set(first))

    def test_most_are_told_within_their_site(self) -> None:
        self.assertEqual(
            'a-2', forwarding.successors(self.daemons, 'a-1')[0].name
        )

    def test_a_daemon_never_tells_itself(self) -> None:
        for row in self.daemons:
            tried = forwarding.successors(self.daemons, row.name)
            self.assertNotIn(row, tried)
            self.assertEqual(3, len(tried))

    def test_one_that_is_not_listed_tells_nobody(self) -> None:
        self.assertEqual([], forwarding.successors(self.daemons, 'c-1'))

    def test_what_is_told_is_read(self) -> None:
        told = forwarding.introduction_request(self.daemons)
        self.assertEqual(
            tuple(self.daemons), forwarding.read_introduction(told.body)
        )

    def test_bytes_that_are_no_introduction(self) -> None:
        for body in (b'', b'{}', b'[{"name": 1}]', b'\xff'):
            self.assertIsNone(forwarding.read_introduction(body))

    def test_the_pace_falls_with_the_size(self) -> None:
        """The list of coordinators grows; the bytes a second must not."""
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
            # A sixth of the 6 KB/s that a daemon has for control.
            self.assertLess(len(body) / seconds, 1_000.0, daemons)

    def test_one_that_starts_is_told_soon(self) -> None:
        """It refuses its callers meanwhile; they wait for 2 s at most."""
        self.assertLess(forwarding.introduction_interval_ms(195), 2_000.0)
        self.assertLess(forwarding.introduction_interval_ms(490), 5_000.0)
