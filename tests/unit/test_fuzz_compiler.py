"""Random base files, mutations and overlays given to the compiler."""

import random
import typing
import unittest

import hypothesis
from hypothesis import strategies
from returns import result

from samphiredock import state
from tests.unit import base_files

SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=100,
    suppress_health_check=list(hypothesis.HealthCheck),
)
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=3
        )
    ),
    max_leaves=8,
)
_FRACTIONS = strategies.floats(0, 1)
_SIZES = strategies.integers(1, 100)


def _locations(raw: typing.Any) -> list[tuple[typing.Any, typing.Any]]:
    rows = raw.items() if isinstance(raw, dict) else enumerate(raw)
    found = []
    for key, value in rows:
        found.append((raw, key))
        if isinstance(value, (dict, list)):
            found += _locations(value)
    return found


@strategies.composite
def _overlays(draw: typing.Callable, raw: dict) -> list[dict]:
    site = draw(strategies.sampled_from(sorted(raw['sites'])))
    own_targets = [
        name for name, row in raw['targets'].items() if row['site'] == site
    ]
    size = strategies.fixed_dictionaries(
        {}, optional={'slots': _SIZES, 'connections': _SIZES}
    )
    cap = strategies.fixed_dictionaries({'cap': _FRACTIONS})
    fields = {'share_cap': _FRACTIONS}
    if own_targets:
        fields['targets'] = strategies.dictionaries(
            strategies.sampled_from(own_targets), size, min_size=1
        )
    if raw['services']:
        fields['services'] = strategies.dictionaries(
            strategies.sampled_from(sorted(raw['services'])), cap, min_size=1
        )
    return [{site: {field: draw(fields[field])}} for field in sorted(fields)]


class CompilerFuzzTest(unittest.TestCase):
    """The compiler never raises, and overlays never raise a limit."""

    @SETTINGS
    @hypothesis.given(base_files.valid_bases())
    def test_a_valid_base_compiles(self, raw: dict) -> None:
        """A valid base file is accepted."""
        compiled = state.compile_source(base_files.make_source(raw))
        self.assertIsInstance(compiled, result.Success, str(compiled))

    @SETTINGS
    @hypothesis.given(base_files.valid_bases(), JSON, strategies.integers(0))
    def test_a_mutation_never_raises(
        self, raw: dict, value: object, seed: int
    ) -> None:
        """Any value in any field gives a configuration or problems."""
        container, key = random.Random(seed).choice(_locations(raw))
        container[key] = value
        compiled = state.compile_source(base_files.make_source(raw))
        if isinstance(compiled, result.Success):
            sites = compiled.unwrap().sites.values()
            self.assertLessEqual(sum(row.share for row in sites), 1 + 1e-6)

    @SETTINGS
    @hypothesis.given(JSON, JSON)
    def test_anything_at_all_never_raises(
        self, raw: object, overlay: object
    ) -> None:
        """A base or an overlay may be any JSON value."""
        state.compile_source(base_files.make_source(raw, {'bole-a': overlay}))
        state.compile_source(
            base_files.make_source(
                base_files.example_base(), {'bole-a': overlay}
            )
        )

    @SETTINGS
    @hypothesis.given(strategies.data())
    def test_no_overlay_raises_a_limit(
        self, data: strategies.DataObject
    ) -> None:
        """Every limit compiled with overlays is at most that of the base."""
        raw = data.draw(base_files.valid_bases())
        base_only = state.compile_source(base_files.make_source(raw)).unwrap()
        for overlays in data.draw(_overlays(raw)):
            compiled = state.compile_source(
                base_files.make_source(raw, overlays)
            )
            if isinstance(compiled, result.Success):
                self._assert_no_higher(base_only, compiled.unwrap())

    def _assert_no_higher(
        self, base_only: state.Configuration, with_overlay: state.Configuration
    ) -> None:
        self.assertEqual(base_only.limits, with_overlay.limits)
        for name, site in with_overlay.sites.items():
            base = base_only.sites[name]
            self.assertLessEqual(site.share_cap, base.share_cap)
            self.assertEqual(base.share, site.share)
            for cap in site.service_caps.values():
                self.assertLessEqual(cap, base.share_cap)
        for name, target in with_overlay.targets.items():
            base = base_only.targets[name]
            self.assertLessEqual(target.slots, base.slots)
            self.assertLessEqual(target.connections, base.connections)
