"""Tests of the share of the retry slack that a daemon may use."""

import unittest

from samphiredock.coordination import forwarding

LEASE_MS = forwarding.LEASE_MS
SETTLE_MS = 14_000.0
STEP_MS = 2_000.0


def make_list(
    version: int,
    *names: str,
    before: tuple[str, ...] | None = None,
    era: int = 1,
) -> forwarding.SharerList:
    """Return a list whose generation is its version.

    By default it had the same names ``before``.
    """
    return forwarding.SharerList(
        version, version, names, names if before is None else before, era
    )


class ShareHistoryTest(unittest.TestCase):
    """Daemon ``a`` reads the list every two seconds."""

    def setUp(self) -> None:
        """Start at time 0, in era 1."""
        self.now_ms = 0.0
        self.era = 1
        self.history = self._make_history()

    def _make_history(
        self, is_first_start: bool = False
    ) -> forwarding.ShareHistory:
        return forwarding.ShareHistory(
            'a', lambda: SETTLE_MS, is_first_start, self.now_ms
        )

    def _read(self, sharers: forwarding.SharerList) -> None:
        self.history.on_read(
            forwarding.Reading(self.now_ms, self.now_ms, self.era, sharers)
        )

    def _read_for(
        self, duration_ms: float, sharers: forwarding.SharerList
    ) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self._read(sharers)
            self.now_ms += STEP_MS
        self._read(sharers)

    def _share(self) -> float:
        return self.history.share(self.now_ms, self.era)

    def test_share_is_used_after_it_has_settled(self) -> None:
        """Another daemon may still act on the list before."""
        self._read_for(SETTLE_MS - STEP_MS, make_list(1, 'a', 'b'))
        self.assertEqual(0.0, self._share())
        self._read_for(STEP_MS, make_list(1, 'a', 'b'))
        self.assertEqual(0.5, self._share())

    def test_smaller_share_holds_at_once(self) -> None:
        """A larger one holds only after it has settled."""
        self._read_for(SETTLE_MS, make_list(1, 'a', 'b'))
        self._read(make_list(2, 'a', 'b', 'c', 'd'))
        self.assertEqual(0.25, self._share())
        self._read_for(LEASE_MS + SETTLE_MS - STEP_MS, make_list(3, 'a'))
        self.assertEqual(0.25, self._share())
        self._read_for(STEP_MS, make_list(3, 'a'))
        self.assertEqual(1.0, self._share())

    def test_version_before_the_first_read_limits_the_share(self) -> None:
        """Others may still act on it."""
        smaller = make_list(3, 'a', before=('a', 'b', 'c', 'd'))
        self._read_for(SETTLE_MS, smaller)
        self.assertEqual(0.25, self._share())
        self._read_for(LEASE_MS, smaller)
        self.assertEqual(1.0, self._share())

    def test_new_sharer_waits_for_the_leases_of_the_others(self) -> None:
        """They may still act on a list without it."""
        joined = make_list(3, 'a', 'b', before=('b',))
        self._read_for(SETTLE_MS + LEASE_MS - STEP_MS, joined)
        self.assertEqual(0.0, self._share())
        self._read_for(STEP_MS, joined)
        self.assertEqual(0.5, self._share())

    def test_share_lapses_with_the_lease(self) -> None:
        """Without contact with the store the list may have changed."""
        self._read_for(SETTLE_MS, make_list(1, 'a'))
        self.now_ms += LEASE_MS
        self.assertEqual(1.0, self._share())
        self.now_ms += 1.0
        self.assertEqual(0.0, self._share())

    def test_unchanged_list_restores_a_lapsed_share(self) -> None:
        """Nothing was written in between, so nobody else got the share."""
        self._read_for(SETTLE_MS, make_list(1, 'a'))
        self.now_ms += 60_000.0
        self._read(make_list(1, 'a'))
        self.assertEqual(1.0, self._share())

    def test_changed_list_after_a_gap_settles_anew(self) -> None:
        """A version in between may have given the share to another daemon."""
        self._read_for(SETTLE_MS, make_list(1, 'a'))
        self.now_ms += LEASE_MS + 1.0
        self._read(make_list(3, 'a'))
        self.assertEqual(0.0, self._share())

    def test_slow_reply_counts_from_before_it_was_asked_for(self) -> None:
        """The list may have changed while the reply was on its way."""
        self._read_for(SETTLE_MS, make_list(1, 'a'))
        sent_ms = self.now_ms
        self.now_ms += LEASE_MS + 1.0
        self.history.on_read(
            forwarding.Reading(
                sent_ms, self.now_ms, self.era, make_list(1, 'a')
            )
        )
        self.assertEqual(0.0, self._share())

    def test_lost_writes_end_every_share_at_once(self) -> None:
        """The list that gave the share may be one of them."""
        self._read_for(SETTLE_MS, make_list(1, 'a'))
        self.era = 2
        self.assertEqual(0.0, self._share())
        self._read(make_list(1, 'a'))
        self.assertEqual(0.0, self._share())
        self._read_for(SETTLE_MS + LEASE_MS - STEP_MS, make_list(1, 'a'))
        self.assertEqual(0.0, self._share())
        self._read_for(STEP_MS, make_list(1, 'a'))
        self.assertEqual(1.0, self._share())

    def test_start_after_lost_writes_waits_for_lost_leases(self) -> None:
        """Others may still act on a list that the store has lost."""
        self.era = 2
        self._read_for(SETTLE_MS, make_list(1, 'a'))
        self.assertEqual(0.0, self._share())
        self._read_for(LEASE_MS, make_list(1, 'a'))
        self.assertEqual(1.0, self._share())

    def test_first_start_settles_sooner(self) -> None:
        """No extra requests were sent before the system existed."""
        self.history = self._make_history(is_first_start=True)
        self._read(forwarding.SharerList())
        self.now_ms += STEP_MS
        self._read_for(STEP_MS, make_list(1, 'a', 'b', before=()))
        self.assertEqual(0.0, self._share())
        self._read_for(STEP_MS, make_list(1, 'a', 'b', before=()))
        self.assertEqual(0.5, self._share())
        self._read(make_list(2, 'a', 'b', 'c', 'd'))
        self.assertEqual(0.25, self._share())

    def test_lost_first_list_settles_as_usual(self) -> None:
        """Another daemon may still act on the one that the store has lost."""
        self.history = self._make_history(is_first_start=True)
        self._read(forwarding.SharerList())
        self._read_for(STEP_MS, make_list(1, 'a', 'b'))
        self.era = 2
        self._read(forwarding.SharerList())
        self._read_for(SETTLE_MS - STEP_MS, make_list(1, 'a', 'b'))
        self.assertEqual(0.0, self._share())

    def test_later_lists_of_a_first_start_settle_as_usual(self) -> None:
        """A daemon that the first list lacks may meet those that use it."""
        self.history = self._make_history(is_first_start=True)
        self._read(forwarding.SharerList())
        self.now_ms += STEP_MS
        self._read_for(LEASE_MS, make_list(1, 'b'))
        self._read_for(SETTLE_MS - STEP_MS, make_list(2, 'a', 'b'))
        self.assertEqual(0.0, self._share())

    def test_restart_settles_as_usual(self) -> None:
        """It finds the list of its predecessor, whose books are lost."""
        self.history = self._make_history(is_first_start=True)
        self._read_for(SETTLE_MS - STEP_MS, make_list(1, 'a', 'b'))
        self.assertEqual(0.0, self._share())

    def test_list_without_this_daemon_gives_no_share(self) -> None:
        """Nor does an empty one."""
        self._read_for(SETTLE_MS, make_list(1, 'b'))
        self.assertEqual(0.0, self._share())
        self._read_for(SETTLE_MS, make_list(2))
        self.assertEqual(0.0, self._share())


