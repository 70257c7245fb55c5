"""Base files of configurations for tests."""

import copy
import pathlib
import typing

from hypothesis import strategies
import json5

from samphiredock import state

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples' / 'gebeya'
_EXAMPLE_BASE = json5.loads(
    (EXAMPLES / 'base.json').read_text(encoding='utf-8')
)


def example_base() -> dict[str, typing.Any]:
    """Return a copy of the example's base file."""
    return copy.deepcopy(_EXAMPLE_BASE)


def make_source(
    raw: object, overlays: dict | None = None
) -> state.ConfigurationSource:
    """Return a configuration source of revision 1."""
    return state.ConfigurationSource(
        1, 'change-1', 'test', 0, raw, overlays or {}
    )


_NAMES = ('a1', 'b-2', 'c.3', 'd_4')


@strategies.composite
def valid_bases(draw: typing.Callable) -> dict[str, typing.Any]:
    """Draw a valid base file."""
    sites = draw(
        strategies.lists(
            strategies.sampled_from(_NAMES), min_size=1, unique=True
        )
    )
    targets = draw(
        strategies.lists(
            strategies.sampled_from(_NAMES), min_size=1, unique=True
        )
    )
    indexes = draw(
        strategies.lists(
            strategies.sampled_from(_NAMES), min_size=1, unique=True
        )
    )
    share = 1.0 / len(sites)
    deadlines = strategies.integers(1, 10_000)
    classes = strategies.sampled_from(state.REQUEST_CLASSES)
    search = strategies.fixed_dictionaries(
        {
            'index': strategies.sampled_from(indexes),
            'deadline_ms': deadlines,
            'least_coverage': strategies.floats(0, 1),
            'request_class': classes,
            'canary': strategies.booleans(),
            'merge': strategies.sampled_from(['by-score', 'by-key']),
            'limit': strategies.integers(1, 10_000),
        }
    )
    operation = strategies.fixed_dictionaries(
        {
            'deadline_ms': deadlines,
            'request_class': classes,
            'targets': strategies.lists(
                strategies.sampled_from(targets), min_size=1, unique=True
            ),
        }
    )
    names = strategies.sampled_from(_NAMES)
    service = strategies.fixed_dictionaries(
        {
            'searches': strategies.dictionaries(names, search, max_size=2),
            'operations': strategies.dictionaries(
                names, operation, max_size=2
            ),
            'weight': strategies.floats(0.01, 100),
        }
    )
    return {
        'services': draw(strategies.dictionaries(names, service, max_size=3)),
        'sites': {
            name: {
                'region': 'r',
                'share': draw(strategies.floats(0, share)),
                'share_cap': draw(strategies.floats(share, 1)),
            }
            for name in sites
        },
        'indexes': indexes,
        'targets': {
            name: {
                'site': draw(strategies.sampled_from(sites)),
                'url': f'http://127.0.0.1:{7000 + number}',
                'slots': draw(strategies.integers(1, 10)),
                'connections': draw(strategies.integers(1, 100)),
                'connect_ms': 1,
            }
            for number, name in enumerate(targets)
        },
        'limits': {'deadline_limit_ms': 10_000},
    }
