"""Sockets and HTTP: the platform, the peers, the targets."""

from samphiredock.transport._caller_http import caller_application
from samphiredock.transport._caller_http import IDEMPOTENCY_KEY_HEADER
from samphiredock.transport._caller_http import Service
from samphiredock.transport._channel_pool import ChannelPool
from samphiredock.transport._entry_http import Door
from samphiredock.transport._entry_http import entry_server
from samphiredock.transport._entry_http import Handle
from samphiredock.transport._operator_http import Operations
from samphiredock.transport._operator_http import operator_application
from samphiredock.transport._peers import Broadcaster
from samphiredock.transport._peers import CurveKeys
from samphiredock.transport._peers import Handler
from samphiredock.transport._peers import PeerHub
from samphiredock.transport._peers import Peers
from samphiredock.transport._platform import CREATE_ONLY
from samphiredock.transport._platform import Host
from samphiredock.transport._platform import Objects
from samphiredock.transport._platform import Platform
from samphiredock.transport._platform import StoredObject
from samphiredock.transport._platform import StoreError
from samphiredock.transport._platform import StoreErrorKind
from samphiredock.transport._platform import VALUE_LIMIT_BYTES
from samphiredock.transport._platform import WatchPage
from samphiredock.transport._platform_http import HttpPlatform
from samphiredock.transport._store_calls import parse_store_reply
from samphiredock.transport._store_calls import STORE_CALL_TIMEOUT_MS
from samphiredock.transport._store_calls import STORE_WATCH_SLACK_MS
from samphiredock.transport._store_calls import StoreCalls
from samphiredock.transport._store_calls import StoreReply
from samphiredock.transport._target_http import HttpTargetLink
from samphiredock.transport._target_http import LinkError
from samphiredock.transport._target_http import LinkErrorKind
from samphiredock.transport._target_http import TargetLink

__all__ = [
    'Broadcaster',
    'CREATE_ONLY',
    'ChannelPool',
    'CurveKeys',
    'Door',
    'Handle',
    'Handler',
    'Host',
    'HttpPlatform',
    'HttpTargetLink',
    'IDEMPOTENCY_KEY_HEADER',
    'LinkError',
    'LinkErrorKind',
    'Objects',
    'Operations',
    'PeerHub',
    'Peers',
    'Platform',
    'STORE_CALL_TIMEOUT_MS',
    'STORE_WATCH_SLACK_MS',
    'Service',
    'StoreCalls',
    'StoreError',
    'StoreErrorKind',
    'StoreReply',
    'StoredObject',
    'TargetLink',
    'VALUE_LIMIT_BYTES',
    'WatchPage',
    'caller_application',
    'entry_server',
    'operator_application',
    'parse_store_reply',
]
