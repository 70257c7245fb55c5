"""Connections of a daemon: callers, operators, targets, peers, the store."""

from samphiredock import lazy

__getattr__, __dir__, __all__ = lazy.public_names(
    __name__,
    {
        '_caller_http': (
            'IDEMPOTENCY_KEY_HEADER',
            'RequestExecutor',
            'caller_application',
        ),
        '_connection_pool': ('ConnectionPool',),
        '_pooled_store_calls': ('PooledStoreCalls',),
        '_entry_connection': (
            'EntryCallbacks',
            'EntryHandler',
            'is_pipelined',
        ),
        '_entry_http': (
            'CLOSE_TIMEOUT_MS',
            'EntryServer',
        ),
        '_http_connection': ('DELIVERY_LIMIT_MS',),
        '_http_guard': ('is_busy',),
        '_json_rows': (
            'RawPage',
            'split_page',
        ),
        '_json_scan': ('leading_members',),
        '_link_errors': (
            'LinkError',
            'LinkErrorKind',
        ),
        '_loop_turns': ('LoopTurns',),
        '_operator_http': (
            'Operations',
            'operator_application',
        ),
        '_peers': (
            'Broadcaster',
            'CurveKeys',
            'MessageHandler',
            'PeerHub',
            'Peers',
        ),
        '_platform': (
            'CREATE_ONLY',
            'Host',
            'Objects',
            'Platform',
            'StoreError',
            'StoreErrorKind',
            'StoredObject',
            'VALUE_LIMIT_BYTES',
            'WatchPage',
        ),
        '_platform_http': ('HttpPlatform',),
        '_store_replies': (
            'STORE_CALL_TIMEOUT_MS',
            'STORE_WATCH_SLACK_MS',
            'StoreCaller',
            'StoreReply',
            'header_of',
            'parse_store_reply',
            'parse_store_reply_in_turns',
        ),
        '_target_http': (
            'HttpTargetLink',
            'TargetLink',
        ),
    },
)
