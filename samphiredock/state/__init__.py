"""Snapshots, configuration and other state that daemons hold."""

from samphiredock.state._checks import Problem
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
from samphiredock.state._files import parse_text
from samphiredock.state._files import read_file
from samphiredock.state._keys import CurvePair
from samphiredock.state._keys import Keys
from samphiredock.state._keys import load_keys
from samphiredock.state._keys import TOKEN_LEAST_LENGTH
from samphiredock.state._settings import load_settings
from samphiredock.state._settings import LOG_LEVELS
from samphiredock.state._settings import Settings
from samphiredock.state._settings import TlsSettings
from samphiredock.state._snapshots import IndexSnapshot
from samphiredock.state._snapshots import KEY_SPACE_SIZE
from samphiredock.state._snapshots import Shard
from samphiredock.state._snapshots import Snapshot

__all__ = [
    'Configuration',
    'ConfigurationSource',
    'CurvePair',
    'IndexSnapshot',
    'KEY_SPACE_SIZE',
    'Keys',
    'LOG_LEVELS',
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
    'TOKEN_LEAST_LENGTH',
    'Target',
    'TlsSettings',
    'compile_source',
    'load_keys',
    'load_settings',
    'parse_text',
    'read_file',
]