class SharerPolicyTest(unittest.TestCase):
    """Daemon ``a`` decides whether to write the list."""

    def setUp(self) -> None:
        """Start without a known list."""
        self.policy = forwarding.SharerPolicy('a')
        self.now_ms = 0.0

    def _next(
        self, sharers: forwarding.SharerList, *coordinators: str, era: int = 1
    ) -> tuple[str, ...] | None:
        reading = forwarding.Reading(self.now_ms, self.now_ms, era, sharers)
        return self.policy.next_names(
            reading, frozenset(coordinators), self.now_ms
        )

    def test_first_list_has_all_coordinators(self) -> None:
        """It is written once the known coordinators no longer change."""
        none = forwarding.SharerList()
        self.assertIsNone(self._next(none, 'a'))
        self.now_ms = 1_000.0
        self.assertIsNone(self._next(none, 'a', 'b'))
        self.now_ms = 2_600.0
        self.assertEqual(('a', 'b'), self._next(none, 'a', 'b'))

    def test_every_version_lasts_at_least_a_lease(self) -> None:
        """A daemon must not miss a version that another one acts on."""
        for era in (1, 2):
            self.assertIsNone(self._next(make_list(5, 'b'), 'a', 'b', era=era))
            self.now_ms += LEASE_MS - 1.0
            self.assertIsNone(self._next(make_list(5, 'b'), 'a', 'b', era=era))
        self.now_ms += 1.0
        self.assertEqual(
            ('a', 'b'), self._next(make_list(5, 'b'), 'a', 'b', era=2)
        )

    def test_list_of_an_earlier_era_is_written_again(self) -> None:
        """Otherwise every later start would wait for lost leases."""
        held = make_list(5, 'a', 'b')
        self.assertIsNone(self._next(held, 'a', 'b', era=2))
        self.now_ms = LEASE_MS
        self.assertEqual(('a', 'b'), self._next(held, 'a', 'b', era=2))

    def test_sharer_that_no_longer_coordinates_is_removed(self) -> None:
        """Only after some time, since lists of daemons differ for a while."""
        held = make_list(5, 'a', 'b', 'c')
        self.assertIsNone(self._next(held, 'a', 'b'))
        self.now_ms += 14_000.0
        self.assertIsNone(self._next(held, 'a', 'b'))
        self.now_ms += 1_000.0
        self.assertEqual(('a', 'b'), self._next(held, 'a', 'b'))

    def test_only_coordinators_write(self) -> None:
        """One that does not coordinate knows too little of the others."""
        self.now_ms = 60_000.0
        self.assertIsNone(self._next(forwarding.SharerList(), 'b'))


if __name__ == '__main__':
    unittest.main()
