"""Names and encodings of messages, stored objects, files, metrics and logs.

Guards against a rename in the code that changes one of them: daemons of two
versions exchange messages and read the same objects and files.
"""

import ast
import dataclasses
import enum
import importlib
import inspect
import pkgutil
import types
import unittest

import msgspec

from samphiredock.coordination.config import _current_state
from samphiredock.coordination.fleet import _directory
from samphiredock.coordination.forwarding import _freshness_check
from samphiredock.coordination.forwarding import _outcome_log
from samphiredock.coordination.forwarding import _presence
from samphiredock.coordination.quarantine import _quarantine
from samphiredock.coordination.search import _scatter_types
from samphiredock.coordination.targets import _target_signs
from samphiredock.daemon import _components
from samphiredock import protocol
from samphiredock import state
from samphiredock.state import _checks
from samphiredock.state import _claims
from samphiredock.state import _compiler
from samphiredock.state import _keys
from samphiredock.state import _overlay
from samphiredock.transport import _platform_http

_MAPS = {
    'ClaimAsk': 'token',
    'ClaimAnswer': 'token status outcome',
    'TargetSign': 'target leaving at_ms from_host_list',
    'TargetSignsWanted': 'digest',
    'Release': 'target',
    'Released': 'target busy busy_for_ms',
    'ObjectVersion': 'key version origin',
    'ObjectAsk': 'key version',
    'ObjectChanged': 'key version value',
    'RevisionHeld': 'revision',
    'ConfigurationChange': (
        'base_revision change_id author base overlays repeated'
    ),
    'ChangeAccepted': 'revision',
    'ChangeConflict': 'revision author',
    'ChangeInvalid': 'problems',
    'ChangeUnavailable': 'detail retry_after_ms',
    'ChangeUnknown': 'detail retry_after_ms',
    'ChangeSummary': 'revision author change_id accepted_at_ms',
    'QuarantineEntry': 'fingerprint service targets since_ms until_ms',
    'OperatorError': 'kind detail retry_after_ms',
    'OperatorDone': 'detail',
    'DaemonRevision': 'name site revision',
    'Confirmations': 'revision daemons',
    'TargetRow': 'name site dispatcher slots connections usable',
    'Record': 'key score fields',
    'Answered': 'records snapshot_id coverage',
    'Partial': 'records snapshot_id coverage missing detail',
    'Completed': 'result accepted replayed',
    'NotRun': 'reason detail retry_after_ms',
    'Unknown': 'detail retry_after_ms',
    'SuspectNotice': 'fingerprint service targets trial_ms',
    'QuarantineNotice': 'entry',
    'ClearedNotice': 'fingerprint released',
    'StoredQuarantine': 'entry released',
    'SearchRequest': (
        'service search terms deadline_ms limit at_least_snapshot'
    ),
    'RunBody': 'service operation body deadline_ms',
    'RunRequest': 'service operation body issued_at_ms deadline_ms',
    'SubQuery': (
        'attempt_id index index_version snapshot_id shard_id target hedge'
    ),
    'SubQueryBatch': (
        'query_id service site request_class search terms limit fingerprint '
        'budget_ms items alone'
    ),
    'SubAnswer': (
        'attempt_id target status snapshot_id ranges truncated records '
        'service_ms waited_ms retry_after_ms ran_alone target_lost detail '
        'took_ms'
    ),
    'SubAnswerBatch': 'query_id answers',
    'CancelAttempts': 'query_id attempt_ids',
    'RunOrder': (
        'attempt_id service site request_class operation target '
        'idempotency_key body fingerprint budget_ms'
    ),
    'RunReport': (
        'attempt_id target status accepted result retry_after_ms target_lost '
        'detail'
    ),
    'TargetQuery': (
        'attempt_id service search terms limit index index_version '
        'snapshot_id shard_id deadline_ms fingerprint'
    ),
    'TargetBatch': 'items',
    'TargetAnswer': (
        'attempt_id status snapshot_id ranges truncated records service_ms '
        'retry_after_ms fingerprint'
    ),
    'TargetBatchAnswer': 'answers draining running',
    'TargetRun': (
        'attempt_id service operation idempotency_key body deadline_ms'
    ),
    'TargetRunAnswer': (
        'attempt_id status accepted result draining retry_after_ms'
    ),
    'TargetCancel': 'attempt_ids',
    'TargetCancelAnswer': 'never_started stopped',
    'TargetHealth': 'healthy draining running load',
    'ConfigurationSource': (
        'revision change_id author accepted_at_ms base overlays recent'
    ),
    'Member': (
        'name site region peer_address caller_address operator_address '
        'incarnation'
    ),
    'Shard': 'shard_id key_range replicas',
    'IndexSnapshot': 'version shards',
    'Snapshot': 'snapshot_id indexes',
}
"""Structs encoded as maps: their fields in order."""

