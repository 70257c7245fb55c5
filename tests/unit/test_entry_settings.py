"""Settings files of daemons that pass requests on."""

import json
import pathlib
import re
import tempfile
import unittest

from returns import result

from samphiredock import state

VALID = {
    'name': 'entry-1',
    'site': 'bole-a',
    'caller_address': '127.0.0.1:7200',
    'ready_address': '127.0.0.1:7201',
    'peer_address': '127.0.0.1:7202',
    'platform_address': '127.0.0.1:7100',
}
TEMPLATE = pathlib.Path(__file__).parents[2] / 'platform' / 'settings.json5'


class EntrySettingsTest(unittest.TestCase):
    """Files in a temporary folder, and the platform's template."""

    def setUp(self) -> None:
        """Create the folder."""
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.path = pathlib.Path(temporary.name) / 'settings.json5'

    def _load(self, text: str) -> result.Result:
        self.path.write_text(text, encoding='utf-8')
        return state.load_entry_settings(self.path)

    def test_all_problems_are_reported_at_once(self) -> None:
        """All problems are reported, an unknown field with a suggestion."""
        invalid = {
            **VALID, 'peer_address': 'here', 'watch_ms': 0, 'cores': -1,
            'hedge_quantile': 2, 'retry_ration': 0.2,
        }  # fmt: skip
        del invalid['name']
        problems = self._load(json.dumps(invalid)).failure()
        found = {problem.path: str(problem) for problem in problems}
        self.assertEqual(
            {
                'name', 'peer_address', 'watch_ms', 'cores',
                'hedge_quantile', 'retry_ration',
            },
            set(found),
        )  # fmt: skip
        self.assertIn("did you mean 'retry_ratio'", found['retry_ration'])

    def test_a_malformed_or_missing_file_is_a_failure(self) -> None:
        """A file that cannot be read gives a failure; nothing is raised."""
        for text in ('', '{', '[]', '{"name": 1, "name": 2}'):
            with self.subTest(text):
                self.assertIsInstance(self._load(text), result.Failure)
        self.path.unlink()
        loaded = state.load_entry_settings(self.path)
        self.assertIsInstance(loaded, result.Failure)

    def test_the_template_names_only_known_fields(self) -> None:
        """A misspelt field would prevent the start on every host."""
        text = TEMPLATE.read_text(encoding='utf-8')
        filled = re.sub(r'\{\{Ip\}\}:\{\{[^}]*\}\}', '127.0.0.1:1', text)
        filled = filled.replace('{{Ip}}', '127.0.0.1')
        values = {
            'Node': '"n"', 'Zone': '"z"', 'Listen.Front': '"127.0.0.1:2"',
            'Listen.Ready': '"127.0.0.1:3"', 'platform.Addr': '"127.0.0.1:4"',
            'Bootstrap': 'true',
        }  # fmt: skip
        for name, value in values.items():
            filled = filled.replace('{{' + name + '|json}}', value)
        filled = re.sub(r'\{\{[^}]*\}\}', '0.5', filled)
        loaded = self._load(filled)
        self.assertIsInstance(loaded, result.Success, str(loaded))
