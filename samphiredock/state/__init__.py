"""Configuration, settings, routes, snapshots and stored claims."""

from samphiredock import lazy

__getattr__, __dir__, __all__ = lazy.public_names(
    __name__,
    {
        '_checks': ('Problem',),
        '_claims': (
            'Bucket',
            'Claim',
            'ClaimState',
            'CLAIM_RETENTION_MS',
            'OUTCOME_LIMIT_BYTES',
            'OpenDecision',
            'ClaimLocation',
            'KEY_RETENTION_LIMIT_MS',
            'OpenStatus',
            'content_digest',
            'decode_bucket',
            'done_claim',
            'not_run_claim',
            'locate_claim',
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
        '_member': ('Member',),
        '_entry_settings': (
            'EntrySettings',
            'load_entry_settings',
        ),
        '_json5': ('read_json5',),
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