_ARRAYS = {
    'MemberRow': (
        'name site region peer_address caller_address operator_address '
        'incarnation refutation state'
    ),
    'HeldVersions': 'revision snapshot_id',
    'Probe': 'number versions rows',
    'ProbeAnswer': 'number versions rows',
    'ProbeAsk': 'number target versions rows',
    'StateAsk': 'number row digests versions',
    'StateAnswer': 'number buckets rows versions settled',
    'StatePush': 'rows',
    'Envelope': 'message_id origin hops kind body',
    'OrderedItem': 'number service target',
    'MergeOrder': (
        'request_id method host path headers body left_ms gather_ms top floor '
        'items'
    ),
    'MergedItem': 'number receipt took_us',
    'EndedItem': 'number status took_us detail',
    'MergeReport': 'merged ended records is_late',
    'KeyRange': 'low high',
    'Claim': 'token content state since_ms accepted result result_dropped',
}
"""Structs encoded as arrays: the order of their elements."""

_TAGS = {
    'ChangeAccepted': 'accepted',
    'ChangeConflict': 'conflict',
    'ChangeInvalid': 'invalid',
    'ChangeUnavailable': 'unavailable',
    'ChangeUnknown': 'unknown',
    'OperatorError': 'error',
    'OperatorDone': 'done',
    'Answered': 'answered',
    'Partial': 'partial',
    'Completed': 'completed',
    'NotRun': 'not-run',
    'Unknown': 'unknown',
}
"""Values of ``type`` in the structs that are members of a union."""

_ENUMS = {
    'ClaimStatus': {
        'RUNNING': 'running',
        'DONE': 'done',
        'NEVER_SENT': 'never-sent',
        'UNSETTLED': 'unsettled',
        'UNTRACKED': 'untracked',
    },
    'MemberState': {
        'ALIVE': 0,
        'SUSPECT': 1,
        'DEAD': 2,
        'LEFT': 3,
    },
    'OperatorErrorKind': {
        'BAD_REQUEST': 'bad-request',
        'WRONG_TOKEN': 'wrong-token',
        'NOT_FOUND': 'not-found',
        'TOO_LARGE': 'too-large',
        'WRONG_CONTENT_TYPE': 'wrong-content-type',
        'NOT_OFFERED': 'not-offered',
        'UNAVAILABLE': 'unavailable',
        'UNKNOWN': 'unknown',
        'INTERNAL': 'internal',
    },
    'NotRunReason': {
        'BAD_REQUEST': 'bad-request',
        'UNKNOWN_SERVICE': 'unknown-service',
        'UNKNOWN_SEARCH': 'unknown-search',
        'UNKNOWN_OPERATION': 'unknown-operation',
        'STALE_KEY': 'stale-idempotency-key',
        'KEY_REUSED': 'idempotency-key-reused',
        'OVERLOADED': 'overloaded',
        'SHARE_EXCEEDED': 'share-exceeded',
        'DEADLINE_TOO_SHORT': 'deadline-too-short',
        'QUARANTINED': 'quarantined',
        'PLATFORM_UNAVAILABLE': 'platform-unavailable',
        'NO_TARGET': 'no-target',
        'NO_SNAPSHOT': 'no-snapshot',
        'SHUTTING_DOWN': 'shutting-down',
        'NOT_READY': 'not-ready',
        'UNKNOWN_ROUTE': 'unknown-route',
        'ROUTES_OUTDATED': 'routes-outdated',
    },
    'SubStatus': {
        'ANSWERED': 'answered',
        'SNAPSHOT_GONE': 'snapshot-gone',
        'NOT_LOADED': 'not-loaded',
        'SHED': 'shed',
        'DRAINING': 'draining',
        'EXPIRED': 'expired',
        'CANCELLED': 'cancelled',
        'UNREACHABLE': 'unreachable',
        'NOT_OWNER': 'not-owner',
        'NO_IDLE_SLOT': 'no-idle-slot',
        'QUARANTINED': 'quarantined',
        'BROKEN': 'broken',
        'SILENT': 'silent',
        'BAD_ANSWER': 'bad-answer',
        'NOT_ORDERED': 'not-ordered',
        'ORDER_LOST': 'order-lost',
    },
    'TargetStatus': {
        'OK': 'ok',
        'SNAPSHOT_GONE': 'snapshot-gone',
        'NOT_LOADED': 'not-loaded',
        'SHED': 'shed',
        'DRAINING': 'draining',
        'EXPIRED': 'expired',
        'CANCELLED': 'cancelled',
    },
    'ClaimState': {
        'OPEN': 'open',
        'DONE': 'done',
        'NOT_RUN': 'not-run',
    },
    'MergeKind': {
        'BY_SCORE': 'by-score',
        'BY_KEY': 'by-key',
    },
}

