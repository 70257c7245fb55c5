"""Snapshots, configuration and other state that daemons hold."""

from samphiredock.state._checks import Problem
from samphiredock.state._claims import Bucket
from samphiredock.state._claims import Claim
from samphiredock.state._claims import ClaimState
from samphiredock.state._claims import content_digest
from samphiredock.state._claims import decode_bucket
from samphiredock.state._claims import done_claim
from samphiredock.state._claims import KEEP_MS
from samphiredock.state._claims import not_run_claim
from samphiredock.state._claims import Opened
from samphiredock.state._claims import OUTCOME_LIMIT_BYTES
from samphiredock.state._claims import Place
from samphiredock.state._claims import place_of
from samphiredock.state._claims import RETENTION_LIMIT_MS
from samphiredock.state._claims import Verdict
from samphiredock.state._compiler import compile_source
from samphiredock.state._compiler import ConfigurationSource
from samphiredock.state._configuration import Configuration
from samphiredock.state._configuration import Limits
from samphiredock.state._configuration import MergeKind
from samphiredock.state._configuration import Operation
from samphiredock.state._configuration import REQUEST_CLASSES
from samphiredock.state._configuration import Search
from samphiredock.state._configuration import Service
from samphiredock.state._configuration import Site
from samphiredock.state._configuration import Target
from samphiredock.state._directory import Member
from samphiredock.state._entry_settings import EntrySettings
from samphiredock.state._entry_settings import load_entry_settings
from samphiredock.state._files import read_file
from samphiredock.state._keys import Keys
from samphiredock.state._keys import load_keys
from samphiredock.state._routes import CallerLimits
from samphiredock.state._routes import LiveTarget
from samphiredock.state._routes import RECORD_BYTES
from samphiredock.state._routes import Route
from samphiredock.state._routes import RoutingTable
from samphiredock.state._routes import WeightedService
from samphiredock.state._settings import load_settings
from samphiredock.state._settings import Settings
from samphiredock.state._settings import TlsSettings
from samphiredock.state._snapshots import check_snapshot
from samphiredock.state._snapshots import IndexSnapshot
from samphiredock.state._snapshots import KEY_SPACE_SIZE
from samphiredock.state._snapshots import Shard
from samphiredock.state._snapshots import Snapshot

__all__ = [
    'Bucket',
    'CallerLimits',
    'Claim',
    'ClaimState',
    'Configuration',
    'ConfigurationSource',
    'EntrySettings',
    'IndexSnapshot',
    'KEEP_MS',
    'KEY_SPACE_SIZE',
    'Keys',
    'Limits',
    'LiveTarget',
    'Member',
    'MergeKind',
    'OUTCOME_LIMIT_BYTES',
    'Opened',
    'Operation',
    'Place',
    'Problem',
    'RECORD_BYTES',
    'REQUEST_CLASSES',
    'RETENTION_LIMIT_MS',
    'Route',
    'RoutingTable',
    'Search',
    'Service',
    'Settings',
    'Shard',
    'Site',
    'Snapshot',
    'Target',
    'TlsSettings',
    'Verdict',
    'WeightedService',
    'check_snapshot',
    'compile_source',
    'content_digest',
    'decode_bucket',
    'done_claim',
    'load_entry_settings',
    'load_keys',
    'load_settings',
    'not_run_claim',
    'place_of',
    'read_file',
]
