"""The pages describe every setting, counter and exit code."""

import ast
import dataclasses
import pathlib
import typing
import unittest

from samphiredock.cli import _exits
from samphiredock.coordination.search import _scatter_types
from samphiredock import state

ROOT = pathlib.Path(__file__).parents[2]


def _page(name: str) -> str:
    return (ROOT / 'docs' / name).read_text(encoding='utf-8')


def _counters() -> typing.Iterator[str]:
    """Yield the counter names that are literals in the code."""
    for path in (ROOT / 'samphiredock').rglob('*.py'):
        for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            name = node.args[0]
            if (
                isinstance(node.func, ast.Attribute)
                and node.func.attr in ('add', 'add_bulk', 'observe')
                and (
                    'metrics' in ast.unparse(node.func.value)
                    or 'counters' in ast.unparse(node.func.value)
                )
                and isinstance(name, ast.Constant)
            ):
                yield name.value


class PagesTest(unittest.TestCase):
    """A setting, counter or exit code must be described in docs/."""

    def test_every_field_is_described(self) -> None:
        """CONFIGURATION.md describes the fields of these classes."""
        page = _page('CONFIGURATION.md')
        kinds = (
            state.Settings,
            state.EntrySettings,
            state.TlsSettings,
            state.Limits,
            state.Search,
            state.Operation,
            state.Target,
        )
        missing = [
            f'{kind.__name__}.{field.name}'
            for kind in kinds
            for field in dataclasses.fields(kind)
            if f'{field.name}`' not in page and field.name != 'name'
        ]
        self.assertEqual([], missing)

    def test_every_counter_and_exit_code_is_described(self) -> None:
        """An operator looks them up in OPERATIONS.md."""
        page = _page('OPERATIONS.md')
        found = {*_counters(), *_scatter_types.COUNTER_NAMES}
        self.assertGreater(len(found), 10)
        missing = sorted(name for name in found if f'`{name}`' not in page)
        self.assertEqual([], missing)
        for code in _exits.Exit:
            self.assertIn(f'\n| {int(code)} |', page)