_FILE_KEYS = {
    'Search': (
        'name index deadline_ms least_coverage request_class canary merge '
        'limit fields'
    ),
    'Operation': 'name deadline_ms request_class targets',
    'Service': 'name searches operations weight max_in_flight',
    'Site': 'name region share share_cap service_caps',
    'Target': 'name site url slots connections connect_ms',
    'Limits': (
        'deadline_limit_ms body_limit_bytes terms_limit key_retention_ms '
        'queue_per_target in_flight_per_daemon hedge_budget hedge_quantile '
        'hedge_after_ms batch_window_ms batch_items silent_after_ms'
    ),
    'EntrySettings': (
        'name site caller_address ready_address platform_address peer_address '
        'cores core_share coordinators_per_site metrics_address log_level '
        'retry_ratio retry_slack retry_window_s first_start '
        'stop_limit_s balancer_lag_ms '
        'watch_ms collect_ms caller_way_ms hedge_quantile other_site_factor'
    ),
    'CurvePair': 'public secret',
    'Keys': 'operator_token curve admitted',
    'TlsSettings': 'certificate_file key_file',
    'Settings': (
        'name site region caller_address operator_address peer_address '
        'platform_url keys_file tls peers log_level balancer_lag_ms '
        'shutdown_limit_ms'
    ),
}
"""Fields of the settings and the configuration: keys of files."""

_PEER_MESSAGES = (
    'SubQueryBatch SubAnswerBatch CancelAttempts RunOrder RunReport '
    'ClaimAsk ClaimAnswer SuspectNotice QuarantineNotice ClearedNotice '
    'TargetSign TargetSignsWanted Release Released Probe ProbeAnswer '
    'ProbeAsk StateAsk StateAnswer StatePush ObjectVersion ObjectAsk '
    'ObjectChanged RevisionHeld Envelope'
)
"""Type names of the messages between daemons, sent in the first frame."""

_TALLY = (
    'sub_queries_sent sub_queries_needed retries retries_denied hedges_sent '
    'hedges_won hedges_denied search_restarts late_answers '
    'mismatched_answers wrong_snapshot_answers empty_answers bad_answers'
)
"""The metrics that count one search."""

_END_FIELDS = (
    'outcome status route version deadline_ms aim_ms shards missing '
    'unanswered hedges hedges_denied retries retries_denied why'
)
"""The log fields of the end of a passed-on request."""

_END_TALLY = {
    'hedges': 'hedges_sent',
    'hedges_denied': 'hedges_denied',
    'retries': 'retries',
    'retries_denied': 'retries_denied',
}
"""The log fields that are read from a tally, and the tally's fields."""

_NOT_SENT = (protocol.ClaimToken, state.ClaimLocation, state.OpenDecision)
_NOT_OUTSIDE = (state.OpenStatus,)
_NOT_IN_FILES = (
    _checks.Rule,
    state.CallerLimits,
    state.Configuration,
    state.LiveTarget,
    state.Problem,
    state.Route,
    state.RoutingTable,
    state.WeightedService,
)


def _defined(package: types.ModuleType, base: type) -> dict[str, type]:
    """Return the classes of a kind that a package's modules define."""
    found = {}
    for row in pkgutil.iter_modules(package.__path__):
        module = importlib.import_module(f'{package.__name__}.{row.name}')
        for kind in vars(module).values():
            if (
                isinstance(kind, type)
                and issubclass(kind, base)
                and kind.__module__ == module.__name__
            ):
                found[kind.__name__] = kind
    return found


def _fields(kind: type[msgspec.Struct]) -> str:
    return ' '.join(
        field.encode_name for field in msgspec.structs.fields(kind)
    )


