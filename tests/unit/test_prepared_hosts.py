"""The adapter translates the users' platform's requests and objects."""

import json
import pathlib
import sys
import unittest

import hypothesis
from hypothesis import strategies
from returns import result

from samphiredock import protocol
from samphiredock import state

_FOLDER = pathlib.Path(__file__).parents[2] / 'platform'
sys.path.append(str(_FOLDER))

import prepared_hosts  # noqa: E402

Status = protocol.SubStatus

CONFIGURATION = {
    'Version': 7,
    'Routes': [
        {
            'Name': 'r-1',
            'Host': 'h.example',
            'PathPrefix': '/a/',
            'Kind': 'idempotent',
            'TimeoutMs': 300,
            'TargetLatencyMs': 56,
            'Priority': 2,
            'Gather': ['s1', 's2'],
            'MaxAttempts': 2,
            'TopK': 5,
            'MinVersion': 0.75,
        },
        {
            'Name': 'r-2',
            'Host': 'h.example',
            'PathPrefix': '/b/',
            'Kind': 'non_idempotent',
            'TimeoutMs': 2000,
            'TargetLatencyMs': 544,
            'Split': [
                {'Service': 'p', 'Weight': 0.7},
                {'Service': 'q', 'Weight': 0.3},
            ],
            'MaxAttempts': 1,
            'UnknownField': True,
        },
    ],
    'Services': [{'Name': 's1', 'HealthPath': '/x', 'MaxConns': 26}],
    'Limits': {
        'MaxHeaderBytes': 16384,
        'MaxBodyBytes': 262144,
        'HeaderTimeoutMs': 3000,
        'IdleTimeoutMs': 15000,
    },
}

HEADERS = (
    ('Host', 'h.example'),
    ('Request-Id', 'id-1'),
    ('Deadline-Ms', '250'),
    ('Connection', 'keep-alive, X-Hop'),
    ('X-Hop', 'mine'),
    ('X-Kept', 'yes'),
    ('Expect-Instance', 'smuggled'),
)


