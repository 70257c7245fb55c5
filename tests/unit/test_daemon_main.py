"""Tests of the daemon program's exit codes."""

import json
import pathlib
import tempfile
import unittest

from click import testing

from samphiredock.daemon import main
from tests.unit import test_settings


class DaemonMainTest(unittest.TestCase):
    """The program started with valid and invalid settings."""

    def _run(self, settings: dict, *options: str) -> testing.Result:
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        path = pathlib.Path(holder.name) / 'settings.json'
        path.write_text(json.dumps(settings), encoding='utf-8')
        return testing.CliRunner().invoke(
            main.main, ['--settings', str(path), *options]
        )

    def test_check_tells_valid_from_invalid(self) -> None:
        """With --check, the daemon is not started in either case."""
        got = self._run(test_settings.VALID, '--check')
        self.assertEqual((0, True), (got.exit_code, 'valid' in got.output))
        got = self._run({**test_settings.VALID, 'site': 7}, '--check')
        self.assertEqual(
            (2, True), (got.exit_code, 'site: got 7' in got.output)
        )
