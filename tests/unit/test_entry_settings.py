"""Settings of a daemon that passes requests on."""

import json
import pathlib
import re
import tempfile
import unittest

from returns import result

from samphiredock import state

SOUND = {
    'name': 'entry-1',
    'site': 'bole-a',
    'caller_address': '127.0.0.1:7200',
    'ready_address': '127.0.0.1:7201',
    'peer_address': '127.0.0.1:7202',
    'platform_address': '127.0.0.1:7100',
}
TEMPLATE = pathlib.Path(__file__).parents[2] / 'platform' / 'settings.json5'


class EntrySettingsTest(unittest.TestCase):
    """Files written to a folder of the test's own."""

    def setUp(self) -> None:
        """Make the folder."""
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        self.path = pathlib.Path(holder.name) / 'settings.json5'

    def _load(self, text: str) -> result.Result:
        self.path.write_text(text, encoding='utf-8')
        return state.load_entry_settings(self.path)

    def test_every_mistake_is_told_at_once(self) -> None:
        """With its path, what was got and what was expected."""
        wrong = {
            **SOUND, 'peer_address': 'here', 'watch_ms': 0, 'cores': -1,
            'hedge_quantile': 2, 'retry_ration': 0.2,
        }  # fmt: skip
        del wrong['name']
        problems = self._load(json.dumps(wrong)).failure()
        told = {problem.path: str(problem) for problem in problems}
        self.assertEqual(
            {
                'name', 'peer_address', 'watch_ms', 'cores',
                'hedge_quantile', 'retry_ration',
            },
            set(told),
        )  # fmt: skip
        self.assertIn("did you mean 'retry_ratio'", told['retry_ration'])

    def test_a_broken_or_missing_file_is_a_value(self) -> None:
        """The daemon says what is wrong and ends."""
        for text in ('', '{', '[]', '{"name": 1, "name": 2}'):
            with self.subTest(text):
                self.assertIsInstance(self._load(text), result.Failure)
        self.path.unlink()
        loaded = state.load_entry_settings(self.path)
        self.assertIsInstance(loaded, result.Failure)

    def test_the_template_names_only_known_fields(self) -> None:
        """The platform fills it in; a typo would be seen on its hosts only."""
        text = TEMPLATE.read_text(encoding='utf-8')
        filled = re.sub(r'\{\{Ip\}\}:\{\{[^}]*\}\}', '127.0.0.1:1', text)
        filled = filled.replace('{{Ip}}', '127.0.0.1')
        values = {
            'Node': '"n"', 'Zone': '"z"', 'Listen.Front': '"127.0.0.1:2"',
            'Listen.Ready': '"127.0.0.1:3"', 'platform.Addr': '"127.0.0.1:4"',
        }  # fmt: skip
        for name, value in values.items():
            filled = filled.replace('{{' + name + '|json}}', value)
        filled = re.sub(r'\{\{[^}]*\}\}', '0.5', filled)
        loaded = self._load(filled)
        self.assertIsInstance(loaded, result.Success, str(loaded))