class AdapterTest(unittest.TestCase):
    """Translation between the platform's formats and samphiredock's types."""

    def setUp(self) -> None:
        """Make an adapter."""
        self.adapter = prepared_hosts.PreparedHosts()

    def _request(
        self, *headers: tuple[str, str]
    ) -> result.Result[protocol.ForwardRequest, str]:
        return self.adapter.read_request(
            'GET', '/a/b?c=%20', headers or HEADERS, b''
        )

    def test_a_configuration_becomes_a_routing_table(self) -> None:
        """Fields that samphiredock does not know are ignored."""
        value = json.dumps(CONFIGURATION).encode()
        table = self.adapter.read_routing(value).unwrap()
        self.assertEqual(7, table.version)
        self.assertEqual({'s1': 26}, table.connections)
        gather, split = table.routes
        self.assertEqual(('s1', 's2'), gather.shards)
        self.assertEqual((5, 0.75), (gather.top, gather.least_share))
        self.assertEqual((56.0, 300.0), (gather.aim_ms, gather.timeout_ms))
        self.assertTrue(gather.repeatable)
        self.assertFalse(split.repeatable)
        self.assertEqual(0.3, split.services[1].weight)
        self.assertEqual(262144, table.limits.body_bytes)

    def test_an_entry_becomes_a_target(self) -> None:
        """The target id comes from the key, the rest from the entry."""
        entry = {
            'Service': 's1', 'Addr': '10.0.0.9:80', 'Zone': 'z',
            'Version': 'v1', 'Slots': 2, 'State': 'draining',
            'WarmupLeftMs': 300, 'Seq': 4,
        }  # fmt: skip
        value = json.dumps(entry).encode()
        target = self.adapter.read_target('servers/i-1', value).unwrap()
        self.assertEqual(
            state.LiveTarget('i-1', 's1', '10.0.0.9:80', 'z', 2, True, 300.0),
            target,
        )
        value = json.dumps(entry | {'born': 1764700000123}).encode()
        again = self.adapter.read_target('servers/i-1', value).unwrap()
        self.assertEqual(1764700000123, again.started_at_ms)

    def test_an_entry_of_another_writer_names_no_target(self) -> None:
        """Requests must not be sent to an address that is not a target's.

        A field is missing or has a wrong type, the state is unknown, or the
        address is invalid.
        """
        entry = {
            'Service': 's1', 'Addr': '10.0.0.9:80', 'Zone': 'z',
            'Version': 'v1', 'Slots': 2, 'State': 'ready',
            'WarmupLeftMs': 0, 'Seq': 4, 'born': 1764700000123,
        }  # fmt: skip
        key = 'servers/i-1'
        good = json.dumps(entry).encode()
        self.assertIsInstance(
            self.adapter.read_target(key, good), result.Success
        )
        others = [
            {name: value for name, value in entry.items() if name != left_out}
            for left_out in entry
            if left_out not in ('Version', 'born')
        ]
        others += [
            entry | changed
            for changed in (
                {'State': 'parked'}, {'State': 1}, {'State': None},
                {'Slots': '2'}, {'Slots': 0}, {'Slots': 2.5}, {'Seq': 'x'},
                {'Service': ''}, {'Service': ['s1']}, {'Zone': 7},
                {'Addr': 'host:80'}, {'Addr': '10.0.0.9'}, {'Addr': ':80'},
                {'Addr': '10.0.0.9:0'}, {'Addr': '10.0.0.9:99999'},
                {'born': 1.5}, {'born': '1764700000123'}, {'born': None},
                {'WarmupLeftMs': 'soon'},
            )
        ]  # fmt: skip
        values = [json.dumps(row).encode() for row in others]
        values += [b'"text"', b'\xff\xfe', good[:-1], good + b'}']
        values += [good.replace(b'10.0.0.9', b'10.0.\xff.9')]
        for value in values:
            with self.subTest(value):
                read = self.adapter.read_target(key, value)
                self.assertIsInstance(read, result.Failure)

    @hypothesis.settings(
        derandomize=True,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(
                ('Service', 'Addr', 'Zone', 'Slots', 'State', 'Seq', 'born')
            ),
            strategies.none()
            | strategies.booleans()
            | strategies.integers(-(2**70), 2**70)
            | strategies.floats()
            | strategies.text('ready:1.0', max_size=12)
            | strategies.lists(strategies.integers(), max_size=2),
        )
    )
    def test_no_entry_raises(self, changed: dict[str, object]) -> None:
        """An exception would end the task that watches the store."""
        value = json.dumps({'WarmupLeftMs': 0} | changed).encode()
        read = self.adapter.read_target('servers/i', value)
        if isinstance(read, result.Success):
            self.assertIn(changed['State'], ('ready', 'draining'))

    def test_an_undecodable_object_is_a_failure(self) -> None:
        """An exception would end the task that watches the store."""
        for value in (b'', b'null', b'{"Version": "x"}', b'[]'):
            with self.subTest(value):
                read = self.adapter.read_routing(value)
                self.assertIsInstance(read, result.Failure)
                read = self.adapter.read_target('servers/i', value)
                self.assertIsInstance(read, result.Failure)

    def test_hop_by_hop_headers_are_not_forwarded(self) -> None:
        """A caller cannot set the headers that the adapter sets, either."""
        request = self._request().unwrap()
        target = state.LiveTarget('i-1', 's1', '10.0.0.9:80', 'z', 2)
        sent = self.adapter.target_request(request, target, 199.9)
        self.assertEqual('/a/b?c=%20', sent.path)
        headers = dict(sent.headers)
        self.assertEqual(len(headers), len(sent.headers))
        self.assertEqual('i-1', headers['Expect-Instance'])
        self.assertEqual('199', headers['Deadline-Ms'])
        self.assertEqual('id-1', headers['Request-Id'])
        self.assertEqual('yes', headers['X-Kept'])
        self.assertNotIn('X-Hop', headers)
        self.assertNotIn('Connection', headers)

    def test_bad_requests_say_what_is_wrong(self) -> None:
        """The error names the header that is missing or invalid."""
        for headers, word in (
            ((('Host', 'h'),), 'Request-Id'),
            ((('Request-Id', 'a'), ('Deadline-Ms', '-5')), 'Deadline-Ms'),
            ((('Request-Id', 'a'), ('Deadline-Ms', '1e3')), 'Deadline-Ms'),
            ((('Request-Id', 'a'), ('Deadline-Ms', '')), 'Deadline-Ms'),
        ):
            with self.subTest(headers):
                self.assertIn(word, self._request(*headers).failure())

    def test_replies_of_targets_get_a_status(self) -> None:
        """Only a refusal that is marked as such proves that nothing has run.

        An error that may be passed on must not have a status that promises
        the caller the same.
        """
        request = self._request().unwrap()
        receipt = ('Answer-Stamp', 'x')
        refused = ('Not-Run', '1')
        for status, headers, expected, is_forwardable in (
            (200, (receipt,), Status.ANSWERED, False),
            (200, (), Status.BAD_ANSWER, False),
            (503, (refused,), Status.SHED, False),
            (429, (refused,), Status.SHED, False),
            (421, (), Status.NOT_OWNER, False),
            (503, (receipt,), Status.BROKEN, False),
            (500, (receipt,), Status.BROKEN, True),
            (504, (receipt,), Status.BROKEN, True),
        ):
            with self.subTest(status=status, headers=headers):
                reply = protocol.HttpReply(status, headers)
                read = self.adapter.read_reply(request, reply)
                self.assertIs(expected, read.status)
                self.assertEqual(is_forwardable, read.is_forwardable)

    def test_a_reply_must_have_the_id_of_its_request(self) -> None:
        """A success without a request id is not accepted."""
        request = self._request().unwrap()
        for status, headers, expected in (
            (200, (('request-id', 'id-1'),), True),
            (200, (('Request-Id', 'id-0'),), False),
            (200, (), False),
            (503, (), True),
            (503, (('Request-Id', 'id-0'),), False),
        ):
            with self.subTest(status=status, headers=headers):
                reply = protocol.HttpReply(status, headers)
                self.assertEqual(
                    expected, self.adapter.is_reply_to(request, reply)
                )

    def test_outcomes_without_a_reply_get_a_status(self) -> None:
        """Only ``NotRun`` becomes a status that says that nothing has run."""
        reasons = protocol.NotRunReason
        for outcome, status in (
            (protocol.NotRun(reasons.NO_TARGET, 'why', 300), 503),
            (protocol.NotRun(reasons.UNKNOWN_ROUTE, 'why', 0), 404),
            (protocol.Unknown('why', 300), 502),
            (protocol.TimedOut('why'), 504),
        ):
            with self.subTest(outcome):
                reply = self.adapter.caller_reply(outcome)
                self.assertEqual(status, reply.status)
        reply = self.adapter.caller_reply(
            protocol.NotRun(reasons.OVERLOADED, 'why', 250)
        )
        self.assertEqual('0.250', reply.header('Retry-After'))

    def test_a_merged_answer_names_its_parts(self) -> None:
        """Headers list the parts' receipts and the number of missing parts."""
        outcome = protocol.Gathered(('a', 'b'), 1, b'body')
        reply = self.adapter.caller_reply(outcome)
        self.assertEqual('a, b', reply.header('Part-Stamps'))
        self.assertEqual('1', reply.header('Missing-Parts'))
        self.assertEqual(b'body', reply.body)
