import ast
import importlib
import pathlib
import unittest

import samphiredock

_ROOT = pathlib.Path(samphiredock.__file__).parent
_PACKAGES = ('coordination', 'metrics', 'protocol', 'state', 'transport')


def _is_below(module: str | None, package: str) -> bool:
    """Whether a module is a package or lies within it."""
    return f'{module}.'.startswith(f'{package}.')


class PublicNamesTest(unittest.TestCase):
    """The tables of public names of the packages."""

    def test_names_used_elsewhere_are_public(self) -> None:
        """In code that no test runs, a missing name would go unnoticed."""
        known = {
            name: importlib.import_module(f'samphiredock.{name}').__all__
            for name in _PACKAGES
        }
        missing = set()
        for path in _ROOT.parent.rglob('*.py'):
            if '.venv' in path.parts:
                continue
            tree = ast.parse(path.read_text(encoding='utf-8'))
            imported = {
                alias.name
                for node in ast.walk(tree)
                if isinstance(node, ast.ImportFrom)
                and node.module == 'samphiredock'
                for alias in node.names
            }
            for node in ast.walk(tree):
                if isinstance(node, ast.Attribute) and isinstance(
                    node.value, ast.Name
                ):
                    package = node.value.id
                    if package in imported & set(known):
                        if node.attr not in known[package]:
                            missing.add(f'{path.name}: {package}.{node.attr}')
        self.assertEqual(set(), missing)

    def test_private_modules_are_used_within_their_package(self) -> None:
        """Other packages use only the public names of a package."""
        found = []
        for path in _ROOT.rglob('*.py'):
            package = path.relative_to(_ROOT).parts[0]
            tree = ast.parse(path.read_text(encoding='utf-8'))
            found += [
                f'{path.name}: {node.module}.{alias.name}'
                for node in ast.walk(tree)
                if isinstance(node, ast.ImportFrom)
                for alias in node.names
                if alias.name.startswith('_')
                and not _is_below(node.module, f'samphiredock.{package}')
            ]
        self.assertEqual([], found)

    def test_each_public_name_is_where_it_is_listed(self) -> None:
        """A wrong table fails only at the first use of a name."""
        parts = sorted(
            path.parent.relative_to(_ROOT)
            for path in (_ROOT / 'coordination').glob('*/__init__.py')
        )
        for part in (*_PACKAGES, *parts):
            dotted = '.'.join(pathlib.Path(part).parts)
            package = importlib.import_module(f'samphiredock.{dotted}')
            listed = package.__all__
            private = [name for name in listed if name.startswith('_')]
            with self.subTest(package=dotted):
                self.assertEqual(sorted(set(listed)), listed)
                self.assertEqual(listed, dir(package)[: len(listed)])
                self.assertEqual([], private)
                for name in listed:
                    self.assertIsNotNone(getattr(package, name), name)

    def test_a_name_that_is_not_public(self) -> None:
        """The error contains the package and the name."""
        with self.assertRaisesRegex(AttributeError, 'protocol.*no name.*Nil'):
            getattr(importlib.import_module('samphiredock.protocol'), 'Nil')
