"""The logic of the daemons: decisions, and the tasks that apply them."""

from samphiredock import lazy

__getattr__, __dir__, __all__ = lazy.public_names(
    __name__,
    {
        'config': (
            'Acceptor',
            'CONFIGURATION_KEY',
            'CurrentState',
            'SnapshotValidator',
            'ObjectDistribution',
            'Watcher',
            'follow_configuration',
        ),
        'fleet': (
            'MemberTable',
            'Membership',
            'OwnershipTable',
            'owner_of',
            'owners_of',
            'ownership_groups',
            'row_of',
        ),
        'once': (
            'RunQuarantine',
            'Runner',
        ),
        'quarantine': (
            'KnownContents',
            'QUARANTINE_PREFIX',
            'Quarantine',
        ),
        'search': (
            'Admission',
            'Coordinator',
            'DropAttempts',
            'ExtraAttempt',
            'Latencies',
            'MAX_TRANSIT_MS',
            'Plan',
            'Scatter',
            'SendAttempts',
            'ScatterContext',
        ),
        'targets': (
            'Dispatcher',
            'RetryBudget',
            'ReplicaSelector',
            'TARGETS_PREFIX',
            'TargetSigns',
        ),
    },
)
