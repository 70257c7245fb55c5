"""Snapshots, configuration and other state that daemons hold."""

from samphiredock import lazy

__getattr__, __dir__, __all__ = lazy.public_names(
    __name__,
    {
        '_checks': ('Problem',),
        '_claims': (
            'Bucket',
            'Claim',
            'ClaimState',
            'KEEP_MS',
            'OUTCOME_LIMIT_BYTES',
            'Opened',
            'Place',
            'RETENTION_LIMIT_MS',
            'Verdict',
            'content_digest',
            'decode_bucket',
            'done_claim',
            'not_run_claim',
            'place_of',
        ),
        '_compiler': (
            'ConfigurationSource',
            'compile_source',
        ),
        '_configuration': (
            'Configuration',
            'Limits',
            'MergeKind',
            'Operation',
            'REQUEST_CLASSES',
            'Search',
            'Service',
            'Site',
            'Target',
        ),
        '_directory': ('Member',),
        '_entry_settings': (
            'EntrySettings',
            'load_entry_settings',
        ),
        '_files': ('read_file',),
        '_keys': (
            'Keys',
            'load_keys',
        ),
        '_routes': (
            'CallerLimits',
            'LiveTarget',
            'RECORD_BYTES',
            'Route',
            'RoutingTable',
            'WeightedService',
        ),
        '_settings': (
            'Settings',
            'TlsSettings',
            'load_settings',
        ),
        '_snapshots': (
            'IndexSnapshot',
            'KEY_SPACE_SIZE',
            'Shard',
            'Snapshot',
            'check_snapshot',
        ),
    },
)
