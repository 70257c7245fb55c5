"""The compiler reports all problems at once and enforces the base's limits."""

import typing
import unittest

from returns import result

from samphiredock import state
from tests.unit import base_files


def _problems(
    raw: object, overlays: dict | None = None
) -> tuple[state.Problem, ...]:
    compiled = state.compile_source(base_files.make_source(raw, overlays))
    return compiled.failure() if isinstance(compiled, result.Failure) else ()


class CompilerTest(unittest.TestCase):
    """Base files and overlays, valid and with one or several problems."""

    def test_example_and_overlays_compile(self) -> None:
        """An overlay changes the values of its own site only."""
        overlays = {
            'bole-a': {
                'services': {'field-claims': {'cap': 0.6}},
                'targets': {'shard-1': {'slots': 1}},
            },
            'kirkos-b': {'share_cap': 0.6},
        }
        compiled = state.compile_source(
            base_files.make_source(base_files.example_base(), overlays)
        )
        found = compiled.unwrap()
        self.assertEqual(
            {'field-claims': 0.6}, found.sites['bole-a'].service_caps
        )
        self.assertEqual(0.6, found.sites['kirkos-b'].share_cap)
        self.assertEqual(0.8, found.sites['yeka-c'].share_cap)
        self.assertEqual(1, found.targets['shard-1'].slots)
        self.assertEqual(2, found.targets['shard-4'].slots)
        self.assertEqual(10_000, found.limits.deadline_limit_ms)

    def test_each_problem_of_the_base_has_its_path(self) -> None:
        """An invalid value gives a problem with its path."""
        search = 'services.field-claims.searches.claimant-history'
        operation = 'services.relief-payout.operations.release-payout'
        cases: dict[str, typing.Any] = {
            f'{search}.index': 'no-such-index',
            f'{search}.deadline_ms': 20_000,
            f'{search}.least_coverage': 1.5,
            f'{search}.canary': 'yes',
            f'{search}.merge': 'by-luck',
            f'{search}.deadlin_ms': 3,
            f'{operation}.targets': ['no-such-target'],
            f'{operation}.deadline_ms': 0,
            'services.field-claims.weight': 0,
            'sites.bole-a.share': 0.9,
            'sites.bole-a.share_cap': float('nan'),
            'targets.desk-1.site': 'no-such-site',
            'targets.desk-1.slots': True,
            'targets.desk-1.url': 'ftp://desk',
            'limits.hedge_budget': float('inf'),
            'limits.key_retention_ms': state.KEY_RETENTION_LIMIT_MS + 1,
            'limits.hedge_after_ms': -1.0,
            'indexes': ['claims', 'clip-rights', 'claims'],
        }
        for path, value in cases.items():
            with self.subTest(path=path):
                raw = base_files.example_base()
                *parents, last = path.split('.')
                row = raw
                for key in parents:
                    row = row[key]
                row[last] = value
                self.assertIn(path, [row.path for row in _problems(raw)])

    def test_shares_sum_to_at_most_one(self) -> None:
        """More than the whole capacity cannot be guaranteed."""
        raw = base_files.example_base()
        raw['sites']['bole-a']['share'] = 0.5
        self.assertEqual(['sites'], [row.path for row in _problems(raw)])

    def test_problems_of_all_files_come_at_once(self) -> None:
        """Problems of the base do not hide those of overlays.

        An unknown field gets a suggestion of a similar one.
        """
        raw = base_files.example_base()
        raw['sites']['bole-a']['share_cup'] = 1
        raw['targets']['desk-1']['slots'] = 0
        found = _problems(raw, {'yeka-c': {'share_cap': 0.9}})
        self.assertEqual(
            {'sites.bole-a.share_cup', 'targets.desk-1.slots', 'share_cap'},
            {row.path for row in found},
        )
        self.assertIn("'share_cap'", found[0].got)
        # A problem of the base is not reported again for its overlay.
        overlay = {'targets': {'desk-1': {'slots': 1}}, 'share_cap': 0.5}
        self.assertEqual(2, len(_problems(raw, {'bole-a': overlay})))
        self.assertEqual('overlay yeka-c', found[-1].file)

    def test_two_targets_do_not_share_a_url(self) -> None:
        """A server with two names would be sent more work than its slots."""
        raw = base_files.example_base()
        raw['targets']['desk-1']['url'] = 'http://127.0.0.1:7406/'
        self.assertEqual(
            ['targets.desk-2.url'], [row.path for row in _problems(raw)]
        )

    def test_overlay_cannot_raise_a_limit(self) -> None:
        """Nor may it set common fields or values of other sites."""
        cases = (
            ('bole-a', {'share_cap': 0.9}, 'share_cap'),
            ('bole-a', {'share_cap': 0.3}, 'share_cap'),
            ('bole-a', {'share': 0.9}, 'share'),
            ('bole-a', {'limits': {'deadline_limit_ms': 1}}, 'limits'),
            (
                'bole-a',
                {'services': {'field-claims': {'cap': 0.9}}},
                'services.field-claims.cap',
            ),
            (
                'bole-a',
                {'services': {'nobody': {'cap': 0.1}}},
                'services.nobody',
            ),
            (
                'bole-a',
                {'targets': {'shard-1': {'slots': 3}}},
                'targets.shard-1.slots',
            ),
            (
                'bole-a',
                {'targets': {'shard-2': {'slots': 1}}},
                'targets.shard-2',
            ),
            ('nowhere', {}, '$'),
        )
        for site, overlay, path in cases:
            with self.subTest(overlay=overlay):
                found = _problems(base_files.example_base(), {site: overlay})
                self.assertEqual([path], [row.path for row in found])
                self.assertEqual(f'overlay {site}', found[0].file)
