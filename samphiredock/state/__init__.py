"""Snapshots, configuration and other state that daemons hold."""

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
from samphiredock.state._settings import load_settings
from samphiredock.state._settings import Problem
from samphiredock.state._settings import Settings
from samphiredock.state._settings import TlsSettings
from samphiredock.state._snapshots import check_snapshot
from samphiredock.state._snapshots import IndexSnapshot
from samphiredock.state._snapshots import KEY_SPACE_SIZE
from samphiredock.state._snapshots import Shard
from samphiredock.state._snapshots import Snapshot

__all__ = [
    'Configuration',
    'ConfigurationSource',
    'IndexSnapshot',
    'KEY_SPACE_SIZE',
    'Limits',
    'Member',
    'MergeKind',
    'Operation',
    'Problem',
    'REQUEST_CLASSES',
    'Search',
    'Service',
    'Settings',
    'Shard',
    'Site',
    'Snapshot',
    'Target',
    'TlsSettings',
    'check_snapshot',
    'compile_source',
    'load_settings',
]
