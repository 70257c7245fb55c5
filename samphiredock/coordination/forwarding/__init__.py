"""Forwards HTTP requests to targets, and merges the answers of shards."""

from samphiredock import lazy

__getattr__, __dir__, __all__ = lazy.public_names(
    __name__,
    {
        '_crash_guard': (
            'CrashGuard',
            'Loss',
            'fingerprint_of',
        ),
        '_forward_types': (
            'Dialect',
            'ForwardSettings',
            'Links',
        ),
        '_target_client': ('TargetClient',),
        '_pending_requests': ('PendingSummary',),
        '_forwarder': ('Forwarder',),
        '_handover': (
            'HandoverDialect',
            'HandoverRouting',
            'LOSS_PATH',
            'StaleHandoverDialect',
            'as_received',
            'as_target',
            'coordinator_reply',
            'can_retry_elsewhere',
            'loss_notice',
            'read_handed_over',
            'read_loss',
            'refusal_reply',
        ),
        '_introduce': (
            'INTRODUCTION_PATH',
            'introduction_interval_ms',
            'introduction_request',
            'read_introduction',
            'successors',
        ),
        '_live_targets': ('LiveTargets',),
        '_null_crash_tracker': ('NullCrashTracker',),
        '_merger': ('Merger',),
        '_order_client': (
            'ORDER_PATH',
            'OrderClient',
            'order_reply_headers',
        ),
        '_presence': ('Presence',),
        '_retry_report': ('RetryReport',),
        '_retry_shares': (
            'RetryShares',
            'SHARERS_KEY',
        ),
        '_roles': (
            'Daemon',
            'Role',
            'connections_per_daemon',
            'coordinators_of',
            'is_near_targets',
        ),
        '_routing': (
            'RoutingState',
            'routes_without_targets',
        ),
        '_splitter': ('Splitter',),
        '_freshness_check': (
            'FRESHNESS_CHECK_PEERS',
            'FRESHNESS_CHECK_INTERVAL_MS',
            'ROUTING_PATH',
            'STORE_STATUS_PATH',
            'StoreStatus',
            'FreshnessCheck',
            'read_store_status',
            'routing_reply',
            'routing_request',
            'store_status_reply',
            'store_status_request',
        ),
        '_share_history': (
            'LEASE_MS',
            'Reading',
            'ShareHistory',
            'SharerList',
            'SharerPolicy',
        ),
        '_window_budget': (
            'READ_DELAY_MS',
            'WindowBudget',
        ),
    },
)
