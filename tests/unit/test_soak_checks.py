"""Each check of the soak fails on a history that breaks its promise."""

import dataclasses
import unittest

from soak import _checks

SHARDS = ('s1', 's2', 's3', 's4')
RECORDS = {
    name: b''.join(f'{name}{number:014}'.encode() for number in range(3))
    for name in (*SHARDS, 'desk')
}


def search(*targets: str, missing: int = 0, **changes: object) -> object:
    """Return a correct search answered by these targets."""
    services = [target.rpartition('-')[0] for target in targets]
    every = b''.join(RECORDS[service] for service in services)
    rows = sorted(
        (every[at : at + 16] for at in range(0, len(every), 16)),
        reverse=True,
    )
    row = _checks.RequestRecord(
        'search',
        'q1',
        200,
        tuple(f'q1.{target}' for target in targets),
        missing,
        b''.join(rows[:5]),
    )
    return dataclasses.replace(row, **changes)


def history(
    *requests: _checks.RequestRecord,
    executions: tuple[_checks.Execution, ...] = (),
) -> _checks.History:
    """Return a history with four shards."""
    return _checks.History(requests, executions, SHARDS, RECORDS, 0.75, 5, 2)


class SoakChecksTest(unittest.TestCase):
    """Runs all checks on histories with one fault each."""

    def _failed_checks(self, seen: _checks.History) -> set[str]:
        return {name for name, check in _checks.CHECKS.items() if check(seen)}

    def test_more_retries_than_allowed(self) -> None:
        """Counted at the targets, whichever daemons have sent them."""
        seen = dataclasses.replace(
            history(search('s1-0', 's2-1', 's3-0', 's4-0')),
            arrivals=tuple((float(at), 's1', 'q1') for at in range(4)),
            budget=(0.5, 2.0, 1_000.0),
        )
        self.assertEqual({'retry budget'}, self._failed_checks(seen))
        allowed = dataclasses.replace(seen, budget=(0.5, 2.5, 1_000.0))
        self.assertEqual(set(), self._failed_checks(allowed))

    def test_a_sound_history_passes(self) -> None:
        """Full and partial results, a lost payment, a correct refusal."""
        seen = history(
            search('s1-0', 's2-1', 's3-0', 's4-0'),
            search('s1-0', 's2-1', 's3-0', missing=1),
            _checks.RequestRecord('pay', 'p1', 502),
            _checks.RequestRecord('pay', 'p2', 503),
            _checks.RequestRecord(
                'fetch', 'f1', 200, ('f1.desk-0',), 0, RECORDS['desk']
            ),
            executions=(
                _checks.Execution('p1', 'desk-0'),
                _checks.Execution('f1', 'desk-0'),
            ),
        )  # fmt: skip
        self.assertEqual(set(), self._failed_checks(seen))

    def test_a_payment_that_ran_twice(self) -> None:
        """The payment runs at two targets, or twice at one."""
        for second in ('desk-0', 'desk-1'):
            seen = history(
                _checks.RequestRecord(
                    'pay', 'p1', 200, ('p1.desk-0',), 0, RECORDS['desk']
                ),
                executions=(
                    _checks.Execution('p1', 'desk-0'),
                    _checks.Execution('p1', second),
                ),
            )  # fmt: skip
            self.assertEqual({'at most once'}, self._failed_checks(seen))

    def test_a_refusal_that_is_not_true(self) -> None:
        """A refusal as not run would make the caller run the request twice."""
        for status in (408, 421, 429, 503):
            for kind in ('pay', 'fetch', 'probe', 'search'):
                seen = history(
                    _checks.RequestRecord(kind, 'p1', status),
                    executions=(_checks.Execution('p1', 'desk-0'),),
                )
                self.assertEqual(
                    {'not run is true'}, self._failed_checks(seen)
                )

    def test_answers_that_are_not_its_own_or_not_whole(self) -> None:
        """Each case changes one thing in a correct answer."""
        parts = ('s1-0', 's2-1', 's3-0', 's4-0')
        sound = search(*parts)
        for changes in (
            {'receipts': ('q0.s1-0', *sound.receipts[1:])},
            {'receipts': (sound.receipts[0], *sound.receipts[:3])},
            {'missing': 1},
            {'body': sound.body[:-16]},
            {'body': sound.body[16:] + sound.body[:16]},
            {'receipts': sound.receipts[:2], 'missing': 2},
        ):
            with self.subTest(changes):
                seen = history(dataclasses.replace(sound, **changes))
                self.assertEqual(
                    {'own whole answer'}, self._failed_checks(seen)
                )
        fetch = _checks.RequestRecord(
            'fetch', 'f1', 200, ('f1.desk-0',), 0, b'x'
        )
        self.assertEqual(
            {'own whole answer'}, self._failed_checks(history(fetch))
        )

    def test_too_many_targets_and_unknown_routes(self) -> None:
        """Three targets of a shard, and a 404 for a configured route.

        The route of a probe allows a single target.
        """
        seen = history(
            _checks.RequestRecord('fetch', 'f1', 404),
            executions=tuple(
                _checks.Execution('q1', f's1-{n}') for n in range(3)
            ),
        )
        self.assertEqual({'attempts', 'routes'}, self._failed_checks(seen))
        for kind, wrong in (('probe', {'attempts'}), ('fetch', set())):
            seen = history(
                _checks.RequestRecord(kind, 'q1', 502),
                executions=tuple(
                    _checks.Execution('q1', f'desk-{n}') for n in range(2)
                ),
            )
            self.assertEqual(wrong, self._failed_checks(seen))

    def test_a_request_that_is_cut(self) -> None:
        """A target has begun a request, and its connection closes unanswered.

        Only a kill of the same start of the daemon excuses it.  A request
        that no target has begun and no log names may cross the close.
        """
        cut = _checks.RequestRecord(
            'fetch', 'f1', 0, daemon='one', start=2, sent_s=4.5, ended_s=5.0
        )
        began = (_checks.Execution('f1', 'desk-0'),)
        stop = _checks.Stop('one', 2, 4.0, 6.0)
        for stops in ((), (stop,)):
            seen = dataclasses.replace(
                history(cut, executions=began), stops=stops
            )
            self.assertEqual({'stops cut nothing'}, self._failed_checks(seen))
        for killed in (('one', 1), ('two', 2)):
            other = dataclasses.replace(seen, killed=frozenset({killed}))
            self.assertEqual({'stops cut nothing'}, self._failed_checks(other))
        excused = dataclasses.replace(seen, killed=frozenset({('one', 2)}))
        self.assertEqual(set(), self._failed_checks(excused))
        for name, wrong in (('one', {'stops cut nothing'}), ('two', set())):
            logged = {name: frozenset({'f1'})}
            seen = dataclasses.replace(history(cut), logged=logged)
            self.assertEqual(wrong, self._failed_checks(seen))
        self.assertEqual(set(), self._failed_checks(history(cut)))

    def test_a_request_that_is_dropped(self) -> None:
        """A request sent before a stop, and never begun, gets no response.

        Requests sent during the stop may cross the close, and pipelined
        requests after the first are excused too.
        """
        dropped = _checks.RequestRecord(
            'fetch', 'f1', 0, daemon='one', start=2, sent_s=3.0, ended_s=5.0
        )
        stop = _checks.Stop('one', 2, 4.0, 6.0)
        for change, wrong in (
            ({}, {'stops refuse by word'}),
            ({'status': 502}, set()),
            ({'sent_s': 4.5}, set()),
            ({'pipeline_index': 1}, set()),
            ({'start': 1}, set()),
        ):
            row = dataclasses.replace(dropped, **change)
            seen = dataclasses.replace(history(row), stops=(stop,))
            self.assertEqual(wrong, self._failed_checks(seen))
        early = dataclasses.replace(stop, ready=False)
        seen = dataclasses.replace(history(dropped), stops=(early,))
        self.assertEqual(set(), self._failed_checks(seen))

    def test_a_stop_that_ends_in_disorder(self) -> None:
        """An error status, a crash, or death by an unhandled signal."""
        for ended in ((1, 1), (1, 3), (-15, 1), (-4, 3), (1, 1, False)):
            stop = _checks.Stop('one', 1, 4.0, 6.0, *ended)
            seen = dataclasses.replace(history(), stops=(stop,))
            self.assertEqual({'stops end in order'}, self._failed_checks(seen))
        for ended in ((0, 1), (0, 3), (-15, 2), (-15, 1, False)):
            stop = _checks.Stop('one', 1, 4.0, 6.0, *ended)
            seen = dataclasses.replace(history(), stops=(stop,))
            self.assertEqual(set(), self._failed_checks(seen))

    def test_a_version_that_goes_back(self) -> None:
        """A daemon serves the route of version 5, then 404s that of 4.

        A restarted daemon may have an older version at first, and requests
        that overlap in time prove nothing.
        """
        served = _checks.RequestRecord(
            'probe', 'r1', 200, ('r1.desk-0',), 0, RECORDS['desk'], 'one', 1,
            1.0, 1.1, 5,
        )  # fmt: skip
        lost = _checks.RequestRecord(
            'probe', 'r2', 404, daemon='one', start=1, sent_s=2.0,
            ended_s=2.1, version=4,
        )  # fmt: skip
        executions = (_checks.Execution('r1', 'desk-0'),)
        self.assertEqual(
            {'versions never go back'},
            self._failed_checks(history(served, lost, executions=executions)),
        )
        for change in ({'start': 2}, {'sent_s': 1.05}, {'version': 6}):
            with self.subTest(change):
                other = dataclasses.replace(lost, **change)
                seen = history(served, other, executions=executions)
                self.assertEqual(set(), self._failed_checks(seen))
