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
    """The public modules of the packages."""

    def test_names_used_elsewhere_are_public(self) -> None:
        """A benchmark that no test runs would break unseen."""
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
        """What another package needs of one belongs in its public list."""
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

    def test_all_lists_what_is_imported(self) -> None:
        parts = sorted(
            path.parent.relative_to(_ROOT)
            for path in (_ROOT / 'coordination').glob('*/__init__.py')
        )
        for package in (*_PACKAGES, *parts):
            path = _ROOT / package / '__init__.py'
            tree = ast.parse(path.read_text(encoding='utf-8'))
            imported = [
                alias.asname or alias.name
                for node in tree.body
                if isinstance(node, ast.ImportFrom)
                for alias in node.names
            ]
            (listed,) = [
                ast.literal_eval(node.value)
                for node in tree.body
                if isinstance(node, ast.Assign)
            ]
            private = [name for name in listed if name.startswith('_')]
            with self.subTest(package=str(package)):
                self.assertEqual(sorted(imported), listed)
                self.assertEqual([], private)