def _keys_of(kind: type) -> str:
    return ' '.join(field.name for field in dataclasses.fields(kind))


def _structs() -> dict[str, type[msgspec.Struct]]:
    return {
        name: kind
        for package in (protocol, state)
        for name, kind in _defined(package, msgspec.Struct).items()
        if kind not in (*_NOT_SENT, _claims._StoredBucket)
    }


class MessagesTest(unittest.TestCase):
    """What daemons, callers, targets and the store read and write."""

    def test_every_struct_is_pinned(self) -> None:
        """No struct changes its name, its encoding or its fields' order."""
        found = _structs()
        arrays = {
            name: _fields(kind)
            for name, kind in found.items()
            if kind.__struct_config__.array_like
        }
        maps = {
            name: _fields(kind)
            for name, kind in found.items()
            if name not in arrays
        }
        self.assertEqual(_ARRAYS, arrays)
        self.assertEqual(_MAPS, maps)

    def test_every_tag_is_pinned(self) -> None:
        """The receiver tells the members of a union apart by their tags."""
        tags = {
            name: kind.__struct_config__.tag
            for name, kind in _structs().items()
            if kind.__struct_config__.tag is not None
        }
        self.assertEqual(_TAGS, tags)
        for name in tags:
            config = _structs()[name].__struct_config__
            self.assertEqual('type', config.tag_field)

    def test_every_enum_is_pinned(self) -> None:
        """Enum values are sent, stored, logged and used as labels."""
        found = {
            name: {member.name: member.value for member in kind}
            for package in (protocol, state)
            for name, kind in _defined(package, enum.Enum).items()
            if kind not in _NOT_OUTSIDE
        }
        self.assertEqual(_ENUMS, found)

    def test_names_in_the_first_frame_are_pinned(self) -> None:
        """A message under another name is dropped by the receiver."""
        codec = protocol.Codec(_components.PEER_MESSAGES)
        names = {name.encode() for name in _PEER_MESSAGES.split()}
        self.assertEqual(names, set(codec._decoders))
        for kind in _components.PEER_MESSAGES:
            self.assertIn(kind.__name__, {**_ARRAYS, **_MAPS})

    def test_peer_messages_keep_their_bytes(self) -> None:
        """Both frames of a message are unchanged, byte for byte."""
        codec = protocol.Codec(_components.PEER_MESSAGES)
        versions = protocol.HeldVersions(3, 4)
        row = protocol.MemberRow(
            'a', 's', 'r', 'tcp://p', 'c', 'o', 7, 1,
            protocol.MemberState.SUSPECT,
        )  # fmt: skip
        completed = protocol.Completed({'a': 'b'}, True, False)
        cases = (
            (
                protocol.Probe(1, versions, [row]),
                (
                    b'Probe',
                    b'\x93\x01\x92\x03\x04\x91\x99\xa1a\xa1s\xa1r\xa7tcp://p'
                    b'\xa1c\xa1o\x07\x01\x01',
                ),
            ),
            (
                protocol.ObjectChanged('k', 2, b'v'),
                (
                    b'ObjectChanged',
                    b'\x83\xa3key\xa1k\xa7version\x02\xa5value\xc4\x01v',
                ),
            ),
            (
                protocol.Envelope('i', 'o', 1, b'k', b'b'),
                (
                    b'Envelope',
                    b'\x95\xa1i\xa1o\x01\xc4\x01k\xc4\x01b',
                ),
            ),
            (
                protocol.ClaimAnswer(
                    't', protocol.ClaimStatus.DONE, completed
                ),
                (
                    b'ClaimAnswer',
                    b'\x83\xa5token\xa1t\xa6status\xa4done\xa7outcome'
                    b'\x84\xa4type\xa9completed\xa6result\x81\xa1a\xa1b'
                    b'\xa8accepted\xc3\xa8replayed\xc2',
                ),
            ),
            (
                protocol.RunReport('a', 't', protocol.SubStatus.BROKEN),
                (
                    b'RunReport',
                    b'\x88\xaaattempt_id\xa1a\xa6target\xa1t\xa6status'
                    b'\xa6broken\xa8accepted\xc2\xa6result\x80'
                    b'\xaeretry_after_ms\x00\xabtarget_lost\xc2\xa6detail\xa0',
                ),
            ),
        )
        for message, frames in cases:
            self.assertEqual(frames, codec.encode(message))

    def test_merge_orders_keep_their_bytes(self) -> None:
        """A merge order and a report are unchanged, byte for byte."""
        item = protocol.OrderedItem(1, 's', 't')
        order = protocol.MergeOrder(
            'id', 'GET', 'h', '/p', (('A', 'b'),), b'body', 100.0, 10.0, 5,
            b'', (item,),
        )  # fmt: skip
        self.assertEqual(
            b'\x9b\xa2id\xa3GET\xa1h\xa2/p\x91\x92\xa1A\xa1b\xc4\x04body'
            b'\xcb@Y\x00\x00\x00\x00\x00\x00\xcb@$\x00\x00\x00\x00\x00\x00'
            b'\x05\xc4\x00\x91\x93\x01\xa1s\xa1t',
            protocol.encode_merge_message(order),
        )
        report = protocol.MergeReport(
            (protocol.MergedItem(1, 'r', 12_000),),
            (protocol.EndedItem(2, protocol.SubStatus.SHED, 5, 'why'),),
            b'x',
            True,
        )
        self.assertEqual(
            b'\x94\x91\x93\x01\xa1r\xcd.\xe0\x91\x94\x02\xa4shed\x05'
            b'\xa3why\xc4\x01x\xc3',
            protocol.encode_merge_message(report),
        )

    def test_bodies_of_http_keep_their_bytes(self) -> None:
        """JSON responses to callers and operators are unchanged."""
        partial = protocol.Partial(
            [protocol.Record('k', 0.5, {'f': 'v'})],
            3,
            0.5,
            [protocol.KeyRange(0, 9)],
            'd',
        )
        not_run = protocol.NotRun(protocol.NotRunReason.STALE_KEY, 'd', 5)
        cases = (
            (
                b'{"type":"partial","records":[{"key":"k","score":0.5,'
                b'"fields":{"f":"v"}}],"snapshot_id":3,"coverage":0.5,'
                b'"missing":[[0,9]],"detail":"d"}',
                partial,
            ),
            (
                b'{"type":"not-run","reason":"stale-idempotency-key",'
                b'"detail":"d","retry_after_ms":5}',
                not_run,
            ),
            (
                b'{"type":"conflict","revision":3,"author":"a"}',
                protocol.ChangeConflict(3, 'a'),
            ),
        )
        for body, message in cases:
            self.assertEqual(body, msgspec.json.encode(message))

    def test_outcomes_keep_their_names(self) -> None:
        """Outcome classes are values of the metric label ``request_class``."""
        self.assertEqual(
            'Passed Gathered TimedOut NotRun Unknown',
            ' '.join(
                kind.__name__ for kind in protocol.ForwardOutcome.__args__
            ),
        )
        self.assertEqual(
            'Answered Partial Completed NotRun Unknown',
            ' '.join(kind.__name__ for kind in protocol.Outcome.__args__),
        )


