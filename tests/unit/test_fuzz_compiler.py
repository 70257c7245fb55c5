"""Random bases and mutations through the compiler."""

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
_PARTS = strategies.floats(0, 1)
_SIZES = strategies.integers(1, 100)


def _places(raw: typing.Any) -> list[tuple[typing.Any, typing.Any]]:
    rows = raw.items() if isinstance(raw, dict) else enumerate(raw)
    found = []
    for key, value in rows:
        found.append((raw, key))
        if isinstance(value, (dict, list)):
            found += _places(value)
    return found


@strategies.composite
def _overlays(draw: typing.Callable, raw: dict) -> list[dict]:
    site = draw(strategies.sampled_from(sorted(raw['sites'])))
    own = [name for name, row in raw['targets'].items() if row['site'] == site]
    size = strategies.fixed_dictionaries(
        {}, optional={'slots': _SIZES, 'connections': _SIZES}
    )
    cap = strategies.fixed_dictionaries({'cap': _PARTS})
    kinds = {'share_cap': _PARTS}
    if own:
        kinds['targets'] = strategies.dictionaries(
            strategies.sampled_from(own), size, min_size=1
        )
    if raw['services']:
        kinds['services'] = strategies.dictionaries(
            strategies.sampled_from(sorted(raw['services'])), cap, min_size=1
        )
    return [{site: {kind: draw(kinds[kind])}} for kind in sorted(kinds)]


class CompilerFuzzTest(unittest.TestCase):
    """The compiler never raises and never passes the common limit."""

    @SETTINGS
    @hypothesis.given(base_files.valid_bases())
    def test_a_valid_base_compiles(self, raw: dict) -> None:
        """What keeps every rule is accepted."""
        made = state.compile_source(base_files.make_source(raw))
        self.assertIsInstance(made, result.Success, str(made))

    @SETTINGS
    @hypothesis.given(base_files.valid_bases(), JSON, strategies.integers(0))
    def test_a_mutation_never_raises(
        self, raw: dict, value: object, seed: int
    ) -> None:
        """Any value at any place gives a configuration or mistakes."""
        holder, key = random.Random(seed).choice(_places(raw))
        holder[key] = value
        made = state.compile_source(base_files.make_source(raw))
        if isinstance(made, result.Success):
            sites = made.unwrap().sites.values()
            self.assertLessEqual(sum(row.share for row in sites), 1 + 1e-6)

    @SETTINGS
    @hypothesis.given(JSON, JSON)
    def test_anything_at_all_never_raises(
        self, raw: object, overlay: object
    ) -> None:
        """Neither file need be an object."""
        state.compile_source(base_files.make_source(raw, {'bole-a': overlay}))
        state.compile_source(
            base_files.make_source(
                base_files.example_base(), {'bole-a': overlay}
            )
        )

    @SETTINGS
    @hypothesis.given(strategies.data())
    def test_no_overlay_passes_the_common_limit(
        self, data: strategies.DataObject
    ) -> None:
        """What compiles with overlays is nowhere above the base alone."""
        raw = data.draw(base_files.valid_bases())
        alone = state.compile_source(base_files.make_source(raw)).unwrap()
        for overlays in data.draw(_overlays(raw)):
            made = state.compile_source(base_files.make_source(raw, overlays))
            if isinstance(made, result.Success):
                self._assert_no_higher(alone, made.unwrap())

    def _assert_no_higher(
        self, alone: state.Configuration, found: state.Configuration
    ) -> None:
        self.assertEqual(alone.limits, found.limits)
        for name, site in found.sites.items():
            common = alone.sites[name]
            self.assertLessEqual(site.share_cap, common.share_cap)
            self.assertEqual(common.share, site.share)
            for cap in site.service_caps.values():
                self.assertLessEqual(cap, common.share_cap)
        for name, target in found.targets.items():
            common = alone.targets[name]
            self.assertLessEqual(target.slots, common.slots)
            self.assertLessEqual(target.connections, common.connections)
