"""The command line, called against HTTP applications with fake services."""

import json
import os
import pathlib
import random
import tempfile
import typing
import unittest
from unittest import mock

from aiohttp import web
from click import testing

from samphiredock.cli import main
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import transport
from standins import cluster
from standins import http_thread
from standins import memory_services
from tests.unit import base_files
from tests.unit import test_operator_http

_KEY = protocol.new_idempotency_key(1, random.Random(1))
_RUN = ('run', 's', 'o', 'household=7', '--key', _KEY, '--caller')
_APPLY = ('config', 'apply', '--yes', '--folder')


def _unused_url() -> str:
    (port,) = cluster.free_ports(1)
    return f'http://127.0.0.1:{port}'


def _dropping_application() -> web.Application:
    """Return an application that reads a request and drops the connection."""

    async def drop(request: web.Request) -> web.Response:
        await request.read()
        request.transport.abort()
        return web.Response()

    app = web.Application()
    app.router.add_route('*', '/{path:.*}', drop)
    return app


class CliTest(unittest.TestCase):
    """Each outcome of a command has its own exit code."""

    def setUp(self) -> None:
        """Start an operator address and a caller address."""
        self.operations = memory_services.MemoryOperations(
            base_files.make_source(base_files.example_base())
        )
        self.service = memory_services.MemoryService()
        token = test_operator_http.TOKEN
        counters = metrics.Metrics('test')
        self.operators = self._serve(
            transport.operator_application(self.operations, counters, token)
        )
        self.callers = self._serve(
            transport.caller_application(self.service, 10_000, counters)
        )
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        self.folder = pathlib.Path(holder.name)
        self.token_file = self.folder / 'token'
        self.token_file.write_text(token + '\n', encoding='utf-8')

    def _serve(self, app: web.Application) -> str:
        server = http_thread.HttpThread(app)
        self.addCleanup(server.close)
        return server.url

    def _invoke(
        self, *arguments: object, **options: typing.Any
    ) -> testing.Result:
        options = {'daemon': self.operators, **options}
        environment = {
            'SAMPHIREDOCK_DAEMON': options['daemon'],
            'SAMPHIREDOCK_TOKEN_FILE': str(self.token_file),
        }
        with mock.patch.dict(os.environ, environment):
            return testing.CliRunner().invoke(
                main.main, [str(each) for each in arguments]
            )

    def _assert_exit(
        self, code: int, *arguments: object, **options: typing.Any
    ) -> testing.Result:
        got = self._invoke(*arguments, **options)
        self.assertEqual(code, got.exit_code, got.output)
        return got

    def _write_base(
        self, change: typing.Callable | None = None
    ) -> pathlib.Path:
        base = base_files.example_base()
        if change is not None:
            change(base)
        folder = self.folder / 'config'
        folder.mkdir(exist_ok=True)
        (folder / 'base.json').write_text(json.dumps(base), encoding='utf-8')
        return folder

    def _reduce_weight(self, base: dict) -> None:
        base['services']['field-claims']['weight'] = 3.0

    def test_config_check_reports_all_files(self) -> None:
        """Mistakes in a base and an overlay are printed with their files."""
        folder = self._write_base(lambda base: base.update(limits=[]))
        overlay = folder / 'yeka-c.json'
        overlay.write_text('{"share_cap": 2}', encoding='utf-8')
        got = self._assert_exit(3, 'config', 'check', '--folder', folder)
        self.assertIn(f'{folder}/base.json: limits: got []', got.output)
        self.assertIn(f'{overlay}: share_cap: got 2', got.output)
        self._assert_exit(
            0, 'config', 'check', '--folder', base_files.EXAMPLES
        )
        self._assert_exit(2, 'config', 'check')

    def test_apply_names_the_base_revision_and_waits(self) -> None:
        """Sites without a daemon cannot confirm, and are shown as such."""
        folder = self._write_base(self._reduce_weight)
        got = self._assert_exit(0, *_APPLY, folder)
        self.assertIn('made from revision 1', got.output)
        self.assertIn(
            '~ base.services.field-claims.weight: 4.0 -> 3.0', got.output
        )
        self.assertIn('revision 2 confirmed', got.output)
        self.assertIn('no daemon', got.output)
        self.assertEqual(1, self.operations.changes[0].base_revision)

    def test_apply_exits_by_the_outcome(self) -> None:
        """Conflict, refusal, unknown and unconfirmed differ by exit code."""
        folder = self._write_base(self._reduce_weight)
        cases = (
            (4, protocol.ChangeConflict(7, 'other')),
            (3, protocol.ChangeInvalid(['why'])),
            (3, protocol.ChangeUnavailable('store', 1_000)),
            (5, protocol.ChangeUnknown('lost', 1_000)),
            (9, protocol.ChangeAccepted(3)),
        )
        for code, outcome in cases:
            self.operations.outcome = outcome
            got = self._assert_exit(
                code, *_APPLY, folder, '--wait-ms', 1, '--change-id', 'again'
            )
            self.assertIn('change id again', got.output)
        changes = [row.change_id for row in self.operations.changes]
        self.assertEqual(['again'] * len(cases), changes)
        repeated = {row.repeated for row in self.operations.changes}
        self.assertEqual({True}, repeated)

    def test_apply_sends_nothing_without_need_or_consent(self) -> None:
        """Nothing is sent without a difference or without confirmation."""
        self._assert_exit(0, *_APPLY, self._write_base())
        folder = self._write_base(self._reduce_weight)
        self._assert_exit(1, 'config', 'apply', '--folder', folder)
        self.assertEqual([], self.operations.changes)

    def test_wrong_token_and_unreachable(self) -> None:
        """The next address is tried if one cannot be reached.

        No reachable address, no address and a wrong token differ by exit code.
        """
        both = f'{_unused_url()} {self.operators}'
        self._assert_exit(0, 'config', 'show', daemon=both)
        self._assert_exit(6, 'config', 'show', daemon=_unused_url())
        self._assert_exit(2, 'config', 'show', daemon='')
        self.token_file.write_text('wrong', encoding='utf-8')
        for command in (
            ('config', 'show'),
            ('status',),
            ('config', 'history'),
        ):
            self._assert_exit(8, *command)

    def test_search_and_run_exit_by_the_outcome(self) -> None:
        """Partial, refused and unknown outcomes differ by exit code."""
        reason = protocol.NotRunReason.OVERLOADED
        cases = (
            (0, protocol.Answered([], 1, 1.0), 'search'),
            (7, protocol.Partial([], 1, 0.5, [], 'why'), 'search'),
            (3, protocol.NotRun(reason, 'full', 500), 'search'),
            (5, protocol.Unknown('late', 500), 'search'),
            (0, protocol.Completed({'receipt': 'r'}, True, False), 'run'),
            (10, protocol.Completed({}, False, False), 'run'),
            (3, protocol.NotRun(reason, 'full', 500), 'run'),
            (5, protocol.Unknown('late', 500), 'run'),
        )
        for code, outcome, command in cases:
            self.service.outcome = outcome
            got = self._assert_exit(
                code,
                command,
                's',
                'q',
                'a=b',
                '--json',
                '--caller',
                self.callers,
            )
            kind = json.loads(got.stdout)['type']
            self.assertEqual(type(outcome).__struct_config__.tag, kind)

    def test_run_goes_on_only_if_nothing_was_sent(self) -> None:
        """A request that may have been received is not sent elsewhere.

        The first daemon cannot be reached, or it reads the request and drops
        the connection.  In the second case it may have started to run the
        request, so the command prints how to retry with the same key.
        """
        self.service.outcome = protocol.Completed({}, True, False)
        self._assert_exit(0, *_RUN, _unused_url(), '--caller', self.callers)
        self.assertEqual([_KEY], self.service.asked)
        dropping = self._serve(_dropping_application())
        got = self._assert_exit(5, *_RUN, dropping, '--caller', self.callers)
        self.assertEqual([_KEY], self.service.asked)
        self.assertIn(f'--key {_KEY}', got.output)
        self._assert_exit(6, *_RUN, _unused_url())
        search = ('search', 's', 'q', '--caller', dropping)
        self.service.outcome = protocol.Answered([], 1, 1.0)
        self._assert_exit(0, *search, '--caller', self.callers)

    def test_targets_and_quarantine(self) -> None:
        """Drain and list succeed; an unknown target or entry is refused."""
        self._assert_exit(0, 'target', 'drain', 'desk-1')
        self.assertEqual({'desk-1': True}, self.operations.leaving)
        self._assert_exit(3, 'target', 'undrain', 'desk-9')
        self._assert_exit(0, 'quarantine', 'list')
        self._assert_exit(3, 'quarantine', 'release', 'f/1')

    def test_keys_are_for_their_owner_only(self) -> None:
        """Keys files are private, list all members and are not overwritten."""
        folder = self.folder / 'keys'
        command = ('keys', 'new', 'a', 'b', '--folder', folder)
        self._assert_exit(0, *command)
        path = folder / 'a.keys.json'
        self.assertEqual(0o600, path.stat().st_mode & 0o777)
        rows = json.loads(path.read_text(encoding='utf-8'))
        self.assertEqual({'a', 'b'}, set(rows['admitted']))
        self._assert_exit(2, *command)