class StoredObjectsTest(unittest.TestCase):
    """Stored objects can be read by daemons of another version."""

    def test_objects_keep_their_bytes(self) -> None:
        """The JSON values of stored objects are unchanged."""
        bucket = state.Bucket()
        claim = state.Claim('h/1/2', 'c', state.ClaimState.OPEN, 9)
        bucket.open('d', claim, None)
        self.assertEqual(
            b'{"format":1,"claims":'
            b'{"d":["h/1/2","c","open",9,false,{},false]}}',
            bucket.encode(),
        )
        entry = protocol.QuarantineEntry('f', 's', ['t'], 1, 2)
        summary = protocol.ChangeSummary(1, 'a', 'c', 2)
        source = state.ConfigurationSource(
            1, 'c', 'a', 2, {}, {'s': {}}, [summary]
        )
        shard = state.Shard('s', protocol.KeyRange(0, 9), ['t'])
        snapshot = state.Snapshot(1, {'i': state.IndexSnapshot(2, [shard])})
        cases = (
            (
                b'{"entry":{"fingerprint":"f","service":"s",'
                b'"targets":["t"],"since_ms":1,"until_ms":2},'
                b'"released":false}',
                protocol.StoredQuarantine(entry),
            ),
            (
                b'{"revision":1,"change_id":"c","author":"a",'
                b'"accepted_at_ms":2,"base":{},"overlays":{"s":{}},'
                b'"recent":[{"revision":1,"author":"a","change_id":"c",'
                b'"accepted_at_ms":2}]}',
                source,
            ),
            (
                b'{"snapshot_id":1,"indexes":{"i":{"version":2,"shards":'
                b'[{"shard_id":"s","key_range":[0,9],"replicas":["t"]}]}}}',
                snapshot,
            ),
        )
        for value, stored in cases:
            self.assertEqual(value, msgspec.json.encode(stored))

    def test_objects_keep_their_keys(self) -> None:
        """A daemon of another version must find the same object."""
        self.assertEqual('claims/', _claims.CLAIMS_PREFIX)
        self.assertEqual(
            'configuration/current', _current_state.CONFIGURATION_KEY
        )
        self.assertEqual('snapshots/current', _current_state.SNAPSHOT_KEY)
        self.assertEqual('members/', _directory.MEMBERS_PREFIX)
        self.assertEqual('quarantine/', _quarantine.QUARANTINE_PREFIX)
        self.assertEqual('targets/', _target_signs.TARGETS_PREFIX)
        self.assertEqual('samphiredock-daemons/', _presence.DAEMONS_PREFIX)

    def test_claims_keep_their_places(self) -> None:
        """A claim looked for elsewhere would let its request run twice."""
        location = state.locate_claim('svc', 'key')
        self.assertEqual('claims/1e7f8', location.path)
        self.assertEqual('a47ec7c0f3f6592208d02a7b0691e7f8', location.digest)
        self.assertEqual(
            '6f1bbc0a97690e48c27b0f3a86416653',
            state.content_digest('op', {'b': '1', 'a': '2'}),
        )
        self.assertEqual('h/1/2', str(protocol.ClaimToken('h', 1, 2)))

    def test_structs_of_other_packages_keep_their_fields(self) -> None:
        """These structs are private to one package, but stored or sent."""
        cases = (
            ('site address cores near', _presence._Entry),
            ('version hears', _freshness_check.StoreStatus),
            ('leaving at_ms', _target_signs.TargetObject),
            ('key version value', _platform_http.ObjectRow),
            ('objects gone position', _platform_http.ObjectPage),
            ('name leaving', _platform_http.HostRow),
        )
        for fields, kind in cases:
            self.assertEqual(fields, _fields(kind))


