import ast
import pathlib
import unittest

import samphiredock

_ROOT = pathlib.Path(samphiredock.__file__).parent
_PACKAGES = ('coordination', 'protocol', 'state', 'transport')


class PublicNamesTest(unittest.TestCase):
    def test_all_lists_what_is_imported(self) -> None:
        for package in _PACKAGES:
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
            with self.subTest(package):
                self.assertEqual(sorted(imported), listed)
                self.assertEqual([], private)
