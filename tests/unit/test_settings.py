"""Settings and keys files: all problems are reported, without secrets."""

import json
import pathlib
import tempfile
import typing
import unittest

from returns import result
import zmq

from samphiredock import state

VALID = {
    'name': 'entry-1',
    'site': 'bole-a',
    'region': 'addis',
    'caller_address': '127.0.0.1:7200',
    'operator_address': '127.0.0.1:7201',
    'peer_address': 'tcp://127.0.0.1:7202',
    'platform_url': 'http://127.0.0.1:7100',
}


class SettingsTest(unittest.TestCase):
    """Files in a temporary folder."""

    def setUp(self) -> None:
        """Create the folder."""
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = pathlib.Path(temporary.name)

    def _write(self, name: str, text: str, mode: int = 0o600) -> pathlib.Path:
        path = self.folder / name
        path.write_text(text, encoding='utf-8')
        path.chmod(mode)
        return path

    def _problems(self, **changes: object) -> dict[str, state.Problem]:
        text = json.dumps({**VALID, **changes})
        loaded = state.load_settings(self._write('settings.json', text))
        if isinstance(loaded, result.Success):
            return {}
        return {row.path: row for row in loaded.failure()}

    def _keys(self, mode: int = 0o600, **changes: object) -> typing.Any:
        public, secret = (key.decode() for key in zmq.curve_keypair())
        rows = {
            'operator_token': 'a-token-of-some-length',
            'curve': {'public': public, 'secret': secret},
            'admitted': {'entry-1': public},
            **changes,
        }
        path = self._write('keys.json', json.dumps(rows), mode)
        return state.load_keys(path)

    def test_valid_file_with_comments_and_keys(self) -> None:
        """Paths are relative to the folder of the settings file."""
        self.assertIsInstance(self._keys(), result.Success)
        text = json.dumps({**VALID, 'keys_file': 'keys.json'})
        path = self._write('settings.json', '// entry host 1\n' + text)
        loaded = state.load_settings(path).unwrap()
        self.assertEqual(str(self.folder / 'keys.json'), loaded.keys_file)
        self.assertEqual(2_000, loaded.balancer_lag_ms)

    def test_all_problems_are_reported_at_once(self) -> None:
        """Problems of the settings do not hide those of the files named."""
        found = self._problems(
            caller_address='entry-1:7200',
            operator_address='127.0.0.1:70000',
            peer_address='127.0.0.1:7202',
            balancer_lag_ms='2s',
            shutdown_limit_ms=-1,
            peers=['tcp://10.0.0.1:1', 'nonsense'],
            log_level='loud',
            sight='bole-a',
            keys_file='absent.json',
            tls={'certificate_file': 'absent.pem', 'key_file': 'absent.key'},
        )
        self.assertEqual(
            {
                'caller_address', 'operator_address', 'peer_address',
                'balancer_lag_ms', 'shutdown_limit_ms', 'peers', 'log_level',
                'sight', '$', 'tls',
            },
            set(found),
        )  # fmt: skip
        self.assertIn("'2s'", str(found['balancer_lag_ms']))
        self.assertIn('(ms)', str(found['balancer_lag_ms']))
        self.assertIn("did you mean 'site'", str(found['sight']))
        self.assertTrue(found['$'].file.endswith('absent.json'))

    def test_malformed_files_and_a_shared_address_are_refused(self) -> None:
        """Malformed JSON, a duplicate field, two servers on one address."""
        for text in ('{', '[]', '{"name": "a", "name": "b"}', '"\\ud800"'):
            path = self._write('settings.json', text)
            loaded = state.load_settings(path)
            self.assertIsInstance(loaded, result.Failure, text)
        found = self._problems(peer_address='tcp://127.0.0.1:7200')
        self.assertEqual({'peer_address'}, set(found))

    def test_keys_file_is_refused_if_others_may_read_it(self) -> None:
        """The token lets its reader change the configuration."""
        self.assertIn('mode 644', str(self._keys(0o644).failure()[0]))

    def test_problems_of_keys_show_no_secrets(self) -> None:
        """An invalid value is described by its type and length only."""
        found = self._keys(
            operator_token='too-short',
            curve={'public': 'x' * 39, 'secret': 'hidden!'},
            admitted={'entry-2': 'wrong'},
        ).failure()
        shown = ' '.join(str(row) for row in found)
        self.assertEqual(4, len(found), shown)
        for secret in ('too-short', 'hidden!', 'x' * 39):
            self.assertNotIn(secret, shown)