class FilesTest(unittest.TestCase):
    """Files that operators have written stay valid."""

    def test_every_key_of_a_file_is_pinned(self) -> None:
        """The fields of settings and configuration are keys of files."""
        found = {
            name: _keys_of(kind)
            for name, kind in _defined(state, object).items()
            if dataclasses.is_dataclass(kind) and kind not in _NOT_IN_FILES
        }
        self.assertEqual(_FILE_KEYS, found)

    def test_parts_of_the_configuration_are_pinned(self) -> None:
        """The sections of the base, the overlays and the keys file."""
        cases = (
            ('services sites indexes targets limits', _compiler._BASE_RULES),
            ('share_cap services targets', _overlay._OVERLAY_RULES),
            ('cap', _overlay._SERVICE_RULES),
            ('url slots connections', _overlay._TARGET_RULES),
            ('limits share region indexes sites', _overlay._BASE_ONLY_FIELDS),
            ('operator_token curve admitted', _keys._KEYS_RULES),
            ('public secret', _keys._CURVE_PAIR_RULES),
        )
        for keys, rules in cases:
            self.assertEqual(keys, ' '.join(rules))
        self.assertEqual(('interactive', 'batch'), state.REQUEST_CLASSES)


class MetricsAndLogsTest(unittest.TestCase):
    """Metrics and log fields that dashboards and operators read."""

    def test_metrics_of_a_search_are_pinned(self) -> None:
        """Each field of a tally is the name of a counter."""
        self.assertEqual(_TALLY, _keys_of(_scatter_types.Tally))
        self.assertEqual(tuple(_TALLY.split()), _scatter_types.COUNTER_NAMES)

    def test_log_fields_of_an_end_are_pinned(self) -> None:
        """Log fields keep their names, also those read from a tally."""
        tree = ast.parse(inspect.getsource(_outcome_log))
        ends = [
            node
            for node in ast.walk(tree)
            if isinstance(node, ast.Call)
            and 'hedges' in {keyword.arg for keyword in node.keywords}
        ]
        self.assertEqual(1, len(ends))
        given = {keyword.arg: keyword.value for keyword in ends[0].keywords}
        self.assertEqual(_END_FIELDS, ' '.join(given))
        from_tally = {
            name: value.attr
            for name, value in given.items()
            if isinstance(value, ast.Attribute)
            and value.attr in _scatter_types.COUNTER_NAMES
        }
        self.assertEqual(_END_TALLY, from_tally)
