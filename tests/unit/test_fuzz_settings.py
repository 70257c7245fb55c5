"""Random bytes and values as settings and keys files."""

import json
import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies
from returns import result

from samphiredock import state
from tests.unit import test_fuzz_compiler
from tests.unit import test_settings

_FIELDS = strategies.sampled_from(
    [*test_settings.VALID, 'keys_file', 'tls', 'peers', 'log_level']
)
_KEY_FIELDS = strategies.sampled_from(['operator_token', 'curve', 'admitted'])


class SettingsFuzzTest(unittest.TestCase):
    """Every file gives settings or problems; nothing is raised."""

    def setUp(self) -> None:
        """Create a file that only its owner may read."""
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.path = pathlib.Path(temporary.name) / 'file.json'
        self.path.touch(mode=0o600)

    def _assert_loaded_or_refused(self, data: bytes) -> None:
        self.path.write_bytes(data)
        for load in (state.load_settings, state.load_keys):
            loaded = load(self.path)
            if isinstance(loaded, result.Failure):
                self.assertTrue(loaded.failure())

    @test_fuzz_compiler.SETTINGS
    @hypothesis.given(
        strategies.binary(max_size=60)
        | strategies.text(max_size=60).map(lambda text: text.encode())
        | strategies.text('{}[]":,/*-+.xe01 \\\n', max_size=30).map(str.encode)
    )
    def test_any_text(self, data: bytes) -> None:
        """Malformed JSON gives a problem."""
        self._assert_loaded_or_refused(data)

    @test_fuzz_compiler.SETTINGS
    @hypothesis.given(
        strategies.dictionaries(
            _FIELDS | _KEY_FIELDS, test_fuzz_compiler.JSON, max_size=3
        )
    )
    def test_any_values(self, changes: dict) -> None:
        """Any value in any field gives settings or problems."""
        self._assert_loaded_or_refused(json.dumps(changes).encode())
        whole = {**test_settings.VALID, **changes}
        self._assert_loaded_or_refused(json.dumps(whole).encode())
